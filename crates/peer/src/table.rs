//! Member table: merges what other VMs report and decides when a member counts as dead.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{hash::hash64, id::VmId};

use crate::{Member, MemberState, wire::MemberRecord};

/// Time after which a leaving member counts as gone.
const LEAVING_RETENTION: Duration = Duration::from_secs(60);

struct Entry {
    record: MemberRecord,
    /// When `record` came to its state.
    since: Instant,
}

/// All members that a VM knows, itself included.
pub(crate) struct MemberTable {
    own: VmId,
    entries: BTreeMap<VmId, Entry>,
    /// The entries as members; `None` after a change. Roles and partners are computed from all
    /// members after each change, and copying hundreds of members each time is most of the cost.
    members: RefCell<Option<Rc<[Member]>>>,
}

impl MemberTable {
    pub(crate) fn new(own: MemberRecord, now: Instant) -> Self {
        let vm = own.vm.clone();
        let entries = BTreeMap::from([(vm.clone(), Entry { record: own, since: now })]);
        Self { own: vm, entries, members: RefCell::default() }
    }

    /// Merges a record and returns the record to pass on if it changed the table.
    ///
    /// A report that a live member is dead only makes it a suspect here, so that the member can
    /// refute: after a partition each side reports the whole other side as dead.
    pub(crate) fn merge(&mut self, mut record: MemberRecord, now: Instant) -> Option<MemberRecord> {
        if record.vm == self.own {
            return self.refute(&record, now);
        }
        if let Some(entry) = self.entries.get(&record.vm) {
            let held = &entry.record;
            let held_active = held.state < MemberState::Leaving;
            if record.state == MemberState::Dead && held_active {
                record.state = MemberState::Suspect;
            }
            if record.rank() <= held.rank() {
                return None;
            }
        }
        let entry = Entry { record: record.clone(), since: now };
        self.entries.insert(record.vm.clone(), entry);
        self.members.take();
        Some(record)
    }

    /// Answers a report about this VM that is newer than its own record.
    fn refute(&mut self, report: &MemberRecord, now: Instant) -> Option<MemberRecord> {
        let own = self.entries.get_mut(&self.own)?;
        if report.rank() <= own.record.rank() {
            return None;
        }
        if report.incarnation > own.record.incarnation {
            // The clock went back between two runs, or two processes have the same name.
            log::warn!(
                target: "peer",
                "later incarnation of this vm reported own={} reported={}",
                own.record.incarnation, report.incarnation
            );
            own.record.incarnation = report.incarnation + 1;
            own.record.refutation = 0;
        } else {
            own.record.refutation = report.refutation + 1;
        }
        own.since = now;
        self.members.take();
        Some(own.record.clone())
    }

    /// Marks a live member that does not answer probes as suspected.
    pub(crate) fn suspect(&mut self, vm: &str, now: Instant) -> Option<MemberRecord> {
        let entry = self.entries.get_mut(vm)?;
        if vm == self.own || entry.record.state != MemberState::Live {
            return None;
        }
        entry.record.state = MemberState::Suspect;
        entry.since = now;
        self.members.take();
        Some(entry.record.clone())
    }

    /// Announces that this VM is leaving.
    pub(crate) fn leave(&mut self, now: Instant) -> Option<MemberRecord> {
        let entry = self.entries.get_mut(&self.own)?;
        entry.record.state = MemberState::Leaving;
        entry.since = now;
        self.members.take();
        Some(entry.record.clone())
    }

    /// Declares suspects dead whose time to refute is over and forgets members that are long dead.
    /// Returns the members that died.
    pub(crate) fn expire(
        &mut self,
        now: Instant,
        suspicion_timeout: Duration,
        dead_retention: Duration,
    ) -> Vec<VmId> {
        let mut died = Vec::new();
        self.members.take();
        for (vm, entry) in &mut self.entries {
            let age = now.saturating_duration_since(entry.since);
            let is_over = match entry.record.state {
                MemberState::Suspect => age >= suspicion_timeout,
                MemberState::Leaving => *vm != self.own && age >= LEAVING_RETENTION,
                MemberState::Live | MemberState::Dead => false,
            };
            if is_over {
                entry.record.state = MemberState::Dead;
                entry.since = now;
                died.push(vm.clone());
            }
        }
        self.entries.retain(|_, entry| {
            entry.record.state != MemberState::Dead
                || now.saturating_duration_since(entry.since) < dead_retention
        });
        died
    }

    /// Gives suspects more time after this process was paused: their answers may be unread.
    pub(crate) fn extend_suspicions(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            if entry.record.state == MemberState::Suspect {
                entry.since = now;
            }
        }
    }

    pub(crate) fn own(&self) -> MemberRecord {
        // Invariant: the table always has the entry of this VM.
        self.entries[&self.own].record.clone()
    }

    pub(crate) fn get(&self, vm: &str) -> Option<&MemberRecord> {
        self.entries.get(vm).map(|entry| &entry.record)
    }

    pub(crate) fn members(&self) -> Rc<[Member]> {
        let mut members = self.members.borrow_mut();
        let current = members.get_or_insert_with(|| {
            self.entries.values().map(|entry| entry.record.to_member()).collect()
        });
        current.clone()
    }

    pub(crate) fn records(&self) -> Vec<MemberRecord> {
        self.entries.values().map(|entry| entry.record.clone()).collect()
    }

    /// Returns a digest of all members that are not dead. The dead are left out because VMs
    /// declare and forget them at different times.
    pub(crate) fn digest(&self) -> u64 {
        let present = self.entries.values().filter(|e| e.record.state != MemberState::Dead);
        present.fold(0, |digest, entry| digest ^ record_hash(&entry.record))
    }

    /// Returns the dead members whose values are no longer of use at `now`.
    pub(crate) fn dead_for(&self, now: Instant, age: Duration) -> Vec<VmId> {
        let dead = self.entries.iter().filter(|(_, entry)| {
            entry.record.state == MemberState::Dead
                && now.saturating_duration_since(entry.since) >= age
        });
        dead.map(|(vm, _)| vm.clone()).collect()
    }
}

fn record_hash(record: &MemberRecord) -> u64 {
    let MemberRecord { vm, incarnation, refutation, state, .. } = record;
    hash64(format!("{vm}/{incarnation}/{refutation}/{state:?}").as_bytes())
}
