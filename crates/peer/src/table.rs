//! Member table: merges member records from other VMs and declares members dead after their
//! timeouts.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{hash::hash64, id::VmId};

use crate::{Member, MemberState, wire::MemberRecord};

/// Time after which a leaving member is declared dead.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(60);

/// A member with the time of its last change.
struct MemberEntry {
    record: MemberRecord,
    /// Time at which this VM stored the current state of `record`; timeouts count from it.
    state_since: Instant,
}

/// All known members, including this VM.
pub(crate) struct MemberTable {
    own_vm: VmId,
    entries: BTreeMap<VmId, MemberEntry>,
    /// Cached list of the entries as [`Member`]s; `None` after a change. Watchers and partners are
    /// selected from all members after each change, and copying hundreds of members for each
    /// selection would be most of the cost.
    members: RefCell<Option<Rc<[Member]>>>,
}

impl MemberTable {
    pub(crate) fn new(own_record: MemberRecord, now: Instant) -> Self {
        let vm = own_record.vm.clone();
        let entries =
            BTreeMap::from([(vm.clone(), MemberEntry { record: own_record, state_since: now })]);
        Self { own_vm: vm, entries, members: RefCell::default() }
    }

    /// Merges a received record; if the table changed, returns the record to send to other VMs.
    ///
    /// A report that a live member is dead only makes it a suspect here, so that the member can
    /// refute it: after a network partition each side reports all VMs of the other side as dead. A
    /// report about this VM is refuted if it is wrong.
    pub(crate) fn merge(&mut self, mut record: MemberRecord, now: Instant) -> Option<MemberRecord> {
        if record.vm == self.own_vm {
            return self.refute(&record, now);
        }
        if let Some(entry) = self.entries.get(&record.vm) {
            let known_record = &entry.record;
            // The states are ordered: `Live` and `Suspect` come before `Leaving` and `Dead`.
            let is_known_active = known_record.state < MemberState::Leaving;
            if record.state == MemberState::Dead && is_known_active {
                record.state = MemberState::Suspect;
            }
            if record.precedence() <= known_record.precedence() {
                return None;
            }
        }
        let entry = MemberEntry { record: record.clone(), state_since: now };
        self.entries.insert(record.vm.clone(), entry);
        self.members.take();
        Some(record)
    }

    /// Changes the own record so that it takes precedence over a report about this VM, by raising
    /// the refutation number, or the incarnation if the reported one is higher. Returns the changed
    /// record, or `None` if the own record already takes precedence.
    fn refute(&mut self, report: &MemberRecord, now: Instant) -> Option<MemberRecord> {
        let own_entry = self.entries.get_mut(&self.own_vm)?;
        if report.precedence() <= own_entry.record.precedence() {
            return None;
        }
        if report.incarnation > own_entry.record.incarnation {
            // Incarnations come from the clock: it went back between two runs of this VM, or two
            // processes use the same VM name.
            log::warn!(
                target: "peer",
                "later incarnation of this vm reported own={} reported={}",
                own_entry.record.incarnation, report.incarnation
            );
            own_entry.record.incarnation = report.incarnation + 1;
            own_entry.record.refutation = 0;
        } else {
            own_entry.record.refutation = report.refutation + 1;
        }
        own_entry.state_since = now;
        self.members.take();
        Some(own_entry.record.clone())
    }

    /// Changes a live member that did not answer probes to `Suspect`; returns the changed record.
    pub(crate) fn suspect(&mut self, vm: &str, now: Instant) -> Option<MemberRecord> {
        let entry = self.entries.get_mut(vm)?;
        if vm == self.own_vm || entry.record.state != MemberState::Live {
            return None;
        }
        entry.record.state = MemberState::Suspect;
        entry.state_since = now;
        self.members.take();
        Some(entry.record.clone())
    }

    /// Changes the state of this VM to `Leaving`; returns the changed record.
    pub(crate) fn leave(&mut self, now: Instant) -> Option<MemberRecord> {
        let entry = self.entries.get_mut(&self.own_vm)?;
        entry.record.state = MemberState::Leaving;
        entry.state_since = now;
        self.members.take();
        Some(entry.record.clone())
    }

    /// Declares suspects and leaving members dead after their timeouts, and removes members that
    /// have been dead for `dead_retention`. Returns the VMs that were declared dead.
    pub(crate) fn expire(
        &mut self,
        now: Instant,
        suspicion_timeout: Duration,
        dead_retention: Duration,
    ) -> Vec<VmId> {
        let mut newly_dead = Vec::new();
        self.members.take();
        for (vm, entry) in &mut self.entries {
            let age = now.saturating_duration_since(entry.state_since);
            let has_expired = match entry.record.state {
                MemberState::Suspect => age >= suspicion_timeout,
                MemberState::Leaving => *vm != self.own_vm && age >= LEAVING_TIMEOUT,
                MemberState::Live | MemberState::Dead => false,
            };
            if has_expired {
                entry.record.state = MemberState::Dead;
                entry.state_since = now;
                newly_dead.push(vm.clone());
            }
        }
        self.entries.retain(|_, entry| {
            entry.record.state != MemberState::Dead
                || now.saturating_duration_since(entry.state_since) < dead_retention
        });
        newly_dead
    }

    /// Restarts the timeouts of all suspicions. Called after a pause of this process, because it
    /// may not have read refutations that arrived during the pause.
    pub(crate) fn extend_suspicions(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            if entry.record.state == MemberState::Suspect {
                entry.state_since = now;
            }
        }
    }

    pub(crate) fn own_record(&self) -> MemberRecord {
        // Invariant: the table always contains this VM.
        self.entries[&self.own_vm].record.clone()
    }

    pub(crate) fn get(&self, vm: &str) -> Option<&MemberRecord> {
        self.entries.get(vm).map(|entry| &entry.record)
    }

    /// Returns all members, this VM included, in the order of their names.
    pub(crate) fn members(&self) -> Rc<[Member]> {
        let mut members = self.members.borrow_mut();
        let cached = members.get_or_insert_with(|| {
            self.entries.values().map(|entry| entry.record.to_member()).collect()
        });
        cached.clone()
    }

    pub(crate) fn records(&self) -> Vec<MemberRecord> {
        self.entries.values().map(|entry| entry.record.clone()).collect()
    }

    /// Returns a digest of all members that are not dead. Dead members are excluded because VMs
    /// declare and remove them at different times.
    pub(crate) fn digest(&self) -> u64 {
        let members_not_dead =
            self.entries.values().filter(|entry| entry.record.state != MemberState::Dead);
        members_not_dead.fold(0, |digest, entry| digest ^ record_hash(&entry.record))
    }

    /// Returns the members that have been dead for at least `age`.
    pub(crate) fn dead_longer_than(&self, now: Instant, age: Duration) -> Vec<VmId> {
        let dead_members = self.entries.iter().filter(|(_, entry)| {
            entry.record.state == MemberState::Dead
                && now.saturating_duration_since(entry.state_since) >= age
        });
        dead_members.map(|(vm, _)| vm.clone()).collect()
    }
}

/// Returns the hash of a record's precedence, for the digest of the member table.
fn record_hash(record: &MemberRecord) -> u64 {
    let MemberRecord { vm, incarnation, refutation, state, .. } = record;
    hash64(format!("{vm}/{incarnation}/{refutation}/{state:?}").as_bytes())
}
