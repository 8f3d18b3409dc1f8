//! List of the nodes of the deployment in the object API.

use std::{net::SocketAddr, time::Duration};

use deck_batch::Checkpoints;
use deck_core::{CancellationToken, hash::rendezvous_score};
use deck_fleet::{Feed, NodeSettings};
use deck_plat::{Precondition, RelayNodes, Store, StoreError};
use serde_json::{Value, json};

/// Kind of the objects that list the nodes.
const NODE_KIND: &str = "nodes";
/// Time between two reads of the list. A node that is missing from the list is only not asked for
/// relayed calls.
const READ_INTERVAL: Duration = Duration::from_secs(15);
/// Time in which the nodes of a new fleet have registered; they start within some 0.3 s.
pub const FLEET_START: Duration = Duration::from_millis(1000);
/// Time after the first read at which nodes that started late have registered too.
const SECOND_READ: Duration = Duration::from_secs(2);
/// Wait after a call that failed.
const RETRY: Duration = Duration::from_millis(1500);

/// Registers this node and keeps the list of nodes up to date until `cancel` is cancelled. Nodes
/// that are not watchers get the list from a watcher.
pub async fn run(
    store: Store,
    settings: NodeSettings,
    nodes: RelayNodes,
    feed: Feed,
    checkpoints: Checkpoints,
    cancel: CancellationToken,
) {
    let pause = |wait| cancel.run_until_cancelled(monoio::time::sleep(wait));
    if !keep_registering(&store, &settings, &cancel).await {
        return;
    }
    // A node that starts again knows the others at once.
    let first_read = if settings.fleet_starts { FLEET_START } else { Duration::ZERO };
    let mut waits = [first_read, SECOND_READ].into_iter();
    let mut known = false;
    let mut retry = None;
    loop {
        let wait = retry.take().unwrap_or_else(|| waits.next().unwrap_or(READ_INTERVAL));
        if pause(wait).await.is_none() {
            return;
        }
        if known && !feed.is_watcher() {
            nodes.set(feed.ranked());
            checkpoints.set_nodes(feed.disks());
            continue;
        }
        match store.list(NODE_KIND).await {
            Ok((_, objects)) => {
                let listed =
                    objects.iter().filter_map(|object| Registered::try_read(&object.value));
                let (disks, listed): (Vec<_>, Vec<_>) = listed.partition(|node| node.has_disk);
                let disks: Vec<_> = disks.into_iter().map(|node| node.address).collect();
                checkpoints.set_nodes(disks.clone());
                feed.set_disks(disks);
                let ranked = rank(listed);
                nodes.set(ranked.clone());
                feed.set_ranked(ranked);
                known = true;
            }
            Err(error) => {
                log::info!(target: "node", "nodes not listed error={error}");
                retry = Some(RETRY);
            }
        };
    }
}

/// Entry of a node.
#[derive(Debug, Clone, PartialEq)]
struct Registered {
    address: SocketAddr,
    cpu_share: f64,
    has_disk: bool,
}

impl Registered {
    fn try_read(value: &Value) -> Option<Self> {
        let address = value.get("address")?.as_str()?.parse().ok()?;
        let cpu_share = value.get("cpu_share").and_then(Value::as_f64).unwrap_or(0.0);
        let has_disk = value.get("has_disk").and_then(Value::as_bool).unwrap_or(false);
        Some(Self { address, cpu_share, has_disk })
    }
}

/// Sorts nodes in the order in which they are watchers: the strongest first, as the leader is one of
/// them, and among equal ones by a hash that is the same on all nodes.
fn rank(mut nodes: Vec<Registered>) -> Vec<SocketAddr> {
    let hash = |node: &Registered| rendezvous_score("watcher", &node.address.to_string());
    nodes.sort_by(|a, b| b.cpu_share.total_cmp(&a.cpu_share).then(hash(b).cmp(&hash(a))));
    nodes.into_iter().map(|node| node.address).collect()
}

/// Registers this node, until it succeeds; `false` if `cancel` is cancelled first.
pub async fn keep_registering(
    store: &Store,
    settings: &NodeSettings,
    cancel: &CancellationToken,
) -> bool {
    while let Err(error) = register(store, settings).await {
        log::info!(target: "node", "not registered error={error}");
        if cancel.run_until_cancelled(monoio::time::sleep(RETRY)).await.is_none() {
            return false;
        }
    }
    true
}

async fn register(store: &Store, settings: &NodeSettings) -> Result<(), StoreError> {
    let address = settings.peer_address;
    let has_disk = settings.data_dir.is_some();
    let value =
        json!({ "address": address, "cpu_share": settings.cpu_share, "has_disk": has_disk });
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
