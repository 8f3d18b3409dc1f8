//! Job records with numbers out of range, as another writer may leave them.

use std::net::SocketAddr;

use deck_batch::{JobStore, StoreJobOutcome};
use deck_testkit::memory::MemoryObjects;

mod common;

/// Guards against a node that ends because it allocates as many items as a record states.
#[test]
fn record_with_a_huge_item_count_allocates_nothing() {
    deck_net::runtime::run(async {
        let job_store = JobStore::new(MemoryObjects::default().store(), 1 << 20);
        let own = SocketAddr::from(([127, 0, 0, 1], 1));
        let job = common::job("job", vec![common::item("i")]);
        let stored = job_store.store_job(&job, "vm-1", own).await;
        let StoreJobOutcome::Stored(mut record, _) = stored else { panic!("{stored:?}") };
        record.item_count = usize::MAX;
        let items = job_store.read_items("job", &record).await.expect("items");
        assert_eq!(items.len(), 1);
    })
    .expect("runtime");
}
