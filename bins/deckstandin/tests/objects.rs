//! Tests of the object API stand-in, through the client that the daemons use.

mod common;

use std::time::Duration;

use common::{Standin, run};
use deck_plat::store::{Precondition, Store, StoreError, WatchEvent};
use serde_json::json;

fn store(standin: &Standin) -> Store {
    Store::new(standin.client.clone(), standin.address, Duration::from_secs(10))
}

/// Guards against a stand-in that accepts writes whose condition does not hold.
#[test]
fn conditional_writes_conflict_with_the_current_revision() {
    run(async {
        let standin = Standin::start(&["objects"]);
        let store = store(&standin);
        let value = json!({ "schema": 1, "spec": {} });
        let first = store.put("Lease", "a", Precondition::Absent, &value).await.expect("create");
        let again = store.put("Lease", "a", Precondition::Absent, &value).await;
        assert!(matches!(again, Err(StoreError::Conflict(Some(r))) if r == first), "{again:?}");
        let condition = Precondition::Revision(first);
        let second = store.put("Lease", "a", condition, &value).await.expect("update");
        assert!(second > first);
        let stale = store.put("Lease", "a", condition, &value).await;
        assert!(matches!(stale, Err(StoreError::Conflict(Some(r))) if r == second), "{stale:?}");
        let stale = store.delete("Lease", "a", first).await;
        assert!(matches!(stale, Err(StoreError::Conflict(Some(_)))), "{stale:?}");
        store.delete("Lease", "a", second).await.expect("delete");
        assert_eq!(store.get("Lease", "a").await.expect("get"), None);
        let (status, _) = standin.json("PUT", "/v1/objects/Lease/b", value).await;
        assert_eq!(status, 428, "a write without a condition is refused");
        let large = format!("\"{}\"", "x".repeat(1_000_000));
        let request = deck_net::http::Request::put("/v1/objects/Lease/b")
            .header("if-none-match", "*")
            .body(deck_net::Body::full(large))
            .expect("request");
        let refused = standin.client.send(standin.address, request).await.expect("response");
        assert_eq!(refused.status, 413);
    });
}

/// Guards against a write that has no effect when its response is lost, or whose effect the client
/// cannot detect.
#[test]
fn lost_response_takes_effect_and_is_resolved() {
    run(async {
        let standin = Standin::start(&["objects", "--history"]);
        let store = store(&standin);
        standin.faults(json!({ "lose_responses": 1 })).await;
        let value = json!({ "nonce": 1 });
        let lost = store.put("Lease", "a", Precondition::Absent, &value).await;
        assert!(matches!(lost, Err(StoreError::ResponseLost(_))), "{lost:?}");
        assert_eq!(store.get("Lease", "a").await.expect("get").expect("exists").value, value);
        standin.faults(json!({ "lose_responses": 1 })).await;
        let value = json!({ "nonce": 2 });
        let put = store.put_with_read_back("Lease", "b", Precondition::Absent, &value, 3).await;
        assert_eq!(put.expect("resolved"), 2);
        let records = standin.records().await;
        assert_eq!(records["counts"]["lost_responses"], 2);
        assert_eq!(records["history"][1]["name"], "b");
        assert_eq!(records["history"][1]["response_lost"], true);
    });
}

/// Guards against a watch that misses events or starts from a compacted revision.
#[test]
fn watch_sends_events_and_bookmarks_until_compacted() {
    run(async {
        let standin = Standin::start(&["objects"]);
        let store = store(&standin);
        let value = json!({});
        let first = store.put("A", "x", Precondition::Absent, &value).await.expect("put");
        let mut watch = store.watch(&["A"], 0).await.expect("watch");
        let event = watch.next().await.expect("event");
        assert!(matches!(event, Some(WatchEvent::Put(object)) if object.revision == first));
        store.put("B", "other", Precondition::Absent, &value).await.expect("put");
        store.delete("A", "x", first).await.expect("delete");
        let event = watch.next().await.expect("event");
        assert!(matches!(event, Some(WatchEvent::Delete { revision: 3, .. })), "{event:?}");
        assert_eq!(watch.next().await.expect("event"), Some(WatchEvent::Bookmark(3)));
        standin.json("POST", "/admin/compact", json!({})).await;
        let compacted = store.watch(&["A"], 1).await;
        assert!(matches!(compacted, Err(StoreError::Compacted)));
        standin.faults(json!({ "outage": "refuse" })).await;
        assert!(watch.next().await.is_err(), "a watch breaks off in an outage");
        let refused = store.get("A", "x").await;
        assert!(matches!(refused, Err(StoreError::Unavailable(_))), "{refused:?}");
    });
}

/// Guards against rate limits without effect, and reads that count towards the limit of writes.
#[test]
fn rates_of_reads_and_writes_are_separate() {
    run(async {
        let standin = Standin::start(&["objects", "--writes-per-s", "3", "--reads-per-s", "1000"]);
        let store = store(&standin);
        let mut limited_count = 0;
        for number in 0..20 {
            let name = format!("n{number}");
            match store.put("A", &name, Precondition::Absent, &json!({})).await {
                Ok(_) => {}
                Err(StoreError::RateLimited(retry_after)) => {
                    assert_eq!(retry_after, Duration::from_secs(1));
                    limited_count += 1;
                }
                Err(error) => panic!("{error}"),
            }
        }
        assert!(limited_count > 0);
        store.list("A").await.expect("reads have a rate of their own");
        assert_eq!(standin.records().await["counts"]["rate_limited"], limited_count);
    });
}

/// Guards against a fault request with a misspelt field that silently sets nothing.
#[test]
fn unknown_fault_is_refused_by_name() {
    run(async {
        let standin = Standin::start(&["objects"]);
        let (status, answer) = standin.json("POST", "/admin/faults", json!({ "delai": 1 })).await;
        assert_eq!(status, 400);
        assert!(answer.to_string().contains("delai"), "{answer}");
    });
}
