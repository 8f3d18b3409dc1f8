//! Instrumentation of calls to the object API.

use std::{cell::RefCell, rc::Rc};

use deck_plat::{
    MeteredApi, Precondition, Store,
    metered::{CallRecord, Operation, Outcome},
};
use deck_testkit::memory::{Fault, MemoryObjects};
use serde_json::json;

/// Guards against calls that are not reported, or reported with a wrong outcome.
#[test]
fn each_call_is_reported_with_its_outcome() {
    let test = async {
        let recorded_calls: Rc<RefCell<Vec<(Operation, Outcome)>>> = Rc::default();
        let observer_calls = recorded_calls.clone();
        let observer = Rc::new(move |call: CallRecord<'_>| {
            assert_eq!(call.kind, "k");
            observer_calls.borrow_mut().push((call.operation, call.outcome));
        });
        let objects = MemoryObjects::default();
        let store = Store::with_api(Rc::new(MeteredApi::new(Rc::new(objects.clone()), observer)));
        let revision = store.put("k", "a", Precondition::Absent, &json!(1)).await.expect("put");
        store.put("k", "a", Precondition::Absent, &json!(2)).await.expect_err("exists");
        store.get("k", "a").await.expect("get");
        store.get_stale("k", "a").await.expect("get");
        objects.set_fault(Some(Fault::ResponseLost), Some(1));
        let replace = Precondition::Revision(revision);
        store.put("k", "a", replace, &json!(2)).await.expect_err("lost");
        objects.set_fault(Some(Fault::Unavailable), Some(1));
        store.list("k").await.expect_err("down");
        // The in-memory object API keeps no history, so a watch ends with `Compacted`.
        let mut watch = store.watch(&["k"], revision).await.expect("watch");
        watch.next().await.expect_err("compacted");
        let expected = [
            (Operation::Create, Outcome::Ok),
            (Operation::Create, Outcome::Conflict),
            (Operation::Get, Outcome::Ok),
            (Operation::GetStale, Outcome::Ok),
            (Operation::Replace, Outcome::ResponseLost),
            (Operation::List, Outcome::Refused),
            (Operation::Watch, Outcome::Refused),
        ];
        assert_eq!(*recorded_calls.borrow(), expected);
    };
    deck_net::runtime::run(test).expect("runtime");
}
