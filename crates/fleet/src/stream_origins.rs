//! Records of the software version that began each stream, for callers that resume it.

use std::{
    cell::RefCell,
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::id::{PoolName, RequestId, SoftwareVersion};
use serde::{Deserialize, Serialize};

/// HTTP path at which a node receives the records of other nodes.
pub const STREAM_ORIGINS_PATH: &str = "/peer/stream-origins";
/// HTTP path at which a node answers which record it has for a stream.
pub const STREAM_ORIGIN_LOOKUP_PATH: &str = "/peer/stream-origins/lookup";
/// Maximum size of a message with records.
pub const MAX_ORIGINS_BYTES: usize = 1024 * 1024;
/// Maximum length of a request id that is recorded; with [`MAX_RECORDS`] it bounds the memory.
pub const MAX_RECORDED_ID_BYTES: usize = 256;
/// Maximum number of records on a node. A record takes about 200 bytes.
const MAX_RECORDS: usize = 20_000;
/// Longest time for which a record is kept.
const MAX_RECORD_LIFETIME: Duration = Duration::from_secs(900);

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the target.
    pub service: PoolName,
    /// Software version of the target.
    pub software_version: Option<SoftwareVersion>,
}

/// Record of a stream, as exchanged between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "EncodedRecord", into = "EncodedRecord")]
pub struct OriginRecord {
    /// Id of the caller's attempt that began the stream.
    pub request_id: RequestId,
    /// Where the stream began.
    pub origin: StreamOrigin,
    /// Time for which the caller may resume the stream.
    pub lifetime: Duration,
}

/// Request id, service, software version, and lifetime in milliseconds. Without field names a
/// record takes half the bytes.
type EncodedRecord = (RequestId, PoolName, Option<SoftwareVersion>, u64);

impl From<EncodedRecord> for OriginRecord {
    fn from((request_id, service, software_version, lifetime_ms): EncodedRecord) -> Self {
        let origin = StreamOrigin { service, software_version };
        Self { request_id, origin, lifetime: Duration::from_millis(lifetime_ms) }
    }
}

impl From<OriginRecord> for EncodedRecord {
    fn from(record: OriginRecord) -> Self {
        let StreamOrigin { service, software_version } = record.origin;
        (record.request_id, service, software_version, record.lifetime.as_millis() as u64)
    }
}

/// Records that a node keeps in memory, its own and those of other nodes; clones share them.
#[derive(Debug, Clone, Default)]
pub struct StreamOriginStore {
    inner: Rc<RefCell<StoreState>>,
}

/// State shared by the clones of a [`StreamOriginStore`].
#[derive(Debug, Default)]
struct StoreState {
    /// Invariant: at most `MAX_RECORDS`.
    records: HashMap<Rc<str>, StoredRecord>,
    /// Keys of `records` by the time at which they expire.
    expiries: BTreeSet<(Instant, Rc<str>)>,
}

#[derive(Debug)]
struct StoredRecord {
    origin: StreamOrigin,
    expires_at: Instant,
}

impl StreamOriginStore {
    /// Adds a record, or replaces the one with its id. If there are too many, the record that
    /// expires first is dropped.
    pub fn insert(&self, record: OriginRecord, now: Instant) {
        if record.request_id.len() > MAX_RECORDED_ID_BYTES {
            return;
        }
        let mut state = self.inner.borrow_mut();
        state.remove_expired(now);
        let id: Rc<str> = record.request_id.into();
        let expires_at = now + record.lifetime.min(MAX_RECORD_LIFETIME);
        state.remove(&id);
        if state.records.len() >= MAX_RECORDS
            && let Some((_, first)) = state.expiries.first().cloned()
        {
            state.remove(&first);
        }
        state.expiries.insert((expires_at, id.clone()));
        state.records.insert(id, StoredRecord { origin: record.origin, expires_at });
    }

    /// Returns where the stream that the attempt with the given id began has its origin.
    pub fn find(&self, request_id: &str, now: Instant) -> Option<StreamOrigin> {
        let state = self.inner.borrow();
        let record = state.records.get(request_id).filter(|record| record.expires_at > now)?;
        Some(record.origin.clone())
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.inner.borrow().records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl StoreState {
    fn remove(&mut self, id: &str) {
        if let Some((id, record)) = self.records.remove_entry(id) {
            self.expiries.remove(&(record.expires_at, id));
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some((_, id)) = self.expiries.first().filter(|(at, _)| *at <= now).cloned() {
            self.remove(&id);
        }
    }
}
