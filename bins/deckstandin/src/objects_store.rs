//! Contents of the object API stand-in: objects, event log and conditional writes.

use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
};

use serde::Serialize;
use serde_json::Value;

/// Key of an object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Kind.
    pub kind: String,
    /// Name.
    pub name: String,
}

/// Condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// `If-None-Match: *`.
    Absent,
    /// `If-Match: "<revision>"`.
    Revision(u64),
}

/// One accepted write.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Event {
    /// Kind.
    pub kind: String,
    /// Name.
    pub name: String,
    /// Revision of this write.
    pub revision: u64,
    /// Written value; `None` for a deletion.
    pub value: Option<Rc<Value>>,
}

/// Result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// Accepted with this revision.
    Accepted(u64),
    /// The condition does not hold; the object's current revision.
    Conflict(Option<u64>),
    /// A deletion of an object that does not exist.
    Missing,
}

/// All objects and the latest events.
pub struct ObjectStore {
    revision: u64,
    objects: BTreeMap<Key, Event>,
    /// Invariant: revisions increase and are above `compacted`.
    log: VecDeque<Event>,
    compacted: u64,
    max_events: usize,
}

impl ObjectStore {
    /// Returns an empty store that keeps `max_events` events for watches.
    pub fn new(max_events: usize) -> Self {
        Self {
            revision: 0,
            objects: BTreeMap::new(),
            log: VecDeque::new(),
            compacted: 0,
            max_events,
        }
    }

    /// Returns the revision of the last write.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns an object.
    pub fn get(&self, key: &Key) -> Option<&Event> {
        self.objects.get(key)
    }

    /// Returns all objects of a kind, ordered by name.
    pub fn list(&self, kind: &str) -> Vec<Event> {
        self.objects.values().filter(|object| object.kind == kind).cloned().collect()
    }

    /// Writes (`Some`) or deletes (`None`) an object if `condition` holds.
    pub fn write(&mut self, key: Key, condition: Condition, value: Option<Value>) -> Written {
        let current = self.objects.get(&key).map(|object| object.revision);
        if value.is_none() && current.is_none() {
            return Written::Missing;
        }
        let holds = match condition {
            Condition::Absent => current.is_none(),
            Condition::Revision(revision) => current == Some(revision),
        };
        if !holds {
            return Written::Conflict(current);
        }
        self.revision += 1;
        let event = Event {
            kind: key.kind.clone(),
            name: key.name.clone(),
            revision: self.revision,
            value: value.map(Rc::new),
        };
        match event.value {
            Some(_) => self.objects.insert(key, event.clone()),
            None => self.objects.remove(&key),
        };
        self.log.push_back(event);
        if self.log.len() > self.max_events {
            self.drop_oldest();
        }
        Written::Accepted(self.revision)
    }

    /// Forgets all events, so that a watch from an older revision has to list again.
    pub fn compact(&mut self) {
        while !self.log.is_empty() {
            self.drop_oldest();
        }
    }

    /// Returns the events after `from` of the given kinds; `None` if some have been compacted.
    pub fn events_after(&self, from: u64, kinds: &[String]) -> Option<Vec<Event>> {
        if from < self.compacted {
            return None;
        }
        let start = self.log.partition_point(|event| event.revision <= from);
        let events = self.log.range(start..);
        Some(events.filter(|event| kinds.contains(&event.kind)).cloned().collect())
    }

    fn drop_oldest(&mut self) {
        if let Some(event) = self.log.pop_front() {
            self.compacted = event.revision;
        }
    }
}
