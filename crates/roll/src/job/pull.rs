//! Hand-over: answers to the trainer's pulls.

use std::time::{Duration, Instant};

use deck_core::{
    CancellationToken,
    error::{CallError, ErrorKind},
    object::LEASE_KIND,
};
use deck_plat::lease::parse_record;

use super::ActiveJob;
use crate::{
    bitmap::GroupBitmap,
    board::TrainerState,
    owner::lease_name,
    protocol::{PullRequest, PullResponse},
};

/// Time for which a look at the lease in the store counts.
const LEASE_CHECK_KEEP: Duration = Duration::from_secs(1);

impl ActiveJob {
    /// Answers a pull after a wait for groups; `drain` ends the wait.
    ///
    /// # Errors
    ///
    /// Returns the error that the trainer receives.
    pub async fn pull(
        &self,
        request: &PullRequest,
        drain: &CancellationToken,
    ) -> Result<PullResponse, CallError> {
        let started = Instant::now();
        self.refuse_newer_owner(request)?;
        let groups = self.board.borrow().spec().groups_per_step();
        let held = GroupBitmap::try_parse(&request.held_groups, groups).map_err(|error| {
            CallError::new(ErrorKind::BadRequest, format!("field held_groups: {error}"))
        })?;
        let number = self.last_pull.get() + 1;
        self.last_pull.set(number);
        let trainer = TrainerState { step: request.step, version: request.trainer_version, held };
        self.board.borrow_mut().apply_pull(trainer, started);
        self.work.send_modify(|count| *count += 1);
        // Wakes the pulls that this one replaces.
        self.ready.send_modify(|count| *count += 1);

        let options = &self.parts.options.pull;
        let wait = request.wait_ms.map_or(options.default_wait, Duration::from_millis);
        let deadline = started + wait.min(options.max_wait);
        let response = self.wait_for_groups(request, number, deadline, drain).await;
        self.record_pull(request, started, response.as_ref().ok());
        response
    }

    fn record_pull(
        &self,
        request: &PullRequest,
        started: Instant,
        response: Option<&PullResponse>,
    ) {
        let labels = self.labels();
        let since_last = self.pull_ended.replace(Some(Instant::now())).map(|at| at.elapsed());
        self.parts.metrics.record_pull(&labels, started.elapsed(), since_last);
        if let Some(response) = response {
            let version = request.trainer_version;
            self.parts.metrics.record_sent(&labels, &response.groups, version);
        }
    }

    async fn wait_for_groups(
        &self,
        request: &PullRequest,
        number: u64,
        deadline: Instant,
        drain: &CancellationToken,
    ) -> Result<PullResponse, CallError> {
        let mut ready = self.ready.subscribe();
        loop {
            self.check_ownership(request).await?;
            if self.last_pull.get() != number {
                // Only the newest pull says what the trainer holds now. Not an empty answer: two
                // trainers that pull the same job by mistake would ask in turn without a pause.
                let message = "a newer pull of the same job has come";
                return Err(CallError::new(ErrorKind::NotReady, message));
            }
            let max_bytes = self.parts.options.pull.max_response_bytes;
            let groups = self.board.borrow_mut().ready_groups(max_bytes);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !groups.is_empty() || remaining.is_zero() || drain.is_cancelled() {
                let owner_fencing = self.fencing();
                return Ok(PullResponse { owner_fencing, step: request.step, groups });
            }
            let changed = monoio::time::timeout(remaining, ready.changed());
            drain.run_until_cancelled(changed).await;
        }
    }

    /// Refuses a pull of a trainer that has seen a newer owner, and stops owning the job.
    fn refuse_newer_owner(&self, request: &PullRequest) -> Result<(), CallError> {
        if request.owner_fencing > self.fencing() {
            self.stop.cancel();
            return Err(stale_owner());
        }
        Ok(())
    }

    /// Checks that this VM may hand samples over.
    ///
    /// With an invalid lease the store decides. If it does not answer, hand-over goes on: no other
    /// VM can acquire the lease in an outage of the store, and if only this VM's link is broken the
    /// trainer refuses the lower fencing number.
    async fn check_ownership(&self, request: &PullRequest) -> Result<(), CallError> {
        self.refuse_newer_owner(request)?;
        if self.stop.is_cancelled() {
            return Err(stale_owner());
        }
        let checked = self.lease_check.get().is_some_and(|at| at.elapsed() < LEASE_CHECK_KEEP);
        if self.token.is_valid() || checked {
            return Ok(());
        }
        match self.parts.store.get(LEASE_KIND, &lease_name(&self.name)).await {
            Ok(object) => {
                let record = object.and_then(|object| parse_record(&object).ok());
                let own = record.is_some_and(|record| {
                    record.fencing == self.fencing() && record.holder == self.parts.options.vm
                });
                if !own {
                    self.stop.cancel();
                    return Err(stale_owner());
                }
                self.store_error.replace(None);
            }
            Err(error) => {
                self.store_error.replace(Some(error.to_string()));
            }
        }
        self.lease_check.set(Some(Instant::now()));
        Ok(())
    }
}

fn stale_owner() -> CallError {
    CallError::new(ErrorKind::StaleOwner, "another VM owns the job; ask again")
}
