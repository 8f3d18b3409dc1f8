//! Exponential backoff with full jitter.

use std::time::Duration;

use rand::RngExt;

/// Delays between retries, with exponential backoff and full jitter.
///
/// Each delay is drawn uniformly between zero and a limit that doubles with every retry, so that
/// nodes that were hit by the same outage do not all retry at the same moment.
#[derive(Debug, Clone)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    /// Upper bound of the next delay.
    current_limit: Duration,
}

impl Backoff {
    /// Returns a backoff whose limit grows from `initial` to `max`.
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self { initial, max, current_limit: initial }
    }

    /// Returns the delay before the next retry and doubles the limit.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.current_limit.mul_f64(rand::rng().random_range(0.0..1.0));
        self.current_limit = (self.current_limit * 2).min(self.max);
        delay
    }

    /// Resets the limit to its initial value; call it after a success.
    pub fn reset(&mut self) {
        self.current_limit = self.initial;
    }
}
