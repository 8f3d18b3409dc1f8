//! Counts by window, process that counted, and organisation.

use std::collections::BTreeMap;

use deck_core::id::OrganisationId;
use serde::{Deserialize, Serialize};

use crate::usage::WindowNumber;

/// Process that counted: random, so that a restarted process never continues an earlier count.
pub type SourceId = u64;

/// Returns the identity of a process that starts now.
pub fn new_source() -> SourceId {
    deck_core::hash::hash64(deck_core::id::random_id().as_bytes())
}

/// Number of windows whose counts are kept.
pub const MAX_WINDOWS: usize = 8;
/// Maximum number of counts of a window that are kept, which bounds the memory of the ledger.
const MAX_COUNTS_PER_WINDOW: usize = 50_000;

/// Counts of one process in one window.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SourceCounts {
    /// Window in which the requests began.
    pub window: WindowNumber,
    /// Process that counted.
    pub source: SourceId,
    /// Number of requests of each organisation.
    pub counts: BTreeMap<OrganisationId, u64>,
}

/// Counts of the last windows, this process's own and those that it received from others.
///
/// A count only grows and has one writer, so that merging takes the greater one: messages may be
/// repeated, reordered and passed on by others.
#[derive(Debug, Clone, Default)]
pub struct UsageLedger {
    windows: BTreeMap<WindowNumber, BTreeMap<SourceId, BTreeMap<OrganisationId, u64>>>,
    /// Number of requests that were not counted because a window had too many counts.
    dropped_count: u64,
}

impl UsageLedger {
    /// Counts a request.
    pub fn add(&mut self, window: WindowNumber, source: SourceId, organisation: &str) {
        let current = self.count_of(window, source, organisation);
        self.raise(window, source, organisation, current + 1);
    }

    /// Takes over counts of other processes, unless greater ones are known. Returns whether any count
    /// was new.
    pub fn merge(&mut self, entries: &[SourceCounts]) -> bool {
        let mut is_changed = false;
        for entry in entries {
            for (organisation, count) in &entry.counts {
                is_changed |= self.raise(entry.window, entry.source, organisation, *count);
            }
        }
        is_changed
    }

    fn count_of(&self, window: WindowNumber, source: SourceId, organisation: &str) -> u64 {
        let counts = self.windows.get(&window).and_then(|sources| sources.get(&source));
        counts.and_then(|counts| counts.get(organisation)).copied().unwrap_or(0)
    }

    /// Sets a count unless a greater one is known. Returns whether it was set.
    fn raise(
        &mut self,
        window: WindowNumber,
        source: SourceId,
        organisation: &str,
        count: u64,
    ) -> bool {
        let newest = self.windows.keys().next_back().copied().unwrap_or(window).max(window);
        let oldest_kept = newest.saturating_sub(MAX_WINDOWS as u64 - 1);
        if window < oldest_kept {
            return false;
        }
        self.windows = self.windows.split_off(&oldest_kept);
        let sources = self.windows.entry(window).or_default();
        let known = sources.get_mut(&source).and_then(|counts| counts.get_mut(organisation));
        if let Some(known) = known {
            let is_greater = count > *known;
            *known = (*known).max(count);
            return is_greater;
        }
        if sources.values().map(BTreeMap::len).sum::<usize>() >= MAX_COUNTS_PER_WINDOW {
            self.dropped_count += 1;
            return false;
        }
        sources.entry(source).or_default().insert(organisation.to_owned(), count);
        true
    }

    /// Returns the number of requests of each organisation in a window.
    pub fn totals(&self, window: WindowNumber) -> BTreeMap<OrganisationId, u64> {
        let mut totals = BTreeMap::new();
        for (organisation, count) in
            self.windows.get(&window).iter().flat_map(|s| s.values()).flatten()
        {
            *totals.entry(organisation.clone()).or_default() += count;
        }
        totals
    }

    /// Returns the counts of the window `from` and later ones; only those of `source` if it is given.
    pub fn entries(&self, from: WindowNumber, source: Option<SourceId>) -> Vec<SourceCounts> {
        let windows = self.windows.range(from..);
        let entries = windows.flat_map(|(window, sources)| {
            sources.iter().map(|(source, counts)| (*window, *source, counts))
        });
        entries
            .filter(|(_, entry_source, _)| source.is_none_or(|source| source == *entry_source))
            .map(|(window, source, counts)| SourceCounts { window, source, counts: counts.clone() })
            .collect()
    }

    /// Returns the number of requests that were not counted for lack of room.
    pub fn dropped_count(&self) -> u64 {
        self.dropped_count
    }
}
