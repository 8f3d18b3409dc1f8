//! Health of one target as seen by one VM.

use std::{collections::BTreeMap, time::Duration, time::Instant};

use crate::{HealthOptions, Outcome};

/// Health of a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HealthState {
    /// Takes work.
    Healthy,
    /// Takes no work but probes.
    Ejected {
        /// When the next probe is due.
        probe_at: Instant,
        /// Whether a probe is in flight. Invariant: at most one.
        probing: bool,
    },
}

/// Observations of one target.
#[derive(Debug)]
pub(crate) struct Health {
    pub state: HealthState,
    /// Time between the last ejection and its first probe; doubles with each failed probe.
    probe_interval: Duration,
    /// End of the last ejection; a new one soon afterwards keeps the longer interval.
    restored_at: Option<Instant>,
    /// Mean of recent latencies in parts of the pool's usual latency.
    slowness: f64,
    slow_streak: u32,
    slowness_at: Option<Instant>,
    failures: u32,
    error_rate: f64,
    calls: u32,
    /// Calls without a first byte, by call number.
    waiting: BTreeMap<u64, Waiting>,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    since: Instant,
    /// Usual latency of this kind of call when it started.
    usual: Duration,
}

/// Weight of the newest response in means; about the last five responses count.
const NEWEST_WEIGHT: f64 = 0.25;
/// Largest ratio that one response adds to the mean, so that a single one does not dominate it.
const MAX_RATIO: f64 = 10.0;
/// Calls from which an error rate is meaningful.
const MIN_CALLS: u32 = 10;
/// Overdue calls that are evidence of a stall without any response.
const STALLED_CALLS: usize = 2;

impl Default for Health {
    fn default() -> Self {
        Self {
            state: HealthState::Healthy,
            probe_interval: Duration::ZERO,
            restored_at: None,
            slowness: 1.0,
            slow_streak: 0,
            slowness_at: None,
            failures: 0,
            error_rate: 0.0,
            calls: 0,
            waiting: BTreeMap::new(),
        }
    }
}

impl Health {
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, HealthState::Ejected { .. })
    }

    pub fn error_rate(&self) -> f64 {
        self.error_rate
    }

    /// Returns whether a probe is due, and for how long.
    pub fn probe_overdue(&self, now: Instant) -> Option<Duration> {
        match self.state {
            HealthState::Ejected { probe_at, probing: false } => {
                now.checked_duration_since(probe_at)
            }
            _ => None,
        }
    }

    /// Starts a probe. If it ends without a verdict the next one is due after the same interval.
    pub fn start_probe(&mut self, now: Instant) {
        if self.is_ejected() {
            let probe_at = now + self.probe_interval;
            self.state = HealthState::Ejected { probe_at, probing: true };
        }
    }

    pub fn call_started(&mut self, call: u64, usual: Duration, now: Instant) {
        self.waiting.insert(call, Waiting { since: now, usual });
    }

    pub fn call_ended(&mut self, call: u64) {
        self.waiting.remove(&call);
    }

    /// Takes note of a latency in parts of the usual one.
    pub fn record_ratio(&mut self, ratio: f64, slow_limit: f64, now: Instant) {
        self.slowness += (ratio.min(MAX_RATIO) - self.slowness) * NEWEST_WEIGHT;
        self.slow_streak = if ratio > slow_limit { self.slow_streak + 1 } else { 0 };
        self.slowness_at = Some(now);
    }

    /// Takes note of the end of a call.
    pub fn record_outcome(&mut self, outcome: Outcome) {
        let failure_weight = match outcome {
            Outcome::Ok => 0,
            // A refusal is a healthy response of a full or leaving target.
            Outcome::Refused | Outcome::Leaving => return,
            Outcome::Failed | Outcome::TimedOut => 1,
            Outcome::Crashed => 2,
        };
        self.calls = self.calls.saturating_add(1);
        self.failures = if failure_weight == 0 { 0 } else { self.failures + failure_weight };
        let failed = f64::from(u8::from(failure_weight > 0));
        self.error_rate += (failed - self.error_rate) * (NEWEST_WEIGHT / 2.0);
    }

    /// Returns the mean latency in parts of the usual one, or `None` without recent responses.
    pub fn slowness(&self, options: &HealthOptions, now: Instant) -> Option<f64> {
        let at = self.slowness_at?;
        (now.saturating_duration_since(at) < options.memory).then_some(self.slowness)
    }

    /// Returns how overdue the oldest call without a first byte is, in parts of the usual latency.
    pub fn oldest_waiting_ratio(&self, now: Instant) -> f64 {
        self.waiting.values().next().map_or(0.0, |waiting| waiting.ratio(now))
    }

    /// Returns how bad the target is if it should be ejected: its latency in parts of the median.
    pub fn outlier(
        &self,
        options: &HealthOptions,
        median: f64,
        pool_error_rate: f64,
        now: Instant,
    ) -> Option<f64> {
        if self.failures >= options.failures || self.has_outlier_errors(options, pool_error_rate) {
            return Some(f64::INFINITY);
        }
        let limit = options.slow_factor * median;
        let overdue = |waiting: &&Waiting| {
            waiting.ratio(now) > limit && now.duration_since(waiting.since) > options.slow_floor
        };
        let stalled = self.waiting.values().filter(overdue).take(STALLED_CALLS).count();
        if stalled == STALLED_CALLS {
            return Some(self.oldest_waiting_ratio(now) / median);
        }
        let slowness = self.slowness(options, now)?;
        let slow = slowness > limit && self.slow_streak >= options.slow_responses;
        slow.then_some(slowness / median)
    }

    fn has_outlier_errors(&self, options: &HealthOptions, pool_error_rate: f64) -> bool {
        self.calls >= MIN_CALLS
            && self.error_rate >= options.error_rate
            && pool_error_rate < self.error_rate / 2.0
    }

    /// Ejects the target, or prolongs the ejection after a failed probe.
    pub fn eject(&mut self, options: &HealthOptions, jitter: f64, now: Instant) {
        let recently_restored = self.restored_at.is_some_and(|at| {
            now.saturating_duration_since(at) < options.max_probe.max(self.probe_interval * 2)
        });
        let repeated = self.is_ejected() || recently_restored;
        self.probe_interval = if repeated && !self.probe_interval.is_zero() {
            (self.probe_interval * 2).min(options.max_probe)
        } else {
            options.first_probe
        };
        let wait = self.probe_interval.mul_f64(jitter);
        self.state = HealthState::Ejected { probe_at: now + wait, probing: false };
    }

    /// Returns the target to service; earlier observations no longer count.
    pub fn restore(&mut self, now: Instant) {
        let probe_interval = self.probe_interval;
        let waiting = std::mem::take(&mut self.waiting);
        *self = Self { probe_interval, restored_at: Some(now), waiting, ..Self::default() };
    }

    /// Ends a probe without a verdict.
    pub fn abandon_probe(&mut self) {
        if let HealthState::Ejected { probing, .. } = &mut self.state {
            *probing = false;
        }
    }
}

impl Waiting {
    fn ratio(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.since);
        age.as_secs_f64() / self.usual.as_secs_f64().max(1e-6)
    }
}
