//! Deletion of jobs that nobody may read any more.
//!
//! Ages are counted on the steady clock from the moment at which a node first knows of a job: a node
//! whose time of day is wrong must not delete jobs that are in use.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use deck_core::{CancellationToken, id::RequestId};
use deck_plat::StoreError;

use crate::{BatchService, JobRecord, Ledger};

/// Time between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);
/// Part of the retention that is added to it: a caller may come late.
const RETENTION_MARGIN: f64 = 1.0;
/// Hints at runners that are kept; the next call on a job finds its runner anyway.
const MAX_RUNNER_HINTS: usize = 4096;

/// Returns the time for which a job is kept after it became known.
fn lifetime(record: &JobRecord, retention: Duration) -> Duration {
    retention.mul_f64(1.0 + RETENTION_MARGIN) + Duration::from_millis(record.limits.give_up_ms)
}

/// Deletes the objects of old jobs.
pub struct Sweeper {
    ledger: Ledger,
    retention: Duration,
    /// When each stored job was first seen. Invariant: jobs that are no longer stored are not here
    /// after a sweep.
    first_seen: HashMap<RequestId, Instant>,
}

impl Sweeper {
    /// Returns a sweeper that has seen no job; jobs can be read for at least `retention`.
    pub fn new(ledger: Ledger, retention: Duration) -> Self {
        Self { ledger, retention, first_seen: HashMap::new() }
    }

    /// Deletes the jobs that are expired at `now`; returns how many there were.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not answer. The rest is left to a later sweep.
    pub async fn sweep(&mut self, now: Instant) -> Result<usize, StoreError> {
        let jobs = self.ledger.jobs().await?;
        let mut first_seen = std::mem::take(&mut self.first_seen);
        let mut expired = Vec::new();
        for (id, record, revision) in jobs {
            let since = first_seen.remove(&id).unwrap_or(now);
            self.first_seen.insert(id.clone(), since);
            if now.duration_since(since) > lifetime(&record, self.retention) {
                expired.push((id, record, revision));
            }
        }
        for (id, record, revision) in &expired {
            self.ledger.delete(id, record, *revision).await?;
            self.first_seen.remove(id);
        }
        Ok(expired.len())
    }
}

impl BatchService {
    /// Forgets old jobs on this node until `cancel` is cancelled.
    pub async fn keep_forgetting(&self, retention: Duration, cancel: CancellationToken) {
        let pause = || cancel.run_until_cancelled(monoio::time::sleep(SWEEP_INTERVAL));
        while pause().await.is_some() {
            let evicted = self.evict_expired(retention, Instant::now());
            self.deps().engines.retain_known(&self.deps().view);
            log::info!(target: "batch", "old jobs forgotten count={evicted}");
        }
    }

    /// Forgets the jobs that this node has run and that are expired at `now`; returns how many there
    /// were.
    pub fn evict_expired(&self, retention: Duration, now: Instant) -> usize {
        if self.inner.runner_hints.borrow().len() > MAX_RUNNER_HINTS {
            self.inner.runner_hints.borrow_mut().clear();
        }
        let mut jobs = self.inner.runner.inner.jobs.borrow_mut();
        let before = jobs.len();
        jobs.retain(|_, job| {
            let lifetime = lifetime(&job.record.borrow(), retention);
            let expired = now.duration_since(job.known_since) > lifetime;
            if expired {
                job.stop.cancel();
            }
            !expired
        });
        before - jobs.len()
    }

    /// Deletes the objects of old jobs until `cancel` is cancelled. One node of the fleet does it.
    pub async fn sweep(&self, retention: Duration, cancel: CancellationToken) {
        let mut sweeper = Sweeper::new(self.deps().ledger.clone(), retention);
        let pause = || cancel.run_until_cancelled(monoio::time::sleep(SWEEP_INTERVAL));
        while pause().await.is_some() {
            match sweeper.sweep(Instant::now()).await {
                Ok(deleted) => log::info!(target: "batch", "old jobs deleted count={deleted}"),
                Err(error) => log::warn!(target: "batch", "old jobs not deleted error={error}"),
            }
        }
    }
}
