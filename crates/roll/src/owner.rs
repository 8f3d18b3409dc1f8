//! Ownership of jobs by lease.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use deck_core::{CancellationToken, id::JobName};
use deck_peer::{
    Member,
    ownership::{Ownership, supervise},
};
use deck_plat::{HeldLease, LeaseEnd};

use crate::{
    job::{ActiveJob, JobParts},
    locate::OwnerLookup,
};

/// Prefix of the names of jobs' leases.
const LEASE_PREFIX: &str = "job";

/// Returns the name of a job's lease.
pub fn lease_name(job: &str) -> String {
    format!("{LEASE_PREFIX}-{job}")
}

/// Owner of the jobs for which this VM holds the lease; clones share their state.
#[derive(Clone)]
pub struct RollOwner {
    parts: JobParts,
    ownership: Ownership,
    active: Rc<RefCell<HashMap<JobName, Rc<ActiveJob>>>>,
    lookup: Rc<OwnerLookup>,
}

impl RollOwner {
    /// Returns an owner; `members` returns the members that the local entry knows.
    pub fn new(parts: JobParts, members: Rc<dyn Fn() -> Vec<Member>>) -> Self {
        let interval = parts.options.pull.locate_interval;
        let lookup = Rc::new(OwnerLookup::new(parts.store.clone(), interval));
        let ownership = Ownership {
            store: parts.store.clone(),
            members,
            vm: parts.options.vm.clone(),
            address: parts.options.address.to_string(),
            prefix: LEASE_PREFIX,
            lease: parts.options.lease.clone(),
        };
        Self { parts, ownership, active: Rc::default(), lookup }
    }

    /// Returns the job if this VM owns it.
    pub fn active(&self, job: &str) -> Option<Rc<ActiveJob>> {
        self.active.borrow().get(job).cloned()
    }

    /// Returns the names of the jobs that this VM owns.
    pub fn active_names(&self) -> Vec<JobName> {
        self.active.borrow().keys().cloned().collect()
    }

    /// Returns the lookup of other owners.
    pub fn lookup(&self) -> &OwnerLookup {
        &self.lookup
    }

    /// Returns what the jobs share.
    pub fn parts(&self) -> &JobParts {
        &self.parts
    }

    /// Runs until `cancel` is cancelled, then releases all leases.
    pub async fn run(self, cancel: CancellationToken) {
        let wanted = |config: &deck_peer::ConfigView| {
            config.jobs().into_iter().map(|(name, ..)| name).collect()
        };
        let start = |job, cancel| self.clone().run_job(job, cancel);
        supervise(&self.parts.config, &cancel, wanted, start).await;
    }

    async fn run_job(self, job: JobName, cancel: CancellationToken) {
        let own = async |held| self.own(&job, held, &cancel).await;
        let elsewhere = |record| self.lookup.learn(&job, record);
        self.ownership.contend(&job, &cancel, own, elsewhere).await;
    }

    /// Runs the job while the lease is held.
    async fn own(&self, job: &str, held: HeldLease, cancel: &CancellationToken) -> LeaseEnd {
        let spec = self.parts.config.jobs().into_iter().find(|(name, ..)| name == job);
        let Some((_, _, spec)) = spec else {
            return LeaseEnd::Lost(Box::new(held.into_candidate()));
        };
        let token = held.token();
        log::info!(target: "roll", "job acquired job={job} fencing={}", token.fencing());
        let stop = cancel.child_token();
        let active =
            ActiveJob::new(job.to_owned(), spec, self.parts.clone(), token.clone(), stop.clone());
        self.active.borrow_mut().insert(job.to_owned(), active.clone());
        let keeper = monoio::spawn(held.renew_until_cancelled(stop.clone()));
        let report = monoio::spawn(active.clone().report());
        let run = monoio::spawn(active.run());
        let kept = keeper.await;
        stop.cancel();
        self.active.borrow_mut().remove(job);
        run.await;
        report.await;
        log::info!(target: "roll", "job ended here job={job} fencing={}", token.fencing());
        kept
    }
}
