//! Usage accounting: tokens and engine time per organisation, job and pool.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use bytes::Bytes;
use deck_core::id::{Incarnation, JobName, OrganisationId, PoolName};
use serde::{Deserialize, Serialize};

/// Most combinations of organisation, job and pool that are published. A report of 64 takes about
/// 6 KB, which gossip carries at most every 5 s.
const MAX_REPORT_ENTRIES: usize = 64;

/// Who uses what.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct UsageKey {
    /// Organisation.
    pub organisation: OrganisationId,
    /// Rollout job; empty for other calls.
    pub job: JobName,
    /// Pool.
    pub pool: PoolName,
}

/// Counters since the start of the process. They never fall.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct UsageCounters {
    /// Calls that were sent to a target.
    pub calls: u64,
    /// Tokens that engines generated for these calls.
    pub tokens: u64,
    /// Time that targets spent on these calls, all tries together.
    pub engine_ms: u64,
}

/// Counters of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageEntry {
    /// Key.
    pub key: UsageKey,
    /// Counters.
    pub counters: UsageCounters,
}

/// What one VM publishes over `Topic::Usage`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageReport {
    /// Process to which the counters belong; a later process starts from zero.
    pub incarnation: Incarnation,
    /// Counters, by key.
    pub entries: Vec<UsageEntry>,
}

impl UsageReport {
    /// Returns the encoded report (CBOR).
    pub fn encode(&self) -> Bytes {
        let mut bytes = Vec::new();
        match ciborium::into_writer(self, &mut bytes) {
            Ok(()) => bytes.into(),
            Err(error) => {
                log::error!(target: "call", "usage report not encoded error={error}");
                Bytes::new()
            }
        }
    }

    /// Reads a report; `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        ciborium::from_reader(bytes).ok()
    }
}

/// Counters of this process; clones share them.
#[derive(Clone, Default)]
pub struct UsageTable {
    counters: Rc<RefCell<HashMap<UsageKey, UsageCounters>>>,
}

impl UsageTable {
    /// Counts one call at its end.
    pub fn record_call(&self, key: &UsageKey, tokens: u64, engine_time: Duration) {
        let mut counters = self.counters.borrow_mut();
        let entry = counters.entry(key.clone()).or_default();
        entry.calls += 1;
        entry.tokens += tokens;
        entry.engine_ms += engine_time.as_millis() as u64;
    }

    /// Returns the counters of a key.
    pub fn get(&self, key: &UsageKey) -> UsageCounters {
        self.counters.borrow().get(key).copied().unwrap_or_default()
    }

    /// Returns the report to publish; the largest users if there are too many.
    pub fn report(&self, incarnation: Incarnation) -> UsageReport {
        let counters = self.counters.borrow();
        let mut entries: Vec<_> = counters
            .iter()
            .map(|(key, counters)| UsageEntry { key: key.clone(), counters: *counters })
            .collect();
        entries.sort_unstable_by(|a, b| {
            b.counters.engine_ms.cmp(&a.counters.engine_ms).then_with(|| a.key.cmp(&b.key))
        });
        entries.truncate(MAX_REPORT_ENTRIES);
        UsageReport { incarnation, entries }
    }
}
