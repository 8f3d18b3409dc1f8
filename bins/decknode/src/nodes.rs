//! List of the nodes of the deployment in the object API.

use std::{net::SocketAddr, time::Duration};

use deck_core::CancellationToken;
use deck_fleet::NodeSettings;
use deck_plat::{Precondition, RelayNodes, Store, StoreError};
use serde_json::{Value, json};

/// Kind of the objects that list the nodes.
const NODE_KIND: &str = "nodes";
/// Time between two reads of the list. A node that is missing from the list is only not asked for
/// relayed calls.
const READ_INTERVAL: Duration = Duration::from_secs(15);
/// Time after the start of a node at which the others have registered too.
const FIRST_READ: Duration = Duration::from_secs(2);
/// Wait after a call that failed.
const RETRY: Duration = Duration::from_millis(1500);

/// Registers this node and keeps the list of relays up to date until `cancel` is cancelled.
pub async fn run(
    store: Store,
    settings: NodeSettings,
    nodes: RelayNodes,
    cancel: CancellationToken,
) {
    let pause = |wait| cancel.run_until_cancelled(monoio::time::sleep(wait));
    while let Err(error) = register(&store, &settings).await {
        log::info!(target: "node", "not registered error={error}");
        if pause(RETRY).await.is_none() {
            return;
        }
    }
    let mut wait = FIRST_READ;
    while pause(wait).await.is_some() {
        wait = match store.list(NODE_KIND).await {
            Ok((_, objects)) => {
                let listed: Vec<SocketAddr> =
                    objects.iter().filter_map(|object| address(&object.value)).collect();
                nodes.set(listed);
                READ_INTERVAL
            }
            Err(error) => {
                log::info!(target: "node", "nodes not listed error={error}");
                RETRY
            }
        };
    }
}

async fn register(store: &Store, settings: &NodeSettings) -> Result<(), StoreError> {
    let value = json!({ "address": settings.peer_address });
    match store.put(NODE_KIND, &settings.vm, Precondition::Absent, &value).await {
        Ok(_) => return Ok(()),
        Err(StoreError::Conflict(_)) => {}
        Err(error) => return Err(error),
    }
    let Some(object) = store.get(NODE_KIND, &settings.vm).await? else { return Ok(()) };
    if object.value == value {
        return Ok(());
    }
    let condition = Precondition::Revision(object.revision);
    store.put(NODE_KIND, &settings.vm, condition, &value).await.map(drop)
}

fn address(value: &Value) -> Option<SocketAddr> {
    value.get("address")?.as_str()?.parse().ok()
}
