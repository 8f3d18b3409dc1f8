//! Reports of target crashes that nodes share with each other.
//!
//! A node sends its crash reports to the watchers, which pass them on to all nodes through the
//! feed.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::id::VmId;
use deck_limit::crash::FingerprintCrashes;
use serde::{Deserialize, Serialize};

/// HTTP path at which a node receives the crash reports of other nodes (POST) and returns all that it
/// knows (GET).
pub const CRASHES_PATH: &str = "/peer/crashes";
/// Maximum size of a message with the crash reports of one node.
pub const MAX_CRASHES_BYTES: usize = 64 * 1024;

/// Maximum size of a message with the crash reports of all nodes.
pub const MAX_ALL_CRASHES_BYTES: usize = 4 * 1024 * 1024;

/// Crashes observed by one node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeCrashes {
    /// VM of the node.
    pub vm: VmId,
    /// All crashes currently reported by the node; replaces its previous report.
    pub crashes: Vec<FingerprintCrashes>,
}

/// Crash reports of all nodes; clones share their state.
#[derive(Clone)]
pub struct CrashRegistry {
    inner: Rc<RegistryState>,
}

/// State shared by the clones of a [`CrashRegistry`].
struct RegistryState {
    /// Time after which the report of a node is dropped.
    retention: Duration,
    /// Crashes of each node, with the time at which its report was received. Invariant: no list is
    /// empty.
    crashes_by_vm: RefCell<BTreeMap<VmId, (Instant, Vec<FingerprintCrashes>)>>,
    /// Version of `crashes_by_vm`, incremented with each change.
    version: Cell<u64>,
}

impl CrashRegistry {
    /// Creates an empty instance that drops the report of a node after `retention`.
    pub fn new(retention: Duration) -> Self {
        let (crashes_by_vm, version) = (RefCell::default(), Cell::new(0));
        Self { inner: Rc::new(RegistryState { retention, crashes_by_vm, version }) }
    }

    /// Returns the version of the reports, which increases with each change.
    pub fn version(&self) -> u64 {
        self.inner.version.get()
    }

    /// Replaces the report of one node.
    pub fn set(&self, report: NodeCrashes, now: Instant) {
        let mut crashes_by_vm = self.inner.crashes_by_vm.borrow_mut();
        let previous = crashes_by_vm.get(&report.vm).map(|(_, crashes)| crashes.as_slice());
        let changed = previous.unwrap_or_default() != report.crashes;
        if report.crashes.is_empty() {
            crashes_by_vm.remove(&report.vm);
        } else {
            crashes_by_vm.insert(report.vm, (now, report.crashes));
        }
        drop(crashes_by_vm);
        if changed {
            self.increment_version();
        }
    }

    /// Adds the report of a node that has sent none itself.
    pub fn set_if_absent(&self, report: NodeCrashes, now: Instant) {
        let is_absent = !self.inner.crashes_by_vm.borrow().contains_key(&report.vm);
        if is_absent {
            self.set(report, now);
        }
    }

    /// Replaces the reports of all nodes.
    pub fn replace(&self, reports: Vec<NodeCrashes>, now: Instant) {
        let reports = reports.into_iter().filter(|report| !report.crashes.is_empty());
        let reports = reports.map(|report| (report.vm, (now, report.crashes))).collect();
        self.inner.crashes_by_vm.replace(reports);
        self.increment_version();
    }

    /// Returns the reports of all nodes, after dropping expired ones.
    pub fn reports(&self, now: Instant) -> Vec<NodeCrashes> {
        self.remove_expired(now);
        let crashes_by_vm = self.inner.crashes_by_vm.borrow();
        let reports = crashes_by_vm.iter();
        let reports = reports
            .map(|(vm, (_, crashes))| NodeCrashes { vm: vm.clone(), crashes: crashes.clone() });
        reports.collect()
    }

    /// Drops the reports that have expired at `now`.
    pub fn remove_expired(&self, now: Instant) {
        let mut crashes_by_vm = self.inner.crashes_by_vm.borrow_mut();
        let count_before = crashes_by_vm.len();
        crashes_by_vm
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < self.inner.retention);
        let any_expired = crashes_by_vm.len() != count_before;
        drop(crashes_by_vm);
        if any_expired {
            self.increment_version();
        }
    }

    fn increment_version(&self) {
        self.inner.version.set(self.inner.version.get() + 1);
    }
}

impl Default for CrashRegistry {
    /// Retains reports for as long as the crash limiter remembers crashes by default.
    fn default() -> Self {
        Self::new(deck_limit::CrashOptions::default().retention)
    }
}
