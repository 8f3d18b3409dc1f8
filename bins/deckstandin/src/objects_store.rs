//! State of the object API stand-in: objects, the event log for watches and conditional writes.

use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
};

use serde::Serialize;
use serde_json::Value;

/// Key of an object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObjectKey {
    /// Kind of the object, such as `Lease`.
    pub kind: String,
    /// Name, unique among the objects of a kind.
    pub name: String,
}

/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// `If-None-Match: *`: the object must not exist.
    Absent,
    /// `If-Match: "<revision>"`: the object must have this revision.
    Revision(u64),
}

/// An accepted write or deletion.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct ObjectEvent {
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// Revision that this write created; revisions are global and increase with each write.
    pub revision: u64,
    /// The new value; `None` for a deletion.
    pub value: Option<Rc<Value>>,
}

/// Result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect and created this revision.
    Accepted(u64),
    /// The condition does not hold. Contains the current revision, or `None` if the object does
    /// not exist.
    Conflict(Option<u64>),
    /// The object to delete does not exist.
    Missing,
}

/// The current objects and the most recent events.
pub struct ObjectStore {
    revision: u64,
    objects: BTreeMap<ObjectKey, ObjectEvent>,
    /// Invariant: revisions increase and are greater than `compacted_revision`.
    events: VecDeque<ObjectEvent>,
    /// Highest revision whose event has been removed; 0 if none has.
    compacted_revision: u64,
    max_events: usize,
}

impl ObjectStore {
    /// Returns an empty store that retains up to `max_events` events for watches.
    pub fn new(max_events: usize) -> Self {
        Self {
            revision: 0,
            objects: BTreeMap::new(),
            events: VecDeque::new(),
            compacted_revision: 0,
            max_events,
        }
    }

    /// Returns the revision of the last write.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the last write to an object; `None` if the object does not exist.
    pub fn get(&self, key: &ObjectKey) -> Option<&ObjectEvent> {
        self.objects.get(key)
    }

    /// Returns all objects of a kind, ordered by name.
    pub fn list(&self, kind: &str) -> Vec<ObjectEvent> {
        self.objects.values().filter(|object| object.kind == kind).cloned().collect()
    }

    /// Writes (`Some`) or deletes (`None`) an object if `condition` holds.
    pub fn write(
        &mut self,
        key: ObjectKey,
        condition: WriteCondition,
        value: Option<Value>,
    ) -> WriteOutcome {
        let current = self.objects.get(&key).map(|object| object.revision);
        if value.is_none() && current.is_none() {
            return WriteOutcome::Missing;
        }
        let condition_holds = match condition {
            WriteCondition::Absent => current.is_none(),
            WriteCondition::Revision(revision) => current == Some(revision),
        };
        if !condition_holds {
            return WriteOutcome::Conflict(current);
        }
        self.revision += 1;
        let event = ObjectEvent {
            kind: key.kind.clone(),
            name: key.name.clone(),
            revision: self.revision,
            value: value.map(Rc::new),
        };
        match event.value {
            Some(_) => self.objects.insert(key, event.clone()),
            None => self.objects.remove(&key),
        };
        self.events.push_back(event);
        if self.events.len() > self.max_events {
            self.compact_oldest();
        }
        WriteOutcome::Accepted(self.revision)
    }

    /// Removes all events, so that a watch from an older revision fails and its client must list
    /// the objects again.
    pub fn compact(&mut self) {
        while !self.events.is_empty() {
            self.compact_oldest();
        }
    }

    /// Returns the events of `kinds` after revision `from`; `None` if events after `from` have been
    /// compacted.
    pub fn events_after(&self, from: u64, kinds: &[String]) -> Option<Vec<ObjectEvent>> {
        if from < self.compacted_revision {
            return None;
        }
        let start = self.events.partition_point(|event| event.revision <= from);
        let newer_events = self.events.range(start..);
        Some(newer_events.filter(|event| kinds.contains(&event.kind)).cloned().collect())
    }

    fn compact_oldest(&mut self) {
        if let Some(event) = self.events.pop_front() {
            self.compacted_revision = event.revision;
        }
    }
}
