//! Handling of pull requests from the trainer.

use std::time::{Duration, Instant};

use deck_core::{
    CancellationToken,
    error::{CallError, ErrorKind},
    object::LEASE_KIND,
};
use deck_plat::lease::parse_record;

use super::OwnedJob;
use crate::{
    bitmap::GroupBitmap,
    owner::lease_name,
    protocol::{PullRequest, PullResponse},
    scheduler::TrainerState,
};

/// Minimum time between two reads of the lease from the object API while it is not valid locally.
const LEASE_CHECK_TTL: Duration = Duration::from_secs(1);

impl OwnedJob {
    /// Answers a pull once groups are ready, the long-poll timeout passes or `drain` is cancelled.
    ///
    /// # Errors
    ///
    /// Returns the error to be sent to the trainer.
    pub async fn pull(
        &self,
        request: &PullRequest,
        drain: &CancellationToken,
    ) -> Result<PullResponse, CallError> {
        let started = Instant::now();
        self.refuse_if_replaced(request)?;
        let groups = self.scheduler.borrow().spec().groups_per_step();
        let received_groups =
            GroupBitmap::try_parse(&request.held_groups, groups).map_err(|error| {
                CallError::new(ErrorKind::BadRequest, format!("field held_groups: {error}"))
            })?;
        let pull_number = self.newest_pull_number.get() + 1;
        self.newest_pull_number.set(pull_number);
        let trainer =
            TrainerState { step: request.step, version: request.trainer_version, received_groups };
        self.scheduler.borrow_mut().apply_pull(trainer, started);
        self.work_changed.send_modify(|count| *count += 1);
        // Wakes pulls that this one supersedes.
        self.groups_changed.send_modify(|count| *count += 1);

        let options = &self.dependencies.options.pull;
        let wait = request.wait_ms.map_or(options.default_wait, Duration::from_millis);
        let deadline = started + wait.min(options.max_wait);
        let response = self.wait_for_groups(request, pull_number, deadline, drain).await;
        self.record_pull(request, started, response.as_ref().ok());
        response
    }

    /// Records the metrics of a pull.
    fn record_pull(
        &self,
        request: &PullRequest,
        started: Instant,
        response: Option<&PullResponse>,
    ) {
        let labels = self.metric_labels();
        let since_last_pull =
            self.last_pull_ended_at.replace(Some(Instant::now())).map(|at| at.elapsed());
        self.dependencies.metrics.record_pull(&labels, started.elapsed(), since_last_pull);
        if let Some(response) = response {
            let version = request.trainer_version;
            self.dependencies.metrics.record_sent(&labels, &response.groups, version);
        }
    }

    /// Waits until groups can be delivered, the deadline passes, a newer pull arrives or `drain` is
    /// cancelled.
    async fn wait_for_groups(
        &self,
        request: &PullRequest,
        pull_number: u64,
        deadline: Instant,
        drain: &CancellationToken,
    ) -> Result<PullResponse, CallError> {
        let mut groups_changed = self.groups_changed.subscribe();
        loop {
            self.check_ownership(request).await?;
            if self.newest_pull_number.get() != pull_number {
                // Only the newest pull reports what the trainer holds now. An error rather than an
                // empty response: two trainers that pull the same job by mistake would otherwise
                // replace each other's pulls in a busy loop.
                let error_message = "a newer pull of the same job has come";
                return Err(CallError::new(ErrorKind::NotReady, error_message));
            }
            let max_bytes = self.dependencies.options.pull.max_response_bytes;
            let groups = self.scheduler.borrow_mut().deliverable_groups(max_bytes);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !groups.is_empty() || remaining.is_zero() || drain.is_cancelled() {
                let owner_fencing = self.fencing();
                return Ok(PullResponse { owner_fencing, step: request.step, groups });
            }
            let changed = monoio::time::timeout(remaining, groups_changed.changed());
            drain.run_until_cancelled(changed).await;
        }
    }

    /// Refuses a pull from a trainer that has seen a newer owner, and gives up ownership of the
    /// job.
    fn refuse_if_replaced(&self, request: &PullRequest) -> Result<(), CallError> {
        if request.owner_fencing > self.fencing() {
            self.ownership_ended.cancel();
            return Err(stale_owner());
        }
        Ok(())
    }

    /// Checks that this VM may deliver samples.
    ///
    /// If the lease is not valid locally, the lease object in the store decides. If the store does
    /// not respond, delivery continues: no other VM can acquire the lease during a store outage,
    /// and if only this VM's link is broken, the trainer rejects the lower fencing number.
    async fn check_ownership(&self, request: &PullRequest) -> Result<(), CallError> {
        self.refuse_if_replaced(request)?;
        if self.ownership_ended.is_cancelled() {
            return Err(stale_owner());
        }
        let recently_checked =
            self.lease_checked_at.get().is_some_and(|at| at.elapsed() < LEASE_CHECK_TTL);
        if self.lease_token.is_valid() || recently_checked {
            return Ok(());
        }
        match self.dependencies.store.get(LEASE_KIND, &lease_name(&self.name)).await {
            Ok(object) => {
                let record = object.and_then(|object| parse_record(&object).ok());
                let is_own = record.is_some_and(|record| {
                    record.fencing == self.fencing()
                        && record.holder == self.dependencies.options.vm
                });
                if !is_own {
                    self.ownership_ended.cancel();
                    return Err(stale_owner());
                }
                self.store_error.replace(None);
            }
            Err(error) => {
                self.store_error.replace(Some(error.to_string()));
            }
        }
        self.lease_checked_at.set(Some(Instant::now()));
        Ok(())
    }
}

fn stale_owner() -> CallError {
    CallError::new(ErrorKind::StaleOwner, "another VM owns the job; ask again")
}
