//! In-memory execution records of non-idempotent calls: the state of each idempotency key or
//! ticket, and the response of the target if the call completed.
//!
//! The methods do no I/O and take the current time as an argument. Evicting a response to respect a
//! memory limit changes the state of its key to "outcome unknown"; the call never runs again.

use std::{
    collections::{HashMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::options::AtMostOnceOptions;

/// Stale entries that `expiry_queue` may hold, beyond one per record, before both queues are
/// compacted. An entry is stale if its record has changed since or was removed.
const MAX_STALE_ENTRIES: usize = 1024;

/// 128-bit hash of organisation, pool and idempotency key, or of a ticket.
pub type KeyHash = u128;
/// 128-bit hash of organisation, pool, method, path and body of a request. Detects the reuse of an
/// idempotency key for a different request.
pub type RequestHash = u128;

/// Complete response of a target, stored to answer repeats of the same call.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end headers, which are returned to the caller.
    pub headers: Vec<RecordedHeader>,
    /// Response body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Target that executed the call.
    pub target: String,
}

/// HTTP header of a recorded response or a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordedHeader {
    /// Header name.
    pub name: String,
    /// Header value as raw bytes.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

impl RecordedResponse {
    /// Returns the approximate memory use of the response, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|header| header.name.len() + header.value.len() + 48).sum();
        self.body.len() + self.target.len() + headers
    }

    /// Returns a copy of the body as [`Bytes`].
    pub fn body_bytes(&self) -> Bytes {
        Bytes::copy_from_slice(&self.body)
    }
}

/// Execution state of an idempotency key or ticket in this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExecutionState {
    /// An attempt is running in this process.
    Running,
    /// A target executed the call and returned this response.
    Completed(Rc<RecordedResponse>),
    /// The call was not executed: no byte was sent to a target, or the target refused it.
    NotExecuted,
    /// The call may have been executed, but no response is available.
    OutcomeUnknown,
}

/// Decision on a new attempt to execute the call of a key or ticket.
#[derive(Debug)]
pub enum BeginResult {
    /// This process has no record of the key. A new record in state `Running` was inserted.
    New,
    /// An earlier attempt was not executed and its claim is still held, so the call may run
    /// immediately. The record is now `Running`.
    ClaimHeld,
    /// An earlier attempt was not executed and its claim must be acquired again. The record is now
    /// `Running`.
    Reclaim(Reclaim),
    /// Another attempt is running; the receiver is notified when its state changes.
    InProgress(watch::Receiver<ExecutionState>),
    /// An earlier attempt completed with this response.
    Completed(Rc<RecordedResponse>),
    /// An earlier attempt may have been executed, and its response is not available.
    OutcomeUnknown,
    /// The key was used before for a different request.
    KeyReused,
    /// The maximum number of records is reached and all of them are running.
    AtCapacity,
}

/// Earlier claims of this process for a key that has to be claimed again.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Reclaim {
    /// Nonce of a claim whose write to the object API may have taken effect.
    pub unconfirmed_nonce: Option<String>,
    /// Nonce of a released claim, which another VM may have taken over.
    pub released_nonce: Option<String>,
}

/// Result of a lookup by another VM that found a claim of this process in the object API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimLookupResult {
    /// The call completed with this response.
    Completed(Rc<RecordedResponse>),
    /// An attempt is running.
    Running,
    /// The call was not executed under this nonce and never will be.
    NotExecuted,
    /// The outcome is not known, or the claim is not one of this process.
    Unknown,
}

struct ExecutionRecord {
    /// Hash of the request for which the key was first used.
    request: RequestHash,
    /// Nonce of the latest claim; empty if there is none.
    nonce: String,
    /// Whether the object API is known to hold the claim with `nonce`. Also set for tickets, which
    /// need no claim.
    claim_confirmed: bool,
    /// Nonce of a claim that this process released: the call will never run under it here, and
    /// another VM may have learned this from a lookup. Invariant: never equal to `nonce`.
    released_nonce: Option<String>,
    /// Time of the last state change, or of the last renewal of a running record.
    changed_at: Instant,
    state: watch::Sender<ExecutionState>,
    /// Sequence number of the current entry in `expiry_queue` for this record; entries with other
    /// numbers are stale.
    sequence: u64,
}

/// Bounded set of the execution records of this process.
///
/// Invariant: `response_bytes` is the total size of all responses in `records`.
pub struct ExecutionRecords {
    options: AtMostOnceOptions,
    /// Records in any state, by key.
    records: HashMap<KeyHash, ExecutionRecord>,
    /// Keys in order of their last state change or renewal. An entry is stale if its
    /// sequence number differs from that of the record.
    expiry_queue: VecDeque<RecordUpdate>,
    /// Keys that hold a response, oldest first, which is the order of eviction. Entries become
    /// stale as in `expiry_queue`.
    response_eviction_queue: VecDeque<RecordUpdate>,
    /// Memory use of all recorded responses.
    response_bytes: usize,
    /// Sequence number of the latest queue entry.
    last_sequence: u64,
}

/// Entry of `expiry_queue` and `response_eviction_queue`: a state change of a record, or the
/// renewal of a record that is still running after the retention time.
#[derive(Clone, Copy)]
struct RecordUpdate {
    key: KeyHash,
    sequence: u64,
    changed_at: Instant,
}

impl ExecutionRecords {
    /// Returns an empty set of records.
    pub fn new(options: AtMostOnceOptions) -> Self {
        Self {
            options,
            records: HashMap::new(),
            expiry_queue: VecDeque::new(),
            response_eviction_queue: VecDeque::new(),
            response_bytes: 0,
            last_sequence: 0,
        }
    }

    /// Decides whether an attempt to execute `key` may run, and marks the record as running if so.
    pub fn begin_attempt(
        &mut self,
        key: KeyHash,
        request: RequestHash,
        now: Instant,
    ) -> BeginResult {
        self.remove_expired(now);
        self.release_expired_claim(key, now);
        let Some(record) = self.records.get(&key) else {
            return self.insert(key, request, now);
        };
        if record.request != request {
            return BeginResult::KeyReused;
        }
        let state = record.state.borrow().clone();
        match state {
            ExecutionState::Running => BeginResult::InProgress(record.state.subscribe()),
            ExecutionState::Completed(response) => BeginResult::Completed(response),
            ExecutionState::OutcomeUnknown => BeginResult::OutcomeUnknown,
            ExecutionState::NotExecuted if record.claim_confirmed => {
                self.set_state(key, ExecutionState::Running, now);
                BeginResult::ClaimHeld
            }
            ExecutionState::NotExecuted => {
                let reclaim = Reclaim {
                    unconfirmed_nonce: Some(record.nonce.clone()).filter(|n| !n.is_empty()),
                    released_nonce: record.released_nonce.clone(),
                };
                self.set_state(key, ExecutionState::Running, now);
                BeginResult::Reclaim(reclaim)
            }
        }
    }

    fn insert(&mut self, key: KeyHash, request: RequestHash, now: Instant) -> BeginResult {
        if self.records.len() >= self.options.max_records && !self.evict_oldest_record() {
            return BeginResult::AtCapacity;
        }
        let state = watch::Sender::new(ExecutionState::Running);
        let record = ExecutionRecord {
            request,
            nonce: String::new(),
            claim_confirmed: false,
            released_nonce: None,
            changed_at: now,
            state,
            sequence: 0,
        };
        self.records.insert(key, record);
        self.move_to_queue_end(key, now);
        BeginResult::New
    }

    /// Sets the nonce with which this process is about to claim the key.
    pub fn set_claim_nonce(&mut self, key: KeyHash, nonce: &str) {
        if let Some(record) = self.records.get_mut(&key) {
            record.nonce = nonce.to_owned();
            record.claim_confirmed = false;
        }
    }

    /// Marks the claim of the key as held by this process.
    pub fn confirm_claim(&mut self, key: KeyHash) {
        if let Some(record) = self.records.get_mut(&key) {
            record.claim_confirmed = true;
        }
    }

    /// Removes a running record whose key is held by another VM, and notifies waiting attempts with
    /// `state`.
    pub fn discard(&mut self, key: KeyHash, state: ExecutionState) {
        if let Some(record) = self.records.remove(&key) {
            self.response_bytes -= response_size(&record.state.borrow());
            record.state.send_replace(state);
        }
    }

    /// Sets the final state of an attempt and evicts the oldest responses if they exceed the memory
    /// limit.
    pub fn end_attempt(&mut self, key: KeyHash, state: ExecutionState, now: Instant) {
        self.set_state(key, state, now);
        while self.response_bytes > self.options.max_record_bytes {
            if !self.evict_oldest_response() {
                break;
            }
        }
    }

    /// Returns what another VM may know about a claim of this process. A claim whose call was not
    /// executed is released, so that the other VM can take it over.
    pub fn lookup(&mut self, key: KeyHash, nonce: &str, now: Instant) -> ClaimLookupResult {
        self.remove_expired(now);
        let Some(record) = self.records.get(&key) else { return ClaimLookupResult::Unknown };
        if nonce.is_empty() {
            return ClaimLookupResult::Unknown;
        }
        if record.released_nonce.as_deref() == Some(nonce) {
            return ClaimLookupResult::NotExecuted;
        }
        if record.nonce != nonce {
            return ClaimLookupResult::Unknown;
        }
        let state = record.state.borrow().clone();
        match state {
            ExecutionState::Running => ClaimLookupResult::Running,
            ExecutionState::Completed(response) => ClaimLookupResult::Completed(response),
            ExecutionState::NotExecuted => {
                self.release(key);
                ClaimLookupResult::NotExecuted
            }
            ExecutionState::OutcomeUnknown => ClaimLookupResult::Unknown,
        }
    }

    /// Releases the claim of a key before it is deleted from the object API. A call that was not
    /// executed has to acquire a new claim afterwards.
    ///
    /// # Errors
    ///
    /// Returns the time until which the claim must be kept.
    pub fn release_for_deletion(
        &mut self,
        key: KeyHash,
        retention: Duration,
        now: Instant,
    ) -> Result<(), Instant> {
        let Some(record) = self.records.get(&key) else { return Ok(()) };
        let is_running = *record.state.borrow() == ExecutionState::Running;
        let changed_at = if is_running { now } else { record.changed_at };
        if now < changed_at + retention {
            return Err(changed_at + retention);
        }
        self.release(key);
        Ok(())
    }

    /// Releases a claim that has reached the retention time and whose call was not executed.
    /// Another VM may have deleted the claim while this process was suspended.
    fn release_expired_claim(&mut self, key: KeyHash, now: Instant) {
        let retention = self.options.claim_retention;
        let is_expired = self.records.get(&key).is_some_and(|record| {
            let not_executed = *record.state.borrow() == ExecutionState::NotExecuted;
            not_executed && now.saturating_duration_since(record.changed_at) >= retention
        });
        if is_expired {
            self.release(key);
        }
    }

    /// Releases the claim of a record: this process never again executes the call under its nonce.
    fn release(&mut self, key: KeyHash) {
        if let Some(record) = self.records.get_mut(&key)
            && !record.nonce.is_empty()
        {
            record.released_nonce = Some(std::mem::take(&mut record.nonce));
            record.claim_confirmed = false;
        }
    }

    /// Returns the number of records in any state.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns `true` if there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the memory use of all recorded responses, in bytes.
    pub fn response_bytes(&self) -> usize {
        self.response_bytes
    }

    /// Sets the state of a record, wakes waiting attempts and updates the queues.
    fn set_state(&mut self, key: KeyHash, state: ExecutionState, now: Instant) {
        let Some(record) = self.records.get_mut(&key) else { return };
        let has_response = matches!(state, ExecutionState::Completed(_));
        self.response_bytes += response_size(&state);
        let old_state = record.state.send_replace(state);
        self.response_bytes -= response_size(&old_state);
        self.move_to_queue_end(key, now);
        if has_response && let Some(entry) = self.expiry_queue.back() {
            self.response_eviction_queue.push_back(*entry);
        }
    }

    /// Moves a record to the end of `expiry_queue` and compacts the queues if they hold too many
    /// stale entries.
    fn move_to_queue_end(&mut self, key: KeyHash, now: Instant) {
        self.last_sequence += 1;
        if let Some(record) = self.records.get_mut(&key) {
            record.changed_at = now;
            record.sequence = self.last_sequence;
            self.expiry_queue.push_back(RecordUpdate {
                key,
                sequence: self.last_sequence,
                changed_at: now,
            });
        }
        // Each refused repeat of a key adds a queue entry and makes the previous one stale.
        if self.expiry_queue.len() > 2 * self.records.len() + MAX_STALE_ENTRIES {
            let records = &self.records;
            let is_current = |entry: &RecordUpdate| {
                records.get(&entry.key).is_some_and(|record| record.sequence == entry.sequence)
            };
            self.expiry_queue.retain(is_current);
            self.response_eviction_queue.retain(is_current);
        }
    }

    /// Removes records older than the retention time. A running record is renewed instead: it is
    /// kept for another retention time.
    fn remove_expired(&mut self, now: Instant) {
        let retention: Duration = self.options.record_retention;
        while let Some(entry) = self.expiry_queue.front() {
            let current =
                self.records.get(&entry.key).filter(|record| record.sequence == entry.sequence);
            let Some(record) = current else {
                self.expiry_queue.pop_front();
                continue;
            };
            if now.saturating_duration_since(entry.changed_at) < retention {
                break;
            }
            let key = entry.key;
            let is_running = *record.state.borrow() == ExecutionState::Running;
            self.expiry_queue.pop_front();
            if is_running {
                self.move_to_queue_end(key, now);
            } else {
                self.remove(key);
            }
        }
    }

    /// Removes the oldest record that is not running. Returns `false` if all are running.
    fn evict_oldest_record(&mut self) -> bool {
        while self.expiry_queue.front().is_some_and(|entry| !self.is_current(entry)) {
            self.expiry_queue.pop_front();
        }
        let mut current = self.expiry_queue.iter().filter(|entry| self.is_current(entry));
        let oldest = current.find(|entry| {
            let record = self.records.get(&entry.key);
            record.is_some_and(|record| *record.state.borrow() != ExecutionState::Running)
        });
        match oldest.map(|entry| entry.key) {
            Some(key) => {
                self.remove(key);
                true
            }
            None => false,
        }
    }

    /// Evicts the oldest response: its record changes to `OutcomeUnknown`. Returns `false` if there
    /// is no response.
    fn evict_oldest_response(&mut self) -> bool {
        while let Some(entry) = self.response_eviction_queue.pop_front() {
            let is_current = self.is_current(&entry);
            if is_current && let Some(record) = self.records.get_mut(&entry.key) {
                let old_state = record.state.send_replace(ExecutionState::OutcomeUnknown);
                self.response_bytes -= response_size(&old_state);
                return true;
            }
        }
        false
    }

    fn is_current(&self, entry: &RecordUpdate) -> bool {
        self.records.get(&entry.key).is_some_and(|record| record.sequence == entry.sequence)
    }

    fn remove(&mut self, key: KeyHash) {
        if let Some(record) = self.records.remove(&key) {
            self.response_bytes -= response_size(&record.state.borrow());
        }
    }
}

/// Returns the memory use of the response in a state; 0 if it has none.
fn response_size(state: &ExecutionState) -> usize {
    match state {
        ExecutionState::Completed(response) => response.memory_bytes(),
        _ => 0,
    }
}
