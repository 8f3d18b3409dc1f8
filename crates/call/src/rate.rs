//! Token bucket.

use std::time::{Duration, Instant};

/// Bucket that holds up to one second's worth of tokens, at least one.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    per_s: f64,
    /// Invariant: between 0 and the burst.
    tokens: f64,
    updated: Instant,
}

impl TokenBucket {
    /// Returns a full bucket that gains `per_s` tokens per second.
    pub fn new(per_s: f64, now: Instant) -> Self {
        let per_s = per_s.max(0.001);
        Self { per_s, tokens: per_s.max(1.0), updated: now }
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token if there is none.
    pub fn try_take(&mut self, now: Instant) -> Result<(), Duration> {
        let gained = now.saturating_duration_since(self.updated).as_secs_f64() * self.per_s;
        self.tokens = (self.tokens + gained).min(self.per_s.max(1.0));
        self.updated = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            Ok(())
        } else {
            Err(Duration::from_secs_f64((1.0 - self.tokens) / self.per_s))
        }
    }
}
