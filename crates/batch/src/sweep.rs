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
const MARGIN: f64 = 1.0;
/// Hints at runners that are kept; the next call on a job finds its runner anyway.
const MAX_HINTS: usize = 4096;

/// Returns the time for which a job is kept after it became known.
fn kept_for(record: &JobRecord, retention: Duration) -> Duration {
    retention.mul_f64(1.0 + MARGIN) + Duration::from_millis(record.limits.give_up_ms)
}

/// Deletes the objects of old jobs.
pub struct Sweeper {
    ledger: Ledger,
    retention: Duration,
    /// When each stored job was first seen. Invariant: jobs that are no longer stored are not here
    /// after a sweep.
    seen: HashMap<RequestId, Instant>,
}

impl Sweeper {
    /// Returns a sweeper that has seen no job; jobs can be read for at least `retention`.
    pub fn new(ledger: Ledger, retention: Duration) -> Self {
        Self { ledger, retention, seen: HashMap::new() }
    }

    /// Deletes the jobs that are expired at `now`; returns how many there were.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not answer. The rest is left to a later sweep.
    pub async fn sweep(&mut self, now: Instant) -> Result<usize, StoreError> {
        let jobs = self.ledger.jobs().await?;
        let mut seen = std::mem::take(&mut self.seen);
        let mut expired = Vec::new();
        for (id, record, revision) in jobs {
            let since = seen.remove(&id).unwrap_or(now);
            self.seen.insert(id.clone(), since);
            if now.duration_since(since) > kept_for(&record, self.retention) {
                expired.push((id, record, revision));
            }
        }
        for (id, record, revision) in &expired {
            self.ledger.delete(id, record, *revision).await?;
            self.seen.remove(id);
        }
        Ok(expired.len())
    }
}

impl BatchService {
    /// Forgets old jobs on this node until `cancel` is cancelled.
    pub async fn keep_forgetting(&self, retention: Duration, cancel: CancellationToken) {
        let pause = || cancel.run_until_cancelled(monoio::time::sleep(SWEEP_INTERVAL));
        while pause().await.is_some() {
            let forgotten = self.forget_expired(retention, Instant::now());
            self.parts().engines.retain_known(&self.parts().view);
            log::info!(target: "batch", "old jobs forgotten count={forgotten}");
        }
    }

    /// Forgets the jobs that this node has run and that are expired at `now`; returns how many there
    /// were.
    pub fn forget_expired(&self, retention: Duration, now: Instant) -> usize {
        if self.inner.runners.borrow().len() > MAX_HINTS {
            self.inner.runners.borrow_mut().clear();
        }
        let mut jobs = self.inner.runner.inner.jobs.borrow_mut();
        let before = jobs.len();
        jobs.retain(|_, job| {
            let kept_for = kept_for(&job.record.borrow(), retention);
            let expired = now.duration_since(job.known_since) > kept_for;
            if expired {
                job.stop.cancel();
            }
            !expired
        });
        before - jobs.len()
    }

    /// Deletes the objects of old jobs until `cancel` is cancelled. One node of the fleet does it.
    pub async fn sweep(&self, retention: Duration, cancel: CancellationToken) {
        let mut sweeper = Sweeper::new(self.parts().ledger.clone(), retention);
        let pause = || cancel.run_until_cancelled(monoio::time::sleep(SWEEP_INTERVAL));
        while pause().await.is_some() {
            match sweeper.sweep(Instant::now()).await {
                Ok(deleted) => log::info!(target: "batch", "old jobs deleted count={deleted}"),
                Err(error) => log::warn!(target: "batch", "old jobs not deleted error={error}"),
            }
        }
    }
}
