//! Ownership of rollout jobs through leases.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use deck_core::{CancellationToken, id::JobName};
use deck_peer::{
    Member,
    ownership::{LeaseContender, run_task_per_name},
};
use deck_plat::{HeldLease, LeaseEnd};

use crate::{
    job::{JobDependencies, OwnedJob},
    owner_lookup::OwnerLookup,
};

/// Prefix of the lease names of rollout jobs.
const LEASE_PREFIX: &str = "job";

/// Returns the lease name of a job.
pub fn lease_name(job: &str) -> String {
    format!("{LEASE_PREFIX}-{job}")
}

/// Contends for the leases of all rollout jobs and runs the jobs whose lease this VM holds; clones
/// share their state.
#[derive(Clone)]
pub struct RolloutJobManager {
    dependencies: JobDependencies,
    lease_contender: LeaseContender,
    owned_jobs: Rc<RefCell<HashMap<JobName, Rc<OwnedJob>>>>,
    owner_lookup: Rc<OwnerLookup>,
}

impl RolloutJobManager {
    /// Creates the manager. `members` returns the VMs known to `deckentry`, the entry daemon of this
    /// VM; they are ranked to decide which of them contend for a lease.
    pub fn new(dependencies: JobDependencies, members: Rc<dyn Fn() -> Vec<Member>>) -> Self {
        let interval = dependencies.options.pull.owner_lookup_interval;
        let owner_lookup = Rc::new(OwnerLookup::new(dependencies.store.clone(), interval));
        let lease_contender = LeaseContender {
            store: dependencies.store.clone(),
            members,
            vm: dependencies.options.vm.clone(),
            address: dependencies.options.advertised_address.to_string(),
            prefix: LEASE_PREFIX,
            lease_options: dependencies.options.lease_options.clone(),
        };
        Self { dependencies, lease_contender, owned_jobs: Rc::default(), owner_lookup }
    }

    /// Returns the job if this VM owns it.
    pub fn owned_job(&self, job: &str) -> Option<Rc<OwnedJob>> {
        self.owned_jobs.borrow().get(job).cloned()
    }

    /// Returns the names of the jobs that this VM owns.
    pub fn owned_job_names(&self) -> Vec<JobName> {
        self.owned_jobs.borrow().keys().cloned().collect()
    }

    /// Returns the lookup for jobs owned by other VMs.
    pub fn owner_lookup(&self) -> &OwnerLookup {
        &self.owner_lookup
    }

    /// Returns the dependencies shared by all jobs.
    pub fn dependencies(&self) -> &JobDependencies {
        &self.dependencies
    }

    /// Runs until `cancel` is cancelled, then releases all leases.
    pub async fn run(self, cancel: CancellationToken) {
        let rollout_job_names = |config: &deck_peer::ConfigView| {
            config.rollout_jobs().into_iter().map(|(name, ..)| name).collect()
        };
        let start_job = |job, cancel| self.clone().run_job(job, cancel);
        run_task_per_name(&self.dependencies.config, &cancel, rollout_job_names, start_job).await;
    }

    async fn run_job(self, job: JobName, cancel: CancellationToken) {
        let run_while_owned =
            async |held_lease| self.run_while_owned(&job, held_lease, &cancel).await;
        let record_other_owner = |record| self.owner_lookup.record_lease(&job, record);
        self.lease_contender
            .contend_for_lease(&job, &cancel, run_while_owned, record_other_owner)
            .await;
    }

    /// Runs the job for as long as the lease is held.
    async fn run_while_owned(
        &self,
        job: &str,
        held_lease: HeldLease,
        cancel: &CancellationToken,
    ) -> LeaseEnd {
        let spec =
            self.dependencies.config.rollout_jobs().into_iter().find(|(name, ..)| name == job);
        let Some((_, _, spec)) = spec else {
            return LeaseEnd::Lost(Box::new(held_lease.into_candidate()));
        };
        let lease_token = held_lease.token();
        log::info!(target: "roll", "job acquired job={job} fencing={}", lease_token.fencing());
        let ownership_ended = cancel.child_token();
        let owned_job = OwnedJob::new(
            job.to_owned(),
            spec,
            self.dependencies.clone(),
            lease_token.clone(),
            ownership_ended.clone(),
        );
        self.owned_jobs.borrow_mut().insert(job.to_owned(), owned_job.clone());
        let renewal_task = monoio::spawn(held_lease.renew_until_cancelled(ownership_ended.clone()));
        let report_task = monoio::spawn(owned_job.clone().report());
        let dispatch_task = monoio::spawn(owned_job.run());
        let lease_end = renewal_task.await;
        ownership_ended.cancel();
        self.owned_jobs.borrow_mut().remove(job);
        dispatch_task.await;
        report_task.await;
        log::info!(target: "roll", "job ended here job={job} fencing={}", lease_token.fencing());
        lease_end
    }
}
