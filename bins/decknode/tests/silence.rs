//! Nodes whose open connections to the object API and to targets fall silent for good at one moment,
//! while new connections work.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_net::{
    Body, Client, ClientOptions, NetError,
    http::{Method, Request, StatusCode},
};
use futures_util::future::join_all;
use serde_json::{Value, json};

mod common;
#[path = "../../../crates/net/tests/common/mod.rs"]
mod silencing_proxy;

use common::{Fleet, HOST, run};
use silencing_proxy::SilencingProxy;

/// Time after which nodes work normally again after all of their open connections were lost.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Time that a caller gives a request.
const DEADLINE: Duration = Duration::from_millis(2000);
/// Time after its deadline within which a request is answered.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Number of requests that callers send at the same moment before the connections fall silent.
const BURST_REQUESTS: usize = 40;
/// Interval between the requests of the callers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Starts nodes whose connections to the object API and to the targets go through proxies.
async fn start_fleet(entry_nodes: usize) -> (Fleet, Vec<SilencingProxy>) {
    let mut fleet = Fleet::start(entry_nodes);
    let servers =
        fleet.call(fleet.object_api, Method::GET, "/v1/objects/servers", &[], Vec::new()).await;
    let servers: Value = serde_json::from_slice(&servers.expect("list").1).expect("json");
    let (mut proxies, mut proxy_addresses) = (Vec::new(), json!({}));
    for entry in servers["Items"].as_array().expect("entries") {
        let target_address = entry["Spec"]["Address"].as_str().expect("address");
        let proxy = SilencingProxy::start(target_address.parse().expect("address"));
        let name = entry["Metadata"]["Name"].as_str().expect("name");
        proxy_addresses[name] = proxy.address.to_string().into();
        proxies.push(proxy);
    }
    let body = proxy_addresses.to_string().into_bytes();
    let response = fleet.call(fleet.object_api, Method::POST, "/admin/advertise", &[], body).await;
    assert_eq!(response.expect("stand-in").0, StatusCode::OK);
    for index in 0..fleet.nodes.len() {
        fleet.nodes[index].process.take().expect("process").kill();
        let proxy = SilencingProxy::start(fleet.object_api);
        let address = |address: SocketAddr| format!("[Platform]\nAddress = \"{address}\"");
        fleet.change_setting(index, &address(fleet.object_api), &address(proxy.address));
        proxies.push(proxy);
        fleet.start_node(index);
    }
    fleet.wait_until_ready().await;
    // Wait until the nodes have listed each other and know the addresses of the proxies.
    monoio::time::sleep(Duration::from_secs(3)).await;
    (fleet, proxies)
}

/// Answer to a request of a caller.
struct Answer {
    id: String,
    sent_at: Instant,
    duration: Duration,
    status: Result<StatusCode, NetError>,
}

/// Sends a plain request on a kept connection and waits for its answer.
async fn send_plain(client: &Client, address: SocketAddr, id: String) -> Answer {
    let path = if id.starts_with("once") { "/once/x" } else { "/plain/x" };
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("Host", HOST)
        .header("Request-Id", &id)
        .header("Deadline-Ms", DEADLINE.as_millis().to_string())
        .body(Body::full("body"))
        .expect("request");
    let sent_at = Instant::now();
    let response = client.call(address, request, DEADLINE + ANSWER_SLACK, 1 << 20).await;
    let status = response.map(|response| response.status);
    Answer { id, sent_at, duration: sent_at.elapsed(), status }
}

/// Guards against requests that end without an answer, and against nodes that do not work normally
/// again in time, after all open connections to the object API and to the targets fell silent.
#[test]
fn requests_are_answered_after_open_connections_fell_silent() {
    run(async {
        let (fleet, proxies) = start_fleet(2).await;
        let job = fleet.submit(0, 2, 1).await;
        let addresses: Vec<SocketAddr> =
            fleet.entry_nodes().map(|node| node.caller_address).collect();
        let client = Rc::new(Client::new(ClientOptions::default()));
        let (mut requests, mut silent_since) = (Vec::new(), None);
        let (started_at, mut has_sent_burst) = (Instant::now(), false);
        let silence_after = Duration::from_secs(1);
        while started_at.elapsed() < silence_after + RECOVERY_TIME + Duration::from_secs(2) {
            // Requests sent at the same moment open several connections to each target.
            let request_count = if has_sent_burst { 1 } else { BURST_REQUESTS };
            has_sent_burst = true;
            if silent_since.is_none() && started_at.elapsed() >= silence_after {
                proxies.iter().for_each(SilencingProxy::silence_open_connections);
                silent_since = Some(Instant::now());
            }
            for _ in 0..request_count {
                let (index, client) = (requests.len(), client.clone());
                let route = if index % 4 < 2 { "plain" } else { "once" };
                let address = addresses[index % addresses.len()];
                let id = format!("{route}-{index}");
                let answer = async move { send_plain(&client, address, id).await };
                requests.push(monoio::spawn(answer));
            }
            monoio::time::sleep(REQUEST_INTERVAL).await;
        }
        let silent_since = silent_since.expect("the connections fell silent");
        for address in &addresses {
            let path = format!("/v1/lots/{}?After=0", job.id);
            let page = fleet.call(*address, Method::GET, &path, &[], Vec::new()).await;
            assert!(matches!(page, Ok((StatusCode::OK, _))), "read of the job: {page:?}");
        }
        for Answer { id, sent_at, duration, status } in join_all(requests).await {
            let sent_after = sent_at.saturating_duration_since(silent_since);
            if !matches!(status, Ok(StatusCode::OK)) {
                println!("{id} sent after {sent_after:?} ended after {duration:?}: {status:?}");
            }
            assert!(status.is_ok(), "{id} got no answer in {duration:?}: {status:?}");
            assert!(
                status.is_ok_and(|status| status.is_success()) || sent_after < RECOVERY_TIME,
                "{id}, sent {sent_after:?} after the connections fell silent, failed"
            );
        }
    });
}
