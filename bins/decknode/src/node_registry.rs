//! Registration of this node in the object API and discovery of the other nodes of the deployment.

use std::{
    cell::Cell,
    io::ErrorKind,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_batch::{CheckpointClient, peer_client::PING_PATH};
use deck_core::{CancellationToken, hash::rendezvous_score};
use deck_fleet::{
    FleetFeed, ListedNode, Membership, MembershipOptions, NodeRegistration, NodeSettings,
    ProbeOutcome, ProbeScope,
};
use deck_net::{Body, Client, NetError, http::Request};
use deck_plat::{Object, Precondition, RelayPeers, Store, StoreError};
use futures_util::future::join_all;
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
/// Interval between rounds of probes.
const PROBE_ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum size of the response to a probe.
const MAX_PROBE_BYTES: usize = 1024;
/// Interval at which a node that does not list the others checks its own registration. Shorter than
/// the silence after which a registration is removed.
const REGISTRATION_CHECK_INTERVAL: Duration = Duration::from_secs(300);

/// Dependencies of the registration and of the refresh of the node list.
pub struct NodeRegistryDependencies {
    /// Client of the object API.
    pub store: Store,
    /// Settings of this node.
    pub settings: NodeSettings,
    /// Sends probes to the other nodes.
    pub client: Client,
    /// Nodes through which this node can make calls; they are kept up to date.
    pub relay_nodes: RelayPeers,
    /// Feed whose nodes are kept up to date.
    pub feed: FleetFeed,
    /// Client whose nodes are kept up to date.
    pub checkpoints: CheckpointClient,
    /// Whether this node holds the leader lease, whose holder removes registrations.
    pub is_leader: Rc<Cell<bool>>,
}

/// Registers this node, then refreshes the node list until `cancel` is cancelled. Watchers (the
/// nodes that follow the object API themselves) read the list there and probe the nodes in it; other
/// nodes receive the living nodes from a watcher, and probe only if no watcher serves them.
pub async fn register_and_refresh_nodes(
    dependencies: NodeRegistryDependencies,
    cancel: CancellationToken,
) {
    let NodeRegistryDependencies { store, settings, feed, .. } = &dependencies;
    if !register_with_retries(store, settings, &cancel).await {
        return;
    }
    // When a single node restarts, the other nodes are already registered.
    let first_list_delay =
        if settings.is_first_fleet_start { FLEET_REGISTRATION_TIME } else { Duration::ZERO };
    let mut next_delays = [SECOND_LIST_DELAY].into_iter();
    let mut next_refresh_at = Instant::now() + first_list_delay;
    let mut has_listed_nodes = false;
    let mut was_missing = false;
    let mut membership = Membership::new(settings.peer_address, MembershipOptions::default());
    loop {
        let now = Instant::now();
        if now >= next_refresh_at {
            let delay = if has_listed_nodes && !feed.is_watcher() {
                membership.set_nodes(dependencies.received_nodes(), now);
                dependencies.apply_received_nodes();
                // The watcher may have listed the nodes just before this one registered.
                let is_missing = !feed.ranked_nodes().contains(&settings.peer_address);
                if is_missing && was_missing {
                    dependencies.restore_registration().await;
                }
                was_missing = is_missing;
                None
            } else if dependencies.list_nodes(&mut membership).await {
                has_listed_nodes = true;
                None
            } else {
                Some(RETRY_DELAY)
            };
            let delay = delay.or_else(|| next_delays.next()).unwrap_or(LIST_INTERVAL);
            next_refresh_at = Instant::now() + delay;
        }
        if has_listed_nodes {
            dependencies.probe_nodes(&mut membership).await;
        }
        let until_refresh = next_refresh_at.saturating_duration_since(Instant::now());
        let wait = monoio::time::sleep(until_refresh.min(PROBE_ROUND_INTERVAL));
        if cancel.run_until_cancelled(wait).await.is_none() {
            return;
        }
    }
}

impl NodeRegistryDependencies {
    /// Lists the nodes in the object API; on the leader, then removes a registration if its node is
    /// gone. Returns whether the list was read.
    async fn list_nodes(&self, membership: &mut Membership) -> bool {
        let objects = match self.store.list(NODE_OBJECT_KIND).await {
            Ok((_, objects)) => objects,
            Err(error) => {
                log::info!(target: "node", "listing nodes failed error={error}");
                return false;
            }
        };
        let is_registered = objects.iter().any(|object| object.name == self.settings.vm);
        let now = Instant::now();
        membership.set_nodes(rank_as_watchers(&objects), now);
        self.apply(membership);
        if !is_registered {
            self.restore_registration().await;
        }
        if self.is_leader.get()
            && let Some(registration) = membership.removable(now)
        {
            self.remove(registration, membership).await;
        }
        true
    }

    /// Removes the registration of a node that is gone, unless it has changed.
    async fn remove(&self, registration: NodeRegistration, membership: &mut Membership) {
        let (vm, revision) = (registration.vm.clone(), registration.revision);
        membership.set_removed(registration, Instant::now());
        match self.store.delete(NODE_OBJECT_KIND, &vm, revision).await {
            Ok(()) => {
                log::info!(target: "node", "removed the registration of a node that is gone vm={vm}")
            }
            Err(error) => {
                log::info!(target: "node", "removing a registration failed vm={vm} error={error}");
            }
        }
    }

    /// Registers this node again: its registration may have been removed while the node was frozen or
    /// cut off.
    async fn restore_registration(&self) {
        log::info!(target: "node", "this node is not listed; registering again");
        if let Err(error) = register(&self.store, &self.settings).await {
            log::info!(target: "node", "registration failed error={error}");
        }
    }

    /// Returns the nodes that this node has received from a watcher, or listed itself before.
    fn received_nodes(&self) -> Vec<ListedNode> {
        let listed = |has_disk| move |address| ListedNode { address, has_disk, registration: None };
        let nodes = self.feed.ranked_nodes().into_iter().map(listed(false));
        nodes.chain(self.feed.disk_nodes().into_iter().map(listed(true))).collect()
    }

    fn apply_received_nodes(&self) {
        self.relay_nodes.set(self.feed.ranked_nodes());
        self.checkpoints.set_nodes(self.feed.disk_nodes());
    }

    /// Passes on which nodes are present.
    fn apply(&self, membership: &Membership) {
        self.feed.set_recently_lost_nodes(membership.recently_lost_nodes(Instant::now()));
        self.feed.set_disk_nodes(membership.disk_nodes());
        self.feed.set_ranked_nodes(membership.entry_nodes());
        self.apply_received_nodes();
    }

    /// Probes the nodes that are due.
    async fn probe_nodes(&self, membership: &mut Membership) {
        let scope = match self.feed.is_watcher() {
            true => ProbeScope::All,
            false if self.feed.is_served_by_watchers() => return,
            false => ProbeScope::Watchers,
        };
        let nodes = membership.start_round(scope, Instant::now());
        let probes = nodes.into_iter().map(|node| async move { (node, self.probe(node).await) });
        let outcomes = join_all(probes).await;
        if membership.end_round(&outcomes, Instant::now()) {
            log::info!(target: "node", "living nodes entry={} disk={}", membership.entry_nodes().len(), membership.disk_nodes().len());
            self.apply(membership);
        }
    }

    async fn probe(&self, node: SocketAddr) -> ProbeOutcome {
        let request = Request::builder().uri(PING_PATH).body(Body::empty());
        let Ok(request) = request else { return ProbeOutcome::Silent };
        match self.client.call(node, request, PROBE_TIMEOUT, MAX_PROBE_BYTES).await {
            Ok(_) => ProbeOutcome::Answered,
            Err(NetError::Connect(_, error)) if error.kind() == ErrorKind::ConnectionRefused => {
                ProbeOutcome::Refused
            }
            Err(_) => ProbeOutcome::Silent,
        }
    }
}

/// Returns the registered nodes, the preferred watchers first. Nodes with more CPU cores come first,
/// because the leader is one of the watchers. Nodes with equally many cores are ordered by a hash
/// that is the same on all nodes.
fn rank_as_watchers(objects: &[Object]) -> Vec<ListedNode> {
    let mut nodes: Vec<_> = objects
        .iter()
        .filter_map(|object| {
            let address = object.value.get("address")?.as_str()?.parse().ok()?;
            let cpu_cores = object.value.get("cpu_share").and_then(Value::as_f64).unwrap_or(0.0);
            let has_disk = object.value.get("has_disk").and_then(Value::as_bool).unwrap_or(false);
            let registration =
                NodeRegistration { vm: object.name.clone(), revision: object.revision };
            Some((cpu_cores, ListedNode { address, has_disk, registration: Some(registration) }))
        })
        .collect();
    let hash = |node: &ListedNode| rendezvous_score("watcher", &node.address.to_string());
    nodes.sort_by(|a, b| b.0.total_cmp(&a.0).then(hash(&b.1).cmp(&hash(&a.1))));
    nodes.into_iter().map(|(_, node)| node).collect()
}

/// Registers this node, and again whenever its registration is missing, until `cancel` is cancelled.
/// For nodes that need not know the others.
pub async fn keep_registered(store: Store, settings: NodeSettings, cancel: CancellationToken) {
    while register_with_retries(&store, &settings, &cancel).await {
        loop {
            let wait = monoio::time::sleep(REGISTRATION_CHECK_INTERVAL);
            if cancel.run_until_cancelled(wait).await.is_none() {
                return;
            }
            match store.get_stale(NODE_OBJECT_KIND, &settings.vm).await {
                Ok(None) => break,
                Ok(Some(_)) => {}
                Err(error) => {
                    log::info!(target: "node", "reading the registration failed error={error}");
                }
            }
        }
    }
}

/// Retries the registration of this node until it succeeds. Returns `false` if `cancel` is
/// cancelled first.
async fn register_with_retries(
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
