//! Completions: generation with resume on another engine, streamed or collected.

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
    answer::{self, error_response, send_error},
    attempt::{Attempt, SendError, json_headers, refusal, target_request},
    body::until,
    call::Call,
    cancel::CancelOnDrop,
    engine::{Chunk, CompletionRequest, Generation},
    record::RecordedAnswer,
    shared::SharedRef,
};

/// Most tries of a call that keeps making progress. Bounds the work spent on a call whose engines
/// all fail.
const MAX_RESUMED_TRIES: u32 = 16;
/// First bytes of the prompt that decide its affinity.
const AFFINITY_PROMPT_BYTES: usize = 1024;
/// Largest error body of an engine that is passed on.
const MAX_ERROR_BYTES: usize = 64 * 1024;

/// How a call ended without a completion.
pub(crate) enum Failure {
    /// An error of the table.
    Error(CallError),
    /// The engine refused the request as malformed; its answer goes to the caller.
    Answer(Box<RecordedAnswer>),
}

impl From<CallError> for Failure {
    fn from(error: CallError) -> Self {
        Self::Error(error)
    }
}

/// Where chunks go.
enum Output {
    /// Kept until the end.
    Collect,
    /// To the caller, after the head.
    Stream { head: Option<oneshot::Sender<Result<TargetId, Failure>>>, sender: Rc<BodySender> },
}

/// How one try of a generation ended.
enum End {
    /// The generation is complete.
    Complete,
    /// Nothing ran at this target.
    NotRun,
    /// The connection to the target broke.
    Broke { crashed: bool, message: String },
    /// The target failed in another way.
    Failed(String),
    /// The caller is gone.
    CallerGone,
}

/// Adds what the length prediction and the affinity say to a call.
pub(crate) fn prepare(shared: &SharedRef, call: &mut Call, request: &CompletionRequest) {
    let shape = shape(shared, call, request);
    call.expected_tokens = shared.predictor.borrow().predict(&shape).max(1);
    let prefix = &request.prompt.as_bytes()[..request.prompt.len().min(AFFINITY_PROMPT_BYTES)];
    call.affinity = Some(hash64(prefix));
}

fn shape<'a>(
    shared: &SharedRef,
    call: &'a Call,
    request: &'a CompletionRequest,
) -> CallFeatures<'a> {
    let default_tokens = u64::from(shared.options.tries.default_tokens);
    CallFeatures {
        model: &request.model,
        organisation: &call.head.organisation,
        prompt: &request.prompt,
        max_tokens: request.max_tokens.unwrap_or(default_tokens),
    }
}

/// Runs a completion and returns the response to the caller.
pub(crate) async fn run(
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

async fn run_collected(
    shared: &SharedRef,
    call: &Rc<Call>,
    request: &CompletionRequest,
) -> (Response<Body>, &'static str) {
    let mut run = Run::new(shared, call, request, Output::Collect);
    match run.generate().await {
        Ok(target) => {
            let id = &call.head.request_id;
            let completion = run.generation.into_completion(id, &request.model);
            let mut response = deck_net::server::json_response(200, &completion);
            answer::set_request_id(response.headers_mut(), id);
            answer::set_target(response.headers_mut(), &target);
            (response, "ok")
        }
        Err(failure) => failure_response(call, failure),
    }
}

fn failure_response(call: &Call, failure: Failure) -> (Response<Body>, &'static str) {
    let id = &call.head.request_id;
    match failure {
        Failure::Error(error) => (error_response(&error, id), error.kind.row().code),
        Failure::Answer(answer) => (answer::recorded_response(&answer, id), "target_4xx"),
    }
}

async fn run_streamed(
    shared: &SharedRef,
    call: Rc<Call>,
    request: CompletionRequest,
) -> (Response<Body>, &'static str) {
    let (sender, mut response) = sse::event_response();
    let (head_sender, head) = oneshot::channel();
    let id = call.head.request_id.clone();
    let task_call = call.clone();
    let task_shared = shared.clone();
    let task = monoio::spawn(async move {
        // Also counts the request as in flight until its last byte.
        let _in_flight = task_shared.metrics.enter();
        stream(&task_shared, &task_call, &request, sender, head_sender).await;
    });
    // The task goes on by itself; it ends when the caller is gone.
    drop(task);
    match head.await {
        Ok(Ok(target)) => {
            answer::set_request_id(response.headers_mut(), &id);
            answer::set_target(response.headers_mut(), &target);
            (response, "ok")
        }
        Ok(Err(failure)) => failure_response(&call, failure),
        Err(_) => {
            let error = CallError::new(ErrorKind::Internal, "the call ended without a result");
            (error_response(&error, &id), error.kind.row().code)
        }
    }
}

/// Generates into a streamed body until the end or until the caller is gone.
async fn stream(
    shared: &SharedRef,
    call: &Rc<Call>,
    request: &CompletionRequest,
    sender: BodySender,
    head: oneshot::Sender<Result<TargetId, Failure>>,
) {
    let sender = Rc::new(sender);
    let output = Output::Stream { head: Some(head), sender: sender.clone() };
    let mut run = Run::new(shared, call, request, output);
    let result = {
        let generate = std::pin::pin!(run.generate());
        let closed = std::pin::pin!(sender.closed());
        match select(generate, closed).await {
            Either::Left((result, _)) => result,
            Either::Right(..) => {
                log::debug!(target: "call", "caller gone request={}", call.head.request_id);
                return;
            }
        }
    };
    match (result, run.take_head()) {
        (Err(failure), Some(head)) => {
            let _ = head.send(Err(failure));
            return;
        }
        (Err(Failure::Error(error)), None) => {
            log::warn!(
                target: "call",
                "stream cut short request={} error={error}", call.head.request_id
            );
            send_error(&sender, &error, &call.head.request_id).await;
        }
        (Err(Failure::Answer(answer)), None) => {
            let message = format!("the engine refused to resume with status {}", answer.status);
            let error = CallError::new(ErrorKind::AnswerTruncated, message);
            send_error(&sender, &error, &call.head.request_id).await;
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

/// Generation of one call over as many engines as it takes.
struct Run<'a> {
    shared: &'a SharedRef,
    call: &'a Rc<Call>,
    request: &'a CompletionRequest,
    output: Output,
    generation: Generation,
    failed: Vec<TargetId>,
    /// Whether a target broke during this call.
    crashed_before: bool,
}

impl<'a> Run<'a> {
    fn new(
        shared: &'a SharedRef,
        call: &'a Rc<Call>,
        request: &'a CompletionRequest,
        output: Output,
    ) -> Self {
        let generation = Generation::default();
        let failed = call.head.avoid.clone();
        Self { shared, call, request, output, generation, failed, crashed_before: false }
    }

    fn take_head(&mut self) -> Option<oneshot::Sender<Result<TargetId, Failure>>> {
        match &mut self.output {
            Output::Collect => None,
            Output::Stream { head, .. } => head.take(),
        }
    }

    /// Generates to the end and returns the last target.
    async fn generate(&mut self) -> Result<TargetId, Failure> {
        let _permit = self.shared.admit(self.call).await?;
        let mut fruitless_tries = 0;
        for number in 1..=MAX_RESUMED_TRIES {
            let tokens_before = self.generation.token_count;
            let attempt = Attempt::start(self.shared, self.call, &self.failed)
                .await
                .map_err(|error| self.call.truthful(error))?;
            let target = attempt.target.clone();
            let (reason, message) = match self.try_engine(attempt).await? {
                End::Complete => {
                    let shape = shape(self.shared, self.call, self.request);
                    let tokens = u64::from(self.generation.token_count);
                    self.shared.predictor.borrow_mut().record(&shape, tokens);
                    return Ok(target);
                }
                End::CallerGone => {
                    let message = "the caller closed the connection";
                    return Err(CallError::new(ErrorKind::Internal, message).into());
                }
                End::NotRun => ("not_run", "the target refused the request".to_owned()),
                End::Broke { crashed: true, message } => ("crashed", message),
                End::Broke { crashed: false, message } => ("broke", message),
                End::Failed(message) => ("failed", message),
            };
            let progress = self.generation.token_count > tokens_before;
            fruitless_tries = if progress { 0 } else { fruitless_tries + 1 };
            if number == MAX_RESUMED_TRIES || fruitless_tries >= self.shared.options.tries.max_tries
            {
                return Err(self.give_up(message).into());
            }
            if !self.may_try_again(reason) {
                return Err(self.give_up(format!("no retry budget left; {message}")).into());
            }
            self.shared.metrics.retried(&self.call.pool.name, reason);
            if self.generation.token_count > 0 {
                self.shared.metrics.resumed(&self.call.pool.name);
            }
            self.failed.push(target);
        }
        Err(self.give_up("too many tries".to_owned()).into())
    }

    /// Decides on a further try after one that ended for `reason`.
    ///
    /// A resumed generation repeats no work, so it does not take from the retry budget. Neither
    /// does the first try after a target crashed: all calls in flight there need one at the same
    /// moment, and a budget in proportion to the load would fail most of them. This adds at most the
    /// calls in flight once for each crash. A connection that breaks while the target still listens
    /// takes from the budget: an unhealthy target can break connections without end.
    fn may_try_again(&mut self, reason: &str) -> bool {
        match reason {
            "not_run" => true,
            "crashed" if !std::mem::replace(&mut self.crashed_before, true) => true,
            _ => self.generation.token_count > 0 || self.shared.try_take_retry(self.call),
        }
    }

    fn give_up(&self, message: String) -> CallError {
        if self.generation.token_count > 0 {
            CallError::new(ErrorKind::AnswerTruncated, message)
        } else if self.call.may_have_run() {
            CallError::new(ErrorKind::TargetFailed, message)
        } else {
            CallError::new(ErrorKind::TargetRefused, message)
        }
    }

    fn engine_request(&self, id: &str) -> Result<Request<Body>, CallError> {
        let priority = self.call.head.priority.as_str();
        let body = Body::full(self.request.engine_body(id, priority, &self.generation));
        target_request(self.call, Method::POST, "/v1/completions", &json_headers(), body)
    }

    fn idle_deadline(&self) -> Instant {
        let idle = Instant::now() + self.shared.options.tries.target_idle_timeout;
        idle.min(self.call.head.deadline)
    }

    async fn try_engine(&mut self, mut attempt: Attempt) -> Result<End, Failure> {
        let id = self.shared.engine_request_id(self.call);
        let request = self.engine_request(&id)?;
        let cancel = CancelOnDrop::new(self.shared, self.call, &attempt, id.clone());
        let response = match attempt.send(request, self.idle_deadline()).await {
            Ok(response) => response,
            Err(SendError::NotSent(error)) => {
                cancel.disarm();
                attempt.finish(Outcome::Crashed, 0);
                log::debug!(target: "call", "target not reached error={error}");
                return Ok(End::NotRun);
            }
            Err(SendError::Broke(error)) => {
                let crashed = attempt.broke(&error, 0).await;
                return Ok(End::Broke { crashed, message: error.to_string() });
            }
            Err(SendError::TimedOut) => return self.timed_out(attempt),
        };
        if let Some(outcome) = refusal(&response) {
            cancel.disarm();
            attempt.finish(outcome, 0);
            return Ok(End::NotRun);
        }
        if !response.status.is_success() {
            cancel.disarm();
            return self.engine_error(attempt, response).await;
        }
        self.call.set_may_have_run();
        let end = self.read_stream(attempt, response, &id).await?;
        if matches!(end, End::Complete) {
            cancel.disarm();
        }
        Ok(end)
    }

    fn timed_out(&self, attempt: Attempt) -> Result<End, Failure> {
        attempt.finish(Outcome::TimedOut, 0);
        if Instant::now() < self.call.head.deadline {
            return Ok(End::Failed("the engine sent nothing for too long".to_owned()));
        }
        let message = "the deadline passed while an engine ran the request";
        Err(CallError::new(ErrorKind::DeadlineExceeded, message).into())
    }

    /// Decides on an answer with an error status.
    async fn engine_error(
        &mut self,
        attempt: Attempt,
        response: ClientResponse,
    ) -> Result<End, Failure> {
        let status = response.status;
        let target = attempt.target.clone();
        let headers = answer::answer_headers(&response.headers);
        let body = match until(self.idle_deadline(), response.collect(MAX_ERROR_BYTES)).await {
            Some(Ok(body)) => body,
            _ => Default::default(),
        };
        if status.is_client_error() && status != 429 {
            attempt.finish(Outcome::Ok, 0);
            let body = body.to_vec();
            let answer = RecordedAnswer { status: status.as_u16(), headers, body, target };
            return Err(Failure::Answer(Box::new(answer)));
        }
        if status == 429 {
            attempt.finish(Outcome::Refused, 0);
            return Ok(End::NotRun);
        }
        self.call.set_may_have_run();
        attempt.finish(Outcome::Failed, 0);
        Ok(End::Failed(format!("the engine answered with status {status}")))
    }

    async fn read_stream(
        &mut self,
        attempt: Attempt,
        response: ClientResponse,
        id: &str,
    ) -> Result<End, Failure> {
        let mut events = EventReader::new(response);
        let mut tokens = 0;
        loop {
            let event = match until(self.idle_deadline(), events.next()).await {
                None => return self.timed_out(attempt),
                Some(Ok(Some(event))) => event,
                Some(Ok(None)) => {
                    return Ok(self.stream_ended(attempt, tokens));
                }
                Some(Err(error)) if self.generation.finish_reason.is_some() => {
                    log::debug!(target: "call", "stream cut after its last chunk error={error}");
                    return Ok(self.stream_ended(attempt, tokens));
                }
                Some(Err(NetError::Decode(message))) => {
                    attempt.finish(Outcome::Failed, tokens);
                    return Ok(End::Failed(message));
                }
                Some(Err(error)) => {
                    let crashed = attempt.broke(&error, tokens).await;
                    return Ok(End::Broke { crashed, message: error.to_string() });
                }
            };
            if event.data == "[DONE]" {
                attempt.finish(Outcome::Ok, tokens);
                return Ok(End::Complete);
            }
            let chunk = match parse_chunk(&event.data, id) {
                Ok(chunk) => chunk,
                Err(message) => {
                    attempt.finish(Outcome::Failed, tokens);
                    return Ok(End::Failed(message));
                }
            };
            if chunk.is_cancelled() {
                attempt.finish(Outcome::Failed, tokens);
                return Ok(End::Failed("the engine cancelled the request".to_owned()));
            }
            tokens += u64::from(chunk.token_count);
            self.call.add_tokens(u64::from(chunk.token_count));
            self.generation.add(&chunk);
            if self.generation.text.len() > self.shared.options.body.max_answer_bytes {
                let message = "the text is larger than the limit for answers";
                return Err(CallError::new(ErrorKind::AnswerTruncated, message).into());
            }
            if !self.put_out(&attempt.target, chunk).await {
                return Ok(End::CallerGone);
            }
        }
    }

    /// Decides on a stream that ended without `[DONE]`. The last chunk names the reason of the end,
    /// so a stream that has one is whole.
    fn stream_ended(&self, attempt: Attempt, tokens: u64) -> End {
        if self.generation.finish_reason.is_some() {
            attempt.finish(Outcome::Ok, tokens);
            return End::Complete;
        }
        attempt.finish(Outcome::Failed, tokens);
        End::Failed("the engine ended the stream early".to_owned())
    }

    /// Sends a chunk to the caller; returns whether the caller is still there.
    async fn put_out(&mut self, target: &str, mut chunk: Chunk) -> bool {
        let Output::Stream { head, sender } = &mut self.output else { return true };
        if let Some(head) = head.take() {
            let _ = head.send(Ok(target.to_owned()));
        }
        chunk.id.clone_from(&self.call.head.request_id);
        match serde_json::to_string(&chunk) {
            // A caller that stops reading holds a place on the engine until its deadline only.
            Ok(data) => {
                let sent = sender.send(sse::encode(None, &data));
                matches!(until(self.call.head.deadline, sent).await, Some(Ok(())))
            }
            Err(_) => false,
        }
    }
}

/// Reads a chunk and checks that it belongs to the request.
fn parse_chunk(data: &str, id: &str) -> Result<Chunk, String> {
    let chunk: Chunk =
        serde_json::from_str(data).map_err(|error| format!("unexpected chunk: {error}"))?;
    if !chunk.id.is_empty() && chunk.id != id {
        return Err("the engine sent a chunk of another request".to_owned());
    }
    Ok(chunk)
}
