//! Distribution of the deployment state (configuration, targets, leader, runners, crashes) between
//! nodes.
//!
//! Calls to the object API are costly, and its rate limits grow more slowly than the fleet. In a
//! large fleet only a few nodes, the watchers, follow the object API; the other nodes long-poll a
//! watcher. A watcher reports the age of its data, so that a node whose watcher has lost the object
//! API can switch to another watcher or to the object API itself.
//!
//! The configuration travels separately from the targets: it may be large, and a node that learns
//! late that a target is leaving still sends requests to it.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{
    CancellationToken,
    boot_clock::BootInstant,
    hash::hash64,
    id::{FencingNumber, VmId},
};
use deck_net::{
    Body, ChunkedCallLimits, Client, NetError, cbor,
    server::{empty_response, numeric_query_parameter},
};
use futures_util::future::{Either, join_all, select};
use http::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::{Notify, watch};

use crate::{
    ConfirmationRole, CrashRegistry, NodeCrashes, ObjectFollower, Senders, TargetContent,
    config::{ConfigurationVersion, ModelName},
    config_transfer::{CONFIGURATION_ONLY, ConfigurationTransfer},
    packed::PackedChanges,
};

/// HTTP path at which watchers serve the feed.
pub const FEED_PATH: &str = "/peer/feed";
/// Maximum size of a feed page.
pub(crate) const MAX_PAGE_BYTES: usize = 16 * 1024 * 1024;

/// Node that holds the leader lease: it sends weight load orders, chooses runners, and runs the
/// jobs of models without a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Leader {
    /// VM of the leader.
    pub vm: VmId,
    /// Address of the leader for other nodes.
    pub address: SocketAddr,
}

/// Assignment of a model's jobs to a node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ModelRunner {
    /// Model whose jobs the node runs.
    pub model: ModelName,
    /// Address of the runner node for other nodes.
    pub address: SocketAddr,
}

/// Runner nodes chosen by the leader. The leader itself runs the jobs of models that are not
/// listed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunnerTable {
    /// Fencing number of the leader's lease; the table of a later leader takes precedence.
    pub fencing: FencingNumber,
    /// Sequence number of the table among those of the same leader.
    pub number: u64,
    /// Runner nodes, at most one for each model.
    pub runners: Vec<ModelRunner>,
}

/// Size limits, timeouts and intervals of a [`FleetFeed`].
#[derive(Debug, Clone)]
pub struct FleetFeedOptions {
    /// Maximum number of nodes in a small fleet, in which all nodes are watchers and none polls
    /// another.
    pub max_small_fleet_nodes: usize,
    /// Number of watchers in a larger fleet.
    pub watcher_count: usize,
    /// Time after which a watcher's object API watch returns if there are no changes, which confirms
    /// that the watcher's data is current.
    pub watch_timeout: Duration,
    /// Time for which a poll of a watcher waits for a change.
    pub poll_timeout: Duration,
    /// Age above which a watcher's data is too old to use. Together with the two timeouts above,
    /// every node receives a change within the two seconds that deployments allow.
    pub max_data_age: Duration,
    /// Age of the targets from which a node that polls watchers reads them from the object API.
    /// Leaves time for that read until no request may reach a leaving target any more.
    pub max_targets_age: Duration,
    /// Time after a failed read of the targets until the next one.
    pub targets_retry_delay: Duration,
    /// Minimum pause between two polls.
    pub min_poll_pause: Duration,
    /// Average interval between the replies of one watcher. The pause between polls grows with the
    /// number of readers per watcher, so that frequent changes do not overload the watcher.
    pub watcher_reply_interval: Duration,
    /// Time for which a node follows the object API itself when no watcher is usable.
    pub fallback_duration: Duration,
    /// Interval between checks for a usable source while neither a watcher nor the object API is
    /// available. Together with `max_data_age` and `poll_timeout` it stays below the time in which
    /// a change has to be in force.
    pub source_check_interval: Duration,
    /// Time that a watcher needs after an outage until its data is up to date again; longer than
    /// the longest wait between two of its retries.
    pub watcher_recovery_delay: Duration,
    /// Time after the acknowledgement of a configuration that withdraws a key after which no node may
    /// accept the key; `None` if nodes need not know how current their configuration is.
    pub key_withdrawal: Option<Duration>,
}

impl Default for FleetFeedOptions {
    fn default() -> Self {
        Self {
            max_small_fleet_nodes: 10,
            watcher_count: 3,
            watch_timeout: Duration::from_millis(900),
            poll_timeout: Duration::from_millis(500),
            max_data_age: Duration::from_millis(1500),
            max_targets_age: Duration::from_secs(2),
            targets_retry_delay: Duration::from_millis(2500),
            min_poll_pause: Duration::from_millis(50),
            watcher_reply_interval: Duration::from_millis(4),
            fallback_duration: Duration::from_secs(5),
            source_check_interval: Duration::from_millis(400),
            watcher_recovery_delay: Duration::from_millis(800),
            key_withdrawal: None,
        }
    }
}

/// Reply of a watcher to a poll.
#[derive(Debug, Serialize, Deserialize)]
struct FeedPage {
    /// Identifies the watcher's process; differs after a restart.
    epoch: u64,
    /// Number of the last target change on the watcher.
    changes: u64,
    /// Age of the watcher's data in milliseconds.
    age_ms: u64,
    /// Age of the watcher's targets in milliseconds. `None` from nodes of earlier releases, whose
    /// `age_ms` is that of the older of configuration and targets, as here.
    #[serde(default)]
    targets_age_ms: Option<u64>,
    /// Time in milliseconds for which the watcher held the poll. The ages are as of its end.
    #[serde(default)]
    held_ms: u64,
    /// Raw configuration, if newer than that of a polling node of an earlier release.
    configuration: Option<Value>,
    /// Version of the watcher's configuration, for nodes that fetch it separately.
    #[serde(default)]
    configuration_version: Option<ConfigurationVersion>,
    /// Time in milliseconds since that configuration was last confirmed as the newest one; absent if
    /// the watcher need not know.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    configuration_age_ms: Option<u64>,
    /// Target changes since the polling node's last page.
    targets: Option<PackedChanges>,
    /// Leader, if known.
    leader: Option<Leader>,
    /// Runner nodes of the models.
    runners: RunnerTable,
    /// Version of the watcher's member list.
    member_version: u64,
    /// Member list, if the polling node has another version.
    members: Option<Members>,
    /// Version of the watcher's crash reports.
    #[serde(default)]
    crash_version: u64,
    /// Crash reports, if the polling node has another version.
    #[serde(default)]
    crashes: Option<Vec<NodeCrashes>>,
}

/// Member nodes of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
struct Members {
    /// Addresses of the entry nodes by descending rank, in the same order on all nodes; the first
    /// ones are the watchers.
    ranked: Vec<SocketAddr>,
    /// Addresses of the nodes on VMs with a disk.
    disks: Vec<SocketAddr>,
}

impl Members {
    /// Returns a hash of the member list, which is the same on all nodes.
    fn version(&self) -> u64 {
        let addresses = self.ranked.iter().map(|node| (node, "entry"));
        let addresses = addresses.chain(self.disks.iter().map(|node| (node, "disk")));
        let text: String = addresses.map(|(node, role)| format!("{role} {node},")).collect();
        hash64(text.as_bytes())
    }
}

impl FeedPage {
    /// Returns the age of the older of the watcher's configuration and targets.
    fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }

    /// Returns the age of the watcher's targets.
    fn targets_age(&self) -> Duration {
        Duration::from_millis(self.targets_age_ms.unwrap_or(self.age_ms))
    }
}

/// Versions of a watcher's data as of the last page received from it.
#[derive(Debug, Clone, Copy)]
struct FeedPosition {
    /// Epoch of the watcher's process.
    epoch: u64,
    /// Number of the last target change on the watcher.
    changes: u64,
    /// Target content that was requested. The watcher counts the changes of each content
    /// separately, so `changes` is valid for this content only.
    content: TargetContent,
    /// Version of the watcher's crash reports.
    crash_version: u64,
    /// Version of the watcher's member list.
    member_version: u64,
    /// When this node's targets were up to date once the page was applied. A different time means
    /// that another source has updated them since.
    targets_up_to_date_at: Option<Instant>,
}

/// Distributes deployment state between nodes, as a watcher or as a reader; clones share their
/// state.
#[derive(Clone)]
pub struct FleetFeed {
    inner: Rc<FeedState>,
}

/// State shared by the clones of a [`FleetFeed`].
struct FeedState {
    own_address: SocketAddr,
    /// Identifies this process; differs after a restart.
    epoch: u64,
    client: Client,
    follower: ObjectFollower,
    options: FleetFeedOptions,
    members: RefCell<Members>,
    /// Entry nodes that are not in `members` any more and may still have state.
    recently_lost_nodes: RefCell<Vec<SocketAddr>>,
    /// Version of `members`.
    member_version: Cell<u64>,
    /// Notified when the nodes of the fleet become known.
    nodes_known: Notify,
    leader: watch::Sender<Option<Leader>>,
    runners: RefCell<RunnerTable>,
    crashes: CrashRegistry,
    /// Whether this node currently follows the object API itself.
    is_following_object_api: watch::Sender<bool>,
    configurations: ConfigurationTransfer,
}

impl FleetFeed {
    /// Creates the feed of the node at `own_address`; `epoch` must differ between processes of the
    /// node.
    pub fn new(
        own_address: SocketAddr,
        epoch: u64,
        client: Client,
        follower: ObjectFollower,
        options: FleetFeedOptions,
    ) -> Self {
        let configurations =
            ConfigurationTransfer::new(client.clone(), follower.clone(), options.poll_timeout);
        let inner = FeedState {
            own_address,
            epoch,
            client,
            follower,
            options,
            members: RefCell::default(),
            recently_lost_nodes: RefCell::default(),
            member_version: Cell::new(0),
            nodes_known: Notify::new(),
            leader: watch::channel(None).0,
            runners: RefCell::default(),
            crashes: CrashRegistry::default(),
            is_following_object_api: watch::channel(false).0,
            configurations,
        };
        Self { inner: Rc::new(inner) }
    }

    /// Sets the entry nodes of the fleet in order of rank; the first ones are the watchers.
    pub fn set_ranked_nodes(&self, nodes: Vec<SocketAddr>) {
        self.inner.members.borrow_mut().ranked = nodes;
        self.update_member_version();
    }

    /// Returns the entry nodes of the fleet in order of rank; the first ones are the watchers.
    pub fn ranked_nodes(&self) -> Vec<SocketAddr> {
        self.inner.members.borrow().ranked.clone()
    }

    /// Sets the entry nodes that this node has lost sight of not long ago.
    pub fn set_recently_lost_nodes(&self, nodes: Vec<SocketAddr>) {
        self.inner.recently_lost_nodes.replace(nodes);
    }

    /// Returns the entry nodes of the fleet, also those that this node has lost sight of not long ago
    /// and that may still have state.
    pub fn nodes_with_state(&self) -> Vec<SocketAddr> {
        let mut nodes = self.ranked_nodes();
        let lost = self.inner.recently_lost_nodes.borrow();
        nodes.extend(lost.iter().filter(|node| !self.inner.members.borrow().ranked.contains(node)));
        nodes
    }

    /// Sets the addresses of the nodes on VMs with a disk.
    pub fn set_disk_nodes(&self, disks: Vec<SocketAddr>) {
        self.inner.members.borrow_mut().disks = disks;
        self.update_member_version();
    }

    /// Returns the addresses of the nodes on VMs with a disk.
    pub fn disk_nodes(&self) -> Vec<SocketAddr> {
        self.inner.members.borrow().disks.clone()
    }

    fn update_member_version(&self) {
        self.inner.member_version.set(self.inner.members.borrow().version());
        self.update_senders();
        if !self.inner.members.borrow().ranked.is_empty() {
            self.inner.nodes_known.notify_one();
        }
    }

    /// Passes on which nodes send requests to targets; they share the limits of the targets.
    fn update_senders(&self) {
        let runners = self.inner.runners.borrow();
        let runners = runners.runners.iter().map(|runner| (runner.model.clone(), runner.address));
        self.inner.follower.view.limits().set_senders(Senders {
            own_address: Some(self.inner.own_address),
            entry_nodes: self.ranked_nodes(),
            leader: self.leader().map(|leader| leader.address),
            runners: runners.collect(),
        });
    }

    /// Sets the leader; `None` if unknown.
    pub fn set_leader(&self, leader: Option<Leader>) {
        let is_changed = self.inner.leader.send_if_modified(|current| {
            let changed = *current != leader;
            if changed {
                log::info!(target: "fleet", "leader is {leader:?}");
                *current = leader;
            }
            changed
        });
        if is_changed {
            self.update_senders();
        }
    }

    /// Returns the last known leader.
    pub fn leader(&self) -> Option<Leader> {
        self.inner.leader.borrow().clone()
    }

    /// Applies a runner table, unless a later one is known.
    pub fn set_runners(&self, table: RunnerTable) {
        let mut current = self.inner.runners.borrow_mut();
        if (current.fencing, current.number) < (table.fencing, table.number) {
            if current.runners != table.runners {
                log::info!(target: "fleet", "runners are {table:?}");
            }
            *current = table;
            drop(current);
            self.update_senders();
        }
    }

    /// Returns the last known runner table.
    pub fn runners(&self) -> RunnerTable {
        self.inner.runners.borrow().clone()
    }

    /// Returns the runner of a model, or `None` if the leader runs its jobs.
    pub fn runner_of(&self, model: &str) -> Option<SocketAddr> {
        let table = self.inner.runners.borrow();
        let runner = table.runners.iter().find(|runner| runner.model == model);
        runner.map(|runner| runner.address)
    }

    /// Returns the nodes that may be chosen as runners, highest rank first.
    ///
    /// Excludes this node and the watchers, which already serve the feed. Empty in a small fleet,
    /// whose leader runs all jobs.
    pub fn runner_candidates(&self) -> Vec<SocketAddr> {
        let Some(watchers) = self.watchers() else { return Vec::new() };
        let mut nodes = self.ranked_nodes();
        nodes.retain(|node| *node != self.inner.own_address && !watchers.contains(node));
        nodes
    }

    /// Returns the crash reports published by all nodes.
    pub fn crashes(&self) -> &CrashRegistry {
        &self.inner.crashes
    }

    /// Returns the nodes to which a message has to be sent so that it reaches all nodes: the other
    /// watchers, or all other nodes in a small fleet.
    pub fn broadcast_nodes(&self) -> Vec<SocketAddr> {
        let mut nodes = self.watchers().unwrap_or_else(|| self.ranked_nodes());
        nodes.retain(|node| *node != self.inner.own_address);
        nodes
    }

    /// Returns whether this node is a watcher. A node that does not know the fleet yet acts as one.
    pub fn is_watcher(&self) -> bool {
        self.watchers().is_none_or(|watchers| watchers.contains(&self.inner.own_address))
    }

    /// Returns whether this node currently follows the object API itself.
    pub fn is_watching_object_api(&self) -> bool {
        *self.inner.is_following_object_api.borrow()
    }

    /// Returns whether watchers keep the targets of this node up to date.
    pub fn is_served_by_watchers(&self) -> bool {
        let max_age = self.inner.options.max_data_age * 2;
        let age = self.inner.follower.view.targets_age(Instant::now());
        !self.is_watching_object_api() && age.is_some_and(|age| age <= max_age)
    }

    /// Waits until this node follows the object API itself.
    pub async fn wait_until_watching_object_api(&self) {
        let mut receiver = self.inner.is_following_object_api.subscribe();
        // The sender lives as long as the feed, so this cannot fail.
        let _ = receiver.wait_for(|is_following| *is_following).await;
    }

    /// Returns the watchers; `None` if all nodes are watchers.
    fn watchers(&self) -> Option<Vec<SocketAddr>> {
        let ranked = &self.inner.members.borrow().ranked;
        let options = &self.inner.options;
        (ranked.len() > options.max_small_fleet_nodes)
            .then(|| ranked.iter().take(options.watcher_count).copied().collect())
    }

    /// Keeps this node up to date until `cancel` is cancelled: follows the object API as a watcher,
    /// and polls the watchers otherwise.
    ///
    /// First waits up to `discovery_timeout` until the nodes of the fleet are known, because most
    /// nodes of a large fleet do not need to call the object API even at startup.
    pub async fn run(&self, discovery_timeout: Duration, cancel: CancellationToken) {
        let nodes_known =
            monoio::time::timeout(discovery_timeout, self.inner.nodes_known.notified());
        if cancel.run_until_cancelled(nodes_known).await.is_none() {
            return;
        }
        if let Some(bound) = self.inner.options.key_withdrawal {
            let (feed, cancel) = (self.clone(), cancel.clone());
            monoio::spawn(async move {
                cancel.run_until_cancelled(feed.keep_configuration_confirmed(bound)).await;
            });
        }
        while !cancel.is_cancelled() {
            let Some(watchers) = self.watchers().filter(|_| !self.is_watcher()) else {
                self.follow_object_api(&cancel, None).await;
                continue;
            };
            let find_source = async {
                let failure = self.poll_watchers(&watchers, &cancel).await;
                self.wait_for_source(&watchers, failure).await
            };
            let find_source = std::pin::pin!(find_source);
            let keep_targets_recent = std::pin::pin!(self.keep_targets_recent());
            let polling = select(find_source, keep_targets_recent);
            let source = match cancel.run_until_cancelled(polling).await {
                Some(Either::Left((source, _))) => source,
                Some(Either::Right((never, _))) => match never {},
                None => return,
            };
            if source == DataSource::ObjectApi && !self.is_watcher() {
                let until = Instant::now() + self.inner.options.fallback_duration;
                self.follow_object_api(&cancel, Some(until)).await;
            }
        }
    }

    /// Confirms the configuration in force with reads of the object API: on a watcher regularly, so that
    /// the nodes that poll it know its age, and on other nodes if the watchers do not confirm it.
    ///
    /// Does nothing if the configuration has no organisations, whose keys the age is for.
    async fn keep_configuration_confirmed(&self, bound: Duration) -> Infallible {
        let view = &self.inner.follower.view;
        let mut changes = view.subscribe();
        let mut last_attempt = BootInstant::now();
        loop {
            let role = match self.is_watcher() {
                true => ConfirmationRole::Watcher,
                false => ConfirmationRole::Reader,
            };
            let max_age = role.max_age(bound);
            let wait = match (view.has_organisations(), view.configuration_confirmed_at()) {
                (false, _) => max_age,
                (true, Some(at)) => max_age.saturating_sub(at.elapsed()),
                (true, None) if role == ConfirmationRole::Watcher => Duration::ZERO,
                (true, None) => max_age.saturating_sub(last_attempt.elapsed()),
            };
            if !wait.is_zero() {
                // The role and the configuration may change meanwhile.
                let step = wait.min(ConfirmationRole::Watcher.max_age(bound));
                match view.has_organisations() {
                    true => monoio::time::sleep(step).await,
                    false => drop(monoio::time::timeout(step, changes.changed()).await),
                }
                continue;
            }
            last_attempt = BootInstant::now();
            let read = self.inner.follower.confirm_configuration().await;
            if view.configuration_confirmed_at() >= Some(last_attempt) {
                continue;
            }
            let reason =
                read.err().map_or("no valid configuration".to_owned(), |it| it.to_string());
            log::info!(target: "fleet", "configuration not confirmed error={reason}");
            monoio::time::sleep(role.retry_delay(bound)).await;
        }
    }

    /// Reads the targets from the object API whenever they are older than `max_targets_age`,
    /// because the watchers are slow, behind or silent.
    async fn keep_targets_recent(&self) -> Infallible {
        let (view, options) = (&self.inner.follower.view, &self.inner.options);
        let mut is_unreachable = false;
        loop {
            let now = Instant::now();
            let time_until_old = view
                .targets_age(now)
                .map_or(options.max_targets_age, |age| options.max_targets_age.saturating_sub(age));
            if !time_until_old.is_zero() {
                monoio::time::sleep(time_until_old).await;
                continue;
            }
            log::info!(target: "fleet", "targets are old age_ms={}", view.targets_age(now).unwrap_or_default().as_millis());
            match self.inner.follower.read_targets(is_unreachable).await {
                Ok(()) => is_unreachable = false,
                Err(error) => {
                    log::info!(target: "fleet", "reading the targets failed error={error}");
                    is_unreachable = true;
                    monoio::time::sleep(options.targets_retry_delay).await;
                }
            }
        }
    }

    /// Waits until the object API or a watcher can provide current data.
    ///
    /// If each node of a large fleet followed the object API during an outage, the nodes would make
    /// thousands of calls.
    async fn wait_for_source(&self, watchers: &[SocketAddr], failure: PollFailure) -> DataSource {
        let inner = &self.inner;
        if failure == PollFailure::Unreachable && inner.follower.reaches_object_api().await {
            return DataSource::ObjectApi;
        }
        let mut was_unreachable = false;
        loop {
            // Watchers that have just started or lost their watch need a moment to catch up.
            monoio::time::sleep(inner.options.source_check_interval).await;
            if self.has_recent_watcher(watchers, AGE_ONLY).await {
                return DataSource::Watcher;
            }
            if self.is_watcher() {
                return DataSource::ObjectApi;
            }
            let is_unreachable = !inner.follower.reaches_object_api().await;
            if !is_unreachable && !was_unreachable {
                return DataSource::ObjectApi;
            }
            // Only the watcher's configuration is behind.
            if is_unreachable && self.has_recent_watcher(watchers, TARGETS_AGE_ONLY).await {
                return DataSource::Watcher;
            }
            if was_unreachable && !is_unreachable {
                monoio::time::sleep(inner.options.watcher_recovery_delay).await;
            }
            was_unreachable = is_unreachable;
        }
    }

    /// Returns whether any watcher is recent enough by the age that the query parameter `age_query`
    /// requests.
    async fn has_recent_watcher(&self, watchers: &[SocketAddr], age_query: &str) -> bool {
        let ages = join_all(watchers.iter().map(|node| self.fetch_age(*node, age_query))).await;
        let is_recent = |age: &Duration| *age <= self.inner.options.max_data_age;
        ages.iter().zip(watchers).any(|(age, node)| match age {
            Ok(age) => is_recent(age),
            Err(error) => {
                log::debug!(target: "fleet", "watcher does not answer node={node} error={error}");
                false
            }
        })
    }

    /// Queries an age of a watcher's data.
    async fn fetch_age(&self, node: SocketAddr, age_query: &str) -> Result<Duration, NetError> {
        let request = Request::builder()
            .uri(format!("{FEED_PATH}?{age_query}=1"))
            .body(Body::empty())
            .map_err(|error| NetError::Decode(error.to_string()))?;
        let timeout = self.inner.options.poll_timeout;
        let age =
            self.inner.client.call(node, request, timeout, MAX_PAGE_BYTES).await?.into_ok_body()?;
        cbor::decode(&age).map(Duration::from_millis)
    }

    /// Follows the object API until `until` or, without it, for as long as this node is a watcher.
    async fn follow_object_api(&self, cancel: &CancellationToken, until: Option<Instant>) {
        let inner = &self.inner;
        let stop = cancel.child_token();
        let serves_readers = self.watchers().is_some() && until.is_none();
        inner.follower.set_watch_timeout(serves_readers.then_some(inner.options.watch_timeout));
        inner.is_following_object_api.send_replace(true);
        let (follower, token) = (inner.follower.clone(), stop.clone());
        monoio::spawn(async move { follower.follow_configuration(token).await });
        let (follower, token) = (inner.follower.clone(), stop.clone());
        monoio::spawn(async move { follower.follow_targets(token).await });
        let started_at = Instant::now();
        loop {
            let tick = monoio::time::sleep(inner.options.poll_timeout);
            if cancel.run_until_cancelled(tick).await.is_none() {
                return;
            }
            let should_stop = until.map_or(!self.is_watcher(), |until| Instant::now() >= until);
            let should_serve_readers = self.watchers().is_some() && until.is_none();
            // The watchers may be back before the object API answers this node.
            let has_failed = until.is_some()
                && started_at.elapsed() >= inner.options.max_data_age
                && !inner.follower.is_up_to_date_since(started_at);
            if has_failed {
                log::info!(target: "fleet", "object API does not answer; polling the watchers again");
            }
            if should_stop || has_failed || should_serve_readers != serves_readers {
                break;
            }
        }
        inner.is_following_object_api.send_replace(false);
        stop.cancel();
    }

    /// Polls the watchers for changes until none of them returns data that is recent enough.
    async fn poll_watchers(
        &self,
        watchers: &[SocketAddr],
        cancel: &CancellationToken,
    ) -> PollFailure {
        let inner = &self.inner;
        // Spreads the nodes over the watchers.
        let offset = inner.own_address.ip().to_string().bytes().map(usize::from).sum::<usize>();
        let mut failed = 0;
        let mut next_index = offset;
        // The watcher that sent the last page, and the versions on that page. This node still has the
        // targets of that page, so the same watcher can send differences even if polls of other
        // watchers have failed since.
        let mut last_position: Option<(SocketAddr, FeedPosition)> = None;
        let mut failure = PollFailure::Unreachable;
        while failed < watchers.len() && !self.is_watcher() {
            let node = watchers[next_index % watchers.len()];
            let content = self.required_content();
            let position = last_position
                .filter(|(sent_by, position)| *sent_by == node && self.is_unchanged_since(position))
                .map(|(_, position)| position);
            let (sent_at, boot_sent_at) = (Instant::now(), BootInstant::now());
            let Some(fetched) = self.fetch_required_page(node, position.as_ref(), content).await
            else {
                continue;
            };
            match fetched {
                Ok(page) => {
                    let (age, targets_age) = (page.age(), page.targets_age());
                    let configuration_version = page.configuration_version;
                    self.apply_configuration_age(&page, boot_sent_at);
                    last_position = self
                        .apply_page(page, sent_at, position, content)
                        .map(|position| (node, position));
                    if configuration_version > Some(inner.configurations.version()) {
                        inner.configurations.start_fetch(watchers, next_index, cancel);
                    }
                    if age <= inner.options.max_data_age {
                        failed = 0;
                        failure = PollFailure::Unreachable;
                        monoio::time::sleep(self.poll_pause(watchers.len())).await;
                        continue;
                    }
                    log::info!(target: "fleet", "watcher is behind node={node} age_ms={} targets_age_ms={}", age.as_millis(), targets_age.as_millis());
                    failure = PollFailure::Behind;
                }
                Err(error) => {
                    log::info!(target: "fleet", "watcher does not answer node={node} error={error}");
                    // The watcher responds, but not with a page.
                    if matches!(error, NetError::Decode(_)) {
                        failure = PollFailure::Behind;
                    }
                }
            }
            failed += 1;
            next_index += 1;
        }
        failure
    }

    /// Fetches a page, or returns `None` once this node needs the weight versions and the page would be
    /// without them. A watcher holds a poll until there is a change; a node that takes jobs over cannot
    /// dispatch any item until it has the versions.
    async fn fetch_required_page(
        &self,
        node: SocketAddr,
        position: Option<&FeedPosition>,
        content: TargetContent,
    ) -> Option<Result<FeedPage, NetError>> {
        let fetch = self.fetch_page(node, position, content);
        if content == TargetContent::WithVersions {
            return Some(fetch.await);
        }
        let versions_needed = self.inner.follower.view.versions_needed();
        match select(pin!(fetch), pin!(versions_needed)).await {
            Either::Left((fetched, _)) => Some(fetched),
            Either::Right(_) => None,
        }
    }

    /// Returns the target content that this node needs.
    fn required_content(&self) -> TargetContent {
        let own_address = self.inner.own_address;
        let is_runner =
            self.inner.runners.borrow().runners.iter().any(|runner| runner.address == own_address);
        match is_runner || self.inner.follower.view.needs_versions(Instant::now()) {
            true => TargetContent::WithVersions,
            false => TargetContent::Routing,
        }
    }

    /// Returns the pause between two polls, given the number of watchers.
    fn poll_pause(&self, watchers: usize) -> Duration {
        let options = &self.inner.options;
        let readers = self.inner.members.borrow().ranked.len() / watchers.max(1);
        let replies = u32::try_from(readers).unwrap_or(u32::MAX);
        options
            .min_poll_pause
            .max(options.watcher_reply_interval * replies)
            .min(options.poll_timeout)
    }

    async fn fetch_page(
        &self,
        node: SocketAddr,
        position: Option<&FeedPosition>,
        content: TargetContent,
    ) -> Result<FeedPage, NetError> {
        let inner = &self.inner;
        let version = inner.configurations.polled_version();
        let wait = inner.options.poll_timeout;
        let mut path = format!(
            "{FEED_PATH}?configuration={version}&{SEPARATE_CONFIGURATION}=1&wait_ms={}",
            wait.as_millis()
        );
        if content == TargetContent::WithVersions {
            path += "&versions=1";
        }
        if let Some(FeedPosition { epoch, crash_version, member_version, .. }) = position {
            path += &format!("&epoch={epoch}&crashes={crash_version}&members={member_version}");
        }
        // Change numbers refer to one content. The number of the last page is of use only if that
        // page had the content that is requested now.
        if let Some(position) = position.filter(|position| position.content == content) {
            path += &format!("&changes={}", position.changes);
        }
        let request = Request::builder()
            .uri(path)
            .body(Body::empty())
            .map_err(|error| NetError::Decode(error.to_string()))?;
        // Without a position, the watcher replies immediately with the full state.
        let expected_wait = position.map_or(Duration::ZERO, |_| wait);
        let limits = ChunkedCallLimits {
            head_timeout: expected_wait + inner.options.poll_timeout,
            chunk_timeout: inner.options.poll_timeout,
            max_body_bytes: MAX_PAGE_BYTES,
        };
        let page =
            inner.client.call_with_chunk_timeout(node, request, limits).await?.into_ok_body()?;
        cbor::decode(&page)
    }

    /// Returns whether no other source has updated the targets since the page with this position.
    fn is_unchanged_since(&self, position: &FeedPosition) -> bool {
        self.inner.follower.view.targets_up_to_date_at() == position.targets_up_to_date_at
    }

    /// Records from a page that was requested at `sent_at` until when the configuration of the watcher
    /// was the newest one. It need not be in force here yet.
    fn apply_configuration_age(&self, page: &FeedPage, sent_at: BootInstant) {
        // The time on the way is not known, so the page counts as encoded as early as possible.
        let encoded_at = sent_at + Duration::from_millis(page.held_ms);
        if let (Some(version), Some(age_ms)) =
            (page.configuration_version, page.configuration_age_ms)
            && let Some(at) = encoded_at.checked_sub(Duration::from_millis(age_ms))
        {
            self.inner.follower.view.confirm_configuration(version, at);
        }
    }

    /// Applies a page that was requested at `sent_at` with `position`. Returns the new position, or
    /// `None` if this node has more recent targets than the page.
    fn apply_page(
        &self,
        page: FeedPage,
        sent_at: Instant,
        position: Option<FeedPosition>,
        content: TargetContent,
    ) -> Option<FeedPosition> {
        let follower = &self.inner.follower;
        // The time on the way is not known, so the page counts as encoded as early as possible.
        let encoded_at = sent_at + Duration::from_millis(page.held_ms);
        let targets_at = encoded_at.checked_sub(page.targets_age())?;
        // Another source may have more recent targets than the page: a node switches between watchers
        // and reads the object API itself meanwhile.
        let extends_last_page = position.is_some_and(|position| {
            position.epoch == page.epoch && self.is_unchanged_since(&position)
        });
        let is_recent = page.targets_age() <= self.inner.options.max_data_age
            && follower.view.targets_up_to_date_at().is_none_or(|known| known <= targets_at);
        let is_complete = page.targets.as_ref().is_some_and(PackedChanges::is_complete);
        let has_targets = extends_last_page || (is_complete && is_recent);
        if has_targets {
            if let Some(targets) = page.targets {
                follower.view.apply_target_changes(targets.unpack(), Instant::now());
            }
            follower.view.set_targets_up_to_date_at(targets_at);
        }
        if let Some(configuration) = &page.configuration {
            follower.apply_configuration(configuration);
        }
        let has_configuration =
            page.configuration_version <= Some(self.inner.configurations.version());
        if let Some(at) = encoded_at.checked_sub(Duration::from_millis(page.age_ms))
            && has_targets
            && has_configuration
        {
            follower.view.set_up_to_date_at(at);
        }
        if let Some(crashes) = page.crashes {
            self.inner.crashes.replace(crashes, Instant::now());
        }
        if page.leader.is_some() {
            self.set_leader(page.leader);
        }
        self.set_runners(page.runners);
        if let Some(members) = page.members.filter(|members| !members.ranked.is_empty()) {
            self.inner.members.replace(members);
            self.update_member_version();
        }
        has_targets.then(|| FeedPosition {
            epoch: page.epoch,
            changes: page.changes,
            content,
            crash_version: page.crash_version,
            member_version: page.member_version,
            targets_up_to_date_at: follower.view.targets_up_to_date_at(),
        })
    }

    /// Handles a poll from another node, given the query string of the request.
    ///
    /// Waits for changes for up to the requested time. Responds with an error status if this node
    /// does not follow the object API.
    pub async fn serve(&self, query: &str) -> Response<Body> {
        let inner = &self.inner;
        if !self.is_watching_object_api() {
            return empty_response(StatusCode::NOT_FOUND);
        }
        let parameter = |name| numeric_query_parameter(query, name);
        let (targets_only, has_age_query) =
            (parameter(TARGETS_AGE_ONLY).is_some(), parameter(AGE_ONLY).is_some());
        if targets_only || has_age_query {
            return match if targets_only { self.targets_age() } else { self.age() } {
                Some(age) => cbor_response(&(age.as_millis() as u64)),
                None => empty_response(StatusCode::SERVICE_UNAVAILABLE),
            };
        }
        if parameter(CONFIGURATION_ONLY).is_some() {
            return inner.configurations.serve();
        }
        let same_epoch = parameter("epoch") == Some(inner.epoch);
        let reader_version = |name| parameter(name).filter(|_| same_epoch);
        let content = match parameter("versions") {
            Some(_) => TargetContent::WithVersions,
            None => TargetContent::Routing,
        };
        let view = &inner.follower.view;
        let has_changes = || {
            let version = inner.configurations.version();
            reader_version("changes") != Some(view.last_target_change(content))
                || version > parameter("configuration").unwrap_or(0)
                || reader_version("crashes") != Some(inner.crashes.version())
                || reader_version("members") != Some(inner.member_version.get())
        };
        let wait = Duration::from_millis(parameter("wait_ms").unwrap_or(0));
        let received_at = Instant::now();
        let deadline = received_at + wait.min(inner.options.poll_timeout);
        let mut changes = view.subscribe();
        while !has_changes() {
            let remaining_wait = deadline.saturating_duration_since(Instant::now());
            if monoio::time::timeout(remaining_wait, changes.changed()).await.is_err() {
                break;
            }
        }
        let held_ms = received_at.elapsed().as_millis() as u64;
        let (Some(age), Some(targets_age)) = (self.age(), self.targets_age()) else {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        };
        let version = inner.configurations.version();
        // Rounded up, as readers subtract it.
        let configuration_age_ms = inner
            .options
            .key_withdrawal
            .and_then(|_| view.configuration_confirmed_at())
            .map(|at| at.elapsed().as_millis() as u64 + 1);
        let is_newer = version > parameter("configuration").unwrap_or(0);
        let is_on_page = is_newer && parameter(SEPARATE_CONFIGURATION).is_none();
        let configuration =
            is_on_page.then(|| inner.follower.freshness.configuration.borrow().clone()).flatten();
        let crashes = inner.crashes.reports(Instant::now());
        let crash_version = inner.crashes.version();
        let (changes, member_version) =
            (view.last_target_change(content), inner.member_version.get());
        let targets = match reader_version("changes") {
            Some(number) if number == changes => None,
            Some(number) => Some(view.targets_since(number, content)),
            None => Some(view.all_targets(content)),
        };
        let targets = targets.as_ref().map(PackedChanges::pack);
        let page = FeedPage {
            epoch: inner.epoch,
            changes,
            age_ms: age.as_millis() as u64,
            targets_age_ms: Some(targets_age.as_millis() as u64),
            held_ms,
            configuration,
            configuration_version: Some(version),
            configuration_age_ms,
            targets,
            leader: self.leader(),
            runners: self.runners(),
            member_version,
            members: (reader_version("members") != Some(member_version))
                .then(|| inner.members.borrow().clone()),
            crash_version,
            crashes: (reader_version("crashes") != Some(crash_version)).then_some(crashes),
        };
        cbor_response(&page)
    }

    /// Returns the age of the data that this node has from the object API.
    fn age(&self) -> Option<Duration> {
        let follower = &self.inner.follower;
        let kinds = [follower.kinds.configuration, follower.kinds.targets];
        follower.freshness.age(&kinds, Instant::now())
    }

    /// Returns the age of the targets that this node has from the object API.
    fn targets_age(&self) -> Option<Duration> {
        let follower = &self.inner.follower;
        follower.freshness.age(&[follower.kinds.targets], Instant::now())
    }
}

/// Reason why polling the watchers ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PollFailure {
    /// At least one watcher responds, but none has current data.
    Behind,
    /// No watcher responds.
    Unreachable,
}

/// Source from which a node can obtain current data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DataSource {
    ObjectApi,
    Watcher,
}

/// Query parameter that requests only the age of a watcher's data.
const AGE_ONLY: &str = "age_only";
/// Query parameter that requests only the age of a watcher's targets.
const TARGETS_AGE_ONLY: &str = "targets_age_only";
/// Query parameter of nodes that fetch the configuration separately, so that pages do not carry it.
const SEPARATE_CONFIGURATION: &str = "separate_configuration";

fn cbor_response<T: Serialize>(value: &T) -> Response<Body> {
    match encode_cbor(value) {
        Some(bytes) => Response::new(Body::full(bytes)),
        None => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

pub(crate) fn encode_cbor<T: Serialize>(value: &T) -> Option<Bytes> {
    let mut bytes = Vec::new();
    match ciborium::into_writer(value, &mut bytes) {
        Ok(()) => Some(Bytes::from(bytes)),
        Err(error) => {
            log::error!(target: "fleet", "feed page could not be encoded error={error}");
            None
        }
    }
}
