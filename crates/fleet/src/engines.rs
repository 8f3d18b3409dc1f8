//! Engine state observed by this node or received from other nodes: load, speed, weight versions,
//! failures, and the demand for each model.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::id::{FencingNumber, TargetId, WeightVersion};
use deck_route::{CapacityEstimator, Slowdown, capacity::log_capacity};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::{
    FleetView, Target,
    config::ModelName,
    demand::{DemandMeter, ModelDemand},
};

/// Time constant of the short-term mean interval between events; shorter than a load burst of a
/// noisy neighbour.
const SHORT_MEAN_WINDOW: Duration = Duration::from_millis(250);
/// Time constant of the long-term mean interval between events; covers several load bursts of a
/// noisy neighbour, and is shorter than the time for which a slow engine stays slow.
const LONG_MEAN_WINDOW: Duration = Duration::from_millis(2500);
/// Time since the last event of an engine after which its short-term mean is ignored.
const SHORT_MEAN_MAX_AGE: Duration = Duration::from_millis(500);
/// Decay time constant of the long-term mean of an engine without events, which may have recovered
/// since.
const LONG_MEAN_DECAY_TIME: Duration = Duration::from_secs(5);
/// Weight of the short-term mean in the expected interval between events.
const SHORT_MEAN_WEIGHT: f64 = 0.4;
/// Time for which an engine gets no work after it refused a run or its connection broke. Doubles
/// with each consecutive failure.
const FAILURE_BACKOFF: Duration = Duration::from_millis(400);
/// Upper bound of the backoff after consecutive failures.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(4);

/// Minimum number of events for a run to count as a speed measurement. The first event includes the
/// processing of the prompt.
const MIN_EVENTS_FOR_SPEED: u64 = 8;
/// Fraction by which the recorded time per event of an engine's fastest run grows each second, so
/// that old measurements lose their effect.
const BEST_RUN_DECAY_PER_S: f64 = 0.01;
/// Relative difference from the median time per event from which an engine's speed is reported to
/// other nodes. Smaller ones are mostly noise.
const MIN_SPEED_DIFFERENCE: f64 = 0.2;
/// Age from which the speed that another node reported is ignored.
const MAX_REPORTED_SPEED_AGE: Duration = Duration::from_secs(15);

/// Age from which the loads that another node reported are ignored. Longer than an unresponsive node
/// remains the runner of a model.
const MAX_REMOTE_LOAD_AGE: Duration = Duration::from_millis(2500);

/// Time for which an update from the leader remains valid; spans several of its messages.
const LEADER_UPDATE_LIFETIME: Duration = Duration::from_millis(1500);

/// State of all engines known to this node; clones share it.
#[derive(Clone, Default)]
pub struct EngineRegistry {
    states: Rc<RefCell<HashMap<TargetId, EngineState>>>,
    /// Demand of this node's jobs, by model.
    demands: Rc<RefCell<HashMap<ModelName, DemandMeter>>>,
    /// Demand last reported by runners on other nodes, by model.
    remote_demands: Rc<RefCell<HashMap<ModelName, ModelDemand>>>,
    /// Engine loads caused by the runs of other nodes, by node address.
    remote_loads: Rc<RefCell<HashMap<SocketAddr, RemoteLoads>>>,
    /// Speed of each engine as another node last reported it.
    reported_speeds: Rc<RefCell<HashMap<TargetId, ReportedSpeed>>>,
    /// Engines assigned to each model, for models with a recent update from the leader.
    assignments: Rc<RefCell<HashMap<ModelName, Assignment>>>,
    /// Fencing number of the leader whose update was last accepted, and when.
    last_leader: Rc<Cell<Option<(FencingNumber, Instant)>>>,
    /// Notifies subscribers when an engine has a new weight version, or starts or ends loading
    /// weights.
    changes: Rc<watch::Sender<u64>>,
}

/// Engines assigned to one model, as received from the leader.
#[derive(Debug)]
struct Assignment {
    targets: HashSet<TargetId>,
    received_at: Instant,
}

/// Engine loads caused by the runs of another node, as it last reported them.
#[derive(Debug)]
struct RemoteLoads {
    by_target: HashMap<TargetId, EngineLoad>,
    received_at: Instant,
}

impl RemoteLoads {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) <= MAX_REMOTE_LOAD_AGE
    }
}

/// Runs of one node, or of all known nodes together, on one engine.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineLoad {
    /// Engine on which the runs are.
    pub target: TargetId,
    /// Number of runs in progress.
    #[serde(rename = "running")]
    pub active_runs: u32,
    /// Time per event of the fastest recent run, in milliseconds.
    pub best_event_ms: Option<f64>,
    /// Mean interval between events of the runs, in milliseconds; `None` without recent events.
    #[serde(default)]
    pub recent_event_ms: Option<f64>,
    /// Speed that the node measured, of an engine that differs from the others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub speed: Option<EngineSpeed>,
}

/// Speed of an engine, as the nodes that run texts on it report it to the leader and the leader to
/// a new runner.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineSpeed {
    /// Start time of the engine process that was measured.
    pub started_at_ms: u64,
    /// Long-term mean interval between events in milliseconds, without the slowdown below.
    pub event_ms: f64,
    /// Time since the last event.
    pub age_ms: u64,
    /// Slowdown by occupancy; empty if the engine is not sensitive to it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub slowdowns: Vec<f64>,
    /// Concurrency that the engine takes well, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub knee: Option<u32>,
}

impl EngineSpeed {
    fn is_recent(&self) -> bool {
        Duration::from_millis(self.age_ms) <= MAX_REPORTED_SPEED_AGE
    }
}

/// Speed of an engine that another node measured.
#[derive(Debug)]
struct ReportedSpeed {
    speed: EngineSpeed,
    received_at: Instant,
}

impl ReportedSpeed {
    /// Returns the speed with its age at `now`.
    fn at(&self, now: Instant) -> EngineSpeed {
        let held = now.saturating_duration_since(self.received_at).as_millis() as u64;
        EngineSpeed { age_ms: self.speed.age_ms.saturating_add(held), ..self.speed.clone() }
    }
}

/// State of an engine that the leader sends to the runner of a model, ahead of the target list.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineUpdate {
    /// Engine that the update describes.
    pub target: TargetId,
    /// Start time of the engine process that this update applies to.
    pub started_at_ms: u64,
    /// Version of the model, if newer than the one in the target list.
    pub version: Option<WeightVersion>,
    /// Whether the engine is loading weights of the model.
    #[serde(rename = "changing")]
    pub is_loading: bool,
    /// Whether the engine is assigned to the model.
    #[serde(rename = "assigned")]
    pub is_assigned: bool,
    /// Speed of an engine that is new to the runner, as other nodes reported it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub speed: Option<EngineSpeed>,
}

/// State of one engine.
#[derive(Debug, Clone, Default)]
pub struct EngineState {
    /// Start time of the engine process that this state belongs to.
    started_at_ms: u64,
    /// Number of this node's runs in progress on the engine.
    pub active_runs: u32,
    /// Weight versions observed from the engine itself, which may be newer than the target list.
    versions: HashMap<ModelName, WeightVersion>,
    /// Model whose weights are being loaded.
    loading_model: Option<ModelName>,
    /// The engine gets no work before this time.
    backoff_until: Option<Instant>,
    /// Number of failures since the last event.
    consecutive_failures: u32,
    /// Mean intervals between consecutive events of a run, without the slowdown of its occupancy.
    event_intervals: Option<EventIntervals>,
    /// Slowdown of the engine by the number of this node's runs on it; `None` before the first event.
    capacity: Option<Box<CapacityEstimator>>,
    /// Slowdown that another node measured, and when; used until this node has measured its own.
    reported_slowdown: Option<(Slowdown, Instant)>,
    /// Fastest recent run.
    best_run: Option<BestRun>,
}

/// Speed of the fastest recent run on an engine.
#[derive(Debug, Clone, Copy)]
struct BestRun {
    /// Mean time per event of the run.
    event_ms: f64,
    observed_at: Instant,
}

/// Short-term and long-term mean intervals between consecutive events of the runs on an engine.
#[derive(Debug, Clone, Copy)]
struct EventIntervals {
    short_mean_ms: f64,
    long_mean_ms: f64,
    updated_at: Instant,
}

impl EventIntervals {
    /// Returns the expected interval between events. Without recent events, the long-term mean
    /// decays towards `typical_ms`.
    fn expected_ms(&self, typical_ms: f64, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.updated_at);
        if idle < SHORT_MEAN_MAX_AGE {
            return self.short_mean_ms * SHORT_MEAN_WEIGHT
                + self.long_mean_ms * (1.0 - SHORT_MEAN_WEIGHT);
        }
        let weight = (-idle.as_secs_f64() / LONG_MEAN_DECAY_TIME.as_secs_f64()).exp();
        typical_ms + (self.long_mean_ms - typical_ms) * weight
    }
}

/// Version, availability and speed of an engine, by which an engine is selected for a run.
#[derive(Debug, Clone, Copy)]
pub struct EngineEstimate {
    /// Version of the model's weights.
    pub version: Option<WeightVersion>,
    /// Whether the engine accepts runs of the model now.
    pub is_usable: bool,
    /// Number of this node's runs in progress on the engine.
    pub active_runs: u32,
    event_intervals: Option<EventIntervals>,
    /// Slowdown by the number of this node's runs; `None` while the engine has not shown that it is
    /// sensitive to it.
    pub slowdown: Option<Slowdown>,
}

impl EngineEstimate {
    /// Returns the expected interval between events in milliseconds, before the engine's slowdown is
    /// applied, or `None` without measurements.
    ///
    /// `typical_ms` is the typical interval across engines, towards which the estimate of an idle
    /// engine decays.
    pub fn expected_event_interval_ms(&self, typical_ms: f64, now: Instant) -> Option<f64> {
        self.event_intervals.map(|event_intervals| event_intervals.expected_ms(typical_ms, now))
    }

    /// Returns the long-term mean interval between events in milliseconds.
    pub fn long_term_event_interval_ms(&self) -> Option<f64> {
        self.event_intervals.map(|event_intervals| event_intervals.long_mean_ms)
    }
}

impl EngineState {
    /// Returns the expected interval between the events of a run in progress in milliseconds, or
    /// `None` without measurements.
    ///
    /// `typical_ms` is the typical interval across engines, towards which the estimate of an idle
    /// engine decays.
    pub fn expected_event_interval_ms(&self, typical_ms: f64, now: Instant) -> Option<f64> {
        let intervals = self.event_intervals?;
        Some(intervals.expected_ms(typical_ms, now) * self.slowdown_factor(now))
    }

    /// Returns the slowdown by the number of this node's runs; `None` while the engine has not shown
    /// that it is sensitive to it.
    pub fn slowdown(&self, now: Instant) -> Option<Slowdown> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MAX_REPORTED_SPEED_AGE;
        let reported = self.reported_slowdown.filter(|(_, at)| is_recent(*at));
        self.own_slowdown(now).or(reported.map(|(slowdown, _)| slowdown))
    }

    /// Returns the slowdown that this node has measured.
    fn own_slowdown(&self, now: Instant) -> Option<Slowdown> {
        self.capacity.as_ref()?.slowdown(now)
    }

    /// Returns the slowdown at the present number of runs.
    fn slowdown_factor(&self, now: Instant) -> f64 {
        self.slowdown(now).map_or(1.0, |slowdown| slowdown.factor(self.active_runs))
    }

    /// Returns the speed to report to other nodes.
    fn speed(&self, now: Instant) -> Option<EngineSpeed> {
        let intervals = self.event_intervals?;
        let slowdown = self.own_slowdown(now);
        Some(EngineSpeed {
            started_at_ms: self.started_at_ms,
            event_ms: intervals.long_mean_ms,
            age_ms: now.saturating_duration_since(intervals.updated_at).as_millis() as u64,
            slowdowns: slowdown.map_or_else(Vec::new, |slowdown| slowdown.factors().to_vec()),
            knee: slowdown.and_then(|slowdown| slowdown.knee()),
        })
    }

    /// Adopts a speed that another node measured, unless this node has measured the engine later.
    fn adopt_speed(&mut self, speed: &EngineSpeed, now: Instant) {
        let age = Duration::from_millis(speed.age_ms);
        let is_valid = speed.event_ms.is_finite() && speed.event_ms > 0.0;
        let Some(measured_at) = now.checked_sub(age).filter(|_| is_valid) else { return };
        if age > MAX_REPORTED_SPEED_AGE
            || self.event_intervals.is_some_and(|intervals| intervals.updated_at >= measured_at)
        {
            return;
        }
        self.event_intervals = Some(EventIntervals {
            short_mean_ms: speed.event_ms,
            long_mean_ms: speed.event_ms,
            updated_at: measured_at,
        });
        self.reported_slowdown = Slowdown::from_report(&speed.slowdowns, speed.knee)
            .map(|slowdown| (slowdown, measured_at));
    }

    fn is_usable(&self, model: &str, now: Instant) -> bool {
        self.loading_model.as_deref() != Some(model)
            && self.backoff_until.is_none_or(|until| until <= now)
    }

    /// Returns the time per event of the fastest recent run in milliseconds, an estimate of the
    /// engine's speed without load and without noisy neighbours.
    pub fn best_event_ms(&self, now: Instant) -> Option<f64> {
        self.best_run.map(|best_run| best_run.event_ms_at(now))
    }

    /// Returns the long-term mean interval between events in milliseconds.
    pub fn long_term_event_interval_ms(&self) -> Option<f64> {
        self.event_intervals.map(|event_intervals| event_intervals.long_mean_ms)
    }

    /// Returns the long-term mean interval between events in milliseconds; `None` if the last event
    /// is too long ago.
    fn recent_event_ms(&self, now: Instant) -> Option<f64> {
        let is_recent = |intervals: &EventIntervals| {
            now.saturating_duration_since(intervals.updated_at) < LONG_MEAN_WINDOW
        };
        self.event_intervals.filter(is_recent).map(|intervals| intervals.long_mean_ms)
    }
}

impl EngineRegistry {
    /// Returns a copy of the state of a target.
    pub fn state(&self, target: &Target) -> EngineState {
        self.with_state(target, |state| state.clone())
    }

    /// Returns the newest known version of a model's weights on a target.
    pub fn version(&self, target: &Target, model: &str) -> Option<WeightVersion> {
        let listed = target.version(model);
        let observed = self.with_state(target, |state| state.versions.get(model).copied());
        listed.max(observed)
    }

    /// Records a weight version observed on a target.
    pub fn set_version(&self, target: &Target, model: &str, version: WeightVersion) {
        let changed = self.with_state(target, |state| match state.versions.get_mut(model) {
            Some(known) => std::mem::replace(known, version) != version,
            None => state.versions.insert(model.to_owned(), version).is_none(),
        });
        if changed {
            self.notify();
        }
    }

    /// Returns whether the target accepts runs of the model now.
    pub fn is_usable(&self, target: &Target, model: &str, now: Instant) -> bool {
        self.with_state(target, |state| state.is_usable(model, now))
    }

    /// Returns the model whose weights the target is loading, if any.
    pub fn loading_model(&self, target: &Target) -> Option<ModelName> {
        self.with_state(target, |state| state.loading_model.clone())
    }

    /// Sets or clears the model whose weights the target is loading.
    pub fn set_loading_model(&self, target: &Target, model: Option<ModelName>) {
        let changed = self.with_state(target, |state| {
            let changed = state.loading_model != model;
            state.loading_model = model;
            changed
        });
        if changed {
            self.notify();
        }
    }

    /// Returns a receiver that is notified when an engine has a new weight version, or starts or ends
    /// loading weights.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns the engine loads caused by the runs of this node.
    pub fn own_loads(&self, now: Instant) -> Vec<EngineLoad> {
        let mut speeds = self.own_speeds(now);
        let states = self.states.borrow();
        let in_use =
            states.iter().filter(|(_, state)| state.active_runs > 0 || state.best_run.is_some());
        let mut load = |(target, state): (&TargetId, &EngineState)| EngineLoad {
            target: target.clone(),
            active_runs: state.active_runs,
            best_event_ms: state.best_event_ms(now),
            recent_event_ms: state.recent_event_ms(now),
            speed: speeds.remove(target),
        };
        in_use.map(&mut load).collect()
    }

    /// Replaces the engine loads caused by another node; an empty list removes the node, and keeps the
    /// speeds that it has measured.
    pub fn set_remote_loads(&self, node: SocketAddr, loads: Vec<EngineLoad>, received_at: Instant) {
        let mut reported_speeds = self.reported_speeds.borrow_mut();
        for load in &loads {
            let Some(speed) = load.speed.clone() else { continue };
            let is_newer = reported_speeds
                .get(&load.target)
                .is_none_or(|known| known.at(received_at).age_ms >= speed.age_ms);
            if is_newer {
                let reported = ReportedSpeed { speed, received_at };
                reported_speeds.insert(load.target.clone(), reported);
            }
        }
        drop(reported_speeds);
        let by_target: HashMap<_, _> =
            loads.into_iter().map(|load| (load.target.clone(), load)).collect();
        let mut remote_loads = self.remote_loads.borrow_mut();
        remote_loads.retain(|_, loads| loads.is_recent(received_at));
        if by_target.is_empty() {
            remote_loads.remove(&node);
        } else {
            remote_loads.insert(node, RemoteLoads { by_target, received_at });
        }
    }

    /// Returns the total load of an engine from this node and all other nodes with a recent report.
    pub fn total_load(&self, target: &Target, now: Instant) -> EngineLoad {
        let own_load = self.with_state(target, |state| {
            (state.active_runs, state.best_event_ms(now), state.recent_event_ms(now))
        });
        let (mut active_runs, mut best_event_ms, mut recent_event_ms) = own_load;
        for loads in self.remote_loads.borrow().values().filter(|loads| loads.is_recent(now)) {
            let Some(load) = loads.by_target.get(&target.id) else { continue };
            active_runs += load.active_runs;
            best_event_ms = match (best_event_ms, load.best_event_ms) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            };
            recent_event_ms = match (recent_event_ms, load.recent_event_ms) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            };
        }
        EngineLoad {
            target: target.id.clone(),
            active_runs,
            best_event_ms,
            recent_event_ms,
            speed: None,
        }
    }

    /// Returns the speeds that this node has measured lately, of engines that differ from the others
    /// or are sensitive to their occupancy.
    fn own_speeds(&self, now: Instant) -> HashMap<TargetId, EngineSpeed> {
        let states = self.states.borrow();
        let speed = |(id, state): (&TargetId, &EngineState)| Some((id.clone(), state.speed(now)?));
        let mut speeds: HashMap<_, _> = states.iter().filter_map(speed).collect();
        speeds.retain(|_, speed| speed.is_recent());
        let mut event_times_ms: Vec<f64> = speeds.values().map(|speed| speed.event_ms).collect();
        event_times_ms.sort_by(f64::total_cmp);
        let median_ms = event_times_ms.get(event_times_ms.len() / 2).copied().unwrap_or(1.0);
        speeds.retain(|_, speed| {
            let ratio = speed.event_ms / median_ms.max(1e-3);
            (ratio - 1.0).abs() >= MIN_SPEED_DIFFERENCE || !speed.slowdowns.is_empty()
        });
        speeds
    }

    /// Adds to the updates of a runner the speeds of the assigned engines for which `is_new` returns
    /// true, from the reports of other nodes and the measurements of this one.
    pub fn add_speeds(
        &self,
        updates: &mut [EngineUpdate],
        is_new: impl Fn(&str) -> bool,
        now: Instant,
    ) {
        let is_new = |update: &&mut EngineUpdate| update.is_assigned && is_new(&update.target);
        let mut updates = updates.iter_mut().filter(is_new).peekable();
        if updates.peek().is_none() {
            return;
        }
        let mut own_speeds = self.own_speeds(now);
        let reported_speeds = self.reported_speeds.borrow();
        for update in updates {
            let reported = reported_speeds.get(&update.target).map(|reported| reported.at(now));
            let speeds = reported.into_iter().chain(own_speeds.remove(&update.target));
            let started_at_ms = update.started_at_ms;
            update.speed = speeds
                .filter(|speed| speed.started_at_ms == started_at_ms && speed.is_recent())
                .min_by_key(|speed| speed.age_ms);
        }
    }

    /// Returns the engine state that the runner of a model needs and that the target list does not
    /// contain yet; `None` if there is nothing to send.
    pub fn engine_update(
        &self,
        target: &Target,
        model: &str,
        is_assigned: bool,
    ) -> Option<EngineUpdate> {
        let (version, is_loading) = self.with_state(target, |state| {
            (state.versions.get(model).copied(), state.loading_model.as_deref() == Some(model))
        });
        let version = version.filter(|version| target.version(model) < Some(*version));
        (version.is_some() || is_loading || is_assigned).then(|| EngineUpdate {
            target: target.id.clone(),
            started_at_ms: target.started_at_ms,
            version,
            is_loading,
            is_assigned,
            speed: None,
        })
    }

    /// Returns whether an update of the leader with this fencing number may be applied, and records it
    /// if so. That of a former leader may not while the updates of a later one are valid.
    pub fn accept_leader(&self, fencing: FencingNumber, now: Instant) -> bool {
        let is_former = self.last_leader.get().is_some_and(|(known, at)| {
            fencing < known && now.saturating_duration_since(at) <= LEADER_UPDATE_LIFETIME
        });
        if !is_former {
            self.last_leader.set(Some((fencing, now)));
        }
        !is_former
    }

    /// Applies an update from the leader with the state and assignment of the engines for a model.
    pub fn apply_updates(
        &self,
        view: &FleetView,
        model: &str,
        updates: &[EngineUpdate],
        now: Instant,
    ) {
        let targets = updates.iter().filter(|update| update.is_assigned);
        let targets = targets.map(|update| update.target.clone()).collect();
        let assignment = Assignment { targets, received_at: now };
        self.assignments.borrow_mut().insert(model.to_owned(), assignment);
        self.clear_loading_model(model);
        for update in updates {
            let Some(target) = view.target(&update.target) else { continue };
            if target.started_at_ms != update.started_at_ms {
                continue;
            }
            if let Some(version) = update.version {
                self.set_version(&target, model, version);
            }
            if update.is_loading {
                self.set_loading_model(&target, Some(model.to_owned()));
            }
            if let Some(speed) = &update.speed {
                self.with_state(&target, |state| state.adopt_speed(speed, now));
            }
        }
    }

    /// Returns whether an engine is assigned to a model other than the given one.
    ///
    /// Returns `false` if the model's assignment is unknown or empty.
    pub fn is_assigned_to_other_model(&self, target: &str, model: &str) -> bool {
        let assignments = self.assignments.borrow();
        let assigned = assignments.get(model).map(|assignment| &assignment.targets);
        assigned.is_some_and(|assigned| !assigned.is_empty() && !assigned.contains(target))
    }

    /// Discards the leader's updates for models without a recent update: this node no longer runs
    /// their jobs, or there is no leader.
    pub fn expire_leader_updates(&self, now: Instant) {
        let mut assignments = self.assignments.borrow_mut();
        let is_expired = |assignment: &Assignment| {
            now.saturating_duration_since(assignment.received_at) > LEADER_UPDATE_LIFETIME
        };
        let expired = assignments.iter().filter(|(_, assignment)| is_expired(assignment));
        let expired: Vec<ModelName> = expired.map(|(model, _)| model.clone()).collect();
        for model in expired {
            assignments.remove(&model);
            self.clear_loading_model(&model);
        }
    }

    fn clear_loading_model(&self, model: &str) {
        for state in self.states.borrow_mut().values_mut() {
            if state.loading_model.as_deref() == Some(model) {
                state.loading_model = None;
            }
        }
    }

    /// Records the demand of a model's jobs reported by the node that runs them.
    pub fn set_remote_demand(&self, model: ModelName, demand: ModelDemand) {
        self.remote_demands.borrow_mut().insert(model, demand);
    }

    /// Returns the demand of a model's jobs, from whichever of this node and the remote runner has
    /// the newest job.
    pub fn demand(&self, model: &str) -> ModelDemand {
        let remote_demand = self.remote_demands.borrow().get(model).cloned().unwrap_or_default();
        let own_demand = self.own_demand(model);
        if own_demand.min_version > remote_demand.min_version { own_demand } else { remote_demand }
    }

    /// Returns the demand of a model's jobs on this node.
    pub fn own_demand(&self, model: &str) -> ModelDemand {
        let demands = self.demands.borrow();
        demands.get(model).map(DemandMeter::demand).unwrap_or_default()
    }

    /// Records a job of this node for the demand of its model.
    pub fn record_job(
        &self,
        model: &str,
        min_version: WeightVersion,
        items: usize,
        submitted: Instant,
    ) {
        self.update_demand_meter(model, |meter| meter.record_job(min_version, items, submitted));
    }

    fn update_demand_meter(&self, model: &str, update: impl FnOnce(&mut DemandMeter)) {
        let mut demands = self.demands.borrow_mut();
        match demands.get_mut(model) {
            Some(meter) => update(meter),
            None => update(demands.entry(model.to_owned()).or_default()),
        }
    }

    /// Returns the estimate by which an engine is selected for a run of the model.
    pub fn estimate(&self, target: &Target, model: &str, now: Instant) -> EngineEstimate {
        let listed = target.version(model);
        self.with_state(target, |state| EngineEstimate {
            version: listed.max(state.versions.get(model).copied()),
            is_usable: state.is_usable(model, now),
            active_runs: state.active_runs,
            event_intervals: state.event_intervals,
            slowdown: state.slowdown(now),
        })
    }

    /// Counts a run on the target until the returned guard is dropped.
    pub fn start_run(&self, target: &Target) -> RunGuard {
        self.with_state(target, |state| state.active_runs += 1);
        let (engines, target) = (self.clone(), target.clone());
        RunGuard { engines, target }
    }

    /// Records the interval between two consecutive events of a run, and resets the failure count.
    pub fn record_event_interval(&self, target: &Target, interval: Duration, now: Instant) {
        self.with_state(target, |state| {
            let interval_ms = interval.as_secs_f64() * 1000.0;
            let capacity = state.capacity.get_or_insert_default();
            if let Some((old, new)) = capacity.record(state.active_runs, interval_ms, now) {
                log_capacity("fleet", &target.id, old, new);
            }
            let interval_ms = interval_ms / state.slowdown_factor(now);
            let means = state.event_intervals.get_or_insert(EventIntervals {
                short_mean_ms: interval_ms,
                long_mean_ms: interval_ms,
                updated_at: now,
            });
            let elapsed_s = now.saturating_duration_since(means.updated_at).as_secs_f64();
            // Weighted by elapsed time rather than by sample, so that the number of concurrent runs
            // does not change how fast the means decay.
            let weight = |window: Duration| 1.0 - (-elapsed_s / window.as_secs_f64()).exp();
            means.short_mean_ms += (interval_ms - means.short_mean_ms) * weight(SHORT_MEAN_WINDOW);
            means.long_mean_ms += (interval_ms - means.long_mean_ms) * weight(LONG_MEAN_WINDOW);
            means.updated_at = now;
            state.consecutive_failures = 0;
        });
    }

    /// Records the speed of a run that generated `events` in `duration`; too short runs are
    /// ignored.
    pub fn record_run(&self, target: &Target, events: u64, duration: Duration, now: Instant) {
        if events < MIN_EVENTS_FOR_SPEED {
            return;
        }
        let event_ms = duration.as_secs_f64() * 1000.0 / events as f64;
        self.with_state(target, |state| {
            let previous_ms = state.best_run.map(|best_run| best_run.event_ms_at(now));
            let event_ms = previous_ms.map_or(event_ms, |previous_ms| previous_ms.min(event_ms));
            state.best_run = Some(BestRun { event_ms, observed_at: now });
        });
    }

    /// Records the length of a completed text of a model, in events.
    pub fn record_text_length(&self, model: &str, events: u64) {
        self.update_demand_meter(model, |meter| meter.record_text(events));
    }

    /// Records that the target refused or aborted a run, and extends its backoff.
    pub fn record_failure(&self, target: &Target, now: Instant) {
        self.with_state(target, |state| {
            state.consecutive_failures += 1;
            let backoff = FAILURE_BACKOFF * (1 << state.consecutive_failures.min(4)) / 2;
            state.backoff_until = Some(now + backoff.min(MAX_FAILURE_BACKOFF));
        });
    }

    /// Removes the state of engines that are no longer targets and have no runs.
    pub fn retain_known(&self, view: &FleetView) {
        let mut states = self.states.borrow_mut();
        states.retain(|id, state| state.active_runs > 0 || view.target(id).is_some());
        self.reported_speeds.borrow_mut().retain(|id, _| view.target(id).is_some());
    }

    /// Calls `action` with the state of a target; the state is reset if the target has restarted.
    fn with_state<T>(&self, target: &Target, action: impl FnOnce(&mut EngineState) -> T) -> T {
        let mut states = self.states.borrow_mut();
        let state = states.entry(target.id.clone()).or_default();
        if state.started_at_ms != target.started_at_ms {
            let active_runs = state.active_runs;
            let started_at_ms = target.started_at_ms;
            *state = EngineState { started_at_ms, active_runs, ..EngineState::default() };
        }
        action(state)
    }
}

impl BestRun {
    fn event_ms_at(&self, now: Instant) -> f64 {
        let age_s = now.saturating_duration_since(self.observed_at).as_secs_f64();
        self.event_ms * (1.0 + BEST_RUN_DECAY_PER_S * age_s)
    }
}

/// Guard that counts one run on an engine until it is dropped.
pub struct RunGuard {
    engines: EngineRegistry,
    target: Target,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut states = self.engines.states.borrow_mut();
        if let Some(state) = states.get_mut(&self.target.id) {
            state.active_runs = state.active_runs.saturating_sub(1);
        }
    }
}
