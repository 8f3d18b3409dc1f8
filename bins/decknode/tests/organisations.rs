//! Keys and organisations in a fleet of separate processes.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use deck_net::http::{Method, StatusCode};
use deck_testkit::{eventually, proxy::Direction};
use serde_json::{Value, json};

mod common;

use common::{Fleet, HOST, run};

/// Two keys of the first organisation, and one of the second.
const KEYS: [&str; 3] = ["key-first-1", "key-first-2", "key-second-1"];

/// Returns organisations of which the first has the given keys.
fn organisations(first_keys: &[&str]) -> Value {
    json!([{"Name": "first", "ApiKeys": first_keys}, {"Name": "second", "ApiKeys": [KEYS[2]]}])
}

/// Writes a configuration with these organisations over the present one.
async fn configure(fleet: &Fleet, version: u64, organisations: Value) {
    let path = "/v1/objects/config/main";
    let read = fleet.call(fleet.object_api, Method::GET, path, &[], Vec::new()).await;
    let mut object: Value = serde_json::from_slice(&read.expect("object").1).expect("json");
    object["Spec"]["Version"] = version.into();
    object["Spec"]["Tenants"] = organisations;
    let body = json!({"Metadata": {"Name": "main"}, "Spec": object["Spec"]}).to_string();
    let written = fleet.call(fleet.object_api, Method::PUT, path, &[], body.into_bytes()).await;
    assert_eq!(written.expect("written").0, StatusCode::OK);
}

/// Sends a request with a key to a node.
async fn send(
    fleet: &Fleet,
    address: SocketAddr,
    (method, path, id): (Method, &str, &str),
    key: Option<&str>,
    body: &str,
) -> StatusCode {
    let credentials = key.map(|key| format!("Bearer {key}"));
    let mut headers = vec![("Request-Id", id), ("Tenant", "forged"), ("Deadline-Ms", "2000")];
    headers.extend(credentials.as_deref().map(|credentials| ("Authorization", credentials)));
    let answer = fleet.call(address, method, path, &headers, body.as_bytes().to_vec()).await;
    answer.expect("answer").0
}

async fn send_plain(fleet: &Fleet, address: SocketAddr, id: &str, key: Option<&str>) -> StatusCode {
    send(fleet, address, (Method::POST, "/plain/x", id), key, "").await
}

/// Sends a plain request on an open connection and returns the status.
fn send_on(connection: &mut TcpStream, id: &str, key: &str) -> String {
    let head = format!(
        "POST /plain/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Authorization: Bearer {key}\r\nContent-Length: 0\r\n\r\n"
    );
    connection.write_all(head.as_bytes()).expect("request");
    let mut buffer = [0; 4096];
    let length = connection.read(&mut buffer).expect("response");
    let response = String::from_utf8_lossy(&buffer[..length]).into_owned();
    response.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// Guards against requests that run without a key of the present configuration, on new and on open
/// connections, against an organisation that learns of the jobs of another one, and against keys that
/// leave the node.
#[test]
fn keys_decide_what_runs_and_who_finds_a_job() {
    run(async {
        let fleet = Fleet::start(2);
        fleet.wait_until_ready().await;
        let nodes = [fleet.nodes[0].caller_address, fleet.nodes[1].caller_address];
        configure(&fleet, 2, organisations(&KEYS[..2])).await;
        for (index, node) in nodes.into_iter().enumerate() {
            eventually("keys are needed", async || {
                send_plain(&fleet, node, "early", None).await == StatusCode::UNAUTHORIZED
            })
            .await;
            for (id, key) in [("no-key", None), ("unknown-key", Some("key-unknown"))] {
                let id = format!("refused-{id}-{index}");
                let status = send_plain(&fleet, node, &id, key).await;
                assert_eq!(status, StatusCode::UNAUTHORIZED);
            }
            let status = send_plain(&fleet, node, &format!("plain-{index}"), Some(KEYS[0])).await;
            assert_eq!(status, StatusCode::OK);
            let nowhere = (Method::POST, "/nowhere/x", "nowhere");
            assert_eq!(send(&fleet, node, nowhere, None, "").await, StatusCode::NOT_FOUND);
        }
        let mut connection = TcpStream::connect(nodes[0]).expect("connection");
        connection.set_read_timeout(Some(Duration::from_secs(5))).expect("timeout");
        assert_eq!(send_on(&mut connection, "on-open-connection", KEYS[1]), "200");

        let headers = json!({"Model": "m0", "Tenant": "forged", "Authorization": KEYS[1]});
        let body = json!({"Step": 0, "Model": "m0", "MinVersion": 1, "GroupCount": 1, "Items": [
            {"Id": "item", "Path": "/jobs/run", "Headers": headers, "Body": "q83v", "Tokens": 100,
             "Group": "g"}]});
        let body = body.to_string();
        let submission = || (Method::POST, "/jobs/job", "job");
        for key in [None, Some("key-unknown")] {
            let status = send(&fleet, nodes[0], submission(), key, &body).await;
            assert_eq!(status, StatusCode::UNAUTHORIZED);
        }
        eventually("the job is accepted", async || {
            let status = send(&fleet, nodes[0], submission(), Some(KEYS[1]), &body).await;
            status == StatusCode::ACCEPTED
        })
        .await;
        configure(&fleet, 3, organisations(&KEYS[..1])).await;
        eventually("the key is withdrawn", async || {
            send_on(&mut connection, "with-withdrawn-key", KEYS[1]) == "401"
        })
        .await;
        assert_eq!(send_on(&mut connection, "with-other-key", KEYS[0]), "200");
        for node in nodes {
            let call = |method| (method, "/v1/lots/job", "call");
            for (key, status) in [
                (None, StatusCode::UNAUTHORIZED),
                (Some("key-unknown"), StatusCode::UNAUTHORIZED),
                (Some(KEYS[2]), StatusCode::NOT_FOUND),
            ] {
                for method in [Method::GET, Method::DELETE] {
                    assert_eq!(send(&fleet, node, call(method), key, "").await, status);
                }
            }
            eventually("the job is read with another key", async || {
                send(&fleet, node, call(Method::GET), Some(KEYS[0]), "").await == StatusCode::OK
            })
            .await;
        }
        eventually("the item has run", async || {
            fleet.stand_in_records().await.iter().any(|record| record["run"] == "item")
        })
        .await;
        for record in fleet.stand_in_records().await {
            let id = record["call"].as_str().or(record["run"].as_str()).unwrap_or_default();
            // Sent while the configuration still had no organisations.
            if id == "early" {
                continue;
            }
            assert!(record["has_key"] != true && record["organisation"] != "forged", "{record}");
            assert!(!id.starts_with("refused"), "{record}");
            if id == "item" || id.starts_with("plain-") {
                assert_eq!(record["organisation"], "first", "{record}");
            }
        }
        let kinds =
            fleet.call(fleet.object_api, Method::GET, "/v1/objects/batchitems", &[], vec![]);
        let stored_items = String::from_utf8(kinds.await.expect("items").1).expect("text");
        assert!(stored_items.contains("m0") && !stored_items.contains(KEYS[1]), "{stored_items}");
        for log in fleet.write_logs() {
            let log = std::fs::read_to_string(log).expect("log");
            assert!(KEYS.iter().all(|key| !log.contains(key)), "a key is in the logs: {log}");
        }
    });
}

/// Guards against a node that accepts a key later than the bound after the acknowledgement of its
/// withdrawal although it is cut off, frozen or restarted, and against one that refuses keys earlier
/// than it has to.
#[test]
fn withdrawn_key_runs_nowhere_after_the_bound() {
    const BOUND: Duration = Duration::from_secs(3);
    run(async {
        let mut fleet = Fleet::start_with_proxies(1).await;
        fleet.change_setting(0, "GraceS = 5", "GraceS = 5\nStrictRevoke = true\nRevokeMs = 3000");
        fleet.nodes[0].process.take().expect("process").kill();
        fleet.start_node(0);
        fleet.wait_until_ready().await;
        let node = fleet.nodes[0].caller_address;
        configure(&fleet, 2, organisations(&KEYS[..2])).await;
        for key in &KEYS[..2] {
            eventually("the key is accepted", async || {
                let early = send_plain(&fleet, node, "early", None).await;
                let accepted = send_plain(&fleet, node, "accepted", Some(key)).await;
                early == StatusCode::UNAUTHORIZED && accepted == StatusCode::OK
            })
            .await;
        }
        let set_cut = |is_cut: bool| {
            for proxy in fleet.nodes.iter().filter_map(|node| node.object_api_proxy.as_ref()) {
                proxy.set_blocked(Direction::FromTarget, is_cut);
            }
        };
        // The confirmations go on after the configuration was received.
        monoio::time::sleep(BOUND + Duration::from_millis(500)).await;
        assert_eq!(send_plain(&fleet, node, "in-touch", Some(KEYS[1])).await, StatusCode::OK);
        set_cut(true);
        configure(&fleet, 3, organisations(&KEYS[..1])).await;
        let withdrawn_at = Instant::now();
        monoio::time::sleep(BOUND / 2).await;
        assert_eq!(send_plain(&fleet, node, "cut-off", Some(KEYS[0])).await, StatusCode::OK);
        monoio::time::sleep((withdrawn_at + BOUND).saturating_duration_since(Instant::now())).await;
        let refused = StatusCode::SERVICE_UNAVAILABLE;
        assert_eq!(send_plain(&fleet, node, "late", Some(KEYS[1])).await, refused);
        let process = fleet.nodes[0].process.as_ref().expect("process");
        process.suspend();
        monoio::time::sleep(Duration::from_millis(300)).await;
        process.resume();
        assert_eq!(send_plain(&fleet, node, "late-thawed", Some(KEYS[1])).await, refused);
        fleet.nodes[0].process.take().expect("process").kill();
        fleet.start_node(0);
        eventually("the node answers again", async || {
            let headers =
                [("Request-Id", "late-restarted"), ("Authorization", "Bearer key-first-2")];
            let answer = fleet.call(node, Method::POST, "/plain/x", &headers, vec![]).await;
            answer.is_ok_and(|(status, _)| status == refused)
        })
        .await;
        for proxy in fleet.nodes.iter().filter_map(|node| node.object_api_proxy.as_ref()) {
            proxy.clear_faults();
        }
        eventually("the other key is accepted again", async || {
            send_plain(&fleet, node, "after", Some(KEYS[0])).await == StatusCode::OK
        })
        .await;
        let status = send_plain(&fleet, node, "late-after", Some(KEYS[1])).await;
        assert_eq!(status, StatusCode::UNAUTHORIZED);
        for record in fleet.stand_in_records().await {
            let id = record["call"].as_str().unwrap_or_default();
            assert!(!id.starts_with("late"), "{record}");
        }
    });
}
