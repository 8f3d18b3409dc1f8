//! Attempts of a call: sending a request, reading the response, and retries through other entries.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_core::error::{ErrorBody, RunState};
use deck_net::{
    Body, ClientResponse, NetError,
    http::{Request, header, request::Builder},
};
use serde::Serialize;

use crate::{Context, plan::PlannedCall};

/// Time after the deadline during which a response is still read. An entry reports an exceeded
/// deadline in its response, which arrives after the deadline.
const READ_GRACE: Duration = Duration::from_secs(2);
/// Delay before a retry after a connection has failed.
pub const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Size limit for a response body; a larger body counts as a failed read.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Result of a call or attempt as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The complete response to this request was received.
    Ok,
    /// The request was refused or not sent, and was not executed.
    NotRun,
    /// The request may have been executed.
    Unknown,
    /// The request was executed and failed.
    Ran,
    /// The response belongs to another request or differs from what the target generated.
    Mismatched,
    /// The response ended early.
    Truncated,
}

/// Result of an attempt, or of a call with all its attempts.
#[derive(Debug, Clone)]
pub struct CallResult {
    /// Result as the caller sees it.
    pub outcome: Outcome,
    /// HTTP status, code of the error body, or the name of a failure that this program detected,
    /// such as `connection_broke`.
    pub code: String,
    /// Delay before the next attempt; `None` if the call must not be retried.
    pub retry_after: Option<Duration>,
    /// When the first token was received.
    pub first_token: Option<Instant>,
    /// Number of tokens received.
    pub token_count: u64,
    /// Number of attempts so far, including this one.
    pub tries: u32,
    /// Whether every attempt reported that the request was not executed.
    pub never_run: bool,
    /// Idempotency key of a booking: a key of the caller or a ticket; `None` for other calls.
    pub key: Option<String>,
}

impl CallResult {
    /// Returns the result of a single attempt that must not be retried.
    pub fn new(outcome: Outcome, code: impl Into<String>) -> Self {
        Self {
            outcome,
            code: code.into(),
            retry_after: None,
            first_token: None,
            token_count: 0,
            tries: 1,
            never_run: outcome == Outcome::NotRun,
            key: None,
        }
    }

    /// Returns the result of an attempt whose connection failed. It may be retried.
    pub fn connection_failed(error: &NetError) -> Self {
        let (outcome, code) = if error.may_have_been_sent() {
            (Outcome::Unknown, "connection_broke")
        } else {
            (Outcome::NotRun, "not_connected")
        };
        Self { retry_after: Some(RECONNECT_DELAY), ..Self::new(outcome, code) }
    }
}

/// Returns a request builder with the headers that all calls send.
pub fn request_builder(call: &PlannedCall, method: &str, path: &str, deadline: Instant) -> Builder {
    let remaining = deadline.saturating_duration_since(Instant::now());
    Request::builder()
        .method(method)
        .uri(path)
        .header("x-organisation", &call.organisation)
        .header("x-deadline-ms", remaining.as_millis().max(1).to_string())
        .header("x-request-id", &call.nonce)
        .header(header::CONTENT_TYPE, "application/json")
}

/// Sends a request and waits for the response head. Returns an error with the result of the attempt
/// if the request fails or the status is not a success.
pub async fn send(
    context: &Context,
    address: SocketAddr,
    builder: Builder,
    body: String,
    deadline: Instant,
) -> Result<ClientResponse, CallResult> {
    let request = builder
        .body(Body::full(body))
        .map_err(|error| CallResult::new(Outcome::NotRun, error.to_string()))?;
    let response = with_read_timeout(deadline, context.client.send(address, request)).await?;
    let response = response.map_err(|error| CallResult::connection_failed(&error))?;
    if response.status.is_success() {
        Ok(response)
    } else {
        Err(read_error_response(response, deadline).await)
    }
}

/// Runs `operation` with a timeout [`READ_GRACE`] after the deadline.
pub async fn with_read_timeout<F: Future>(
    deadline: Instant,
    operation: F,
) -> Result<F::Output, CallResult> {
    let timeout = deadline.saturating_duration_since(Instant::now()) + READ_GRACE;
    monoio::time::timeout(timeout, operation)
        .await
        .map_err(|_| CallResult::new(Outcome::Unknown, "no_answer_in_time"))
}

/// Reads a response whose status is not a success and returns the result of the attempt.
async fn read_error_response(response: ClientResponse, deadline: Instant) -> CallResult {
    let status = response.status;
    let retry_after_header = response
        .headers
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    let bytes = match with_read_timeout(deadline, response.collect(MAX_RESPONSE_BYTES)).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(error)) => return CallResult::connection_failed(&error),
        Err(result) => return result,
    };
    let mut result = match serde_json::from_slice::<ErrorBody>(&bytes) {
        Ok(body) => error_result(&body),
        Err(_) => CallResult::new(Outcome::Ran, status.as_str()),
    };
    result.retry_after = result.retry_after.or(retry_after_header);
    result
}

/// Returns the result of an attempt that was answered with an error body.
pub fn error_result(body: &ErrorBody) -> CallResult {
    let outcome = match body.error.run {
        RunState::NotRun => Outcome::NotRun,
        RunState::Unknown => Outcome::Unknown,
        RunState::Ran => Outcome::Ran,
    };
    let retry_after = body.error.retry_after_ms.map(Duration::from_millis);
    CallResult { retry_after, ..CallResult::new(outcome, &body.error.code) }
}

/// Runs `attempt`, each time through the next entry, until its result has no `retry_after`, the
/// limit of attempts is reached or the deadline would pass before the next one.
pub async fn with_retries<F: AsyncFnMut(SocketAddr) -> CallResult>(
    context: &Context,
    call: &PlannedCall,
    deadline: Instant,
    mut attempt: F,
) -> CallResult {
    let entries = &context.options.entry;
    let mut never_run = true;
    let mut tries = 0;
    loop {
        let entry = entries[(call.first_entry + tries as usize) % entries.len()];
        tries += 1;
        let mut result = attempt(entry).await;
        never_run &= result.outcome == Outcome::NotRun;
        result.tries = tries;
        result.never_run = never_run;
        let Some(delay) = result.retry_after else { return result };
        if tries >= context.options.tries || Instant::now() + delay >= deadline {
            return result;
        }
        monoio::time::sleep(delay).await;
    }
}
