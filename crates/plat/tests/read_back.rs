//! Writes whose outcome is in doubt.

use std::{net::SocketAddr, time::Duration};

use deck_core::CancellationToken;
use deck_net::{Client, ServerOptions, bind, server::text_response};
use deck_plat::{Precondition, Store, StoreError};
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

/// Guards against a write that counts as not carried out because its successful response cannot be
/// decoded.
#[test]
fn write_with_an_unreadable_success_is_in_doubt() {
    deck_net::runtime::run(async {
        let cancel = CancellationToken::new();
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let address = listener.local_addr().expect("address");
        let serve = deck_net::serve(listener, ServerOptions::default(), cancel.clone(), |_| {
            std::future::ready(text_response(200, "{}"))
        });
        monoio::spawn(serve);
        let store = Store::new(Client::default(), address, Duration::from_secs(1));
        let result = store.put("k", "a", Precondition::Absent, &json!(1)).await;
        assert!(matches!(result, Err(StoreError::ResponseLost(_))), "{result:?}");
        cancel.cancel();
    })
    .expect("runtime");
}
