//! Status and metrics reporting of an owned job.

use std::rc::Rc;

use deck_plat::StoreError;

use super::OwnedJob;
use crate::{
    scheduler::SchedulerStats,
    status::{JobStatusWriter, OwnedJobStatus, RolloutJobStatus},
};

impl OwnedJob {
    /// Periodically writes the status and records metrics until this VM no longer owns the job.
    pub async fn report(self: Rc<Self>) {
        let mut writer = JobStatusWriter::new(self.dependencies.store.clone(), self.name.clone());
        let mut previous_status_read = false;
        let mut recorded_stats = SchedulerStats::default();
        while !self.ownership_ended.is_cancelled() {
            // The previous owner's status must be read before the first write, or its token usage
            // would be lost.
            let read_result = match previous_status_read {
                true => Ok(()),
                false => writer.read_stored().await.map(|earlier| {
                    previous_status_read = true;
                    if let Some(earlier) = earlier {
                        self.restore_usage(&earlier);
                    }
                }),
            };
            self.record_store_result(match read_result {
                Ok(()) => writer.write(self.status()).await,
                Err(error) => Err(error),
            });
            let stats = self.scheduler.borrow().stats().clone();
            let concurrency_limit = self.concurrency_limiter.borrow().limit();
            self.dependencies.metrics.record_counters(
                &self.metric_labels(),
                &recorded_stats,
                &stats,
                concurrency_limit,
            );
            recorded_stats = stats;
            let wait = monoio::time::sleep(self.dependencies.options.status_interval);
            self.ownership_ended.run_until_cancelled(wait).await;
        }
    }

    fn record_store_result(&self, result: Result<(), StoreError>) {
        let error = result.err().map(|error| error.to_string());
        if let Some(error) = &error {
            log::warn!(target: "roll", "job status not written job={} error={error}", self.name);
        }
        self.store_error.replace(error);
    }

    /// Returns the current status of the job, as it is written to the object API.
    pub fn status(&self) -> RolloutJobStatus {
        let scheduler = self.scheduler.borrow();
        let (trainer, stats) = (scheduler.trainer(), scheduler.stats());
        RolloutJobStatus {
            owner: self.dependencies.options.vm.clone(),
            fencing: self.fencing(),
            step: trainer.map(|trainer| trainer.step),
            trainer_version: trainer.map(|trainer| trainer.version),
            engine_version: scheduler.engine_version(),
            delivered_samples: stats.delivered_samples,
            staleness_mean_versions: stats.mean_staleness_versions(),
            staleness_max_versions: stats.staleness_max_versions,
            regenerated_share: stats.regenerated_share(),
            thrown_away_share: stats.discarded_share(),
            usage_tokens: self.previous_owners_tokens.get() + stats.generated_tokens,
            last_error: self.last_error.borrow().clone(),
        }
    }

    /// Returns the current status with details that are known only on this VM.
    pub fn owned_job_status(&self) -> OwnedJobStatus {
        OwnedJobStatus {
            status: self.status(),
            running: self.concurrency_limiter.borrow().running(),
            window: self.concurrency_limiter.borrow().limit(),
            buffered_bytes: self.scheduler.borrow().buffered_bytes(),
            lease_valid: self.lease_token.is_valid(),
            store_error: self.store_error.borrow().clone(),
        }
    }
}
