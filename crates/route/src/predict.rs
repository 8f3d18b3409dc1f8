//! Prediction of generation lengths from earlier calls.

use std::collections::HashMap;

use deck_core::hash::hash64;

/// Properties of a call from which its generation length is predicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallFeatures<'a> {
    /// Model that generates the response; lengths differ between models.
    pub model: &'a str,
    /// Organisation that sends the call.
    pub organisation: &'a str,
    /// Prompt; only its first `prefix_bytes` bytes are used.
    pub prompt: &'a str,
    /// Maximum number of tokens to generate, set by the caller.
    pub max_tokens: u64,
}

/// Options of a [`LengthPredictor`].
#[derive(Debug, Clone, Copy)]
pub struct PredictorOptions {
    /// Number of bytes at the start of a prompt that are compared: calls that agree in them form a group.
    pub prefix_bytes: usize,
    /// Upper bound of the number of stored averages.
    pub max_entries: usize,
    /// Weight of the newest call in the moving average.
    pub ewma_weight: f64,
}

impl Default for PredictorOptions {
    fn default() -> Self {
        Self { prefix_bytes: 256, max_entries: 8192, ewma_weight: 0.1 }
    }
}

/// Predicts the number of generated tokens of a call from earlier calls with the same prompt
/// prefix, falling back to calls of the same organisation and of the same model.
///
/// Averages are kept in two generations, at most `max_entries` in total. When `recent` holds half
/// of them it replaces `previous`, so averages that were not updated meanwhile are dropped.
#[derive(Debug, Default)]
pub struct LengthPredictor {
    options: PredictorOptions,
    /// Averages that were updated since the last replacement, by the hash of their group.
    recent: HashMap<u64, MeanLength>,
    /// Averages that were last updated before it.
    previous: HashMap<u64, MeanLength>,
}

/// Moving average of the generation length of a group of calls.
#[derive(Debug, Clone, Copy, Default)]
struct MeanLength {
    tokens: f64,
    calls: u32,
}

/// Number of calls of a group at which its own average and that of the next broader group have
/// equal weight.
const PRIOR_CALLS: f64 = 2.0;

impl LengthPredictor {
    /// Returns a predictor without any recorded calls.
    pub fn new(options: PredictorOptions) -> Self {
        Self { options, ..Self::default() }
    }

    /// Returns the predicted number of generated tokens, between 1 and `max_tokens`.
    pub fn predict(&self, call: &CallFeatures<'_>) -> u64 {
        let max_tokens = call.max_tokens.max(1);
        let mut estimate = None;
        for key in self.group_keys(call) {
            let Some(mean) = self.recent.get(&key).or_else(|| self.previous.get(&key)) else {
                continue;
            };
            let group_weight = f64::from(mean.calls) / (f64::from(mean.calls) + PRIOR_CALLS);
            let broader_estimate = estimate.unwrap_or(mean.tokens);
            estimate = Some(broader_estimate + (mean.tokens - broader_estimate) * group_weight);
        }
        // Without earlier calls only `max_tokens` is known. Half of it is a better estimate, since
        // many callers always send the largest allowed value.
        estimate.map_or(max_tokens.div_ceil(2), |tokens| tokens.round() as u64).clamp(1, max_tokens)
    }

    /// Records the number of tokens that a completed call generated.
    pub fn record(&mut self, call: &CallFeatures<'_>, tokens: u64) {
        for key in self.group_keys(call) {
            self.update(key, tokens as f64);
        }
    }

    fn update(&mut self, key: u64, tokens: f64) {
        if self.recent.len() >= self.options.max_entries / 2 {
            self.previous = std::mem::take(&mut self.recent);
        }
        let previous_mean = self.previous.remove(&key).unwrap_or_default();
        let mean = self.recent.entry(key).or_insert(previous_mean);
        mean.calls = mean.calls.saturating_add(1);
        let weight = self.options.ewma_weight.max(1.0 / f64::from(mean.calls));
        mean.tokens += (tokens - mean.tokens) * weight;
    }

    /// Returns the hash keys of the call's groups, from broad to narrow: model, organisation,
    /// prompt prefix.
    fn group_keys(&self, call: &CallFeatures<'_>) -> [u64; 3] {
        let prompt = call.prompt.as_bytes();
        let prefix = &prompt[..prompt.len().min(self.options.prefix_bytes)];
        let model = hash64(call.model.as_bytes());
        let organisation = hash64(call.organisation.as_bytes()) ^ model.rotate_left(1);
        [model, organisation, hash64(prefix) ^ organisation.rotate_left(1)]
    }
}
