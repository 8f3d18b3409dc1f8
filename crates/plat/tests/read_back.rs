//! Writes that are resolved by reading the object back after their response was lost.

use deck_plat::{Precondition, StoreError};
use deck_testkit::memory::{Fault, MemoryObjects};
use serde_json::json;

/// Guards against a write that is reported as having had no effect and takes effect later: its
/// response was lost, and the object API was unavailable when the write was repeated.
#[test]
fn delayed_write_is_not_reported_as_unavailable() {
    deck_net::runtime::run(async {
        let objects = MemoryObjects::default();
        objects.set_write_faults([Fault::DelayedWrite, Fault::Unavailable]);
        let result =
            objects.store().put_with_read_back("k", "a", Precondition::Absent, &json!(1), 1).await;
        assert_eq!(objects.apply_delayed_writes(), 1);
        assert!(matches!(result, Err(StoreError::ResponseLost(_))), "{result:?}");
    })
    .expect("runtime");
}
