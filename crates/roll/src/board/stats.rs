//! Counters of a board.

use deck_core::id::WeightVersion;

use super::group::Group;

/// Counters since this VM took the job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BoardStats {
    /// Samples that the trainer confirmed to hold.
    pub delivered_samples: u64,
    /// Their tokens.
    pub delivered_tokens: u64,
    /// Starts of samples, repeats included.
    pub started_samples: u64,
    /// Samples that started again because they were stale.
    pub regenerated_samples: u64,
    /// Tokens generated for nothing.
    pub thrown_away_tokens: u64,
    /// Tokens that engines reported.
    pub generated_tokens: u64,
    /// Samples sent to the trainer, a sample sent again included.
    pub handed_over_samples: u64,
    /// Sum of their staleness in versions.
    pub staleness_sum_versions: u64,
    /// Largest staleness of a sample at hand-over.
    pub staleness_max_versions: u64,
}

impl BoardStats {
    /// Returns the mean staleness of the samples sent.
    pub fn mean_staleness_versions(&self) -> f64 {
        self.staleness_sum_versions as f64 / self.handed_over_samples.max(1) as f64
    }

    /// Returns the part of the started samples that were regenerations.
    pub fn regenerated_share(&self) -> f64 {
        self.regenerated_samples as f64 / self.started_samples.max(1) as f64
    }

    /// Returns the part of the generated tokens that were thrown away.
    pub fn thrown_away_share(&self) -> f64 {
        self.thrown_away_tokens as f64 / self.generated_tokens.max(1) as f64
    }

    pub(super) fn confirm(&mut self, group: &Group) {
        self.delivered_samples += group.done().count() as u64;
        self.delivered_tokens += group.done().map(|text| u64::from(text.token_count)).sum::<u64>();
    }

    pub(super) fn note_staleness(&mut self, trainer: WeightVersion, group: &Group) {
        for text in group.done() {
            let oldest = text.oldest_version().unwrap_or(trainer);
            let behind = trainer.saturating_sub(oldest);
            self.handed_over_samples += 1;
            self.staleness_sum_versions += behind;
            self.staleness_max_versions = self.staleness_max_versions.max(behind);
        }
    }
}
