//! Demand of the VMs and the parts of a pool's capacity that follow from it.

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

/// Demand report of another VM, as the peer links deliver it.
#[derive(Debug, Clone, PartialEq)]
pub struct Published {
    /// VM that published the report.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The report.
    pub value: Bytes,
    /// Age of the report.
    pub age: Duration,
}

/// Most entries of a report; smaller demands are left out. 32 entries take about 300 bytes.
const MAX_ENTRIES: usize = 32;

/// Hash of a pool and an organisation. Reports hold hashes instead of names to stay small; two
/// pairs with the same hash would merely add up their demands.
pub(crate) type DemandKey = u32;

/// Returns the key of a pool and an organisation.
pub(crate) fn demand_key(pool: &str, organisation: &str) -> DemandKey {
    let pool = hash64(pool.as_bytes());
    (hash64(organisation.as_bytes()) ^ pool.rotate_left(17)) as u32
}

/// Demand for one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct DemandEntry(pub DemandKey, pub u32);

/// Report as it is published: a CBOR array of pairs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Report(Vec<DemandEntry>);

/// What this VM knows about the demand of all VMs.
#[derive(Debug, Default)]
pub(crate) struct Exchange {
    others: HashMap<VmId, OtherVm>,
    /// Last report of this VM: what the others know of it.
    published: HashMap<DemandKey, u32>,
    published_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct OtherVm {
    demand: HashMap<DemandKey, u32>,
    /// When the report was made.
    reported_at: Option<Instant>,
    /// When the VM was first missing from the members.
    vanished_at: Option<Instant>,
}

/// Part of a pool for this VM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Knowledge {
    /// Part of the capacity that the VMs with fresh reports divide, between 0 and 1.
    pub reported_part: f64,
    /// Part of the capacity that this VM has without any report.
    pub equal_part: f64,
}

impl Exchange {
    /// Takes over the members. VMs that are missing keep their part for a while, because their
    /// side of a partition may still use it.
    pub fn set_members(&mut self, own: &str, members: &[VmId], now: Option<Instant>) {
        for vm in members.iter().filter(|vm| *vm != own) {
            self.others.entry(vm.clone()).or_default().vanished_at = None;
        }
        for (vm, other) in &mut self.others {
            if !members.contains(vm) {
                other.vanished_at = other.vanished_at.or(now);
            }
        }
        if now.is_none() {
            self.others.retain(|vm, _| members.contains(vm));
        }
    }

    /// Forgets a VM that announced that it leaves.
    pub fn remove_member(&mut self, vm: &str) {
        self.others.remove(vm);
    }

    /// Forgets VMs that vanished long enough ago.
    pub fn expire(&mut self, options: &AdmissionOptions, now: Instant) {
        let vanished = self.others.values().filter(|other| other.vanished_at.is_some()).count();
        // Few VMs that vanish have crashed; many at once are behind a broken link.
        let partition = vanished * 4 > self.others.len();
        let memory = if partition { options.partition_memory } else { options.crash_memory };
        self.others.retain(|_, other| {
            other.vanished_at.is_none_or(|at| now.saturating_duration_since(at) < memory)
        });
    }

    /// Takes over the reports of other VMs; a malformed one is logged and counts as missing.
    pub fn apply(&mut self, own: &str, reports: &[Published], now: Instant) {
        for published in reports.iter().filter(|published| published.vm != own) {
            let report: Report = match ciborium::from_reader(published.value.as_ref()) {
                Ok(report) => report,
                Err(error) => {
                    let vm = &published.vm;
                    log::warn!(target: "limit", "malformed demand report vm={vm} error={error}");
                    continue;
                }
            };
            // A value of a VM that is no member may be left over from before it stopped.
            let Some(other) = self.others.get_mut(&published.vm) else { continue };
            other.reported_at = now.checked_sub(published.age);
            other.demand = report.0.iter().map(|entry| (entry.0, entry.1)).collect();
        }
    }

    /// Returns the report of this VM and remembers it as what the others know.
    pub fn publish(&mut self, mut entries: Vec<DemandEntry>, now: Instant) -> Bytes {
        entries.retain(|entry| entry.1 > 0);
        entries.sort_unstable_by_key(|entry| std::cmp::Reverse((entry.1, entry.0)));
        entries.truncate(MAX_ENTRIES);
        self.published = entries.iter().map(|entry| (entry.0, entry.1)).collect();
        self.published_at = Some(now);
        let mut value = Vec::new();
        if let Err(error) = ciborium::into_writer(&Report(entries), &mut value) {
            log::error!(target: "limit", "demand report not encoded error={error}");
        }
        value.into()
    }

    /// Returns whether this VM should publish a report: its demand has changed by a tenth and at
    /// least two slots, or the last report is old.
    pub fn is_due(
        &self,
        entries: &[DemandEntry],
        options: &AdmissionOptions,
        now: Instant,
    ) -> bool {
        let Some(at) = self.published_at else { return true };
        let age = now.saturating_duration_since(at);
        let changed = entries.iter().any(|entry| {
            let before = self.published.get(&entry.0).copied().unwrap_or(0);
            let difference = before.abs_diff(entry.1);
            difference >= 2 && difference * 10 >= before
        });
        age >= options.report_refresh || (changed && age >= options.report_min_interval)
    }

    /// Returns which parts of a pool this VM may count on.
    pub fn knowledge(&self, options: &AdmissionOptions, now: Instant) -> Knowledge {
        let vms = self.others.len() + 1;
        let silent = self.others.values().filter(|other| !other.is_fresh(options, now)).count();
        Knowledge { reported_part: 1.0 - silent as f64 / vms as f64, equal_part: 1.0 / vms as f64 }
    }

    /// Returns the demand of this VM as the others know it.
    pub fn own_demand(&self, key: DemandKey) -> f64 {
        f64::from(self.published.get(&key).copied().unwrap_or(0))
    }

    /// Returns the demand of the other VMs that have fresh reports.
    pub fn others_demand(&self, key: DemandKey, options: &AdmissionOptions, now: Instant) -> f64 {
        let fresh = self.others.values().filter(|other| other.is_fresh(options, now));
        fresh.map(|other| f64::from(other.demand.get(&key).copied().unwrap_or(0))).sum()
    }
}

impl OtherVm {
    fn is_fresh(&self, options: &AdmissionOptions, now: Instant) -> bool {
        self.reported_at
            .is_some_and(|at| now.saturating_duration_since(at) <= options.report_max_age)
    }
}
