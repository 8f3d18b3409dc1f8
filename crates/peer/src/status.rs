//! Reports of the revisions in force and the status objects made from them.
//!
//! Each VM publishes one digest of its accepted revisions. The status writer remembers the digests
//! that its own configuration had: a VM that reports one of them has all objects that did not
//! change since. So a report takes 8 bytes however many objects there are.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use deck_core::{
    hash::hash64,
    id::Revision,
    object::{AcceptStatus, Envelope, Kind},
};
use deck_plat::{Object, Precondition, StoreError};
use serde_json::Value;

use crate::{MemberState, Topic, peer::Shared};

/// Digests of earlier configurations that the writer remembers.
const MAX_DIGESTS: usize = 1024;
/// Tries to resolve a status write whose response was lost.
const RESOLVE_TRIES: u32 = 3;
/// Wait after a failed call on the object API.
const FAILURE_WAIT: Duration = Duration::from_secs(2);

type ObjectKey = (Kind, String);

/// Publishes the digest of the accepted revisions whenever it changes.
pub(crate) async fn publish_in_force(shared: Rc<Shared>) {
    shared.config.wait_synced().await;
    let mut changes = shared.config.changes();
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

fn accepted_digest(accepted: &BTreeMap<ObjectKey, Revision>) -> u64 {
    let hashes = accepted
        .iter()
        .map(|((kind, name), revision)| hash64(format!("{kind}/{name}/{revision}").as_bytes()));
    // Never 0 for an empty configuration, which is a state like any other.
    hashes.fold(1, |digest, hash| digest ^ hash)
}

/// Digests that the configuration of this VM had, and when each object changed last.
#[derive(Default)]
struct History {
    accepted: BTreeMap<ObjectKey, Revision>,
    /// Number of the change at which the object came to its accepted revision.
    changed_at: HashMap<ObjectKey, u64>,
    /// Number of the change after which the configuration had the digest.
    digests: HashMap<u64, u64>,
    order: VecDeque<u64>,
    last_change: u64,
}

impl History {
    fn update(&mut self, accepted: BTreeMap<ObjectKey, Revision>) {
        if accepted == self.accepted && !self.order.is_empty() {
            return;
        }
        self.last_change += 1;
        for (key, revision) in &accepted {
            if self.accepted.get(key) != Some(revision) {
                self.changed_at.insert(key.clone(), self.last_change);
            }
        }
        self.changed_at.retain(|key, _| accepted.contains_key(key));
        let digest = accepted_digest(&accepted);
        self.accepted = accepted;
        self.digests.insert(digest, self.last_change);
        self.order.push_back(digest);
        if self.order.len() > MAX_DIGESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.digests.remove(&oldest);
        }
    }

    /// Returns how many of the VMs that reported `reports` have the accepted revision of `key`.
    fn count_in_force(&self, key: &ObjectKey, reports: &[u64]) -> u32 {
        let Some(&changed_at) = self.changed_at.get(key) else { return 0 };
        reports.iter().filter(|&&change| change >= changed_at).count() as u32
    }
}

/// Status of an object as the store has it.
struct Known {
    revision: Revision,
    value: Value,
}

/// Writes the status objects while this VM is the status writer, one in each write period.
pub(crate) async fn write_status(shared: Rc<Shared>) {
    shared.config.wait_synced().await;
    let mut writer = None;
    loop {
        monoio::time::sleep(shared.options.status_write_period).await;
        if !shared.is_status_writer() {
            writer = None;
            continue;
        }
        let result = match &mut writer {
            Some(writer) => Writer::write_one(writer, &shared).await,
            None => Writer::load(&shared).await.map(|loaded| writer = Some(loaded)),
        };
        if let Err(error) = result {
            log::debug!(target: "peer", "status not written error={error}");
            // The state of the store is not known any more.
            writer = None;
            monoio::time::sleep(FAILURE_WAIT).await;
        }
    }
}

struct Writer {
    known: BTreeMap<ObjectKey, Known>,
    history: History,
    /// Object after which the search for a changed status goes on, so that each has its turn.
    last: Option<ObjectKey>,
}

impl Writer {
    async fn load(shared: &Shared) -> Result<Self, StoreError> {
        let mut known = BTreeMap::new();
        for &kind in Kind::ALL {
            shared.traffic.count_store_call();
            let (_, objects) = shared.store.list(kind.status_kind()).await?;
            for Object { name, revision, value, .. } in objects {
                known.insert((kind, name), Known { revision, value });
            }
        }
        Ok(Self { known, history: History::default(), last: None })
    }

    /// Writes or deletes the next status that differs from the store.
    async fn write_one(&mut self, shared: &Shared) -> Result<(), StoreError> {
        self.history.update(shared.config.accepted_revisions());
        let reports = self.reported_changes(shared);
        let live_vms = live_count(shared);
        if let Some(key) = self.next_changed(shared, &reports, live_vms) {
            self.last = Some(key.clone());
            let Some(status) = self.desired(shared, &key, &reports, live_vms) else {
                return self.delete(shared, key).await;
            };
            return self.put(shared, key, &status).await;
        }
        Ok(())
    }

    /// Returns for each live VM the number of the change up to which it has the configuration.
    fn reported_changes(&self, shared: &Shared) -> Vec<u64> {
        let values = shared.values.borrow();
        let members = shared.members.borrow();
        let current = values.of_topic(Topic::InForceRevisions).filter(|(vm, entry)| {
            members.get(vm).is_some_and(|record| {
                record.state == MemberState::Live && record.incarnation <= entry.incarnation
            })
        });
        current
            .filter_map(|(_, entry)| {
                let digest = u64::from_le_bytes(entry.value.as_ref().try_into().ok()?);
                self.history.digests.get(&digest).copied()
            })
            .collect()
    }

    fn next_changed(&self, shared: &Shared, reports: &[u64], live_vms: u32) -> Option<ObjectKey> {
        let objects = shared.config.revisions().into_keys();
        let mut keys: Vec<_> = objects.chain(self.known.keys().cloned()).collect();
        keys.sort_unstable();
        keys.dedup();
        let start = self.last.as_ref().map_or(0, |last| keys.partition_point(|key| key <= last));
        keys.rotate_left(start);
        let differs = |key: &&ObjectKey, only_acceptance: bool| {
            let desired = self.desired(shared, key, reports, live_vms);
            let written = self.known.get(*key).map(|known| written_status(&known.value));
            match (desired, written) {
                (Some(desired), Some(Some(written))) if only_acceptance => {
                    (desired.accepted_revision, desired.refused)
                        != (written.accepted_revision, written.refused)
                }
                (desired, written) => desired != written.flatten(),
            }
        };
        // What operators wait for comes before changed counts, which change with every VM.
        let urgent = keys.iter().find(|key| differs(key, true));
        urgent.or_else(|| keys.iter().find(|key| differs(key, false))).cloned()
    }

    /// Returns the status that an object should have; `None` if the object does not exist.
    fn desired(
        &self,
        shared: &Shared,
        key: &ObjectKey,
        reports: &[u64],
        live_vms: u32,
    ) -> Option<AcceptStatus> {
        let (kind, name) = key;
        let is_present = shared.config.version(*kind, name)?.value.is_some();
        let (accepted_revision, refused) = shared.config.acceptance(*kind, name)?;
        let in_force_vms = self.history.count_in_force(key, reports).min(live_vms);
        is_present.then_some(AcceptStatus { accepted_revision, refused, in_force_vms, live_vms })
    }

    async fn put(
        &mut self,
        shared: &Shared,
        key: ObjectKey,
        status: &AcceptStatus,
    ) -> Result<(), StoreError> {
        let kind = key.0.status_kind();
        let known = self.known.get(&key);
        let value = merged_value(known.map(|known| &known.value), status)
            .map_err(|error| StoreError::Decode(error.to_string()))?;
        let condition = match known {
            Some(known) => Precondition::Revision(known.revision),
            None => Precondition::Absent,
        };
        shared.traffic.count_store_call();
        let put =
            shared.store.put_with_read_back(kind, &key.1, condition, &value, RESOLVE_TRIES).await;
        match put {
            Ok(revision) => {
                self.known.insert(key, Known { revision, value });
                Ok(())
            }
            Err(StoreError::Conflict(_)) => self.read(shared, key).await,
            Err(error) => Err(error),
        }
    }

    async fn delete(&mut self, shared: &Shared, key: ObjectKey) -> Result<(), StoreError> {
        let Some(known) = self.known.remove(&key) else { return Ok(()) };
        shared.traffic.count_store_call();
        match shared.store.delete(key.0.status_kind(), &key.1, known.revision).await {
            Err(StoreError::Conflict(_)) => self.read(shared, key).await,
            other => other,
        }
    }

    /// Reads a status that another process wrote.
    async fn read(&mut self, shared: &Shared, key: ObjectKey) -> Result<(), StoreError> {
        shared.traffic.count_store_call();
        match shared.store.get(key.0.status_kind(), &key.1).await? {
            Some(Object { revision, value, .. }) => {
                self.known.insert(key, Known { revision, value });
            }
            None => {
                self.known.remove(&key);
            }
        }
        Ok(())
    }
}

fn live_count(shared: &Shared) -> u32 {
    let members = shared.members.borrow().members();
    members.iter().filter(|member| member.state == MemberState::Live).count() as u32
}

fn written_status(value: &Value) -> Option<AcceptStatus> {
    serde_json::from_value(value.get("spec")?.clone()).ok()
}

/// Returns the stored value with the fields of `status` replaced. Fields that other daemons wrote
/// into the same status object stay.
fn merged_value(stored: Option<&Value>, status: &AcceptStatus) -> Result<Value, serde_json::Error> {
    let mut spec =
        stored.and_then(|value| value.get("spec")?.as_object()).cloned().unwrap_or_default();
    spec.remove("refused");
    if let Value::Object(fields) = serde_json::to_value(status)? {
        spec.extend(fields);
    }
    serde_json::to_value(Envelope::new(spec))
}
