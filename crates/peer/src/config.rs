//! Configuration objects known to one VM, and the versions of them that are in force.
//!
//! The view keeps the newest revision seen of each object, so that a stale read or a delayed
//! message never restores an older version. A malformed newer version is recorded as refused and
//! does not replace the accepted one, which stays in force.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    rc::Rc,
};

use deck_core::{
    id::Revision,
    object::{
        AnySpec, Kind, OrganisationShare, RefusedRevision, RolloutJob, ServiceObjective, TargetPool,
    },
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::watch;

/// One version of a configuration object, as sent between processes.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ObjectVersion {
    /// Kind of the object; selects how `value` is parsed.
    pub kind: Kind,
    /// Name of the object, unique within its kind.
    pub name: String,
    /// Revision that the object API assigned to the write or deletion.
    pub revision: Revision,
    /// Stored JSON value; `None` for a deletion.
    pub value: Option<Value>,
}

/// Result of [`ConfigView::apply`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The version was accepted and is now in force.
    InForce,
    /// The version was ignored: the view already has the same or a newer one.
    Stale,
    /// The version is malformed, for the reason given; the accepted version stays in force.
    Refused(String),
}

/// What the view knows of one object.
#[derive(Default)]
struct ObjectEntry {
    /// Newest version seen, accepted or not. Invariant: its revision never decreases.
    newest_version: Option<ObjectVersion>,
    /// Specification of the accepted version; `None` if there is none or the object was deleted.
    /// Invariant: `accepted_revision <= newest_version.revision`.
    accepted_spec: Option<Rc<AnySpec>>,
    accepted_revision: Revision,
    /// Newest version, if it was refused.
    refused_version: Option<RefusedRevision>,
}

/// Configuration objects of a process; clones share their state.
#[derive(Clone)]
pub struct ConfigView {
    entries: Rc<RefCell<BTreeMap<(Kind, String), ObjectEntry>>>,
    /// Number of versions applied so far.
    change_count: Rc<watch::Sender<u64>>,
    is_synced: Rc<watch::Sender<bool>>,
}

impl Default for ConfigView {
    fn default() -> Self {
        Self {
            entries: Rc::default(),
            change_count: Rc::new(watch::Sender::new(0)),
            is_synced: Rc::new(watch::Sender::new(false)),
        }
    }
}

impl ConfigView {
    /// Applies a version of an object if it is newer than the known one.
    pub fn apply(&self, version: ObjectVersion) -> ApplyOutcome {
        let key = (version.kind, version.name.clone());
        let outcome = {
            let mut entries = self.entries.borrow_mut();
            let entry = entries.entry(key).or_default();
            if entry
                .newest_version
                .as_ref()
                .is_some_and(|newest| newest.revision >= version.revision)
            {
                return ApplyOutcome::Stale;
            }
            let outcome = entry.apply_version(&version);
            entry.newest_version = Some(version);
            outcome
        };
        self.change_count.send_modify(|count| *count += 1);
        outcome
    }

    /// Returns a receiver that is notified of each accepted, refused or deleted version.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.change_count.subscribe()
    }

    /// Marks the view as synced: it has all objects as of some time after the process started.
    pub fn set_synced(&self) {
        self.is_synced.send_replace(true);
    }

    /// Returns whether the view has received all objects at least once since the start.
    pub fn is_synced(&self) -> bool {
        *self.is_synced.borrow()
    }

    /// Waits until the view has received all objects once.
    pub async fn wait_synced(&self) {
        let mut is_synced = self.is_synced.subscribe();
        let _ = is_synced.wait_for(|is_synced| *is_synced).await;
    }

    /// Returns the version of a pool that is in force, with its revision.
    pub fn pool(&self, name: &str) -> Option<(Revision, TargetPool)> {
        match self.accepted_spec(Kind::TargetPool, name)? {
            (revision, AnySpec::TargetPool(pool)) => Some((revision, pool)),
            _ => None,
        }
    }

    /// Returns name, revision and specification of all target pools in force.
    pub fn pools(&self) -> Vec<(String, Revision, TargetPool)> {
        self.collect_specs(Kind::TargetPool, |spec| match spec {
            AnySpec::TargetPool(pool) => Some(pool.clone()),
            _ => None,
        })
    }

    /// Returns name, revision and specification of all rollout jobs in force.
    pub fn rollout_jobs(&self) -> Vec<(String, Revision, RolloutJob)> {
        self.collect_specs(Kind::RolloutJob, |spec| match spec {
            AnySpec::RolloutJob(job) => Some(job.clone()),
            _ => None,
        })
    }

    /// Returns name, revision and specification of all organisation shares in force.
    pub fn organisation_shares(&self) -> Vec<(String, Revision, OrganisationShare)> {
        self.collect_specs(Kind::OrganisationShare, |spec| match spec {
            AnySpec::OrganisationShare(share) => Some(share.clone()),
            _ => None,
        })
    }

    /// Returns name, revision and specification of all service-level objectives in force.
    pub fn objectives(&self) -> Vec<(String, Revision, ServiceObjective)> {
        self.collect_specs(Kind::ServiceObjective, |spec| match spec {
            AnySpec::ServiceObjective(objective) => Some(objective.clone()),
            _ => None,
        })
    }

    /// Returns the newest version of each object, including refused versions and deletions.
    pub fn versions(&self) -> Vec<ObjectVersion> {
        self.entries.borrow().values().filter_map(|entry| entry.newest_version.clone()).collect()
    }

    /// Returns the newest revision of each object, including refused versions and deletions.
    pub fn revisions(&self) -> HashMap<(Kind, String), Revision> {
        let entries = self.entries.borrow();
        let newest = entries.iter().filter_map(|(key, entry)| {
            entry.newest_version.as_ref().map(|newest| (key.clone(), newest.revision))
        });
        newest.collect()
    }

    /// Returns the accepted revision of each object that has one; deleted objects are excluded.
    pub fn accepted_revisions(&self) -> BTreeMap<(Kind, String), Revision> {
        let entries = self.entries.borrow();
        let accepted = entries.iter().filter(|(_, entry)| entry.accepted_spec.is_some());
        accepted.map(|(key, entry)| (key.clone(), entry.accepted_revision)).collect()
    }

    /// Returns the newest revision of an object, including refused versions and deletions; 0 if
    /// none has been seen.
    pub fn newest_revision(&self, kind: Kind, name: &str) -> Revision {
        let entries = self.entries.borrow();
        let entry = entries.get(&(kind, name.to_owned()));
        entry.and_then(|entry| entry.newest_version.as_ref()).map_or(0, |newest| newest.revision)
    }

    /// Returns the newest version of an object, including a refused version or a deletion.
    pub fn version(&self, kind: Kind, name: &str) -> Option<ObjectVersion> {
        self.entries.borrow().get(&(kind, name.to_owned()))?.newest_version.clone()
    }

    /// Returns the accepted revision of an object and, if its newest version was refused, that
    /// version and the reason.
    pub fn acceptance(
        &self,
        kind: Kind,
        name: &str,
    ) -> Option<(Revision, Option<RefusedRevision>)> {
        let entries = self.entries.borrow();
        let entry = entries.get(&(kind, name.to_owned()))?;
        Some((entry.accepted_revision, entry.refused_version.clone()))
    }

    fn accepted_spec(&self, kind: Kind, name: &str) -> Option<(Revision, AnySpec)> {
        let entries = self.entries.borrow();
        let entry = entries.get(&(kind, name.to_owned()))?;
        let spec = entry.accepted_spec.as_ref()?;
        Some((entry.accepted_revision, AnySpec::clone(spec)))
    }

    fn collect_specs<T>(
        &self,
        kind: Kind,
        select: impl Fn(&AnySpec) -> Option<T>,
    ) -> Vec<(String, Revision, T)> {
        let entries = self.entries.borrow();
        let of_kind = entries.iter().filter(|((entry_kind, _), _)| *entry_kind == kind);
        of_kind
            .filter_map(|((_, name), entry)| {
                let spec = select(entry.accepted_spec.as_ref()?)?;
                Some((name.clone(), entry.accepted_revision, spec))
            })
            .collect()
    }
}

impl ObjectEntry {
    fn apply_version(&mut self, version: &ObjectVersion) -> ApplyOutcome {
        let Some(value) = &version.value else {
            self.accepted_spec = None;
            self.accepted_revision = version.revision;
            self.refused_version = None;
            return ApplyOutcome::InForce;
        };
        match AnySpec::parse(version.kind, value) {
            Ok(spec) => {
                self.accepted_spec = Some(Rc::new(spec));
                self.accepted_revision = version.revision;
                self.refused_version = None;
                ApplyOutcome::InForce
            }
            Err(error) => {
                let reason = error.to_string();
                self.refused_version =
                    Some(RefusedRevision { revision: version.revision, reason: reason.clone() });
                ApplyOutcome::Refused(reason)
            }
        }
    }
}
