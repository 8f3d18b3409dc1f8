//! Bound on the concurrent generations of a job, adapted to the pool's answers.

use std::time::{Duration, Instant};

/// Settings of a window.
#[derive(Debug, Clone)]
pub struct WindowOptions {
    /// Concurrent generations at the start.
    pub initial: u32,
    /// Upper bound.
    pub max: u32,
    /// Shortest time between two reductions: refusals of one burst count once.
    pub reduce_interval: Duration,
}

impl Default for WindowOptions {
    fn default() -> Self {
        Self { initial: 32, max: 512, reduce_interval: Duration::from_millis(500) }
    }
}

/// Additive increase on success, multiplicative decrease on refusal, fast growth at the start.
#[derive(Debug, Clone)]
pub struct Window {
    options: WindowOptions,
    /// Invariant: 1 to `options.max`.
    limit: f64,
    running: u32,
    not_before: Option<Instant>,
    reduced_at: Option<Instant>,
    /// Whether the pool has refused nothing yet.
    unrefused: bool,
}

impl Window {
    /// Returns a window.
    pub fn new(options: WindowOptions) -> Self {
        let limit = f64::from(options.initial.clamp(1, options.max.max(1)));
        Self { options, limit, running: 0, not_before: None, reduced_at: None, unrefused: true }
    }

    /// Returns whether one more generation may start.
    pub fn has_room(&self, now: Instant) -> bool {
        self.not_before.is_none_or(|at| now >= at) && f64::from(self.running) + 1.0 <= self.limit
    }

    /// Returns the generations in flight.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the current bound.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Takes note of a start.
    pub fn start(&mut self) {
        self.running += 1;
    }

    /// Takes note of an end, whatever its outcome.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Takes note of a generation that the pool took. Grows only if the window was in use.
    ///
    /// Until the first refusal it grows by one for each generation, afterwards by one for each
    /// window of them.
    pub fn accepted(&mut self) {
        if f64::from(self.running) * 2.0 >= self.limit {
            let growth = if self.unrefused { 1.0 } else { 1.0 / self.limit };
            self.limit = (self.limit + growth).min(f64::from(self.options.max));
        }
    }

    /// Takes note of a refusal with the time after which the pool wants to be asked again.
    pub fn refused(&mut self, retry_after: Duration, now: Instant) {
        self.unrefused = false;
        let until = now + retry_after;
        self.not_before = Some(self.not_before.map_or(until, |at| at.max(until)));
        let due = |at: Instant| now.saturating_duration_since(at) >= self.options.reduce_interval;
        if self.reduced_at.is_none_or(due) {
            self.limit = (self.limit * 0.7).max(1.0);
            self.reduced_at = Some(now);
        }
    }
}
