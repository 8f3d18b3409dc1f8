//! A fleet among whose objects another writer leaves undecodable ones.

use deck_net::http::{Method, StatusCode};
use deck_testkit::eventually;
use serde_json::{Value, json};

mod common;

use common::{Fleet, run};

/// Creates an object as another writer does.
async fn create(fleet: &Fleet, kind: &str, name: &str, spec: Value) {
    let body = json!({"Metadata": {"Name": name}, "Spec": spec}).to_string().into_bytes();
    let path = format!("/v1/objects/{kind}");
    let response = fleet.call(fleet.object_api, Method::POST, &path, &[], body).await;
    assert_eq!(response.expect("stand-in").0, StatusCode::OK);
}

/// Returns the status of an object.
async fn status(fleet: &Fleet, kind: &str, name: &str) -> Value {
    let path = format!("/v1/objects/{kind}/{name}");
    let response = fleet.call(fleet.object_api, Method::GET, &path, &[], Vec::new()).await;
    let object: Value = serde_json::from_slice(&response.expect("stand-in").1).expect("object");
    object["Status"].clone()
}

/// Returns a value that is nested as deeply as the stand-in accepts.
fn deep_value() -> Value {
    (0..120).fold(Value::Null, |inner, _| json!([inner]))
}

/// Guards against a process that ends, or stops following a kind, because of one object of another
/// writer, and against a machine that is removed because of a request that cannot be decoded.
#[test]
fn fleet_serves_beside_undecodable_objects() {
    run(async {
        let mut fleet = Fleet::start(2);
        fleet.wait_until_ready().await;
        for kind in ["config", "servers", "versions", "retirements", "nodes", "batchjobs", "Lease"]
        {
            create(&fleet, kind, "deep", deep_value()).await;
            create(&fleet, kind, "wrong-types", json!({"Slots": 1e300, "Version": -1})).await;
            create(&fleet, kind, "text", json!("text")).await;
        }
        let server = |address: &str, slots: Value| {
            json!({"Service": "app", "Address": address, "Zone": "a", "State": "ready",
                   "Slots": slots, "Seq": 1})
        };
        create(&fleet, "servers", "port", server("127.0.0.1:99999", json!(8))).await;
        create(&fleet, "servers", "slots", server("127.0.0.1:1", json!(u64::MAX))).await;
        create(&fleet, "retirements", "s1", json!({"RampS": 1})).await;
        eventually("the valid request is answered", async || {
            status(&fleet, "retirements", "s1").await == json!({"State": "completed"})
        })
        .await;
        for name in ["deep", "wrong-types", "text"] {
            assert_eq!(status(&fleet, "retirements", name).await, Value::Null, "{name}");
        }
        // A version is published and followed, and a job runs with it.
        fleet.publish_version(2).await;
        let mut job = fleet.submit(1, 2, 2).await;
        fleet.read_until_complete(&mut job).await;
        for (index, node) in fleet.entry_nodes().enumerate() {
            let id = format!("plain-{index}");
            let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "2000")];
            let response = fleet
                .call(node.caller_address, Method::POST, "/plain/x", &headers, b"body".to_vec())
                .await;
            assert_eq!(response.expect("answer").0, StatusCode::OK);
        }
        for node in &mut fleet.nodes {
            let process = node.process.as_mut().expect("a process");
            assert!(process.try_wait().is_none(), "{} has ended", node.name);
        }
    });
}
