//! Calls to plain services: idempotent ones with retries, and one run of a non-idempotent one.

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
    answer::{answer_headers, build_response, error_response},
    attempt::{Attempt, SendError, refusal, target_request},
    body::until,
    call::Call,
    record::RecordedAnswer,
    shared::SharedRef,
};

/// Beginning of an answer and, if it is longer, its rest.
struct Answer {
    attempt: Attempt,
    response: ClientResponse,
    prefix: Vec<u8>,
    is_whole: bool,
}

/// How one try of an idempotent call ended without an answer.
struct Failed {
    reason: FailReason,
    message: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FailReason {
    /// The target refused before running, or was not reached.
    NotRun,
    /// The target crashed.
    Crashed,
    /// The connection broke and the target still listens.
    Broke,
    /// The target answered with an error.
    Failed,
}

impl FailReason {
    fn after_broken(crashed: bool) -> Self {
        if crashed { Self::Crashed } else { Self::Broke }
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Crashed => "crashed",
            Self::Broke => "broke",
            Self::Failed => "failed",
        }
    }
}

/// How a run of a non-idempotent call ended.
pub(crate) enum RunEnd {
    /// The target answered.
    Done(Rc<RecordedAnswer>),
    /// Nothing has run.
    NotRun(CallError),
    /// The call may have run.
    Unknown(CallError),
}

/// Runs a call that may be repeated.
pub(crate) async fn run_idempotent(
    shared: &SharedRef,
    call: &Rc<Call>,
) -> (Response<Body>, &'static str) {
    match answer_idempotent(shared, call).await {
        Ok((answer, permit)) => respond(shared, call, answer, permit),
        Err(error) => {
            let error = call.truthful(error);
            (error_response(&error, &call.head.request_id), error.kind.row().code)
        }
    }
}

async fn answer_idempotent(
    shared: &SharedRef,
    call: &Rc<Call>,
) -> Result<(Answer, Permit), CallError> {
    let permit = shared.admit(call).await?;
    let mut failed_at: Vec<TargetId> = Vec::new();
    let mut crashed_before = false;
    for number in 1.. {
        let attempt = Attempt::start(shared, call, &failed_at).await?;
        let target = attempt.target.clone();
        let failed = match try_idempotent(shared, call, attempt).await? {
            Ok(answer) => return Ok((answer, permit)),
            Err(failed) => failed,
        };
        let kind = match call.may_have_run() {
            true => ErrorKind::TargetFailed,
            false => ErrorKind::TargetRefused,
        };
        if number >= shared.options.tries.max_tries {
            return Err(CallError::new(kind, failed.message));
        }
        // The first try after a crash is free, see `completion::Run::may_try_again`.
        let free = match failed.reason {
            FailReason::NotRun => true,
            FailReason::Crashed => !std::mem::replace(&mut crashed_before, true),
            FailReason::Broke | FailReason::Failed => false,
        };
        if !free && !shared.try_take_retry(call) {
            let message = format!("no retry budget left; {}", failed.message);
            return Err(CallError::new(kind, message));
        }
        shared.metrics.retried(&call.pool.name, failed.reason.as_str());
        failed_at.push(target);
    }
    Err(CallError::new(ErrorKind::Internal, "no tries allowed"))
}

async fn try_idempotent(
    shared: &SharedRef,
    call: &Rc<Call>,
    mut attempt: Attempt,
) -> Result<Result<Answer, Failed>, CallError> {
    let headers = &call.head.forwarded;
    let body = Body::full(call.body());
    let request = target_request(call, call.head.method.clone(), &call.path, headers, body)?;
    let failed = |reason, message: String| Ok(Err(Failed { reason, message }));
    let mut response = match attempt.send(request, call.head.deadline).await {
        Ok(response) => response,
        Err(SendError::NotSent(error)) => {
            attempt.finish(Outcome::Crashed, 0);
            return failed(FailReason::NotRun, error.to_string());
        }
        Err(SendError::Broke(error)) => {
            let reason = FailReason::after_broken(attempt.broke(&error, 0).await);
            return failed(reason, error.to_string());
        }
        Err(SendError::TimedOut) => {
            attempt.finish(Outcome::TimedOut, 0);
            return Err(deadline_exceeded());
        }
    };
    if let Some(outcome) = refusal(&response) {
        attempt.finish(outcome, 0);
        return failed(FailReason::NotRun, "the target refused the request".to_owned());
    }
    call.set_may_have_run();
    if matches!(response.status.as_u16(), 502..=504) {
        let message = format!("the target answered with status {}", response.status);
        attempt.finish(Outcome::Failed, 0);
        return failed(FailReason::Failed, message);
    }
    let limit = shared.options.body.answer_prefix_bytes;
    match until(call.head.deadline, read_prefix(&mut response, limit)).await {
        Some(Ok((prefix, is_whole))) => Ok(Ok(Answer { attempt, response, prefix, is_whole })),
        Some(Err(error)) => {
            let message = error.to_string();
            let reason = FailReason::after_broken(attempt.broke(&error, 0).await);
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

/// Receives at least `limit` bytes or the whole body; tells whether it is whole.
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

fn respond(
    shared: &SharedRef,
    call: &Rc<Call>,
    answer: Answer,
    permit: Permit,
) -> (Response<Body>, &'static str) {
    let Answer { attempt, response, prefix, is_whole } = answer;
    let status = response.status.as_u16();
    let headers = answer_headers(&response.headers);
    let target = attempt.target.clone();
    let body = if is_whole {
        attempt.finish(outcome_of(status), 0);
        Body::full(prefix)
    } else {
        stream_rest(shared, call, attempt, response, prefix.into(), permit)
    };
    let response = build_response(status, &headers, &target, &call.head.request_id, body);
    (response, code_of(status))
}

/// Streams an answer that is longer than its prefix. If it breaks, the caller's connection is cut:
/// the caller sees that the answer is not whole.
fn stream_rest(
    shared: &SharedRef,
    call: &Rc<Call>,
    attempt: Attempt,
    mut response: ClientResponse,
    prefix: Bytes,
    permit: Permit,
) -> Body {
    let (sender, body) = Body::stream();
    let call = call.clone();
    let in_flight = shared.metrics.enter();
    monoio::spawn(async move {
        let _held = (permit, in_flight);
        // A caller that stops reading holds a place on the target until its deadline only.
        let deadline = call.head.deadline;
        if !matches!(until(deadline, sender.send(prefix)).await, Some(Ok(()))) {
            return;
        }
        loop {
            match until(deadline, response.chunk()).await {
                Some(Ok(Some(chunk))) => {
                    if !matches!(until(deadline, sender.send(chunk)).await, Some(Ok(()))) {
                        return;
                    }
                }
                Some(Ok(None)) => {
                    attempt.finish(Outcome::Ok, 0);
                    sender.finish().await;
                    return;
                }
                Some(Err(error)) => {
                    attempt.broke(&error, 0).await;
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
/// A further target is tried only if nothing ran at the one before. The request carries the
/// caller's key, so that a target that knows keys can refuse a repeat by itself.
pub(crate) async fn run_once(shared: &SharedRef, call: &Rc<Call>) -> RunEnd {
    let mut failed_at: Vec<TargetId> = Vec::new();
    let mut message = String::new();
    for _ in 0..shared.options.tries.max_tries {
        let attempt = match Attempt::start(shared, call, &failed_at).await {
            Ok(attempt) => attempt,
            Err(error) => return RunEnd::NotRun(error),
        };
        let target = attempt.target.clone();
        match try_once(shared, call, attempt, &call.head.forwarded).await {
            Ok(end) => return end,
            Err(refused) => message = refused,
        }
        shared.metrics.retried(&call.pool.name, "not_run");
        failed_at.push(target);
    }
    RunEnd::NotRun(CallError::new(ErrorKind::TargetRefused, message))
}

/// Sends the call once; `Err` says that nothing ran.
async fn try_once(
    shared: &SharedRef,
    call: &Rc<Call>,
    mut attempt: Attempt,
    headers: &HeaderMap,
) -> Result<RunEnd, String> {
    let body = Body::full(call.body());
    let method = call.head.method.clone();
    let request = match target_request(call, method, &call.path, headers, body) {
        Ok(request) => request,
        Err(error) => return Ok(RunEnd::NotRun(error)),
    };
    // The process may have been frozen since the pick. A request whose deadline is over must not
    // leave: its caller may already have been told that the outcome is unknown.
    if Instant::now() >= call.head.deadline {
        let message = "the deadline passed before the request left for a target";
        return Ok(RunEnd::NotRun(CallError::new(ErrorKind::DeadlineBeforeRun, message)));
    }
    let response = match attempt.send_fresh(request, call.head.deadline).await {
        Ok(response) => response,
        Err(SendError::NotSent(error)) => {
            attempt.finish(Outcome::Crashed, 0);
            return Err(error.to_string());
        }
        Err(SendError::Broke(error)) => {
            attempt.broke(&error, 0).await;
            let error = CallError::new(ErrorKind::TargetFailed, error.to_string());
            return Ok(RunEnd::Unknown(error));
        }
        Err(SendError::TimedOut) => {
            attempt.finish(Outcome::TimedOut, 0);
            return Ok(RunEnd::Unknown(deadline_exceeded()));
        }
    };
    if let Some(outcome) = refusal(&response) {
        attempt.finish(outcome, 0);
        return Err("the target refused the request".to_owned());
    }
    call.set_may_have_run();
    Ok(receive_answer(shared, call, attempt, response).await)
}

async fn receive_answer(
    shared: &SharedRef,
    call: &Rc<Call>,
    attempt: Attempt,
    response: ClientResponse,
) -> RunEnd {
    let status = response.status.as_u16();
    let headers = answer_headers(&response.headers);
    let collected = response.collect(shared.options.body.max_answer_bytes);
    match until(call.head.deadline, collected).await {
        Some(Ok(body)) => {
            let target = attempt.target.clone();
            attempt.finish(outcome_of(status), 0);
            let body = body.to_vec();
            RunEnd::Done(Rc::new(RecordedAnswer { status, headers, body, target }))
        }
        Some(Err(error)) => {
            let message = format!("the target's answer was not received: {error}");
            match error {
                NetError::BodyTooLarge(_) => attempt.finish(Outcome::Ok, 0),
                _ => drop(attempt.broke(&error, 0).await),
            }
            RunEnd::Unknown(CallError::new(ErrorKind::AnswerTruncated, message))
        }
        None => {
            attempt.finish(Outcome::TimedOut, 0);
            RunEnd::Unknown(deadline_exceeded())
        }
    }
}

fn outcome_of(status: u16) -> Outcome {
    if status >= 500 { Outcome::Failed } else { Outcome::Ok }
}

/// Returns the code of the request counter for an answer of a target.
pub(crate) fn code_of(status: u16) -> &'static str {
    match status {
        400..=499 => "target_4xx",
        500.. => "target_5xx",
        _ => "ok",
    }
}
