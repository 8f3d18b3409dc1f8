//! Deletion of expired claims from the object API: claims of this process, and orphaned claims of
//! processes that have ended.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use deck_core::{hash::rendezvous_rank, id::Revision, object::CALL_CLAIM_KIND};
use deck_peer::MemberState;
use deck_plat::{Object, StoreError};

use crate::{
    claim::{self, claim_object_name},
    shared::SharedRef,
};

/// Delay before a failed deletion is retried.
const DELETE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of orphaned claims that are tracked, which bounds memory use.
const MAX_TRACKED_ORPHANS: usize = 100_000;

/// Deletes the next claim of this process whose deletion is due.
pub(crate) async fn delete_next_due_claim(shared: &SharedRef, now: Instant) {
    let Some(deletion) = shared.claim_deletions.borrow_mut().take_due(now) else { return };
    let claim = deletion.claim;
    let retention = shared.options.at_most_once.claim_retention;
    let release_result =
        shared.records.borrow_mut().release_for_deletion(claim.key, retention, now);
    if let Err(due_at) = release_result {
        shared.claim_deletions.borrow_mut().add(claim, due_at);
        return;
    }
    if !delete_claim(shared, &claim_object_name(claim.key), claim.revision).await {
        shared.claim_deletions.borrow_mut().add(claim, now + DELETE_RETRY_DELAY);
    }
}

/// Deletes a claim object. Returns `false` if the request failed and should be retried; a conflict
/// means that another process has replaced or deleted the claim.
async fn delete_claim(shared: &SharedRef, name: &str, revision: Revision) -> bool {
    match shared.store.delete(CALL_CLAIM_KIND, name, revision).await {
        Ok(()) => shared.metrics.count_claim_delete("ok"),
        Err(StoreError::Conflict(_)) => shared.metrics.count_claim_delete("conflict"),
        Err(error) => {
            log::debug!(target: "call", "claim not deleted name={name} error={error}");
            shared.metrics.count_claim_delete("failed");
            return false;
        }
    }
    true
}

/// Claims whose owner, the process that claimed the key, has ended; by name of the claim object.
#[derive(Default)]
pub(crate) struct OrphanedClaims {
    tracked: HashMap<String, OrphanedClaim>,
}

/// Claim whose owner has ended.
struct OrphanedClaim {
    revision: Revision,
    /// When this VM first saw the claim without an owner, at this revision.
    first_seen: Instant,
}

impl OrphanedClaims {
    /// Lists all claims and deletes those of ended processes that have not changed for the
    /// retention time, measured with the clock of this VM. Runs only on the VM ranked first by
    /// rendezvous hashing.
    ///
    /// A process that counts as ended may only be suspended, with a call in progress. No call is
    /// sent to a target after its deadline, so once the longest deadline has passed the claim no
    /// longer protects a call. It is deleted after that time plus the claim retention time.
    pub(crate) async fn delete_expired(&mut self, shared: &SharedRef) {
        if !is_cleanup_vm(shared) {
            self.tracked.clear();
            return;
        }
        let Ok((_, objects)) = shared.store.list(CALL_CLAIM_KIND).await else { return };
        let now = Instant::now();
        self.track(shared, objects, now);
        let retention =
            shared.options.attempts.max_deadline + shared.options.at_most_once.claim_retention;
        let expired: Vec<_> = self
            .tracked
            .iter()
            .filter(|(_, orphan)| now.duration_since(orphan.first_seen) >= retention)
            .map(|(name, orphan)| (name.clone(), orphan.revision))
            .collect();
        let delete_interval = Duration::from_secs_f64(
            1.0 / shared.options.at_most_once.max_claim_deletes_per_s.max(0.001),
        );
        for (name, revision) in expired {
            delete_claim(shared, &name, revision).await;
            monoio::time::sleep(delete_interval).await;
        }
    }

    /// Updates the tracked claims from a list of all claim objects.
    fn track(&mut self, shared: &SharedRef, objects: Vec<Object>, now: Instant) {
        let members = shared.peer.members();
        let is_owned = |object: &Object| {
            claim::parse_claim(object).is_ok_and(|claim| {
                members.iter().any(|member| {
                    member.vm == claim.vm
                        && member.incarnation == claim.incarnation
                        && member.state != MemberState::Dead
                })
            })
        };
        let orphaned_objects =
            objects.into_iter().filter(|object| !is_owned(object)).take(MAX_TRACKED_ORPHANS);
        let mut tracked = HashMap::new();
        for object in orphaned_objects {
            let tracked_claim = self.tracked.remove(&object.name);
            let tracked_claim = tracked_claim.filter(|orphan| orphan.revision == object.revision);
            let first_seen = tracked_claim.map_or(now, |orphan| orphan.first_seen);
            tracked.insert(object.name, OrphanedClaim { revision: object.revision, first_seen });
        }
        self.tracked = tracked;
    }
}

/// Returns `true` if this VM ranks first among the live members by rendezvous hashing.
fn is_cleanup_vm(shared: &SharedRef) -> bool {
    let members = shared.peer.members();
    let live_vms = members
        .iter()
        .filter(|member| member.state == MemberState::Live)
        .map(|member| member.vm.as_str());
    rendezvous_rank("claim-sweep", live_vms).first() == Some(&shared.options.vm.as_str())
}
