//! Counters of one rollout job.

use deck_core::id::WeightVersion;

use super::group::Group;

/// Counters since this VM acquired the job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SchedulerStats {
    /// Samples in groups that the trainer confirmed to have received.
    pub delivered_samples: u64,
    /// Tokens of the delivered samples.
    pub delivered_tokens: u64,
    /// Sample starts, including retries.
    pub started_samples: u64,
    /// Samples restarted because their text was stale.
    pub regenerated_samples: u64,
    /// Tokens that were generated and then discarded.
    pub discarded_tokens: u64,
    /// Tokens received from engines.
    pub generated_tokens: u64,
    /// Samples sent to the trainer; resent samples count again.
    pub sent_samples: u64,
    /// Sum of the staleness of all sent samples, in weight versions.
    pub staleness_sum_versions: u64,
    /// Largest staleness of a sent sample, in weight versions.
    pub staleness_max_versions: u64,
}

impl SchedulerStats {
    /// Returns the mean staleness of the sent samples in weight versions.
    pub fn mean_staleness_versions(&self) -> f64 {
        self.staleness_sum_versions as f64 / self.sent_samples.max(1) as f64
    }

    /// Returns the ratio of regenerated samples to sample starts.
    pub fn regenerated_share(&self) -> f64 {
        self.regenerated_samples as f64 / self.started_samples.max(1) as f64
    }

    /// Returns the ratio of discarded tokens to generated tokens.
    pub fn discarded_share(&self) -> f64 {
        self.discarded_tokens as f64 / self.generated_tokens.max(1) as f64
    }

    /// Counts the samples and tokens of a group that the trainer confirmed.
    pub(super) fn record_delivered(&mut self, group: &Group) {
        self.delivered_samples += group.finished_texts().count() as u64;
        self.delivered_tokens +=
            group.finished_texts().map(|text| u64::from(text.token_count)).sum::<u64>();
    }

    /// Records the staleness of the samples of a group sent to a trainer with `trainer_version`.
    pub(super) fn record_staleness(&mut self, trainer_version: WeightVersion, group: &Group) {
        for text in group.finished_texts() {
            let oldest = text.oldest_version().unwrap_or(trainer_version);
            let staleness = trainer_version.saturating_sub(oldest);
            self.sent_samples += 1;
            self.staleness_sum_versions += staleness;
            self.staleness_max_versions = self.staleness_max_versions.max(staleness);
        }
    }
}
