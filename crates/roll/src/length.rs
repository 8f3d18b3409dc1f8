//! Prediction of a sample's length from earlier samples of the same prompt.

/// Weight of the newest sample in the exponential moving average.
const SMOOTHING_FACTOR: f64 = 0.25;

/// Exponential moving average of the token counts of finished samples, per prompt.
#[derive(Debug, Clone, Default)]
pub struct LengthPredictor {
    mean_tokens: Vec<Option<f64>>,
    recorded_samples: u64,
}

impl LengthPredictor {
    /// Creates a predictor of sample lengths for a job with `prompt_count` prompts.
    pub fn new(prompt_count: usize) -> Self {
        Self { mean_tokens: vec![None; prompt_count], recorded_samples: 0 }
    }

    /// Records the length of a finished sample.
    pub fn record_length(&mut self, prompt_index: usize, tokens: u32) {
        let Some(mean) = self.mean_tokens.get_mut(prompt_index) else { return };
        let tokens = f64::from(tokens);
        *mean = Some(mean.map_or(tokens, |mean| mean + (tokens - mean) * SMOOTHING_FACTOR));
        self.recorded_samples += 1;
    }

    /// Returns the number of recorded samples.
    pub fn recorded_samples(&self) -> u64 {
        self.recorded_samples
    }

    /// Returns the predicted length in tokens; `None` until a sample of the prompt has finished.
    ///
    /// Callers start prompts without a prediction first: starting a short sample early costs
    /// little, but starting a long one late delays the whole step.
    pub fn predict(&self, prompt_index: usize) -> Option<f64> {
        self.mean_tokens.get(prompt_index).copied().flatten()
    }
}
