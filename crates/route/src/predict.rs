//! Prediction of the length of a call from earlier calls.

use std::collections::HashMap;

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

/// Estimates the generated tokens of a call.
#[derive(Debug, Default)]
pub struct LengthPredictor {
    means: HashMap<String, f64>,
}

impl LengthPredictor {
    /// Returns the expected number of tokens.
    pub fn predict(&self, shape: &CallShape<'_>) -> u64 {
        let mean = self.means.get(shape.model).copied();
        mean.map_or(shape.max_tokens, |mean| mean as u64).clamp(1, shape.max_tokens.max(1))
    }

    /// Takes note of the tokens that a call generated.
    pub fn record(&mut self, shape: &CallShape<'_>, tokens: u64) {
        let mean = self.means.entry(shape.model.to_owned()).or_insert(tokens as f64);
        *mean += (tokens as f64 - *mean) * 0.1;
    }
}
