//! Log of the order in which targets last changed, from which readers receive incremental changes.

use std::collections::{BTreeMap, HashMap, VecDeque};

use deck_core::id::TargetId;

/// Maximum number of removed targets in the log. A reader that is further behind receives the
/// complete list.
const MAX_REMEMBERED_REMOVALS: usize = 1024;

/// Numbers the changes of targets; only the last change of each target is kept.
#[derive(Debug, Default)]
pub(crate) struct TargetChangeLog {
    last_number: u64,
    /// Target ids by the number of their last change. Invariant: inverse of `numbers_by_id`.
    ids_by_number: BTreeMap<u64, TargetId>,
    numbers_by_id: HashMap<TargetId, u64>,
    /// Removals in order. A target may have been added again since.
    removals: VecDeque<(u64, TargetId)>,
    /// Number after which the log is complete; removals up to it may have been dropped.
    complete_after: u64,
}

impl TargetChangeLog {
    /// Returns the number of the last change.
    pub(crate) fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Records that a target was added or changed.
    pub(crate) fn record(&mut self, id: &TargetId) {
        self.last_number += 1;
        self.ids_by_number.insert(self.last_number, id.clone());
        if let Some(previous) = self.numbers_by_id.insert(id.clone(), self.last_number) {
            self.ids_by_number.remove(&previous);
        }
    }

    /// Records that a target was removed.
    pub(crate) fn record_removal(&mut self, id: &TargetId) {
        self.record(id);
        self.removals.push_back((self.last_number, id.clone()));
        if self.removals.len() <= MAX_REMEMBERED_REMOVALS {
            return;
        }
        let Some((number, id)) = self.removals.pop_front() else { return };
        if self.ids_by_number.remove(&number).is_some() {
            self.numbers_by_id.remove(&id);
            self.complete_after = number;
        }
    }

    /// Returns the ids of the targets that changed after the change with the given number, or
    /// `None` if the log may no longer be complete from there.
    pub(crate) fn changed_since(&self, number: u64) -> Option<impl Iterator<Item = &TargetId>> {
        (number >= self.complete_after && number <= self.last_number)
            .then(|| self.ids_by_number.range(number + 1..).map(|(_, id)| id))
    }
}
