//! Ownership of named things, such as jobs and pools, by lease.

use std::{collections::HashMap, rc::Rc, time::Duration};

use deck_core::{CancellationToken, hash::rendezvous_rank, id::VmId, object::LeaseRecord};
use deck_plat::{
    AcquireResult, HeldLease, LeaseCandidate, LeaseEnd, LeaseOptions, Store,
    lease::candidate_poll_interval,
};

use crate::{ConfigView, Member, MemberState};

/// Time after which a VM that is no candidate looks at its rank again.
const RANK_INTERVAL: Duration = Duration::from_secs(2);

/// What a VM needs to contend for leases.
#[derive(Clone)]
pub struct Ownership {
    /// Object API.
    pub store: Store,
    /// Returns the members that the local entry knows.
    pub members: Rc<dyn Fn() -> Vec<Member>>,
    /// Name of this VM.
    pub vm: VmId,
    /// Address at which this VM serves what it owns; empty if nobody has to reach it.
    pub address: String,
    /// Prefix of the lease names, for example `job`.
    pub prefix: &'static str,
    /// Settings of the leases.
    pub lease: LeaseOptions,
}

impl Ownership {
    /// Returns the name of the lease on `name`.
    pub fn lease_name(&self, name: &str) -> String {
        format!("{}-{name}", self.prefix)
    }

    /// Contends for the lease on `name` until `cancel` is cancelled.
    ///
    /// `own` runs while the lease is held and returns how it ended; `elsewhere` learns the record of
    /// another holder.
    pub async fn contend(
        &self,
        name: &str,
        cancel: &CancellationToken,
        own: impl AsyncFn(HeldLease) -> LeaseEnd,
        elsewhere: impl Fn(LeaseRecord),
    ) {
        let mut candidate = self.candidate(name);
        while !cancel.is_cancelled() {
            let interval = self.interval(name);
            if interval.is_some() {
                candidate = match candidate.try_acquire().await {
                    AcquireResult::Held(held) => match own(held).await {
                        LeaseEnd::Lost(lost) => *lost,
                        LeaseEnd::Released if cancel.is_cancelled() => return,
                        // Given up because a target, a trainer or the store named a newer owner.
                        LeaseEnd::Released => self.candidate(name),
                    },
                    AcquireResult::HeldElsewhere(still, record) => {
                        elsewhere(record);
                        still
                    }
                    AcquireResult::Failed(still, error) => {
                        let lease = self.lease_name(name);
                        log::warn!(target: "lease", "not acquired lease={lease} error={error}");
                        still
                    }
                };
            }
            let wait = interval.unwrap_or(RANK_INTERVAL);
            cancel.run_until_cancelled(monoio::time::sleep(wait)).await;
        }
    }

    /// Returns the time between looks at the lease. The first candidates look more often than the
    /// lease lasts, so that a free lease is taken soon.
    fn interval(&self, name: &str) -> Option<Duration> {
        let rank = self.rank(name);
        let interval = candidate_poll_interval(rank)?;
        let is_first = rank < 2;
        Some(if is_first { interval.min(self.lease.duration / 3) } else { interval })
    }

    /// Returns the rank of this VM among the live members for the lease on `name`.
    fn rank(&self, name: &str) -> usize {
        let members = (self.members)();
        let live = members.iter().filter(|member| member.state == MemberState::Live);
        let ranked = rendezvous_rank(name, live.map(|member| member.vm.as_str()));
        ranked.iter().position(|vm| *vm == self.vm).unwrap_or(usize::MAX)
    }

    fn candidate(&self, name: &str) -> LeaseCandidate {
        LeaseCandidate::new(
            self.store.clone(),
            self.lease_name(name),
            self.vm.clone(),
            self.address.clone(),
            self.lease.clone(),
        )
    }
}

struct Task {
    cancel: CancellationToken,
    handle: monoio::task::JoinHandle<()>,
}

/// Runs one task for each name that `wanted` returns, as the configuration changes.
///
/// The task of a name that is no longer wanted is cancelled. When `cancel` is cancelled all tasks are
/// cancelled, and the function returns after they have ended.
pub async fn supervise<F>(
    config: &ConfigView,
    cancel: &CancellationToken,
    wanted: impl Fn(&ConfigView) -> Vec<String>,
    start: impl Fn(String, CancellationToken) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let mut changes = config.changes();
    let mut tasks: HashMap<String, Task> = HashMap::new();
    loop {
        let wanted = wanted(config);
        for name in &wanted {
            tasks.entry(name.clone()).or_insert_with(|| {
                let cancel = cancel.child_token();
                let handle = monoio::spawn(start(name.clone(), cancel.clone()));
                Task { cancel, handle }
            });
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
