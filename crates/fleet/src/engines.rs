//! State of model engines as the node that works with them sees it.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::id::{TargetId, WeightVersion};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::{
    Target, View,
    config::ModelName,
    demand::{DemandMeter, ModelDemand},
};

/// Time over which the short mean of the time between events is taken: within a neighbour's burst.
const SHORT_MEAN: Duration = Duration::from_millis(250);
/// Time over which the long mean is taken: several bursts of a neighbour, and a part of the time for
/// which a slow engine stays slow.
const LONG_MEAN: Duration = Duration::from_millis(2500);
/// Age at which the short mean no longer counts.
const SHORT_MEMORY: Duration = Duration::from_millis(500);
/// Time without events in which a long mean loses most of its weight: the engine may have recovered.
const LONG_MEMORY: Duration = Duration::from_secs(5);
/// Part of the short mean in the expected time between events.
const SHORT_PART: f64 = 0.4;
/// Time for which an engine gets no work after it refused a request or its connection broke.
const BLOCK_TIME: Duration = Duration::from_millis(400);
/// Longest time for which an engine that fails again and again gets no work.
const MAX_BLOCK_TIME: Duration = Duration::from_secs(4);

/// Fewest events of a run that tells the speed of its engine; the first one takes the prompt's time.
const MIN_RUN_EVENTS: u64 = 8;
/// Part by which the fastest recent run of an engine counts as slower each second.
const BEST_DECAY_PER_S: f64 = 0.01;
/// Time for which what the node that gives orders has told holds: several of its messages.
const NEWS_LIFETIME: Duration = Duration::from_millis(1500);

/// States of all engines; clones share them.
#[derive(Clone, Default)]
pub struct Engines {
    states: Rc<RefCell<HashMap<TargetId, EngineState>>>,
    /// Demand by the jobs of this node, by model.
    demands: Rc<RefCell<HashMap<ModelName, DemandMeter>>>,
    /// Demand as last told by the runners of other nodes, by model.
    remote_demands: Rc<RefCell<HashMap<ModelName, ModelDemand>>>,
    /// Load by the runs of other nodes, by node.
    remote: Rc<RefCell<HashMap<SocketAddr, HashMap<TargetId, EngineLoad>>>>,
    /// Engines that follow a model, for the models of which the node that gives orders has told
    /// lately.
    assigned: Rc<RefCell<HashMap<ModelName, Assigned>>>,
    /// Told when a version or a change of weights is noted.
    changes: Rc<watch::Sender<u64>>,
}

/// Engines that follow one model.
#[derive(Debug)]
struct Assigned {
    targets: HashSet<TargetId>,
    told_at: Instant,
}

/// Load of one engine by the runs of one node.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineLoad {
    /// The engine.
    pub target: TargetId,
    /// Runs of the node on it.
    pub running: u32,
    /// Time for one event in the fastest recent run in milliseconds.
    pub best_event_ms: Option<f64>,
}

/// What the node that gives orders knows of an engine.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineNews {
    /// The engine.
    pub target: TargetId,
    /// Start of the engine that this holds for.
    pub started_at_ms: u64,
    /// Version of the model; `None` if only the list of targets tells.
    pub version: Option<WeightVersion>,
    /// Whether the weights of the model are being changed.
    pub changing: bool,
    /// Whether the engine follows the model.
    pub assigned: bool,
}

/// State of one engine.
#[derive(Debug, Clone, Default)]
pub struct EngineState {
    /// Start of the engine that this state belongs to.
    started_at_ms: u64,
    /// Runs of this node on the engine.
    pub running: u32,
    /// Versions that are known beyond the list of targets.
    versions: HashMap<ModelName, WeightVersion>,
    /// Model whose weights are being changed.
    changing: Option<ModelName>,
    /// The engine gets no work before this time.
    blocked_until: Option<Instant>,
    /// Failures in a row.
    failures: u32,
    /// Times between two events of one run.
    gaps: Option<Gaps>,
    /// Time for one event in the fastest recent run.
    best: Option<Best>,
}

/// Fastest recent run of an engine.
#[derive(Debug, Clone, Copy)]
struct Best {
    event_ms: f64,
    at: Instant,
}

/// Means of the times between two events of a run.
#[derive(Debug, Clone, Copy)]
struct Gaps {
    short_ms: f64,
    long_ms: f64,
    last_at: Instant,
}

impl Gaps {
    fn expected_ms(&self, usual_ms: f64, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.last_at);
        if idle < SHORT_MEMORY {
            return self.short_ms * SHORT_PART + self.long_ms * (1.0 - SHORT_PART);
        }
        let kept = (-idle.as_secs_f64() / LONG_MEMORY.as_secs_f64()).exp();
        usual_ms + (self.long_ms - usual_ms) * kept
    }
}

/// State of an engine for the choice among engines.
#[derive(Debug, Clone, Copy)]
pub struct Outlook {
    /// Version of the model's weights.
    pub version: Option<WeightVersion>,
    /// Whether it takes runs of the model now.
    pub is_usable: bool,
    /// Runs of this node on it.
    pub running: u32,
    gaps: Option<Gaps>,
}

impl Outlook {
    /// Returns the expected time between two events in milliseconds, or `None` if nothing is known.
    pub fn event_gap_ms(&self, usual_ms: f64, now: Instant) -> Option<f64> {
        self.gaps.map(|gaps| gaps.expected_ms(usual_ms, now))
    }

    /// Returns the long mean of the time between two events in milliseconds.
    pub fn long_gap_ms(&self) -> Option<f64> {
        self.gaps.map(|gaps| gaps.long_ms)
    }
}

impl EngineState {
    /// Returns the expected time between two events in milliseconds, or `None` if nothing is known.
    ///
    /// `usual_ms` is the value of a usual engine, to which that of an idle engine returns.
    pub fn event_gap_ms(&self, usual_ms: f64, now: Instant) -> Option<f64> {
        self.gaps.map(|gaps| gaps.expected_ms(usual_ms, now))
    }

    fn is_usable(&self, model: &str, now: Instant) -> bool {
        self.changing.as_deref() != Some(model)
            && self.blocked_until.is_none_or(|until| until <= now)
    }

    /// Returns the time for one event in the fastest recent run in milliseconds: the engine's own
    /// speed, without its load and its neighbours.
    pub fn best_event_ms(&self, now: Instant) -> Option<f64> {
        self.best.map(|best| best.event_ms_at(now))
    }

    /// Returns the long mean of the time between two events in milliseconds.
    pub fn long_gap_ms(&self) -> Option<f64> {
        self.gaps.map(|gaps| gaps.long_ms)
    }
}

impl Engines {
    /// Returns the state of a target.
    pub fn state(&self, target: &Target) -> EngineState {
        self.with(target, |state| state.clone())
    }

    /// Returns the version of a model's weights on a target.
    pub fn version(&self, target: &Target, model: &str) -> Option<WeightVersion> {
        let listed = target.version(model);
        let observed = self.with(target, |state| state.versions.get(model).copied());
        listed.max(observed)
    }

    /// Takes note of a version that a target has shown.
    pub fn set_version(&self, target: &Target, model: &str, version: WeightVersion) {
        let changed = self.with(target, |state| match state.versions.get_mut(model) {
            Some(known) => std::mem::replace(known, version) != version,
            None => state.versions.insert(model.to_owned(), version).is_none(),
        });
        if changed {
            self.notify();
        }
    }

    /// Returns whether the target takes runs of the model now.
    pub fn is_usable(&self, target: &Target, model: &str, now: Instant) -> bool {
        self.with(target, |state| state.is_usable(model, now))
    }

    /// Returns whether the weights of a model are being changed on the target.
    pub fn changing(&self, target: &Target) -> Option<ModelName> {
        self.with(target, |state| state.changing.clone())
    }

    /// Sets or clears the model whose weights are being changed.
    pub fn set_changing(&self, target: &Target, model: Option<ModelName>) {
        let changed = self.with(target, |state| {
            let changed = state.changing != model;
            state.changing = model;
            changed
        });
        if changed {
            self.notify();
        }
    }

    /// Returns a receiver that is told when a version or a change of weights is noted.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns the load of the engines by the runs of this node.
    pub fn own_loads(&self, now: Instant) -> Vec<EngineLoad> {
        let states = self.states.borrow();
        let used = states.iter().filter(|(_, state)| state.running > 0 || state.best.is_some());
        let load = |(target, state): (&TargetId, &EngineState)| EngineLoad {
            target: target.clone(),
            running: state.running,
            best_event_ms: state.best_event_ms(now),
        };
        used.map(load).collect()
    }

    /// Replaces the load by the runs of another node; an empty one is forgotten.
    pub fn set_remote_loads(&self, node: SocketAddr, loads: Vec<EngineLoad>) {
        let loads: HashMap<_, _> =
            loads.into_iter().map(|load| (load.target.clone(), load)).collect();
        let mut remote = self.remote.borrow_mut();
        if loads.is_empty() {
            remote.remove(&node);
        } else {
            remote.insert(node, loads);
        }
    }

    /// Returns the load of an engine by the runs of all nodes that are known.
    pub fn load(&self, target: &Target, now: Instant) -> EngineLoad {
        let own = self.with(target, |state| (state.running, state.best_event_ms(now)));
        let (mut running, mut best_event_ms) = own;
        for loads in self.remote.borrow().values() {
            let Some(load) = loads.get(&target.id) else { continue };
            running += load.running;
            best_event_ms = match (best_event_ms, load.best_event_ms) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            };
        }
        EngineLoad { target: target.id.clone(), running, best_event_ms }
    }

    /// Returns what this node knows of an engine beyond the list of targets, for the runner of a
    /// model.
    pub fn news(&self, target: &Target, model: &str, assigned: bool) -> Option<EngineNews> {
        let (version, changing) = self.with(target, |state| {
            (state.versions.get(model).copied(), state.changing.as_deref() == Some(model))
        });
        let version = version.filter(|version| target.version(model) < Some(*version));
        (version.is_some() || changing || assigned).then(|| EngineNews {
            target: target.id.clone(),
            started_at_ms: target.started_at_ms,
            version,
            changing,
            assigned,
        })
    }

    /// Takes over what the node that gives orders knows of the engines for a model.
    pub fn apply_news(&self, view: &View, model: &str, news: &[EngineNews], now: Instant) {
        let targets = news.iter().filter(|news| news.assigned);
        let targets = targets.map(|news| news.target.clone()).collect();
        let assigned = Assigned { targets, told_at: now };
        self.assigned.borrow_mut().insert(model.to_owned(), assigned);
        self.clear_changing(model);
        for news in news {
            let Some(target) = view.target(&news.target) else { continue };
            if target.started_at_ms != news.started_at_ms {
                continue;
            }
            if let Some(version) = news.version {
                self.set_version(&target, model, version);
            }
            if news.changing {
                self.set_changing(&target, Some(model.to_owned()));
            }
        }
    }

    /// Returns whether an engine follows another model than the given one.
    pub fn follows_other(&self, target: &str, model: &str) -> bool {
        let assigned = self.assigned.borrow();
        let own = assigned.get(model).map(|assigned| &assigned.targets);
        own.is_some_and(|own| !own.is_empty() && !own.contains(target))
    }

    /// Forgets what was told of models of which nothing was told for a while: this node no longer
    /// runs them, or nobody gives orders.
    pub fn expire_news(&self, now: Instant) {
        let mut assigned = self.assigned.borrow_mut();
        let is_old =
            |assigned: &Assigned| now.saturating_duration_since(assigned.told_at) > NEWS_LIFETIME;
        let expired = assigned.iter().filter(|(_, assigned)| is_old(assigned));
        let expired: Vec<ModelName> = expired.map(|(model, _)| model.clone()).collect();
        for model in expired {
            assigned.remove(&model);
            self.clear_changing(&model);
        }
    }

    fn clear_changing(&self, model: &str) {
        for state in self.states.borrow_mut().values_mut() {
            if state.changing.as_deref() == Some(model) {
                state.changing = None;
            }
        }
    }

    /// Takes over the demand of a model's jobs from the node that runs them.
    pub fn set_remote_demand(&self, model: ModelName, demand: ModelDemand) {
        self.remote_demands.borrow_mut().insert(model, demand);
    }

    /// Returns the demand of a model's jobs, by the newest job that is known.
    pub fn demand(&self, model: &str) -> ModelDemand {
        let remote = self.remote_demands.borrow().get(model).cloned().unwrap_or_default();
        let own = self.own_demand(model);
        if own.oldest_allowed > remote.oldest_allowed { own } else { remote }
    }

    /// Returns the demand of a model's jobs on this node.
    pub fn own_demand(&self, model: &str) -> ModelDemand {
        let demands = self.demands.borrow();
        demands.get(model).map(DemandMeter::demand).unwrap_or_default()
    }

    /// Takes note of a job of this node.
    pub fn record_job(
        &self,
        model: &str,
        oldest_allowed: WeightVersion,
        items: usize,
        submitted: Instant,
    ) {
        self.meter(model, |meter| meter.record_job(oldest_allowed, items, submitted));
    }

    fn meter(&self, model: &str, change: impl FnOnce(&mut DemandMeter)) {
        let mut demands = self.demands.borrow_mut();
        match demands.get_mut(model) {
            Some(meter) => change(meter),
            None => change(demands.entry(model.to_owned()).or_default()),
        }
    }

    /// Returns what the choice of an engine for a run of the model needs to know.
    pub fn outlook(&self, target: &Target, model: &str, now: Instant) -> Outlook {
        let listed = target.version(model);
        self.with(target, |state| Outlook {
            version: listed.max(state.versions.get(model).copied()),
            is_usable: state.is_usable(model, now),
            running: state.running,
            gaps: state.gaps,
        })
    }

    /// Accounts for a run until the guard is dropped.
    pub fn start_run(&self, target: &Target) -> RunGuard {
        self.with(target, |state| state.running += 1);
        let (engines, target) = (self.clone(), target.clone());
        RunGuard { engines, target }
    }

    /// Takes note of the time between two events of a run.
    pub fn record_gap(&self, target: &Target, gap: Duration, now: Instant) {
        self.with(target, |state| {
            let gap_ms = gap.as_secs_f64() * 1000.0;
            let gaps =
                state.gaps.get_or_insert(Gaps { short_ms: gap_ms, long_ms: gap_ms, last_at: now });
            let passed = now.saturating_duration_since(gaps.last_at).as_secs_f64();
            // A mean over time: many runs on one engine do not make it forget faster.
            let weight = |over: Duration| 1.0 - (-passed / over.as_secs_f64()).exp();
            gaps.short_ms += (gap_ms - gaps.short_ms) * weight(SHORT_MEAN);
            gaps.long_ms += (gap_ms - gaps.long_ms) * weight(LONG_MEAN);
            gaps.last_at = now;
            state.failures = 0;
        });
    }

    /// Takes note of a run that made `events` in `time`.
    pub fn record_run(&self, target: &Target, events: u64, time: Duration, now: Instant) {
        if events < MIN_RUN_EVENTS {
            return;
        }
        let event_ms = time.as_secs_f64() * 1000.0 / events as f64;
        self.with(target, |state| {
            let known = state.best.map(|best| best.event_ms_at(now));
            let event_ms = known.map_or(event_ms, |known| known.min(event_ms));
            state.best = Some(Best { event_ms, at: now });
        });
    }

    /// Takes note of the length of a model's text.
    pub fn record_text(&self, model: &str, events: u64) {
        self.meter(model, |meter| meter.record_text(events));
    }

    /// Takes note that the target refused a run, or broke it off.
    pub fn record_failure(&self, target: &Target, now: Instant) {
        self.with(target, |state| {
            state.failures += 1;
            let wait = BLOCK_TIME * (1 << state.failures.min(4)) / 2;
            state.blocked_until = Some(now + wait.min(MAX_BLOCK_TIME));
        });
    }

    /// Forgets engines that no longer exist.
    pub fn retain_known(&self, view: &View) {
        let mut states = self.states.borrow_mut();
        states.retain(|id, state| state.running > 0 || view.target(id).is_some());
    }

    fn with<T>(&self, target: &Target, change: impl FnOnce(&mut EngineState) -> T) -> T {
        let mut states = self.states.borrow_mut();
        let state = states.entry(target.id.clone()).or_default();
        if state.started_at_ms != target.started_at_ms {
            let running = state.running;
            let started_at_ms = target.started_at_ms;
            *state = EngineState { started_at_ms, running, ..EngineState::default() };
        }
        change(state)
    }
}

impl Best {
    fn event_ms_at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.event_ms * (1.0 + BEST_DECAY_PER_S * passed)
    }
}

/// Accounts for one run on an engine.
pub struct RunGuard {
    engines: Engines,
    target: Target,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut states = self.engines.states.borrow_mut();
        if let Some(state) = states.get_mut(&self.target.id) {
            state.running = state.running.saturating_sub(1);
        }
    }
}
