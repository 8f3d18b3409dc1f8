//! Ownership of jobs by lease.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use deck_core::{CancellationToken, hash::rendezvous_rank, id::JobName};
use deck_peer::{Member, MemberState};
use deck_plat::{Acquire, HeldLease, Kept, LeaseCandidate, lease::candidate_interval};

use crate::{
    job::{ActiveJob, JobParts},
    locate::OwnerLookup,
};

/// Time after which a VM that is no candidate looks at its rank again.
const RANK_INTERVAL: Duration = Duration::from_secs(2);

/// Returns the name of a job's lease.
pub fn lease_name(job: &str) -> String {
    format!("job-{job}")
}

/// Owner of the jobs for which this VM holds the lease; clones share their state.
#[derive(Clone)]
pub struct RollOwner {
    parts: JobParts,
    members: Rc<dyn Fn() -> Vec<Member>>,
    active: Rc<RefCell<HashMap<JobName, Rc<ActiveJob>>>>,
    lookup: Rc<OwnerLookup>,
}

struct JobTask {
    cancel: CancellationToken,
    handle: monoio::task::JoinHandle<()>,
}

impl RollOwner {
    /// Returns an owner; `members` returns the members that the local entry knows.
    pub fn new(parts: JobParts, members: Rc<dyn Fn() -> Vec<Member>>) -> Self {
        let interval = parts.options.pull.locate_interval;
        let lookup = Rc::new(OwnerLookup::new(parts.store.clone(), interval));
        Self { parts, members, active: Rc::default(), lookup }
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
        let mut changes = self.parts.config.changes();
        let mut tasks: HashMap<JobName, JobTask> = HashMap::new();
        loop {
            let wanted: Vec<JobName> =
                self.parts.config.jobs().into_iter().map(|(name, ..)| name).collect();
            for name in &wanted {
                tasks.entry(name.clone()).or_insert_with(|| self.start_job(name, &cancel));
            }
            tasks.retain(|name, task| {
                let keep = wanted.contains(name);
                if !keep {
                    task.cancel.cancel();
                }
                keep
            });
            match cancel.run_until_cancelled(changes.changed()).await {
                Some(Ok(())) => {}
                Some(Err(_)) | None => break,
            }
        }
        for task in tasks.into_values() {
            task.cancel.cancel();
            task.handle.await;
        }
    }

    fn start_job(&self, name: &str, cancel: &CancellationToken) -> JobTask {
        let cancel = cancel.child_token();
        let handle = monoio::spawn(self.clone().run_job(name.to_owned(), cancel.clone()));
        JobTask { cancel, handle }
    }

    async fn run_job(self, job: JobName, cancel: CancellationToken) {
        let mut candidate = self.candidate(&job);
        while !cancel.is_cancelled() {
            let interval = candidate_interval(self.rank(&job));
            if interval.is_some() {
                candidate = match candidate.try_acquire().await {
                    Acquire::Held(held) => match self.own(&job, held, &cancel).await {
                        Kept::Lost(lost) => *lost,
                        Kept::Released if cancel.is_cancelled() => return,
                        // Given up because the trainer or the store named a newer owner.
                        Kept::Released => self.candidate(&job),
                    },
                    Acquire::HeldElsewhere(still, record) => {
                        self.lookup.learn(&job, record);
                        still
                    }
                    Acquire::Failed(still, error) => {
                        log::warn!(target: "roll", "lease not acquired job={job} error={error}");
                        still
                    }
                };
            }
            let wait = interval.unwrap_or(RANK_INTERVAL).min(self.retry_interval());
            cancel.run_until_cancelled(monoio::time::sleep(wait)).await;
        }
    }

    /// Looks are spaced by less than the lease's duration, or a free lease would not be noticed.
    fn retry_interval(&self) -> Duration {
        RANK_INTERVAL.min(self.parts.options.lease.duration / 3)
    }

    /// Runs the job while the lease is held.
    async fn own(&self, job: &str, held: HeldLease, cancel: &CancellationToken) -> Kept {
        let spec = self.parts.config.jobs().into_iter().find(|(name, ..)| name == job);
        let Some((_, _, spec)) = spec else {
            return Kept::Lost(Box::new(held.into_candidate()));
        };
        let token = held.token();
        log::info!(target: "roll", "job acquired job={job} fencing={}", token.fencing());
        let stop = cancel.child_token();
        let active =
            ActiveJob::new(job.to_owned(), spec, self.parts.clone(), token.clone(), stop.clone());
        self.active.borrow_mut().insert(job.to_owned(), active.clone());
        let keeper = monoio::spawn(held.keep(stop.clone()));
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

    fn candidate(&self, job: &str) -> LeaseCandidate {
        let options = &self.parts.options;
        LeaseCandidate::new(
            self.parts.store.clone(),
            lease_name(job),
            options.vm.clone(),
            options.address.to_string(),
            options.lease.clone(),
        )
    }

    /// Returns the rank of this VM among the live members for the job's lease.
    fn rank(&self, job: &str) -> usize {
        let members = (self.members)();
        let live = members.iter().filter(|member| member.state == MemberState::Live);
        let ranked = rendezvous_rank(job, live.map(|member| member.vm.as_str()));
        ranked.iter().position(|vm| *vm == self.parts.options.vm).unwrap_or(usize::MAX)
    }
}
