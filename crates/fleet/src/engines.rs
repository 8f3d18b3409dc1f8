//! State of model engines as the node that works with them sees it.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::id::{TargetId, WeightVersion};

use crate::{Target, View, config::ModelName};

/// Weight of the newest time between two events in the mean of an engine.
const NEWEST_WEIGHT: f64 = 0.05;
/// Time for which an engine gets no work after it refused a request or its connection broke.
const BLOCK_TIME: Duration = Duration::from_millis(400);
/// Longest time for which an engine that fails again and again gets no work.
const MAX_BLOCK_TIME: Duration = Duration::from_secs(4);

/// States of all engines; clones share them.
#[derive(Clone, Default)]
pub struct Engines {
    states: Rc<RefCell<HashMap<TargetId, EngineState>>>,
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
    /// Mean time between two events, in milliseconds; 0 before the first one.
    pub event_gap_ms: f64,
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
        self.with(target, |state| {
            state.versions.insert(model.to_owned(), version);
        });
    }

    /// Returns whether the target takes runs of the model now.
    pub fn is_usable(&self, target: &Target, model: &str, now: Instant) -> bool {
        self.with(target, |state| {
            state.changing.as_deref() != Some(model)
                && state.blocked_until.is_none_or(|until| until <= now)
        })
    }

    /// Returns whether the weights of a model are being changed on the target.
    pub fn changing(&self, target: &Target) -> Option<ModelName> {
        self.with(target, |state| state.changing.clone())
    }

    /// Sets or clears the model whose weights are being changed.
    pub fn set_changing(&self, target: &Target, model: Option<ModelName>) {
        self.with(target, |state| state.changing = model);
    }

    /// Accounts for a run until the guard is dropped.
    pub fn start_run(&self, target: &Target) -> RunGuard {
        self.with(target, |state| state.running += 1);
        let (engines, target) = (self.clone(), target.clone());
        RunGuard { engines, target }
    }

    /// Takes note of the time between two events.
    pub fn record_gap(&self, target: &Target, gap: Duration) {
        self.with(target, |state| {
            let gap_ms = gap.as_secs_f64() * 1000.0;
            let known = state.event_gap_ms > 0.0;
            let weight = if known { NEWEST_WEIGHT } else { 1.0 };
            state.event_gap_ms += (gap_ms - state.event_gap_ms) * weight;
            state.failures = 0;
        });
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
