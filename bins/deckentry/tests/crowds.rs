//! Crowds of clients that misbehave, against each listener of the separate daemons: the process lives,
//! its memory and descriptors stay within limits, and ordinary requests are answered while the crowd
//! is open.

mod common;

use std::{
    io::Read,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use common::{Deployment, Entry, ORGANISATION, StandIn};
use deck_testkit::{
    Process,
    crowd::{connect, open_descriptors, peak_memory_kb, send_all},
    eventually,
};
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use test_case::test_case;

/// Maximum peak of a daemon's memory.
const MEMORY_MB: u64 = 64;
/// Limit of a daemon's open descriptors.
const MAX_DESCRIPTORS: u64 = 500;
const LIMITS: &str = "max_connections = 200\nmax_total_body_bytes = 16000000\n\
    max_body_bytes = 1048576";
/// Body of a size that the settings allow.
const BODY_BYTES: usize = 1_000_000;
/// Number of clients that send bodies or requests.
const BODY_CLIENTS: usize = 120;
/// Number of clients that hold connections; more than a daemon may have descriptors.
const CONNECTION_CLIENTS: usize = 1000;
/// Descriptors that this process needs for its crowds.
const MIN_OWN_DESCRIPTORS: u64 = 1500;

/// Holds the tests apart: a crowd takes memory and time of the whole machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Listener and path at which a crowd arrives.
#[derive(Debug, Clone, Copy)]
struct Place {
    daemon: &'static str,
    process: u32,
    address: SocketAddr,
    admin: SocketAddr,
    /// Whether the listener answers ordinary HTTP requests.
    is_http: bool,
    path: &'static str,
}

/// Daemons of a VM and what they need.
struct Vm {
    deployment: Deployment,
    entry: Entry,
    roll: Process,
    weight: Process,
    _service: StandIn,
}

/// Starts the daemons of a VM with low limits. They inherit the limit of descriptors of this process.
async fn start_vm() -> Vm {
    let deployment = Deployment::start();
    let service = deployment.start_stand_in("service", &[]);
    deployment.put_shares(&["booking"]).await;
    deployment.put_service_pool("booking", &[service.address]).await;
    let (soft_limit, hard_limit) = getrlimit(Resource::RLIMIT_NOFILE).expect("limit");
    setrlimit(Resource::RLIMIT_NOFILE, MAX_DESCRIPTORS, hard_limit).expect("limit");
    let mut entry = deployment.start_unready_entry("e1", &[], LIMITS);
    let platform = deployment.object_api.address;
    let (caller, local) = (entry.caller, entry.process.address("local"));
    let settings = format!(
        "[vm]\nid = e1\ndata_centre = fi-south-a\nregion = fi-south\n\
         [platform]\nobject_api = {platform}\n[admin]\naddress = 127.0.0.1:0\n"
    );
    let start = |program: &str, more: String| {
        let file = deployment.directory.0.join(format!("{program}.ini"));
        std::fs::write(&file, format!("{settings}{more}")).expect("settings");
        let log = deployment.directory.0.join(format!("{program}.log"));
        let arguments = ["--config", file.to_str().expect("utf-8 path")];
        Process::start(program, program, &arguments, Some(&log))
    };
    let roll = start(
        "deckroll",
        format!("[listen]\ntrainer = 127.0.0.1:0\n[local]\ncaller = {caller}\nentry = {local}\n"),
    );
    let folder = deployment.directory.0.join("weights");
    std::fs::create_dir_all(&folder).expect("folder");
    let weight = start(
        "deckweight",
        format!(
            "[local]\nentry = {local}\n[relay]\naddress = 127.0.0.1:0\nweight_store = {platform}\n\
             data_folder = {}\n",
            folder.display()
        ),
    );
    setrlimit(Resource::RLIMIT_NOFILE, soft_limit.max(MIN_OWN_DESCRIPTORS), hard_limit)
        .expect("limit");
    deployment.wait_until_ready(&entry).await;
    deployment.wait_until_served(&entry, "booking").await;
    Vm { deployment, entry, roll, weight, _service: service }
}

impl Vm {
    /// Returns the places of a daemon: routes, a path without a route, readiness and metrics.
    fn places(&mut self, daemon: &'static str) -> Vec<Place> {
        let (process, admin, listeners): (_, _, Vec<(&str, &[&'static str])>) = match daemon {
            "deckentry" => (
                &mut self.entry.process,
                "admin",
                vec![
                    ("caller", &["/services/booking/query", "/nowhere", "/readyz"]),
                    ("peer", &["/nowhere"]),
                    ("local", &["/nowhere"]),
                ],
            ),
            "deckroll" => {
                (&mut self.roll, "admin", vec![("trainer", &["/v1/jobs/x/samples", "/nowhere"])])
            }
            _ => (&mut self.weight, "admin", vec![("weights", &["/v1/weights/x/1", "/nowhere"])]),
        };
        let (id, admin) = (process.id(), process.address(admin));
        let mut places = Vec::new();
        for (listener, paths) in listeners {
            let address = process.address(listener);
            let is_http = listener != "peer";
            let place = |&path| Place { daemon, process: id, address, admin, is_http, path };
            places.extend(paths.iter().map(place));
        }
        let at_admin =
            |path| Place { daemon, process: id, address: admin, admin, is_http: true, path };
        places.extend(["/nowhere", "/readyz", "/metrics"].map(at_admin));
        places
    }

    /// Checks that the daemon lives within its limits.
    fn assert_within_limits(&mut self, place: Place) {
        let process = match place.daemon {
            "deckentry" => &mut self.entry.process,
            "deckroll" => &mut self.roll,
            _ => &mut self.weight,
        };
        assert_eq!(process.try_wait(), None, "the daemon ended: {place:?}");
        let (peak_kb, descriptors) =
            (peak_memory_kb(place.process), open_descriptors(place.process));
        println!("{place:?}: peak {peak_kb} kB, {descriptors} descriptors");
        assert!(peak_kb < MEMORY_MB * 1024, "{place:?}: peak {peak_kb} kB");
        // With fewer free descriptors, the daemon cannot make its own calls.
        assert!(descriptors < MAX_DESCRIPTORS, "{place:?}: {descriptors} descriptors");
    }

    /// Checks that the daemon answers ordinary requests and says that it is ready.
    async fn assert_serves(&self, place: Place) {
        let deployment = &self.deployment;
        let get = async |address: SocketAddr, path: &str| {
            let headers = [("x-organisation", ORGANISATION)];
            deployment.try_send(address, "GET", path, &headers, "").await.map(|r| r.status)
        };
        eventually(&format!("the daemon is ready: {place:?}"), async || {
            get(place.admin, "/readyz").await == Some(200)
        })
        .await;
        if place.is_http {
            eventually(&format!("an ordinary request is answered: {place:?}"), async || {
                let refused = [None, Some(503)];
                !refused.contains(&get(place.address, "/ordinary").await)
            })
            .await;
        }
        if place.daemon == "deckentry" {
            deployment.wait_until_served(&self.entry, "booking").await;
        }
    }
}

fn head(place: Place, method: &str, headers: &str) -> String {
    let path = place.path;
    format!("{method} {path} HTTP/1.1\r\nHost: a\r\nX-Organisation: {ORGANISATION}\r\n{headers}")
}

/// Returns a request with `Content-Length` without the last `missing_bytes` of its body.
fn request(place: Place, body: &[u8], missing_bytes: usize) -> Vec<u8> {
    let head = head(place, "POST", &format!("Content-Length: {}\r\n\r\n", body.len()));
    [head.as_bytes(), &body[..body.len() - missing_bytes]].concat()
}

/// Returns a request in chunks without the end of its body.
fn chunked_request(place: Place, body_bytes: usize) -> Vec<u8> {
    let mut request = head(place, "POST", "Transfer-Encoding: chunked\r\n\r\n").into_bytes();
    let chunk = format!("3e8\r\n{}\r\n", "x".repeat(1000));
    for _ in 0..body_bytes / 1000 {
        request.extend_from_slice(chunk.as_bytes());
    }
    request
}

/// Runs a crowd at each place of a daemon; `bytes` returns what each client sends.
fn run_crowd(daemon: &'static str, count: usize, bytes: impl Fn(Place, usize) -> Vec<u8>) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let test = async {
        let mut vm = start_vm().await;
        for place in vm.places(daemon) {
            vm.assert_serves(place).await;
            let mut clients = connect(place.address, count, |index| bytes(place, index));
            send_all(&mut clients, usize::MAX, Duration::ZERO);
            for client in clients.iter_mut().step_by(2) {
                if let Some(stream) = &mut client.stream {
                    let _ = stream.read(&mut [0; 1]);
                }
            }
            vm.assert_within_limits(place);
            vm.assert_serves(place).await;
            vm.assert_within_limits(place);
        }
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against bodies of legal size, each one byte short of its end, that together exceed the
/// memory.
#[test_case("deckentry")]
#[test_case("deckroll")]
#[test_case("deckweight")]
fn bodies_that_stop_short_of_their_end_stay_within_memory(daemon: &'static str) {
    let body = vec![b'x'; BODY_BYTES];
    run_crowd(daemon, BODY_CLIENTS, |place, _| request(place, &body, 1));
}

/// Guards against bodies in chunks, of legal size and far above it.
#[test_case("deckentry")]
#[test_case("deckroll")]
#[test_case("deckweight")]
fn bodies_in_chunks_stay_within_memory(daemon: &'static str) {
    run_crowd(daemon, BODY_CLIENTS, |place, index| {
        chunked_request(place, if index % 2 == 0 { BODY_BYTES } else { 3 * BODY_BYTES })
    });
}

/// Guards against heads without an end.
#[test_case("deckentry")]
#[test_case("deckroll")]
#[test_case("deckweight")]
fn heads_without_an_end_stay_within_memory(daemon: &'static str) {
    let fields: String = (0..100_000).map(|index| format!("{index:x}:\r\n")).collect();
    run_crowd(daemon, BODY_CLIENTS, |place, _| head(place, "GET", &fields).into_bytes());
}

/// Guards against requests sent ahead on one connection whose answers are not read.
#[test_case("deckentry")]
#[test_case("deckroll")]
#[test_case("deckweight")]
fn requests_sent_ahead_stay_within_memory(daemon: &'static str) {
    run_crowd(daemon, 30, |place, _| {
        let one = head(place, "GET", "\r\n").into_bytes();
        one.repeat(500_000 / one.len())
    });
}

/// Guards against connections without a whole request that take all descriptors.
#[test_case("deckentry")]
#[test_case("deckroll")]
#[test_case("deckweight")]
fn half_requests_leave_descriptors_for_callers(daemon: &'static str) {
    run_crowd(daemon, CONNECTION_CLIENTS, |place, index| match index % 3 {
        0 => Vec::new(),
        1 => head(place, "GET", "").into_bytes(),
        _ => request(place, &[b'x'; 100], 50),
    });
}
