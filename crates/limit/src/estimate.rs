//! Estimates from the calls that have ended.

use std::time::{Duration, Instant};

use deck_core::priority::Priority;

/// Weight of the newest call in the means.
const NEWEST_WEIGHT: f64 = 0.05;
/// Time constant of the rate of refusals.
const REFUSAL_MEMORY: Duration = Duration::from_secs(1);
/// Time for which calls hold a slot as long as none has ended.
const UNKNOWN_HOLD: Duration = Duration::from_millis(500);

/// Mean time for which calls of one priority hold a slot.
#[derive(Debug, Default, Clone, Copy)]
struct Hold {
    mean: Option<f64>,
    per_token: Option<f64>,
}

/// Hold times in a pool, by priority.
#[derive(Debug, Default, Clone)]
pub(crate) struct HoldTimes([Hold; 3]);

impl HoldTimes {
    pub fn record(&mut self, priority: Priority, cost_tokens: u64, held: Duration) {
        let hold = &mut self.0[priority as usize];
        let held = held.as_secs_f64();
        update_mean(&mut hold.mean, held);
        update_mean(&mut hold.per_token, held / cost_tokens.max(1) as f64);
    }

    /// Returns the mean hold time of a priority.
    pub fn mean(&self, priority: Priority) -> Duration {
        self.0[priority as usize].mean.map_or(UNKNOWN_HOLD, Duration::from_secs_f64)
    }

    /// Returns the expected run time of a call; zero as long as nothing is known.
    pub fn expected(&self, priority: Priority, cost_tokens: u64) -> Duration {
        let per_token = self.0[priority as usize].per_token.unwrap_or(0.0);
        Duration::try_from_secs_f64(per_token * cost_tokens as f64).unwrap_or(Duration::MAX)
    }
}

fn update_mean(mean: &mut Option<f64>, sample: f64) {
    let before = mean.unwrap_or(sample);
    *mean = Some(before + (sample - before) * NEWEST_WEIGHT);
}

/// Slot time that refused calls would have used, as a decaying sum.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct RefusedDemand {
    slots: f64,
    at: Option<Instant>,
}

impl RefusedDemand {
    /// Adds a refused call that would have held a slot for `hold`. By Little's law a rate of
    /// refusals times the hold time is the number of slots that they would have used.
    pub fn add(&mut self, hold: Duration, now: Instant) {
        self.slots = self.slots(now) + hold.as_secs_f64() / REFUSAL_MEMORY.as_secs_f64();
        self.at = Some(now);
    }

    /// Returns the slots that refused calls would have used.
    pub fn slots(&self, now: Instant) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.slots * (-age / REFUSAL_MEMORY.as_secs_f64()).exp()
    }
}
