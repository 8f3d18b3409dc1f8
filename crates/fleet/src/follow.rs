//! Following of the object kinds written by the platform and by operators: lists and watches of the
//! object API.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{CancellationToken, boot_clock::BootInstant, id::Revision};
use deck_plat::{Backoff, Object, Store, StoreError, WatchEvent};
use serde_json::Value;

use crate::{FleetView, PlatformProtocol, config::ConfigurationVersion};

/// Names of the object kinds that a node follows.
#[derive(Debug, Clone, Copy)]
pub struct ObjectKinds {
    /// Kind of the configuration objects.
    pub configuration: &'static str,
    /// Kind of the target entries.
    pub targets: &'static str,
    /// Kind of the published weight versions.
    pub versions: &'static str,
    /// Kind of the requests to retire a VM.
    pub retirements: &'static str,
}

/// Pauses and timeouts of an [`ObjectFollower`].
#[derive(Debug, Clone)]
pub struct ObjectFollowerOptions {
    /// Pause after a batch of changes, so that changes in quick succession cost only one call.
    /// Short compared with the time in which a change has to be in force.
    pub batch_pause: Duration,
    /// Maximum delay between retries while the object API is unreachable.
    pub max_retry_delay: Duration,
    /// Time after which a watch returns if there are no changes.
    pub watch_timeout: Duration,
}

impl Default for ObjectFollowerOptions {
    fn default() -> Self {
        Self {
            batch_pause: Duration::from_millis(400),
            max_retry_delay: Duration::from_millis(600),
            watch_timeout: Duration::from_secs(10),
        }
    }
}

/// Minimum delay between retries while the object API is unreachable.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay after an outage until a kind is listed once more. A watch that starts while the object API
/// is recovering may miss changes without an error.
const RELIST_DELAY: Duration = Duration::from_millis(1200);
/// Interval between checks for targets that did not register again in time after an outage.
const MISSING_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Change of the objects of a kind.
pub enum ObjectChange {
    /// Complete list of the objects of the kind.
    Listed(Vec<Object>),
    /// An object was created or updated.
    Put(Object),
    /// The object with this name was deleted.
    Deleted(String),
}

/// State of the list and watch loop for one kind.
struct ListWatchState {
    kind: &'static str,
    /// Revision up to which changes have been received; `None` if the kind has to be listed.
    position: Option<Revision>,
    /// When the kind is listed once more after an outage; `None` if it need not be.
    relist_at: Option<Instant>,
    /// Whether the object API has been unreachable since the last success.
    is_unreachable: bool,
    backoff: Backoff,
}

/// Times at which each kind was last known to be up to date, and the configuration that is sent to
/// other nodes.
#[derive(Default)]
pub(crate) struct Freshness {
    up_to_date_at: RefCell<HashMap<&'static str, Instant>>,
    /// Raw configuration with the highest version, to be sent to other nodes.
    pub(crate) configuration: RefCell<Option<Value>>,
    /// Name of the object that holds the configuration, and its revision and the version in it when it
    /// was last applied.
    applied_object: RefCell<Option<(String, Revision, ConfigurationVersion)>>,
    /// Error of the last refused configuration, and when it was logged.
    refusal: RefCell<Option<(String, Instant)>>,
}

/// Minimum time between two log lines about the same refusal of a configuration, which is read again
/// several times a second.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(10);

impl Freshness {
    /// Returns whether the refusal of a configuration is to be logged.
    fn should_log_refusal(&self, error: &str, now: Instant) -> bool {
        let mut refusal = self.refusal.borrow_mut();
        let is_logged = refusal.as_ref().is_some_and(|(logged, at)| {
            logged == error && now.saturating_duration_since(*at) < REFUSAL_LOG_INTERVAL
        });
        if !is_logged {
            *refusal = Some((error.to_owned(), now));
        }
        !is_logged
    }

    /// Returns the age of the least recent of the kinds; `None` if one was never listed.
    pub(crate) fn age(&self, kinds: &[&'static str], now: Instant) -> Option<Duration> {
        let up_to_date_at = self.up_to_date_at.borrow();
        let ages = kinds
            .iter()
            .map(|kind| up_to_date_at.get(kind).map(|at| now.saturating_duration_since(*at)));
        ages.collect::<Option<Vec<_>>>()?.into_iter().max()
    }
}

/// Follows object kinds with list and watch calls, and keeps a [`FleetView`] up to date; clones
/// share their state.
#[derive(Clone)]
pub struct ObjectFollower {
    pub(crate) freshness: Rc<Freshness>,
    /// Time after which a watch returns if there are no changes.
    watch_timeout: Rc<Cell<Duration>>,
    store: Store,
    pub(crate) view: FleetView,
    protocol: Rc<dyn PlatformProtocol>,
    pub(crate) kinds: ObjectKinds,
    options: ObjectFollowerOptions,
}

impl ObjectFollower {
    /// Creates a follower that updates `view`.
    pub fn new(
        store: Store,
        view: FleetView,
        protocol: Rc<dyn PlatformProtocol>,
        kinds: ObjectKinds,
        options: ObjectFollowerOptions,
    ) -> Self {
        let watch_timeout = Rc::new(Cell::new(options.watch_timeout));
        let freshness = Rc::default();
        Self { freshness, watch_timeout, store, view, protocol, kinds, options }
    }

    /// Probes the object API with one cheap call and returns whether it is reachable.
    pub async fn reaches_object_api(&self) -> bool {
        // Name of an object that does not exist: any response will do.
        const NONEXISTENT_OBJECT_NAME: &str = "reachable";
        match self.store.get_stale(self.kinds.configuration, NONEXISTENT_OBJECT_NAME).await {
            Ok(_) => true,
            Err(error) => {
                log::debug!(target: "fleet", "object API is not reachable error={error}");
                false
            }
        }
    }

    /// Returns whether both configuration and targets were read from the object API after `start`.
    pub(crate) fn is_up_to_date_since(&self, start: Instant) -> bool {
        let kinds = [self.kinds.configuration, self.kinds.targets];
        let now = Instant::now();
        let age = self.freshness.age(&kinds, now);
        age.is_some_and(|age| age <= now.saturating_duration_since(start))
    }

    /// Sets the time after which a watch returns if there are no changes, or resets it to the
    /// default. A watcher with readers needs a short one, to confirm often that its data is up to
    /// date.
    pub fn set_watch_timeout(&self, timeout: Option<Duration>) {
        self.watch_timeout.set(timeout.unwrap_or(self.options.watch_timeout));
    }

    /// Decodes a raw configuration and puts it in force, unless the current one is as recent. Returns
    /// its version; `None` if it cannot be decoded.
    pub(crate) fn apply_configuration(&self, value: &Value) -> Option<ConfigurationVersion> {
        match self.protocol.decode_configuration(value) {
            Ok(configuration) => {
                let version = configuration.version;
                let is_newer =
                    self.view.configuration().is_none_or(|c| c.version < configuration.version);
                if is_newer {
                    self.freshness.configuration.replace(Some(value.clone()));
                }
                self.view.set_configuration(configuration);
                Some(version)
            }
            Err(error) => {
                if self.freshness.should_log_refusal(&error, Instant::now()) {
                    log::error!(target: "fleet", "configuration could not be decoded error={error}");
                }
                None
            }
        }
    }

    /// Puts the configuration in an object in force, unless the current one is as recent. Returns its
    /// version; `None` if it cannot be decoded.
    fn apply_configuration_object(&self, object: &Object) -> Option<ConfigurationVersion> {
        let version = self.apply_configuration(&object.value)?;
        let applied = (object.name.clone(), object.revision, version);
        self.freshness.applied_object.replace(Some(applied));
        Some(version)
    }

    /// Reads the configuration, and records that it was the newest one when the read began.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not answer.
    pub(crate) async fn confirm_configuration(&self) -> Result<(), StoreError> {
        let started_at = BootInstant::now();
        let applied = self.freshness.applied_object.borrow().clone();
        let version = match applied {
            Some((name, revision, version)) => {
                match self.store.get(self.kinds.configuration, &name).await? {
                    Some(object) if object.revision == revision => Some(version),
                    Some(object) => self.apply_configuration_object(&object),
                    None => {
                        self.freshness.applied_object.replace(None);
                        None
                    }
                }
            }
            // A node that has its configuration from another one does not know the object.
            None => {
                let (_, objects) = self.store.list(self.kinds.configuration).await?;
                let versions = objects.iter().map(|it| self.apply_configuration_object(it));
                versions.collect::<Option<Vec<_>>>().and_then(|it| it.into_iter().max())
            }
        };
        if let Some(version) = version {
            self.view.confirm_configuration(version, started_at);
        }
        Ok(())
    }

    /// Follows the configuration until `cancel` is cancelled.
    pub async fn follow_configuration(&self, cancel: CancellationToken) {
        let apply = |change: ObjectChange| {
            let objects = match change {
                ObjectChange::Listed(objects) => objects,
                ObjectChange::Put(object) => vec![object],
                ObjectChange::Deleted(_) => Vec::new(),
            };
            for object in objects {
                self.apply_configuration_object(&object);
            }
        };
        self.follow(self.kinds.configuration, apply, cancel).await;
    }

    /// Follows the targets until `cancel` is cancelled.
    pub async fn follow_targets(&self, cancel: CancellationToken) {
        let follower = self.clone();
        let stop = cancel.clone();
        monoio::spawn(async move {
            let tick = || stop.run_until_cancelled(monoio::time::sleep(MISSING_CHECK_INTERVAL));
            while tick().await.is_some() {
                follower.view.remove_expired_missing(Instant::now());
            }
        });
        let apply = |change: ObjectChange| match change {
            ObjectChange::Listed(objects) => self.apply_target_list(&objects, Instant::now()),
            ObjectChange::Put(object) => match self.decode_target(&object) {
                Some(target) => self.view.set_target(target),
                None => self.view.remove_target(&object.name, Instant::now()),
            },
            ObjectChange::Deleted(name) => self.view.remove_target(&name, Instant::now()),
        };
        self.follow(self.kinds.targets, apply, cancel).await;
    }

    /// Reads the targets once, for a node that otherwise receives them from other nodes.
    ///
    /// `was_unreachable` states that the last call failed: entries may then be missing for a moment
    /// although their targets live.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not answer.
    pub(crate) async fn read_targets(&self, was_unreachable: bool) -> Result<(), StoreError> {
        let started_at = Instant::now();
        let list = self.store.list(self.kinds.targets).await;
        let (_, objects) = list.inspect_err(|_| self.view.set_object_api_unreachable())?;
        let now = Instant::now();
        if was_unreachable {
            self.view.set_object_api_recovered(now);
        }
        self.apply_target_list(&objects, now);
        self.view.remove_expired_missing(now);
        self.view.set_targets_up_to_date_at(started_at);
        Ok(())
    }

    /// Follows the published weight versions until `cancel` is cancelled.
    pub async fn follow_versions(&self, cancel: CancellationToken) {
        let apply = |change: ObjectChange| {
            let objects = match change {
                ObjectChange::Listed(objects) => objects,
                ObjectChange::Put(object) => vec![object],
                ObjectChange::Deleted(_) => Vec::new(),
            };
            for object in objects {
                match self.protocol.decode_published_version(&object.value) {
                    Ok((model, version)) => self.view.set_published_version(model, version),
                    Err(error) => {
                        let name = &object.name;
                        log::warn!(target: "fleet", "published version could not be decoded name={name} {error}");
                    }
                }
            }
        };
        self.follow(self.kinds.versions, apply, cancel).await;
    }

    /// Follows the requests to retire a VM until `cancel` is cancelled, and passes them to `apply`.
    pub async fn follow_retirements(
        &self,
        apply: impl FnMut(ObjectChange),
        cancel: CancellationToken,
    ) {
        self.follow(self.kinds.retirements, apply, cancel).await;
    }

    /// Returns the platform protocol that this follower uses.
    pub fn protocol(&self) -> &Rc<dyn PlatformProtocol> {
        &self.protocol
    }

    /// Follows a kind until `cancel` is cancelled: calls `apply` with complete lists and with each
    /// change.
    pub async fn follow(
        &self,
        kind: &'static str,
        mut apply: impl FnMut(ObjectChange),
        cancel: CancellationToken,
    ) {
        let mut state = ListWatchState {
            kind,
            position: None,
            relist_at: None,
            is_unreachable: false,
            backoff: Backoff::new(MIN_RETRY_DELAY, self.options.max_retry_delay),
        };
        while !cancel.is_cancelled() {
            let list_and_watch = self.list_and_watch(&mut state, &mut apply);
            let result = cancel.run_until_cancelled(list_and_watch).await;
            if kind == self.kinds.targets && !matches!(result, Some(Ok(()))) {
                self.view.set_targets_unwatched();
            }
            let Some(result) = result else { return };
            // The position is kept only if the watch ended without an error.
            match result {
                Ok(()) => {}
                Err(StoreError::Compacted) => state.position = None,
                Err(error) => {
                    if !state.is_unreachable {
                        log::warn!(target: "fleet", "object API lost kind={kind} error={error}");
                        state.is_unreachable = true;
                    }
                    state.position = None;
                    self.view.set_object_api_unreachable();
                    let delay = MIN_RETRY_DELAY + state.backoff.next_delay();
                    cancel.run_until_cancelled(monoio::time::sleep(delay)).await;
                }
            }
        }
    }

    /// Lists the kind if its position is not known, and watches it until the watch ends.
    async fn list_and_watch(
        &self,
        state: &mut ListWatchState,
        apply: &mut impl FnMut(ObjectChange),
    ) -> Result<(), StoreError> {
        let from = match state.position {
            Some(from) => from,
            None => {
                let (revision, objects) = self.store.list(state.kind).await?;
                self.record_success(state);
                apply(ObjectChange::Listed(objects));
                state.position = Some(revision);
                revision
            }
        };
        let mut watch =
            self.store.watch_with_wait(&[state.kind], from, self.watch_timeout.get()).await?;
        loop {
            let next_event = match state.relist_at {
                None => watch.next().await,
                Some(at) => {
                    let time_until_relist = at.saturating_duration_since(Instant::now());
                    match monoio::time::timeout(time_until_relist, watch.next()).await {
                        Ok(next) => next,
                        Err(_) => {
                            state.relist_at = None;
                            state.position = None;
                            return Ok(());
                        }
                    }
                }
            };
            let Some(event) = next_event? else { return Ok(()) };
            self.record_success(state);
            match event {
                WatchEvent::Put(object) => apply(ObjectChange::Put(object)),
                WatchEvent::Delete { name, .. } => apply(ObjectChange::Deleted(name)),
                WatchEvent::Bookmark(revision) => {
                    if state.position != Some(revision) {
                        state.position = Some(revision);
                        monoio::time::sleep(self.options.batch_pause).await;
                    }
                }
            }
        }
    }

    /// Records a successful response, which proves that the kind is up to date.
    fn record_success(&self, state: &mut ListWatchState) {
        let received_at = Instant::now();
        self.freshness.up_to_date_at.borrow_mut().insert(state.kind, received_at);
        let kinds = [self.kinds.configuration, self.kinds.targets];
        let age = self.freshness.age(&kinds, received_at);
        if let Some(at) = age.and_then(|age| received_at.checked_sub(age)) {
            self.view.set_up_to_date_at(at);
        }
        if state.kind == self.kinds.targets {
            self.view.set_targets_watched_at(received_at);
        }
        state.backoff.reset();
        if std::mem::take(&mut state.is_unreachable) {
            let now = Instant::now();
            log::info!(target: "fleet", "object API is back kind={}", state.kind);
            self.view.set_object_api_recovered(now);
            state.relist_at = Some(now + RELIST_DELAY);
        }
    }

    /// Replaces all targets by those of a complete list.
    fn apply_target_list(&self, objects: &[Object], now: Instant) {
        let targets = objects.iter().filter_map(|object| self.decode_target(object));
        self.view.set_targets(targets.collect(), now);
    }

    fn decode_target(&self, object: &Object) -> Option<crate::Target> {
        match self.protocol.decode_target(&object.name, &object.value) {
            Ok(target) => Some(target),
            Err(error) => {
                log::warn!(target: "fleet", "target entry could not be decoded name={:?} {error}", object.name);
                None
            }
        }
    }
}
