//! Adaptive limit on the concurrent generations of a job, based on the pool's responses.

use std::time::{Duration, Instant};

/// Settings of the concurrency limiter.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimiterOptions {
    /// Initial limit on concurrent generations.
    pub initial_limit: u32,
    /// Largest limit on concurrent generations.
    pub max_limit: u32,
    /// Minimum time between two decreases of the limit, so that a burst of refusals counts once.
    pub min_decrease_interval: Duration,
}

impl Default for ConcurrencyLimiterOptions {
    fn default() -> Self {
        Self {
            initial_limit: 32,
            max_limit: 512,
            min_decrease_interval: Duration::from_millis(500),
        }
    }
}

/// AIMD concurrency limiter: additive increase on success, multiplicative decrease on refusal, and
/// faster growth until the first refusal.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimiter {
    options: ConcurrencyLimiterOptions,
    /// Current limit. Invariant: between 1 and `options.max_limit`.
    limit: f64,
    running: u32,
    /// No generation starts before this time, which the last refusals set.
    start_not_before: Option<Instant>,
    /// Time at which the limit was last decreased.
    last_decrease_at: Option<Instant>,
    /// True until the first refusal; the limit grows faster during this phase.
    slow_start: bool,
}

impl ConcurrencyLimiter {
    /// Creates a limiter with the initial limit from `options`.
    pub fn new(options: ConcurrencyLimiterOptions) -> Self {
        let limit = f64::from(options.initial_limit.clamp(1, options.max_limit.max(1)));
        Self {
            options,
            limit,
            running: 0,
            start_not_before: None,
            last_decrease_at: None,
            slow_start: true,
        }
    }

    /// Returns whether another generation may start at `now`.
    pub fn can_start(&self, now: Instant) -> bool {
        self.start_not_before.is_none_or(|at| now >= at)
            && f64::from(self.running) + 1.0 <= self.limit
    }

    /// Returns the number of generations in flight.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the current limit on concurrent generations.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Records the start of a generation.
    pub fn record_start(&mut self) {
        self.running += 1;
    }

    /// Records the end of a generation, whatever its outcome.
    pub fn record_end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Records a generation that the pool accepted. The limit grows only if at least half of it is
    /// in use.
    ///
    /// Before the first refusal the limit grows by one per accepted generation; afterwards by about
    /// one per `limit` accepted generations.
    pub fn record_accepted(&mut self) {
        if f64::from(self.running) * 2.0 >= self.limit {
            let growth = if self.slow_start { 1.0 } else { 1.0 / self.limit };
            self.limit = (self.limit + growth).min(f64::from(self.options.max_limit));
        }
    }

    /// Records a refusal. No generation starts until `retry_after` has passed.
    pub fn record_refused(&mut self, retry_after: Duration, now: Instant) {
        self.slow_start = false;
        let until = now + retry_after;
        self.start_not_before = Some(self.start_not_before.map_or(until, |at| at.max(until)));
        let is_decrease_due =
            |at: Instant| now.saturating_duration_since(at) >= self.options.min_decrease_interval;
        if self.last_decrease_at.is_none_or(is_decrease_due) {
            self.limit = (self.limit * 0.7).max(1.0);
            self.last_decrease_at = Some(now);
        }
    }
}
