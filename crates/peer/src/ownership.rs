//! Leases that decide which VM owns a named object, such as a rollout job or a pool, and tasks that
//! run once for each name.

use std::{collections::HashMap, rc::Rc, time::Duration};

use deck_core::{CancellationToken, hash::rendezvous_rank, id::VmId, object::LeaseRecord};
use deck_plat::{
    AcquireResult, HeldLease, LeaseCandidate, LeaseEnd, LeaseOptions, Store,
    lease::candidate_poll_interval,
};

use crate::{ConfigView, Member, MemberState};

/// Time between two checks whether a VM whose rank was too low to try to acquire the lease has
/// risen.
const RANK_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Tries to acquire the leases on objects of one type for this VM.
#[derive(Clone)]
pub struct LeaseContender {
    /// Client of the object API, which stores the leases.
    pub store: Store,
    /// Returns the members known to the local `deckentry`.
    pub members: Rc<dyn Fn() -> Vec<Member>>,
    /// Name of this VM, written to the lease as its holder.
    pub vm: VmId,
    /// Address at which this VM serves the objects it owns, written to the lease; empty if no other
    /// process connects to it.
    pub address: String,
    /// Prefix of the lease names, such as `job`.
    pub prefix: &'static str,
    /// Duration and renewal settings of the leases.
    pub lease_options: LeaseOptions,
}

impl LeaseContender {
    /// Returns the name of the lease on the object `name`.
    pub fn lease_name(&self, name: &str) -> String {
        format!("{}-{name}", self.prefix)
    }

    /// Tries repeatedly to acquire the lease on `name`, until `cancel` is cancelled.
    ///
    /// When this VM has acquired the lease, `while_held` is called with it; it returns after the
    /// lease has ended and says how. `on_other_holder` is called with the lease record whenever an
    /// attempt finds that another process holds the lease.
    pub async fn contend_for_lease(
        &self,
        name: &str,
        cancel: &CancellationToken,
        while_held: impl AsyncFn(HeldLease) -> LeaseEnd,
        on_other_holder: impl Fn(LeaseRecord),
    ) {
        let mut candidate = self.new_candidate(name);
        while !cancel.is_cancelled() {
            let interval = self.retry_interval(name);
            if interval.is_some() {
                candidate = match candidate.try_acquire().await {
                    AcquireResult::Held(held_lease) => match while_held(held_lease).await {
                        LeaseEnd::Lost(candidate) => *candidate,
                        LeaseEnd::Released if cancel.is_cancelled() => return,
                        // A target, a trainer or the object API reported a newer owner, so the
                        // lease was released before it ended.
                        LeaseEnd::Released => self.new_candidate(name),
                    },
                    AcquireResult::HeldElsewhere(candidate, record) => {
                        on_other_holder(record);
                        candidate
                    }
                    AcquireResult::Failed(candidate, error) => {
                        let lease = self.lease_name(name);
                        log::warn!(target: "lease", "not acquired lease={lease} error={error}");
                        candidate
                    }
                };
            }
            let delay = interval.unwrap_or(RANK_CHECK_INTERVAL);
            cancel.run_until_cancelled(monoio::time::sleep(delay)).await;
        }
    }

    /// Returns the time between attempts to acquire the lease, or `None` if the rank of this VM is
    /// too low to try. The two highest-ranked VMs try at least three times per lease duration, so
    /// that a free lease is acquired soon.
    fn retry_interval(&self, name: &str) -> Option<Duration> {
        let rank = self.rank(name);
        let interval = candidate_poll_interval(rank)?;
        let is_top_ranked = rank < 2;
        Some(if is_top_ranked { interval.min(self.lease_options.duration / 3) } else { interval })
    }

    /// Returns the rank of this VM among the live members by rendezvous hashing with `name`; 0 is
    /// the highest.
    fn rank(&self, name: &str) -> usize {
        let members = (self.members)();
        let live_members = members.iter().filter(|member| member.state == MemberState::Live);
        let ranked = rendezvous_rank(name, live_members.map(|member| member.vm.as_str()));
        ranked.iter().position(|vm| *vm == self.vm).unwrap_or(usize::MAX)
    }

    /// Returns the state of a VM that has not tried to acquire the lease on `name` yet.
    fn new_candidate(&self, name: &str) -> LeaseCandidate {
        LeaseCandidate::new(
            self.store.clone(),
            self.lease_name(name),
            self.vm.clone(),
            self.address.clone(),
            self.lease_options.clone(),
        )
    }
}

/// Task of one name, started by [`run_task_per_name`].
struct NamedTask {
    cancel: CancellationToken,
    handle: monoio::task::JoinHandle<()>,
}

/// Runs one task for each name that `names_to_run` returns, and calls it again whenever the
/// configuration changes. `new_task` returns the task of a name.
///
/// Tasks of names that are no longer returned are cancelled. When `cancel` is cancelled, the
/// remaining tasks are cancelled and the function returns after they have ended.
pub async fn run_task_per_name<F>(
    config: &ConfigView,
    cancel: &CancellationToken,
    names_to_run: impl Fn(&ConfigView) -> Vec<String>,
    new_task: impl Fn(String, CancellationToken) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let mut changes = config.subscribe();
    let mut tasks: HashMap<String, NamedTask> = HashMap::new();
    loop {
        let names = names_to_run(config);
        for name in &names {
            tasks.entry(name.clone()).or_insert_with(|| {
                let cancel = cancel.child_token();
                let handle = monoio::spawn(new_task(name.clone(), cancel.clone()));
                NamedTask { cancel, handle }
            });
        }
        tasks.retain(|name, task| {
            let is_kept = names.contains(name);
            if !is_kept {
                task.cancel.cancel();
            }
            is_kept
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
