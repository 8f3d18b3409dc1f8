//! Estimates of hold times and refused demand from recent calls.

use std::time::{Duration, Instant};

use deck_core::priority::Priority;

/// Weight of the newest call in the exponential moving averages.
const SMOOTHING_FACTOR: f64 = 0.05;
/// Time constant of the exponential decay of refused demand.
const REFUSAL_DECAY_TIME: Duration = Duration::from_secs(1);
/// Hold time that is assumed until a call has ended.
const DEFAULT_HOLD_TIME: Duration = Duration::from_millis(500);

/// Moving averages of the time that calls of one priority hold a slot; `None` until a call has ended.
#[derive(Debug, Default, Clone, Copy)]
struct MeanHoldTime {
    seconds_per_call: Option<f64>,
    /// Hold time divided by the expected tokens of the call.
    seconds_per_token: Option<f64>,
}

/// Mean hold times of the calls of a pool, by priority.
#[derive(Debug, Default, Clone)]
pub(crate) struct HoldTimes([MeanHoldTime; 3]);

impl HoldTimes {
    /// Records how long a finished call held its slot.
    pub fn record(&mut self, priority: Priority, cost_tokens: u64, hold_time: Duration) {
        let mean_hold_time = &mut self.0[priority as usize];
        let hold_time = hold_time.as_secs_f64();
        update_mean(&mut mean_hold_time.seconds_per_call, hold_time);
        update_mean(&mut mean_hold_time.seconds_per_token, hold_time / cost_tokens.max(1) as f64);
    }

    /// Returns the mean hold time of a priority.
    pub fn mean(&self, priority: Priority) -> Duration {
        self.0[priority as usize]
            .seconds_per_call
            .map_or(DEFAULT_HOLD_TIME, Duration::from_secs_f64)
    }

    /// Returns the expected run time of a call, or zero until a call of this priority has ended.
    pub fn expected_run_time(&self, priority: Priority, cost_tokens: u64) -> Duration {
        let seconds_per_token = self.0[priority as usize].seconds_per_token.unwrap_or(0.0);
        Duration::try_from_secs_f64(seconds_per_token * cost_tokens as f64).unwrap_or(Duration::MAX)
    }
}

/// Updates an exponential moving average, which starts at its first sample.
fn update_mean(mean: &mut Option<f64>, sample: f64) {
    let previous = mean.unwrap_or(sample);
    *mean = Some(previous + (sample - previous) * SMOOTHING_FACTOR);
}

/// Number of slots that recently refused calls would have used, as an exponentially decaying sum.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct RefusedDemand {
    /// Number of slots at `updated_at`; decays from then on.
    slots_at_update: f64,
    updated_at: Option<Instant>,
}

impl RefusedDemand {
    /// Adds a refused call that would have held a slot for `hold_time`. By Little's law, the rate of
    /// refused calls times their hold time is the number of slots that they would have used.
    pub fn add(&mut self, hold_time: Duration, now: Instant) {
        self.slots_at_update =
            self.slots(now) + hold_time.as_secs_f64() / REFUSAL_DECAY_TIME.as_secs_f64();
        self.updated_at = Some(now);
    }

    /// Returns the number of slots that refused calls would use now.
    pub fn slots(&self, now: Instant) -> f64 {
        let Some(at) = self.updated_at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.slots_at_update * (-age / REFUSAL_DECAY_TIME.as_secs_f64()).exp()
    }
}
