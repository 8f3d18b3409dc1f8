//! Subsetting with the largest supported deployment: 330 VMs and 4,200 targets in 8 data centres.

mod common;

use std::collections::HashSet;

use common::members;
use deck_route::{
    RoutingVm,
    subset::{Subset, SubsetQuery, SubsetTarget, choose_subset},
};
use test_case::test_case;

const SUBSET_SIZE: usize = 64;
const DATA_CENTRES: usize = 8;

/// Ids and data centres of the targets of a simulated deployment.
struct TargetNames {
    ids: Vec<String>,
    data_centres: Vec<String>,
}

impl TargetNames {
    fn new(targets: usize) -> Self {
        let data_centre = |target: usize| format!("dc{}", target % DATA_CENTRES);
        Self {
            ids: (0..targets).map(|target| format!("t{target}")).collect(),
            data_centres: (0..targets).map(data_centre).collect(),
        }
    }

    fn targets(&self) -> Vec<SubsetTarget<'_>> {
        let pairs = self.ids.iter().zip(&self.data_centres);
        pairs.map(|(id, data_centre)| SubsetTarget { id, data_centre }).collect()
    }
}

fn subset(vm: &RoutingVm, members: &[RoutingVm], targets: &[SubsetTarget<'_>]) -> Subset {
    let query = SubsetQuery {
        vm: &vm.vm,
        data_centre: &vm.data_centre,
        members,
        subset_size: SUBSET_SIZE,
        remote_percent: 25,
    };
    choose_subset(&query, targets)
}

/// Returns the load on each target if every VM spreads one unit of load evenly over the local part
/// of its subset.
fn local_load_per_target(members: &[RoutingVm], targets: &[SubsetTarget<'_>]) -> Vec<f64> {
    let mut local_loads = vec![0.0; targets.len()];
    for vm in members {
        let subset = subset(vm, members, targets);
        for index in &subset.local {
            local_loads[*index] += 1.0 / subset.local.len() as f64;
        }
    }
    local_loads
}

/// Guards against targets that no VM uses or that too many VMs use, also after losses of VMs and
/// targets.
#[test_case(330, 4200; "design size")]
#[test_case(310, 4200; "20 VMs lost")]
#[test_case(330, 3900; "300 targets lost")]
fn load_is_even(vms: usize, targets: usize) {
    let (members, names) = (members(vms, DATA_CENTRES), TargetNames::new(targets));
    let local_loads = local_load_per_target(&members, &names.targets());
    let mean = local_loads.iter().sum::<f64>() / local_loads.len() as f64;
    let max = local_loads.iter().copied().fold(0.0, f64::max) / mean;
    let min = local_loads.iter().copied().fold(f64::INFINITY, f64::min) / mean;
    assert!(max < 1.5 && min > 0.67, "from {min:.2} to {max:.2} of the mean");
}

/// Guards against subsets of unbounded size and against subsets without remote targets.
#[test]
fn subsets_are_bounded() {
    let (members, names) = (members(330, DATA_CENTRES), TargetNames::new(4200));
    for vm in members.iter().take(40) {
        let subset = subset(vm, &members, &names.targets());
        let size = subset.local.len() + subset.remote.len();
        assert!((SUBSET_SIZE / 2..=SUBSET_SIZE * 2).contains(&size), "{size}");
        assert!(subset.remote.len() >= 8);
    }
}

/// Guards against the loss of one VM or target changing the subsets of all VMs.
#[test_case(329, 4200, 8; "one VM less")]
#[test_case(330, 4199, 1; "one target less")]
fn churn_changes_few_assignments(vms: usize, targets: usize, max_moved: usize) {
    let (all_members, names) = (members(330, DATA_CENTRES), TargetNames::new(4200));
    let (fewer_members, fewer_names) = (members(vms, DATA_CENTRES), TargetNames::new(targets));
    let subset_ids = |members: &[RoutingVm],
                      names: &TargetNames,
                      vm: &RoutingVm|
     -> HashSet<String> {
        let subset = subset(vm, members, &names.targets());
        subset.local.iter().chain(&subset.remote).map(|index| names.ids[*index].clone()).collect()
    };
    for vm in all_members.iter().take(40) {
        let full_ids = subset_ids(&all_members, &names, vm);
        let reduced_ids = subset_ids(&fewer_members, &fewer_names, vm);
        let moved_targets = full_ids.symmetric_difference(&reduced_ids).count();
        assert!(moved_targets <= max_moved, "{} changed {moved_targets} targets", vm.vm);
    }
}

/// Guards against a VM having no targets while it does not know the other VMs, and against
/// truncated subsets of pools smaller than the subset size.
#[test]
fn subsets_without_members_and_of_small_pools() {
    let (no_members, names) = (Vec::new(), TargetNames::new(4200));
    let vm = &members(1, 1)[0];
    let subset_without_members = subset(vm, &no_members, &names.targets());
    assert_eq!(
        subset_without_members.local.len() + subset_without_members.remote.len(),
        SUBSET_SIZE
    );
    let small = TargetNames::new(10);
    let subset_of_small_pool = subset(vm, &members(7, DATA_CENTRES), &small.targets());
    assert_eq!(subset_of_small_pool.local.len() + subset_of_small_pool.remote.len(), 10);
}
