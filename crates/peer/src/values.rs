//! Table of published values: the newest value of each VM and topic.
//!
//! Each change of the table gets a number, counted from 1. The number of the last change handled
//! for a link determines which values are still to be sent on it.

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

/// Identifier of a link, unique in the process.
pub(crate) type LinkId = u64;

/// Encoded size of a value record without the value and the VM name.
const RECORD_OVERHEAD_BYTES: usize = 40;
/// Size of a pair in a summary: a 32-bit key hash and a 32-bit sequence number.
const SUMMARY_PAIR_BYTES: usize = 8;

/// Newest known value of one VM and topic.
pub(crate) struct ValueEntry {
    /// Incarnation of the process that published the value.
    pub(crate) incarnation: Incarnation,
    /// Number of the value among those of its VM, incarnation and topic; the highest is the newest.
    sequence: u64,
    pub(crate) value: Bytes,
    pub(crate) received_at: Instant,
    /// Number of the change that set this value; `None` for a value of this VM that is not sent yet
    /// because the byte budget is exhausted.
    change: Option<u64>,
    /// Link on which the value arrived; `None` for a value of this VM.
    source_link: Option<LinkId>,
}

/// Token bucket that limits the bytes of the values that this VM publishes.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    available_bytes: f64,
    refilled_at: Instant,
}

impl ByteBudget {
    /// Number of bytes that can be saved up while nothing is published. It allows a burst, so that
    /// a rare change is sent without delay.
    const CAPACITY_BYTES: f64 = 1_024.0;

    fn new(now: Instant) -> Self {
        Self { available_bytes: Self::CAPACITY_BYTES, refilled_at: now }
    }

    /// Adds the bytes for the time since the last refill.
    fn refill(&mut self, now: Instant, bytes_per_s: f64) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.available_bytes =
            (self.available_bytes + elapsed * bytes_per_s).min(Self::CAPACITY_BYTES);
        self.refilled_at = now;
    }
}

/// All published values that this VM knows, its own included.
pub(crate) struct ValueTable {
    own_vm: VmId,
    /// Incarnation under which this VM publishes its values.
    incarnation: Incarnation,
    entries: BTreeMap<(Topic, VmId), ValueEntry>,
    /// Keys of the entries by the number of their last change. Invariant: contains exactly the
    /// entries whose `change` is set.
    changes: BTreeMap<u64, (Topic, VmId)>,
    /// Number that the next change gets.
    next_change: u64,
    /// Keys of the entries by [`key_hash`], with which summaries and fetches refer to them.
    keys_by_hash: HashMap<u32, (Topic, VmId)>,
    /// Topics in which the newest value of this VM is not sent yet, in the order of sending.
    unsent_topics: VecDeque<Topic>,
    budget: ByteBudget,
}

impl ValueTable {
    pub(crate) fn new(own_vm: VmId, incarnation: Incarnation, now: Instant) -> Self {
        Self {
            own_vm,
            incarnation,
            entries: BTreeMap::new(),
            changes: BTreeMap::new(),
            next_change: 1,
            keys_by_hash: HashMap::new(),
            unsent_topics: VecDeque::new(),
            budget: ByteBudget::new(now),
        }
    }

    /// Sets the incarnation under which this VM publishes its values.
    pub(crate) fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
    }

    /// Sets the value of this VM in a topic and queues it for sending. An unchanged value is
    /// ignored unless `refresh_period` has passed since it was last queued.
    pub(crate) fn publish(
        &mut self,
        topic: Topic,
        value: Bytes,
        now: Instant,
        refresh_period: Duration,
    ) {
        let key = (topic, self.own_vm.clone());
        let sequence = match self.entries.get(&key) {
            Some(entry) if entry.value == value => {
                if now.saturating_duration_since(entry.received_at) < refresh_period {
                    return;
                }
                entry.sequence + 1
            }
            Some(entry) => entry.sequence + 1,
            None => 1,
        };
        let incarnation = self.incarnation;
        let entry = ValueEntry {
            incarnation,
            sequence,
            value,
            received_at: now,
            change: None,
            source_link: None,
        };
        self.insert(key, entry);
        if self.unsent_topics.contains(&topic) {
            return;
        }
        // A topic that is not urgent goes to the back of the queue, so that one that changes all
        // the time does not prevent the others from being sent.
        if topic.is_urgent() {
            self.unsent_topics.push_front(topic)
        } else {
            self.unsent_topics.push_back(topic)
        }
    }

    /// Assigns change numbers to queued values of this VM, as far as the byte budget allows; values
    /// with a change number are sent on the links.
    ///
    /// `bytes_per_s` is the refill rate of the budget: this VM's fraction of the bytes per second
    /// that each VM may receive, so that the values of all VMs together stay within that limit. If
    /// a value changes faster than the budget allows, intermediate values are not sent.
    pub(crate) fn release_own_values(&mut self, now: Instant, bytes_per_s: f64) {
        self.budget.refill(now, bytes_per_s);
        while let Some(&topic) = self.unsent_topics.front() {
            let key = (topic, self.own_vm.clone());
            let size_bytes = self.entries.get(&key).map_or(0, |entry| entry.value.len());
            let size_bytes = (size_bytes + self.own_vm.len() + RECORD_OVERHEAD_BYTES) as f64;
            // A value larger than the capacity is sent when the budget is full, which becomes
            // negative.
            if self.budget.available_bytes < size_bytes.min(ByteBudget::CAPACITY_BYTES) {
                return;
            }
            self.budget.available_bytes -= size_bytes;
            self.unsent_topics.pop_front();
            let change = self.assign_change(&key);
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.change = Some(change);
            }
        }
    }

    /// Stores a value of another VM if it is newer than the known one; returns whether it was
    /// stored.
    pub(crate) fn merge(&mut self, record: ValueRecord, source_link: LinkId, now: Instant) -> bool {
        if record.vm == self.own_vm {
            return false;
        }
        let key = (record.topic, record.vm);
        let version = (record.incarnation, record.sequence);
        if self
            .entries
            .get(&key)
            .is_some_and(|entry| (entry.incarnation, entry.sequence) >= version)
        {
            return false;
        }
        let change = self.assign_change(&key);
        let entry = ValueEntry {
            incarnation: record.incarnation,
            sequence: record.sequence,
            value: Bytes::from(record.value.into_vec()),
            received_at: now,
            change: Some(change),
            source_link: Some(source_link),
        };
        self.insert(key, entry);
        true
    }

    /// Removes all values of a VM.
    pub(crate) fn remove_vm(&mut self, vm: &str) {
        let removed: Vec<_> =
            self.entries.keys().filter(|(_, owner)| owner == vm).cloned().collect();
        for key in removed {
            self.remove(&key);
        }
    }

    /// Returns the values of all VMs in a topic.
    pub(crate) fn values_of_topic(
        &self,
        topic: Topic,
    ) -> impl Iterator<Item = (&VmId, &ValueEntry)> {
        let range = (topic, VmId::new())..;
        let entries = self
            .entries
            .range(range)
            .take_while(move |((entry_topic, _), _)| *entry_topic == topic);
        entries.map(|((_, vm), entry)| (vm, entry))
    }

    /// Returns the number of the most recent change; changes are numbered from 1.
    pub(crate) fn last_change(&self) -> u64 {
        self.next_change - 1
    }

    /// Returns the values whose change number is higher than `after`, without those that arrived on
    /// `link`.
    pub(crate) fn changed_after(&self, after: u64, link: LinkId) -> Vec<ValueRecord> {
        let changed = self.changes.range(after + 1..);
        let entries = changed.filter_map(|(_, key)| Some((key, self.entries.get(key)?)));
        entries
            .filter(|(_, entry)| entry.source_link != Some(link))
            .map(|(key, entry)| to_value_record(key, entry))
            .collect()
    }

    /// Returns the encoded pairs of a summary, key hash and sequence number, for the values whose
    /// change number is in `changes`.
    pub(crate) fn summary(&self, changes: RangeInclusive<u64>) -> ByteBuf {
        let mut pairs = Vec::new();
        for key in self.changes.range(changes).map(|(_, key)| key) {
            let Some(entry) = self.entries.get(key) else { continue };
            pairs.extend_from_slice(&key_hash(key, entry.incarnation).to_le_bytes());
            pairs.extend_from_slice(&(entry.sequence as u32).to_le_bytes());
        }
        ByteBuf::from(pairs)
    }

    /// Returns the encoded key hashes of those values in a summary that this table does not have,
    /// or has only in an older version.
    pub(crate) fn missing_key_hashes(&self, pairs: &[u8]) -> ByteBuf {
        let mut missing_key_hashes = Vec::new();
        for pair in pairs.chunks_exact(SUMMARY_PAIR_BYTES) {
            let (hash, sequence) = (read_u32(&pair[..4]), read_u32(&pair[4..]));
            let known = self.keys_by_hash.get(&hash).and_then(|key| self.entries.get(key));
            if known.is_none_or(|entry| (entry.sequence as u32) < sequence) {
                missing_key_hashes.extend_from_slice(&hash.to_le_bytes());
            }
        }
        ByteBuf::from(missing_key_hashes)
    }

    /// Returns the values with the given encoded key hashes.
    pub(crate) fn records_by_hash(&self, hashes: &[u8]) -> Vec<ValueRecord> {
        let keys = hashes.chunks_exact(4).filter_map(|hash| self.keys_by_hash.get(&read_u32(hash)));
        let entries = keys.filter_map(|key| Some((key, self.entries.get(key)?)));
        entries.map(|(key, entry)| to_value_record(key, entry)).collect()
    }

    /// Inserts or replaces an entry and removes the change and the hash of the replaced one.
    fn insert(&mut self, key: (Topic, VmId), entry: ValueEntry) {
        let hash = key_hash(&key, entry.incarnation);
        if let Some(old) = self.entries.get(&key) {
            if let Some(change) = old.change {
                self.changes.remove(&change);
            }
            if old.incarnation != entry.incarnation {
                self.keys_by_hash.remove(&key_hash(&key, old.incarnation));
            }
        }
        self.keys_by_hash.insert(hash, key.clone());
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: &(Topic, VmId)) {
        let Some(entry) = self.entries.remove(key) else { return };
        self.keys_by_hash.remove(&key_hash(key, entry.incarnation));
        if let Some(change) = entry.change {
            self.changes.remove(&change);
        }
    }

    /// Assigns the next change number to the entry with this key.
    fn assign_change(&mut self, key: &(Topic, VmId)) -> u64 {
        let change = self.next_change;
        self.next_change += 1;
        self.changes.insert(change, key.clone());
        change
    }
}

/// Returns an entry in the form in which it is sent to other VMs.
fn to_value_record(key: &(Topic, VmId), entry: &ValueEntry) -> ValueRecord {
    ValueRecord {
        vm: key.1.clone(),
        topic: key.0,
        incarnation: entry.incarnation,
        sequence: entry.sequence,
        value: ByteBuf::from(entry.value.to_vec()),
    }
}

/// Returns the hash that identifies a key in summaries. If two keys have the same hash, only the
/// repair by summaries is affected; changed values still arrive on the eager links.
fn key_hash((topic, vm): &(Topic, VmId), incarnation: Incarnation) -> u32 {
    hash64(format!("{topic:?}/{vm}/{incarnation}").as_bytes()) as u32
}

/// Decodes a little-endian integer.
fn read_u32(bytes: &[u8]) -> u32 {
    bytes.iter().rev().fold(0, |decoded, byte| (decoded << 8) | u32::from(*byte))
}
