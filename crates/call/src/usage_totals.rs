//! Usage totals in the status of an organisation, updated from the counters that VMs publish.

use deck_core::id::{Incarnation, JobName, OrganisationId, PoolName, VmId};
use serde::{Deserialize, Serialize};

use crate::usage::{UsageCounters, UsageReport};

/// Time after which the entry of an absent VM is removed: one that is not a live member and
/// publishes no usage.
///
/// The usage of a process that returns after a longer absence would be counted twice, so the time
/// is well above the network partitions of up to an hour that a deployment must tolerate. At 1,100
/// replaced VMs a day with new names, about 280 entries are kept.
pub const ABSENT_VM_RETENTION_S: u64 = 6 * 3600;

/// Usage of a pool by a rollout job.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolUsage {
    /// Pool that executed the calls.
    pub pool: PoolName,
    /// Rollout job; empty for calls that belong to no job.
    pub job: JobName,
    /// Calls that were sent to a target.
    pub calls: u64,
    /// Tokens that engines generated for these calls.
    pub tokens: u64,
    /// Time that targets spent on these calls over all attempts, in milliseconds.
    pub engine_ms: u64,
}

/// Counters of one VM up to which the totals include its usage. Only the increase over these
/// counters is added from a later report.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CountedVmUsage {
    /// VM that published the counters.
    pub vm: VmId,
    /// Incarnation of the process that counted. Invariant: never decreases while the entry exists.
    pub incarnation: Incarnation,
    /// Start of the absence of the VM, in seconds since the Unix epoch; `None` if it is present.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub absent_since_unix_s: Option<u64>,
    /// Counters by pool and job. Invariant: they never decrease within an incarnation.
    pub counters: Vec<PoolUsage>,
}

/// Usage fields of `OrganisationShareStatus`.
///
/// Invariant: `usage_folded` and `usage` are written together, so that adding a report again has no
/// effect.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrganisationUsageTotals {
    /// Usage totals of the organisation, sorted by pool and job.
    #[serde(default)]
    pub usage: Vec<PoolUsage>,
    /// Counters of each VM that `usage` already includes, sorted by VM.
    #[serde(default)]
    pub usage_folded: Vec<CountedVmUsage>,
}

impl OrganisationUsageTotals {
    /// Adds the usage of `organisation` in a report of `vm` that the totals do not include yet.
    ///
    /// A report of an earlier incarnation than the recorded one is ignored.
    pub fn add_report(&mut self, organisation: &OrganisationId, vm: &VmId, report: &UsageReport) {
        let entries: Vec<_> =
            report.entries.iter().filter(|entry| entry.key.organisation == *organisation).collect();
        if entries.is_empty() {
            return;
        }
        let vm_usage = find_or_insert_vm(&mut self.usage_folded, vm, report.incarnation);
        if report.incarnation < vm_usage.incarnation {
            return;
        }
        if report.incarnation > vm_usage.incarnation {
            vm_usage.incarnation = report.incarnation;
            vm_usage.counters.clear();
        }
        for entry in entries {
            let counted =
                find_or_insert_pool(&mut vm_usage.counters, &entry.key.pool, &entry.key.job);
            let added = counted.advance_to(entry.counters);
            find_or_insert_pool(&mut self.usage, &entry.key.pool, &entry.key.job).add(added);
        }
    }

    /// Marks VMs for which `is_present` returns `false` as absent, and removes the entries of VMs
    /// that have been absent for [`ABSENT_VM_RETENTION_S`]. The totals are kept.
    pub fn remove_absent_vms(&mut self, is_present: impl Fn(&VmId) -> bool, now_unix_s: u64) {
        for vm_usage in &mut self.usage_folded {
            vm_usage.absent_since_unix_s = match vm_usage.absent_since_unix_s {
                _ if is_present(&vm_usage.vm) => None,
                Some(since) => Some(since),
                None => Some(now_unix_s),
            };
        }
        self.usage_folded.retain(|vm_usage| {
            let since = vm_usage.absent_since_unix_s.unwrap_or(now_unix_s);
            now_unix_s.saturating_sub(since) < ABSENT_VM_RETENTION_S
        });
    }

    /// Returns `true` if the totals include all usage of `organisation` in a report of `vm`.
    pub fn includes_report(
        &self,
        organisation: &OrganisationId,
        vm: &VmId,
        report: &UsageReport,
    ) -> bool {
        let mut with_report = self.clone();
        with_report.add_report(organisation, vm, report);
        with_report == *self
    }
}

impl PoolUsage {
    /// Raises the counters to `counters` and returns the increase of each.
    fn advance_to(&mut self, counters: UsageCounters) -> UsageCounters {
        let advance = |counted: &mut u64, counter: u64| {
            let added = counter.saturating_sub(*counted);
            *counted += added;
            added
        };
        UsageCounters {
            calls: advance(&mut self.calls, counters.calls),
            tokens: advance(&mut self.tokens, counters.tokens),
            engine_ms: advance(&mut self.engine_ms, counters.engine_ms),
        }
    }

    fn add(&mut self, added: UsageCounters) {
        self.calls += added.calls;
        self.tokens += added.tokens;
        self.engine_ms += added.engine_ms;
    }
}

/// Returns the entry of a VM, which is inserted if it is missing.
fn find_or_insert_vm<'a>(
    vm_usages: &'a mut Vec<CountedVmUsage>,
    vm: &VmId,
    incarnation: Incarnation,
) -> &'a mut CountedVmUsage {
    let found = vm_usages.binary_search_by(|entry| entry.vm.cmp(vm));
    let index = found.unwrap_or_else(|index| {
        let (vm, counters) = (vm.clone(), Vec::new());
        vm_usages
            .insert(index, CountedVmUsage { vm, incarnation, absent_since_unix_s: None, counters });
        index
    });
    &mut vm_usages[index]
}

/// Returns the entry of a pool and job, which is inserted with zero counters if it is missing.
fn find_or_insert_pool<'a>(
    usage: &'a mut Vec<PoolUsage>,
    pool: &PoolName,
    job: &JobName,
) -> &'a mut PoolUsage {
    let found = usage.binary_search_by(|entry| (&entry.pool, &entry.job).cmp(&(pool, job)));
    let index = found.unwrap_or_else(|index| {
        let (pool, job) = (pool.clone(), job.clone());
        usage.insert(index, PoolUsage { pool, job, calls: 0, tokens: 0, engine_ms: 0 });
        index
    });
    &mut usage[index]
}
