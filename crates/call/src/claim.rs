//! Claims of idempotency keys in the object API.

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
    body::until,
    call::Call,
    record::{KeyHash, Reclaim, RecordedAnswer, RequestHash},
    shared::SharedRef,
    wire::{LookupRequest, LookupResponse, decode, encode},
};

/// Pause between two questions to a VM that still runs the call.
const LOOKUP_PAUSE: Duration = Duration::from_millis(50);
/// Most rounds of reading and taking over a claim that others change at the same time.
const MAX_ROUNDS: u32 = 8;

/// Value of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ClaimRecord {
    /// VM that may run the call.
    pub(crate) vm: VmId,
    /// Process that may run the call.
    pub(crate) incarnation: Incarnation,
    /// Random text that tells this claim from all others.
    pub(crate) nonce: String,
    /// Hash of the request, in hexadecimal; a key stands for one request.
    pub(crate) request: String,
}

/// Claim that this process holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HeldClaim {
    pub(crate) key: KeyHash,
    pub(crate) revision: Revision,
}

/// Result of trying to claim a key.
pub(crate) enum Claim {
    /// This process may run the call.
    Held(HeldClaim),
    /// Another process ran the call.
    Done(Rc<RecordedAnswer>),
    /// The claim may or may not have been written; nothing has run here.
    NotRun(CallError),
    /// The key belongs to another process or request.
    Elsewhere(CallError),
}

/// Returns the hash of a key.
pub(crate) fn key_hash(organisation: &str, pool: &str, key: &str) -> KeyHash {
    hash_parts(&[organisation.as_bytes(), pool.as_bytes(), key.as_bytes()])
}

/// Returns the name of the claim object of a key.
pub(crate) fn object_name(key: KeyHash) -> String {
    format!("{key:032x}")
}

/// Returns the hash of a request.
pub(crate) fn request_hash(call: &Call) -> RequestHash {
    let method = call.head.method.as_str().as_bytes();
    let (organisation, pool) = (&call.head.organisation, &call.pool.name);
    let body = call.body();
    hash_parts(&[organisation.as_bytes(), pool.as_bytes(), method, call.path.as_bytes(), &body])
}

fn hash_parts(parts: &[&[u8]]) -> u128 {
    let mut text = Vec::new();
    for part in parts {
        text.extend_from_slice(&(part.len() as u64).to_le_bytes());
        text.extend_from_slice(part);
    }
    hash128(&text)
}

/// Claims the key of a call, or finds out what became of it elsewhere.
pub(crate) async fn claim(
    shared: &SharedRef,
    call: &Call,
    key: KeyHash,
    request: RequestHash,
    reclaim: &Reclaim,
) -> Claim {
    // A repeat of a key that another VM holds needs no write, so it is found by a read when writes
    // are short.
    let now = Instant::now();
    let rate_wait = shared.claim_rate.borrow_mut().try_take(now).err();
    if let Some(wait) = rate_wait
        && shared.claim_read_rate.borrow_mut().try_take(now).is_err()
    {
        return rate_exceeded(shared, wait);
    }
    let nonce = reclaim.unconfirmed_nonce.clone().unwrap_or_else(random_id);
    shared.records.borrow_mut().set_nonce(key, &nonce);
    let claimer = Claimer {
        shared,
        call,
        key,
        name: object_name(key),
        record: ClaimRecord {
            vm: shared.options.vm.clone(),
            incarnation: shared.options.incarnation,
            nonce,
            request: format!("{request:032x}"),
        },
        released_nonce: reclaim.released_nonce.as_deref(),
    };
    let run = async {
        match rate_wait {
            None => claimer.run().await,
            Some(wait) => claimer.run_without_write(wait).await,
        }
    };
    match until(call.head.deadline, run).await {
        Some(claim) => claim,
        None => {
            shared.metrics.claimed("deadline");
            let message = "the deadline passed before the key was claimed";
            Claim::NotRun(CallError::new(ErrorKind::DeadlineBeforeRun, message))
        }
    }
}

fn rate_exceeded(shared: &SharedRef, wait: Duration) -> Claim {
    shared.metrics.claimed("rate_limited");
    let message = "new idempotency keys come faster than the limit; tickets have no such limit";
    let error = CallError::new(ErrorKind::ClaimRateExceeded, message);
    Claim::NotRun(error.with_retry_after(wait))
}

struct Claimer<'a> {
    shared: &'a SharedRef,
    call: &'a Call,
    key: KeyHash,
    name: String,
    record: ClaimRecord,
    released_nonce: Option<&'a str>,
}

/// What a claim of another process means for this try.
enum Found {
    /// The claim may be taken over.
    Free,
    /// The outcome.
    Settled(Claim),
}

impl Claimer<'_> {
    async fn run(&self) -> Claim {
        let mut condition = Precondition::Absent;
        for _ in 0..MAX_ROUNDS {
            match self.write(condition).await {
                Ok(revision) => return self.held(revision),
                Err(StoreError::Conflict(_)) => {}
                Err(error) => return self.store_error(&error),
            }
            let object = match self.shared.store.get(CALL_CLAIM_KIND, &self.name).await {
                Ok(Some(object)) => object,
                Ok(None) => {
                    condition = Precondition::Absent;
                    continue;
                }
                Err(error) => return self.store_error(&error),
            };
            match self.inspect(&object).await {
                Found::Free => condition = Precondition::Revision(object.revision),
                Found::Settled(settled) => return settled,
            }
        }
        self.elsewhere(ErrorKind::KeyInProgress, "other tries of the key are under way")
    }

    /// Decides on the claim that the object API has: this call's own one, or another one.
    async fn inspect(&self, object: &Object) -> Found {
        match parse(object) {
            Ok(claim) if claim == self.record => Found::Settled(self.held(object.revision)),
            Ok(claim) => self.examine(&claim).await,
            Err(error) => Found::Settled(self.store_error(&error)),
        }
    }

    /// Finds out what became of a key without a write.
    async fn run_without_write(&self, wait: Duration) -> Claim {
        let object = match self.shared.store.get(CALL_CLAIM_KIND, &self.name).await {
            Ok(Some(object)) => object,
            Ok(None) => return rate_exceeded(self.shared, wait),
            Err(error) => return self.store_error(&error),
        };
        match self.inspect(&object).await {
            Found::Free => rate_exceeded(self.shared, wait),
            Found::Settled(settled) => settled,
        }
    }

    async fn write(&self, condition: Precondition) -> Result<Revision, StoreError> {
        let value = serde_json::to_value(Envelope::new(&self.record))
            .map_err(|error| StoreError::Decode(error.to_string()))?;
        let tries = self.shared.options.once.resolve_tries;
        self.shared
            .store
            .put_with_read_back(CALL_CLAIM_KIND, &self.name, condition, &value, tries)
            .await
    }

    fn held(&self, revision: Revision) -> Claim {
        self.shared.metrics.claimed("held");
        Claim::Held(HeldClaim { key: self.key, revision })
    }

    fn store_error(&self, error: &StoreError) -> Claim {
        self.shared.metrics.claimed("store_unavailable");
        let message = format!("the key could not be claimed; this try was not run: {error}");
        let call_error = CallError::new(ErrorKind::StoreUnavailable, message);
        Claim::NotRun(match error {
            StoreError::RateLimited(wait) => call_error.with_retry_after(*wait),
            _ => call_error,
        })
    }

    fn elsewhere(&self, kind: ErrorKind, message: &str) -> Claim {
        self.shared.metrics.claimed(kind.row().code);
        Claim::Elsewhere(CallError::new(kind, message))
    }

    async fn examine(&self, claim: &ClaimRecord) -> Found {
        if claim.request != self.record.request {
            let message = "the idempotency key was used before with another request";
            return Found::Settled(self.elsewhere(ErrorKind::KeyReused, message));
        }
        let own = claim.vm == self.record.vm && claim.incarnation == self.record.incarnation;
        if own && self.released_nonce == Some(&claim.nonce) {
            return Found::Free;
        }
        if own {
            let message = "the key ran here before and its answer is no longer on record";
            return Found::Settled(self.elsewhere(ErrorKind::KeyOutcomeUnknown, message));
        }
        self.ask_owner(claim).await
    }

    async fn ask_owner(&self, claim: &ClaimRecord) -> Found {
        let question = encode(&LookupRequest {
            key: self.key,
            nonce: claim.nonce.clone(),
            incarnation: claim.incarnation,
        });
        loop {
            if process_is_gone(&self.shared.peer.members(), &claim.vm, claim.incarnation) {
                let message = format!("vm {} stopped after it claimed the key", claim.vm);
                return Found::Settled(self.elsewhere(ErrorKind::KeyOutcomeUnknown, &message));
            }
            let remaining = self.call.head.remaining(Instant::now());
            let timeout = self.shared.options.once.lookup_timeout.min(remaining);
            let request =
                self.shared.peer.request(&claim.vm, Topic::CallLookup, question.clone(), timeout);
            let answer = match request.await {
                Ok(bytes) => decode(&bytes).unwrap_or(LookupResponse::Unknown),
                Err(error) => {
                    let message = format!("vm {} holds the key; {error}", claim.vm);
                    return Found::Settled(self.elsewhere(ErrorKind::KeyInProgress, &message));
                }
            };
            match answer {
                LookupResponse::Abandoned => return Found::Free,
                LookupResponse::Done(answer) => {
                    self.shared.metrics.replayed("peer");
                    return Found::Settled(Claim::Done(Rc::new(answer)));
                }
                LookupResponse::Unknown => {
                    let message = format!("vm {} has no answer on record for the key", claim.vm);
                    let settled = self.elsewhere(ErrorKind::KeyOutcomeUnknown, &message);
                    return Found::Settled(settled);
                }
                LookupResponse::Running if remaining <= LOOKUP_PAUSE * 2 => {
                    let message = format!("vm {} is still running the request", claim.vm);
                    return Found::Settled(self.elsewhere(ErrorKind::KeyInProgress, &message));
                }
                LookupResponse::Running => monoio::time::sleep(LOOKUP_PAUSE).await,
            }
        }
    }
}

/// Returns whether a process has ended, as far as membership tells.
///
/// The answer only chooses between two errors that both say `unknown`. A VM that is not a member
/// may be one that this VM has not heard of yet: dead ones are remembered for hours.
pub(crate) fn process_is_gone(members: &[Member], vm: &str, incarnation: Incarnation) -> bool {
    match members.iter().find(|member| member.vm == vm) {
        None => false,
        Some(member) => member.state == MemberState::Dead || member.incarnation != incarnation,
    }
}

/// Reads a claim object.
pub(crate) fn parse(object: &Object) -> Result<ClaimRecord, StoreError> {
    let envelope: Envelope<ClaimRecord> = serde_json::from_value(object.value.clone())
        .map_err(|error| StoreError::Decode(error.to_string()))?;
    Ok(envelope.spec)
}

/// Claims to delete, oldest first.
#[derive(Default)]
pub(crate) struct Deletions {
    queue: VecDeque<Deletion>,
}

#[derive(Debug, Clone)]
pub(crate) struct Deletion {
    pub(crate) claim: HeldClaim,
    due: Instant,
}

impl Deletions {
    /// Notes that a claim may be deleted from `due` on.
    pub(crate) fn add(&mut self, claim: HeldClaim, due: Instant) {
        self.queue.push_back(Deletion { claim, due });
    }

    /// Takes the next claim that is due.
    pub(crate) fn take_due(&mut self, now: Instant) -> Option<Deletion> {
        self.queue.pop_front_if(|deletion| deletion.due <= now)
    }
}
