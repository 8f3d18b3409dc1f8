//! Prediction of a sample's length from earlier samples of its prompt.

/// Weight of the newest sample in a moving mean.
const NEWEST_WEIGHT: f64 = 0.25;

/// Moving means of the tokens of finished samples, one for each prompt.
#[derive(Debug, Clone, Default)]
pub struct LengthModel {
    mean_tokens: Vec<Option<f64>>,
    recorded: u64,
}

impl LengthModel {
    /// Returns a model for a job with `prompts` prompts.
    pub fn new(prompts: usize) -> Self {
        Self { mean_tokens: vec![None; prompts], recorded: 0 }
    }

    /// Takes note of a finished sample.
    pub fn record(&mut self, prompt: usize, tokens: u32) {
        let Some(mean) = self.mean_tokens.get_mut(prompt) else { return };
        let tokens = f64::from(tokens);
        *mean = Some(mean.map_or(tokens, |mean| mean + (tokens - mean) * NEWEST_WEIGHT));
        self.recorded += 1;
    }

    /// Returns the number of samples recorded.
    pub fn recorded(&self) -> u64 {
        self.recorded
    }

    /// Returns the expected tokens; `None` before the first sample of the prompt has finished.
    ///
    /// Callers start unknown prompts first: starting a short sample early costs little, starting a
    /// long one late stalls the step.
    pub fn predict(&self, prompt: usize) -> Option<f64> {
        self.mean_tokens.get(prompt).copied().flatten()
    }
}
