//! One try of a call, and the repetition of tries through other entries.

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

use crate::{Load, plan::Arrival};

/// Time beyond its deadline for which a caller still reads an answer.
const READ_GRACE: Duration = Duration::from_secs(2);
/// Wait of a caller after a broken connection.
pub const RECONNECT_WAIT: Duration = Duration::from_millis(100);
/// Largest answer that is read.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// How a call ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Whole answer to the own request.
    Ok,
    /// Refused and not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran and failed.
    Ran,
    /// The answer belongs to another request or differs from what the target made.
    Mismatched,
    /// The answer ended early.
    Truncated,
}

/// End of a try or of a call.
#[derive(Debug, Clone)]
pub struct Ended {
    /// Outcome.
    pub outcome: Outcome,
    /// HTTP status, code of the error body, or a name for a broken connection.
    pub code: String,
    /// When to try again; `None` if a repeat is of no use.
    pub retry_after: Option<Duration>,
    /// Time of the first token.
    pub first_token: Option<Instant>,
    /// Tokens received.
    pub token_count: u64,
    /// Tries so far.
    pub tries: u32,
    /// Whether all tries said that nothing has run.
    pub never_run: bool,
    /// Key or ticket of a booking.
    pub key: Option<String>,
}

impl Ended {
    /// Returns an end without a repeat.
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

    /// Returns the end of a try whose connection failed.
    pub fn broken(error: &NetError) -> Self {
        let (outcome, code) = if error.may_have_been_sent() {
            (Outcome::Unknown, "connection_broke")
        } else {
            (Outcome::NotRun, "not_connected")
        };
        Self { retry_after: Some(RECONNECT_WAIT), ..Self::new(outcome, code) }
    }
}

/// Returns the beginning of a request with the headers that all calls have.
pub fn request(arrival: &Arrival, method: &str, path: &str, deadline: Instant) -> Builder {
    let remaining = deadline.saturating_duration_since(Instant::now());
    Request::builder()
        .method(method)
        .uri(path)
        .header("x-organisation", &arrival.organisation)
        .header("x-deadline-ms", remaining.as_millis().max(1).to_string())
        .header("x-request-id", &arrival.nonce)
        .header(header::CONTENT_TYPE, "application/json")
}

/// Sends a request and waits for the head of the answer; the error ends the try.
pub async fn send(
    load: &Load,
    address: SocketAddr,
    request: Builder,
    body: String,
    deadline: Instant,
) -> Result<ClientResponse, Ended> {
    let request = request
        .body(Body::full(body))
        .map_err(|error| Ended::new(Outcome::NotRun, error.to_string()))?;
    let response = within(deadline, load.client.send(address, request)).await?;
    let response = response.map_err(|error| Ended::broken(&error))?;
    if response.status.is_success() { Ok(response) } else { Err(refusal(response, deadline).await) }
}

/// Waits until some time after the deadline.
pub async fn within<F: Future>(deadline: Instant, work: F) -> Result<F::Output, Ended> {
    let wait = deadline.saturating_duration_since(Instant::now()) + READ_GRACE;
    monoio::time::timeout(wait, work)
        .await
        .map_err(|_| Ended::new(Outcome::Unknown, "no_answer_in_time"))
}

/// Reads a refusal.
async fn refusal(response: ClientResponse, deadline: Instant) -> Ended {
    let status = response.status;
    let header_wait = response
        .headers
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    let bytes = match within(deadline, response.collect(MAX_ANSWER_BYTES)).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(error)) => return Ended::broken(&error),
        Err(ended) => return ended,
    };
    let mut ended = match serde_json::from_slice::<ErrorBody>(&bytes) {
        Ok(body) => error_end(&body),
        Err(_) => Ended::new(Outcome::Ran, status.as_str()),
    };
    ended.retry_after = ended.retry_after.or(header_wait);
    ended
}

/// Returns the end that an error body describes.
pub fn error_end(body: &ErrorBody) -> Ended {
    let outcome = match body.error.run {
        RunState::NotRun => Outcome::NotRun,
        RunState::Unknown => Outcome::Unknown,
        RunState::Ran => Outcome::Ran,
    };
    let retry_after = body.error.retry_after_ms.map(Duration::from_millis);
    Ended { retry_after, ..Ended::new(outcome, &body.error.code) }
}

/// Repeats `attempt` through one entry after the other until it ends without a time to retry, or
/// the tries or the time run out.
pub async fn with_retries<F: AsyncFnMut(SocketAddr) -> Ended>(
    load: &Load,
    arrival: &Arrival,
    deadline: Instant,
    mut attempt: F,
) -> Ended {
    let entries = &load.options.entry;
    let mut never_run = true;
    let mut tries = 0;
    loop {
        let entry = entries[(arrival.entry + tries as usize) % entries.len()];
        tries += 1;
        let mut ended = attempt(entry).await;
        never_run &= ended.outcome == Outcome::NotRun;
        ended.tries = tries;
        ended.never_run = never_run;
        let Some(wait) = ended.retry_after else { return ended };
        if tries >= load.options.tries || Instant::now() + wait >= deadline {
            return ended;
        }
        monoio::time::sleep(wait).await;
    }
}
