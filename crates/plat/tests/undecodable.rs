//! Own objects that another writer has replaced with undecodable ones.

use std::time::Duration;

use deck_net::Client;
use deck_plat::{
    AcquireResult, HeldLease, LeaseCandidate, LeaseOptions, Precondition, Store, StoreError,
    WatchEvent,
};
use deck_testkit::{memory::MemoryObjects, raw::RawServer};
use serde_json::{Value, json};
use test_case::test_case;

const LEASE_DURATION: Duration = Duration::from_millis(300);

fn candidate(store: &Store, vm: &str) -> LeaseCandidate {
    let options = LeaseOptions { duration: LEASE_DURATION, ..LeaseOptions::default() };
    LeaseCandidate::new(store.clone(), "l", vm.to_owned(), "127.0.0.1:1", options)
}

/// Tries to acquire the lease until it succeeds.
async fn acquire(mut candidate: LeaseCandidate) -> HeldLease {
    for _ in 0..100 {
        candidate = match candidate.try_acquire().await {
            AcquireResult::Held(held) => return held,
            AcquireResult::HeldElsewhere(candidate, _) | AcquireResult::Failed(candidate, _) => {
                candidate
            }
        };
        monoio::time::sleep(LEASE_DURATION / 20).await;
    }
    panic!("the lease is not acquired");
}

/// Guards against a fleet that has no leader for ever because its lease cannot be decoded, against a
/// second holder while the first one may still act, and against a fencing number that targets have
/// already seen.
#[test_case(Value::Null; "unreadable")]
#[test_case(json!({"schema": 1, "spec": {"holder": 7}}); "fields of another type")]
fn undecodable_lease_is_acquired_after_its_duration(value: Value) {
    deck_net::runtime::run(async {
        let store = MemoryObjects::default().store();
        let first = acquire(candidate(&store, "a")).await;
        let mut held = acquire(candidate(&store, "b")).await;
        assert_eq!(held.fencing(), first.fencing() + 1);
        let kind = "Lease";
        let object = store.get(kind, "l").await.expect("get").expect("object");
        let condition = Precondition::Revision(object.revision);
        store.put(kind, "l", condition, &value).await.expect("put");
        let result = candidate(&store, "c").try_acquire().await;
        assert!(matches!(result, AcquireResult::HeldElsewhere(..)), "the lease is not held");
        let renewed = held.renew().await;
        assert!(matches!(renewed, Err(StoreError::Conflict(_))), "{renewed:?}");
        let next = acquire(held.into_candidate()).await;
        assert!(next.fencing() > first.fencing() + 1);
    })
    .expect("runtime");
}

/// Starts an object API in the built-in format with an undecodable value in each response.
fn start_object_api(value: &'static str) -> (RawServer, Store) {
    let server = RawServer::start(move |exchange| {
        let undecodable = format!(r#"{{"kind":"k","name":"a","revision":8,"value":{value}}}"#);
        let valid = r#"{"kind":"k","name":"b","revision":9,"value":1}"#;
        let body = if exchange.head.contains("/v1/watch") {
            format!("event: put\ndata: {undecodable}\n\nevent: put\ndata: {valid}\n\n")
        } else if exchange.head.contains("/v1/objects/k/a") {
            undecodable
        } else {
            format!(r#"{{"revision":9,"items":[{undecodable},{valid},7]}}"#)
        };
        let length = body.len();
        exchange.write(&format!(
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
        ));
    });
    let store = Store::new(Client::default(), server.address, Duration::from_secs(5));
    (server, store)
}

/// Guards against a list or watch of the built-in format that fails for ever because one value
/// cannot be decoded, and against an own object that can never be replaced for that reason.
#[test_case("1e999"; "number that is too large")]
#[test_case("[".repeat(500).leak(); "nesting that is too deep")]
fn undecodable_value_costs_only_its_object(value: &'static str) {
    deck_net::runtime::run(async {
        let value = format!("{value}{}", "]".repeat(value.matches('[').count())).leak();
        let (_server, store) = start_object_api(value);
        let (revision, objects) = store.list("k").await.expect("list");
        let values: Vec<_> =
            objects.iter().map(|object| (object.name.as_str(), object.value.clone())).collect();
        assert_eq!((revision, values), (9, vec![("a", Value::Null), ("b", json!(1))]));
        let object = store.get("k", "a").await.expect("get").expect("object");
        assert_eq!((object.revision, object.value), (8, Value::Null));
        let mut watch = store.watch(&["k"], 5).await.expect("watch");
        for (name, value) in [("a", Value::Null), ("b", json!(1))] {
            let event = watch.next().await.expect("event");
            assert!(
                matches!(&event, Some(WatchEvent::Put(put)) if put.name == name && put.value == value),
                "{event:?}"
            );
        }
    })
    .expect("runtime");
}
