//! Writes that are resolved by reading the object back after their response was lost.

use std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Duration};

use deck_core::id::Revision;
use deck_plat::{
    Object, ObjectApi, ObjectPart, Precondition, ReadConsistency, Store, StoreError, Watch,
};
use deck_testkit::memory::{Fault, MemoryObjects};
use futures_util::future::LocalBoxFuture;
use serde_json::{Value, json};

/// Object API whose writes have the given faults, one after the other; reads have none.
struct FaultyWrites {
    objects: MemoryObjects,
    faults: RefCell<VecDeque<Fault>>,
}

impl ObjectApi for FaultyWrites {
    fn get<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        consistency: ReadConsistency,
    ) -> LocalBoxFuture<'a, Result<Option<Object>, StoreError>> {
        self.objects.get(kind, name, consistency)
    }

    fn list<'a>(
        &'a self,
        kind: &'a str,
    ) -> LocalBoxFuture<'a, Result<(Revision, Vec<Object>), StoreError>> {
        self.objects.list(kind)
    }

    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        part: ObjectPart,
        condition: Precondition,
        value: &'a Value,
    ) -> LocalBoxFuture<'a, Result<Revision, StoreError>> {
        self.objects.set_fault(self.faults.borrow_mut().pop_front(), Some(1));
        self.objects.put(kind, name, part, condition, value)
    }

    fn delete<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
    ) -> LocalBoxFuture<'a, Result<(), StoreError>> {
        self.objects.delete(kind, name, revision)
    }

    fn watch<'a>(
        &'a self,
        kinds: &'a [&'a str],
        from: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Watch, StoreError>> {
        self.objects.watch(kinds, from, wait)
    }
}

/// Guards against a write that is reported as having had no effect and takes effect later: its
/// response was lost, and the object API was unavailable when the write was repeated.
#[test]
fn delayed_write_is_not_reported_as_unavailable() {
    deck_net::runtime::run(async {
        let objects = MemoryObjects::default();
        let faults = RefCell::new([Fault::DelayedWrite, Fault::Unavailable].into());
        let store = Store::with_api(Rc::new(FaultyWrites { objects: objects.clone(), faults }));
        let result = store.put_with_read_back("k", "a", Precondition::Absent, &json!(1), 1).await;
        assert_eq!(objects.apply_delayed_writes(), 1);
        assert!(matches!(result, Err(StoreError::ResponseLost(_))), "{result:?}");
    })
    .expect("runtime");
}
