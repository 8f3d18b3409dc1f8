//! Subsets at the design size: 330 VMs before 4,200 targets in 8 data centres.

mod common;

use std::collections::HashSet;

use common::members;
use deck_route::{
    RouteMember,
    subset::{Subset, SubsetQuery, SubsetTarget, choose_subset},
};
use test_case::test_case;

const SUBSET_SIZE: usize = 64;
const DATA_CENTRES: usize = 8;

struct Names {
    ids: Vec<String>,
    data_centres: Vec<String>,
}

impl Names {
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

fn subset(vm: &RouteMember, members: &[RouteMember], targets: &[SubsetTarget<'_>]) -> Subset {
    let query = SubsetQuery {
        vm: &vm.vm,
        data_centre: &vm.data_centre,
        members,
        subset_size: SUBSET_SIZE,
        remote_percent: 25,
    };
    choose_subset(&query, targets)
}

/// Load on each target if every VM spreads one unit evenly over the local part of its subset.
fn local_load(members: &[RouteMember], targets: &[SubsetTarget<'_>]) -> Vec<f64> {
    let mut load = vec![0.0; targets.len()];
    for vm in members {
        let subset = subset(vm, members, targets);
        for index in &subset.local {
            load[*index] += 1.0 / subset.local.len() as f64;
        }
    }
    load
}

/// Guards against targets that no VM uses or that too many use, with and without churn.
#[test_case(330, 4200; "design size")]
#[test_case(310, 4200; "20 VMs lost")]
#[test_case(330, 3900; "300 targets lost")]
fn load_is_even(vms: usize, targets: usize) {
    let (members, names) = (members(vms, DATA_CENTRES), Names::new(targets));
    let load = local_load(&members, &names.targets());
    let mean = load.iter().sum::<f64>() / load.len() as f64;
    let max = load.iter().copied().fold(0.0, f64::max) / mean;
    let min = load.iter().copied().fold(f64::INFINITY, f64::min) / mean;
    assert!(max < 1.5 && min > 0.67, "from {min:.2} to {max:.2} of the mean");
}

/// Guards against subsets that are unbounded or miss the other data centres.
#[test]
fn subsets_are_bounded() {
    let (members, names) = (members(330, DATA_CENTRES), Names::new(4200));
    for vm in members.iter().take(40) {
        let subset = subset(vm, &members, &names.targets());
        let size = subset.local.len() + subset.remote.len();
        assert!((SUBSET_SIZE / 2..=SUBSET_SIZE * 2).contains(&size), "{size}");
        assert!(subset.remote.len() >= 8);
    }
}

/// Guards against one VM's or target's failure reshuffling the connections of all.
#[test_case(329, 4200, 8; "one VM less")]
#[test_case(330, 4199, 1; "one target less")]
fn churn_moves_little(vms: usize, targets: usize, allowed: usize) {
    let (all, names) = (members(330, DATA_CENTRES), Names::new(4200));
    let (fewer, fewer_names) = (members(vms, DATA_CENTRES), Names::new(targets));
    let chosen = |members: &[RouteMember], names: &Names, vm: &RouteMember| -> HashSet<String> {
        let subset = subset(vm, members, &names.targets());
        subset.local.iter().chain(&subset.remote).map(|index| names.ids[*index].clone()).collect()
    };
    for vm in all.iter().take(40) {
        let before = chosen(&all, &names, vm);
        let after = chosen(&fewer, &fewer_names, vm);
        let moved = before.symmetric_difference(&after).count();
        assert!(moved <= allowed, "{} changed {moved} targets", vm.vm);
    }
}

/// Guards against a VM without targets while it does not know the other VMs, and against small
/// pools being cut.
#[test]
fn subsets_without_members_and_of_small_pools() {
    let (none, names) = (Vec::new(), Names::new(4200));
    let vm = &members(1, 1)[0];
    let alone = subset(vm, &none, &names.targets());
    assert_eq!(alone.local.len() + alone.remote.len(), SUBSET_SIZE);
    let small = Names::new(10);
    let whole = subset(vm, &members(7, DATA_CENTRES), &small.targets());
    assert_eq!(whole.local.len() + whole.remote.len(), 10);
}
