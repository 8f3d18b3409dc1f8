//! Deletion of old claims from the object API.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use deck_core::{hash::rendezvous_rank, id::Revision, object::CALL_CLAIM_KIND};
use deck_peer::MemberState;
use deck_plat::{Object, StoreError};

use crate::{
    claim::{self, object_name},
    shared::SharedRef,
};

/// Pause after a failed deletion.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Most orphaned claims that one sweep remembers; bounds memory.
const MAX_SEEN: usize = 100_000;

/// Deletes one of this process's own claims, if one is due.
pub(crate) async fn delete_next(shared: &SharedRef, now: Instant) {
    let Some(deletion) = shared.deletions.borrow_mut().take_due(now) else { return };
    let claim = deletion.claim;
    let keep = shared.options.once.claim_keep;
    let prepared = shared.records.borrow_mut().prepare_deletion(claim.key, keep, now);
    if let Err(due) = prepared {
        shared.deletions.borrow_mut().add(claim, due);
        return;
    }
    if !delete(shared, &object_name(claim.key), claim.revision).await {
        shared.deletions.borrow_mut().add(claim, now + RETRY_PAUSE);
    }
}

/// Deletes a claim; returns whether it is gone or belongs to another process.
async fn delete(shared: &SharedRef, name: &str, revision: Revision) -> bool {
    match shared.store.delete(CALL_CLAIM_KIND, name, revision).await {
        Ok(()) => shared.metrics.claim_deleted("ok"),
        Err(StoreError::Conflict(_)) => shared.metrics.claim_deleted("conflict"),
        Err(error) => {
            log::debug!(target: "call", "claim not deleted name={name} error={error}");
            shared.metrics.claim_deleted("failed");
            return false;
        }
    }
    true
}

/// Claims of processes that have ended, with the time at which they were first seen here.
#[derive(Default)]
pub(crate) struct Orphans {
    seen: HashMap<String, Orphan>,
}

struct Orphan {
    revision: Revision,
    since: Instant,
}

impl Orphans {
    /// Reads all claims and deletes those of ended processes that have not changed for long enough,
    /// on this VM's own clock. Only the first-ranked VM does so.
    ///
    /// A process that counts as ended may be frozen with a call under way. No call is sent after its
    /// deadline, so a claim that is older than the longest deadline protects no call that may still
    /// be sent; after the time for which claims are kept it may go.
    pub(crate) async fn sweep(&mut self, shared: &SharedRef) {
        if !is_sweeper(shared) {
            self.seen.clear();
            return;
        }
        let Ok((_, objects)) = shared.store.list(CALL_CLAIM_KIND).await else { return };
        let now = Instant::now();
        self.note(shared, objects, now);
        let keep = shared.options.tries.max_deadline + shared.options.once.claim_keep;
        let old: Vec<_> = self
            .seen
            .iter()
            .filter(|(_, orphan)| now.duration_since(orphan.since) >= keep)
            .map(|(name, orphan)| (name.clone(), orphan.revision))
            .collect();
        let pause = Duration::from_secs_f64(1.0 / shared.options.once.deletes_per_s.max(0.001));
        for (name, revision) in old {
            delete(shared, &name, revision).await;
            monoio::time::sleep(pause).await;
        }
    }

    fn note(&mut self, shared: &SharedRef, objects: Vec<Object>, now: Instant) {
        let members = shared.peer.members();
        let is_owned = |object: &Object| {
            claim::parse(object).is_ok_and(|claim| {
                members.iter().any(|member| {
                    member.vm == claim.vm
                        && member.incarnation == claim.incarnation
                        && member.state != MemberState::Dead
                })
            })
        };
        let orphans = objects.into_iter().filter(|object| !is_owned(object)).take(MAX_SEEN);
        let mut seen = HashMap::new();
        for object in orphans {
            let known = self.seen.remove(&object.name);
            let known = known.filter(|orphan| orphan.revision == object.revision);
            let since = known.map_or(now, |orphan| orphan.since);
            seen.insert(object.name, Orphan { revision: object.revision, since });
        }
        self.seen = seen;
    }
}

fn is_sweeper(shared: &SharedRef) -> bool {
    let members = shared.peer.members();
    let live = members
        .iter()
        .filter(|member| member.state == MemberState::Live)
        .map(|member| member.vm.as_str());
    rendezvous_rank("claim-sweep", live).first() == Some(&shared.options.vm.as_str())
}
