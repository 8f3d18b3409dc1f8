//! Published values: the newest one of each VM and topic, and what each link still has to get.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    ops::RangeInclusive,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{
    hash::hash64,
    id::{Incarnation, VmId},
};
use serde_bytes::ByteBuf;

use crate::{Topic, wire::ValueRecord};

/// Number of a link, unique in the process.
pub(crate) type LinkId = u64;

/// Bytes of a record besides its value and the name of its VM.
const RECORD_OVERHEAD_BYTES: usize = 40;
/// Bytes of one version in a summary.
const PAIR_BYTES: usize = 8;

/// One value.
pub(crate) struct Entry {
    pub(crate) incarnation: Incarnation,
    sequence: u64,
    pub(crate) value: Bytes,
    pub(crate) arrived: Instant,
    /// Position in the order of changes; `None` for an own value that waits for the byte budget.
    change: Option<u64>,
    /// Link from which the value came.
    from: Option<LinkId>,
}

/// Byte budget of the values of this VM: a token bucket.
#[derive(Debug)]
pub(crate) struct Budget {
    available_bytes: f64,
    updated: Instant,
}

impl Budget {
    /// Bytes that a VM may send at once after a quiet time, so that a rare change is not delayed.
    const CAPACITY_BYTES: f64 = 1_024.0;

    fn new(now: Instant) -> Self {
        Self { available_bytes: Self::CAPACITY_BYTES, updated: now }
    }

    fn refill(&mut self, now: Instant, bytes_per_s: f64) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.available_bytes =
            (self.available_bytes + elapsed * bytes_per_s).min(Self::CAPACITY_BYTES);
        self.updated = now;
    }
}

/// All values that this VM knows.
pub(crate) struct ValueTable {
    own: VmId,
    incarnation: Incarnation,
    entries: BTreeMap<(Topic, VmId), Entry>,
    /// Keys in the order of their last changes. Invariant: one element for each entry whose
    /// `change` is set.
    changes: BTreeMap<u64, (Topic, VmId)>,
    next_change: u64,
    /// Key hashes of the entries, for summaries.
    keys: HashMap<u32, (Topic, VmId)>,
    /// Own topics whose value has not been sent since it changed, in the order of sending.
    unsent: VecDeque<Topic>,
    budget: Budget,
}

impl ValueTable {
    pub(crate) fn new(own: VmId, incarnation: Incarnation, now: Instant) -> Self {
        Self {
            own,
            incarnation,
            entries: BTreeMap::new(),
            changes: BTreeMap::new(),
            next_change: 1,
            keys: HashMap::new(),
            unsent: VecDeque::new(),
            budget: Budget::new(now),
        }
    }

    /// Changes the incarnation under which own values are published.
    pub(crate) fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
    }

    /// Replaces the own value of a topic. An unchanged value is sent again after `refresh_period`.
    pub(crate) fn publish(
        &mut self,
        topic: Topic,
        value: Bytes,
        now: Instant,
        refresh_period: Duration,
    ) {
        let key = (topic, self.own.clone());
        let sequence = match self.entries.get(&key) {
            Some(entry) if entry.value == value => {
                if now.saturating_duration_since(entry.arrived) < refresh_period {
                    return;
                }
                entry.sequence + 1
            }
            Some(entry) => entry.sequence + 1,
            None => 1,
        };
        let incarnation = self.incarnation;
        let entry = Entry { incarnation, sequence, value, arrived: now, change: None, from: None };
        self.insert(key, entry);
        if self.unsent.contains(&topic) {
            return;
        }
        // A topic that changes all the time goes behind the others, so that it cannot keep them
        // from being sent.
        if topic.is_urgent() { self.unsent.push_front(topic) } else { self.unsent.push_back(topic) }
    }

    /// Admits waiting own values to be sent, as far as the budget of this VM allows.
    ///
    /// `bytes_per_s` is what each VM may receive in all; this VM uses its part of it, so that the
    /// sum over all VMs stays within it. A value that changes faster than that is sent less often.
    pub(crate) fn admit_own(&mut self, now: Instant, bytes_per_s: f64) {
        self.budget.refill(now, bytes_per_s);
        while let Some(&topic) = self.unsent.front() {
            let key = (topic, self.own.clone());
            let size_bytes = self.entries.get(&key).map_or(0, |entry| entry.value.len());
            let size_bytes = (size_bytes + self.own.len() + RECORD_OVERHEAD_BYTES) as f64;
            // A value above the capacity waits for a full bucket and puts it into debt.
            if self.budget.available_bytes < size_bytes.min(Budget::CAPACITY_BYTES) {
                return;
            }
            self.budget.available_bytes -= size_bytes;
            self.unsent.pop_front();
            let change = self.log_change(&key);
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.change = Some(change);
            }
        }
    }

    /// Merges a value of another VM; returns whether it is newer than the known one.
    pub(crate) fn merge(&mut self, record: ValueRecord, from: LinkId, now: Instant) -> bool {
        if record.vm == self.own {
            return false;
        }
        let key = (record.topic, record.vm);
        let version = (record.incarnation, record.sequence);
        if self.entries.get(&key).is_some_and(|e| (e.incarnation, e.sequence) >= version) {
            return false;
        }
        let change = self.log_change(&key);
        let entry = Entry {
            incarnation: record.incarnation,
            sequence: record.sequence,
            value: Bytes::from(record.value.into_vec()),
            arrived: now,
            change: Some(change),
            from: Some(from),
        };
        self.insert(key, entry);
        true
    }

    /// Drops all values of a VM.
    pub(crate) fn remove_vm(&mut self, vm: &str) {
        let removed: Vec<_> =
            self.entries.keys().filter(|(_, owner)| owner == vm).cloned().collect();
        for key in removed {
            self.remove(&key);
        }
    }

    /// Returns the values of a topic.
    pub(crate) fn of_topic(&self, topic: Topic) -> impl Iterator<Item = (&VmId, &Entry)> {
        let range = (topic, VmId::new())..;
        let entries = self.entries.range(range).take_while(move |((of, _), _)| *of == topic);
        entries.map(|((_, vm), entry)| (vm, entry))
    }

    /// Returns the number of the last change.
    pub(crate) fn last_change(&self) -> u64 {
        self.next_change - 1
    }

    /// Returns the values that changed after `after` and did not come from `link`.
    pub(crate) fn changed_after(&self, after: u64, link: LinkId) -> Vec<ValueRecord> {
        let changed = self.changes.range(after + 1..);
        let entries = changed.filter_map(|(_, key)| Some((key, self.entries.get(key)?)));
        entries
            .filter(|(_, entry)| entry.from != Some(link))
            .map(|(key, entry)| record(key, entry))
            .collect()
    }

    /// Returns the versions of all values whose last change is in `changes`.
    pub(crate) fn summary(&self, changes: RangeInclusive<u64>) -> ByteBuf {
        let mut pairs = Vec::new();
        for key in self.changes.range(changes).map(|(_, key)| key) {
            let Some(entry) = self.entries.get(key) else { continue };
            pairs.extend_from_slice(&key_hash(key, entry.incarnation).to_le_bytes());
            pairs.extend_from_slice(&(entry.sequence as u32).to_le_bytes());
        }
        ByteBuf::from(pairs)
    }

    /// Returns the key hashes of the versions in a summary that are not known here.
    pub(crate) fn missing(&self, pairs: &[u8]) -> ByteBuf {
        let mut missing = Vec::new();
        for pair in pairs.chunks_exact(PAIR_BYTES) {
            let (hash, sequence) = (read_u32(&pair[..4]), read_u32(&pair[4..]));
            let known = self.keys.get(&hash).and_then(|key| self.entries.get(key));
            if known.is_none_or(|entry| (entry.sequence as u32) < sequence) {
                missing.extend_from_slice(&hash.to_le_bytes());
            }
        }
        ByteBuf::from(missing)
    }

    /// Returns the values with these key hashes.
    pub(crate) fn fetch(&self, hashes: &[u8]) -> Vec<ValueRecord> {
        let keys = hashes.chunks_exact(4).filter_map(|hash| self.keys.get(&read_u32(hash)));
        let entries = keys.filter_map(|key| Some((key, self.entries.get(key)?)));
        entries.map(|(key, entry)| record(key, entry)).collect()
    }

    fn insert(&mut self, key: (Topic, VmId), entry: Entry) {
        let hash = key_hash(&key, entry.incarnation);
        if let Some(old) = self.entries.get(&key) {
            if let Some(change) = old.change {
                self.changes.remove(&change);
            }
            if old.incarnation != entry.incarnation {
                self.keys.remove(&key_hash(&key, old.incarnation));
            }
        }
        self.keys.insert(hash, key.clone());
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: &(Topic, VmId)) {
        let Some(entry) = self.entries.remove(key) else { return };
        self.keys.remove(&key_hash(key, entry.incarnation));
        if let Some(change) = entry.change {
            self.changes.remove(&change);
        }
    }

    fn log_change(&mut self, key: &(Topic, VmId)) -> u64 {
        let change = self.next_change;
        self.next_change += 1;
        self.changes.insert(change, key.clone());
        change
    }
}

fn record(key: &(Topic, VmId), entry: &Entry) -> ValueRecord {
    ValueRecord {
        vm: key.1.clone(),
        topic: key.0,
        incarnation: entry.incarnation,
        sequence: entry.sequence,
        value: ByteBuf::from(entry.value.to_vec()),
    }
}

/// Hash of a key in summaries. Two keys with the same hash hide each other from repair only;
/// new values still arrive by the links that send at once.
fn key_hash((topic, vm): &(Topic, VmId), incarnation: Incarnation) -> u32 {
    hash64(format!("{topic:?}/{vm}/{incarnation}").as_bytes()) as u32
}

fn read_u32(bytes: &[u8]) -> u32 {
    bytes.iter().rev().fold(0, |number, byte| (number << 8) | u32::from(*byte))
}
