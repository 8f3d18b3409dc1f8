//! Exponential backoff with full jitter.

use std::time::Duration;

use rand::RngExt;

/// Waiting times between tries.
///
/// Each time is drawn evenly from zero to a limit that doubles, so that the many nodes that saw the
/// same outage do not come back at the same moment.
#[derive(Debug, Clone)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    limit: Duration,
}

impl Backoff {
    /// Returns a backoff whose limit grows from `initial` to `max`.
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self { initial, max, limit: initial }
    }

    /// Returns the time to wait before the next try.
    pub fn next_wait(&mut self) -> Duration {
        let wait = self.limit.mul_f64(rand::rng().random_range(0.0..1.0));
        self.limit = (self.limit * 2).min(self.max);
        wait
    }

    /// Starts again from the initial limit, after a success.
    pub fn reset(&mut self) {
        self.limit = self.initial;
    }
}
