//! Reports of the use of the organisations in a fleet of separate processes.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use deck_net::http::{Method, StatusCode};
use deck_testkit::eventually;
use serde_json::{Value, json};

mod common;

use common::{Fleet, run};

/// Keys of the organisations `first` and `second`.
const KEYS: [(&str, &str); 2] = [("first", "key-first"), ("second", "key-second")];
/// Time in which copies of counts reach other nodes, with a margin.
const COPY_TIME: Duration = Duration::from_millis(1500);
/// Time in which counts are stored in the object API, with a margin for a busy machine.
const STORE_TIME: Duration = Duration::from_millis(450);

/// Starts a fleet that reports its use in windows of five seconds.
async fn start_reporting_fleet(entry_nodes: usize) -> Fleet {
    let mut fleet = Fleet::configured(entry_nodes);
    let duty_api = format!(
        "ReportWindowS = 5\nUsageDelayS = 10\n[CloudApi]\nAddress = \"{}\"\nDutyPerS = 50\n\
         Duties = [\"usage_report\"]\n[Platform]\n",
        fleet.object_api
    );
    for index in 0..fleet.nodes.len() {
        fleet.change_setting(index, "[Platform]\n", &duty_api);
    }
    fleet.start_nodes();
    fleet.wait_until_ready().await;
    let path = "/v1/objects/config/main";
    let read = fleet.call(fleet.object_api, Method::GET, path, &[], Vec::new()).await;
    let mut object: Value = serde_json::from_slice(&read.expect("object").1).expect("json");
    object["Spec"]["Version"] = 2.into();
    object["Spec"]["Tenants"] =
        KEYS.iter().map(|(name, key)| json!({"Name": name, "ApiKeys": [key]})).collect();
    let body = json!({"Metadata": {"Name": "main"}, "Spec": object["Spec"]}).to_string();
    let written = fleet.call(fleet.object_api, Method::PUT, path, &[], body.into_bytes()).await;
    assert_eq!(written.expect("written").0, StatusCode::OK);
    for node in fleet.entry_nodes() {
        eventually("keys are needed", async || {
            send(&fleet, node.caller_address, "early", "no key").await == StatusCode::UNAUTHORIZED
        })
        .await;
    }
    fleet
}

async fn send(fleet: &Fleet, node: SocketAddr, id: &str, key: &str) -> StatusCode {
    let credentials = format!("Bearer {key}");
    let headers = [("Request-Id", id), ("Authorization", credentials.as_str())];
    let answer = fleet.call(node, Method::POST, "/once/x", &headers, Vec::new()).await;
    answer.expect("answer").0
}

/// Sends `count` requests of each organisation, spread over the nodes that run.
async fn send_requests(fleet: &Fleet, name: &str, count: usize) {
    let nodes: Vec<_> = fleet.entry_nodes().filter(|node| node.process.is_some()).collect();
    for number in 0..count {
        for (organisation, key) in KEYS {
            let node = nodes[number % nodes.len()].caller_address;
            let id = format!("{name}-{organisation}-{number}");
            assert_eq!(send(fleet, node, &id, key).await, StatusCode::OK);
        }
        monoio::time::sleep(Duration::from_millis(40)).await;
    }
}

/// Returns the index of the node that reports.
async fn holder(fleet: &Fleet) -> usize {
    let reports = reports(fleet).await;
    let name = reports.last().and_then(|report| report["holder"].as_str()).expect("a holder");
    fleet.nodes.iter().position(|node| node.name == name).expect("a node")
}

async fn reports(fleet: &Fleet) -> Vec<Value> {
    let records = fleet.stand_in_records().await;
    records.into_iter().filter(|record| !record["usage"].is_null()).collect()
}

/// Returns the reported requests of each organisation, over all windows. Each window has one count.
async fn reported(fleet: &Fleet) -> BTreeMap<String, u64> {
    let mut windows: BTreeMap<u64, Value> = BTreeMap::new();
    for report in reports(fleet).await {
        let window = report["usage"].as_u64().expect("window");
        let counts = windows.entry(window).or_insert_with(|| report["counts"].clone());
        assert_eq!(*counts, report["counts"], "two reports of window {window}");
    }
    let mut totals = BTreeMap::new();
    for counts in windows.values().filter_map(Value::as_object) {
        for (organisation, count) in counts {
            *totals.entry(organisation.clone()).or_default() += count.as_u64().expect("count");
        }
    }
    totals
}

/// Returns how often targets began to run requests of each organisation.
async fn begun(fleet: &Fleet) -> BTreeMap<String, u64> {
    let mut totals = BTreeMap::new();
    for record in fleet.stand_in_records().await {
        if let (Some(_), Some(name)) = (record["call"].as_str(), record["organisation"].as_str()) {
            *totals.entry(name.to_owned()).or_default() += 1;
        }
    }
    totals
}

/// Requests are missing in the reports, or a window is reported with two counts, after the node that
/// reports was killed, another one has stopped, the object API was down, and all were killed.
#[test]
fn use_is_reported_although_nodes_are_killed_and_stopped() {
    run(async {
        let mut fleet = start_reporting_fleet(4).await;
        eventually("a node reports", async || !reports(&fleet).await.is_empty()).await;
        let first_holder = holder(&fleet).await;
        send_requests(&fleet, "calm", 20).await;
        monoio::time::sleep(COPY_TIME).await;
        fleet.nodes[first_holder].process = None;
        send_requests(&fleet, "without-holder", 20).await;
        let stopping = (first_holder + 1) % 4;
        fleet.nodes[stopping].process.as_ref().expect("runs").terminate();
        eventually("the node has stopped", async || {
            fleet.nodes[stopping].process.as_mut().is_some_and(|it| it.try_wait().is_some())
        })
        .await;
        fleet.nodes[stopping].process = None;
        fleet.set_faults(json!({"store_down": true})).await;
        send_requests(&fleet, "without-object-api", 20).await;
        fleet.set_faults(json!({"store_down": false})).await;
        eventually("all use is reported", async || reported(&fleet).await == begun(&fleet).await)
            .await;
        let fences: Vec<_> = reports(&fleet).await.iter().map(|it| it["fence"].as_u64()).collect();
        assert!(fences.is_sorted(), "{fences:?}");
        assert!(begun(&fleet).await["first"] >= 60);
    });
}

/// Requests that targets began to run shortly before all nodes are killed are missing in the reports.
#[test]
fn use_is_reported_although_all_nodes_are_killed_at_once() {
    run(async {
        let mut fleet = start_reporting_fleet(4).await;
        eventually("a node reports", async || !reports(&fleet).await.is_empty()).await;
        for name in ["first", "second"] {
            send_requests(&fleet, name, 20).await;
            monoio::time::sleep(STORE_TIME).await;
            for node in &mut fleet.nodes {
                node.process = None;
            }
            fleet.start_nodes();
            fleet.wait_until_ready().await;
        }
        eventually("all use is reported", async || reported(&fleet).await == begun(&fleet).await)
            .await;
    });
}
