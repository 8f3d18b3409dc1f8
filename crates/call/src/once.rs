//! Non-idempotent calls: at most one run per key or ticket.

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
    answer::{error_response, recorded_response},
    body::until,
    call::Call,
    claim::{self, Claim, HeldClaim, process_is_gone},
    head::{CallHead, IDEMPOTENCY_KEY, Route},
    record::{Begin, KeyHash, Lookup, Reclaim, RecordState, RecordedAnswer, RecordedHeader},
    service::{self, RunEnd},
    shared::SharedRef,
    ticket::Ticket,
    wire::{LookupRequest, LookupResponse, TicketCallRequest, TicketCallResponse, decode, encode},
};

/// Time that the issuer of a ticket has beyond the deadline of the call to say how it ended.
const TICKET_GRACE: Duration = Duration::from_millis(500);

/// Result of a non-idempotent call.
type OnceResult = Result<Rc<RecordedAnswer>, CallError>;

/// Under what right a call may run.
#[derive(Clone)]
enum Right {
    /// A key that the caller chose; needs a claim.
    Key(String),
    /// A ticket of this process.
    OwnTicket(Ticket),
}

/// Runs a non-idempotent call and returns the response to the caller.
///
/// The run has a task of its own: it goes on and is recorded if the caller goes away.
pub(crate) async fn run(shared: &SharedRef, call: Rc<Call>) -> (Response<Body>, &'static str) {
    let (task_shared, task_call) = (shared.clone(), call.clone());
    let result = monoio::spawn(async move {
        let _in_flight = task_shared.metrics.enter();
        run_to_end(&task_shared, &task_call).await
    })
    .await;
    let id = &call.head.request_id;
    match result {
        Ok(answer) => (recorded_response(&answer, id), service::code_of(answer.status)),
        Err(error) => (error_response(&error, id), error.kind.row().code),
    }
}

async fn run_to_end(shared: &SharedRef, call: &Rc<Call>) -> OnceResult {
    let Some(key) = &call.head.key else {
        let message = "this request must not run twice: send header idempotency-key with a key \
            of your own or with a ticket from POST /v1/tickets";
        return Err(CallError::new(ErrorKind::KeyRequired, message));
    };
    match Ticket::parse(key) {
        None => run_with_right(shared, call, &Right::Key(key.clone())).await,
        Some(ticket) if shared.tickets.borrow().is_own(&ticket) => {
            run_with_right(shared, call, &Right::OwnTicket(ticket)).await
        }
        Some(ticket) => forward_to_issuer(shared, call, &ticket).await,
    }
}

fn record_key(call: &Call, right: &Right) -> KeyHash {
    match right {
        Right::Key(key) => claim::key_hash(&call.head.organisation, &call.pool.name, key),
        Right::OwnTicket(ticket) => hash128(ticket.to_string().as_bytes()),
    }
}

async fn run_with_right(shared: &SharedRef, call: &Rc<Call>, right: &Right) -> OnceResult {
    let key = record_key(call, right);
    let request = claim::request_hash(call);
    loop {
        let begin = shared.records.borrow_mut().begin(key, request, Instant::now());
        match begin {
            Begin::New => return first_run(shared, call, right, key, Reclaim::default()).await,
            Begin::Reclaim(reclaim) => return first_run(shared, call, right, key, reclaim).await,
            Begin::Again => return admitted_run(shared, call, key, None).await,
            Begin::Done(answer) => {
                shared.metrics.replayed("own");
                return Ok(answer);
            }
            Begin::Lost => {
                let message = "the request may have run and its answer is lost";
                return Err(CallError::new(ErrorKind::KeyOutcomeUnknown, message));
            }
            Begin::Reused => {
                let message = "the idempotency key was used before with another request";
                return Err(CallError::new(ErrorKind::KeyReused, message));
            }
            Begin::Full => {
                let message = "too many non-idempotent requests are running";
                return Err(CallError::new(ErrorKind::Overloaded, message));
            }
            Begin::Wait(mut state) => {
                let ended = state.wait_for(|state| *state != RecordState::Running);
                if until(call.head.deadline, ended).await.is_none() {
                    let message = "an earlier try of the key is still running";
                    return Err(CallError::new(ErrorKind::KeyInProgress, message));
                }
            }
        }
    }
}

/// Obtains the right to run a call whose record has just begun, and runs it.
async fn first_run(
    shared: &SharedRef,
    call: &Rc<Call>,
    right: &Right,
    key: KeyHash,
    reclaim: Reclaim,
) -> OnceResult {
    match right {
        Right::OwnTicket(ticket) => {
            let organisation = &call.head.organisation;
            let taken = shared.tickets.borrow_mut().take(ticket, organisation, Instant::now());
            if !taken {
                forget(shared, key);
                let message = "the ticket was used or has expired, or was issued to another \
                    organisation";
                return Err(CallError::new(ErrorKind::KeyOutcomeUnknown, message));
            }
            shared.records.borrow_mut().confirm(key);
            admitted_run(shared, call, key, None).await
        }
        Right::Key(_) => {
            // Admission comes first: a refusal for lack of capacity costs no write.
            let permit = match admit(shared, call).await {
                Ok(permit) => permit,
                Err(error) => {
                    end(shared, key, RecordState::Abandoned, None);
                    return Err(error);
                }
            };
            claimed_run(shared, call, key, reclaim, permit).await
        }
    }
}

async fn claimed_run(
    shared: &SharedRef,
    call: &Rc<Call>,
    key: KeyHash,
    reclaim: Reclaim,
    permit: deck_limit::Permit,
) -> OnceResult {
    let request = claim::request_hash(call);
    match claim::claim(shared, call, key, request, &reclaim).await {
        Claim::Held(held) => {
            shared.records.borrow_mut().confirm(key);
            let result = run_and_record(shared, call, key, Some(held)).await;
            drop(permit);
            result
        }
        Claim::Done(answer) => {
            end(shared, key, RecordState::Done(answer.clone()), None);
            Ok(answer)
        }
        Claim::NotRun(error) => {
            end(shared, key, RecordState::Abandoned, None);
            Err(error)
        }
        Claim::Elsewhere(error) => {
            forget(shared, key);
            Err(error)
        }
    }
}

async fn admit(shared: &SharedRef, call: &Call) -> Result<deck_limit::Permit, CallError> {
    shared.check_condemned(call)?;
    shared.admit(call).await
}

async fn admitted_run(
    shared: &SharedRef,
    call: &Rc<Call>,
    key: KeyHash,
    claim: Option<HeldClaim>,
) -> OnceResult {
    match admit(shared, call).await {
        Ok(_permit) => run_and_record(shared, call, key, claim).await,
        Err(error) => {
            end(shared, key, RecordState::Abandoned, claim);
            Err(error)
        }
    }
}

async fn run_and_record(
    shared: &SharedRef,
    call: &Rc<Call>,
    key: KeyHash,
    claim: Option<HeldClaim>,
) -> OnceResult {
    let (state, result) = match service::run_once(shared, call).await {
        RunEnd::Done(answer) => (RecordState::Done(answer.clone()), Ok(answer)),
        RunEnd::NotRun(error) => {
            debug_assert_eq!(error.kind.row().run, RunState::NotRun);
            (RecordState::Abandoned, Err(error))
        }
        RunEnd::Unknown(error) => (RecordState::Lost, Err(error)),
    };
    end(shared, key, state, claim);
    result
}

/// Ends a record; its claim is deleted after the time for which claims are kept.
fn end(shared: &SharedRef, key: KeyHash, state: RecordState, claim: Option<HeldClaim>) {
    let now = Instant::now();
    shared.records.borrow_mut().end(key, state, now);
    if let Some(claim) = claim {
        let due = now + shared.options.once.claim_keep;
        shared.deletions.borrow_mut().add(claim, due);
    }
    shared.note_records();
}

fn forget(shared: &SharedRef, key: KeyHash) {
    shared.records.borrow_mut().forget(key, RecordState::Lost);
    shared.note_records();
}

/// Sends a call to the VM that issued its ticket.
async fn forward_to_issuer(shared: &SharedRef, call: &Call, ticket: &Ticket) -> OnceResult {
    if process_is_gone(&shared.peer.members(), &ticket.vm, ticket.incarnation) {
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
        headers: wire_headers(&call.head.forwarded),
        priority: call.head.priority,
        job: call.head.job.clone(),
        remaining_ms: remaining.as_millis() as u64,
        body: call.body().to_vec(),
    });
    let timeout = remaining + TICKET_GRACE;
    match shared.peer.request(&ticket.vm, Topic::TicketCall, request, timeout).await {
        Ok(bytes) => match decode(&bytes) {
            Some(TicketCallResponse::Done(answer)) => Ok(Rc::new(answer)),
            Some(TicketCallResponse::Error(error)) => Err(error.into()),
            None => {
                let message = format!("vm {} sent a malformed answer", ticket.vm);
                Err(CallError::new(ErrorKind::KeyInProgress, message))
            }
        },
        // An earlier try may have reached the issuer by another way, so even a request that did
        // not arrive leaves the outcome unknown.
        Err(error) => {
            let message = format!("vm {} issued the ticket; {error}", ticket.vm);
            Err(CallError::new(ErrorKind::KeyInProgress, message))
        }
    }
}

fn wire_headers(headers: &HeaderMap) -> Vec<RecordedHeader> {
    let pairs = headers.iter();
    pairs
        .map(|(name, value)| RecordedHeader {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Answers a VM that found a claim of this process.
pub(crate) fn answer_lookup(shared: &SharedRef, question: &[u8]) -> Bytes {
    let Some(question) = decode::<LookupRequest>(question) else {
        return encode(&LookupResponse::Unknown);
    };
    if question.incarnation != shared.options.incarnation {
        return encode(&LookupResponse::Unknown);
    }
    let mut records = shared.records.borrow_mut();
    encode(&match records.lookup(question.key, &question.nonce, Instant::now()) {
        Lookup::Done(answer) => LookupResponse::Done(RecordedAnswer::clone(&answer)),
        Lookup::Running => LookupResponse::Running,
        Lookup::Abandoned => LookupResponse::Abandoned,
        Lookup::Unknown => LookupResponse::Unknown,
    })
}

/// Runs a call that another VM forwarded because this process issued its ticket.
pub(crate) async fn answer_ticket_call(shared: &SharedRef, from: &VmId, call: Bytes) -> Bytes {
    let result = match decode::<TicketCallRequest>(&call) {
        Some(request) => run_forwarded(shared, from, request).await,
        None => {
            let message = "malformed message about a ticket";
            Err(CallError::new(ErrorKind::KeyOutcomeUnknown, message))
        }
    };
    encode(&match result {
        Ok(answer) => TicketCallResponse::Done(RecordedAnswer::clone(&answer)),
        Err(error) => TicketCallResponse::Error((&error).into()),
    })
}

async fn run_forwarded(shared: &SharedRef, from: &VmId, request: TicketCallRequest) -> OnceResult {
    let ticket = Ticket::parse(&request.ticket)
        .filter(|ticket| shared.tickets.borrow().is_own(ticket))
        .ok_or_else(|| {
            let message = "the process that issued the ticket has stopped";
            CallError::new(ErrorKind::KeyOutcomeUnknown, message)
        })?;
    log::debug!(
        target: "call", "forwarded call request={} from={from}", request.request_id
    );
    let call = forwarded_call(shared, request)?;
    let (task_shared, call) = (shared.clone(), Rc::new(call));
    // A task of its own, as for calls of own callers: it is recorded if the link breaks.
    monoio::spawn(async move {
        let _in_flight = task_shared.metrics.enter();
        run_with_right(&task_shared, &call, &Right::OwnTicket(ticket)).await
    })
    .await
}

fn forwarded_call(shared: &SharedRef, request: TicketCallRequest) -> Result<Call, CallError> {
    let pool = shared.pools.borrow().service(&request.pool).ok_or_else(|| {
        // The asking VM knows the pool; whether the ticket was used is not checked here.
        let message = format!("no service named {:?} at the issuer", request.pool);
        CallError::new(ErrorKind::KeyInProgress, message)
    })?;
    let started = Instant::now();
    let mut forwarded = HeaderMap::new();
    for header in &request.headers {
        if let (Ok(name), Ok(value)) =
            (HeaderName::from_bytes(header.name.as_bytes()), HeaderValue::from_bytes(&header.value))
        {
            forwarded.append(name, value);
        }
    }
    if let Ok(value) = HeaderValue::from_str(&request.ticket) {
        forwarded.insert(IDEMPOTENCY_KEY, value);
    }
    let head = CallHead {
        request_id: request.request_id,
        route: Route::Service { pool: request.pool, path: request.path.clone() },
        method: Method::from_bytes(request.method.as_bytes()).unwrap_or(Method::POST),
        organisation: request.organisation,
        priority: request.priority,
        deadline: started + Duration::from_millis(request.remaining_ms),
        job: request.job,
        avoid: Vec::new(),
        key: Some(request.ticket),
        forwarded,
    };
    let body = shared.bodies.hold(request.body.into())?;
    Ok(Call::new(shared.clone(), head, pool, request.path, body, started))
}
