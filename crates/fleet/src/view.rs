//! State of the deployment as known to this node: configuration, targets and published weight
//! versions.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap, HashSet},
    fmt,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{
    boot_clock::BootInstant,
    id::{PoolName, SoftwareVersion, TargetId, WeightVersion},
    object::{self, FencingCheck, PoolType, TargetPool},
};
use deck_route::Router;
use tokio::sync::{Notify, watch};

use crate::{
    Configuration, ConfigurationCurrency, KnownVersions, ResponseMetadata, Target, TargetLimits,
    TargetState,
    change_log::TargetChangeLog,
    config::{ConfigurationVersion, ModelName},
    software::SoftwareHistory,
};

/// Time after the recovery of the object API within which live targets register again if their
/// entries expired during the outage. Targets whose entries are still missing after it are removed.
const REREGISTRATION_TIME: Duration = Duration::from_millis(2200);

/// Time for which a node keeps receiving weight versions after a job needed them; the next training
/// step usually starts within it.
const VERSIONS_REQUEST_LIFETIME: Duration = Duration::from_secs(10);
/// Time for which a leaving target is remembered after its entry was removed. Outdated lists from
/// other nodes or stale reads are only seconds old.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// Difference between the clocks of two VMs up to which the order of their events is not known.
const CLOCK_MARGIN_MS: u64 = 250;

/// Deployment state known to a node; clones share it.
#[derive(Clone)]
pub struct FleetView {
    inner: Rc<ViewState>,
}

/// State shared by the clones of a [`FleetView`].
struct ViewState {
    configuration: RefCell<Option<Rc<Configuration>>>,
    targets: RefCell<BTreeMap<TargetId, Rc<Target>>>,
    /// Cache of the targets of each service. Invariant: a list matches `targets` or is absent.
    targets_by_service: RefCell<HashMap<PoolName, TargetList>>,
    /// All changes of `targets`.
    target_log: RefCell<TargetChangeLog>,
    /// Changes that are relevant for routing: all except those of weight versions.
    routing_log: RefCell<TargetChangeLog>,
    /// When the weight versions of the engines were last needed.
    versions_requested_at: Cell<Option<Instant>>,
    /// Notified when weight versions are needed that were not needed before.
    versions_needed: Notify,
    /// Target processes that announced in a response that they are leaving.
    leaving: RefCell<HashMap<TargetId, LeavingProcess>>,
    /// Request rates that targets have named in their responses.
    limits: TargetLimits,
    published_versions: RefCell<HashMap<ModelName, WeightVersion>>,
    /// Targets whose entries disappeared around an outage of the object API, with the time at which
    /// they are removed unless they register again.
    missing_since_outage: RefCell<HashMap<TargetId, Instant>>,
    /// When configuration and targets were last known to be up to date.
    up_to_date_at: Cell<Option<Instant>>,
    /// When the targets were last known to be up to date. Invariant: never decreases.
    targets_up_to_date_at: Cell<Option<Instant>>,
    /// Confirmations of the configuration.
    currency: RefCell<ConfigurationCurrency>,
    /// Software versions that the targets have had.
    software: RefCell<SoftwareHistory>,
    /// Whether a complete target list has been received.
    targets_listed: Cell<bool>,
    /// When the object API became reachable after an outage.
    object_api_recovered_at: Cell<Option<Instant>>,
    router: Router,
    /// Names of the pools that this view has added to `router`.
    pools: RefCell<HashSet<PoolName>>,
    /// Number of changes of the view; notifies subscribers.
    changes: watch::Sender<u64>,
}

/// Targets of one service; cheap to clone.
pub type TargetList = Rc<[Rc<Target>]>;

/// Process of a target that is leaving.
#[derive(Debug, Clone, Copy)]
struct LeavingProcess {
    /// Start time of the process, as in [`Target::started_at_ms`].
    started_at_ms: u64,
    /// When the target announced that it is leaving or, if later, when its entry was removed.
    last_seen_at: Instant,
}

/// Level of detail in which targets are sent to another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetContent {
    /// All fields.
    WithVersions,
    /// Only the fields relevant for routing. Weight versions change many times a second in a large
    /// fleet, and only nodes that run jobs need them.
    Routing,
}

impl TargetContent {
    fn select(self, target: &Target) -> Target {
        match self {
            Self::WithVersions => target.clone(),
            Self::Routing => Target {
                id: target.id.clone(),
                service: target.service.clone(),
                data_centre: target.data_centre.clone(),
                software_version: target.software_version.clone(),
                models: Vec::new(),
                ..*target
            },
        }
    }
}

/// Differences between two states of the targets.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetChanges {
    /// Complete list; all other targets were removed.
    Complete(Vec<Target>),
    /// Changes since an earlier state.
    Incremental {
        /// Targets that were added or changed.
        changed: Vec<Target>,
        /// Ids of targets that were removed.
        removed: Vec<TargetId>,
    },
}

impl FleetView {
    /// Creates an empty view that keeps the pools of `router` up to date.
    pub fn new(router: Router) -> Self {
        let inner = ViewState {
            configuration: RefCell::default(),
            targets: RefCell::default(),
            targets_by_service: RefCell::default(),
            target_log: RefCell::default(),
            routing_log: RefCell::default(),
            versions_requested_at: Cell::new(None),
            versions_needed: Notify::new(),
            leaving: RefCell::default(),
            limits: TargetLimits::default(),
            published_versions: RefCell::default(),
            missing_since_outage: RefCell::default(),
            up_to_date_at: Cell::new(None),
            targets_up_to_date_at: Cell::new(None),
            currency: RefCell::default(),
            software: RefCell::default(),
            targets_listed: Cell::new(false),
            object_api_recovered_at: Cell::new(None),
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

    /// Returns whether the configuration in force has organisations, whose keys callers need.
    pub fn has_organisations(&self) -> bool {
        self.configuration().is_some_and(|configuration| configuration.organisations.is_some())
    }

    /// Records that all versions of the configuration acknowledged before `at` are at most `version`.
    pub fn confirm_configuration(&self, version: ConfigurationVersion, at: BootInstant) {
        self.inner.currency.borrow_mut().confirm(version, at);
    }

    /// Returns the time before which no configuration was acknowledged that is newer than the one in
    /// force; `None` if nothing is known.
    pub fn configuration_confirmed_at(&self) -> Option<BootInstant> {
        self.inner.currency.borrow().confirmed_at()
    }

    /// Returns whether a request that is received now may rely on the keys of the configuration, if no
    /// key may be accepted later than `bound` after its withdrawal was acknowledged.
    pub fn allows_keys(&self, bound: Duration) -> bool {
        self.inner.currency.borrow().allows_keys(bound, BootInstant::now())
    }

    /// Returns the target with the given id.
    pub fn target(&self, id: &str) -> Option<Rc<Target>> {
        self.inner.targets.borrow().get(id).cloned()
    }

    /// Returns the software version of the process that answers a request, given the target's entry
    /// when the request was sent and the time of sending in milliseconds since the Unix epoch. An entry
    /// that came later may show that the target had started again before. `None` if either process may
    /// have received the request.
    pub fn answering_version(
        &self,
        entry: &Target,
        sent_at_ms: u64,
    ) -> Option<Option<SoftwareVersion>> {
        let current = self.target(&entry.id).filter(|current| !current.is_same_process(entry));
        match current {
            Some(later) if later.started_at_ms.saturating_add(CLOCK_MARGIN_MS) <= sent_at_ms => {
                Some(later.software_version.clone())
            }
            Some(later) if later.started_at_ms < sent_at_ms + CLOCK_MARGIN_MS => None,
            _ => Some(entry.software_version.clone()),
        }
    }

    /// Returns the targets of a service.
    pub fn targets_of(&self, service: &str) -> TargetList {
        if let Some(list) = self.inner.targets_by_service.borrow().get(service) {
            return list.clone();
        }
        let targets = self.inner.targets.borrow();
        let list = targets.values().filter(|target| target.service == service);
        let list: TargetList = list.cloned().collect();
        self.inner.targets_by_service.borrow_mut().insert(service.to_owned(), list.clone());
        list
    }

    /// Returns all targets.
    pub fn targets(&self) -> Vec<Rc<Target>> {
        self.inner.targets.borrow().values().cloned().collect()
    }

    /// Returns the number of the last change that affects the given content.
    pub fn last_target_change(&self, content: TargetContent) -> u64 {
        self.log(content).borrow().last_number()
    }

    /// Returns all targets with the given content.
    pub fn all_targets(&self, content: TargetContent) -> TargetChanges {
        let targets = self.inner.targets.borrow();
        TargetChanges::Complete(targets.values().map(|target| content.select(target)).collect())
    }

    /// Returns the target changes after the change with the given number, or all targets if the
    /// changes are no longer available.
    pub fn targets_since(&self, number: u64, content: TargetContent) -> TargetChanges {
        let targets = self.inner.targets.borrow();
        let log = self.log(content).borrow();
        let Some(ids) = log.changed_since(number) else { return self.all_targets(content) };
        let (mut changed, mut removed) = (Vec::new(), Vec::new());
        for id in ids {
            match targets.get(id) {
                Some(target) => changed.push(content.select(target)),
                None => removed.push(id.clone()),
            }
        }
        TargetChanges::Incremental { changed, removed }
    }

    fn log(&self, content: TargetContent) -> &RefCell<TargetChangeLog> {
        match content {
            TargetContent::WithVersions => &self.inner.target_log,
            TargetContent::Routing => &self.inner.routing_log,
        }
    }

    /// Records that this node needs the weight versions of the engines.
    pub fn request_versions(&self, now: Instant) {
        let is_new = !self.needs_versions(now);
        self.inner.versions_requested_at.set(Some(now));
        if is_new {
            self.inner.versions_needed.notify_waiters();
        }
    }

    /// Waits until weight versions are needed that were not needed before. Misses a request that was
    /// made before the first poll of the future.
    pub(crate) async fn versions_needed(&self) {
        self.inner.versions_needed.notified().await;
    }

    /// Returns whether this node recently needed the weight versions of the engines.
    pub fn needs_versions(&self, now: Instant) -> bool {
        let requested_at = self.inner.versions_requested_at.get();
        requested_at.is_some_and(|at| now.saturating_duration_since(at) < VERSIONS_REQUEST_LIFETIME)
    }

    /// Records that configuration and targets were up to date at the given time.
    pub fn set_up_to_date_at(&self, at: Instant) {
        self.inner.up_to_date_at.set(Some(at));
        self.set_targets_up_to_date_at(at);
    }

    /// Records that the targets were up to date at the given time, whatever the age of the
    /// configuration.
    pub fn set_targets_up_to_date_at(&self, at: Instant) {
        let latest = self.inner.targets_up_to_date_at.get().max(Some(at));
        self.inner.targets_up_to_date_at.set(latest);
        self.inner.software.borrow_mut().set_up_to_date_at(at);
    }

    /// Records that a list or watch of the targets has answered at the given time and goes on.
    pub fn set_targets_watched_at(&self, at: Instant) {
        self.set_targets_up_to_date_at(at);
        self.inner.software.borrow_mut().set_watched_at(at);
    }

    /// Records that the watch of the targets has failed or was given up.
    pub fn set_targets_unwatched(&self) {
        self.inner.software.borrow_mut().set_unwatched();
    }

    /// Returns which software versions the targets of `services` have had in the last `period`.
    pub fn software_versions(
        &self,
        services: &[&str],
        period: Duration,
        now: Instant,
    ) -> KnownVersions {
        let lists: Vec<TargetList> = services.iter().map(|name| self.targets_of(name)).collect();
        let listed = lists.iter().flat_map(|targets| targets.iter());
        let listed = listed.map(|target| target.software_version.clone());
        self.inner.software.borrow().versions_within(period, services, listed, now)
    }

    /// Returns the time since configuration and targets were last known to be up to date.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.inner.up_to_date_at.get().map(|at| now.saturating_duration_since(at))
    }

    /// Returns when the targets were last known to be up to date; `None` before the first list.
    pub fn targets_up_to_date_at(&self) -> Option<Instant> {
        self.inner.targets_up_to_date_at.get()
    }

    /// Returns the time since the targets were last known to be up to date.
    pub fn targets_age(&self, now: Instant) -> Option<Duration> {
        self.targets_up_to_date_at().map(|at| now.saturating_duration_since(at))
    }

    /// Returns the configuration version and the age of the data, for log lines.
    pub fn version_and_age(&self) -> ViewFreshness {
        let version = self.configuration().map(|configuration| configuration.version);
        ViewFreshness { version, age: self.age(Instant::now()) }
    }

    /// Returns the latest weight version published for a model.
    pub fn published_version(&self, model: &str) -> Option<WeightVersion> {
        self.inner.published_versions.borrow().get(model).copied()
    }

    /// Returns the latest published weight version of each model.
    pub fn published_versions(&self) -> Vec<(ModelName, WeightVersion)> {
        let published_versions = self.inner.published_versions.borrow();
        published_versions.iter().map(|(model, version)| (model.clone(), *version)).collect()
    }

    /// Returns the request rates that targets have named in their responses.
    pub fn limits(&self) -> &TargetLimits {
        &self.inner.limits
    }

    /// Returns the router whose pools this view keeps up to date.
    pub fn router(&self) -> &Router {
        &self.inner.router
    }

    /// Returns whether both configuration and targets are known, so that requests can be served.
    pub fn is_complete(&self) -> bool {
        self.inner.configuration.borrow().is_some() && self.inner.targets_listed.get()
    }

    /// Returns a receiver that is notified of each change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.inner.changes.subscribe()
    }

    /// Puts a configuration in force, unless the current one has the same or a later version.
    pub fn set_configuration(&self, configuration: Configuration) {
        let current = self.configuration().map(|current| current.version);
        if current.is_some_and(|current| current >= configuration.version) {
            return;
        }
        let version = configuration.version;
        log::info!(target: "fleet", "configuration in force version={version} previous={current:?}");
        self.inner.configuration.replace(Some(Rc::new(configuration)));
        self.inner.currency.borrow_mut().set_in_force(version);
        self.update_pools(None);
        self.notify();
    }

    /// Records the published weight version of a model; earlier versions are ignored.
    pub fn set_published_version(&self, model: ModelName, version: WeightVersion) {
        let mut published_versions = self.inner.published_versions.borrow_mut();
        let current = published_versions.entry(model).or_default();
        if *current < version {
            *current = version;
            drop(published_versions);
            self.notify();
        }
    }

    /// Records that the object API is unreachable.
    pub fn set_object_api_unreachable(&self) {
        self.inner.object_api_recovered_at.set(None);
    }

    /// Records that the object API is reachable again after an outage.
    pub fn set_object_api_recovered(&self, now: Instant) {
        self.inner.object_api_recovered_at.set(Some(now));
    }

    /// Replaces all targets by a complete list.
    pub fn set_targets(&self, listed: Vec<Target>, now: Instant) {
        let listed_ids: HashSet<TargetId> = listed.iter().map(|target| target.id.clone()).collect();
        let previous_ids: Vec<TargetId> = self.inner.targets.borrow().keys().cloned().collect();
        for target in listed {
            // All pools are updated below.
            self.upsert_target(target, &mut HashSet::new());
        }
        for id in previous_ids.into_iter().filter(|id| !listed_ids.contains(id)) {
            self.remove_target(&id, now);
        }
        self.inner.targets_listed.set(true);
        self.update_pools(None);
        self.notify();
    }

    /// Adds or replaces a target.
    pub fn set_target(&self, target: Target) {
        self.apply_changes(vec![target], &[]);
    }

    /// Removes a target whose entry is missing.
    ///
    /// The entry of a live target may expire during an outage of the object API. For some time
    /// after an outage the target is therefore kept until it had time to register again.
    pub fn remove_target(&self, id: &str, now: Instant) {
        let removal_at = self
            .inner
            .object_api_recovered_at
            .get()
            .map(|recovered_at| recovered_at + REREGISTRATION_TIME);
        match removal_at.filter(|removal_at| *removal_at > now) {
            Some(removal_at) => {
                self.inner
                    .missing_since_outage
                    .borrow_mut()
                    .entry(id.to_owned())
                    .or_insert(removal_at);
            }
            None => self.apply_changes(Vec::new(), &[id.to_owned()]),
        }
    }

    /// Removes the targets that did not register again in time after an outage.
    pub fn remove_expired_missing(&self, now: Instant) {
        let expired_ids = |missing: &HashMap<TargetId, Instant>| {
            let expired = missing.iter().filter(|(_, removal_at)| **removal_at <= now);
            expired.map(|(id, _)| id.clone()).collect::<Vec<_>>()
        };
        let removed = expired_ids(&self.inner.missing_since_outage.borrow());
        self.inner.missing_since_outage.borrow_mut().retain(|id, _| !removed.contains(id));
        self.apply_changes(Vec::new(), &removed);
    }

    /// Applies target changes received from another node. Unlike lists of the object API, these
    /// have no gaps after an outage, so missing targets are removed at once.
    pub fn apply_target_changes(&self, changes: TargetChanges, now: Instant) {
        self.inner.missing_since_outage.borrow_mut().clear();
        self.inner.object_api_recovered_at.set(None);
        match changes {
            TargetChanges::Complete(targets) => self.set_targets(targets, now),
            TargetChanges::Incremental { changed, removed } => {
                self.apply_changes(changed, &removed)
            }
        }
    }

    /// Records what a target says of itself in a response to a request that was sent at `sent_at`: that
    /// it is leaving, and the request rate that it names.
    pub fn record_statements(
        &self,
        target: &Target,
        metadata: &ResponseMetadata,
        sent_at: Instant,
    ) {
        let now = Instant::now();
        if metadata.leaving {
            self.mark_leaving(target, now);
        }
        if metadata.is_from_target {
            self.limits().record(target, metadata.requests_per_s, sent_at, now);
        }
    }

    /// Records that a target announced in a response that it is leaving. This process of the target
    /// receives no further requests, even if lists still show it as ready.
    ///
    /// Returns whether this was not known before.
    pub fn mark_leaving(&self, target: &Target, now: Instant) -> bool {
        let process = LeavingProcess { started_at_ms: target.started_at_ms, last_seen_at: now };
        let mut leaving = self.inner.leaving.borrow_mut();
        let targets = self.inner.targets.borrow();
        leaving.retain(|id, process| {
            targets.contains_key(id)
                || now.saturating_duration_since(process.last_seen_at) < LEAVING_RETENTION
        });
        let current = targets.get(&target.id).cloned();
        drop(targets);
        // A later process under the same id is not affected.
        let is_current =
            current.as_ref().is_none_or(|current| current.started_at_ms <= target.started_at_ms);
        let is_new =
            leaving.get(&target.id).is_none_or(|known| known.started_at_ms < process.started_at_ms);
        if !is_current || !is_new {
            return false;
        }
        leaving.insert(target.id.clone(), process);
        drop(leaving);
        log::info!(target: "fleet", "target leaves target={} listed={:?}", target.id, current.as_ref().map(|current| current.state));
        if let Some(current) = current {
            self.set_target((*current).clone());
        }
        true
    }

    /// Applies target changes, and updates pools and notifies subscribers once for all of them.
    fn apply_changes(&self, changed: Vec<Target>, removed: &[TargetId]) {
        let (mut is_changed, mut services) = (false, HashSet::new());
        for target in changed {
            is_changed |= self.upsert_target(target, &mut services);
        }
        for id in removed {
            is_changed |= self.delete_target(id, &mut services);
        }
        if !services.is_empty() {
            self.update_pools(Some(&services));
        }
        if is_changed {
            self.notify();
        }
    }

    /// Adds or replaces a target and returns whether anything changed. Adds services whose pools
    /// are affected to `services`; changes of weight versions do not affect pools.
    fn upsert_target(&self, mut target: Target, services: &mut HashSet<PoolName>) -> bool {
        self.inner.missing_since_outage.borrow_mut().remove(&target.id);
        self.apply_leaving_state(&mut target);
        let mut targets = self.inner.targets.borrow_mut();
        let existing = targets.get(&target.id);
        if existing.is_some_and(|existing| **existing == target) {
            return false;
        }
        if let Some(existing) = existing.filter(|existing| {
            (&existing.service, &existing.software_version)
                != (&target.service, &target.software_version)
        }) {
            self.record_version_removed(existing);
        }
        let mut targets_by_service = self.inner.targets_by_service.borrow_mut();
        targets_by_service.remove(&target.service);
        if existing.is_none_or(|existing| !is_same_for_routing(existing, &target)) {
            services.insert(target.service.clone());
            self.inner.routing_log.borrow_mut().record_change(&target.id);
        }
        if let Some(existing) = existing.filter(|existing| existing.service != target.service) {
            targets_by_service.remove(&existing.service);
            services.insert(existing.service.clone());
        }
        self.inner.target_log.borrow_mut().record_change(&target.id);
        targets.insert(target.id.clone(), Rc::new(target));
        true
    }

    /// Marks a target as draining if its process announced that it is leaving, and discards the
    /// announcement if the target has restarted since.
    fn apply_leaving_state(&self, target: &mut Target) {
        let mut leaving = self.inner.leaving.borrow_mut();
        match leaving.get(&target.id) {
            Some(process) if process.started_at_ms >= target.started_at_ms => {
                target.state = TargetState::Draining;
            }
            Some(_) => drop(leaving.remove(&target.id)),
            None => {}
        }
    }

    /// Removes a target and returns whether it was known.
    fn delete_target(&self, id: &str, services: &mut HashSet<PoolName>) -> bool {
        let Some(target) = self.inner.targets.borrow_mut().remove(id) else { return false };
        log::info!(target: "fleet", "target gone target={id}");
        self.record_version_removed(&target);
        self.inner.limits.remove(id);
        self.inner.targets_by_service.borrow_mut().remove(&target.service);
        self.inner.target_log.borrow_mut().record_removal(&target.id);
        self.inner.routing_log.borrow_mut().record_removal(&target.id);
        if let Some(process) = self.inner.leaving.borrow_mut().get_mut(id) {
            process.last_seen_at = Instant::now();
        }
        services.insert(target.service.clone());
        true
    }

    fn record_version_removed(&self, target: &Target) {
        let (version, now) = (target.software_version.clone(), Instant::now());
        self.inner.software.borrow_mut().record_removed(&target.service, version, now);
    }

    /// Updates the router pools of the given services, or of all services.
    fn update_pools(&self, services: Option<&HashSet<PoolName>>) {
        let Some(configuration) = self.configuration() else { return };
        let mut pools = self.inner.pools.borrow_mut();
        let is_selected = |name: &PoolName| services.is_none_or(|services| services.contains(name));
        for (name, service) in configuration.services.iter().filter(|(name, _)| is_selected(name)) {
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
                targets: entries.map(|target| to_pool_target(target)).collect(),
            };
            self.inner.router.update_pool(&service.name, &pool);
            pools.insert(name.clone());
        }
        pools.retain(|name| {
            let is_configured = configuration.services.contains_key(name);
            if !is_configured {
                self.inner.router.remove_pool(name);
            }
            is_configured
        });
    }

    fn notify(&self) {
        self.inner.changes.send_modify(|count| *count += 1);
    }
}

/// Returns whether two states of a target differ only in fields that are irrelevant for routing.
fn is_same_for_routing(a: &Target, b: &Target) -> bool {
    (&a.service, a.address, &a.data_centre, a.state, a.slots, a.started_at_ms)
        == (&b.service, b.address, &b.data_centre, b.state, b.slots, b.started_at_ms)
        && a.software_version == b.software_version
}

fn to_pool_target(target: &Target) -> object::Target {
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

/// Configuration version and age of the data with which a node handled a request, for log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewFreshness {
    /// Version of the configuration in force.
    pub version: Option<u64>,
    /// Time since configuration and targets were last known to be up to date.
    pub age: Option<Duration>,
}

impl fmt::Display for ViewFreshness {
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
