//! State of model engines as the node that works with them sees it.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::id::{TargetId, WeightVersion};

use crate::{Target, View, config::ModelName};

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
/// Part of the newest text in the mean length of a model's texts.
const NEWEST_TEXT_PART: f64 = 0.02;

/// States of all engines; clones share them.
#[derive(Clone, Default)]
pub struct Engines {
    states: Rc<RefCell<HashMap<TargetId, EngineState>>>,
    /// Mean number of events of a text, by model.
    text_events: Rc<RefCell<HashMap<ModelName, f64>>>,
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

impl EngineState {
    /// Returns the expected time between two events in milliseconds, or `None` if nothing is known.
    ///
    /// `usual_ms` is the value of a usual engine, to which that of an idle engine returns.
    pub fn event_gap_ms(&self, usual_ms: f64, now: Instant) -> Option<f64> {
        let gaps = self.gaps?;
        let idle = now.saturating_duration_since(gaps.last_at);
        if idle < SHORT_MEMORY {
            return Some(gaps.short_ms * SHORT_PART + gaps.long_ms * (1.0 - SHORT_PART));
        }
        let kept = (-idle.as_secs_f64() / LONG_MEMORY.as_secs_f64()).exp();
        Some(usual_ms + (gaps.long_ms - usual_ms) * kept)
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
        let mut texts = self.text_events.borrow_mut();
        match texts.get_mut(model) {
            Some(mean) => *mean += (events as f64 - *mean) * NEWEST_TEXT_PART,
            None => drop(texts.insert(model.to_owned(), events as f64)),
        }
    }

    /// Returns the mean number of events of a model's texts.
    pub fn text_events(&self, model: &str) -> Option<f64> {
        self.text_events.borrow().get(model).copied()
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
