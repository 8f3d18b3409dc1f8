//! Reports of the revisions in force on each VM, and the status objects derived from them.
//!
//! Each VM publishes one digest of all its accepted revisions. One VM, the status writer, writes a
//! status object for each configuration object, which states among other things on how many VMs it
//! is in force. The status writer keeps the digests that its own configuration has had: a VM that
//! publishes one of them has exactly the revisions that the status writer had at that time. A
//! report therefore takes 8 bytes, regardless of the number of objects.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use deck_core::{
    hash::hash64,
    id::Revision,
    object::{Envelope, Kind, ObjectStatus},
};
use deck_plat::{Object, Precondition, StoreError};
use serde_json::Value;

use crate::{MemberState, Topic, peer::SharedState};

/// Maximum number of digests of its own configuration that the status writer keeps. VMs whose
/// configuration is older are not counted.
const MAX_KEPT_DIGESTS: usize = 1024;
/// Maximum number of attempts to find out by reading whether a status write whose response was lost
/// took effect.
const MAX_READ_BACK_ATTEMPTS: u32 = 3;
/// Delay before the next call on the object API after one has failed.
const STORE_FAILURE_DELAY: Duration = Duration::from_secs(2);

/// Kind and name of an object.
type ObjectKey = (Kind, String);

/// Publishes the digest of the accepted revisions whenever it changes.
pub(crate) async fn publish_in_force(shared: Rc<SharedState>) {
    shared.config.wait_synced().await;
    let mut changes = shared.config.subscribe();
    loop {
        let digest = accepted_digest(&shared.config.accepted_revisions());
        let value = Bytes::copy_from_slice(&digest.to_le_bytes());
        let period = shared.options.value_refresh_period;
        let now = std::time::Instant::now();
        shared.values.borrow_mut().publish(Topic::InForceRevisions, value, now, period);
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Returns an order-independent digest of the accepted revisions.
fn accepted_digest(accepted: &BTreeMap<ObjectKey, Revision>) -> u64 {
    let hashes = accepted
        .iter()
        .map(|((kind, name), revision)| hash64(format!("{kind}/{name}/{revision}").as_bytes()));
    // An empty configuration gets digest 1, not 0.
    hashes.fold(1, |digest, hash| digest ^ hash)
}

/// Digests that the configuration of this VM has had, and the last change of each object. Changes
/// of the configuration are numbered from 1, and a VM that publishes the digest of a change has
/// reached that change.
#[derive(Default)]
struct DigestHistory {
    /// Accepted revision of each object after the last change.
    accepted_revisions: BTreeMap<ObjectKey, Revision>,
    /// Number of the change that set the current accepted revision of each object.
    last_change_by_object: HashMap<ObjectKey, u64>,
    /// Number of the change by which the configuration got a digest.
    change_by_digest: HashMap<u64, u64>,
    /// Keys of `change_by_digest`, oldest first.
    digest_order: VecDeque<u64>,
    /// Number of the most recent change; 0 before the first.
    last_change: u64,
}

impl DigestHistory {
    /// Records a change if the accepted revisions differ from those recorded last.
    fn record_accepted(&mut self, accepted_revisions: BTreeMap<ObjectKey, Revision>) {
        if accepted_revisions == self.accepted_revisions && !self.digest_order.is_empty() {
            return;
        }
        self.last_change += 1;
        for (key, revision) in &accepted_revisions {
            if self.accepted_revisions.get(key) != Some(revision) {
                self.last_change_by_object.insert(key.clone(), self.last_change);
            }
        }
        self.last_change_by_object.retain(|key, _| accepted_revisions.contains_key(key));
        let digest = accepted_digest(&accepted_revisions);
        self.accepted_revisions = accepted_revisions;
        self.change_by_digest.insert(digest, self.last_change);
        self.digest_order.push_back(digest);
        if self.digest_order.len() > MAX_KEPT_DIGESTS
            && let Some(oldest) = self.digest_order.pop_front()
        {
            self.change_by_digest.remove(&oldest);
        }
    }

    /// Returns how many VMs have the accepted revision of the object `key` in force.
    /// `reached_changes` contains the number of the change that each VM has reached.
    fn count_vms_in_force(&self, key: &ObjectKey, reached_changes: &[u64]) -> u32 {
        let Some(&changed_at) = self.last_change_by_object.get(key) else { return 0 };
        reached_changes.iter().filter(|&&change| change >= changed_at).count() as u32
    }
}

/// A status object as stored in the object API.
struct StoredStatus {
    revision: Revision,
    value: Value,
}

/// Writes status objects while this VM is the status writer, at most one in each write period.
pub(crate) async fn write_status(shared: Rc<SharedState>) {
    shared.config.wait_synced().await;
    let mut writer = None;
    loop {
        monoio::time::sleep(shared.options.status_write_period).await;
        if !shared.is_status_writer() {
            writer = None;
            continue;
        }
        let result = match &mut writer {
            Some(writer) => StatusWriter::write_one(writer, &shared).await,
            None => StatusWriter::load_stored(&shared).await.map(|loaded| writer = Some(loaded)),
        };
        if let Err(error) = result {
            log::debug!(target: "peer", "status not written error={error}");
            // The stored status objects are no longer known: list them again.
            writer = None;
            monoio::time::sleep(STORE_FAILURE_DELAY).await;
        }
    }
}

/// State of the task that writes status objects.
struct StatusWriter {
    /// Status objects in the object API, as last read or written.
    stored_statuses: BTreeMap<ObjectKey, StoredStatus>,
    history: DigestHistory,
    /// Object whose status was written last. The search for the next outdated status starts after
    /// it, so that objects that change often do not hold up the others.
    last_written: Option<ObjectKey>,
}

impl StatusWriter {
    /// Returns a writer that knows the status objects in the object API.
    async fn load_stored(shared: &SharedState) -> Result<Self, StoreError> {
        let mut stored_statuses = BTreeMap::new();
        for &kind in Kind::ALL {
            shared.traffic.count_store_call();
            let (_, objects) = shared.store.list(kind.status_kind()).await?;
            for Object { name, revision, value, .. } in objects {
                stored_statuses.insert((kind, name), StoredStatus { revision, value });
            }
        }
        Ok(Self { stored_statuses, history: DigestHistory::default(), last_written: None })
    }

    /// Writes or deletes the next status object that differs from the stored one.
    async fn write_one(&mut self, shared: &SharedState) -> Result<(), StoreError> {
        self.history.record_accepted(shared.config.accepted_revisions());
        let reached_changes = self.reached_changes_of_live_vms(shared);
        let live_vms = live_vm_count(shared);
        if let Some(key) = self.next_outdated(shared, &reached_changes, live_vms) {
            self.last_written = Some(key.clone());
            let Some(status) = self.desired_status(shared, &key, &reached_changes, live_vms) else {
                return self.delete(shared, key).await;
            };
            return self.put(shared, key, &status).await;
        }
        Ok(())
    }

    /// Returns the number of the change that each live VM has reached according to the digest that
    /// it published. VMs whose digest is not in the history, or whose current process has not
    /// published one yet, are left out.
    fn reached_changes_of_live_vms(&self, shared: &SharedState) -> Vec<u64> {
        let values = shared.values.borrow();
        let members = shared.members.borrow();
        let live_reports = values.values_of_topic(Topic::InForceRevisions).filter(|(vm, entry)| {
            members.get(vm).is_some_and(|record| {
                record.state == MemberState::Live && record.incarnation <= entry.incarnation
            })
        });
        live_reports
            .filter_map(|(_, entry)| {
                let digest = u64::from_le_bytes(entry.value.as_ref().try_into().ok()?);
                self.history.change_by_digest.get(&digest).copied()
            })
            .collect()
    }

    /// Returns the next object whose stored status is outdated.
    fn next_outdated(
        &self,
        shared: &SharedState,
        reached_changes: &[u64],
        live_vms: u32,
    ) -> Option<ObjectKey> {
        let objects = shared.config.newest_revisions().into_keys();
        let mut keys: Vec<_> = objects.chain(self.stored_statuses.keys().cloned()).collect();
        keys.sort_unstable();
        keys.dedup();
        let start_index = self
            .last_written
            .as_ref()
            .map_or(0, |last_written| keys.partition_point(|key| key <= last_written));
        keys.rotate_left(start_index);
        let differs = |key: &&ObjectKey, only_acceptance: bool| {
            let desired_status = self.desired_status(shared, key, reached_changes, live_vms);
            let stored_status =
                self.stored_statuses.get(*key).map(|stored| parse_status(&stored.value));
            match (desired_status, stored_status) {
                (Some(desired_status), Some(Some(stored_status))) if only_acceptance => {
                    (desired_status.accepted_revision, desired_status.refused)
                        != (stored_status.accepted_revision, stored_status.refused)
                }
                (desired_status, stored_status) => desired_status != stored_status.flatten(),
            }
        };
        // A changed acceptance or refusal, which operators wait for, is written before changed
        // counts of VMs, which are frequent.
        let outdated_acceptance = keys.iter().find(|key| differs(key, true));
        outdated_acceptance.or_else(|| keys.iter().find(|key| differs(key, false))).cloned()
    }

    /// Returns the status to store for an object; `None` if the object does not exist.
    fn desired_status(
        &self,
        shared: &SharedState,
        key: &ObjectKey,
        reached_changes: &[u64],
        live_vms: u32,
    ) -> Option<ObjectStatus> {
        let (kind, name) = key;
        let is_present = shared.config.newest_version(*kind, name)?.value.is_some();
        let (accepted_revision, refused) = shared.config.acceptance(*kind, name)?;
        let in_force_vms = self.history.count_vms_in_force(key, reached_changes).min(live_vms);
        is_present.then_some(ObjectStatus { accepted_revision, refused, in_force_vms, live_vms })
    }

    /// Writes the status of an object on the condition that the stored status object is the known
    /// one; reads it again if another process has changed it.
    async fn put(
        &mut self,
        shared: &SharedState,
        key: ObjectKey,
        status: &ObjectStatus,
    ) -> Result<(), StoreError> {
        let kind = key.0.status_kind();
        let stored = self.stored_statuses.get(&key);
        let value = merged_value(stored.map(|stored| &stored.value), status)
            .map_err(|error| StoreError::Decode(error.to_string()))?;
        let condition = match stored {
            Some(stored) => Precondition::Revision(stored.revision),
            None => Precondition::Absent,
        };
        shared.traffic.count_store_call();
        let result = shared
            .store
            .put_with_read_back(kind, &key.1, condition, &value, MAX_READ_BACK_ATTEMPTS)
            .await;
        match result {
            Ok(revision) => {
                self.stored_statuses.insert(key, StoredStatus { revision, value });
                Ok(())
            }
            Err(StoreError::Conflict(_)) => self.reload(shared, key).await,
            Err(error) => Err(error),
        }
    }

    /// Deletes the status of an object on the same condition as [`Self::put`].
    async fn delete(&mut self, shared: &SharedState, key: ObjectKey) -> Result<(), StoreError> {
        let Some(stored) = self.stored_statuses.remove(&key) else { return Ok(()) };
        shared.traffic.count_store_call();
        match shared.store.delete(key.0.status_kind(), &key.1, stored.revision).await {
            Err(StoreError::Conflict(_)) => self.reload(shared, key).await,
            result => result,
        }
    }

    /// Reads a status object again after another process changed it.
    async fn reload(&mut self, shared: &SharedState, key: ObjectKey) -> Result<(), StoreError> {
        shared.traffic.count_store_call();
        match shared.store.get(key.0.status_kind(), &key.1).await? {
            Some(Object { revision, value, .. }) => {
                self.stored_statuses.insert(key, StoredStatus { revision, value });
            }
            None => {
                self.stored_statuses.remove(&key);
            }
        }
        Ok(())
    }
}

/// Returns the number of members in state `Live`.
fn live_vm_count(shared: &SharedState) -> u32 {
    let members = shared.members.borrow().members();
    members.iter().filter(|member| member.state == MemberState::Live).count() as u32
}

/// Parses a stored status object; `None` if it does not contain a valid status.
fn parse_status(value: &Value) -> Option<ObjectStatus> {
    serde_json::from_value(value.get("spec")?.clone()).ok()
}

/// Returns the stored value with the fields of `status` replaced. Fields that other daemons wrote
/// to the same status object are kept.
fn merged_value(stored: Option<&Value>, status: &ObjectStatus) -> Result<Value, serde_json::Error> {
    let mut spec =
        stored.and_then(|value| value.get("spec")?.as_object()).cloned().unwrap_or_default();
    spec.remove("refused");
    if let Value::Object(fields) = serde_json::to_value(status)? {
        spec.extend(fields);
    }
    serde_json::to_value(Envelope::new(spec))
}
