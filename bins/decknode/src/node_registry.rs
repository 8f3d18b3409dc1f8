//! Registration of this node in the object API and discovery of the other nodes of the deployment.

use std::{net::SocketAddr, time::Duration};

use deck_batch::CheckpointClient;
use deck_core::{CancellationToken, hash::rendezvous_score};
use deck_fleet::{FleetFeed, NodeSettings};
use deck_plat::{Precondition, RelayPeers, Store, StoreError};
use serde_json::{Value, json};

/// Object kind under which nodes register.
const NODE_OBJECT_KIND: &str = "nodes";
/// Interval between reads of the node list. It may be long: a node that is missing from the list
/// only receives no relayed object API calls.
const LIST_INTERVAL: Duration = Duration::from_secs(15);
/// Time within which the nodes of a new fleet have registered; they start within about 0.3 s.
pub const FLEET_REGISTRATION_TIME: Duration = Duration::from_millis(1000);
/// Delay of the second read after the first; nodes that started late have registered by then.
const SECOND_LIST_DELAY: Duration = Duration::from_secs(2);
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(1500);

/// Registers this node, then refreshes the node list until `cancel` is cancelled. Watchers (the
/// nodes that follow the object API themselves) read the list there; other nodes receive it from a
/// watcher.
pub async fn register_and_refresh_nodes(
    store: Store,
    settings: NodeSettings,
    relay_nodes: RelayPeers,
    feed: FleetFeed,
    checkpoints: CheckpointClient,
    cancel: CancellationToken,
) {
    let sleep = |wait| cancel.run_until_cancelled(monoio::time::sleep(wait));
    if !register_with_retries(&store, &settings, &cancel).await {
        return;
    }
    // When a single node restarts, the other nodes are already registered.
    let first_list_delay =
        if settings.is_first_fleet_start { FLEET_REGISTRATION_TIME } else { Duration::ZERO };
    let mut initial_waits = [first_list_delay, SECOND_LIST_DELAY].into_iter();
    let mut has_listed_nodes = false;
    let mut retry_delay = None;
    loop {
        let wait =
            retry_delay.take().unwrap_or_else(|| initial_waits.next().unwrap_or(LIST_INTERVAL));
        if sleep(wait).await.is_none() {
            return;
        }
        if has_listed_nodes && !feed.is_watcher() {
            relay_nodes.set(feed.ranked_nodes());
            checkpoints.set_nodes(feed.disk_nodes());
            continue;
        }
        match store.list(NODE_OBJECT_KIND).await {
            Ok((_, objects)) => {
                let registrations =
                    objects.iter().filter_map(|object| NodeRegistration::parse(&object.value));
                let (disk_nodes, registrations): (Vec<_>, Vec<_>) =
                    registrations.partition(|node| node.has_disk);
                let disk_nodes: Vec<_> = disk_nodes.into_iter().map(|node| node.address).collect();
                checkpoints.set_nodes(disk_nodes.clone());
                feed.set_disk_nodes(disk_nodes);
                let watcher_order = rank_as_watchers(registrations);
                relay_nodes.set(watcher_order.clone());
                feed.set_ranked_nodes(watcher_order);
                has_listed_nodes = true;
            }
            Err(error) => {
                log::info!(target: "node", "listing nodes failed error={error}");
                retry_delay = Some(RETRY_DELAY);
            }
        };
    }
}

/// Registration of a node, as stored in the object API.
#[derive(Debug, Clone, PartialEq)]
struct NodeRegistration {
    /// Address for other nodes.
    address: SocketAddr,
    /// Number of CPU cores that the VM has, which may be a fraction.
    cpu_cores: f64,
    /// Whether the node stores checkpoints for the other nodes.
    has_disk: bool,
}

impl NodeRegistration {
    fn parse(value: &Value) -> Option<Self> {
        let address = value.get("address")?.as_str()?.parse().ok()?;
        let cpu_cores = value.get("cpu_share").and_then(Value::as_f64).unwrap_or(0.0);
        let has_disk = value.get("has_disk").and_then(Value::as_bool).unwrap_or(false);
        Some(Self { address, cpu_cores, has_disk })
    }
}

/// Returns the node addresses, the preferred watchers first. Nodes with more CPU cores come first,
/// because the leader is one of the watchers. Nodes with equally many cores are ordered by a hash
/// that is the same on all nodes.
fn rank_as_watchers(mut nodes: Vec<NodeRegistration>) -> Vec<SocketAddr> {
    let hash = |node: &NodeRegistration| rendezvous_score("watcher", &node.address.to_string());
    nodes.sort_by(|a, b| b.cpu_cores.total_cmp(&a.cpu_cores).then(hash(b).cmp(&hash(a))));
    nodes.into_iter().map(|node| node.address).collect()
}

/// Retries the registration of this node until it succeeds. Returns `false` if `cancel` is
/// cancelled first.
pub async fn register_with_retries(
    store: &Store,
    settings: &NodeSettings,
    cancel: &CancellationToken,
) -> bool {
    while let Err(error) = register(store, settings).await {
        log::info!(target: "node", "registration failed error={error}");
        if cancel.run_until_cancelled(monoio::time::sleep(RETRY_DELAY)).await.is_none() {
            return false;
        }
    }
    true
}

/// Creates the registration of this node, or replaces one that differs.
async fn register(store: &Store, settings: &NodeSettings) -> Result<(), StoreError> {
    let address = settings.peer_address;
    let has_disk = settings.data_dir.is_some();
    let value =
        json!({ "address": address, "cpu_share": settings.cpu_cores, "has_disk": has_disk });
    match store.put(NODE_OBJECT_KIND, &settings.vm, Precondition::Absent, &value).await {
        Ok(_) => return Ok(()),
        Err(StoreError::Conflict(_)) => {}
        Err(error) => return Err(error),
    }
    let Some(object) = store.get(NODE_OBJECT_KIND, &settings.vm).await? else { return Ok(()) };
    if object.value == value {
        return Ok(());
    }
    let condition = Precondition::Revision(object.revision);
    store.put(NODE_OBJECT_KIND, &settings.vm, condition, &value).await.map(drop)
}
