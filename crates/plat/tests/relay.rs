//! Calls to the object API through another node.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use deck_core::CancellationToken;
use deck_net::{
    Body, Client, ServerOptions, bind,
    http::{Request, Response},
    server::{close_without_response, read_body},
};
use deck_plat::{
    AcquireResult, LeaseCandidate, LeaseOptions, Precondition, RelayPeers, RelayedApi, Store,
    StoreError, relay,
};
use deck_testkit::{
    eventually,
    memory::{Fault, MemoryObjects},
};
use hyper::body::Incoming;
use serde_json::json;

const CALL_TIMEOUT: Duration = Duration::from_millis(500);

fn run<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

/// Starts a node that executes relayed calls on `objects`.
fn start_relay_node(objects: MemoryObjects, cancel: &CancellationToken) -> SocketAddr {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    let address = listener.local_addr().expect("address");
    let serve =
        deck_net::serve(listener, ServerOptions::default(), cancel.clone(), move |request| {
            let objects = objects.clone();
            async move {
                let body = read_body(request.into_body(), 1 << 20).await.expect("body");
                let response = relay::serve_relayed_call(&objects, &body).await.expect("answer");
                Response::new(Body::full(response))
            }
        });
    monoio::spawn(serve);
    address
}

/// Returns a store that uses `direct_api`, and `nodes` while that fails.
fn relayed_store(direct_api: &MemoryObjects, nodes: Vec<SocketAddr>) -> Store {
    let own_address = SocketAddr::from(([127, 0, 0, 1], 1));
    let peers = RelayPeers::new(Client::default(), own_address, nodes, CALL_TIMEOUT);
    Store::with_api(Rc::new(RelayedApi::new(Rc::new(direct_api.clone()), peers)))
}

/// Guards against a node that cannot make progress because the object API rejects only its calls.
#[test]
fn calls_go_through_another_node_while_direct_ones_fail() {
    run(async {
        let cancel = CancellationToken::new();
        let objects = MemoryObjects::default();
        let (failing_api, relay_node) =
            (MemoryObjects::default(), start_relay_node(objects.clone(), &cancel));
        failing_api.set_fault(Some(Fault::Unavailable), None);
        let store = relayed_store(&failing_api, vec![relay_node]);
        let revision = store.put("k", "a", Precondition::Absent, &json!(1)).await.expect("put");
        let object = store.get("k", "a").await.expect("get").expect("object");
        assert_eq!((object.revision, &object.value), (revision, &json!(1)));
        assert_eq!(store.list("k").await.expect("list").1.len(), 1);
        let conflict = store.put("k", "a", Precondition::Absent, &json!(2)).await;
        assert!(matches!(conflict, Err(StoreError::Conflict(_))), "{conflict:?}");
        store.delete("k", "a", revision).await.expect("delete");
        assert!(objects.object_names("k").is_empty());
        cancel.cancel();
    });
}

/// Guards against a node that keeps relaying its calls after direct calls work again.
#[test]
fn direct_calls_resume() {
    run(async {
        let cancel = CancellationToken::new();
        let direct_api = MemoryObjects::default();
        let relay_node = start_relay_node(MemoryObjects::default(), &cancel);
        let store = relayed_store(&direct_api, vec![relay_node]);
        direct_api.set_fault(Some(Fault::Unavailable), None);
        store.put("k", "relayed", Precondition::Absent, &json!(1)).await.expect("put");
        direct_api.set_fault(None, None);
        eventually("a direct write", async || {
            let _ = store.put("k", "direct", Precondition::Absent, &json!(1)).await;
            !direct_api.object_names("k").is_empty()
        })
        .await;
        cancel.cancel();
    });
}

/// Guards against a holder that gives up its lease because the relayed retry of a renewal conflicts
/// with its own direct write, whose response was lost.
#[test]
fn conflict_with_the_own_lost_write_is_reported_as_response_lost() {
    run(async {
        let cancel = CancellationToken::new();
        let objects = MemoryObjects::default();
        let relay_node = start_relay_node(objects.clone(), &cancel);
        let store = relayed_store(&objects, vec![relay_node]);
        objects.set_fault(Some(Fault::ResponseLost), Some(1));
        let result = store.put("k", "a", Precondition::Absent, &json!(1)).await;
        assert!(matches!(result, Err(StoreError::ResponseLost(_))), "{result:?}");
        assert_eq!(objects.object_names("k"), ["a"]);
        cancel.cancel();
    });
}

/// Starts two nodes that relay calls. The first call that arrives at either of them is executed on
/// `objects` without a response, further calls are executed on `later_objects`.
fn start_relay_nodes_with_lost_response(
    objects: &MemoryObjects,
    later_objects: &MemoryObjects,
    cancel: &CancellationToken,
) -> Vec<SocketAddr> {
    let received_calls = Rc::new(Cell::new(0));
    let start_node = || {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let address = listener.local_addr().expect("address");
        let (objects, later_objects) = (objects.clone(), later_objects.clone());
        let received_calls = received_calls.clone();
        let handler = move |request: Request<Incoming>| {
            let is_first_call = received_calls.replace(received_calls.get() + 1) == 0;
            let objects = if is_first_call { objects.clone() } else { later_objects.clone() };
            async move {
                let body = read_body(request.into_body(), 1 << 20).await.expect("body");
                let response = relay::serve_relayed_call(&objects, &body).await.expect("answer");
                if is_first_call {
                    close_without_response()
                } else {
                    Response::new(Body::full(response))
                }
            }
        };
        let options = ServerOptions::default();
        monoio::spawn(deck_net::serve(listener, options, cancel.clone(), handler));
        address
    };
    vec![start_node(), start_node()]
}

/// Checks that a write is in doubt if the first node that relays it executes it without a response,
/// and the second one executes its calls on `later_objects`.
async fn assert_write_is_in_doubt(
    objects: &MemoryObjects,
    direct_api: &MemoryObjects,
    later_objects: &MemoryObjects,
) {
    let cancel = CancellationToken::new();
    direct_api.set_fault(Some(Fault::Unavailable), None);
    let nodes = start_relay_nodes_with_lost_response(objects, later_objects, &cancel);
    let result =
        relayed_store(direct_api, nodes).put("k", "a", Precondition::Absent, &json!(1)).await;
    assert_eq!(objects.object_names("k"), ["a"]);
    assert!(matches!(result, Err(StoreError::ResponseLost(_))), "{result:?}");
    cancel.cancel();
}

/// Guards against a write that is reported as a conflict with another writer, although the conflict
/// is with the same write, carried out through another node whose response was lost.
#[test]
fn conflict_with_a_write_through_another_node_is_reported_as_response_lost() {
    run(async {
        let (objects, direct_api) = (MemoryObjects::default(), MemoryObjects::default());
        assert_write_is_in_doubt(&objects, &direct_api, &objects).await;
    });
}

/// Guards against a job that is refused and runs later: its record was written through a node whose
/// response was lost, and a second node could not reach the object API.
#[test]
fn write_through_one_node_is_not_reported_as_unavailable_by_another() {
    run(async {
        let (objects, direct_api) = (MemoryObjects::default(), MemoryObjects::default());
        assert_write_is_in_doubt(&objects, &direct_api, &direct_api).await;
    });
}

/// Guards against a call that hangs or wrongly succeeds when no node can relay it.
#[test]
fn error_of_the_direct_call_is_returned_if_no_node_can_relay() {
    run(async {
        let direct_api = MemoryObjects::default();
        direct_api.set_fault(Some(Fault::Unavailable), None);
        let closed_address = SocketAddr::from(([127, 0, 0, 1], 9));
        let store = relayed_store(&direct_api, vec![closed_address]);
        let result = store.put("k", "a", Precondition::Absent, &json!(1)).await;
        assert!(matches!(result, Err(StoreError::Unavailable(_))), "{result:?}");
    });
}

/// Guards against a restarted node waiting for the expiry of a lease that it held itself.
#[test]
fn restarted_holder_takes_its_own_lease_at_once() {
    run(async {
        let store = MemoryObjects::default().store();
        let try_acquire_as = |vm: &str, reclaim_own| {
            let options = LeaseOptions { reclaim_own, ..LeaseOptions::default() };
            let (store, vm) = (store.clone(), vm.to_owned());
            LeaseCandidate::new(store, "l", vm, "127.0.0.1:1", options).try_acquire()
        };
        let AcquireResult::Held(first_lease) = try_acquire_as("vm-1", true).await else {
            panic!("not held")
        };
        assert_eq!(first_lease.previous_holder(), None);
        let other_holder = try_acquire_as("vm-2", true).await;
        assert!(matches!(other_holder, AcquireResult::HeldElsewhere(..)));
        let result_without_reclaim = try_acquire_as("vm-1", false).await;
        assert!(matches!(result_without_reclaim, AcquireResult::HeldElsewhere(..)));
        let AcquireResult::Held(reacquired_lease) = try_acquire_as("vm-1", true).await else {
            panic!("not held")
        };
        assert_eq!(reacquired_lease.fencing(), first_lease.fencing() + 1);
        assert_eq!(reacquired_lease.previous_holder(), Some("vm-1"));
        first_lease.token().revoke();
        assert!(!first_lease.is_valid());
    });
}

/// Pattern: an outage of the object API begins right after a renewal has taken effect, so neither
/// its response nor the reads that would resolve it arrive. Guards against a holder that takes the
/// conflict of its next renewal for another holder and gives up a lease that it still has; without
/// `reclaim_own` nobody holds the lease then until it expires.
#[test]
fn renewal_after_a_lost_response_does_not_give_up_the_own_lease() {
    run(async {
        let objects = MemoryObjects::default();
        let options = LeaseOptions::default();
        let calls_of_a_renewal = 1 + options.max_read_backs;
        let candidate =
            LeaseCandidate::new(objects.store(), "l", "vm-1".to_owned(), "127.0.0.1:1", options);
        let AcquireResult::Held(mut lease) = candidate.try_acquire().await else {
            panic!("not held")
        };
        objects.set_fault(Some(Fault::ResponseLost), Some(calls_of_a_renewal));
        let lost = lease.renew().await;
        assert!(matches!(lost, Err(StoreError::ResponseLost(_))), "{lost:?}");
        lease.renew().await.expect("renewed");
    });
}

/// Guards against a list that fails through another node because one object is nested as deeply as
/// the object API's client accepts.
#[test]
fn deeply_nested_object_passes_through_another_node() {
    /// Depth that `serde_json` decodes at most, less the levels of the object itself.
    const DEPTH: usize = 126;
    run(async {
        let cancel = CancellationToken::new();
        let objects = MemoryObjects::default();
        let text = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
        let nested: serde_json::Value = serde_json::from_str(&text).expect("value");
        objects.store().put("k", "a", Precondition::Absent, &nested).await.expect("put");
        objects.store().put("k", "b", Precondition::Absent, &json!(1)).await.expect("put");
        let (failing_api, relay_node) =
            (MemoryObjects::default(), start_relay_node(objects.clone(), &cancel));
        failing_api.set_fault(Some(Fault::Unavailable), None);
        let store = relayed_store(&failing_api, vec![relay_node]);
        let values: Vec<_> =
            store.list("k").await.expect("list").1.into_iter().map(|object| object.value).collect();
        assert_eq!(values, [nested.clone(), json!(1)]);
        let object = store.get("k", "a").await.expect("get").expect("object");
        let condition = Precondition::Revision(object.revision);
        store.put("k", "a", condition, &nested).await.expect("put");
        cancel.cancel();
    });
}
