//! LLM completions: generation that resumes on another engine after a failure, with a streamed or a
//! collected response.

use std::{rc::Rc, time::Instant};

use deck_core::{
    error::{CallError, ErrorKind},
    hash::hash64,
    id::TargetId,
};
use deck_net::{
    Body, ClientResponse, NetError,
    body::BodySender,
    http::{Method, Request, Response},
    sse::{self, EventReader},
};
use deck_route::{Outcome, predict::CallFeatures};
use futures_util::future::{Either, select};
use tokio::sync::oneshot;

use crate::{
    attempt::{Attempt, SendError, build_target_request, json_headers, refusal_outcome},
    body::timeout_at,
    call::Call,
    cancel::CancelOnDrop,
    completion_api::{Chunk, CompletionRequest, Generation},
    execution_record::RecordedResponse,
    response::{self, error_response, send_error_event},
    shared::SharedRef,
};

/// Maximum number of attempts of a call that makes progress in between. Bounds the work spent on a
/// call whose engines keep failing.
const MAX_RESUMED_ATTEMPTS: u32 = 16;
/// Length of the prompt prefix that determines the affinity hash.
const AFFINITY_PREFIX_BYTES: usize = 1024;
/// Maximum size of an error body of an engine that is returned to the caller.
const MAX_ERROR_BODY_BYTES: usize = 64 * 1024;

/// Failure of a completion call.
pub(crate) enum CompletionFailure {
    /// Error that this VM reports to the caller.
    Error(CallError),
    /// The engine rejected the request with a 4xx status; its response is returned to the caller.
    ClientError(Box<RecordedResponse>),
}

impl From<CallError> for CompletionFailure {
    fn from(error: CallError) -> Self {
        Self::Error(error)
    }
}

/// Destination of the generated chunks.
enum ChunkDestination {
    /// Chunks are collected into a single response.
    Collect,
    /// Chunks are streamed to the caller. `head_sender` reports the target of the first chunk,
    /// or the failure, so that the response head can be sent.
    Stream {
        head_sender: Option<oneshot::Sender<Result<TargetId, CompletionFailure>>>,
        sender: Rc<BodySender>,
    },
}

/// Result of one generation attempt at an engine.
enum AttemptEnd {
    /// The generation is complete.
    Complete,
    /// The target did not execute the request.
    NotRun,
    /// The connection to the target broke. `crashed` is set if the target no longer listens.
    ConnectionBroken { crashed: bool, message: String },
    /// The target failed in another way, such as an error status or a malformed stream.
    Failed(String),
    /// The caller has disconnected.
    CallerDisconnected,
}

/// Sets the predicted number of tokens and the affinity hash of a call.
pub(crate) fn set_routing_hints(shared: &SharedRef, call: &mut Call, request: &CompletionRequest) {
    let features = call_features(shared, call, request);
    call.expected_tokens = shared.length_predictor.borrow().predict(&features).max(1);
    let prefix = &request.prompt.as_bytes()[..request.prompt.len().min(AFFINITY_PREFIX_BYTES)];
    call.affinity_hash = Some(hash64(prefix));
}

/// Returns the properties of a call that predict its generation length.
fn call_features<'a>(
    shared: &SharedRef,
    call: &'a Call,
    request: &'a CompletionRequest,
) -> CallFeatures<'a> {
    let default_tokens = u64::from(shared.options.attempts.default_max_tokens);
    CallFeatures {
        model: &request.model,
        organisation: &call.head.organisation,
        prompt: &request.prompt,
        max_tokens: request.max_tokens.unwrap_or(default_tokens),
    }
}

/// Runs a completion. Returns the response to the caller and the code for the request counter.
pub(crate) async fn handle_completion(
    shared: &SharedRef,
    call: Rc<Call>,
    request: CompletionRequest,
) -> (Response<Body>, &'static str) {
    if request.stream {
        run_streamed(shared, call, request).await
    } else {
        run_collected(shared, &call, &request).await
    }
}

/// Generates the whole completion before responding.
async fn run_collected(
    shared: &SharedRef,
    call: &Rc<Call>,
    request: &CompletionRequest,
) -> (Response<Body>, &'static str) {
    let mut run = GenerationRun::new(shared, call, request, ChunkDestination::Collect);
    match run.generate().await {
        Ok(target) => {
            let id = &call.head.request_id;
            let completion = run.generation.into_completion(id, &request.model);
            let mut response = deck_net::server::json_response(200, &completion);
            response::set_request_id(response.headers_mut(), id);
            response::set_target(response.headers_mut(), &target);
            (response, "ok")
        }
        Err(failure) => failure_response(call, failure),
    }
}

/// Returns the response to the caller and the counter code for a failed completion.
fn failure_response(call: &Call, failure: CompletionFailure) -> (Response<Body>, &'static str) {
    let id = &call.head.request_id;
    match failure {
        CompletionFailure::Error(error) => {
            (error_response(&error, id), error.kind.properties().code)
        }
        CompletionFailure::ClientError(engine_response) => {
            (response::recorded_response(&engine_response, id), "target_4xx")
        }
    }
}

/// Starts a task that streams the completion, and returns when the response head is known.
async fn run_streamed(
    shared: &SharedRef,
    call: Rc<Call>,
    request: CompletionRequest,
) -> (Response<Body>, &'static str) {
    let (sender, mut response) = sse::event_stream_response();
    let (head_sender, head_receiver) = oneshot::channel();
    let id = call.head.request_id.clone();
    let task_call = call.clone();
    let task_shared = shared.clone();
    let task = monoio::spawn(async move {
        // Counts the request as in flight until its last byte is sent.
        let _in_flight = task_shared.metrics.start_request();
        stream_completion(&task_shared, &task_call, &request, sender, head_sender).await;
    });
    // Dropping the handle detaches the task, which ends when the caller disconnects.
    drop(task);
    match head_receiver.await {
        Ok(Ok(target)) => {
            response::set_request_id(response.headers_mut(), &id);
            response::set_target(response.headers_mut(), &target);
            (response, "ok")
        }
        Ok(Err(failure)) => failure_response(&call, failure),
        Err(_) => {
            let error = CallError::new(ErrorKind::Internal, "the call ended without a result");
            (error_response(&error, &id), error.kind.properties().code)
        }
    }
}

/// Streams a completion into a response body until it ends or the caller disconnects.
async fn stream_completion(
    shared: &SharedRef,
    call: &Rc<Call>,
    request: &CompletionRequest,
    sender: BodySender,
    head_sender: oneshot::Sender<Result<TargetId, CompletionFailure>>,
) {
    let sender = Rc::new(sender);
    let destination =
        ChunkDestination::Stream { head_sender: Some(head_sender), sender: sender.clone() };
    let mut run = GenerationRun::new(shared, call, request, destination);
    let result = {
        let generate = std::pin::pin!(run.generate());
        let closed = std::pin::pin!(sender.closed());
        match select(generate, closed).await {
            Either::Left((result, _)) => result,
            Either::Right(..) => {
                log::debug!(target: "call", "caller disconnected request={}", call.head.request_id);
                return;
            }
        }
    };
    match (result, run.take_head_sender()) {
        (Err(failure), Some(head_sender)) => {
            let _ = head_sender.send(Err(failure));
            return;
        }
        (Err(CompletionFailure::Error(error)), None) => {
            log::warn!(
                target: "call",
                "completion stream ended early request={} error={error}", call.head.request_id
            );
            send_error_event(&sender, &error, &call.head.request_id).await;
        }
        (Err(CompletionFailure::ClientError(engine_response)), None) => {
            let message =
                format!("the engine refused to resume with status {}", engine_response.status);
            let error = CallError::new(ErrorKind::AnswerTruncated, message);
            send_error_event(&sender, &error, &call.head.request_id).await;
        }
        (Ok(_), _) => {
            let _ = sender.send(sse::encode(None, "[DONE]")).await;
        }
    }
    drop(run);
    if let Ok(sender) = Rc::try_unwrap(sender) {
        sender.finish().await;
    }
}

/// Generation of one call, which may continue on several engines in turn.
struct GenerationRun<'a> {
    shared: &'a SharedRef,
    call: &'a Rc<Call>,
    request: &'a CompletionRequest,
    destination: ChunkDestination,
    generation: Generation,
    /// Targets to avoid: those that failed during this call and those that the caller excluded.
    failed_targets: Vec<TargetId>,
    /// Whether the retry that is exempt from the retry budget after a target crash has been used.
    free_crash_retry_used: bool,
}

impl<'a> GenerationRun<'a> {
    fn new(
        shared: &'a SharedRef,
        call: &'a Rc<Call>,
        request: &'a CompletionRequest,
        destination: ChunkDestination,
    ) -> Self {
        let generation = Generation::default();
        let failed_targets = call.head.avoid_targets.clone();
        Self {
            shared,
            call,
            request,
            destination,
            generation,
            failed_targets,
            free_crash_retry_used: false,
        }
    }

    /// Takes the sender for the response head; `None` if the head was sent or nothing is streamed.
    fn take_head_sender(&mut self) -> Option<oneshot::Sender<Result<TargetId, CompletionFailure>>> {
        match &mut self.destination {
            ChunkDestination::Collect => None,
            ChunkDestination::Stream { head_sender, .. } => head_sender.take(),
        }
    }

    /// Generates the completion, on several engines if necessary, and returns the last target.
    async fn generate(&mut self) -> Result<TargetId, CompletionFailure> {
        let _permit = self.shared.admit(self.call).await?;
        let mut attempts_without_progress = 0;
        for attempt_number in 1..=MAX_RESUMED_ATTEMPTS {
            let tokens_before = self.generation.token_count;
            let attempt = Attempt::start(self.shared, self.call, &self.failed_targets)
                .await
                .map_err(|error| self.call.account_for_earlier_attempts(error))?;
            let target = attempt.target.clone();
            let (reason, message) = match self.attempt_engine(attempt).await? {
                AttemptEnd::Complete => {
                    let features = call_features(self.shared, self.call, self.request);
                    let tokens = u64::from(self.generation.token_count);
                    self.shared.length_predictor.borrow_mut().record(&features, tokens);
                    return Ok(target);
                }
                AttemptEnd::CallerDisconnected => {
                    let message = "the caller closed the connection";
                    return Err(CallError::new(ErrorKind::Internal, message).into());
                }
                AttemptEnd::NotRun => ("not_run", "the target refused the request".to_owned()),
                AttemptEnd::ConnectionBroken { crashed: true, message } => ("crashed", message),
                AttemptEnd::ConnectionBroken { crashed: false, message } => ("broke", message),
                AttemptEnd::Failed(message) => ("failed", message),
            };
            let progress = self.generation.token_count > tokens_before;
            attempts_without_progress = if progress { 0 } else { attempts_without_progress + 1 };
            if attempt_number == MAX_RESUMED_ATTEMPTS
                || attempts_without_progress >= self.shared.options.attempts.max_attempts
            {
                return Err(self.exhausted_error(message).into());
            }
            if !self.may_retry(reason) {
                return Err(self
                    .exhausted_error(format!("no retry budget left; {message}"))
                    .into());
            }
            self.shared.metrics.count_retry(&self.call.pool.name, reason);
            if self.generation.token_count > 0 {
                self.shared.metrics.count_resume(&self.call.pool.name);
            }
            self.failed_targets.push(target);
        }
        Err(self.exhausted_error("too many tries".to_owned()).into())
    }

    /// Returns `true` if another attempt is allowed after one that ended for `reason`.
    ///
    /// A resumed generation repeats no work, so it does not use the retry budget. The first retry
    /// after a target crash does not use it either: all calls in flight at the target retry at the
    /// same time, and a budget proportional to the load would fail most of them. The extra load is
    /// bounded by one retry of each call in flight per crash. A connection that breaks while the
    /// target still listens does use the budget, because an unhealthy target can break connections
    /// indefinitely.
    fn may_retry(&mut self, reason: &str) -> bool {
        match reason {
            "not_run" => true,
            "crashed" if !std::mem::replace(&mut self.free_crash_retry_used, true) => true,
            _ => self.generation.token_count > 0 || self.shared.try_take_retry(self.call),
        }
    }

    /// Returns the error for a call that is not retried. Its kind depends on whether text was
    /// generated or the call may have been executed.
    fn exhausted_error(&self, message: String) -> CallError {
        if self.generation.token_count > 0 {
            CallError::new(ErrorKind::AnswerTruncated, message)
        } else if self.call.may_have_run() {
            CallError::new(ErrorKind::TargetFailed, message)
        } else {
            CallError::new(ErrorKind::TargetRefused, message)
        }
    }

    /// Builds the request to an engine, including the text generated so far.
    fn engine_request(&self, engine_request_id: &str) -> Result<Request<Body>, CallError> {
        let priority = self.call.head.priority.as_str();
        let body =
            Body::full(self.request.engine_body(engine_request_id, priority, &self.generation));
        build_target_request(self.call, Method::POST, "/v1/completions", &json_headers(), body)
    }

    /// Returns the time until which the engine must send data: the idle timeout or the deadline of
    /// the call, whichever is earlier.
    fn idle_deadline(&self) -> Instant {
        let idle = Instant::now() + self.shared.options.attempts.target_idle_timeout;
        idle.min(self.call.head.deadline)
    }

    /// Runs one attempt at an engine. Cancels the request there if the attempt does not complete.
    async fn attempt_engine(
        &mut self,
        mut attempt: Attempt,
    ) -> Result<AttemptEnd, CompletionFailure> {
        let engine_request_id = self.shared.engine_request_id(self.call);
        let request = self.engine_request(&engine_request_id)?;
        let cancel = CancelOnDrop::new(self.shared, self.call, &attempt, engine_request_id.clone());
        let response = match attempt.send(request, self.idle_deadline()).await {
            Ok(response) => response,
            Err(SendError::NotSent(error)) => {
                cancel.disarm();
                attempt.finish(Outcome::Crashed, 0);
                log::debug!(target: "call", "connection to target failed error={error}");
                return Ok(AttemptEnd::NotRun);
            }
            Err(SendError::ConnectionBroken(error)) => {
                let crashed = attempt.finish_broken(&error, 0).await;
                return Ok(AttemptEnd::ConnectionBroken { crashed, message: error.to_string() });
            }
            Err(SendError::TimedOut) => return self.handle_timeout(attempt),
        };
        if let Some(outcome) = refusal_outcome(&response) {
            cancel.disarm();
            attempt.finish(outcome, 0);
            return Ok(AttemptEnd::NotRun);
        }
        if !response.status.is_success() {
            cancel.disarm();
            return self.handle_error_status(attempt, response).await;
        }
        self.call.set_may_have_run();
        let end = self.read_stream(attempt, response, &engine_request_id).await?;
        if matches!(end, AttemptEnd::Complete) {
            cancel.disarm();
        }
        Ok(end)
    }

    /// Ends an attempt that timed out: the call may continue on another engine unless its deadline
    /// has passed.
    fn handle_timeout(&self, attempt: Attempt) -> Result<AttemptEnd, CompletionFailure> {
        attempt.finish(Outcome::TimedOut, 0);
        if Instant::now() < self.call.head.deadline {
            return Ok(AttemptEnd::Failed("the engine sent nothing for too long".to_owned()));
        }
        let message = "the deadline passed while an engine ran the request";
        Err(CallError::new(ErrorKind::DeadlineExceeded, message).into())
    }

    /// Handles a response with an error status: 429 counts as not executed, other 4xx responses go
    /// to the caller, and all others are failures of the engine.
    async fn handle_error_status(
        &mut self,
        attempt: Attempt,
        response: ClientResponse,
    ) -> Result<AttemptEnd, CompletionFailure> {
        let status = response.status;
        let target = attempt.target.clone();
        let headers = response::end_to_end_headers(&response.headers);
        let body =
            match timeout_at(self.idle_deadline(), response.collect(MAX_ERROR_BODY_BYTES)).await {
                Some(Ok(body)) => body,
                _ => Default::default(),
            };
        if status.is_client_error() && status != 429 {
            attempt.finish(Outcome::Ok, 0);
            let body = body.to_vec();
            let engine_response =
                RecordedResponse { status: status.as_u16(), headers, body, target };
            return Err(CompletionFailure::ClientError(Box::new(engine_response)));
        }
        if status == 429 {
            attempt.finish(Outcome::Refused, 0);
            return Ok(AttemptEnd::NotRun);
        }
        self.call.set_may_have_run();
        attempt.finish(Outcome::Failed, 0);
        Ok(AttemptEnd::Failed(format!("the engine answered with status {status}")))
    }

    /// Reads the event stream of an engine and forwards its chunks until the stream ends.
    async fn read_stream(
        &mut self,
        attempt: Attempt,
        response: ClientResponse,
        engine_request_id: &str,
    ) -> Result<AttemptEnd, CompletionFailure> {
        let mut events = EventReader::new(response);
        let mut tokens = 0;
        loop {
            let event = match timeout_at(self.idle_deadline(), events.next()).await {
                None => return self.handle_timeout(attempt),
                Some(Ok(Some(event))) => event,
                Some(Ok(None)) => {
                    return Ok(self.end_without_done_event(attempt, tokens));
                }
                Some(Err(error)) if self.generation.finish_reason.is_some() => {
                    log::debug!(target: "call", "engine stream broke after the last chunk error={error}");
                    return Ok(self.end_without_done_event(attempt, tokens));
                }
                Some(Err(NetError::Decode(message))) => {
                    attempt.finish(Outcome::Failed, tokens);
                    return Ok(AttemptEnd::Failed(message));
                }
                Some(Err(error)) => {
                    let crashed = attempt.finish_broken(&error, tokens).await;
                    return Ok(AttemptEnd::ConnectionBroken {
                        crashed,
                        message: error.to_string(),
                    });
                }
            };
            if event.data == "[DONE]" {
                attempt.finish(Outcome::Ok, tokens);
                return Ok(AttemptEnd::Complete);
            }
            let chunk = match parse_chunk(&event.data, engine_request_id) {
                Ok(chunk) => chunk,
                Err(message) => {
                    attempt.finish(Outcome::Failed, tokens);
                    return Ok(AttemptEnd::Failed(message));
                }
            };
            if chunk.is_cancelled() {
                attempt.finish(Outcome::Failed, tokens);
                return Ok(AttemptEnd::Failed("the engine cancelled the request".to_owned()));
            }
            tokens += u64::from(chunk.token_count);
            self.call.add_tokens(u64::from(chunk.token_count));
            self.generation.add(&chunk);
            if self.generation.text.len() > self.shared.options.body.max_response_bytes {
                let message = "the text is larger than the limit for answers";
                return Err(CallError::new(ErrorKind::AnswerTruncated, message).into());
            }
            if !self.forward_chunk(&attempt.target, chunk).await {
                return Ok(AttemptEnd::CallerDisconnected);
            }
        }
    }

    /// Handles a stream that ended without the `[DONE]` event. The stream is complete if a chunk
    /// with a finish reason was received.
    fn end_without_done_event(&self, attempt: Attempt, tokens: u64) -> AttemptEnd {
        if self.generation.finish_reason.is_some() {
            attempt.finish(Outcome::Ok, tokens);
            return AttemptEnd::Complete;
        }
        attempt.finish(Outcome::Failed, tokens);
        AttemptEnd::Failed("the engine ended the stream early".to_owned())
    }

    /// Forwards a chunk to the caller. Returns `false` if the caller has disconnected.
    async fn forward_chunk(&mut self, target: &str, mut chunk: Chunk) -> bool {
        let ChunkDestination::Stream { head_sender, sender } = &mut self.destination else {
            return true;
        };
        if let Some(head_sender) = head_sender.take() {
            let _ = head_sender.send(Ok(target.to_owned()));
        }
        chunk.id.clone_from(&self.call.head.request_id);
        match serde_json::to_string(&chunk) {
            // The deadline limits how long a caller that stops reading occupies the engine.
            Ok(data) => {
                let send_future = sender.send(sse::encode(None, &data));
                matches!(timeout_at(self.call.head.deadline, send_future).await, Some(Ok(())))
            }
            Err(_) => false,
        }
    }
}

/// Parses a chunk and checks that it belongs to the request that was sent to the engine.
fn parse_chunk(data: &str, engine_request_id: &str) -> Result<Chunk, String> {
    let chunk: Chunk =
        serde_json::from_str(data).map_err(|error| format!("unexpected chunk: {error}"))?;
    if !chunk.id.is_empty() && chunk.id != engine_request_id {
        return Err("the engine sent a chunk of another request".to_owned());
    }
    Ok(chunk)
}
