//! Own objects that another writer has replaced with undecodable ones.

use std::time::Duration;

use deck_plat::{
    AcquireResult, HeldLease, LeaseCandidate, LeaseOptions, Precondition, Store, StoreError,
};
use deck_testkit::memory::MemoryObjects;
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
