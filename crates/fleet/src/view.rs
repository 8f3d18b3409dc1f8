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

use crate::{Configuration, Target, TargetState, config::ModelName};

/// Time after the return of the object API in which live targets register again if their entries
/// expired during its outage. An entry that is missing after that belongs to a target that is gone.
const REGISTER_AGAIN: Duration = Duration::from_millis(2200);

/// Knowledge of a node; clones share it.
#[derive(Clone)]
pub struct View {
    inner: Rc<Inner>,
}

struct Inner {
    configuration: RefCell<Option<Rc<Configuration>>>,
    targets: RefCell<BTreeMap<TargetId, Rc<Target>>>,
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

impl View {
    /// Returns an empty view that keeps the pools of `router` up to date.
    pub fn new(router: Router) -> Self {
        let inner = Inner {
            configuration: RefCell::default(),
            targets: RefCell::default(),
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
    pub fn targets_of(&self, service: &str) -> Vec<Rc<Target>> {
        let targets = self.inner.targets.borrow();
        targets.values().filter(|target| target.service == service).cloned().collect()
    }

    /// Returns all targets.
    pub fn targets(&self) -> Vec<Rc<Target>> {
        self.inner.targets.borrow().values().cloned().collect()
    }

    /// Returns the number of changes so far.
    pub fn change_count(&self) -> u64 {
        *self.inner.changes.borrow()
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
    pub fn named_version(&self, model: &str) -> Option<WeightVersion> {
        self.inner.versions.borrow().get(model).copied()
    }

    /// Returns all named versions.
    pub fn named_versions(&self) -> Vec<(ModelName, WeightVersion)> {
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
        self.update_pools();
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
            self.put_target(target);
        }
        for id in known.into_iter().filter(|id| !present.contains(id)) {
            self.remove_target(&id, now);
        }
        self.inner.targets_listed.set(true);
        self.update_pools();
        self.notify();
    }

    /// Adds or replaces a target.
    pub fn set_target(&self, target: Target) {
        if self.put_target(target) {
            self.update_pools();
            self.notify();
        }
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
            None => self.drop_target(id),
        }
    }

    /// Removes the targets that did not register again in time.
    pub fn remove_missing(&self, now: Instant) {
        let due = |missing: &HashMap<TargetId, Instant>| {
            let due = missing.iter().filter(|(_, gone_at)| **gone_at <= now);
            due.map(|(id, _)| id.clone()).collect::<Vec<_>>()
        };
        let gone = due(&self.inner.missing.borrow());
        for id in gone {
            self.inner.missing.borrow_mut().remove(&id);
            self.drop_target(&id);
        }
    }

    /// Replaces all targets by those that another node knows. Unlike a list of the object API, it has
    /// no gaps after an outage.
    pub fn copy_targets(&self, targets: Vec<Target>, now: Instant) {
        self.inner.missing.borrow_mut().clear();
        self.inner.returned_at.set(None);
        self.set_targets(targets, now);
    }

    fn put_target(&self, target: Target) -> bool {
        self.inner.missing.borrow_mut().remove(&target.id);
        let mut targets = self.inner.targets.borrow_mut();
        if targets.get(&target.id).is_some_and(|known| **known == target) {
            return false;
        }
        targets.insert(target.id.clone(), Rc::new(target));
        true
    }

    fn drop_target(&self, id: &str) {
        if self.inner.targets.borrow_mut().remove(id).is_some() {
            log::info!(target: "fleet", "target gone target={id}");
            self.update_pools();
            self.notify();
        }
    }

    fn update_pools(&self) {
        let Some(configuration) = self.configuration() else { return };
        let targets = self.inner.targets.borrow();
        let mut pools = self.inner.pools.borrow_mut();
        for (name, service) in &configuration.services {
            let entries = targets.values().filter(|target| target.service == *name);
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
