//! Outlier detection and ejection state of one target, as observed by one VM.

use std::{collections::BTreeMap, time::Duration, time::Instant};

use crate::{HealthOptions, Outcome};

/// Whether a target is in rotation or ejected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HealthState {
    /// The target receives calls.
    Healthy,
    /// The target receives no calls apart from health probes.
    Ejected {
        /// Earliest time of the next probe.
        probe_at: Instant,
        /// Whether a probe is in flight. Invariant: at most one.
        probe_in_flight: bool,
    },
}

/// Health observations of one target.
#[derive(Debug)]
pub(crate) struct TargetHealth {
    pub state: HealthState,
    /// Delay between an ejection and the next probe; doubles with each failed probe.
    probe_interval: Duration,
    /// When the target last returned from ejection. An ejection soon afterwards continues the
    /// backoff of the probe interval instead of restarting it.
    restored_at: Option<Instant>,
    /// Moving average of latencies, each relative to the pool's running median.
    mean_latency_ratio: f64,
    /// Number of slow responses since the last response that was not slow.
    consecutive_slow_responses: u32,
    /// Time of the last sample in `mean_latency_ratio`.
    last_latency_at: Option<Instant>,
    /// Number of failures since the last success; a broken connection counts as two.
    consecutive_failures: u32,
    /// Moving average of the fraction of failed calls.
    error_rate: f64,
    /// Number of calls counted in `error_rate`.
    recorded_calls: u32,
    /// Calls that have not received their first byte, by call number.
    pending_calls: BTreeMap<u64, PendingCall>,
}

/// Call that has not received its first byte.
#[derive(Debug, Clone, Copy)]
struct PendingCall {
    started_at: Instant,
    /// The pool's running median of the time to the first byte when the call started.
    typical_latency: Duration,
}

/// Weight of the newest sample in the moving averages; the last five samples dominate.
const EWMA_WEIGHT: f64 = 0.25;
/// Upper bound of a latency ratio in the moving average, so that one outlier does not dominate it.
const MAX_LATENCY_RATIO: f64 = 10.0;
/// Minimum number of calls before the error rate can eject a target.
const MIN_ERROR_RATE_CALLS: u32 = 10;
/// Number of overdue calls without a first byte from which a target counts as stalled and is ejected.
const MIN_STALLED_CALLS: usize = 2;

impl Default for TargetHealth {
    fn default() -> Self {
        Self {
            state: HealthState::Healthy,
            probe_interval: Duration::ZERO,
            restored_at: None,
            mean_latency_ratio: 1.0,
            consecutive_slow_responses: 0,
            last_latency_at: None,
            consecutive_failures: 0,
            error_rate: 0.0,
            recorded_calls: 0,
            pending_calls: BTreeMap::new(),
        }
    }
}

impl TargetHealth {
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, HealthState::Ejected { .. })
    }

    /// Returns the fraction of recent calls that failed, as a moving average.
    pub fn error_rate(&self) -> f64 {
        self.error_rate
    }

    /// Returns how long a probe has been due, or `None` if none is due.
    pub fn probe_overdue(&self, now: Instant) -> Option<Duration> {
        match self.state {
            HealthState::Ejected { probe_at, probe_in_flight: false } => {
                now.checked_duration_since(probe_at)
            }
            _ => None,
        }
    }

    /// Marks a probe as in flight. If the probe is cancelled, the next one is due after the same
    /// interval.
    pub fn start_probe(&mut self, now: Instant) {
        if self.is_ejected() {
            let probe_at = now + self.probe_interval;
            self.state = HealthState::Ejected { probe_at, probe_in_flight: true };
        }
    }

    /// Adds a call that waits for its first byte.
    pub fn add_pending_call(&mut self, call_number: u64, typical_latency: Duration, now: Instant) {
        self.pending_calls.insert(call_number, PendingCall { started_at: now, typical_latency });
    }

    pub fn remove_pending_call(&mut self, call_number: u64) {
        self.pending_calls.remove(&call_number);
    }

    /// Records a latency relative to the pool's running median.
    pub fn record_latency_ratio(&mut self, ratio: f64, slow_limit: f64, now: Instant) {
        self.mean_latency_ratio +=
            (ratio.min(MAX_LATENCY_RATIO) - self.mean_latency_ratio) * EWMA_WEIGHT;
        self.consecutive_slow_responses =
            if ratio > slow_limit { self.consecutive_slow_responses + 1 } else { 0 };
        self.last_latency_at = Some(now);
    }

    /// Records the outcome of a call in the failure count and the error rate.
    pub fn record_outcome(&mut self, outcome: Outcome) {
        let failure_weight = match outcome {
            Outcome::Ok => 0,
            // A refusing target is healthy: it is full or leaving.
            Outcome::Refused | Outcome::Leaving => return,
            Outcome::Failed | Outcome::TimedOut => 1,
            Outcome::Crashed => 2,
        };
        self.recorded_calls = self.recorded_calls.saturating_add(1);
        self.consecutive_failures =
            if failure_weight == 0 { 0 } else { self.consecutive_failures + failure_weight };
        let failed = f64::from(u8::from(failure_weight > 0));
        self.error_rate += (failed - self.error_rate) * (EWMA_WEIGHT / 2.0);
    }

    /// Returns the average latency relative to the pool's running median, or `None` without recent
    /// responses.
    pub fn mean_latency_ratio(&self, options: &HealthOptions, now: Instant) -> Option<f64> {
        let last_latency_at = self.last_latency_at?;
        (now.saturating_duration_since(last_latency_at) < options.latency_max_age)
            .then_some(self.mean_latency_ratio)
    }

    /// Returns the age of the oldest call without a first byte, relative to the pool's running
    /// median of the time to the first byte; 0 if there is none.
    pub fn oldest_pending_call_ratio(&self, now: Instant) -> f64 {
        self.pending_calls.values().next().map_or(0.0, |call| call.age_ratio(now))
    }

    /// Returns a score if the target should be ejected, or `None` if it is healthy. The higher the
    /// score, the earlier the target is ejected. It is the target's latency relative to the pool's
    /// median, or infinity for failures.
    pub fn outlier_score(
        &self,
        options: &HealthOptions,
        median_latency_ratio: f64,
        pool_error_rate: f64,
        now: Instant,
    ) -> Option<f64> {
        if self.consecutive_failures >= options.ejection_failures
            || self.has_outlier_errors(options, pool_error_rate)
        {
            return Some(f64::INFINITY);
        }
        let slow_limit = options.slow_latency_factor * median_latency_ratio;
        let is_overdue = |call: &&PendingCall| {
            call.age_ratio(now) > slow_limit
                && now.duration_since(call.started_at) > options.min_slow_latency
        };
        let stalled_calls =
            self.pending_calls.values().filter(is_overdue).take(MIN_STALLED_CALLS).count();
        if stalled_calls == MIN_STALLED_CALLS {
            return Some(self.oldest_pending_call_ratio(now) / median_latency_ratio);
        }
        let mean_latency_ratio = self.mean_latency_ratio(options, now)?;
        let is_slow = mean_latency_ratio > slow_limit
            && self.consecutive_slow_responses >= options.ejection_slow_responses;
        is_slow.then_some(mean_latency_ratio / median_latency_ratio)
    }

    /// Returns whether the target fails much more often than the pool's average.
    fn has_outlier_errors(&self, options: &HealthOptions, pool_error_rate: f64) -> bool {
        self.recorded_calls >= MIN_ERROR_RATE_CALLS
            && self.error_rate >= options.ejection_error_rate
            && pool_error_rate < self.error_rate / 2.0
    }

    /// Ejects the target, or extends its ejection after a failed probe. `jitter` scales the delay
    /// before the next probe.
    pub fn eject(&mut self, options: &HealthOptions, jitter: f64, now: Instant) {
        let recently_restored = self.restored_at.is_some_and(|at| {
            now.saturating_duration_since(at)
                < options.max_probe_interval.max(self.probe_interval * 2)
        });
        let continues_backoff = self.is_ejected() || recently_restored;
        self.probe_interval = if continues_backoff && !self.probe_interval.is_zero() {
            (self.probe_interval * 2).min(options.max_probe_interval)
        } else {
            options.initial_probe_interval
        };
        let delay = self.probe_interval.mul_f64(jitter);
        self.state = HealthState::Ejected { probe_at: now + delay, probe_in_flight: false };
    }

    /// Ends the ejection and resets all observations except pending calls and the probe interval.
    pub fn restore(&mut self, now: Instant) {
        let probe_interval = self.probe_interval;
        let pending_calls = std::mem::take(&mut self.pending_calls);
        *self = Self { probe_interval, restored_at: Some(now), pending_calls, ..Self::default() };
    }

    /// Ends a cancelled probe without changing the ejection.
    pub fn cancel_probe(&mut self) {
        if let HealthState::Ejected { probe_in_flight, .. } = &mut self.state {
            *probe_in_flight = false;
        }
    }
}

impl PendingCall {
    /// Returns the age of the call relative to the typical latency.
    fn age_ratio(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.started_at);
        age.as_secs_f64() / self.typical_latency.as_secs_f64().max(1e-6)
    }
}
