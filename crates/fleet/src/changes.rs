//! Order in which the targets changed last, so that readers get differences.

use std::collections::{BTreeMap, HashMap, VecDeque};

use deck_core::id::TargetId;

/// Removed targets that are remembered. A reader that is further behind gets the whole list.
const MAX_REMOVED: usize = 1024;

/// Numbers the changes of targets; each target is kept with its last change only.
#[derive(Debug, Default)]
pub(crate) struct TargetLog {
    last: u64,
    /// Invariant: holds exactly the entries of `number_of`, the other way round.
    by_number: BTreeMap<u64, TargetId>,
    number_of: HashMap<TargetId, u64>,
    /// Removals in their order, some of which may have been undone.
    removed: VecDeque<(u64, TargetId)>,
    /// Number up to which removals may have been forgotten.
    forgotten: u64,
}

impl TargetLog {
    /// Returns the number of the last change.
    pub(crate) fn last(&self) -> u64 {
        self.last
    }

    /// Takes note that a target was added or changed.
    pub(crate) fn record(&mut self, id: &TargetId) {
        self.last += 1;
        self.by_number.insert(self.last, id.clone());
        if let Some(earlier) = self.number_of.insert(id.clone(), self.last) {
            self.by_number.remove(&earlier);
        }
    }

    /// Takes note that a target was removed.
    pub(crate) fn record_removal(&mut self, id: &TargetId) {
        self.record(id);
        self.removed.push_back((self.last, id.clone()));
        if self.removed.len() <= MAX_REMOVED {
            return;
        }
        let Some((number, id)) = self.removed.pop_front() else { return };
        if self.by_number.remove(&number).is_some() {
            self.number_of.remove(&id);
            self.forgotten = number;
        }
    }

    /// Returns the targets that changed after the change with the given number; `None` if some of
    /// them may have been forgotten.
    pub(crate) fn since(&self, number: u64) -> Option<impl Iterator<Item = &TargetId>> {
        (number >= self.forgotten && number <= self.last)
            .then(|| self.by_number.range(number + 1..).map(|(_, id)| id))
    }
}
