//! Exchange of demand between VMs, from which each VM derives its allocation of a pool's capacity.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{
    hash::hash64,
    id::{DataCentreId, Incarnation, VmId},
};
use serde::{Deserialize, Serialize};

use crate::AdmissionOptions;

/// Demand report of a VM, as received from the peer network.
#[derive(Debug, Clone, PartialEq)]
pub struct DemandReport {
    /// VM that published the report.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Incarnation of the VM that published the report.
    pub incarnation: Incarnation,
    /// Report as encoded by [`Admission::next_demand_report`](crate::Admission::next_demand_report).
    pub value: Bytes,
    /// Time since the report was made.
    pub age: Duration,
}

/// Maximum number of entries of a report; the smallest demands are left out. 32 entries take about
/// 300 bytes.
const MAX_REPORT_ENTRIES: usize = 32;

/// Hash of a pool and an organisation. Reports contain hashes instead of names to stay small. If two
/// pairs have the same hash, their demands are added up, with no other effect.
pub(crate) type DemandKey = u32;

/// Computes the key of a pool and an organisation.
pub(crate) fn demand_key(pool: &str, organisation: &str) -> DemandKey {
    let pool = hash64(pool.as_bytes());
    (hash64(organisation.as_bytes()) ^ pool.rotate_left(17)) as u32
}

/// Key of a pool and an organisation, and the organisation's demand in slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct DemandEntry(pub DemandKey, pub u32);

/// Demand report, encoded as a CBOR array of pairs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Report(Vec<DemandEntry>);

/// Demand of this VM as last reported, and of the other VMs as received.
#[derive(Debug, Default)]
pub(crate) struct DemandExchange {
    remote_vms: HashMap<VmId, RemoteVm>,
    /// Last report of this VM. All VMs divide capacity by reported demand, so this VM uses its own
    /// report too.
    last_report: HashMap<DemandKey, u32>,
    /// Time of the last report of this VM.
    last_report_at: Option<Instant>,
}

/// Last report of another VM and the VM's membership.
#[derive(Debug, Default)]
struct RemoteVm {
    /// Demand in slots as last reported.
    demand: HashMap<DemandKey, u32>,
    /// Time at which the report was made.
    reported_at: Option<Instant>,
    /// When the VM was first found missing from the members; `None` while it is a member.
    missing_since: Option<Instant>,
}

/// Fractions of a pool's capacity that this VM may use, between 0 and 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CapacityFractions {
    /// Fraction that the VMs with fresh reports, this one included, divide among themselves by demand.
    pub reported_fraction: f64,
    /// Fraction of one VM if capacity is divided equally among all VMs, as is done without reports.
    pub equal_fraction: f64,
}

impl DemandExchange {
    /// Sets the members. VMs that are missing keep their allocation for a while, because they
    /// may still use it on the other side of a network partition.
    pub fn set_members(&mut self, local_vm: &str, members: &[VmId], now: Option<Instant>) {
        for vm in members.iter().filter(|vm| *vm != local_vm) {
            self.remote_vms.entry(vm.clone()).or_default().missing_since = None;
        }
        for (vm, remote_vm) in &mut self.remote_vms {
            if !members.contains(vm) {
                remote_vm.missing_since = remote_vm.missing_since.or(now);
            }
        }
        if now.is_none() {
            self.remote_vms.retain(|vm, _| members.contains(vm));
        }
    }

    /// Removes a VM that announced that it is leaving.
    pub fn remove_member(&mut self, vm: &str) {
        self.remote_vms.remove(vm);
    }

    /// Removes VMs that have been missing for long enough.
    pub fn expire(&mut self, options: &AdmissionOptions, now: Instant) {
        let missing_count =
            self.remote_vms.values().filter(|remote_vm| remote_vm.missing_since.is_some()).count();
        // A few missing VMs have probably crashed; many at once suggest a network partition.
        let is_partition = missing_count * 4 > self.remote_vms.len();
        let retention = if is_partition {
            options.partitioned_vm_retention
        } else {
            options.crashed_vm_retention
        };
        self.remote_vms.retain(|_, remote_vm| {
            remote_vm.missing_since.is_none_or(|at| now.saturating_duration_since(at) < retention)
        });
    }

    /// Applies reports of other VMs. A malformed report is logged and ignored.
    pub fn apply_reports(&mut self, local_vm: &str, reports: &[DemandReport], now: Instant) {
        for published in reports.iter().filter(|published| published.vm != local_vm) {
            let report: Report = match ciborium::from_reader(published.value.as_ref()) {
                Ok(report) => report,
                Err(error) => {
                    let vm = &published.vm;
                    log::warn!(target: "limit", "malformed demand report vm={vm} error={error}");
                    continue;
                }
            };
            // A report of a VM that is not a member may remain from before the VM stopped.
            let Some(remote_vm) = self.remote_vms.get_mut(&published.vm) else { continue };
            remote_vm.reported_at = now.checked_sub(published.age);
            remote_vm.demand = report.0.iter().map(|entry| (entry.0, entry.1)).collect();
        }
    }

    /// Encodes the next report of this VM and keeps its entries as the last report.
    pub fn next_report(&mut self, mut entries: Vec<DemandEntry>, now: Instant) -> Bytes {
        entries.retain(|entry| entry.1 > 0);
        entries.sort_unstable_by_key(|entry| std::cmp::Reverse((entry.1, entry.0)));
        entries.truncate(MAX_REPORT_ENTRIES);
        self.last_report = entries.iter().map(|entry| (entry.0, entry.1)).collect();
        self.last_report_at = Some(now);
        let mut value = Vec::new();
        if let Err(error) = ciborium::into_writer(&Report(entries), &mut value) {
            log::error!(target: "limit", "failed to encode demand report error={error}");
        }
        value.into()
    }

    /// Returns whether this VM should publish a report, because its demand has changed by at least a
    /// tenth and two slots, or the last report is old.
    pub fn is_report_due(
        &self,
        entries: &[DemandEntry],
        options: &AdmissionOptions,
        now: Instant,
    ) -> bool {
        let Some(reported_at) = self.last_report_at else { return true };
        let age = now.saturating_duration_since(reported_at);
        let has_changed = entries.iter().any(|entry| {
            let reported_slots = self.last_report.get(&entry.0).copied().unwrap_or(0);
            let difference = reported_slots.abs_diff(entry.1);
            difference >= 2 && difference * 10 >= reported_slots
        });
        age >= options.report_refresh_interval
            || (has_changed && age >= options.report_min_interval)
    }

    /// Returns the fractions of each pool that follow from the reports received.
    pub fn capacity_fractions(
        &self,
        options: &AdmissionOptions,
        now: Instant,
    ) -> CapacityFractions {
        let vm_count = self.remote_vms.len() + 1;
        let vms_without_report =
            self.remote_vms.values().filter(|remote_vm| !remote_vm.is_fresh(options, now)).count();
        CapacityFractions {
            reported_fraction: 1.0 - vms_without_report as f64 / vm_count as f64,
            equal_fraction: 1.0 / vm_count as f64,
        }
    }

    /// Returns the demand of this VM in slots, as last reported.
    pub fn local_demand(&self, key: DemandKey) -> f64 {
        f64::from(self.last_report.get(&key).copied().unwrap_or(0))
    }

    /// Returns the sum of the demands of the other VMs with fresh reports, in slots.
    pub fn remote_demand(&self, key: DemandKey, options: &AdmissionOptions, now: Instant) -> f64 {
        let fresh_vms =
            self.remote_vms.values().filter(|remote_vm| remote_vm.is_fresh(options, now));
        fresh_vms.map(|remote_vm| f64::from(remote_vm.demand.get(&key).copied().unwrap_or(0))).sum()
    }
}

impl RemoteVm {
    /// Returns whether there is a report that is not too old.
    fn is_fresh(&self, options: &AdmissionOptions, now: Instant) -> bool {
        self.reported_at
            .is_some_and(|at| now.saturating_duration_since(at) <= options.report_max_age)
    }
}
