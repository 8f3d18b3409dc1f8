//! Calls on the object API through another node.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use deck_core::CancellationToken;
use deck_net::{Body, Client, ServerOptions, bind, http::Response, server::read_body};
use deck_plat::{
    Acquire, LeaseCandidate, LeaseOptions, Precondition, RelayNodes, RelayedApi, Store, StoreError,
    relay,
};
use deck_testkit::{
    eventually,
    memory::{Fault, MemoryObjects},
};
use serde_json::json;

const CALL_TIMEOUT: Duration = Duration::from_millis(500);

fn run<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

/// Starts a node that makes calls for others with `objects`.
fn start_node(objects: MemoryObjects, cancel: &CancellationToken) -> SocketAddr {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    let address = listener.local_addr().expect("address");
    let serve =
        deck_net::serve(listener, ServerOptions::default(), cancel.clone(), move |request| {
            let objects = objects.clone();
            async move {
                let body = read_body(request.into_body(), 1 << 20).await.expect("body");
                let answer = relay::serve_relay(&objects, &body).await.expect("answer");
                Response::new(Body::full(answer))
            }
        });
    monoio::spawn(serve);
    address
}

fn relayed(direct: &MemoryObjects, nodes: Vec<SocketAddr>) -> Store {
    let own = SocketAddr::from(([127, 0, 0, 1], 1));
    let nodes = RelayNodes::new(Client::default(), own, nodes, CALL_TIMEOUT);
    Store::with_api(Rc::new(RelayedApi::new(Rc::new(direct.clone()), nodes)))
}

/// Guards against a node that stands still because the object API turns only this node away.
#[test]
fn calls_go_through_another_node_while_direct_ones_fail() {
    run(async {
        let cancel = CancellationToken::new();
        let objects = MemoryObjects::default();
        let (broken, node) = (MemoryObjects::default(), start_node(objects.clone(), &cancel));
        broken.set_fault(Some(Fault::Down), None);
        let store = relayed(&broken, vec![node]);
        let revision = store.put("k", "a", Precondition::Absent, &json!(1)).await.expect("put");
        let object = store.get("k", "a").await.expect("get").expect("object");
        assert_eq!((object.revision, &object.value), (revision, &json!(1)));
        assert_eq!(store.list("k").await.expect("list").1.len(), 1);
        let conflict = store.put("k", "a", Precondition::Absent, &json!(2)).await;
        assert!(matches!(conflict, Err(StoreError::Conflict(_))), "{conflict:?}");
        store.delete("k", "a", revision).await.expect("delete");
        assert!(objects.names("k").is_empty());
        cancel.cancel();
    });
}

/// Guards against a node that keeps asking others after its own calls work again.
#[test]
fn direct_calls_come_back() {
    run(async {
        let cancel = CancellationToken::new();
        let direct = MemoryObjects::default();
        let node = start_node(MemoryObjects::default(), &cancel);
        let store = relayed(&direct, vec![node]);
        direct.set_fault(Some(Fault::Down), None);
        store.put("k", "relayed", Precondition::Absent, &json!(1)).await.expect("put");
        direct.set_fault(None, None);
        eventually("a direct write", async || {
            let _ = store.put("k", "direct", Precondition::Absent, &json!(1)).await;
            !direct.names("k").is_empty()
        })
        .await;
        cancel.cancel();
    });
}

/// Guards against a holder that gives up its lease because its own renewal, whose answer was lost,
/// conflicts with the relayed one.
#[test]
fn conflict_with_the_own_lost_write_is_in_doubt() {
    run(async {
        let cancel = CancellationToken::new();
        let objects = MemoryObjects::default();
        let node = start_node(objects.clone(), &cancel);
        let store = relayed(&objects, vec![node]);
        objects.set_fault(Some(Fault::ResponseLost), Some(1));
        let result = store.put("k", "a", Precondition::Absent, &json!(1)).await;
        assert!(matches!(result, Err(StoreError::ResponseLost(_))), "{result:?}");
        assert_eq!(objects.names("k"), ["a"]);
        cancel.cancel();
    });
}

/// Guards against a call that hangs or succeeds falsely when no node can make it.
#[test]
fn without_another_node_the_error_is_that_of_the_direct_call() {
    run(async {
        let direct = MemoryObjects::default();
        direct.set_fault(Some(Fault::Down), None);
        let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
        let store = relayed(&direct, vec![nobody]);
        let result = store.put("k", "a", Precondition::Absent, &json!(1)).await;
        assert!(matches!(result, Err(StoreError::Unavailable(_))), "{result:?}");
    });
}

/// Guards against a node that waits for its own lease after it was killed and started again.
#[test]
fn restarted_holder_takes_its_own_lease_at_once() {
    run(async {
        let store = MemoryObjects::default().store();
        let acquire = |vm: &str, reclaim_own| {
            let options = LeaseOptions { reclaim_own, ..LeaseOptions::default() };
            let (store, vm) = (store.clone(), vm.to_owned());
            LeaseCandidate::new(store, "l", vm, "127.0.0.1:1", options).try_acquire()
        };
        let Acquire::Held(first) = acquire("vm-1", true).await else { panic!("not held") };
        assert_eq!(first.previous_holder(), None);
        let other = acquire("vm-2", true).await;
        assert!(matches!(other, Acquire::HeldElsewhere(..)));
        let without = acquire("vm-1", false).await;
        assert!(matches!(without, Acquire::HeldElsewhere(..)));
        let Acquire::Held(again) = acquire("vm-1", true).await else { panic!("not held") };
        assert_eq!(again.fencing(), first.fencing() + 1);
        assert_eq!(again.previous_holder(), Some("vm-1"));
        first.token().give_up();
        assert!(!first.is_valid());
    });
}
