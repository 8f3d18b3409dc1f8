//! Calls to plain HTTP services: idempotent calls with retries, and a single execution of a
//! non-idempotent call.

use std::{rc::Rc, time::Instant};

use bytes::Bytes;
use deck_core::{
    error::{CallError, ErrorKind},
    id::TargetId,
};
use deck_limit::Permit;
use deck_net::{
    Body, ClientResponse, NetError,
    http::{HeaderMap, Response},
};
use deck_route::Outcome;

use crate::{
    attempt::{Attempt, SendError, build_target_request, refusal_outcome},
    body::timeout_at,
    call::Call,
    execution_record::RecordedResponse,
    response::{build_response, end_to_end_headers, error_response},
    shared::SharedRef,
};

/// Response of a target whose first bytes have been received.
struct StartedResponse {
    attempt: Attempt,
    response: ClientResponse,
    /// Body bytes received so far.
    prefix: Vec<u8>,
    /// Whether `prefix` is the whole body.
    is_complete: bool,
}

/// Attempt of an idempotent call that ended without a usable response.
struct FailedAttempt {
    reason: FailureReason,
    message: String,
}

/// Reason why an attempt failed; label of the retry counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FailureReason {
    /// The target refused the request before executing it, or could not be reached.
    NotRun,
    /// The connection broke and the target no longer listens.
    Crashed,
    /// The connection broke but the target still listens.
    ConnectionBroken,
    /// The target responded with status 502, 503 or 504.
    ErrorStatus,
}

impl FailureReason {
    fn from_broken_connection(crashed: bool) -> Self {
        if crashed { Self::Crashed } else { Self::ConnectionBroken }
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Crashed => "crashed",
            Self::ConnectionBroken => "broke",
            Self::ErrorStatus => "failed",
        }
    }
}

/// Outcome of a single execution of a non-idempotent call.
pub(crate) enum SingleRunOutcome {
    /// The target executed the call and returned a complete response.
    Done(Rc<RecordedResponse>),
    /// The call was not executed.
    NotRun(CallError),
    /// The call may have been executed.
    Unknown(CallError),
}

/// Runs an idempotent call with retries. Returns the response to the caller and the code for the
/// request counter.
pub(crate) async fn handle_idempotent(
    shared: &SharedRef,
    call: &Rc<Call>,
) -> (Response<Body>, &'static str) {
    match run_with_retries(shared, call).await {
        Ok((started, permit)) => build_caller_response(shared, call, started, permit),
        Err(error) => {
            let error = call.account_for_earlier_attempts(error);
            (error_response(&error, &call.head.request_id), error.kind.properties().code)
        }
    }
}

/// Attempts a call at different targets until one responds, within the attempt limit and the retry
/// budget.
async fn run_with_retries(
    shared: &SharedRef,
    call: &Rc<Call>,
) -> Result<(StartedResponse, Permit), CallError> {
    let permit = shared.admit(call).await?;
    let mut failed_targets: Vec<TargetId> = Vec::new();
    let mut free_crash_retry_used = false;
    for attempt_number in 1.. {
        let attempt = Attempt::start(shared, call, &failed_targets).await?;
        let target = attempt.target.clone();
        let failed = match attempt_idempotent(shared, call, attempt).await? {
            Ok(started) => return Ok((started, permit)),
            Err(failed) => failed,
        };
        let kind = match call.may_have_run() {
            true => ErrorKind::TargetFailed,
            false => ErrorKind::TargetRefused,
        };
        if attempt_number >= shared.options.attempts.max_attempts {
            return Err(CallError::new(kind, failed.message));
        }
        // The first retry after a crash does not use the retry budget, see
        // `completion::GenerationRun::may_retry`.
        let is_free = match failed.reason {
            FailureReason::NotRun => true,
            FailureReason::Crashed => !std::mem::replace(&mut free_crash_retry_used, true),
            FailureReason::ConnectionBroken | FailureReason::ErrorStatus => false,
        };
        if !is_free && !shared.try_take_retry(call) {
            let message = format!("no retry budget left; {}", failed.message);
            return Err(CallError::new(kind, message));
        }
        shared.metrics.count_retry(&call.pool.name, failed.reason.as_str());
        failed_targets.push(target);
    }
    Err(CallError::new(ErrorKind::Internal, "no tries allowed"))
}

/// Runs one attempt. The outer error ends the call, the inner one allows a retry.
async fn attempt_idempotent(
    shared: &SharedRef,
    call: &Rc<Call>,
    mut attempt: Attempt,
) -> Result<Result<StartedResponse, FailedAttempt>, CallError> {
    let headers = &call.head.forwarded_headers;
    let body = Body::full(call.body());
    let request = build_target_request(call, call.head.method.clone(), &call.path, headers, body)?;
    let failed = |reason, message: String| Ok(Err(FailedAttempt { reason, message }));
    let mut response = match attempt.send(request, call.head.deadline).await {
        Ok(response) => response,
        Err(SendError::NotSent(error)) => {
            attempt.finish(Outcome::Crashed, 0);
            return failed(FailureReason::NotRun, error.to_string());
        }
        Err(SendError::ConnectionBroken(error)) => {
            let reason =
                FailureReason::from_broken_connection(attempt.finish_broken(&error, 0).await);
            return failed(reason, error.to_string());
        }
        Err(SendError::TimedOut) => {
            attempt.finish(Outcome::TimedOut, 0);
            return Err(deadline_exceeded());
        }
    };
    if let Some(outcome) = refusal_outcome(&response) {
        attempt.finish(outcome, 0);
        return failed(FailureReason::NotRun, "the target refused the request".to_owned());
    }
    call.set_may_have_run();
    if matches!(response.status.as_u16(), 502..=504) {
        let message = format!("the target answered with status {}", response.status);
        attempt.finish(Outcome::Failed, 0);
        return failed(FailureReason::ErrorStatus, message);
    }
    let limit = shared.options.body.response_prefix_bytes;
    match timeout_at(call.head.deadline, read_prefix(&mut response, limit)).await {
        Some(Ok((prefix, is_complete))) => {
            Ok(Ok(StartedResponse { attempt, response, prefix, is_complete }))
        }
        Some(Err(error)) => {
            let message = error.to_string();
            let reason =
                FailureReason::from_broken_connection(attempt.finish_broken(&error, 0).await);
            failed(reason, message)
        }
        None => {
            attempt.finish(Outcome::TimedOut, 0);
            Err(deadline_exceeded())
        }
    }
}

fn deadline_exceeded() -> CallError {
    let message = "the deadline passed while a target ran the request";
    CallError::new(ErrorKind::DeadlineExceeded, message)
}

/// Reads more than `limit` bytes or the whole body. The flag is set if the body is complete.
async fn read_prefix(
    response: &mut ClientResponse,
    limit: usize,
) -> Result<(Vec<u8>, bool), NetError> {
    let mut prefix = Vec::new();
    while prefix.len() <= limit {
        match response.chunk().await? {
            Some(chunk) => prefix.extend_from_slice(&chunk),
            None => return Ok((prefix, true)),
        }
    }
    Ok((prefix, false))
}

/// Builds the response to the caller, with a streamed body if it exceeds the prefix.
fn build_caller_response(
    shared: &SharedRef,
    call: &Rc<Call>,
    started: StartedResponse,
    permit: Permit,
) -> (Response<Body>, &'static str) {
    let StartedResponse { attempt, response, prefix, is_complete } = started;
    let status = response.status.as_u16();
    let headers = end_to_end_headers(&response.headers);
    let target = attempt.target.clone();
    let body = if is_complete {
        attempt.finish(outcome_for_status(status), 0);
        Body::full(prefix)
    } else {
        stream_remaining(shared, call, attempt, response, prefix.into(), permit)
    };
    let response = build_response(status, &headers, &target, &call.head.request_id, body);
    (response, metric_code_for_status(status))
}

/// Streams the rest of a response after its prefix. If the target connection breaks, the caller's
/// connection is closed early, which shows that the response is incomplete.
fn stream_remaining(
    shared: &SharedRef,
    call: &Rc<Call>,
    attempt: Attempt,
    mut response: ClientResponse,
    prefix: Bytes,
    permit: Permit,
) -> Body {
    let (sender, body) = Body::stream();
    let call = call.clone();
    let in_flight = shared.metrics.start_request();
    monoio::spawn(async move {
        let _guards = (permit, in_flight);
        // The deadline limits how long a caller that stops reading occupies the target.
        let deadline = call.head.deadline;
        if !matches!(timeout_at(deadline, sender.send(prefix)).await, Some(Ok(()))) {
            return;
        }
        loop {
            match timeout_at(deadline, response.chunk()).await {
                Some(Ok(Some(chunk))) => {
                    if !matches!(timeout_at(deadline, sender.send(chunk)).await, Some(Ok(()))) {
                        return;
                    }
                }
                Some(Ok(None)) => {
                    attempt.finish(Outcome::Ok, 0);
                    sender.finish().await;
                    return;
                }
                Some(Err(error)) => {
                    attempt.finish_broken(&error, 0).await;
                    return;
                }
                None => {
                    attempt.finish(Outcome::TimedOut, 0);
                    return;
                }
            }
        }
    });
    body
}

/// Runs a non-idempotent call at most once.
///
/// Another target is tried only if the previous one did not execute the call. The request carries
/// the caller's idempotency key, so that a target that supports keys can reject a repeat.
pub(crate) async fn run_at_most_once(shared: &SharedRef, call: &Rc<Call>) -> SingleRunOutcome {
    let mut failed_targets: Vec<TargetId> = Vec::new();
    let mut message = String::new();
    for _ in 0..shared.options.attempts.max_attempts {
        let attempt = match Attempt::start(shared, call, &failed_targets).await {
            Ok(attempt) => attempt,
            Err(error) => return SingleRunOutcome::NotRun(error),
        };
        let target = attempt.target.clone();
        match attempt_once(shared, call, attempt, &call.head.forwarded_headers).await {
            Ok(end) => return end,
            Err(refused) => message = refused,
        }
        shared.metrics.count_retry(&call.pool.name, "not_run");
        failed_targets.push(target);
    }
    SingleRunOutcome::NotRun(CallError::new(ErrorKind::TargetRefused, message))
}

/// Sends the call to one target. An error means that the target did not execute it.
async fn attempt_once(
    shared: &SharedRef,
    call: &Rc<Call>,
    mut attempt: Attempt,
    headers: &HeaderMap,
) -> Result<SingleRunOutcome, String> {
    let body = Body::full(call.body());
    let method = call.head.method.clone();
    let request = match build_target_request(call, method, &call.path, headers, body) {
        Ok(request) => request,
        Err(error) => return Ok(SingleRunOutcome::NotRun(error)),
    };
    // The process may have been suspended since the target was picked. A request must not be sent
    // after its deadline, because the caller may already have received an error that the outcome is
    // unknown.
    if Instant::now() >= call.head.deadline {
        let message = "the deadline passed before the request left for a target";
        return Ok(SingleRunOutcome::NotRun(CallError::new(ErrorKind::DeadlineBeforeRun, message)));
    }
    let response = match attempt.send_on_new_connection(request, call.head.deadline).await {
        Ok(response) => response,
        Err(SendError::NotSent(error)) => {
            attempt.finish(Outcome::Crashed, 0);
            return Err(error.to_string());
        }
        Err(SendError::ConnectionBroken(error)) => {
            attempt.finish_broken(&error, 0).await;
            let error = CallError::new(ErrorKind::TargetFailed, error.to_string());
            return Ok(SingleRunOutcome::Unknown(error));
        }
        Err(SendError::TimedOut) => {
            attempt.finish(Outcome::TimedOut, 0);
            return Ok(SingleRunOutcome::Unknown(deadline_exceeded()));
        }
    };
    if let Some(outcome) = refusal_outcome(&response) {
        attempt.finish(outcome, 0);
        return Err("the target refused the request".to_owned());
    }
    call.set_may_have_run();
    Ok(receive_response(shared, call, attempt, response).await)
}

/// Receives the complete response of a target, up to the response size limit.
async fn receive_response(
    shared: &SharedRef,
    call: &Rc<Call>,
    attempt: Attempt,
    response: ClientResponse,
) -> SingleRunOutcome {
    let status = response.status.as_u16();
    let headers = end_to_end_headers(&response.headers);
    let receive = response.collect(shared.options.body.max_response_bytes);
    match timeout_at(call.head.deadline, receive).await {
        Some(Ok(body)) => {
            let target = attempt.target.clone();
            attempt.finish(outcome_for_status(status), 0);
            let body = body.to_vec();
            SingleRunOutcome::Done(Rc::new(RecordedResponse { status, headers, body, target }))
        }
        Some(Err(error)) => {
            let message = format!("the target's answer was not received: {error}");
            match error {
                NetError::BodyTooLarge(_) => attempt.finish(Outcome::Ok, 0),
                _ => drop(attempt.finish_broken(&error, 0).await),
            }
            SingleRunOutcome::Unknown(CallError::new(ErrorKind::AnswerTruncated, message))
        }
        None => {
            attempt.finish(Outcome::TimedOut, 0);
            SingleRunOutcome::Unknown(deadline_exceeded())
        }
    }
}

/// Returns the outcome that the router records for a response status.
fn outcome_for_status(status: u16) -> Outcome {
    if status >= 500 { Outcome::Failed } else { Outcome::Ok }
}

/// Returns the code label of the request counter for the status of a target's response.
pub(crate) fn metric_code_for_status(status: u16) -> &'static str {
    match status {
        400..=499 => "target_4xx",
        500.. => "target_5xx",
        _ => "ok",
    }
}
