//! Token bucket.

use std::time::{Duration, Instant};

/// Bucket that holds up to one second's worth of tokens, at least one.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    per_s: f64,
    /// Invariant: at most the burst; below 0 only after an overdraft.
    tokens: f64,
    updated: Instant,
    /// Time for which the next refusal asks its caller to come back.
    next_return: Instant,
}

/// Longest time for which a refusal asks its caller to stay away.
const MAX_WAIT: Duration = Duration::from_secs(10);

impl TokenBucket {
    /// Returns a full bucket that gains `per_s` tokens per second.
    pub fn new(per_s: f64, now: Instant) -> Self {
        let per_s = per_s.max(0.001);
        Self { per_s, tokens: per_s.max(1.0), updated: now, next_return: now }
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// Returns the time after which to come back if there is none. Several refusals get times that
    /// are one token apart: if all of them named the next token, all but one would come in vain.
    pub fn try_take(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let next_token = Duration::from_secs_f64((1.0 - self.tokens) / self.per_s);
        let at = self.next_return.max(now + next_token).min(now + MAX_WAIT.max(next_token));
        self.next_return = at + Duration::from_secs_f64(1.0 / self.per_s);
        Err(at.saturating_duration_since(now))
    }

    /// Takes `count` tokens if there is at least one; returns whether there was. What is missing is
    /// owed: no further token is taken until it has been gained.
    pub fn try_overdraw(&mut self, count: f64, now: Instant) -> bool {
        self.refill(now);
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= count;
        }
        taken
    }

    fn refill(&mut self, now: Instant) {
        let gained = now.saturating_duration_since(self.updated).as_secs_f64() * self.per_s;
        self.tokens = (self.tokens + gained).min(self.per_s.max(1.0));
        self.updated = now;
    }
}
