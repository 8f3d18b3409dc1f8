//! Crowds of clients that misbehave, against one node with low limits: the process lives, its memory
//! and descriptors stay within the settings, and ordinary callers are served while the crowd is open.

use std::{
    io::Read,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use deck_net::http::{Method, StatusCode};
use deck_testkit::{
    crowd::{connect, open_descriptors, peak_memory_kb, send_all},
    eventually,
};
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use serde_json::{Value, json};

mod common;

use common::{Fleet, HOST, run};

/// Memory of the node's VM.
const MEMORY_MB: u64 = 64;
/// Limit of the node's open descriptors.
const MAX_DESCRIPTORS: u64 = 500;
/// Body of a size that the configuration allows; the limit is 1 MiB.
const BODY_BYTES: usize = 1_000_000;
/// Number of clients that send bodies.
const BODY_CLIENTS: usize = 120;
/// Number of clients that hold connections; more than the node may have descriptors.
const CONNECTION_CLIENTS: usize = 700;
/// Descriptors that this process needs for its crowds.
const MIN_OWN_DESCRIPTORS: u64 = 1500;
/// Holds the tests apart: a crowd takes memory and time of the whole machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Place at which a crowd arrives.
#[derive(Debug, Clone, Copy)]
struct Place {
    address: SocketAddr,
    method: &'static str,
    path: &'static str,
}

/// Starts one node with low limits, and its platform.
async fn start_node() -> Fleet {
    start_node_with_memory(MEMORY_MB).await
}

async fn start_node_with_memory(memory_mb: u64) -> Fleet {
    let mut fleet = Fleet::start(1);
    fleet.nodes[0].process.take().expect("process").kill();
    let limits = format!("[Limits]\nMemoryMb = {memory_mb}\nMaxFds = {MAX_DESCRIPTORS}\n");
    fleet.change_setting(0, "[Platform]", &format!("{limits}[Platform]"));
    // The node inherits the limit of this process.
    let (soft_limit, hard_limit) = getrlimit(Resource::RLIMIT_NOFILE).expect("limit");
    setrlimit(Resource::RLIMIT_NOFILE, MAX_DESCRIPTORS, hard_limit).expect("limit");
    fleet.start_node(0);
    setrlimit(Resource::RLIMIT_NOFILE, soft_limit.max(MIN_OWN_DESCRIPTORS), hard_limit)
        .expect("limit");
    fleet.wait_until_ready().await;
    assert_serves(&fleet, "before any crowd").await;
    fleet
}

fn node_id(fleet: &Fleet) -> u32 {
    fleet.nodes[0].process.as_ref().expect("process").id()
}

/// Returns the places of a node: a route, a path without a route, calls of batch jobs, readiness,
/// metrics, and the address for other nodes.
fn places(fleet: &Fleet) -> Vec<Place> {
    let (callers, ready) = (fleet.nodes[0].caller_address, fleet.nodes[0].readiness_address);
    let peers = fleet.peer_address(0);
    let place = |address, method, path| Place { address, method, path };
    vec![
        place(callers, "POST", "/plain/x"),
        place(callers, "POST", "/nowhere"),
        place(callers, "POST", "/jobs/crowd"),
        place(callers, "GET", "/v1/lots/crowd"),
        place(callers, "GET", "/v1/readyz"),
        place(ready, "GET", "/v1/readyz"),
        place(ready, "GET", "/metrics"),
        place(peers, "POST", "/peer/nowhere"),
        place(peers, "POST", deck_fleet::crash_registry::CRASHES_PATH),
        place(peers, "POST", deck_plat::relay::RELAY_PATH),
    ]
}

/// Returns a request head without the empty line at its end.
fn head(place: Place, headers: &str) -> String {
    head_with_id(place, &deck_core::id::random_id(), headers)
}

fn head_with_id(place: Place, id: &str, headers: &str) -> String {
    let Place { method, path, .. } = place;
    format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n{headers}")
}

/// Returns a request with `Content-Length` without the last `missing_bytes` of its body.
fn request(place: Place, body: &[u8], missing_bytes: usize) -> Vec<u8> {
    let head = head(place, &format!("Content-Length: {}\r\n\r\n", body.len()));
    [head.as_bytes(), &body[..body.len() - missing_bytes]].concat()
}

/// Returns a request in chunks without the end of its body.
fn chunked_request(place: Place, body_bytes: usize, headers: &str) -> Vec<u8> {
    let mut request =
        head(place, &format!("Transfer-Encoding: chunked\r\n{headers}\r\n")).into_bytes();
    let chunk = format!("3e8\r\n{}\r\n", "x".repeat(1000));
    for _ in 0..body_bytes / 1000 {
        request.extend_from_slice(chunk.as_bytes());
    }
    request
}

/// Checks that the node lives within its limits.
fn assert_within_limits(fleet: &mut Fleet, crowd: &str) {
    let status = fleet.nodes[0].process.as_mut().expect("process").try_wait();
    assert_eq!(status, None, "the node ended: {crowd}");
    let descriptors = open_descriptors(node_id(fleet));
    let peak_kb = peak_memory_kb(node_id(fleet));
    println!("{crowd}: peak {peak_kb} kB, {descriptors} descriptors");
    assert!(peak_kb < MEMORY_MB * 1024, "{crowd}: peak {peak_kb} kB");
    // With fewer free descriptors, the node cannot make its own calls.
    assert!(descriptors < MAX_DESCRIPTORS, "{crowd}: {descriptors} descriptors");
}

/// Checks that the node answers an ordinary request and says that it is ready.
async fn assert_serves(fleet: &Fleet, crowd: &str) {
    let node = &fleet.nodes[0];
    eventually(&format!("an ordinary request is answered: {crowd}"), async || {
        let id = deck_core::id::random_id();
        let headers = [("Request-Id", id.as_str())];
        let (address, body) = (node.caller_address, b"body".to_vec());
        let answer = fleet.call(address, Method::POST, "/plain/x", &headers, body).await;
        matches!(answer, Ok((StatusCode::OK, _)))
    })
    .await;
    eventually(&format!("the node is ready: {crowd}"), async || {
        let (address, path) = (node.readiness_address, "/v1/readyz");
        let answer = fleet.call(address, Method::GET, path, &[], Vec::new()).await;
        matches!(answer, Ok((StatusCode::OK, _)))
    })
    .await;
}

/// Runs a crowd at each place; `bytes` returns what each client sends.
fn run_crowd(
    count: usize,
    piece_bytes: usize,
    pause: Duration,
    bytes: impl Fn(Place, usize) -> Vec<u8>,
) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    run(async {
        let mut fleet = start_node().await;
        for place in places(&fleet) {
            let crowd = format!("{place:?}");
            let mut clients = connect(place.address, count, |index| bytes(place, index));
            send_all(&mut clients, piece_bytes, pause);
            assert_within_limits(&mut fleet, &crowd);
            assert_serves(&fleet, &crowd).await;
            assert_within_limits(&mut fleet, &crowd);
            drop(clients);
        }
        assert_serves(&fleet, "after the crowds").await;
    });
}

/// Guards against bodies of legal size, each one byte short of its end, that together exceed the
/// memory.
#[test]
fn bodies_that_stop_short_of_their_end_stay_within_memory() {
    let body = vec![b'x'; BODY_BYTES];
    run_crowd(BODY_CLIENTS, usize::MAX, Duration::ZERO, |place, _| request(place, &body, 1));
}

/// Guards against unfinished bodies that arrive in small pieces, where each piece costs memory.
#[test]
fn bodies_in_small_pieces_stay_within_memory() {
    let body = vec![b'x'; BODY_BYTES];
    run_crowd(BODY_CLIENTS, 2000, Duration::ZERO, |place, _| request(place, &body, 1));
}

/// Guards against unfinished bodies in chunks, whose length is not known.
#[test]
fn bodies_in_chunks_stay_within_memory() {
    run_crowd(BODY_CLIENTS, usize::MAX, Duration::ZERO, |place, _| {
        chunked_request(place, BODY_BYTES, "")
    });
}

/// Guards against a crowd that arrives after an earlier one has stalled: what is held for the earlier
/// one is released before the memory is used again.
#[test]
fn crowd_after_a_stalled_one_stays_within_memory() {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    run(async {
        let mut fleet = start_node().await;
        let place = places(&fleet)[0];
        let mut crowds = Vec::new();
        for crowd in ["first crowd", "second crowd", "third crowd"] {
            let request = |_| chunked_request(place, BODY_BYTES, "");
            let mut clients = connect(place.address, BODY_CLIENTS, request);
            send_all(&mut clients, usize::MAX, Duration::ZERO);
            std::thread::sleep(Duration::from_secs(2));
            assert_within_limits(&mut fleet, crowd);
            crowds.push(clients);
        }
        assert_serves(&fleet, "after the crowds").await;
    });
}

/// Guards against complete bodies of legal size that arrive at the same time.
#[test]
fn complete_bodies_at_once_stay_within_memory() {
    let body = vec![b'x'; BODY_BYTES];
    run_crowd(BODY_CLIENTS, usize::MAX, Duration::ZERO, |place, _| request(place, &body, 0));
}

/// Guards against refusals that say that a request has not run although a target has it.
#[test]
fn refused_bodies_do_not_reach_targets() {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    run(async {
        let fleet = start_node().await;
        let place = places(&fleet)[0];
        let body = vec![b'x'; BODY_BYTES];
        let ids: Vec<String> = (0..BODY_CLIENTS).map(|_| deck_core::id::random_id()).collect();
        let mut clients = connect(place.address, BODY_CLIENTS, |index| {
            let headers = format!("Content-Length: {BODY_BYTES}\r\n\r\n");
            let head = head_with_id(place, &ids[index], &headers);
            [head.as_bytes(), &body].concat()
        });
        send_all(&mut clients, usize::MAX, Duration::ZERO);
        let mut refused_ids = Vec::new();
        for (client, id) in clients.iter_mut().zip(&ids) {
            let Some(stream) = &mut client.stream else { continue };
            let mut answer = vec![0; 4096];
            let count = stream.read(&mut answer).unwrap_or(0);
            let answer = String::from_utf8_lossy(&answer[..count]);
            if answer.starts_with("HTTP/1.1 503") || answer.starts_with("HTTP/1.1 408") {
                refused_ids.push(id.clone());
            }
        }
        println!("{} of {BODY_CLIENTS} read a refusal", refused_ids.len());
        assert_serves(&fleet, "after refusals").await;
        let records = fleet.stand_in_records().await;
        let calls: Vec<&str> =
            records.iter().filter_map(|record| record["call"].as_str()).collect();
        assert!(!calls.is_empty(), "the targets record no calls");
        for id in &refused_ids {
            assert!(!calls.contains(&id.as_str()), "refused request {id} has run");
        }
    });
}

/// Guards against limits that refuse a single body of the largest legal size on the smallest VMs.
#[test]
fn largest_body_is_served_in_calm() {
    const SMALLEST_MEMORY_MB: u64 = 120;
    const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    run(async {
        let fleet = start_node_with_memory(SMALLEST_MEMORY_MB).await;
        let path = "/v1/objects/config/main";
        let object = fleet.call(fleet.object_api, Method::GET, path, &[], Vec::new()).await;
        let mut object: Value = serde_json::from_slice(&object.expect("object").1).expect("json");
        object["Spec"]["Limits"]["MaxBodyBytes"] = MAX_BODY_BYTES.into();
        object["Spec"]["Version"] = 2.into();
        let changed = json!({"Metadata": {"Name": "main"}, "Spec": object["Spec"]}).to_string();
        let answer =
            fleet.call(fleet.object_api, Method::PUT, path, &[], changed.into_bytes()).await;
        assert_eq!(answer.expect("answer").0, StatusCode::OK);
        let address = fleet.nodes[0].caller_address;
        let send = async || {
            let id = deck_core::id::random_id();
            let headers = [("Request-Id", id.as_str())];
            let body = vec![b'x'; MAX_BODY_BYTES];
            let answer = fleet.call(address, Method::POST, "/plain/x", &headers, body).await;
            matches!(answer, Ok((StatusCode::OK, _)))
        };
        eventually("the largest body is served", send).await;
        for _ in 0..3 {
            assert!(send().await, "a further body is refused");
        }
        let peak_kb = peak_memory_kb(node_id(&fleet));
        println!("largest body: peak {peak_kb} kB");
        assert!(peak_kb < SMALLEST_MEMORY_MB * 1024, "peak {peak_kb} kB");
    });
}

/// Guards against bodies above the limit: with a length, with a length to be confirmed, in chunks.
#[test]
fn bodies_above_the_limit_stay_within_memory() {
    let body = vec![b'x'; 3 * BODY_BYTES];
    run_crowd(BODY_CLIENTS, usize::MAX, Duration::ZERO, |place, index| match index % 3 {
        0 => request(place, &body, 1),
        1 => {
            let head = head(place, "Expect: 100-continue\r\nContent-Length: 100000000\r\n\r\n");
            [head.as_bytes(), &body].concat()
        }
        _ => chunked_request(place, 3 * BODY_BYTES, ""),
    });
}

/// Guards against heads of legal size with very many fields.
#[test]
fn heads_of_many_short_fields_stay_within_memory() {
    let fields: String = (0..2000).map(|index| format!("{index:x}:\r\n")).collect();
    run_crowd(BODY_CLIENTS, usize::MAX, Duration::ZERO, |place, index| {
        // Half of the heads lack their end.
        let end = if index % 2 == 0 { "Content-Length: 0\r\n\r\n" } else { "" };
        head(place, &format!("{fields}{end}")).into_bytes()
    });
}

/// Guards against heads of very many short fields that never end.
#[test]
fn heads_without_an_end_stay_within_memory() {
    let fields: String = (0..100_000).map(|index| format!("{index:x}:\r\n")).collect();
    run_crowd(BODY_CLIENTS, usize::MAX, Duration::ZERO, |place, _| {
        head(place, &fields).into_bytes()
    });
}

/// Guards against bodies of legal size that take far more memory when they are decoded.
#[test]
fn bodies_of_many_short_fields_stay_within_memory() {
    let count = BODY_BYTES / 8 - 100;
    let objects = format!("{{\"Items\":[{}0]}}", "{\"a\":0},".repeat(count));
    let lists = format!("{{\"Items\":[{}0]}}", "[[[0]]],".repeat(count));
    run_crowd(8, usize::MAX, Duration::ZERO, |place, index| {
        request(place, if index % 2 == 0 { &objects } else { &lists }.as_bytes(), 0)
    });
}

/// Guards against requests sent ahead on one connection whose answers are not read.
#[test]
fn requests_sent_ahead_stay_within_memory() {
    run_crowd(30, usize::MAX, Duration::ZERO, |place, _| {
        let one = request(Place { method: "GET", ..place }, b"", 0);
        one.repeat(500_000 / one.len())
    });
}

/// Guards against connections without a whole request head that take all descriptors.
#[test]
fn half_heads_leave_descriptors_for_callers() {
    run_crowd(CONNECTION_CLIENTS, usize::MAX, Duration::ZERO, |place, index| {
        if index % 3 == 0 { Vec::new() } else { head(place, "").into_bytes() }
    });
}

/// Guards against connections with half a body that take all descriptors.
#[test]
fn half_bodies_leave_descriptors_for_callers() {
    run_crowd(CONNECTION_CLIENTS, usize::MAX, Duration::ZERO, |place, _| {
        request(place, &[b'x'; 100], 50)
    });
}

/// Guards against connections that send a byte now and then and never finish a request.
#[test]
fn slow_senders_leave_descriptors_for_callers() {
    run_crowd(CONNECTION_CLIENTS, 1, Duration::from_millis(50), |place, index| {
        let rest = if index % 2 == 0 { head(place, "") } else { String::new() };
        let request = request(place, &[b'x'; 4000], 0);
        if rest.is_empty() { request } else { rest.into_bytes() }
    });
}

/// Guards against answers of which a byte is read now and then, or nothing.
#[test]
fn slow_readers_leave_descriptors_for_callers() {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    run(async {
        let mut fleet = start_node().await;
        for place in places(&fleet) {
            let crowd = format!("{place:?}");
            let mut clients = connect(place.address, CONNECTION_CLIENTS, |_| {
                let place = Place { method: "GET", ..place };
                request(place, b"", 0).repeat(20)
            });
            send_all(&mut clients, usize::MAX, Duration::ZERO);
            for _ in 0..20 {
                for client in clients.iter_mut().step_by(2) {
                    if let Some(stream) = &mut client.stream {
                        let _ = stream.read(&mut [0; 1]);
                    }
                }
                std::thread::sleep(Duration::from_millis(50));
            }
            assert_within_limits(&mut fleet, &crowd);
            assert_serves(&fleet, &crowd).await;
            assert_within_limits(&mut fleet, &crowd);
        }
        assert_serves(&fleet, "after the crowds").await;
    });
}

/// Runs a crowd at the paths of a node that only stores checkpoints for other nodes.
fn run_crowd_at_storage(count: usize, bytes: impl Fn(Place, usize) -> Vec<u8>) {
    const PATH: &str = "/peer/checkpoints/crowd";
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    run(async {
        let mut fleet = Fleet::start(1);
        // The crowd comes to the second node, whose settings have the lower limits.
        fleet.nodes.swap(0, 1);
        fleet.nodes[0].process.take().expect("process").kill();
        let limits = format!("[Limits]\nMemoryMb = {MEMORY_MB}\nMaxFds = {MAX_DESCRIPTORS}\n");
        fleet.change_setting(0, "[Platform]", &format!("{limits}[Platform]"));
        let (soft_limit, hard_limit) = getrlimit(Resource::RLIMIT_NOFILE).expect("limit");
        setrlimit(Resource::RLIMIT_NOFILE, MAX_DESCRIPTORS, hard_limit).expect("limit");
        fleet.start_node(0);
        setrlimit(Resource::RLIMIT_NOFILE, soft_limit.max(MIN_OWN_DESCRIPTORS), hard_limit)
            .expect("limit");
        let address = fleet.internal_address(0);
        let assert_answers = async |fleet: &Fleet, crowd: &str| {
            eventually(&format!("an ordinary request is answered: {crowd}"), async || {
                let answer = fleet.call(address, Method::GET, PATH, &[], Vec::new()).await;
                matches!(answer, Ok((StatusCode::OK, _)))
            })
            .await;
        };
        assert_answers(&fleet, "before any crowd").await;
        for (method, path) in [("POST", PATH), ("POST", "/nowhere"), ("GET", PATH)] {
            let place = Place { address, method, path };
            let crowd = format!("{place:?}");
            let mut clients = connect(address, count, |index| bytes(place, index));
            send_all(&mut clients, usize::MAX, Duration::ZERO);
            assert_within_limits(&mut fleet, &crowd);
            assert_answers(&fleet, &crowd).await;
            assert_within_limits(&mut fleet, &crowd);
        }
    });
}

/// Guards against unfinished bodies at a node that only stores checkpoints.
#[test]
fn bodies_that_stop_short_stay_within_memory_of_storage() {
    let body = vec![b'x'; BODY_BYTES];
    run_crowd_at_storage(BODY_CLIENTS, |place, _| request(place, &body, 1));
}

/// Guards against unfinished bodies in chunks, of legal size and above it, at a node that only stores
/// checkpoints.
#[test]
fn bodies_in_chunks_stay_within_memory_of_storage() {
    run_crowd_at_storage(BODY_CLIENTS, |place, index| {
        chunked_request(place, if index % 2 == 0 { BODY_BYTES } else { 3 * BODY_BYTES }, "")
    });
}

/// Guards against requests sent ahead at a node that only stores checkpoints.
#[test]
fn requests_sent_ahead_stay_within_memory_of_storage() {
    run_crowd_at_storage(30, |place, _| {
        let one = request(Place { method: "GET", ..place }, b"", 0);
        one.repeat(500_000 / one.len())
    });
}

/// Guards against connections without a whole request that take all descriptors of a node that only
/// stores checkpoints.
#[test]
fn half_requests_leave_descriptors_of_storage() {
    run_crowd_at_storage(CONNECTION_CLIENTS, |place, index| match index % 3 {
        0 => Vec::new(),
        1 => head(place, "").into_bytes(),
        _ => request(place, &[b'x'; 100], 50),
    });
}
