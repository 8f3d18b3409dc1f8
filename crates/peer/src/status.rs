//! Reports of the revisions in force on each VM, and the status objects derived from them.
//!
//! Each VM publishes one digest of its accepted revisions. The status writer keeps the earlier
//! digests of its own configuration: a VM that reports one of them has all objects in the revisions
//! of that time. A report therefore takes 8 bytes, regardless of the number of objects.

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

/// Maximum number of earlier configuration digests that the status writer keeps.
const MAX_KEPT_DIGESTS: usize = 1024;
/// Maximum attempts to find out the outcome of a status write whose response was lost.
const MAX_RESOLVE_TRIES: u32 = 3;
/// Pause after a failed call on the object API.
const STORE_FAILURE_WAIT: Duration = Duration::from_secs(2);

/// Kind and name of an object.
type ObjectKey = (Kind, String);

/// Publishes the digest of the accepted revisions whenever it changes.
pub(crate) async fn publish_in_force(shared: Rc<SharedState>) {
    shared.config.wait_synced().await;
    let mut changes = shared.config.subscribe();
    loop {
        let digest = accepted_digest(&shared.config.accepted_revisions());
        let value = Bytes::copy_from_slice(&digest.to_le_bytes());
        let period = shared.options.refresh_period;
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

/// Past digests of the configuration of this VM, and the last change of each object.
#[derive(Default)]
struct DigestHistory {
    /// Accepted revision of each object after the last change.
    accepted_revisions: BTreeMap<ObjectKey, Revision>,
    /// Number of the change that set the accepted revision of the object.
    changed_at: HashMap<ObjectKey, u64>,
    /// Number of the change that led to the configuration with this digest.
    change_by_digest: HashMap<u64, u64>,
    /// Keys of `change_by_digest`, oldest first.
    digest_order: VecDeque<u64>,
    /// Number of changes of the accepted revisions so far.
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
                self.changed_at.insert(key.clone(), self.last_change);
            }
        }
        self.changed_at.retain(|key, _| accepted_revisions.contains_key(key));
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

    /// Returns how many VMs have the accepted revision of `key` in force; `reached_changes`
    /// contains the change number that each VM has reached.
    fn count_vms_in_force(&self, key: &ObjectKey, reached_changes: &[u64]) -> u32 {
        let Some(&changed_at) = self.changed_at.get(key) else { return 0 };
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
            monoio::time::sleep(STORE_FAILURE_WAIT).await;
        }
    }
}

/// Keeps the stored status objects equal to the state of the deployment.
struct StatusWriter {
    /// Status objects in the object API, as last read or written.
    stored_statuses: BTreeMap<ObjectKey, StoredStatus>,
    history: DigestHistory,
    /// Object whose status was written last; the search for the next one continues after it, so
    /// that all are served in turn.
    last_written: Option<ObjectKey>,
}

impl StatusWriter {
    /// Lists the stored status objects of all kinds.
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

    /// Returns the change number that each live VM has reached, according to its published digest.
    /// VMs that published an unknown digest are excluded.
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

    /// Returns the next object whose stored status differs from the one that it should have.
    fn next_outdated(
        &self,
        shared: &SharedState,
        reached_changes: &[u64],
        live_vms: u32,
    ) -> Option<ObjectKey> {
        let objects = shared.config.revisions().into_keys();
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
            let written = self.stored_statuses.get(*key).map(|stored| parse_status(&stored.value));
            match (desired_status, written) {
                (Some(desired_status), Some(Some(written))) if only_acceptance => {
                    (desired_status.accepted_revision, desired_status.refused)
                        != (written.accepted_revision, written.refused)
                }
                (desired_status, written) => desired_status != written.flatten(),
            }
        };
        // Acceptance and refusal, which operators wait for, go before VM counts, which change
        // often.
        let outdated_acceptance = keys.iter().find(|key| differs(key, true));
        outdated_acceptance.or_else(|| keys.iter().find(|key| differs(key, false))).cloned()
    }

    /// Returns the status that should be stored for an object; `None` if the object does not exist.
    fn desired_status(
        &self,
        shared: &SharedState,
        key: &ObjectKey,
        reached_changes: &[u64],
        live_vms: u32,
    ) -> Option<ObjectStatus> {
        let (kind, name) = key;
        let is_present = shared.config.version(*kind, name)?.value.is_some();
        let (accepted_revision, refused) = shared.config.acceptance(*kind, name)?;
        let in_force_vms = self.history.count_vms_in_force(key, reached_changes).min(live_vms);
        is_present.then_some(ObjectStatus { accepted_revision, refused, in_force_vms, live_vms })
    }

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
            .put_with_read_back(kind, &key.1, condition, &value, MAX_RESOLVE_TRIES)
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

    async fn delete(&mut self, shared: &SharedState, key: ObjectKey) -> Result<(), StoreError> {
        let Some(stored) = self.stored_statuses.remove(&key) else { return Ok(()) };
        shared.traffic.count_store_call();
        match shared.store.delete(key.0.status_kind(), &key.1, stored.revision).await {
            Err(StoreError::Conflict(_)) => self.reload(shared, key).await,
            other => other,
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
