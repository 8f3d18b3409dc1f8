//! Deterministic subsetting: the bounded subset of a pool's targets that one VM uses.
//!
//! Each target is assigned to the VMs with the highest rendezvous hashing scores for it, some from
//! its own data centre and some from others. Every target is thus used by equally many VMs, and a
//! change of one VM or target moves only its own assignments. If instead each VM selected 64 of
//! 4,200 targets on its own, some targets would be selected by none of 330 VMs.

use deck_core::{
    hash::{rendezvous_rank, rendezvous_score},
    id::{DataCentreId, VmId},
};

/// VM whose router sends calls to the same pools.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutingVm {
    /// Id of the VM; hashed with the id of a target to rank the VMs that use the target.
    pub vm: VmId,
    /// Data centre of the VM; targets in the same one are local to it.
    pub data_centre: DataCentreId,
}

/// Target as input of the subset selection.
#[derive(Debug, Clone, Copy)]
pub struct SubsetTarget<'a> {
    /// Id of the target; hashed with the id of a VM to rank the VMs that use it.
    pub id: &'a str,
    /// Data centre of the target, which is local to the VMs in the same one.
    pub data_centre: &'a str,
}

/// Input of the subset selection for one VM.
#[derive(Debug, Clone, Copy)]
pub struct SubsetQuery<'a> {
    /// VM whose subset is selected.
    pub vm: &'a str,
    /// Data centre of this VM; targets in the same one are local.
    pub data_centre: &'a str,
    /// All VMs that route to the pool, with or without this one; empty if not known yet.
    pub members: &'a [RoutingVm],
    /// Intended number of targets in the subset.
    pub subset_size: usize,
    /// Percentage of the subset that is taken from other data centres.
    pub remote_percent: usize,
}

/// Subset of a pool's targets, as indexes into the list of targets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Subset {
    /// Targets in the VM's own data centre.
    pub local: Vec<usize>,
    /// Targets in other data centres.
    pub remote: Vec<usize>,
    /// Number of VMs that use each target, this one included.
    pub vms_per_target: usize,
}

/// Minimum number of local VMs, and of remote VMs, that use a target, so that it stays in use when
/// one of them fails.
const MIN_VMS_PER_TARGET: usize = 2;

/// Selects the targets that a VM uses.
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
    let local_group = LocalityGroup::new(query, targets, true, local_size);
    let remote_group = LocalityGroup::new(query, targets, false, query.subset_size - local_size);
    for (index, target) in targets.iter().enumerate() {
        let is_local = target.data_centre == query.data_centre;
        let group = if is_local { &local_group } else { &remote_group };
        if group.is_selected(query, target) {
            subset.push(index, is_local);
        }
    }
    subset.vms_per_target = local_group.vms_per_target + remote_group.vms_per_target;
    subset.truncate(query, targets);
    subset
}

/// Assignment of either the targets in the VM's own data centre or those in all others.
struct LocalityGroup {
    /// Whether the group consists of the targets in the VM's own data centre.
    is_local: bool,
    /// Number of VMs to which each target of the group is assigned.
    vms_per_target: usize,
}

impl LocalityGroup {
    /// Computes the number of VMs per target from which each VM gets about `targets_per_vm` targets of
    /// the group.
    fn new(
        query: &SubsetQuery<'_>,
        targets: &[SubsetTarget<'_>],
        is_local: bool,
        targets_per_vm: usize,
    ) -> Self {
        let in_own_data_centre = |data_centre: &str| data_centre == query.data_centre;
        let group_targets =
            targets.iter().filter(|t| in_own_data_centre(t.data_centre) == is_local).count();
        let vms = query.members.iter().filter(|m| in_own_data_centre(&m.data_centre)).count();
        // A remote target is used by VMs of every data centre except its own.
        let vms = if is_local { vms } else { query.members.len() - vms };
        let required_vms = (targets_per_vm * vms).div_ceil(group_targets.max(1));
        Self { is_local, vms_per_target: required_vms.max(MIN_VMS_PER_TARGET) }
    }

    /// Returns whether the VM is among the `vms_per_target` VMs with the highest scores for the
    /// target.
    fn is_selected(&self, query: &SubsetQuery<'_>, target: &SubsetTarget<'_>) -> bool {
        let own_score = rendezvous_score(target.id, query.vm);
        let better_vms = query
            .members
            .iter()
            .filter(|member| (member.data_centre == target.data_centre) == self.is_local)
            .filter(|member| member.vm != query.vm)
            .filter(|member| {
                let score = rendezvous_score(target.id, &member.vm);
                score > own_score || (score == own_score && *member.vm < *query.vm)
            });
        better_vms.take(self.vms_per_target).count() < self.vms_per_target
    }
}

impl Subset {
    fn push(&mut self, index: usize, is_local: bool) {
        if is_local { self.local.push(index) } else { self.remote.push(index) }
    }

    /// Drops the lowest-ranked targets beyond twice the intended size. Subsets grow that large when
    /// there are few VMs for many targets, since each target is used by at least
    /// `MIN_VMS_PER_TARGET` VMs.
    fn truncate(&mut self, query: &SubsetQuery<'_>, targets: &[SubsetTarget<'_>]) {
        let max_remote = (query.subset_size * 2 * query.remote_percent / 100).max(1);
        let max_local = (query.subset_size * 2).saturating_sub(max_remote);
        for (indexes, max) in [(&mut self.local, max_local), (&mut self.remote, max_remote)] {
            if indexes.len() > max {
                indexes.sort_unstable_by_key(|index| {
                    std::cmp::Reverse(rendezvous_score(query.vm, targets[*index].id))
                });
                indexes.truncate(max);
            }
        }
    }
}

/// Selects targets by the VM's own rendezvous ranking while the other VMs are not known.
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
