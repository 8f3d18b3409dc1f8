//! Confirmation that this node still runs a job, and that the job has not ended.
//!
//! Any node may store the end of a job or take it over. The node that runs it learns of this only by
//! reading the job's record, so it sends requests for the job only while its last successful read or
//! write of the record is recent.

use std::{rc::Rc, time::Duration};

use deck_core::boot_clock::BootInstant;
use deck_fleet::ChunkFinder;
use deck_plat::StoreError;

use crate::{job::Job, publish::publish_found_chunks, runner::RunnerState};

/// Wait before a failed check is repeated.
const CHECK_RETRY_WAIT: Duration = Duration::from_millis(400);
/// Part of the time in which an end has to take effect that is left for a request to reach its
/// target, but at most half of it. Covers a new connection.
const SEND_TIME: Duration = Duration::from_millis(500);
/// Minimum time between two checks of a job.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two checks, as a fraction of the time for which a confirmation is valid. A check that
/// fails can be repeated before the confirmation expires.
const CHECK_FRACTION: f64 = 0.6;

impl RunnerState {
    /// Returns how long requests for a job may be sent after a confirmation of its ownership.
    fn confirmation_validity(&self) -> Duration {
        let job_end_effect = self.deps.bounds.borrow().job_end_effect;
        job_end_effect - SEND_TIME.min(job_end_effect / 2)
    }

    /// Returns for how long requests for a job may still be sent; zero if its ownership has to be
    /// confirmed first.
    fn remaining_validity(&self, job: &Job) -> Duration {
        let remaining = |age| self.confirmation_validity().saturating_sub(age);
        job.ownership_age().map_or(Duration::ZERO, remaining)
    }

    /// Returns whether requests for a job may be sent now.
    pub(crate) fn may_send(&self, job: &Job) -> bool {
        !self.remaining_validity(job).is_zero()
    }

    /// Runs `call`, which sends requests for the job, once and for as long as they may be sent. Returns
    /// `None` if the confirmation expires before the call has ended.
    pub(crate) async fn run_while_confirmed<T>(
        &self,
        job: &Job,
        call: impl Future<Output = T>,
    ) -> Option<T> {
        loop {
            let confirmed = job.ownership_confirmed.notified();
            if self.may_send(job) {
                break;
            }
            confirmed.await;
        }
        let expired = async {
            while self.may_send(job) {
                monoio::time::sleep(self.remaining_validity(job)).await;
            }
        };
        // The expiry comes first, so that a task that wakes late makes no further attempt.
        monoio::select! {
            biased;
            () = expired => None,
            result = call => Some(result),
        }
    }
}

/// Periodically checks that this node still owns the job, until the job is complete or stopped.
pub(crate) async fn check_ownership_periodically(runner: Rc<RunnerState>, job: Rc<Job>) {
    while !job.stop_token.is_cancelled() {
        let interval =
            runner.confirmation_validity().mul_f64(CHECK_FRACTION).max(MIN_CHECK_INTERVAL);
        let remaining = |age| interval.saturating_sub(age);
        let wait = job.ownership_age().map_or(Duration::ZERO, remaining);
        if !wait.is_zero() {
            job.stop_token.run_until_cancelled(monoio::time::sleep(wait)).await;
            continue;
        }
        if let Err(error) = check_ownership(&runner, &job).await {
            log::warn!(target: "batch", "ownership check failed job={} may_send={} error={error}", job.id, runner.may_send(&job));
            job.stop_token.run_until_cancelled(monoio::time::sleep(CHECK_RETRY_WAIT)).await;
        }
    }
}

/// Reads the record of a job from the object API. Stops the job if another node runs it now or if
/// it has ended.
pub(crate) async fn check_ownership(runner: &RunnerState, job: &Job) -> Result<(), StoreError> {
    let started_at = BootInstant::now();
    let Some((record, revision)) = runner.deps.job_store.read_record(&job.id).await? else {
        return Err(StoreError::Decode("the job's record is missing".to_owned()));
    };
    // A write of this node, or a later check, was faster.
    if revision < job.revision.get() {
        return Ok(());
    }
    let runs_elsewhere = record.runner != runner.deps.vm;
    let ended = record.ended;
    job.record.replace(record);
    job.revision.set(revision);
    if runs_elsewhere || ended {
        log::info!(target: "batch", "stopping job job={} ended={ended} other_runner={runs_elsewhere}", job.id);
        job.stop_token.cancel();
        if runs_elsewhere {
            runner.remove_job(job);
        }
        return Ok(());
    }
    job.confirm_ownership(started_at);
    runner.wake.notify_one();
    // The previous runner may still store a chunk shortly after the takeover. Knowing it early saves
    // generating its texts again.
    if job.taken_over_at.is_some_and(|at| at.elapsed() < runner.options.late_write_window) {
        publish_found_chunks(runner, job, ChunkFinder::Check).await?;
    }
    Ok(())
}
