//! Exchange of demand reports between VMs.

mod common;

use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{admission, fill, request};
use deck_core::priority::Priority;
use deck_limit::{Admission, Published};

const SECOND: Duration = Duration::from_secs(1);

/// Admission controls of several VMs that share one pool.
struct Fleet {
    vms: Vec<Admission>,
}

impl Fleet {
    fn new(vms: usize, slots: u32, shares: &[(&str, u32)]) -> Self {
        let names: Vec<_> = (0..vms).map(|vm| format!("vm{vm}")).collect();
        let vms: Vec<_> = names.iter().map(|name| admission(name, slots, shares)).collect();
        vms.iter().for_each(|vm| vm.set_members(&names));
        Self { vms }
    }

    /// Exchanges demand reports among the VMs with indices in `group`.
    fn exchange_reports(&self, group: std::ops::Range<usize>, now: Instant) {
        let reports: Vec<_> = group
            .clone()
            .map(|vm| received_report(&format!("vm{vm}"), self.vms[vm].demand_report(now)))
            .collect();
        self.vms[group].iter().for_each(|vm| vm.apply_reports(&reports, now));
    }

    fn vm_names(&self) -> Vec<String> {
        (0..self.vms.len()).map(|vm| format!("vm{vm}")).collect()
    }
}

fn received_report(vm: &str, value: Bytes) -> Published {
    let (vm, data_centre) = (vm.to_owned(), "dc".to_owned());
    Published { vm, data_centre, incarnation: 1, value, age: Duration::ZERO }
}

/// Guards against capacity that stays assigned to VMs without demand.
#[test]
fn capacity_follows_demand() {
    let fleet = Fleet::new(4, 80, &[("a", 100)]);
    let now = Instant::now();
    fleet.exchange_reports(0..4, now);
    let mut calls = fill(&fleet.vms[0], "a", Priority::Interactive, now);
    assert_eq!(calls.len(), 20);
    for round in 1..=6 {
        let now = now + SECOND * round / 2;
        fleet.exchange_reports(0..4, now);
        calls.extend(fill(&fleet.vms[0], "a", Priority::Interactive, now));
    }
    assert_eq!(calls.len(), 80);
}

/// Guards against a share lent at one VM that its owner cannot get back at another VM within 2 s.
#[test]
fn share_is_reclaimed_across_vms() {
    let fleet = Fleet::new(4, 80, &[("a", 50), ("b", 50)]);
    let lending_started_at = Instant::now();
    let mut borrower_calls = Vec::new();
    for round in 0..10 {
        let now = lending_started_at + SECOND * round;
        fleet.exchange_reports(0..4, now);
        borrower_calls.extend(fill(&fleet.vms[0], "b", Priority::Interactive, now));
    }
    assert_eq!(borrower_calls.len(), 80);
    let mut owner_calls = Vec::new();
    for round in 0..=4 {
        // Reports are exchanged every 500 ms.
        let now = lending_started_at + 10 * SECOND + Duration::from_millis(500 * round);
        fleet.exchange_reports(0..4, now);
        owner_calls.extend(fill(&fleet.vms[1], "a", Priority::Interactive, now));
    }
    assert_eq!(owner_calls.len(), 40, "the whole share within 2 s");
}

/// Guards against each side of a network partition using the whole pool. Without fresh reports, each VM
/// keeps its equal allocation among the members before the partition, even if these are declared dead.
#[test]
fn partitioned_vms_fall_back_to_equal_allocations() {
    let fleet = Fleet::new(6, 60, &[("a", 100)]);
    let mut now = Instant::now();
    fleet.exchange_reports(0..6, now);
    let vm_names = fleet.vm_names();
    drop(fleet.vms[0].admit(&request("a", Priority::Batch, now)));
    drop(fleet.vms[3].admit(&request("a", Priority::Batch, now)));
    for _ in 0..60 {
        now += SECOND;
        fleet.exchange_reports(0..3, now);
        fleet.exchange_reports(3..6, now);
        fleet.vms[..3].iter().for_each(|vm| vm.set_members(&vm_names[..3]));
        fleet.vms[3..].iter().for_each(|vm| vm.set_members(&vm_names[3..]));
    }
    let mut calls = Vec::new();
    for _ in 0..10 {
        now += SECOND;
        calls.extend(fleet.vms.iter().flat_map(|vm| fill(vm, "a", Priority::Batch, now)));
        fleet.exchange_reports(0..3, now);
        fleet.exchange_reports(3..6, now);
    }
    assert!((54..=66).contains(&calls.len()), "{} of 60 slots", calls.len());
}

/// Guards against slots allocated to a crashed VM remaining unused.
#[test]
fn slots_of_a_crashed_vm_are_reassigned() {
    let fleet = Fleet::new(6, 60, &[("a", 100)]);
    let mut now = Instant::now();
    fleet.exchange_reports(0..6, now);
    let vm_names = fleet.vm_names();
    for _ in 0..60 {
        now += SECOND;
        fleet.vms[..5].iter().for_each(|vm| vm.set_members(&vm_names[..5]));
        fleet.exchange_reports(0..5, now);
        drop(fill(&fleet.vms[0], "a", Priority::Batch, now));
    }
    let mut calls = Vec::new();
    for _ in 0..10 {
        now += SECOND;
        calls.extend(fill(&fleet.vms[0], "a", Priority::Batch, now));
        fleet.exchange_reports(0..5, now);
    }
    assert_eq!(calls.len(), 60);
}

/// Guards against demand reports that exceed the traffic budget of the control plane, and against
/// frequent reports while nothing changes.
#[test]
fn reports_are_small_and_rare() {
    let shares: Vec<_> = (0..20).map(|number| (format!("organisation-{number}"), 5)).collect();
    let shares: Vec<_> = shares.iter().map(|(name, share)| (name.as_str(), *share)).collect();
    let vm = admission("vm", 4000, &shares);
    let now = Instant::now();
    let calls: Vec<_> =
        shares.iter().flat_map(|(name, _)| fill(&vm, name, Priority::Batch, now)).collect();
    assert!(!calls.is_empty());
    assert!(vm.is_report_due(now));
    let report = vm.demand_report(now);
    assert!(report.len() <= 20 * 10 + 4, "{} bytes", report.len());
    assert!(!vm.is_report_due(now + SECOND));
    drop(calls);
    assert!(vm.is_report_due(now + SECOND));
}

/// Guards against a malformed report of one VM that prevents the reports of other VMs from being
/// applied.
#[test]
fn malformed_report_is_skipped() {
    let fleet = Fleet::new(3, 30, &[("a", 100)]);
    let now = Instant::now();
    let valid_report = fleet.vms[2].demand_report(now);
    let reports = [
        received_report("vm1", Bytes::from_static(b"\xff\x00")),
        received_report("vm2", valid_report),
    ];
    fleet.vms[0].apply_reports(&reports, now);
    fleet.vms[0].demand_report(now);
    // vm1 counts as a VM without a report and keeps its equal allocation; the remaining slots are
    // divided by demand.
    let calls = fill(&fleet.vms[0], "a", Priority::Batch, now);
    assert_eq!(calls.len(), 10);
    fleet.vms[0].demand_report(now);
    assert_eq!(fill(&fleet.vms[0], "a", Priority::Batch, now).len(), 10);
}
