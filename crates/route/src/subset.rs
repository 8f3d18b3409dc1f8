//! Bounded subset of a pool's targets that one VM uses.
//!
//! Each target is used by the VMs that rank first for it by rendezvous hashing: some of its own data
//! centre and some of the others. So each target is used by equally many VMs, and a change of one VM
//! or target moves only the places that it held. If each VM chose its own targets instead, with 64
//! of 4,200 targets on each of 330 VMs some targets would be chosen by no VM.

use deck_core::{
    hash::{rendezvous_rank, rendezvous_score},
    id::{DataCentreId, VmId},
};

/// VM that routes to the same pools.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteMember {
    /// The VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
}

/// Target as the subset choice sees it.
#[derive(Debug, Clone, Copy)]
pub struct SubsetTarget<'a> {
    /// Name of the target.
    pub id: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
}

/// What the subset of a VM depends on.
#[derive(Debug, Clone, Copy)]
pub struct SubsetQuery<'a> {
    /// The VM.
    pub vm: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// All VMs that route, with or without this one; empty if not known yet.
    pub members: &'a [RouteMember],
    /// Intended number of targets.
    pub subset_size: usize,
    /// Part of the subset from other data centres, in percent.
    pub remote_percent: usize,
}

/// Subset of a pool's targets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Subset {
    /// Indexes of the targets in the VM's own data centre.
    pub local: Vec<usize>,
    /// Indexes of the other targets.
    pub remote: Vec<usize>,
    /// Number of VMs that use the same target, this one included.
    pub vms_per_target: usize,
}

/// Fewest VMs of a kind (local or remote) that use a target, so that one VM's failure does not leave
/// it unused.
const MIN_VMS_PER_TARGET: usize = 2;

/// Returns the targets that a VM uses.
pub fn choose_subset(query: &SubsetQuery<'_>, targets: &[SubsetTarget<'_>]) -> Subset {
    let mut subset = Subset { vms_per_target: query.members.len().max(1), ..Subset::default() };
    if targets.len() <= query.subset_size {
        for (index, target) in targets.iter().enumerate() {
            subset.push(index, target.data_centre == query.data_centre);
        }
        return subset;
    }
    if !query.members.iter().any(|member| member.vm == query.vm) {
        return choose_without_members(query, targets);
    }
    let local_size = query.subset_size * (100 - query.remote_percent.min(100)) / 100;
    let local = Side::new(query, targets, true, local_size);
    let remote = Side::new(query, targets, false, query.subset_size - local_size);
    for (index, target) in targets.iter().enumerate() {
        let is_local = target.data_centre == query.data_centre;
        let side = if is_local { &local } else { &remote };
        if side.uses(query, target) {
            subset.push(index, is_local);
        }
    }
    subset.vms_per_target = local.vms_per_target + remote.vms_per_target;
    subset.truncate(query, targets);
    subset
}

/// Targets of the VM's own data centre, or all others.
struct Side {
    local: bool,
    vms_per_target: usize,
}

impl Side {
    fn new(
        query: &SubsetQuery<'_>,
        targets: &[SubsetTarget<'_>],
        local: bool,
        size: usize,
    ) -> Self {
        let is_local = |data_centre: &str| data_centre == query.data_centre;
        let side_targets = targets.iter().filter(|t| is_local(t.data_centre) == local).count();
        let vms = query.members.iter().filter(|m| is_local(&m.data_centre)).count();
        // A remote target is used by members of all data centres but its own.
        let vms = if local { vms } else { query.members.len() - vms };
        let wanted = (size * vms).div_ceil(side_targets.max(1));
        Self { local, vms_per_target: wanted.max(MIN_VMS_PER_TARGET) }
    }

    /// Returns whether the VM is among the first for the target.
    fn uses(&self, query: &SubsetQuery<'_>, target: &SubsetTarget<'_>) -> bool {
        let own = rendezvous_score(target.id, query.vm);
        let better = query
            .members
            .iter()
            .filter(|member| (member.data_centre == target.data_centre) == self.local)
            .filter(|member| member.vm != query.vm)
            .filter(|member| {
                let score = rendezvous_score(target.id, &member.vm);
                score > own || (score == own && *member.vm < *query.vm)
            });
        better.take(self.vms_per_target).count() < self.vms_per_target
    }
}

impl Subset {
    fn push(&mut self, index: usize, local: bool) {
        if local { self.local.push(index) } else { self.remote.push(index) }
    }

    /// Keeps the size within twice the intended one when few VMs face many targets.
    fn truncate(&mut self, query: &SubsetQuery<'_>, targets: &[SubsetTarget<'_>]) {
        let max_remote = (query.subset_size * 2 * query.remote_percent / 100).max(1);
        let max_local = (query.subset_size * 2).saturating_sub(max_remote);
        for (list, max) in [(&mut self.local, max_local), (&mut self.remote, max_remote)] {
            if list.len() > max {
                list.sort_unstable_by_key(|index| {
                    std::cmp::Reverse(rendezvous_score(query.vm, targets[*index].id))
                });
                list.truncate(max);
            }
        }
    }
}

/// Chooses by the VM's own ranking while the other VMs are not known.
fn choose_without_members(query: &SubsetQuery<'_>, targets: &[SubsetTarget<'_>]) -> Subset {
    let ranked = rendezvous_rank(query.vm, targets.iter().map(|target| target.id));
    let chosen: std::collections::HashSet<_> = ranked.into_iter().take(query.subset_size).collect();
    let mut subset = Subset { vms_per_target: 1, ..Subset::default() };
    for (index, target) in targets.iter().enumerate() {
        if chosen.contains(target.id) {
            subset.push(index, target.data_centre == query.data_centre);
        }
    }
    subset
}
