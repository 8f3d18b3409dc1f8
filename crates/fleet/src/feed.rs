//! Knowledge of the deployment, passed on between nodes.
//!
//! Each call on the object API has its price, and its rates grow more slowly than the fleet. In a
//! large fleet only a few nodes, the watchers, follow the object API; the others ask a watcher with
//! long polls. A watcher states how old its knowledge is, so that a node whose watcher is cut off
//! from the object API turns to another one, or to the object API itself.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{
    CancellationToken,
    hash::hash64,
    id::{FencingNumber, VmId},
};
use deck_net::{
    Body, CallLimits, Client, NetError, cbor,
    server::{number_parameter, status_only},
};
use futures_util::future::join_all;
use http::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::{Notify, watch};

use crate::{
    CrashBoard, Follower, NodeCrashes, TargetContent, config::ModelName, packed::PackedChanges,
};

/// Path at which watchers serve what they know.
pub const FEED_PATH: &str = "/peer/feed";
/// Largest page of a feed.
const MAX_PAGE_BYTES: usize = 16 * 1024 * 1024;

/// Node that runs new batch jobs and gives orders.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Leader {
    /// Its VM.
    pub vm: VmId,
    /// Its address for other nodes.
    pub address: SocketAddr,
}

/// Node that runs the jobs of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ModelRunner {
    /// The model.
    pub model: ModelName,
    /// Address of the node for other nodes.
    pub address: SocketAddr,
}

/// Nodes that run the jobs of the models, as the leader has chosen them. A job of a model that is not
/// listed is run by the leader.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunnerTable {
    /// Fencing number of the leader's lease: the table of a later leader wins.
    pub fencing: FencingNumber,
    /// Number of the table among those of this leader.
    pub number: u64,
    /// The nodes; one for each model.
    pub runners: Vec<ModelRunner>,
}

/// Options of a [`Feed`].
#[derive(Debug, Clone)]
pub struct FeedOptions {
    /// Fleets of at most this many nodes have no feeds: all nodes are watchers.
    pub all_watch: usize,
    /// Watchers of a larger fleet.
    pub watchers: usize,
    /// Time after which a watcher's own watch tells that there are no changes.
    pub watch_wait: Duration,
    /// Time for which a question to a watcher waits for a change.
    pub poll_wait: Duration,
    /// Age at which a watcher's knowledge is too old. With the waits above, a change is known
    /// everywhere in less than the two seconds that deployments allow.
    pub max_age: Duration,
    /// Shortest pause between two questions.
    pub pause: Duration,
    /// Time in which a watcher gives one answer, on average: with more readers each of them pauses
    /// longer, so that changes in quick succession do not take up the watcher.
    pub answer_interval: Duration,
    /// Time for which a node follows the object API itself after no watcher had an answer.
    pub fallback: Duration,
    /// Pause between two looks for a source while neither watchers nor the object API are one. With the
    /// largest age and the wait for an answer it stays below the time in which a change has to be in
    /// force.
    pub search_pause: Duration,
    /// Time that a watcher needs at the end of an outage until its knowledge is recent; above the
    /// longest wait between two of its tries.
    pub recovery: Duration,
}

impl Default for FeedOptions {
    fn default() -> Self {
        Self {
            all_watch: 10,
            watchers: 3,
            watch_wait: Duration::from_millis(900),
            poll_wait: Duration::from_millis(500),
            max_age: Duration::from_millis(1500),
            pause: Duration::from_millis(50),
            answer_interval: Duration::from_millis(4),
            fallback: Duration::from_secs(5),
            search_pause: Duration::from_millis(400),
            recovery: Duration::from_millis(800),
        }
    }
}

/// One answer of a watcher.
#[derive(Debug, Serialize, Deserialize)]
struct Page {
    /// Distinguishes the runs of a watcher's process.
    epoch: u64,
    /// Number of the last change of the watcher's targets.
    changes: u64,
    /// Age of what the watcher knows.
    age_ms: u64,
    /// Configuration, if the asking node has an older one.
    configuration: Option<Value>,
    /// What has changed of the targets.
    targets: Option<PackedChanges>,
    /// Leader, if known.
    leader: Option<Leader>,
    /// Nodes that run the jobs of the models.
    runners: RunnerTable,
    /// Version of the members that the watcher knows of.
    member_version: u64,
    /// Members, if the asking node does not know this version.
    members: Option<Members>,
    /// Version of the crashes that the watcher knows of.
    #[serde(default)]
    crash_version: u64,
    /// Crashes, if the asking node does not know this version.
    #[serde(default)]
    crashes: Option<Vec<NodeCrashes>>,
}

/// Nodes of a fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
struct Members {
    /// Entry nodes in the order in which they are watchers.
    ranked: Vec<SocketAddr>,
    /// VMs with a disk.
    disks: Vec<SocketAddr>,
}

impl Members {
    /// Returns a number that differs between different members, on all nodes alike.
    fn version(&self) -> u64 {
        let addresses = self.ranked.iter().map(|node| (node, "entry"));
        let addresses = addresses.chain(self.disks.iter().map(|node| (node, "disk")));
        let text: String = addresses.map(|(node, role)| format!("{role} {node},")).collect();
        hash64(text.as_bytes())
    }
}

/// What a node knows of a watcher's knowledge.
#[derive(Debug, Clone, Copy)]
struct Position {
    /// Run of the watcher's process.
    epoch: u64,
    /// Number of the last change of the watcher's targets.
    changes: u64,
    /// What the node asked for of the targets, which `changes` counts.
    content: TargetContent,
    /// Version of the watcher's crashes.
    crash_version: u64,
    /// Version of the watcher's members.
    member_version: u64,
}

/// Passes on and receives knowledge; clones share their state.
#[derive(Clone)]
pub struct Feed {
    inner: Rc<Inner>,
}

struct Inner {
    own: SocketAddr,
    epoch: u64,
    client: Client,
    follower: Follower,
    options: FeedOptions,
    members: RefCell<Members>,
    /// Version of `members`.
    member_version: Cell<u64>,
    /// Told when the nodes of the fleet are set.
    learned: Notify,
    leader: watch::Sender<Option<Leader>>,
    runners: RefCell<RunnerTable>,
    crashes: CrashBoard,
    is_watching: watch::Sender<bool>,
}

impl Feed {
    /// Returns a feed for the node at `own`.
    pub fn new(
        own: SocketAddr,
        epoch: u64,
        client: Client,
        follower: Follower,
        options: FeedOptions,
    ) -> Self {
        let inner = Inner {
            own,
            epoch,
            client,
            follower,
            options,
            members: RefCell::default(),
            member_version: Cell::new(0),
            learned: Notify::new(),
            leader: watch::channel(None).0,
            runners: RefCell::default(),
            crashes: CrashBoard::default(),
            is_watching: watch::channel(false).0,
        };
        Self { inner: Rc::new(inner) }
    }

    /// Sets the nodes of the fleet, in the order in which they are watchers.
    pub fn set_ranked(&self, nodes: Vec<SocketAddr>) {
        self.inner.members.borrow_mut().ranked = nodes;
        self.members_changed();
    }

    /// Returns the nodes of the fleet, in the order in which they are watchers.
    pub fn ranked(&self) -> Vec<SocketAddr> {
        self.inner.members.borrow().ranked.clone()
    }

    /// Sets the VMs with a disk.
    pub fn set_disks(&self, disks: Vec<SocketAddr>) {
        self.inner.members.borrow_mut().disks = disks;
        self.members_changed();
    }

    /// Returns the VMs with a disk.
    pub fn disks(&self) -> Vec<SocketAddr> {
        self.inner.members.borrow().disks.clone()
    }

    fn members_changed(&self) {
        self.inner.member_version.set(self.inner.members.borrow().version());
        if !self.inner.members.borrow().ranked.is_empty() {
            self.inner.learned.notify_one();
        }
    }

    /// Takes note of the leader.
    pub fn set_leader(&self, leader: Option<Leader>) {
        self.inner.leader.send_if_modified(|known| {
            let changed = *known != leader;
            if changed {
                log::info!(target: "fleet", "leader is {leader:?}");
                *known = leader;
            }
            changed
        });
    }

    /// Returns the leader as last known.
    pub fn leader(&self) -> Option<Leader> {
        self.inner.leader.borrow().clone()
    }

    /// Takes over a table of runners, unless a later one is known.
    pub fn set_runners(&self, table: RunnerTable) {
        let mut known = self.inner.runners.borrow_mut();
        if (known.fencing, known.number) < (table.fencing, table.number) {
            if known.runners != table.runners {
                log::info!(target: "fleet", "runners are {table:?}");
            }
            *known = table;
        }
    }

    /// Returns the table of runners as last known.
    pub fn runners(&self) -> RunnerTable {
        self.inner.runners.borrow().clone()
    }

    /// Returns the node that runs the jobs of a model, if it is not the leader.
    pub fn runner_of(&self, model: &str) -> Option<SocketAddr> {
        let table = self.inner.runners.borrow();
        let runner = table.runners.iter().find(|runner| runner.model == model);
        runner.map(|runner| runner.address)
    }

    /// Returns the nodes that may run jobs of a model in place of the leader, the strongest first;
    /// none in a small fleet, whose leader runs all jobs. Watchers have other duties.
    pub fn runner_candidates(&self) -> Vec<SocketAddr> {
        let Some(watchers) = self.watchers() else { return Vec::new() };
        let mut nodes = self.ranked();
        nodes.retain(|node| *node != self.inner.own && !watchers.contains(node));
        nodes
    }

    /// Returns what the nodes have published of crashes.
    pub fn crashes(&self) -> &CrashBoard {
        &self.inner.crashes
    }

    /// Returns the nodes that have to be told something so that all nodes learn it.
    pub fn told_nodes(&self) -> Vec<SocketAddr> {
        let mut nodes = self.watchers().unwrap_or_else(|| self.ranked());
        nodes.retain(|node| *node != self.inner.own);
        nodes
    }

    /// Returns whether this node is a watcher. A node that does not know the fleet yet is one.
    pub fn is_watcher(&self) -> bool {
        self.watchers().is_none_or(|watchers| watchers.contains(&self.inner.own))
    }

    /// Returns whether this node follows the object API itself now.
    pub fn is_following(&self) -> bool {
        *self.inner.is_watching.borrow()
    }

    /// Waits until this node follows the object API itself.
    pub async fn until_following(&self) {
        let mut is_watching = self.inner.is_watching.subscribe();
        // The sender lives as long as the feed.
        let _ = is_watching.wait_for(|is_watching| *is_watching).await;
    }

    /// Returns the watchers; `None` if all nodes are.
    fn watchers(&self) -> Option<Vec<SocketAddr>> {
        let ranked = &self.inner.members.borrow().ranked;
        let options = &self.inner.options;
        (ranked.len() > options.all_watch)
            .then(|| ranked.iter().take(options.watchers).copied().collect())
    }

    /// Follows the object API as a watcher and watchers otherwise, until `cancel` is cancelled. Waits
    /// up to `learn_limit` for the nodes of the fleet: most nodes of a large one need not follow the
    /// object API, not even at their start.
    pub async fn run(&self, learn_limit: Duration, cancel: CancellationToken) {
        let learned = monoio::time::timeout(learn_limit, self.inner.learned.notified());
        if cancel.run_until_cancelled(learned).await.is_none() {
            return;
        }
        while !cancel.is_cancelled() {
            let Some(watchers) = self.watchers().filter(|_| !self.is_watcher()) else {
                self.watch_until(&cancel, None).await;
                continue;
            };
            let asked = cancel.run_until_cancelled(self.ask(&watchers)).await;
            let Some(end) = asked else { return };
            let found = cancel.run_until_cancelled(self.find_source(&watchers, end)).await;
            let Some(source) = found else { return };
            if source == Source::ObjectApi && !self.is_watcher() {
                let until = Instant::now() + self.inner.options.fallback;
                self.watch_until(&cancel, Some(until)).await;
            }
        }
    }

    /// Waits until the object API or a watcher can tell what is new. In an outage of the object API
    /// the nodes of a large fleet would make thousands of calls if each of them followed it.
    async fn find_source(&self, watchers: &[SocketAddr], asked: AskEnd) -> Source {
        let inner = &self.inner;
        if asked == AskEnd::Unreachable && inner.follower.reaches_object_api().await {
            return Source::ObjectApi;
        }
        let mut was_away = false;
        loop {
            // Watchers whose watches were cut, or which have just started, need a moment.
            monoio::time::sleep(inner.options.search_pause).await;
            if self.is_any_recent(watchers).await {
                return Source::Watcher;
            }
            if self.is_watcher() {
                return Source::ObjectApi;
            }
            let is_away = !inner.follower.reaches_object_api().await;
            if !is_away && !was_away {
                return Source::ObjectApi;
            }
            if was_away && !is_away {
                monoio::time::sleep(inner.options.recovery).await;
            }
            was_away = is_away;
        }
    }

    /// Returns whether the knowledge of any watcher is recent enough.
    async fn is_any_recent(&self, watchers: &[SocketAddr]) -> bool {
        let ages = join_all(watchers.iter().map(|node| self.ask_age(*node))).await;
        let is_recent = |age: &Duration| *age <= self.inner.options.max_age;
        ages.iter().zip(watchers).any(|(age, node)| match age {
            Ok(age) => is_recent(age),
            Err(error) => {
                log::debug!(target: "fleet", "watcher does not answer node={node} error={error}");
                false
            }
        })
    }

    /// Asks a watcher how old its knowledge is.
    async fn ask_age(&self, node: SocketAddr) -> Result<Duration, NetError> {
        let request = Request::builder()
            .uri(format!("{FEED_PATH}?{AGE_ONLY}=1"))
            .body(Body::empty())
            .map_err(|error| NetError::Decode(error.to_string()))?;
        let limit = self.inner.options.poll_wait;
        let age = self.inner.client.call(node, request, limit, MAX_PAGE_BYTES).await?.ok()?;
        cbor::decode(&age).map(Duration::from_millis)
    }

    /// Follows the object API while this node is a watcher, and until `until`.
    async fn watch_until(&self, cancel: &CancellationToken, until: Option<Instant>) {
        let inner = &self.inner;
        let stop = cancel.child_token();
        let feeds_others = self.watchers().is_some() && until.is_none();
        inner.follower.set_watch_wait(feeds_others.then_some(inner.options.watch_wait));
        inner.is_watching.send_replace(true);
        let (follower, token) = (inner.follower.clone(), stop.clone());
        monoio::spawn(async move { follower.configuration(token).await });
        let (follower, token) = (inner.follower.clone(), stop.clone());
        monoio::spawn(async move { follower.targets(token).await });
        loop {
            let tick = monoio::time::sleep(inner.options.poll_wait);
            if cancel.run_until_cancelled(tick).await.is_none() {
                return;
            }
            let ends = until.map_or(!self.is_watcher(), |until| Instant::now() >= until);
            let feeds_now = self.watchers().is_some() && until.is_none();
            if ends || feeds_now != feeds_others {
                break;
            }
        }
        inner.is_watching.send_replace(false);
        stop.cancel();
    }

    /// Asks watchers for changes, until none of them has an answer that is recent enough.
    async fn ask(&self, watchers: &[SocketAddr]) -> AskEnd {
        let inner = &self.inner;
        // Each node begins with another watcher.
        let offset = inner.own.ip().to_string().bytes().map(usize::from).sum::<usize>();
        let mut failed = 0;
        let mut next = offset;
        // The watcher that gave the last page: what this node knows of the targets is what that one
        // knew. Its next page may be of differences, also after other watchers had no answer.
        let mut last: Option<(SocketAddr, Position)> = None;
        let mut end = AskEnd::Unreachable;
        while failed < watchers.len() && !self.is_watcher() {
            let node = watchers[next % watchers.len()];
            let content = self.wanted_content();
            let position = last.as_ref().filter(|(given_by, _)| *given_by == node);
            match self.ask_one(node, position.map(|(_, position)| position), content).await {
                Ok(page) if Duration::from_millis(page.age_ms) <= inner.options.max_age => {
                    failed = 0;
                    end = AskEnd::Unreachable;
                    let Page { epoch, changes, crash_version, member_version, .. } = page;
                    let position =
                        Position { epoch, changes, content, crash_version, member_version };
                    last = Some((node, position));
                    self.apply(page);
                    monoio::time::sleep(self.pause(watchers.len())).await;
                    continue;
                }
                Ok(page) => {
                    log::info!(target: "fleet", "watcher is behind node={node} age_ms={}", page.age_ms);
                    end = AskEnd::Behind;
                }
                Err(error) => {
                    log::info!(target: "fleet", "watcher does not answer node={node} error={error}");
                    // It answers, but not with a page.
                    if matches!(error, NetError::Decode(_)) {
                        end = AskEnd::Behind;
                    }
                }
            }
            failed += 1;
            next += 1;
        }
        end
    }

    /// Returns what this node needs to know of the targets.
    fn wanted_content(&self) -> TargetContent {
        let own = self.inner.own;
        let runs = self.inner.runners.borrow().runners.iter().any(|runner| runner.address == own);
        match runs || self.inner.follower.view.needs_versions(Instant::now()) {
            true => TargetContent::WithVersions,
            false => TargetContent::Routing,
        }
    }

    /// Returns the pause between two questions to one of `watchers` nodes.
    fn pause(&self, watchers: usize) -> Duration {
        let options = &self.inner.options;
        let readers = self.inner.members.borrow().ranked.len() / watchers.max(1);
        let answers = u32::try_from(readers).unwrap_or(u32::MAX);
        options.pause.max(options.answer_interval * answers).min(options.poll_wait)
    }

    async fn ask_one(
        &self,
        node: SocketAddr,
        position: Option<&Position>,
        content: TargetContent,
    ) -> Result<Page, NetError> {
        let inner = &self.inner;
        let version = inner.follower.view.configuration().map_or(0, |c| c.version);
        let wait = inner.options.poll_wait;
        let mut path = format!("{FEED_PATH}?configuration={version}&wait_ms={}", wait.as_millis());
        if content == TargetContent::WithVersions {
            path += "&versions=1";
        }
        if let Some(Position { epoch, crash_version, member_version, .. }) = position {
            path += &format!("&epoch={epoch}&crashes={crash_version}&members={member_version}");
        }
        // Numbers of changes with and without versions differ.
        if let Some(position) = position.filter(|position| position.content == content) {
            path += &format!("&changes={}", position.changes);
        }
        let request = Request::builder()
            .uri(path)
            .body(Body::empty())
            .map_err(|error| NetError::Decode(error.to_string()))?;
        // Without a position the watcher has something to tell at once.
        let waits = position.map_or(Duration::ZERO, |_| wait);
        let limits = CallLimits {
            head: waits + inner.options.poll_wait,
            pause: inner.options.poll_wait,
            max_bytes: MAX_PAGE_BYTES,
        };
        let page = inner.client.call_in_parts(node, request, limits).await?.ok()?;
        cbor::decode(&page)
    }

    fn apply(&self, page: Page) {
        let follower = &self.inner.follower;
        if let Some(at) = Instant::now().checked_sub(Duration::from_millis(page.age_ms)) {
            follower.view.set_checked(at);
        }
        if let Some(configuration) = &page.configuration {
            follower.apply_configuration(configuration);
        }
        if let Some(targets) = page.targets {
            follower.view.copy_targets(targets.unpack(), Instant::now());
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
            self.members_changed();
        }
    }

    /// Answers another node's question.
    pub async fn serve(&self, query: &str) -> Response<Body> {
        let inner = &self.inner;
        if !self.is_following() {
            return status_only(StatusCode::NOT_FOUND);
        }
        let parameter = |name| number_parameter(query, name);
        if parameter(AGE_ONLY).is_some() {
            return match self.age() {
                Some(age) => encoded(&(age.as_millis() as u64)),
                None => status_only(StatusCode::SERVICE_UNAVAILABLE),
            };
        }
        let same_epoch = parameter("epoch") == Some(inner.epoch);
        let known = |name| parameter(name).filter(|_| same_epoch);
        let content = match parameter("versions") {
            Some(_) => TargetContent::WithVersions,
            None => TargetContent::Routing,
        };
        let view = &inner.follower.view;
        let has_news = || {
            let version = view.configuration().map_or(0, |configuration| configuration.version);
            known("changes") != Some(view.target_changes(content))
                || version > parameter("configuration").unwrap_or(0)
                || known("crashes") != Some(inner.crashes.version())
                || known("members") != Some(inner.member_version.get())
        };
        let wait = Duration::from_millis(parameter("wait_ms").unwrap_or(0));
        let until = Instant::now() + wait.min(inner.options.poll_wait);
        let mut changes = view.changes();
        while !has_news() {
            let left = until.saturating_duration_since(Instant::now());
            if monoio::time::timeout(left, changes.changed()).await.is_err() {
                break;
            }
        }
        let Some(age) = self.age() else { return status_only(StatusCode::SERVICE_UNAVAILABLE) };
        let version = view.configuration().map_or(0, |configuration| configuration.version);
        let newer = version > parameter("configuration").unwrap_or(0);
        let configuration = inner.follower.freshness.configuration.borrow().clone();
        let crashes = inner.crashes.nodes(Instant::now());
        let crash_version = inner.crashes.version();
        let (changes, member_version) = (view.target_changes(content), inner.member_version.get());
        let targets = match known("changes") {
            Some(known) if known == changes => None,
            Some(known) => Some(view.targets_since(known, content)),
            None => Some(view.all_targets(content)),
        };
        let targets = targets.as_ref().map(PackedChanges::pack);
        let page = Page {
            epoch: inner.epoch,
            changes,
            age_ms: age.as_millis() as u64,
            configuration: configuration.filter(|_| newer),
            targets,
            leader: self.leader(),
            runners: self.runners(),
            member_version,
            members: (known("members") != Some(member_version))
                .then(|| inner.members.borrow().clone()),
            crash_version,
            crashes: (known("crashes") != Some(crash_version)).then_some(crashes),
        };
        encoded(&page)
    }

    /// Returns the age of what this node knows from the object API.
    fn age(&self) -> Option<Duration> {
        let follower = &self.inner.follower;
        let kinds = [follower.kinds.configuration, follower.kinds.targets];
        follower.freshness.age(&kinds, Instant::now())
    }
}

/// Why a node no longer asks the watchers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AskEnd {
    /// At least one of them answers, and none knows enough.
    Behind,
    /// None of them answers.
    Unreachable,
}

/// Where a node can learn what is new.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    ObjectApi,
    Watcher,
}

/// Parameter of a question that asks only for the age of a watcher's knowledge.
const AGE_ONLY: &str = "age_only";

fn encoded<T: Serialize>(value: &T) -> Response<Body> {
    let mut bytes = Vec::new();
    match ciborium::into_writer(value, &mut bytes) {
        Ok(()) => Response::new(Body::full(Bytes::from(bytes))),
        Err(error) => {
            log::error!(target: "fleet", "answer not encoded error={error}");
            status_only(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
