//! Batch jobs of several organisations.

use std::net::SocketAddr;

use deck_batch::JobRecord;
use deck_core::hash::hash64;
use deck_fleet::{BatchCall, RequestMetadata, Route, RouteKind};
use deck_net::http::StatusCode;
use deck_testkit::memory::MemoryObjects;
use http_body_util::BodyExt;
use serde_json::json;

mod common;

use common::{Node, node};

/// Id that callers of both organisations choose.
const ID: &str = "job";

async fn submit(node: &Node, organisation: Option<&str>) -> StatusCode {
    let configuration = common::rollout_configuration(false);
    let route: &Route = configuration.routes().next().expect("route");
    assert_eq!(route.kind, RouteKind::Rollout);
    let body = json!({"Model": "m", "Items": [{"Id": "i", "Path": "/j/run", "Headers": {},
                      "Body": "q83v", "Tokens": 10, "Group": "g"}]});
    let metadata = RequestMetadata { request_id: Some(ID.to_owned()), ..Default::default() };
    let organisation = organisation.map(str::to_owned);
    let body = body.to_string().into_bytes().into();
    node.service.submit("h", "/j/job", route, organisation, &metadata, body).await.status()
}

/// Returns the status and body of a call.
async fn call(node: &Node, organisation: Option<&str>, call: BatchCall) -> (StatusCode, Vec<u8>) {
    let response = node.service.call(call, organisation, &RequestMetadata::default()).await;
    let status = response.status();
    (status, response.into_body().collect().await.expect("body").to_bytes().to_vec())
}

fn calls(id: &str) -> [BatchCall; 3] {
    let (job, item) = (id.to_owned(), "i".to_owned());
    [
        BatchCall::Read { job: job.clone(), from: 0 },
        BatchCall::ItemBody { job: job.clone(), item },
        BatchCall::End { job },
    ]
}

/// Guards against an organisation that learns that another one has a job, by any call or by a
/// submission under the same id, and against one whose own job such calls affect.
#[test]
fn other_organisation_finds_no_job() {
    let test = async {
        let objects = MemoryObjects::default();
        let node = node("vm-1", SocketAddr::from(([127, 0, 0, 1], 1)), &objects);
        node.view.set_configuration(common::rollout_configuration(false));
        assert_eq!(submit(&node, Some("a")).await, StatusCode::ACCEPTED);
        for organisation in [Some("b"), None] {
            for (found, unknown) in calls(ID).into_iter().zip(calls("xyz")) {
                let answer = call(&node, organisation, found).await;
                assert_eq!(answer.0, StatusCode::NOT_FOUND);
                let unknown_answer = call(&node, organisation, unknown).await;
                let text = String::from_utf8(unknown_answer.1).expect("text").replace("xyz", ID);
                assert_eq!(answer, (unknown_answer.0, text.into_bytes()));
            }
        }
        assert_eq!(submit(&node, Some("b")).await, StatusCode::ACCEPTED);
        for organisation in ["a", "b"] {
            let [read, body, end] = calls(ID);
            for allowed in [read, body] {
                assert_eq!(call(&node, Some(organisation), allowed).await.0, StatusCode::OK);
            }
            assert_eq!(call(&node, Some(organisation), end).await.0, StatusCode::OK);
        }
        let stored = |name: &str| format!("{:016x}~{ID}", hash64(name.as_bytes()));
        let record = node.job_store.read_record(&stored("a")).await.expect("read");
        assert_eq!(record.expect("record").0.organisation.as_deref(), Some("a"));
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against a caller that names the stored id of another organisation's job.
#[test]
fn stored_id_is_no_id_of_callers() {
    let test = async {
        let objects = MemoryObjects::default();
        let node = node("vm-1", SocketAddr::from(([127, 0, 0, 1], 1)), &objects);
        node.view.set_configuration(common::rollout_configuration(false));
        assert_eq!(submit(&node, Some("a")).await, StatusCode::ACCEPTED);
        let stored_id = format!("{:016x}~{ID}", hash64(b"a"));
        for organisation in [Some("b"), None] {
            for foreign in calls(&stored_id) {
                assert_eq!(call(&node, organisation, foreign).await.0, StatusCode::NOT_FOUND);
            }
        }
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against records of earlier releases that cannot be decoded, and against records that differ
/// from theirs in deployments without organisations.
#[test]
fn record_without_an_organisation_is_as_before() {
    let encoded = json!({"runner": "vm-1", "address": "127.0.0.1:1", "ended": false, "parts": 1,
        "total": 1, "host": "h", "path": "/j", "model": "m", "min_version": 1, "group_count": 0,
        "limits": {"results_due_ms": 1, "give_up_ms": 1, "attempts": 1, "single_version": false,
                   "priority": 0},
        "submitted_at_ms": 1});
    let record: JobRecord = serde_json::from_value(encoded.clone()).expect("record");
    assert_eq!(record.organisation, None);
    assert_eq!(serde_json::to_value(&record).expect("json"), encoded);
}
