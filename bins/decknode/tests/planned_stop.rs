//! Requests that a node takes while it stops.

use std::time::{Duration, Instant};

use deck_net::http::{Method, StatusCode};
use deck_testkit::proxy::{Direction, Proxy};
use futures_util::future::join_all;
use serde_json::{Value, json};

mod common;

use common::{Fleet, run};

/// Grace time of the nodes between SIGTERM and SIGKILL.
const GRACE_TIME: Duration = Duration::from_secs(5);

/// Puts proxies in front of all targets.
async fn start_proxies(fleet: &Fleet) -> Vec<Proxy> {
    let servers =
        fleet.call(fleet.object_api, Method::GET, "/v1/objects/servers", &[], Vec::new()).await;
    let servers: Value = serde_json::from_slice(&servers.expect("list").1).expect("json");
    let (mut proxies, mut addresses) = (Vec::new(), json!({}));
    for entry in servers["Items"].as_array().expect("entries") {
        let address = entry["Spec"]["Address"].as_str().expect("address");
        let proxy = Proxy::start(address.parse().expect("address"));
        let name = entry["Metadata"]["Name"].as_str().expect("name");
        addresses[name] = proxy.address.to_string().into();
        proxies.push(proxy);
    }
    let body = addresses.to_string().into_bytes();
    let response = fleet.call(fleet.object_api, Method::POST, "/admin/advertise", &[], body).await;
    assert_eq!(response.expect("stand-in").0, StatusCode::OK);
    // The nodes know the addresses of the proxies by then.
    monoio::time::sleep(Duration::from_secs(3)).await;
    proxies
}

/// Guards against requests that a stopping node takes and passes on although their targets may take
/// longer than the rest of the grace time: they were cut without an answer, also those that must not
/// be repeated.
#[test]
fn requests_taken_while_a_node_stops_are_answered() {
    run(async {
        let fleet = Fleet::start(1);
        fleet.wait_until_ready().await;
        let proxies = start_proxies(&fleet).await;
        for proxy in &proxies {
            proxy.set_blocked(Direction::FromTarget, true);
        }
        let stopped_at = Instant::now();
        fleet.nodes[0].process.as_ref().expect("process").terminate();
        let address = fleet.nodes[0].caller_address;
        let delays_ms = [100_u64, 900, 1700, 2500];
        let requests = delays_ms.iter().flat_map(|ms| [(*ms, "plain"), (*ms, "once")]);
        let answers = requests.map(async |(ms, kind)| {
            monoio::time::sleep(Duration::from_millis(ms)).await;
            let id = format!("{kind}-{ms}");
            let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "3000")];
            let path = format!("/{kind}/x");
            let answer = fleet.call(address, Method::POST, &path, &headers, b"body".to_vec()).await;
            (id, answer.map(|(status, _)| status), stopped_at.elapsed())
        });
        let answers = join_all(answers).await;
        for (id, answer, after) in &answers {
            let status = answer.as_ref().unwrap_or_else(|error| panic!("{id}: {error} {after:?}"));
            assert!(status.is_server_error() && *after < GRACE_TIME, "{id}: {status} {after:?}");
        }
        // The end of the last one would be after the end of the grace time.
        let last = answers.last().expect("answer");
        assert_eq!(last.1.as_ref().ok(), Some(&StatusCode::SERVICE_UNAVAILABLE), "{}", last.0);
        let executed = fleet.stand_in_records().await;
        assert!(!executed.iter().any(|record| record.to_string().contains(&last.0)), "{}", last.0);
    });
}

/// Guards against streams that a stopping node takes although they may last longer than the rest of
/// the grace time: resumable ones were cut when the node exited.
#[test]
fn streams_taken_while_a_node_stops_are_complete() {
    run(async {
        // 30 events, so a stream lasts 3.3 s.
        let options = ["--stream-versions", "v1,v1", "--event-ms", "110"];
        let fleet = Fleet::start_with_options(1, &options);
        fleet.wait_until_ready().await;
        // The node knows the software versions of the targets by then.
        monoio::time::sleep(Duration::from_secs(3)).await;
        fleet.nodes[0].process.as_ref().expect("process").terminate();
        let address = fleet.nodes[0].caller_address;
        let requests = [100_u64, 700, 1300, 1700, 2100, 2500].map(async |ms| {
            monoio::time::sleep(Duration::from_millis(ms)).await;
            let id = format!("stream-{ms}");
            let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "3600")];
            let answer = fleet.call(address, Method::POST, "/stream/x", &headers, Vec::new()).await;
            (id, answer)
        });
        let answers = join_all(requests).await;
        let executed = fleet.stand_in_records().await;
        for (id, answer) in answers {
            let (status, body) = answer.unwrap_or_else(|error| panic!("{id}: {error}"));
            let has_run = executed.iter().any(|record| record.to_string().contains(&id));
            match status {
                StatusCode::OK => {
                    let body = String::from_utf8(body).expect("text");
                    assert!(body.contains("id: 30\n"), "{id}: {body}");
                }
                status => {
                    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{id}");
                    assert!(!has_run, "{id}: refused, but it has run");
                }
            }
        }
    });
}

/// Guards against a stop that is cut short by a second SIGTERM or by a reload of the settings: both
/// come while a stream that began before the stop is still open.
#[test]
fn second_stop_signal_and_reload_interrupt_no_stream() {
    run(async {
        let options = ["--stream-versions", "v1,v1", "--event-ms", "110"];
        let fleet = Fleet::start_with_options(1, &options);
        fleet.wait_until_ready().await;
        monoio::time::sleep(Duration::from_secs(3)).await;
        let node = &fleet.nodes[0];
        let process = node.process.as_ref().expect("process");
        let headers = [("Request-Id", "stream"), ("Deadline-Ms", "3600")];
        let stream =
            fleet.call(node.caller_address, Method::POST, "/stream/x", &headers, Vec::new());
        let signals = async {
            monoio::time::sleep(Duration::from_millis(200)).await;
            process.terminate();
            monoio::time::sleep(Duration::from_millis(300)).await;
            process.terminate();
            process.request_reload();
        };
        let (answer, ()) = futures_util::future::join(stream, signals).await;
        let (status, body) = answer.expect("an answer");
        let body = String::from_utf8(body).expect("text");
        assert!(status == StatusCode::OK && body.contains("id: 30\n"), "{status} {body}");
    });
}
