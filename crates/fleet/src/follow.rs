//! Following the kinds of objects that platform and operators write.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{CancellationToken, id::Revision};
use deck_plat::{Backoff, Object, Store, StoreError, WatchEvent};
use serde_json::Value;

use crate::{Protocol, View};

/// Names of the kinds that a node follows.
#[derive(Debug, Clone, Copy)]
pub struct Kinds {
    /// Configuration.
    pub configuration: &'static str,
    /// Targets.
    pub targets: &'static str,
    /// Named versions.
    pub versions: &'static str,
    /// Requests to empty a VM.
    pub retirements: &'static str,
}

/// Options of a [`Follower`].
#[derive(Debug, Clone)]
pub struct FollowOptions {
    /// Pause after a batch of changes, so that changes in quick succession cost one call. Short
    /// against the time in which a change has to be in force.
    pub pause: Duration,
    /// Longest wait between two tries while the object API does not answer.
    pub max_retry: Duration,
    /// Time after which a watch tells that there are no changes.
    pub watch_wait: Duration,
}

impl Default for FollowOptions {
    fn default() -> Self {
        Self {
            pause: Duration::from_millis(400),
            max_retry: Duration::from_millis(600),
            watch_wait: Duration::from_secs(10),
        }
    }
}

/// Shortest wait between two tries while the object API does not answer.
const MIN_RETRY: Duration = Duration::from_millis(50);
/// Time after which a kind is listed once more after its watch failed. A watch that starts while the
/// object API recovers may miss changes without an error.
const LIST_AGAIN: Duration = Duration::from_millis(1200);
/// How often targets that did not register again are looked for.
const MISSING_INTERVAL: Duration = Duration::from_millis(200);

/// Change of a kind of objects.
pub enum Change {
    /// All objects of the kind.
    Listed(Vec<Object>),
    /// An object was written.
    Put(Object),
    /// An object was deleted.
    Deleted(String),
}

/// State of following one kind.
struct Followed {
    kind: &'static str,
    /// Revision up to which changes are known; `None` if the kind has to be listed.
    position: Option<Revision>,
    /// When the kind is listed once more, after a failure.
    list_again_at: Option<Instant>,
    /// Whether the last call failed.
    outage: bool,
    backoff: Backoff,
}

/// When each kind was last known to be up to date.
#[derive(Default)]
pub(crate) struct Freshness {
    checked_at: RefCell<HashMap<&'static str, Instant>>,
    /// Raw configuration with the highest version, for other nodes.
    pub(crate) configuration: RefCell<Option<Value>>,
}

impl Freshness {
    /// Returns the age of what is known of the kinds; `None` if one was never listed.
    pub(crate) fn age(&self, kinds: &[&'static str], now: Instant) -> Option<Duration> {
        let checked_at = self.checked_at.borrow();
        let ages = kinds
            .iter()
            .map(|kind| checked_at.get(kind).map(|at| now.saturating_duration_since(*at)));
        ages.collect::<Option<Vec<_>>>()?.into_iter().max()
    }
}

/// Keeps a [`View`] up to date from the object API.
#[derive(Clone)]
pub struct Follower {
    pub(crate) freshness: Rc<Freshness>,
    /// Time after which a watch tells that there are no changes.
    watch_wait: Rc<Cell<Duration>>,
    store: Store,
    pub(crate) view: View,
    protocol: Rc<dyn Protocol>,
    pub(crate) kinds: Kinds,
    options: FollowOptions,
}

impl Follower {
    /// Returns a follower that feeds `view`.
    pub fn new(
        store: Store,
        view: View,
        protocol: Rc<dyn Protocol>,
        kinds: Kinds,
        options: FollowOptions,
    ) -> Self {
        let watch_wait = Rc::new(Cell::new(options.watch_wait));
        let freshness = Rc::default();
        Self { freshness, watch_wait, store, view, protocol, kinds, options }
    }

    /// Returns whether the object API answers this node; takes one cheap call.
    pub async fn reaches_object_api(&self) -> bool {
        // An object that does not exist: any answer will do.
        const PROBED_NAME: &str = "reachable";
        match self.store.get_any(self.kinds.configuration, PROBED_NAME).await {
            Ok(_) => true,
            Err(error) => {
                log::debug!(target: "fleet", "object API not reached error={error}");
                false
            }
        }
    }

    /// Sets the time after which a watch tells that there are no changes. A node that passes on what
    /// it knows has to know soon that it is up to date.
    pub fn set_watch_wait(&self, wait: Option<Duration>) {
        self.watch_wait.set(wait.unwrap_or(self.options.watch_wait));
    }

    /// Puts a raw configuration in force, unless a later one already is.
    pub(crate) fn apply_configuration(&self, value: &Value) {
        match self.protocol.configuration(value) {
            Ok(configuration) => {
                let newer =
                    self.view.configuration().is_none_or(|c| c.version < configuration.version);
                if newer {
                    self.freshness.configuration.replace(Some(value.clone()));
                }
                self.view.set_configuration(configuration);
            }
            Err(error) => log::error!(target: "fleet", "configuration not read error={error}"),
        }
    }

    /// Follows the configuration until `cancel` is cancelled.
    pub async fn configuration(&self, cancel: CancellationToken) {
        let apply = |change: Change| {
            let objects = match change {
                Change::Listed(objects) => objects,
                Change::Put(object) => vec![object],
                Change::Deleted(_) => Vec::new(),
            };
            for object in objects {
                self.apply_configuration(&object.value);
            }
        };
        self.follow(self.kinds.configuration, apply, cancel).await;
    }

    /// Follows the targets until `cancel` is cancelled.
    pub async fn targets(&self, cancel: CancellationToken) {
        let remover = self.clone();
        let stop = cancel.clone();
        monoio::spawn(async move {
            let tick = || stop.run_until_cancelled(monoio::time::sleep(MISSING_INTERVAL));
            while tick().await.is_some() {
                remover.view.remove_missing(Instant::now());
            }
        });
        let apply = |change: Change| match change {
            Change::Listed(objects) => {
                let targets = objects.iter().filter_map(|object| self.decode_target(object));
                self.view.set_targets(targets.collect(), Instant::now());
            }
            Change::Put(object) => match self.decode_target(&object) {
                Some(target) => self.view.set_target(target),
                None => self.view.remove_target(&object.name, Instant::now()),
            },
            Change::Deleted(name) => self.view.remove_target(&name, Instant::now()),
        };
        self.follow(self.kinds.targets, apply, cancel).await;
    }

    /// Follows the named versions until `cancel` is cancelled.
    pub async fn versions(&self, cancel: CancellationToken) {
        let apply = |change: Change| {
            let objects = match change {
                Change::Listed(objects) => objects,
                Change::Put(object) => vec![object],
                Change::Deleted(_) => Vec::new(),
            };
            for object in objects {
                match self.protocol.named_version(&object.value) {
                    Ok((model, version)) => self.view.set_version(model, version),
                    Err(error) => {
                        let name = &object.name;
                        log::warn!(target: "fleet", "version not read name={name} {error}");
                    }
                }
            }
        };
        self.follow(self.kinds.versions, apply, cancel).await;
    }

    /// Follows the requests to empty a VM until `cancel` is cancelled.
    pub async fn retirements(&self, apply: impl FnMut(Change), cancel: CancellationToken) {
        self.follow(self.kinds.retirements, apply, cancel).await;
    }

    /// Returns the translation that this follower uses.
    pub fn protocol(&self) -> &Rc<dyn Protocol> {
        &self.protocol
    }

    /// Calls `apply` for all objects of a kind and for each change, until `cancel` is cancelled.
    pub async fn follow(
        &self,
        kind: &'static str,
        mut apply: impl FnMut(Change),
        cancel: CancellationToken,
    ) {
        let mut state = Followed {
            kind,
            position: None,
            list_again_at: None,
            outage: false,
            backoff: Backoff::new(MIN_RETRY, self.options.max_retry),
        };
        while !cancel.is_cancelled() {
            let round = self.round(&mut state, &mut apply);
            let Some(result) = cancel.run_until_cancelled(round).await else { return };
            // The position is kept only by a watch that ended as it should.
            match result {
                Ok(()) => {}
                Err(StoreError::Compacted) => state.position = None,
                Err(error) => {
                    if !state.outage {
                        log::warn!(target: "fleet", "object API lost kind={kind} error={error}");
                        state.outage = true;
                    }
                    state.position = None;
                    self.view.set_unreachable();
                    let wait = MIN_RETRY + state.backoff.next_wait();
                    cancel.run_until_cancelled(monoio::time::sleep(wait)).await;
                }
            }
        }
    }

    /// Lists the kind if its position is not known, and watches it until the watch ends.
    async fn round(
        &self,
        state: &mut Followed,
        apply: &mut impl FnMut(Change),
    ) -> Result<(), StoreError> {
        let from = match state.position {
            Some(from) => from,
            None => {
                let (revision, objects) = self.store.list(state.kind).await?;
                self.answered(state);
                apply(Change::Listed(objects));
                state.position = Some(revision);
                revision
            }
        };
        let mut watch = self.store.watch_for(&[state.kind], from, self.watch_wait.get()).await?;
        loop {
            let next = match state.list_again_at {
                None => watch.next().await,
                Some(at) => {
                    let left = at.saturating_duration_since(Instant::now());
                    match monoio::time::timeout(left, watch.next()).await {
                        Ok(next) => next,
                        Err(_) => {
                            state.list_again_at = None;
                            state.position = None;
                            return Ok(());
                        }
                    }
                }
            };
            let Some(event) = next? else { return Ok(()) };
            self.answered(state);
            match event {
                WatchEvent::Put(object) => apply(Change::Put(object)),
                WatchEvent::Delete { name, .. } => apply(Change::Deleted(name)),
                WatchEvent::Bookmark(revision) => {
                    if state.position != Some(revision) {
                        state.position = Some(revision);
                        monoio::time::sleep(self.options.pause).await;
                    }
                }
            }
        }
    }

    fn answered(&self, state: &mut Followed) {
        let checked = Instant::now();
        self.freshness.checked_at.borrow_mut().insert(state.kind, checked);
        let kinds = [self.kinds.configuration, self.kinds.targets];
        let age = self.freshness.age(&kinds, checked);
        if let Some(at) = age.and_then(|age| checked.checked_sub(age)) {
            self.view.set_checked(at);
        }
        state.backoff.reset();
        if std::mem::take(&mut state.outage) {
            let now = Instant::now();
            log::info!(target: "fleet", "object API is back kind={}", state.kind);
            self.view.set_returned(now);
            state.list_again_at = Some(now + LIST_AGAIN);
        }
    }

    fn decode_target(&self, object: &Object) -> Option<crate::Target> {
        match self.protocol.target(&object.name, &object.value) {
            Ok(target) => Some(target),
            Err(error) => {
                log::debug!(target: "fleet", "entry names no target name={} {error}", object.name);
                None
            }
        }
    }
}
