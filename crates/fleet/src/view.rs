//! Current knowledge of a node: configuration, targets and named versions.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap, HashSet},
    fmt,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{
    id::{PoolName, TargetId, WeightVersion},
    object::{self, FencingCheck, PoolType, TargetPool},
};
use deck_route::Router;
use tokio::sync::watch;

use crate::{Configuration, Target, TargetState, changes::TargetLog, config::ModelName};

/// Time after the return of the object API in which live targets register again if their entries
/// expired during its outage. An entry that is missing after that belongs to a target that is gone.
const REGISTER_AGAIN: Duration = Duration::from_millis(2200);

/// Time for which a node that had a job keeps following the versions: the next step comes within it.
const VERSIONS_NEEDED: Duration = Duration::from_secs(10);
/// Time for which a target that leaves is remembered after its entry is gone. A list that another node
/// or a stale read brings back is seconds old.
const LEAVING_MEMORY: Duration = Duration::from_secs(600);

/// Knowledge of a node; clones share it.
#[derive(Clone)]
pub struct View {
    inner: Rc<Inner>,
}

struct Inner {
    configuration: RefCell<Option<Rc<Configuration>>>,
    targets: RefCell<BTreeMap<TargetId, Rc<Target>>>,
    /// Targets by service. Invariant: lists are as in `targets`, or missing.
    by_service: RefCell<HashMap<PoolName, TargetList>>,
    /// Changes of `targets`.
    target_log: RefCell<TargetLog>,
    /// Changes that matter to the choice of a target: all but those of versions of weights.
    routing_log: RefCell<TargetLog>,
    /// When a job last needed to know which engines have which versions.
    versions_needed_at: Cell<Option<Instant>>,
    /// Runs of targets that have said in an answer that they leave.
    leaving: RefCell<HashMap<TargetId, Leaving>>,
    versions: RefCell<HashMap<ModelName, WeightVersion>>,
    /// Targets whose entries went missing around an outage of the object API, and when they count
    /// as gone.
    missing: RefCell<HashMap<TargetId, Instant>>,
    /// When configuration and targets were last known to be up to date.
    checked_at: Cell<Option<Instant>>,
    /// Whether the targets were listed.
    targets_listed: Cell<bool>,
    /// When the object API answered again after an outage.
    returned_at: Cell<Option<Instant>>,
    router: Router,
    pools: RefCell<HashSet<PoolName>>,
    changes: watch::Sender<u64>,
}

/// Targets of one service; clones are cheap.
pub type TargetList = Rc<[Rc<Target>]>;

/// Run of a target that leaves.
#[derive(Debug, Clone, Copy)]
struct Leaving {
    /// Start of the run, as in [`Target::started_at_ms`].
    started_at_ms: u64,
    /// When it was last known to leave, or listed.
    noted_at: Instant,
}

/// What another node needs to know of the targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetContent {
    /// Everything.
    WithVersions,
    /// What matters to the choice of a target. Versions of weights change many times a second in a
    /// large fleet, and only nodes that run jobs need them.
    Routing,
}

impl TargetContent {
    fn of(self, target: &Target) -> Target {
        match self {
            Self::WithVersions => target.clone(),
            Self::Routing => Target {
                id: target.id.clone(),
                service: target.service.clone(),
                data_centre: target.data_centre.clone(),
                models: Vec::new(),
                ..*target
            },
        }
    }
}

/// Differences between two states of the targets.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetChanges {
    /// All targets; others are gone.
    All(Vec<Target>),
    /// Some targets.
    Some {
        /// Targets that were added or changed.
        changed: Vec<Target>,
        /// Targets that are gone.
        removed: Vec<TargetId>,
    },
}

impl View {
    /// Returns an empty view that keeps the pools of `router` up to date.
    pub fn new(router: Router) -> Self {
        let inner = Inner {
            configuration: RefCell::default(),
            targets: RefCell::default(),
            by_service: RefCell::default(),
            target_log: RefCell::default(),
            routing_log: RefCell::default(),
            versions_needed_at: Cell::new(None),
            leaving: RefCell::default(),
            versions: RefCell::default(),
            missing: RefCell::default(),
            checked_at: Cell::new(None),
            targets_listed: Cell::new(false),
            returned_at: Cell::new(None),
            router,
            pools: RefCell::default(),
            changes: watch::channel(0).0,
        };
        Self { inner: Rc::new(inner) }
    }

    /// Returns the configuration in force; `None` before the first one.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.inner.configuration.borrow().clone()
    }

    /// Returns the target with the id.
    pub fn target(&self, id: &str) -> Option<Rc<Target>> {
        self.inner.targets.borrow().get(id).cloned()
    }

    /// Returns the targets of a service.
    pub fn targets_of(&self, service: &str) -> TargetList {
        if let Some(list) = self.inner.by_service.borrow().get(service) {
            return list.clone();
        }
        let targets = self.inner.targets.borrow();
        let list = targets.values().filter(|target| target.service == service);
        let list: TargetList = list.cloned().collect();
        self.inner.by_service.borrow_mut().insert(service.to_owned(), list.clone());
        list
    }

    /// Returns all targets.
    pub fn targets(&self) -> Vec<Rc<Target>> {
        self.inner.targets.borrow().values().cloned().collect()
    }

    /// Returns the number of the last change of the targets.
    pub fn target_changes(&self, content: TargetContent) -> u64 {
        self.log(content).borrow().last()
    }

    /// Returns all targets, for another node.
    pub fn all_targets(&self, content: TargetContent) -> TargetChanges {
        let targets = self.inner.targets.borrow();
        TargetChanges::All(targets.values().map(|target| content.of(target)).collect())
    }

    /// Returns what has changed since the change with the given number.
    pub fn targets_since(&self, number: u64, content: TargetContent) -> TargetChanges {
        let targets = self.inner.targets.borrow();
        let log = self.log(content).borrow();
        let Some(ids) = log.since(number) else { return self.all_targets(content) };
        let (mut changed, mut removed) = (Vec::new(), Vec::new());
        for id in ids {
            match targets.get(id) {
                Some(target) => changed.push(content.of(target)),
                None => removed.push(id.clone()),
            }
        }
        TargetChanges::Some { changed, removed }
    }

    fn log(&self, content: TargetContent) -> &RefCell<TargetLog> {
        match content {
            TargetContent::WithVersions => &self.inner.target_log,
            TargetContent::Routing => &self.inner.routing_log,
        }
    }

    /// Takes note that a job needs to know which engines have which versions.
    pub fn need_versions(&self, now: Instant) {
        self.inner.versions_needed_at.set(Some(now));
    }

    /// Returns whether jobs of this node need to know which engines have which versions.
    pub fn needs_versions(&self, now: Instant) -> bool {
        let needed_at = self.inner.versions_needed_at.get();
        needed_at.is_some_and(|at| now.saturating_duration_since(at) < VERSIONS_NEEDED)
    }

    /// Takes note that configuration and targets were up to date at a moment.
    pub fn set_checked(&self, at: Instant) {
        self.inner.checked_at.set(Some(at));
    }

    /// Returns the age of what is known of configuration and targets.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.inner.checked_at.get().map(|at| now.saturating_duration_since(at))
    }

    /// Returns version and age of what is known, for log lines.
    pub fn known(&self) -> Known {
        let version = self.configuration().map(|configuration| configuration.version);
        Known { version, age: self.age(Instant::now()) }
    }

    /// Returns the last version that was named for a model.
    pub fn published_version(&self, model: &str) -> Option<WeightVersion> {
        self.inner.versions.borrow().get(model).copied()
    }

    /// Returns all named versions.
    pub fn published_versions(&self) -> Vec<(ModelName, WeightVersion)> {
        let versions = self.inner.versions.borrow();
        versions.iter().map(|(model, version)| (model.clone(), *version)).collect()
    }

    /// Returns the router whose pools this view keeps.
    pub fn router(&self) -> &Router {
        &self.inner.router
    }

    /// Returns whether configuration and targets are known, so that requests can be served.
    pub fn is_complete(&self) -> bool {
        self.inner.configuration.borrow().is_some() && self.inner.targets_listed.get()
    }

    /// Returns a receiver that is told of each change.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.inner.changes.subscribe()
    }

    /// Puts a configuration in force, unless a later one already is.
    pub fn set_configuration(&self, configuration: Configuration) {
        let current = self.configuration().map(|current| current.version);
        if current.is_some_and(|current| current >= configuration.version) {
            return;
        }
        let version = configuration.version;
        log::info!(target: "fleet", "configuration in force version={version} previous={current:?}");
        self.inner.configuration.replace(Some(Rc::new(configuration)));
        self.update_pools(None);
        self.notify();
    }

    /// Takes note of a named version; versions never go back.
    pub fn set_version(&self, model: ModelName, version: WeightVersion) {
        let mut versions = self.inner.versions.borrow_mut();
        let known = versions.entry(model).or_default();
        if *known < version {
            *known = version;
            drop(versions);
            self.notify();
        }
    }

    /// Takes note that the object API does not answer.
    pub fn set_unreachable(&self) {
        self.inner.returned_at.set(None);
    }

    /// Takes note that the object API answers after an outage.
    pub fn set_returned(&self, now: Instant) {
        self.inner.returned_at.set(Some(now));
    }

    /// Replaces all targets by a complete list.
    pub fn set_targets(&self, listed: Vec<Target>, now: Instant) {
        let present: HashSet<TargetId> = listed.iter().map(|target| target.id.clone()).collect();
        let known: Vec<TargetId> = self.inner.targets.borrow().keys().cloned().collect();
        for target in listed {
            // All pools are updated below.
            self.put_target(target, &mut HashSet::new());
        }
        for id in known.into_iter().filter(|id| !present.contains(id)) {
            self.remove_target(&id, now);
        }
        self.inner.targets_listed.set(true);
        self.update_pools(None);
        self.notify();
    }

    /// Adds or replaces a target.
    pub fn set_target(&self, target: Target) {
        self.change_targets(vec![target], &[]);
    }

    /// Takes note that a target's entry is missing.
    ///
    /// The entry of a live target may expire while the object API is away, so around an outage the
    /// target is kept until it had time to register again.
    pub fn remove_target(&self, id: &str, now: Instant) {
        let gone_at = self.inner.returned_at.get().map(|returned| returned + REGISTER_AGAIN);
        match gone_at.filter(|gone_at| *gone_at > now) {
            Some(gone_at) => {
                self.inner.missing.borrow_mut().entry(id.to_owned()).or_insert(gone_at);
            }
            None => self.change_targets(Vec::new(), &[id.to_owned()]),
        }
    }

    /// Removes the targets that did not register again in time.
    pub fn remove_missing(&self, now: Instant) {
        let due = |missing: &HashMap<TargetId, Instant>| {
            let due = missing.iter().filter(|(_, gone_at)| **gone_at <= now);
            due.map(|(id, _)| id.clone()).collect::<Vec<_>>()
        };
        let gone = due(&self.inner.missing.borrow());
        self.inner.missing.borrow_mut().retain(|id, _| !gone.contains(id));
        self.change_targets(Vec::new(), &gone);
    }

    /// Takes over what another node knows of the targets. Unlike a list of the object API, it has no
    /// gaps after an outage.
    pub fn copy_targets(&self, changes: TargetChanges, now: Instant) {
        self.inner.missing.borrow_mut().clear();
        self.inner.returned_at.set(None);
        match changes {
            TargetChanges::All(targets) => self.set_targets(targets, now),
            TargetChanges::Some { changed, removed } => self.change_targets(changed, &removed),
        }
    }

    /// Takes note that a run of a target has said in an answer that it leaves: it gets no request
    /// from now on, whatever lists say. Returns whether this is news.
    pub fn set_leaving(&self, target: &Target, now: Instant) -> bool {
        let run = Leaving { started_at_ms: target.started_at_ms, noted_at: now };
        let mut leaving = self.inner.leaving.borrow_mut();
        let targets = self.inner.targets.borrow();
        leaving.retain(|id, run| {
            targets.contains_key(id) || now.saturating_duration_since(run.noted_at) < LEAVING_MEMORY
        });
        let known = targets.get(&target.id).cloned();
        drop(targets);
        // A later run under the same id is another one.
        let is_current = known.as_ref().is_none_or(|k| k.started_at_ms <= target.started_at_ms);
        let is_news = leaving.get(&target.id).is_none_or(|k| k.started_at_ms < run.started_at_ms);
        if !is_current || !is_news {
            return false;
        }
        leaving.insert(target.id.clone(), run);
        drop(leaving);
        log::info!(target: "fleet", "target leaves target={} listed={:?}", target.id, known.as_ref().map(|k| k.state));
        if let Some(known) = known {
            self.set_target((*known).clone());
        }
        true
    }

    /// Applies changes and tells of them once.
    fn change_targets(&self, changed: Vec<Target>, removed: &[TargetId]) {
        let (mut any, mut services) = (false, HashSet::new());
        for target in changed {
            any |= self.put_target(target, &mut services);
        }
        for id in removed {
            any |= self.drop_target(id, &mut services);
        }
        if !services.is_empty() {
            self.update_pools(Some(&services));
        }
        if any {
            self.notify();
        }
    }

    /// Adds or replaces a target; returns whether this changes anything. Adds the services whose pools
    /// change with it to `services`: versions of weights do not matter to the choice of a target.
    fn put_target(&self, mut target: Target, services: &mut HashSet<PoolName>) -> bool {
        self.inner.missing.borrow_mut().remove(&target.id);
        self.mark_if_leaving(&mut target);
        let mut targets = self.inner.targets.borrow_mut();
        let known = targets.get(&target.id);
        if known.is_some_and(|known| **known == target) {
            return false;
        }
        let mut by_service = self.inner.by_service.borrow_mut();
        by_service.remove(&target.service);
        if known.is_none_or(|known| !is_routed_alike(known, &target)) {
            services.insert(target.service.clone());
            self.inner.routing_log.borrow_mut().record(&target.id);
        }
        if let Some(known) = known.filter(|known| known.service != target.service) {
            by_service.remove(&known.service);
            services.insert(known.service.clone());
        }
        self.inner.target_log.borrow_mut().record(&target.id);
        targets.insert(target.id.clone(), Rc::new(target));
        true
    }

    /// Sets the state of a target that has said that it leaves, unless it has started anew.
    fn mark_if_leaving(&self, target: &mut Target) {
        let mut leaving = self.inner.leaving.borrow_mut();
        match leaving.get(&target.id) {
            Some(run) if run.started_at_ms >= target.started_at_ms => {
                target.state = TargetState::Draining;
            }
            Some(_) => drop(leaving.remove(&target.id)),
            None => {}
        }
    }

    /// Removes a target; returns whether it was known.
    fn drop_target(&self, id: &str, services: &mut HashSet<PoolName>) -> bool {
        let Some(target) = self.inner.targets.borrow_mut().remove(id) else { return false };
        log::info!(target: "fleet", "target gone target={id}");
        self.inner.by_service.borrow_mut().remove(&target.service);
        self.inner.target_log.borrow_mut().record_removal(&target.id);
        self.inner.routing_log.borrow_mut().record_removal(&target.id);
        if let Some(run) = self.inner.leaving.borrow_mut().get_mut(id) {
            run.noted_at = Instant::now();
        }
        services.insert(target.service.clone());
        true
    }

    /// Brings the pools of the given services up to date, or all.
    fn update_pools(&self, only: Option<&HashSet<PoolName>>) {
        let Some(configuration) = self.configuration() else { return };
        let mut pools = self.inner.pools.borrow_mut();
        let is_wanted = |name: &PoolName| only.is_none_or(|only| only.contains(name));
        for (name, service) in configuration.services.iter().filter(|(name, _)| is_wanted(name)) {
            let targets = self.targets_of(name);
            let entries = targets.iter();
            let slots = entries.clone().map(|target| target.slots).max().unwrap_or(1);
            let pool = TargetPool {
                pool_type: PoolType::Service,
                model: None,
                fencing: FencingCheck::Checked,
                slots_per_target: slots,
                serving_floor_percent: 0,
                idempotent_paths: Vec::new(),
                weight_store_address: None,
                weight_relays: Vec::new(),
                targets: entries.map(|target| pool_target(target)).collect(),
            };
            self.inner.router.update_pool(&service.name, &pool);
            pools.insert(name.clone());
        }
        pools.retain(|name| {
            let kept = configuration.services.contains_key(name);
            if !kept {
                self.inner.router.remove_pool(name);
            }
            kept
        });
    }

    fn notify(&self) {
        self.inner.changes.send_modify(|count| *count += 1);
    }
}

/// Returns whether two entries of a target are the same to the choice of a target.
fn is_routed_alike(a: &Target, b: &Target) -> bool {
    (&a.service, a.address, &a.data_centre, a.state, a.slots, a.started_at_ms)
        == (&b.service, b.address, &b.data_centre, b.state, b.slots, b.started_at_ms)
}

fn pool_target(target: &Target) -> object::Target {
    object::Target {
        id: target.id.clone(),
        address: target.address.to_string(),
        data_centre: target.data_centre.clone(),
        state: match target.state {
            TargetState::Ready => object::TargetState::Active,
            TargetState::Draining => object::TargetState::Draining,
        },
    }
}

/// Version and age of what a node knew when it decided something.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Known {
    /// Version of the configuration in force.
    pub version: Option<u64>,
    /// Age of what is known of configuration and targets.
    pub age: Option<Duration>,
}

impl fmt::Display for Known {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.version, self.age) {
            (Some(version), Some(age)) => {
                write!(f, "configuration={version} known_ms={}", age.as_millis())
            }
            (Some(version), None) => write!(f, "configuration={version}"),
            (None, _) => write!(f, "configuration=none"),
        }
    }
}
