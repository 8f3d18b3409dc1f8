//! Prediction of the length of a call from earlier calls.

use std::collections::HashMap;

use deck_core::hash::hash64;

/// What a prediction is made from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallShape<'a> {
    /// Model.
    pub model: &'a str,
    /// Organisation.
    pub organisation: &'a str,
    /// Prompt; only its first bytes count.
    pub prompt: &'a str,
    /// Upper bound given by the caller, in tokens.
    pub max_tokens: u64,
}

/// Options of a [`LengthPredictor`].
#[derive(Debug, Clone, Copy)]
pub struct PredictorOptions {
    /// Bytes of the prompt that identify similar calls.
    pub prefix_bytes: usize,
    /// Largest number of remembered prefixes and groups of calls.
    pub max_entries: usize,
    /// Weight of the newest call in the mean.
    pub newest_weight: f64,
}

impl Default for PredictorOptions {
    fn default() -> Self {
        Self { prefix_bytes: 256, max_entries: 8192, newest_weight: 0.1 }
    }
}

/// Estimates the generated tokens of a call from earlier calls with the same prompt prefix, falling
/// back to those of the same organisation and of the same model.
///
/// Invariant: holds at most `max_entries` means; the older half is dropped when it is full.
#[derive(Debug, Default)]
pub struct LengthPredictor {
    options: PredictorOptions,
    young: HashMap<u64, Mean>,
    old: HashMap<u64, Mean>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    tokens: f64,
    calls: u32,
}

/// Calls from which a prefix or organisation outweighs the wider group.
const TRUST_CALLS: f64 = 2.0;

impl LengthPredictor {
    /// Returns a predictor that has seen no call.
    pub fn new(options: PredictorOptions) -> Self {
        Self { options, ..Self::default() }
    }

    /// Returns the expected number of tokens: between 1 and the call's upper bound.
    pub fn predict(&self, shape: &CallShape<'_>) -> u64 {
        let max_tokens = shape.max_tokens.max(1);
        let mut estimate = None;
        for key in self.keys(shape) {
            let Some(mean) = self.young.get(&key).or_else(|| self.old.get(&key)) else { continue };
            let trust = f64::from(mean.calls) / (f64::from(mean.calls) + TRUST_CALLS);
            let wider = estimate.unwrap_or(mean.tokens);
            estimate = Some(wider + (mean.tokens - wider) * trust);
        }
        // Without any earlier call the upper bound is the only known length; half of it errs less
        // on calls whose callers always send the largest bound.
        estimate.map_or(max_tokens.div_ceil(2), |tokens| tokens.round() as u64).clamp(1, max_tokens)
    }

    /// Takes note of the tokens that a complete call generated.
    pub fn record(&mut self, shape: &CallShape<'_>, tokens: u64) {
        for key in self.keys(shape) {
            self.update(key, tokens as f64);
        }
    }

    fn update(&mut self, key: u64, tokens: f64) {
        if self.young.len() >= self.options.max_entries / 2 {
            self.old = std::mem::take(&mut self.young);
        }
        let earlier = self.old.remove(&key).unwrap_or_default();
        let mean = self.young.entry(key).or_insert(earlier);
        mean.calls = mean.calls.saturating_add(1);
        let weight = self.options.newest_weight.max(1.0 / f64::from(mean.calls));
        mean.tokens += (tokens - mean.tokens) * weight;
    }

    /// Returns the keys of the call's groups, the widest first.
    fn keys(&self, shape: &CallShape<'_>) -> [u64; 3] {
        let prompt = shape.prompt.as_bytes();
        let prefix = &prompt[..prompt.len().min(self.options.prefix_bytes)];
        let model = hash64(shape.model.as_bytes());
        let organisation = hash64(shape.organisation.as_bytes()) ^ model.rotate_left(1);
        [model, organisation, hash64(prefix) ^ organisation.rotate_left(1)]
    }
}
