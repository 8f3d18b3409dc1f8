//! Deletion of expired jobs from the object API and from memory.
//!
//! Ages are measured on the monotonic clock from the moment a node first sees a job, so that a node
//! with a wrong wall clock does not delete jobs that are in use.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use deck_core::{CancellationToken, id::RequestId};
use deck_plat::StoreError;

use crate::{BatchService, JobRecord, JobStore};

/// Time between two passes that delete or evict expired jobs.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);
/// Additional retention for callers that read late, as a fraction of the retention.
const RETENTION_MARGIN: f64 = 1.0;
/// Maximum number of jobs whose last known runner is remembered. When exceeded, all entries are
/// dropped; the next request for a job asks the leader or reads the runner from the job's record.
const MAX_LAST_KNOWN_RUNNERS: usize = 4096;

/// Returns how long a job is kept after a node has first seen it.
fn lifetime(record: &JobRecord, retention: Duration) -> Duration {
    retention.mul_f64(1.0 + RETENTION_MARGIN) + Duration::from_millis(record.limits.give_up_ms)
}

/// Deletes the stored objects of expired jobs.
pub struct Sweeper {
    job_store: JobStore,
    retention: Duration,
    /// When each stored job was first seen. Invariant: contains only stored jobs after a pass.
    first_seen: HashMap<RequestId, Instant>,
}

impl Sweeper {
    /// Creates a sweeper. Jobs stay readable for at least `retention` after the time at which their
    /// unfinished items are given up.
    pub fn new(job_store: JobStore, retention: Duration) -> Self {
        Self { job_store, retention, first_seen: HashMap::new() }
    }

    /// Deletes the jobs that have expired at `now`; returns their number.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not answer. A later pass deletes the remaining jobs.
    pub async fn delete_expired_jobs(&mut self, now: Instant) -> Result<usize, StoreError> {
        let jobs = self.job_store.list_jobs().await?;
        let mut first_seen = std::mem::take(&mut self.first_seen);
        let mut expired = Vec::new();
        for (id, record, revision) in jobs {
            let first_seen_at = first_seen.remove(&id).unwrap_or(now);
            self.first_seen.insert(id.clone(), first_seen_at);
            if now.duration_since(first_seen_at) > lifetime(&record, self.retention) {
                expired.push((id, record, revision));
            }
        }
        for (id, record, revision) in &expired {
            self.job_store.delete_job(id, record, *revision).await?;
            self.first_seen.remove(id);
        }
        Ok(expired.len())
    }
}

impl BatchService {
    /// Periodically removes expired jobs from the memory of this node until `cancel` is cancelled.
    pub async fn evict_expired_jobs(&self, retention: Duration, cancel: CancellationToken) {
        let wait_interval = || cancel.run_until_cancelled(monoio::time::sleep(SWEEP_INTERVAL));
        while wait_interval().await.is_some() {
            let evicted = self.evict_expired(retention, Instant::now());
            self.deps().engines.retain_known(&self.deps().view);
            log::info!(target: "batch", "old jobs forgotten count={evicted}");
        }
    }

    /// Removes the jobs that have expired at `now` from memory; returns their number.
    pub fn evict_expired(&self, retention: Duration, now: Instant) -> usize {
        if self.inner.last_known_runners.borrow().len() > MAX_LAST_KNOWN_RUNNERS {
            self.inner.last_known_runners.borrow_mut().clear();
        }
        let mut jobs = self.inner.runner.inner.jobs.borrow_mut();
        let count_before = jobs.len();
        jobs.retain(|_, job| {
            let lifetime = lifetime(&job.record.borrow(), retention);
            let expired = now.duration_since(job.known_since) > lifetime;
            if expired {
                job.stop_token.cancel();
            }
            !expired
        });
        count_before - jobs.len()
    }

    /// Periodically deletes the stored objects of expired jobs until `cancel` is cancelled. Only
    /// the leader runs this.
    pub async fn run_sweeper(&self, retention: Duration, cancel: CancellationToken) {
        let mut sweeper = Sweeper::new(self.deps().job_store.clone(), retention);
        let wait_interval = || cancel.run_until_cancelled(monoio::time::sleep(SWEEP_INTERVAL));
        while wait_interval().await.is_some() {
            match sweeper.delete_expired_jobs(Instant::now()).await {
                Ok(deleted) => log::info!(target: "batch", "old jobs deleted count={deleted}"),
                Err(error) => {
                    log::warn!(target: "batch", "cannot delete expired jobs error={error}")
                }
            }
        }
    }
}
