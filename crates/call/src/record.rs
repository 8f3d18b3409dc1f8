//! Records of non-idempotent calls that this process holds: what ran, with which answer.
//!
//! The decisions are plain methods that take the time. A record that is dropped because of a bound
//! makes the outcome of its key unknown, never free to run again.

use std::{
    collections::{HashMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::options::OnceOptions;

/// Void entries of the order beyond which they are removed.
const MAX_VOID_ENTRIES: usize = 1024;

/// Hash of organisation, pool and key, or of a ticket.
pub type KeyHash = u128;
/// Hash of method, path and body of a request.
pub type RequestHash = u128;

/// Whole answer of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// Status.
    pub status: u16,
    /// Headers that go to the caller.
    pub headers: Vec<RecordedHeader>,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Target that ran the call.
    pub target: String,
}

/// One header of a recorded answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordedHeader {
    /// Name.
    pub name: String,
    /// Value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

impl RecordedAnswer {
    /// Returns the memory that the answer takes, about.
    pub fn size_bytes(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|header| header.name.len() + header.value.len() + 48).sum();
        self.body.len() + self.target.len() + headers
    }

    /// Returns the body as shared bytes.
    pub fn body_bytes(&self) -> Bytes {
        Bytes::copy_from_slice(&self.body)
    }
}

/// State of a key in this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordState {
    /// A try is running here.
    Running,
    /// A target answered.
    Done(Rc<RecordedAnswer>),
    /// No byte left for a target, or the target refused before running.
    Abandoned,
    /// The call may have run and there is no answer.
    Lost,
}

/// What becomes of a try that wants to run a key.
#[derive(Debug)]
pub enum Begin {
    /// This process knows nothing of the key; the record is now running.
    New,
    /// Abandoned before, and this process still holds the key: it may run at once. The record is
    /// now running.
    Again,
    /// Abandoned before; the claim has to be taken again. The record is now running.
    Reclaim(Reclaim),
    /// Another try is running; the receiver changes when it ends.
    Wait(watch::Receiver<RecordState>),
    /// Answered before.
    Done(Rc<RecordedAnswer>),
    /// May have run; the answer is lost.
    Lost,
    /// The key belongs to another request.
    Reused,
    /// There is no room for a further running record.
    Full,
}

/// What is known of an earlier claim of this process.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Reclaim {
    /// Nonce of a claim whose write may have taken effect.
    pub unconfirmed_nonce: Option<String>,
    /// Nonce of a claim that was released to another VM, which may have taken it over.
    pub released_nonce: Option<String>,
}

/// What another VM is told about a claim of this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// The answer.
    Done(Rc<RecordedAnswer>),
    /// A try is running.
    Running,
    /// Nothing has run and nothing will run under this nonce.
    Abandoned,
    /// The outcome is not known.
    Unknown,
}

struct Record {
    request: RequestHash,
    /// Nonce of the newest claim; empty before the first one.
    nonce: String,
    /// Whether the claim is known to be in the store under `nonce`, or needs no store.
    confirmed: bool,
    /// Nonce of a claim about which another VM was told that nothing has run and nothing will run
    /// under it. Invariant: never equal to `nonce`.
    released: Option<String>,
    /// Time of the last change of the state.
    since: Instant,
    state: watch::Sender<RecordState>,
    /// Number of the newest entry in `order` for this record; older ones are void.
    turn: u64,
}

/// Records of this process.
///
/// Invariant: `bytes` is the sum of the sizes of all answers in `records`.
pub struct Records {
    options: OnceOptions,
    records: HashMap<KeyHash, Record>,
    /// Keys by age of their last change; entries whose turn is not that of the record are void.
    order: VecDeque<OrderEntry>,
    /// Keys with an answer by age; entries whose turn is not that of the record are void.
    answers: VecDeque<OrderEntry>,
    bytes: usize,
    next_turn: u64,
}

#[derive(Clone, Copy)]
struct OrderEntry {
    key: KeyHash,
    turn: u64,
    since: Instant,
}

impl Records {
    /// Returns an empty set of records.
    pub fn new(options: OnceOptions) -> Self {
        Self {
            options,
            records: HashMap::new(),
            order: VecDeque::new(),
            answers: VecDeque::new(),
            bytes: 0,
            next_turn: 0,
        }
    }

    /// Begins a try of `key`.
    pub fn begin(&mut self, key: KeyHash, request: RequestHash, now: Instant) -> Begin {
        self.expire(now);
        self.release_old_claim(key, now);
        let Some(record) = self.records.get(&key) else {
            return self.insert(key, request, now);
        };
        if record.request != request {
            return Begin::Reused;
        }
        let state = record.state.borrow().clone();
        match state {
            RecordState::Running => Begin::Wait(record.state.subscribe()),
            RecordState::Done(answer) => Begin::Done(answer),
            RecordState::Lost => Begin::Lost,
            RecordState::Abandoned if record.confirmed => {
                self.set(key, RecordState::Running, now);
                Begin::Again
            }
            RecordState::Abandoned => {
                let reclaim = Reclaim {
                    unconfirmed_nonce: Some(record.nonce.clone()).filter(|n| !n.is_empty()),
                    released_nonce: record.released.clone(),
                };
                self.set(key, RecordState::Running, now);
                Begin::Reclaim(reclaim)
            }
        }
    }

    fn insert(&mut self, key: KeyHash, request: RequestHash, now: Instant) -> Begin {
        if self.records.len() >= self.options.max_records && !self.drop_oldest() {
            return Begin::Full;
        }
        let state = watch::Sender::new(RecordState::Running);
        let record = Record {
            request,
            nonce: String::new(),
            confirmed: false,
            released: None,
            since: now,
            state,
            turn: 0,
        };
        self.records.insert(key, record);
        self.touch(key, now);
        Begin::New
    }

    /// Notes the nonce under which this process is about to claim the key.
    pub fn set_nonce(&mut self, key: KeyHash, nonce: &str) {
        if let Some(record) = self.records.get_mut(&key) {
            record.nonce = nonce.to_owned();
            record.confirmed = false;
        }
    }

    /// Notes that this process holds the key.
    pub fn confirm(&mut self, key: KeyHash) {
        if let Some(record) = self.records.get_mut(&key) {
            record.confirmed = true;
        }
    }

    /// Forgets a running record whose key turned out to belong to another VM.
    pub fn forget(&mut self, key: KeyHash, state: RecordState) {
        if let Some(record) = self.records.remove(&key) {
            self.bytes -= size_of_state(&record.state.borrow());
            record.state.send_replace(state);
        }
    }

    /// Ends a try.
    pub fn end(&mut self, key: KeyHash, state: RecordState, now: Instant) {
        self.set(key, state, now);
        while self.bytes > self.options.max_record_bytes {
            if !self.lose_oldest_answer() {
                break;
            }
        }
    }

    /// Answers another VM that found a claim of this process. An abandoned claim is released.
    pub fn lookup(&mut self, key: KeyHash, nonce: &str, now: Instant) -> Lookup {
        self.expire(now);
        let Some(record) = self.records.get(&key) else { return Lookup::Unknown };
        if nonce.is_empty() {
            return Lookup::Unknown;
        }
        if record.released.as_deref() == Some(nonce) {
            return Lookup::Abandoned;
        }
        if record.nonce != nonce {
            return Lookup::Unknown;
        }
        let state = record.state.borrow().clone();
        match state {
            RecordState::Running => Lookup::Running,
            RecordState::Done(answer) => Lookup::Done(answer),
            RecordState::Abandoned => {
                self.release(key);
                Lookup::Abandoned
            }
            RecordState::Lost => Lookup::Unknown,
        }
    }

    /// Prepares the deletion of a key's claim from the store; the claim of an abandoned record has
    /// to be taken again afterwards.
    ///
    /// # Errors
    ///
    /// Returns the time before which the claim must stay.
    pub fn prepare_deletion(
        &mut self,
        key: KeyHash,
        keep: Duration,
        now: Instant,
    ) -> Result<(), Instant> {
        let Some(record) = self.records.get(&key) else { return Ok(()) };
        let running = *record.state.borrow() == RecordState::Running;
        let since = if running { now } else { record.since };
        if now < since + keep {
            return Err(since + keep);
        }
        self.release(key);
        Ok(())
    }

    /// Gives up an abandoned claim that is as old as claims are kept: this process may have been
    /// frozen, and another VM may have deleted the claim meanwhile.
    fn release_old_claim(&mut self, key: KeyHash, now: Instant) {
        let keep = self.options.claim_keep;
        let is_old = self.records.get(&key).is_some_and(|record| {
            let abandoned = *record.state.borrow() == RecordState::Abandoned;
            abandoned && now.saturating_duration_since(record.since) >= keep
        });
        if is_old {
            self.release(key);
        }
    }

    /// Gives up the claim of a record: this process no longer runs the key under it.
    fn release(&mut self, key: KeyHash) {
        if let Some(record) = self.records.get_mut(&key)
            && !record.nonce.is_empty()
        {
            record.released = Some(std::mem::take(&mut record.nonce));
            record.confirmed = false;
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the memory of all recorded answers.
    pub fn answer_bytes(&self) -> usize {
        self.bytes
    }

    fn set(&mut self, key: KeyHash, state: RecordState, now: Instant) {
        let Some(record) = self.records.get_mut(&key) else { return };
        let is_answer = matches!(state, RecordState::Done(_));
        self.bytes += size_of_state(&state);
        let old = record.state.send_replace(state);
        self.bytes -= size_of_state(&old);
        self.touch(key, now);
        if is_answer && let Some(entry) = self.order.back() {
            self.answers.push_back(*entry);
        }
    }

    fn touch(&mut self, key: KeyHash, now: Instant) {
        self.next_turn += 1;
        if let Some(record) = self.records.get_mut(&key) {
            record.since = now;
            record.turn = self.next_turn;
            self.order.push_back(OrderEntry { key, turn: self.next_turn, since: now });
        }
        // A key that is refused again and again leaves void entries.
        if self.order.len() > 2 * self.records.len() + MAX_VOID_ENTRIES {
            let records = &self.records;
            let current = |entry: &OrderEntry| {
                records.get(&entry.key).is_some_and(|record| record.turn == entry.turn)
            };
            self.order.retain(current);
            self.answers.retain(current);
        }
    }

    /// Drops records whose time is over. Running ones stay.
    fn expire(&mut self, now: Instant) {
        let keep: Duration = self.options.record_keep;
        while let Some(entry) = self.order.front() {
            let current = self.records.get(&entry.key).filter(|record| record.turn == entry.turn);
            let Some(record) = current else {
                self.order.pop_front();
                continue;
            };
            if now.saturating_duration_since(entry.since) < keep {
                break;
            }
            let key = entry.key;
            let running = *record.state.borrow() == RecordState::Running;
            self.order.pop_front();
            if running {
                self.touch(key, now);
            } else {
                self.remove(key);
            }
        }
    }

    /// Drops the oldest record that is not running; returns whether there was one.
    fn drop_oldest(&mut self) -> bool {
        while self.order.front().is_some_and(|entry| !self.is_current(entry)) {
            self.order.pop_front();
        }
        let mut current = self.order.iter().filter(|entry| self.is_current(entry));
        let oldest = current.find(|entry| {
            let record = self.records.get(&entry.key);
            record.is_some_and(|record| *record.state.borrow() != RecordState::Running)
        });
        match oldest.map(|entry| entry.key) {
            Some(key) => {
                self.remove(key);
                true
            }
            None => false,
        }
    }

    /// Replaces the oldest answer by the note that it is lost.
    fn lose_oldest_answer(&mut self) -> bool {
        while let Some(entry) = self.answers.pop_front() {
            let is_current = self.is_current(&entry);
            if is_current && let Some(record) = self.records.get_mut(&entry.key) {
                let old = record.state.send_replace(RecordState::Lost);
                self.bytes -= size_of_state(&old);
                return true;
            }
        }
        false
    }

    fn is_current(&self, entry: &OrderEntry) -> bool {
        self.records.get(&entry.key).is_some_and(|record| record.turn == entry.turn)
    }

    fn remove(&mut self, key: KeyHash) {
        if let Some(record) = self.records.remove(&key) {
            self.bytes -= size_of_state(&record.state.borrow());
        }
    }
}

fn size_of_state(state: &RecordState) -> usize {
    match state {
        RecordState::Done(answer) => answer.size_bytes(),
        _ => 0,
    }
}
