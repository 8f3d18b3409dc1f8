//! Claims of idempotency keys in the object API.
//!
//! A claim is an object named after the hash of the key. It is created with a precondition, so only
//! one process can hold it and execute the call.

use std::{
    collections::VecDeque,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{
    error::{CallError, ErrorKind},
    hash::hash128,
    id::{Incarnation, Revision, VmId, random_id},
    object::{CALL_CLAIM_KIND, Envelope},
};
use deck_peer::{Member, MemberState, Topic};
use deck_plat::{Object, Precondition, StoreError};
use serde::{Deserialize, Serialize};

use crate::{
    body::timeout_at,
    call::Call,
    execution_record::{KeyHash, Reclaim, RecordedResponse, RequestHash},
    peer_messages::{LookupRequest, LookupResponse, decode, encode},
    shared::SharedRef,
};

/// Interval between lookups at a VM that is still executing the call.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of attempts to write a claim, each followed by a read if the write conflicts with
/// that of another process.
const MAX_CLAIM_ROUNDS: u32 = 8;

/// Content of a claim object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ClaimRecord {
    /// VM that holds the claim.
    pub(crate) vm: VmId,
    /// Incarnation of the process that holds the claim.
    pub(crate) incarnation: Incarnation,
    /// Random identifier of this claim.
    pub(crate) nonce: String,
    /// Hash of the request in hexadecimal. A key is valid for a single request.
    pub(crate) request: String,
}

/// Claim held by this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HeldClaim {
    pub(crate) key: KeyHash,
    /// Revision of the claim object, required to delete it.
    pub(crate) revision: Revision,
}

/// Result of an attempt to claim a key.
pub(crate) enum ClaimOutcome {
    /// This process holds the claim and may execute the call.
    Held(HeldClaim),
    /// Another process has executed the call and returned its response.
    AlreadyExecuted(Rc<RecordedResponse>),
    /// The claim was not confirmed; its write may have taken effect. The call was not executed
    /// here.
    NotClaimed(CallError),
    /// The key is held by another process, was used for another request, or its outcome is unknown.
    Rejected(CallError),
}

/// Returns the hash of an idempotency key in the scope of an organisation and a pool.
pub(crate) fn key_hash(organisation: &str, pool: &str, key: &str) -> KeyHash {
    hash_length_prefixed(&[organisation.as_bytes(), pool.as_bytes(), key.as_bytes()])
}

/// Returns the name of the object that holds the claim of a key.
pub(crate) fn claim_object_name(key: KeyHash) -> String {
    format!("{key:032x}")
}

/// Returns the hash that detects the reuse of a key for a different request.
pub(crate) fn request_hash(call: &Call) -> RequestHash {
    let method = call.head.method.as_str().as_bytes();
    let (organisation, pool) = (&call.head.organisation, &call.pool.name);
    let body = call.body();
    hash_length_prefixed(&[
        organisation.as_bytes(),
        pool.as_bytes(),
        method,
        call.path.as_bytes(),
        &body,
    ])
}

/// Hashes a list of byte strings, each prefixed with its length, so that `["ab", "c"]` and
/// `["a", "bc"]` have different hashes.
fn hash_length_prefixed(fields: &[&[u8]]) -> u128 {
    let mut bytes = Vec::new();
    for field in fields {
        bytes.extend_from_slice(&(field.len() as u64).to_le_bytes());
        bytes.extend_from_slice(field);
    }
    hash128(&bytes)
}

/// Claims the key of a call, or determines the outcome of the call at the process that holds the
/// claim.
pub(crate) async fn claim_key(
    shared: &SharedRef,
    call: &Call,
    key: KeyHash,
    request: RequestHash,
    reclaim: &Reclaim,
) -> ClaimOutcome {
    // When the write limit is reached, a read can still resolve a repeat of a key that another VM
    // holds.
    let now = Instant::now();
    let rate_limit_wait = shared.claim_rate.borrow_mut().try_take(now).err();
    if let Some(wait) = rate_limit_wait
        && shared.claim_read_rate.borrow_mut().try_take(now).is_err()
    {
        return claim_rate_exceeded(shared, wait);
    }
    let nonce = reclaim.unconfirmed_nonce.clone().unwrap_or_else(random_id);
    shared.records.borrow_mut().set_claim_nonce(key, &nonce);
    let claimer = KeyClaimer {
        shared,
        call,
        key,
        name: claim_object_name(key),
        record: ClaimRecord {
            vm: shared.options.vm.clone(),
            incarnation: shared.options.incarnation,
            nonce,
            request: format!("{request:032x}"),
        },
        released_nonce: reclaim.released_nonce.as_deref(),
    };
    let claim_future = async {
        match rate_limit_wait {
            None => claimer.run().await,
            Some(wait) => claimer.resolve_without_write(wait).await,
        }
    };
    match timeout_at(call.head.deadline, claim_future).await {
        Some(outcome) => outcome,
        None => {
            shared.metrics.count_claim("deadline");
            let message = "the deadline passed before the key was claimed";
            ClaimOutcome::NotClaimed(CallError::new(ErrorKind::DeadlineBeforeRun, message))
        }
    }
}

/// Rejects a new key because the limit on claims per second is reached.
fn claim_rate_exceeded(shared: &SharedRef, wait: Duration) -> ClaimOutcome {
    shared.metrics.count_claim("rate_limited");
    let message = "new idempotency keys come faster than the limit; tickets have no such limit";
    let error = CallError::new(ErrorKind::ClaimRateExceeded, message);
    ClaimOutcome::NotClaimed(error.with_retry_after(wait))
}

/// Attempt to claim the idempotency key of one call in the object API.
struct KeyClaimer<'a> {
    shared: &'a SharedRef,
    call: &'a Call,
    key: KeyHash,
    name: String,
    record: ClaimRecord,
    /// Nonce of a claim that this process released earlier.
    released_nonce: Option<&'a str>,
}

/// Consequence of an existing claim for an attempt to claim the same key.
enum ClaimStatus {
    /// The claim may be overwritten, because its call was not executed.
    Available,
    /// The claim decides the result of this attempt to claim the key.
    Resolved(ClaimOutcome),
}

impl KeyClaimer<'_> {
    /// Writes the claim or, if the key has one already, derives the result from that claim.
    async fn run(&self) -> ClaimOutcome {
        let mut condition = Precondition::Absent;
        for _ in 0..MAX_CLAIM_ROUNDS {
            match self.write(condition).await {
                Ok(revision) => return self.claim_held(revision),
                Err(StoreError::Conflict(_)) => {}
                Err(error) => return self.store_unavailable(&error),
            }
            let object = match self.shared.store.get(CALL_CLAIM_KIND, &self.name).await {
                Ok(Some(object)) => object,
                Ok(None) => {
                    condition = Precondition::Absent;
                    continue;
                }
                Err(error) => return self.store_unavailable(&error),
            };
            match self.resolve_existing(&object).await {
                ClaimStatus::Available => condition = Precondition::Revision(object.revision),
                ClaimStatus::Resolved(outcome) => return outcome,
            }
        }
        self.reject(ErrorKind::KeyInProgress, "other tries of the key are under way")
    }

    /// Determines what a claim that was read from the object API means for this attempt. It is the
    /// claim of this attempt if an earlier write took effect and its response was lost.
    async fn resolve_existing(&self, object: &Object) -> ClaimStatus {
        match parse_claim(object) {
            Ok(claim) if claim == self.record => {
                ClaimStatus::Resolved(self.claim_held(object.revision))
            }
            Ok(claim) => self.resolve_conflicting(&claim).await,
            Err(error) => ClaimStatus::Resolved(self.store_unavailable(&error)),
        }
    }

    /// Derives the result from an existing claim without a write, because the write limit is
    /// reached. Rejects a key that is not claimed yet.
    async fn resolve_without_write(&self, wait: Duration) -> ClaimOutcome {
        let object = match self.shared.store.get(CALL_CLAIM_KIND, &self.name).await {
            Ok(Some(object)) => object,
            Ok(None) => return claim_rate_exceeded(self.shared, wait),
            Err(error) => return self.store_unavailable(&error),
        };
        match self.resolve_existing(&object).await {
            ClaimStatus::Available => claim_rate_exceeded(self.shared, wait),
            ClaimStatus::Resolved(outcome) => outcome,
        }
    }

    /// Writes the claim object under a precondition.
    async fn write(&self, condition: Precondition) -> Result<Revision, StoreError> {
        let value = serde_json::to_value(Envelope::new(&self.record))
            .map_err(|error| StoreError::Decode(error.to_string()))?;
        let attempts = self.shared.options.at_most_once.max_write_resolutions;
        self.shared
            .store
            .put_with_read_back(CALL_CLAIM_KIND, &self.name, condition, &value, attempts)
            .await
    }

    /// Counts and returns an acquired claim.
    fn claim_held(&self, revision: Revision) -> ClaimOutcome {
        self.shared.metrics.count_claim("held");
        ClaimOutcome::Held(HeldClaim { key: self.key, revision })
    }

    /// Counts a failed request to the object API and returns the error for the caller.
    fn store_unavailable(&self, error: &StoreError) -> ClaimOutcome {
        self.shared.metrics.count_claim("store_unavailable");
        let message = format!("the key could not be claimed; this try was not run: {error}");
        let call_error = CallError::new(ErrorKind::StoreUnavailable, message);
        ClaimOutcome::NotClaimed(match error {
            StoreError::RateLimited(wait) => call_error.with_retry_after(*wait),
            _ => call_error,
        })
    }

    /// Counts a rejected key and returns the error for the caller.
    fn reject(&self, kind: ErrorKind, message: &str) -> ClaimOutcome {
        self.shared.metrics.count_claim(kind.properties().code);
        ClaimOutcome::Rejected(CallError::new(kind, message))
    }

    /// Determines what a claim other than the one that this attempt writes means for this attempt.
    async fn resolve_conflicting(&self, claim: &ClaimRecord) -> ClaimStatus {
        if claim.request != self.record.request {
            let message = "the idempotency key was used before with another request";
            return ClaimStatus::Resolved(self.reject(ErrorKind::KeyReused, message));
        }
        let is_own_claim =
            claim.vm == self.record.vm && claim.incarnation == self.record.incarnation;
        if is_own_claim && self.released_nonce == Some(&claim.nonce) {
            return ClaimStatus::Available;
        }
        if is_own_claim {
            let message = "the key ran here before and its answer is no longer on record";
            return ClaimStatus::Resolved(self.reject(ErrorKind::KeyOutcomeUnknown, message));
        }
        self.query_owner(claim).await
    }

    /// Asks the process that holds a claim for the outcome, until the call has ended there or the
    /// deadline is near.
    async fn query_owner(&self, claim: &ClaimRecord) -> ClaimStatus {
        let lookup_request = encode(&LookupRequest {
            key: self.key,
            nonce: claim.nonce.clone(),
            incarnation: claim.incarnation,
        });
        loop {
            if has_process_ended(&self.shared.peer.members(), &claim.vm, claim.incarnation) {
                let message = format!("vm {} stopped after it claimed the key", claim.vm);
                return ClaimStatus::Resolved(self.reject(ErrorKind::KeyOutcomeUnknown, &message));
            }
            let remaining = self.call.head.remaining(Instant::now());
            let timeout = self.shared.options.at_most_once.lookup_timeout.min(remaining);
            let request = self.shared.peer.request(
                &claim.vm,
                Topic::CallLookup,
                lookup_request.clone(),
                timeout,
            );
            let response = match request.await {
                Ok(bytes) => decode(&bytes).unwrap_or(LookupResponse::Unknown),
                Err(error) => {
                    let message = format!("vm {} holds the key; {error}", claim.vm);
                    return ClaimStatus::Resolved(self.reject(ErrorKind::KeyInProgress, &message));
                }
            };
            match response {
                LookupResponse::Abandoned => return ClaimStatus::Available,
                LookupResponse::Done(response) => {
                    self.shared.metrics.count_replay("peer");
                    return ClaimStatus::Resolved(ClaimOutcome::AlreadyExecuted(Rc::new(response)));
                }
                LookupResponse::Unknown => {
                    let message = format!("vm {} has no answer on record for the key", claim.vm);
                    let outcome = self.reject(ErrorKind::KeyOutcomeUnknown, &message);
                    return ClaimStatus::Resolved(outcome);
                }
                LookupResponse::Running if remaining <= LOOKUP_INTERVAL * 2 => {
                    let message = format!("vm {} is still running the request", claim.vm);
                    return ClaimStatus::Resolved(self.reject(ErrorKind::KeyInProgress, &message));
                }
                LookupResponse::Running => monoio::time::sleep(LOOKUP_INTERVAL).await,
            }
        }
    }
}

/// Returns `true` if the member list shows that a process has ended.
///
/// The result only decides which of two errors a caller gets, and both report an unknown outcome. A
/// VM that is not in the list counts as running, because this VM may not have learned of it yet;
/// dead members stay in the list for hours.
pub(crate) fn has_process_ended(members: &[Member], vm: &str, incarnation: Incarnation) -> bool {
    match members.iter().find(|member| member.vm == vm) {
        None => false,
        Some(member) => member.state == MemberState::Dead || member.incarnation != incarnation,
    }
}

/// Parses a claim object.
pub(crate) fn parse_claim(object: &Object) -> Result<ClaimRecord, StoreError> {
    let envelope: Envelope<ClaimRecord> = serde_json::from_value(object.value.clone())
        .map_err(|error| StoreError::Decode(error.to_string()))?;
    Ok(envelope.spec)
}

/// Claims of this process that are scheduled for deletion, oldest first.
#[derive(Default)]
pub(crate) struct ClaimDeletionQueue {
    queue: VecDeque<ClaimDeletion>,
}

/// Scheduled deletion of a claim.
#[derive(Debug, Clone)]
pub(crate) struct ClaimDeletion {
    pub(crate) claim: HeldClaim,
    due_at: Instant,
}

impl ClaimDeletionQueue {
    /// Schedules the deletion of a claim for `due_at`.
    pub(crate) fn add(&mut self, claim: HeldClaim, due_at: Instant) {
        self.queue.push_back(ClaimDeletion { claim, due_at });
    }

    /// Removes and returns the next deletion if it is due.
    pub(crate) fn take_due(&mut self, now: Instant) -> Option<ClaimDeletion> {
        self.queue.pop_front_if(|deletion| deletion.due_at <= now)
    }
}
