//! At-most-once execution of non-idempotent calls, identified by an idempotency key or a ticket.
//!
//! A key is claimed in the object API before the call runs, so that only one VM executes it. A
//! ticket needs no claim: only the process that issued it executes the call, and other VMs forward
//! to it.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{
    error::{CallError, ErrorKind, RunState},
    hash::hash128,
    id::VmId,
};
use deck_net::{
    Body,
    http::{HeaderMap, HeaderName, HeaderValue, Method, Response},
};
use deck_peer::Topic;

use crate::{
    body::timeout_at,
    call::Call,
    claim::{self, ClaimOutcome, HeldClaim, has_process_ended},
    execution_record::{
        BeginResult, ClaimLookupResult, ExecutionState, KeyHash, Reclaim, RecordedHeader,
        RecordedResponse,
    },
    peer_messages::{
        LookupRequest, LookupResponse, TicketCallRequest, TicketCallResponse, decode, encode,
    },
    request_head::{CallHead, IDEMPOTENCY_KEY_HEADER, Route},
    response::{error_response, recorded_response},
    service::{self, SingleRunOutcome},
    shared::SharedRef,
    ticket::Ticket,
};

/// How long after the deadline of a forwarded call the response of the ticket issuer is awaited, so
/// that the issuer can still report a missed deadline.
const ISSUER_RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// Recorded response of a non-idempotent call, or the error for the caller.
type AtMostOnceResult = Result<Rc<RecordedResponse>, CallError>;

/// Identifier by which a repeated call is recognised.
#[derive(Clone)]
enum IdempotencyId {
    /// Idempotency key chosen by the caller; must be claimed in the object API.
    Key(String),
    /// Ticket issued by this process; needs no claim.
    LocalTicket(Ticket),
}

/// Executes a non-idempotent call at most once and returns the response and the code for the
/// request counter.
///
/// Runs in a separate task, so that the call completes and is recorded even if the caller
/// disconnects.
pub(crate) async fn handle_call(
    shared: &SharedRef,
    call: Rc<Call>,
) -> (Response<Body>, &'static str) {
    let (task_shared, task_call) = (shared.clone(), call.clone());
    let result = monoio::spawn(async move {
        let _in_flight = task_shared.metrics.start_request();
        execute(&task_shared, &task_call).await
    })
    .await;
    let id = &call.head.request_id;
    match result {
        Ok(response) => {
            (recorded_response(&response, id), service::metric_code_for_status(response.status))
        }
        Err(error) => (error_response(&error, id), error.kind.properties().code),
    }
}

/// Executes the call here, or at the issuer of its ticket.
async fn execute(shared: &SharedRef, call: &Rc<Call>) -> AtMostOnceResult {
    let Some(key) = &call.head.idempotency_key else {
        let message = "this request must not run twice: send header idempotency-key with a key \
            of your own or with a ticket from POST /v1/tickets";
        return Err(CallError::new(ErrorKind::KeyRequired, message));
    };
    match Ticket::parse(key) {
        None => run_deduplicated(shared, call, &IdempotencyId::Key(key.clone())).await,
        Some(ticket) if shared.tickets.borrow().is_issued_here(&ticket) => {
            run_deduplicated(shared, call, &IdempotencyId::LocalTicket(ticket)).await
        }
        Some(ticket) => forward_to_issuer(shared, call, &ticket).await,
    }
}

/// Returns the key under which the execution record of a call is stored.
fn record_key_hash(call: &Call, idempotency_id: &IdempotencyId) -> KeyHash {
    match idempotency_id {
        IdempotencyId::Key(key) => claim::key_hash(&call.head.organisation, &call.pool.name, key),
        IdempotencyId::LocalTicket(ticket) => hash128(ticket.to_string().as_bytes()),
    }
}

/// Executes a call unless an earlier attempt with the same key has executed it. Waits for an
/// attempt that is still running in this process.
async fn run_deduplicated(
    shared: &SharedRef,
    call: &Rc<Call>,
    idempotency_id: &IdempotencyId,
) -> AtMostOnceResult {
    let key = record_key_hash(call, idempotency_id);
    let request = claim::request_hash(call);
    loop {
        let begin_result = shared.records.borrow_mut().begin_attempt(key, request, Instant::now());
        match begin_result {
            BeginResult::New => {
                return authorise_and_run(shared, call, idempotency_id, key, Reclaim::default())
                    .await;
            }
            BeginResult::Reclaim(reclaim) => {
                return authorise_and_run(shared, call, idempotency_id, key, reclaim).await;
            }
            BeginResult::ClaimHeld => return admit_and_run(shared, call, key, None).await,
            BeginResult::Completed(response) => {
                shared.metrics.count_replay("own");
                return Ok(response);
            }
            BeginResult::OutcomeUnknown => {
                let message = "the request may have run and its answer is lost";
                return Err(CallError::new(ErrorKind::KeyOutcomeUnknown, message));
            }
            BeginResult::KeyReused => {
                let message = "the idempotency key was used before with another request";
                return Err(CallError::new(ErrorKind::KeyReused, message));
            }
            BeginResult::AtCapacity => {
                let message = "too many non-idempotent requests are running";
                return Err(CallError::new(ErrorKind::Overloaded, message));
            }
            BeginResult::InProgress(mut state) => {
                let ended = state.wait_for(|state| *state != ExecutionState::Running);
                if timeout_at(call.head.deadline, ended).await.is_none() {
                    let message = "an earlier try of the key is still running";
                    return Err(CallError::new(ErrorKind::KeyInProgress, message));
                }
            }
        }
    }
}

/// Redeems the ticket or claims the idempotency key of a call whose record is `Running`, then
/// executes the call.
async fn authorise_and_run(
    shared: &SharedRef,
    call: &Rc<Call>,
    idempotency_id: &IdempotencyId,
    key: KeyHash,
    reclaim: Reclaim,
) -> AtMostOnceResult {
    match idempotency_id {
        IdempotencyId::LocalTicket(ticket) => {
            let organisation = &call.head.organisation;
            let redeemed = shared.tickets.borrow_mut().redeem(ticket, organisation, Instant::now());
            if !redeemed {
                discard_record(shared, key);
                let message = "the ticket was used or has expired, or was issued to another \
                    organisation";
                return Err(CallError::new(ErrorKind::KeyOutcomeUnknown, message));
            }
            shared.records.borrow_mut().confirm_claim(key);
            admit_and_run(shared, call, key, None).await
        }
        IdempotencyId::Key(_) => {
            // Admission precedes the claim, so that a call rejected for lack of capacity causes no
            // write to the object API.
            let permit = match check_and_admit(shared, call).await {
                Ok(permit) => permit,
                Err(error) => {
                    end_attempt(shared, key, ExecutionState::NotExecuted, None);
                    return Err(error);
                }
            };
            claim_key_and_run(shared, call, key, reclaim, permit).await
        }
    }
}

/// Claims the idempotency key of an admitted call and executes the call if the claim is acquired.
async fn claim_key_and_run(
    shared: &SharedRef,
    call: &Rc<Call>,
    key: KeyHash,
    reclaim: Reclaim,
    permit: deck_limit::Permit,
) -> AtMostOnceResult {
    let request = claim::request_hash(call);
    match claim::claim_key(shared, call, key, request, &reclaim).await {
        ClaimOutcome::Held(claim) => {
            shared.records.borrow_mut().confirm_claim(key);
            let result = run_and_record(shared, call, key, Some(claim)).await;
            drop(permit);
            result
        }
        ClaimOutcome::AlreadyExecuted(response) => {
            end_attempt(shared, key, ExecutionState::Completed(response.clone()), None);
            Ok(response)
        }
        ClaimOutcome::NotClaimed(error) => {
            end_attempt(shared, key, ExecutionState::NotExecuted, None);
            Err(error)
        }
        ClaimOutcome::Rejected(error) => {
            discard_record(shared, key);
            Err(error)
        }
    }
}

/// Waits for admission unless the request is blocked after repeated target crashes.
async fn check_and_admit(shared: &SharedRef, call: &Call) -> Result<deck_limit::Permit, CallError> {
    shared.check_not_blocked(call)?;
    shared.admit(call).await
}

/// Executes a call that needs no new claim once it is admitted.
async fn admit_and_run(
    shared: &SharedRef,
    call: &Rc<Call>,
    key: KeyHash,
    claim: Option<HeldClaim>,
) -> AtMostOnceResult {
    match check_and_admit(shared, call).await {
        Ok(_permit) => run_and_record(shared, call, key, claim).await,
        Err(error) => {
            end_attempt(shared, key, ExecutionState::NotExecuted, claim);
            Err(error)
        }
    }
}

/// Executes an admitted call and records its outcome.
async fn run_and_record(
    shared: &SharedRef,
    call: &Rc<Call>,
    key: KeyHash,
    claim: Option<HeldClaim>,
) -> AtMostOnceResult {
    let (state, result) = match service::run_at_most_once(shared, call).await {
        SingleRunOutcome::Done(response) => {
            (ExecutionState::Completed(response.clone()), Ok(response))
        }
        SingleRunOutcome::NotRun(error) => {
            debug_assert_eq!(error.kind.properties().run_state, RunState::NotRun);
            (ExecutionState::NotExecuted, Err(error))
        }
        SingleRunOutcome::Unknown(error) => (ExecutionState::OutcomeUnknown, Err(error)),
    };
    end_attempt(shared, key, state, claim);
    result
}

/// Records the outcome of an attempt and schedules the deletion of its claim after the claim
/// retention time.
fn end_attempt(shared: &SharedRef, key: KeyHash, state: ExecutionState, claim: Option<HeldClaim>) {
    let now = Instant::now();
    shared.records.borrow_mut().end_attempt(key, state, now);
    if let Some(claim) = claim {
        let due_at = now + shared.options.at_most_once.claim_retention;
        shared.claim_deletions.borrow_mut().add(claim, due_at);
    }
    shared.update_record_metrics();
}

/// Removes the record of a key that is held by another VM, or of an invalid ticket.
fn discard_record(shared: &SharedRef, key: KeyHash) {
    shared.records.borrow_mut().discard(key, ExecutionState::OutcomeUnknown);
    shared.update_record_metrics();
}

/// Forwards a call to the VM that issued its ticket and returns its response.
async fn forward_to_issuer(shared: &SharedRef, call: &Call, ticket: &Ticket) -> AtMostOnceResult {
    if has_process_ended(&shared.peer.members(), &ticket.vm, ticket.incarnation) {
        let message = format!("vm {}, which issued the ticket, has stopped", ticket.vm);
        return Err(CallError::new(ErrorKind::KeyOutcomeUnknown, message));
    }
    let remaining = call.head.remaining(Instant::now());
    let request = encode(&TicketCallRequest {
        ticket: ticket.to_string(),
        request_id: call.head.request_id.clone(),
        organisation: call.head.organisation.clone(),
        pool: call.pool.name.clone(),
        method: call.head.method.as_str().to_owned(),
        path: call.path.clone(),
        headers: encode_headers(&call.head.forwarded_headers),
        priority: call.head.priority,
        job: call.head.job.clone(),
        remaining_ms: remaining.as_millis() as u64,
        body: call.body().to_vec(),
    });
    let timeout = remaining + ISSUER_RESPONSE_GRACE;
    match shared.peer.request(&ticket.vm, Topic::TicketCall, request, timeout).await {
        Ok(bytes) => match decode(&bytes) {
            Some(TicketCallResponse::Done(response)) => Ok(Rc::new(response)),
            Some(TicketCallResponse::Error(error)) => Err(error.into()),
            None => {
                let message = format!("vm {} sent a malformed answer", ticket.vm);
                Err(CallError::new(ErrorKind::KeyInProgress, message))
            }
        },
        // An earlier attempt may have reached the issuer through another VM, so the outcome is
        // unknown even if this request did not arrive.
        Err(error) => {
            let message = format!("vm {} issued the ticket; {error}", ticket.vm);
            Err(CallError::new(ErrorKind::KeyInProgress, message))
        }
    }
}

/// Converts headers for a message to another VM.
fn encode_headers(headers: &HeaderMap) -> Vec<RecordedHeader> {
    let pairs = headers.iter();
    pairs
        .map(|(name, value)| RecordedHeader {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Handles a lookup by another VM that found a claim of this process in the object API.
pub(crate) fn handle_lookup(shared: &SharedRef, request: &[u8]) -> Bytes {
    let Some(request) = decode::<LookupRequest>(request) else {
        return encode(&LookupResponse::Unknown);
    };
    if request.incarnation != shared.options.incarnation {
        return encode(&LookupResponse::Unknown);
    }
    let mut records = shared.records.borrow_mut();
    encode(&match records.lookup(request.key, &request.nonce, Instant::now()) {
        ClaimLookupResult::Completed(response) => {
            LookupResponse::Done(RecordedResponse::clone(&response))
        }
        ClaimLookupResult::Running => LookupResponse::Running,
        ClaimLookupResult::NotExecuted => LookupResponse::Abandoned,
        ClaimLookupResult::Unknown => LookupResponse::Unknown,
    })
}

/// Handles a call that another VM forwarded because this process issued its ticket.
pub(crate) async fn handle_ticket_call(shared: &SharedRef, from: &VmId, payload: Bytes) -> Bytes {
    let result = match decode::<TicketCallRequest>(&payload) {
        Some(request) => run_forwarded_call(shared, from, request).await,
        None => {
            let message = "malformed message about a ticket";
            Err(CallError::new(ErrorKind::KeyOutcomeUnknown, message))
        }
    };
    encode(&match result {
        Ok(response) => TicketCallResponse::Done(RecordedResponse::clone(&response)),
        Err(error) => TicketCallResponse::Error((&error).into()),
    })
}

/// Executes a forwarded call if this process issued its ticket.
async fn run_forwarded_call(
    shared: &SharedRef,
    from: &VmId,
    request: TicketCallRequest,
) -> AtMostOnceResult {
    let ticket = Ticket::parse(&request.ticket)
        .filter(|ticket| shared.tickets.borrow().is_issued_here(ticket))
        .ok_or_else(|| {
            let message = "the process that issued the ticket has stopped";
            CallError::new(ErrorKind::KeyOutcomeUnknown, message)
        })?;
    log::debug!(
        target: "call", "forwarded call request={} from={from}", request.request_id
    );
    let call = build_forwarded_call(shared, request)?;
    let (task_shared, call) = (shared.clone(), Rc::new(call));
    // Runs in a separate task, as in `handle_call`: the outcome is recorded even if the link to the
    // other VM breaks.
    monoio::spawn(async move {
        let _in_flight = task_shared.metrics.start_request();
        run_deduplicated(&task_shared, &call, &IdempotencyId::LocalTicket(ticket)).await
    })
    .await
}

/// Restores the call of the original caller from a forwarded message.
fn build_forwarded_call(shared: &SharedRef, request: TicketCallRequest) -> Result<Call, CallError> {
    let pool = shared.pools.borrow().service_pool(&request.pool).ok_or_else(|| {
        // The configuration of the forwarding VM has the pool but that of this VM does not. The
        // error leaves the outcome open, because the ticket may have been used before.
        let message = format!("no service named {:?} at the issuer", request.pool);
        CallError::new(ErrorKind::KeyInProgress, message)
    })?;
    let started_at = Instant::now();
    let mut forwarded_headers = HeaderMap::new();
    for header in &request.headers {
        if let (Ok(name), Ok(value)) =
            (HeaderName::from_bytes(header.name.as_bytes()), HeaderValue::from_bytes(&header.value))
        {
            forwarded_headers.append(name, value);
        }
    }
    if let Ok(value) = HeaderValue::from_str(&request.ticket) {
        forwarded_headers.insert(IDEMPOTENCY_KEY_HEADER, value);
    }
    let head = CallHead {
        request_id: request.request_id,
        route: Route::Service { pool: request.pool, path: request.path.clone() },
        method: Method::from_bytes(request.method.as_bytes()).unwrap_or(Method::POST),
        organisation: request.organisation,
        priority: request.priority,
        deadline: started_at + Duration::from_millis(request.remaining_ms),
        job: request.job,
        avoid_targets: Vec::new(),
        idempotency_key: Some(request.ticket),
        forwarded_headers,
    };
    let body = shared.body_memory.buffer(request.body.into())?;
    Ok(Call::new(shared.clone(), head, pool, request.path, body, started_at))
}
