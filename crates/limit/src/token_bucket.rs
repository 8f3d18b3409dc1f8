//! Token bucket that limits a rate.

use std::time::{Duration, Instant};

/// Token bucket that holds at most the tokens of a given time, but always room for one token.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Rate at which the bucket gains tokens.
    tokens_per_s: f64,
    /// Time whose tokens the bucket holds, in seconds.
    depth_s: f64,
    /// Available tokens. Invariant: at most the tokens of `depth_s`, or one if that is more; negative
    /// only after [`try_take_with_debt`](Self::try_take_with_debt).
    tokens: f64,
    /// Time at which `tokens` was computed.
    updated_at: Instant,
    /// Earliest time at which the next refused caller is to retry.
    next_retry_at: Instant,
}

/// Maximum wait that a refusal returns, unless the next token becomes available only later.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(10);

impl TokenBucket {
    /// Returns a full bucket that gains `tokens_per_s` tokens per second and holds those of one
    /// second.
    pub fn new(tokens_per_s: f64, now: Instant) -> Self {
        Self::with_depth(tokens_per_s, Duration::from_secs(1), now)
    }

    /// Returns a full bucket that gains `tokens_per_s` tokens per second and holds those of `depth`.
    pub fn with_depth(tokens_per_s: f64, depth: Duration, now: Instant) -> Self {
        let (tokens_per_s, depth_s) = (tokens_per_s.max(0.001), depth.as_secs_f64());
        let tokens = (tokens_per_s * depth_s).max(1.0);
        Self { tokens_per_s, depth_s, tokens, updated_at: now, next_retry_at: now }
    }

    /// Changes the rate at which the bucket gains tokens; keeps the tokens that fit.
    pub fn set_rate(&mut self, tokens_per_s: f64, now: Instant) {
        self.refill(now);
        self.tokens_per_s = tokens_per_s.max(0.001);
        self.tokens = self.tokens.min(self.max_tokens());
    }

    fn max_tokens(&self) -> f64 {
        (self.tokens_per_s * self.depth_s).max(1.0)
    }

    /// Returns the number of tokens that can be taken now.
    pub fn available(&mut self, now: Instant) -> u32 {
        self.refill(now);
        self.tokens.max(0.0) as u32
    }

    /// Returns the time until a token can be taken; zero if one is available.
    pub fn time_until_available(&mut self, now: Instant) -> Duration {
        self.refill(now);
        if self.tokens >= 1.0 {
            return Duration::ZERO;
        }
        // A wait that rounds to zero would read as an available token.
        Duration::from_secs_f64((1.0 - self.tokens) / self.tokens_per_s)
            .max(Duration::from_nanos(1))
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// Returns the wait before a retry if there is no token. Successive refusals get waits that are one
    /// token apart, because only one of the callers would get the next token.
    pub fn try_take(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let until_next_token = Duration::from_secs_f64((1.0 - self.tokens) / self.tokens_per_s);
        let retry_at = self
            .next_retry_at
            .max(now + until_next_token)
            .min(now + MAX_RETRY_WAIT.max(until_next_token));
        self.next_retry_at = retry_at + Duration::from_secs_f64(1.0 / self.tokens_per_s);
        Err(retry_at.saturating_duration_since(now))
    }

    /// Takes `count` tokens if at least one is available; returns whether one was. The balance may become
    /// negative; no further token is available until it has recovered.
    pub fn try_take_with_debt(&mut self, count: f64, now: Instant) -> bool {
        self.refill(now);
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= count;
        }
        is_available
    }

    /// Adds the tokens gained since the last update.
    fn refill(&mut self, now: Instant) {
        let gained_tokens =
            now.saturating_duration_since(self.updated_at).as_secs_f64() * self.tokens_per_s;
        self.tokens = (self.tokens + gained_tokens).min(self.max_tokens());
        self.updated_at = now;
    }
}
