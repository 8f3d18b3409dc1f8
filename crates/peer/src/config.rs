//! Configuration in force on one VM.
//!
//! For each object the view keeps the newest revision seen, so a stale read or a late message never
//! brings back an older version. A malformed newer version is remembered as refused and does not
//! replace the accepted one.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    rc::Rc,
};

use deck_core::{
    id::Revision,
    object::{
        AnySpec, Kind, OrganisationShare, RefusedVersion, RolloutJob, ServiceObjective, TargetPool,
    },
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::watch;

/// One version of an object as it travels between processes.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ObjectVersion {
    /// Kind.
    pub kind: Kind,
    /// Name.
    pub name: String,
    /// Revision of the write or deletion.
    pub revision: Revision,
    /// Stored value; `None` for a deletion.
    pub value: Option<Value>,
}

/// What became of a version given to [`ConfigView::apply`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// It is in force.
    InForce,
    /// The view already has this or a newer version.
    Stale,
    /// It is malformed; the accepted version stays in force. Holds the reason.
    Refused(String),
}

#[derive(Default)]
struct Entry {
    /// Newest version seen, accepted or not. Invariant: its revision never falls.
    newest: Option<ObjectVersion>,
    /// Accepted version. Invariant: `accepted_revision <= newest.revision`.
    accepted: Option<Rc<AnySpec>>,
    accepted_revision: Revision,
    refused: Option<RefusedVersion>,
}

/// Configuration in force; clones share their state.
#[derive(Clone)]
pub struct ConfigView {
    entries: Rc<RefCell<BTreeMap<(Kind, String), Entry>>>,
    changes: Rc<watch::Sender<u64>>,
    synced: Rc<watch::Sender<bool>>,
}

impl Default for ConfigView {
    fn default() -> Self {
        Self {
            entries: Rc::default(),
            changes: Rc::new(watch::Sender::new(0)),
            synced: Rc::new(watch::Sender::new(false)),
        }
    }
}

impl ConfigView {
    /// Applies one version of an object.
    pub fn apply(&self, version: ObjectVersion) -> Applied {
        let key = (version.kind, version.name.clone());
        let outcome = {
            let mut entries = self.entries.borrow_mut();
            let entry = entries.entry(key).or_default();
            if entry.newest.as_ref().is_some_and(|newest| newest.revision >= version.revision) {
                return Applied::Stale;
            }
            let outcome = entry.accept(&version);
            entry.newest = Some(version);
            outcome
        };
        self.changes.send_modify(|count| *count += 1);
        outcome
    }

    /// Returns a receiver that changes with each applied version.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Declares that the view has all objects as of some moment after the start.
    pub fn set_synced(&self) {
        self.synced.send_replace(true);
    }

    /// Returns whether the view has been complete once.
    pub fn is_synced(&self) -> bool {
        *self.synced.borrow()
    }

    /// Waits until the view has been complete once.
    pub async fn wait_synced(&self) {
        let mut synced = self.synced.subscribe();
        let _ = synced.wait_for(|synced| *synced).await;
    }

    /// Returns the pool in force and its revision.
    pub fn pool(&self, name: &str) -> Option<(Revision, TargetPool)> {
        match self.accepted(Kind::TargetPool, name)? {
            (revision, AnySpec::TargetPool(pool)) => Some((revision, pool)),
            _ => None,
        }
    }

    /// Returns all pools in force.
    pub fn pools(&self) -> Vec<(String, Revision, TargetPool)> {
        self.collect(Kind::TargetPool, |spec| match spec {
            AnySpec::TargetPool(pool) => Some(pool.clone()),
            _ => None,
        })
    }

    /// Returns all rollout jobs in force.
    pub fn jobs(&self) -> Vec<(String, Revision, RolloutJob)> {
        self.collect(Kind::RolloutJob, |spec| match spec {
            AnySpec::RolloutJob(job) => Some(job.clone()),
            _ => None,
        })
    }

    /// Returns the shares of all organisations in force.
    pub fn shares(&self) -> Vec<(String, Revision, OrganisationShare)> {
        self.collect(Kind::OrganisationShare, |spec| match spec {
            AnySpec::OrganisationShare(share) => Some(share.clone()),
            _ => None,
        })
    }

    /// Returns all service-level objectives in force.
    pub fn objectives(&self) -> Vec<(String, Revision, ServiceObjective)> {
        self.collect(Kind::ServiceObjective, |spec| match spec {
            AnySpec::ServiceObjective(objective) => Some(objective.clone()),
            _ => None,
        })
    }

    /// Returns the newest version of each object, deletions included.
    pub fn versions(&self) -> Vec<ObjectVersion> {
        self.entries.borrow().values().filter_map(|entry| entry.newest.clone()).collect()
    }

    /// Returns the newest revision of each object, deletions included.
    pub fn revisions(&self) -> HashMap<(Kind, String), Revision> {
        let entries = self.entries.borrow();
        let newest = entries.iter().filter_map(|(key, entry)| {
            entry.newest.as_ref().map(|newest| (key.clone(), newest.revision))
        });
        newest.collect()
    }

    /// Returns the accepted revision of each object that has one, deleted objects excluded.
    pub fn accepted_revisions(&self) -> BTreeMap<(Kind, String), Revision> {
        let entries = self.entries.borrow();
        let accepted = entries.iter().filter(|(_, entry)| entry.accepted.is_some());
        accepted.map(|(key, entry)| (key.clone(), entry.accepted_revision)).collect()
    }

    /// Returns the newest revision of an object, deletions included; 0 if none has been seen.
    pub fn newest_revision(&self, kind: Kind, name: &str) -> Revision {
        let entries = self.entries.borrow();
        let entry = entries.get(&(kind, name.to_owned()));
        entry.and_then(|entry| entry.newest.as_ref()).map_or(0, |newest| newest.revision)
    }

    /// Returns the newest version of an object, deletions included.
    pub fn version(&self, kind: Kind, name: &str) -> Option<ObjectVersion> {
        self.entries.borrow().get(&(kind, name.to_owned()))?.newest.clone()
    }

    /// Returns the accepted revision of an object and the refused one, if the newest was refused.
    pub fn acceptance(&self, kind: Kind, name: &str) -> Option<(Revision, Option<RefusedVersion>)> {
        let entries = self.entries.borrow();
        let entry = entries.get(&(kind, name.to_owned()))?;
        Some((entry.accepted_revision, entry.refused.clone()))
    }

    fn accepted(&self, kind: Kind, name: &str) -> Option<(Revision, AnySpec)> {
        let entries = self.entries.borrow();
        let entry = entries.get(&(kind, name.to_owned()))?;
        let spec = entry.accepted.as_ref()?;
        Some((entry.accepted_revision, AnySpec::clone(spec)))
    }

    fn collect<T>(
        &self,
        kind: Kind,
        select: impl Fn(&AnySpec) -> Option<T>,
    ) -> Vec<(String, Revision, T)> {
        let entries = self.entries.borrow();
        let of_kind = entries.iter().filter(|((entry_kind, _), _)| *entry_kind == kind);
        of_kind
            .filter_map(|((_, name), entry)| {
                let spec = select(entry.accepted.as_ref()?)?;
                Some((name.clone(), entry.accepted_revision, spec))
            })
            .collect()
    }
}

impl Entry {
    fn accept(&mut self, version: &ObjectVersion) -> Applied {
        let Some(value) = &version.value else {
            self.accepted = None;
            self.accepted_revision = version.revision;
            self.refused = None;
            return Applied::InForce;
        };
        match AnySpec::parse(version.kind, value) {
            Ok(spec) => {
                self.accepted = Some(Rc::new(spec));
                self.accepted_revision = version.revision;
                self.refused = None;
                Applied::InForce
            }
            Err(error) => {
                let reason = error.to_string();
                self.refused =
                    Some(RefusedVersion { revision: version.revision, reason: reason.clone() });
                Applied::Refused(reason)
            }
        }
    }
}
