//! Usage accounting: tokens and engine time per organisation, job and pool.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use bytes::Bytes;
use deck_core::id::{Incarnation, JobName, OrganisationId, PoolName};
use serde::{Deserialize, Serialize};

/// Maximum number of entries in a published report. A report of 64 entries takes about 6 KB and is
/// sent by gossip at most every 5 s.
const MAX_REPORT_ENTRIES: usize = 64;

/// Combination of organisation, job and pool for which usage is counted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct UsageKey {
    /// Organisation that made the calls.
    pub organisation: OrganisationId,
    /// Rollout job; empty for calls that belong to no job.
    pub job: JobName,
    /// Pool that executed the calls.
    pub pool: PoolName,
}

/// Usage counters since the start of the process. They never decrease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct UsageCounters {
    /// Calls that were sent to a target.
    pub calls: u64,
    /// Tokens that engines generated for these calls.
    pub tokens: u64,
    /// Time that targets spent on these calls over all attempts, in milliseconds.
    pub engine_ms: u64,
}

/// Usage counters of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageEntry {
    /// Organisation, job and pool.
    pub key: UsageKey,
    /// Usage that was counted for the key.
    pub counters: UsageCounters,
}

/// Usage report that a VM publishes on `Topic::Usage`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageReport {
    /// Incarnation of the process that counted; a later process starts from zero.
    pub incarnation: Incarnation,
    /// Usage counters of each combination of organisation, job and pool.
    pub entries: Vec<UsageEntry>,
}

impl UsageReport {
    /// Encodes the report as CBOR.
    pub fn encode(&self) -> Bytes {
        let mut bytes = Vec::new();
        match ciborium::into_writer(self, &mut bytes) {
            Ok(()) => bytes.into(),
            Err(error) => {
                log::error!(target: "call", "failed to encode usage report error={error}");
                Bytes::new()
            }
        }
    }

    /// Decodes a usage report that a VM published; `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        ciborium::from_reader(bytes).ok()
    }
}

/// Usage counters of this process. Clones share them.
#[derive(Clone, Default)]
pub struct UsageTable {
    counters: Rc<RefCell<HashMap<UsageKey, UsageCounters>>>,
}

impl UsageTable {
    /// Adds the usage of one finished call.
    pub fn record_call(&self, key: &UsageKey, tokens: u64, engine_time: Duration) {
        let mut counters = self.counters.borrow_mut();
        let entry = counters.entry(key.clone()).or_default();
        entry.calls += 1;
        entry.tokens += tokens;
        entry.engine_ms += engine_time.as_millis() as u64;
    }

    /// Returns the counters of a key; zero if it has none.
    pub fn get(&self, key: &UsageKey) -> UsageCounters {
        self.counters.borrow().get(key).copied().unwrap_or_default()
    }

    /// Returns the report to publish. If there are too many keys, it contains those with the most
    /// engine time.
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
