//! Streams of generated tokens from the local `deckentry`.

use std::{net::SocketAddr, time::Duration};

use deck_core::{
    error::ErrorBody,
    id::{TargetId, WeightVersion},
};
use deck_net::{
    Body, Client, ClientResponse, NetError,
    http::{Request, StatusCode, header},
    sse::EventReader,
};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::sample::SampleText;

/// Largest error body that is read.
const MAX_ERROR_BYTES: usize = 64 * 1024;
/// Finish reasons of a complete text.
const COMPLETE_REASONS: &[&str] = &["stop", "length"];
/// Wait after a refusal that names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

quick_error! {
    /// Error of a generation.
    #[derive(Debug)]
    pub enum GenerateError {
        /// The pool has no room now.
        Refused(retry_after: Duration, message: String) {
            display("refused, retry after {} ms: {message}", retry_after.as_millis())
        }
        /// The generation failed; what came before remains valid.
        Failed(message: String) {
            display("{message}")
        }
        /// The request itself is not accepted; a repeat needs a change elsewhere.
        Rejected(status: u16, message: String) {
            display("status {status}: {message}")
        }
    }
}

impl From<NetError> for GenerateError {
    fn from(error: NetError) -> Self {
        Self::Failed(error.to_string())
    }
}

/// What a generation is asked for.
#[derive(Debug, Clone)]
pub struct GenerateRequest {
    /// Model of the job's pool.
    pub model: String,
    /// Organisation of the job.
    pub organisation: String,
    /// The job.
    pub job: String,
    /// The prompt.
    pub prompt: String,
    /// Upper bound on all tokens of the sample, those of `resume` included.
    pub max_tokens: u32,
    /// Time limit.
    pub limit: Duration,
    /// Targets that should not run it if others take work.
    pub avoid: Vec<TargetId>,
}

#[derive(Serialize)]
struct RequestBody<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
    priority: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    resume_text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    resume_tokens: Option<u32>,
}

/// One piece of a generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Text.
    pub text: String,
    /// Tokens in this piece.
    pub token_count: u32,
    /// Version that made them.
    pub weight_version: WeightVersion,
    /// Whether the generation is complete with this piece.
    pub finished: bool,
}

#[derive(Deserialize)]
struct ChunkBody {
    choices: Vec<Choice>,
    #[serde(default)]
    token_count: u32,
    weight_version: WeightVersion,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    #[serde(default)]
    finish_reason: Option<String>,
}

/// A running generation; dropping it cancels it.
pub struct Generation {
    events: EventReader,
    finished: bool,
    /// Target that made the first piece.
    target: Option<TargetId>,
}

impl Generation {
    /// Starts a generation that continues `resume`.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not accept the request.
    pub async fn start(
        client: &Client,
        entry: SocketAddr,
        request: &GenerateRequest,
        resume: &SampleText,
    ) -> Result<Self, GenerateError> {
        let resumed = resume.token_count > 0;
        let body = RequestBody {
            model: &request.model,
            prompt: &request.prompt,
            max_tokens: request.max_tokens,
            stream: true,
            priority: "rollout",
            resume_text: resumed.then_some(resume.text.as_str()),
            resume_tokens: resumed.then_some(resume.token_count),
        };
        let body =
            serde_json::to_vec(&body).map_err(|error| GenerateError::Failed(error.to_string()))?;
        let http_request = Request::post("/v1/completions")
            .header(header::CONTENT_TYPE, "application/json")
            .header("X-Organisation", &request.organisation)
            .header("X-Job", &request.job)
            .header("X-Priority", "rollout")
            .header("X-Deadline-Ms", request.limit.as_millis().to_string())
            .header("X-Request-Id", deck_core::id::random_id())
            .header("X-Avoid-Targets", request.avoid.join(","))
            .body(Body::full(body))
            .map_err(|error| GenerateError::Failed(error.to_string()))?;
        let response = client.send(entry, http_request).await?;
        if response.status != StatusCode::OK {
            return Err(refusal(response).await);
        }
        let target = response.headers.get("x-target").and_then(|name| name.to_str().ok());
        let target = target.map(str::to_owned);
        Ok(Self { events: EventReader::new(response), finished: false, target })
    }

    /// Returns the target that makes the first piece; a later one may come from another target.
    pub fn target(&self) -> Option<&TargetId> {
        self.target.as_ref()
    }

    /// Returns the next piece; `None` after the proper end.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream breaks or reports one.
    pub async fn next(&mut self) -> Result<Option<Chunk>, GenerateError> {
        let Some(event) = self.events.next().await? else {
            let cut = || GenerateError::Failed("stream ended before its last chunk".to_owned());
            return if self.finished { Ok(None) } else { Err(cut()) };
        };
        if event.data == "[DONE]" {
            // The rest of the body is empty; reading its end gives the connection back.
            let _ = self.events.next().await;
            return if self.finished { Ok(None) } else { Err(no_reason()) };
        }
        let chunk = parse_chunk(&event.data)?;
        self.finished |= chunk.finished;
        Ok(Some(chunk))
    }
}

fn no_reason() -> GenerateError {
    GenerateError::Failed("stream ended without a finish reason".to_owned())
}

fn parse_chunk(data: &str) -> Result<Chunk, GenerateError> {
    let body: ChunkBody = match serde_json::from_str(data) {
        Ok(body) => body,
        Err(error) => {
            return Err(match serde_json::from_str::<ErrorBody>(data) {
                Ok(reported) => GenerateError::Failed(reported.error.message),
                Err(_) => GenerateError::Failed(format!("unexpected chunk: {error}")),
            });
        }
    };
    let Some(choice) = body.choices.into_iter().next() else {
        return Err(GenerateError::Failed("chunk without a choice".to_owned()));
    };
    // An engine that ends a request by order says so in the reason; the text is not complete.
    if let Some(reason) = &choice.finish_reason
        && !COMPLETE_REASONS.contains(&reason.as_str())
    {
        return Err(GenerateError::Failed(format!("engine ended the generation: {reason}")));
    }
    Ok(Chunk {
        text: choice.text,
        token_count: body.token_count,
        weight_version: body.weight_version,
        finished: choice.finish_reason.is_some(),
    })
}

async fn refusal(response: ClientResponse) -> GenerateError {
    let status = response.status;
    let header_s = response
        .headers
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    let body = response.collect(MAX_ERROR_BYTES).await.unwrap_or_default();
    let error = serde_json::from_slice::<ErrorBody>(&body).ok().map(|body| body.error);
    let body_ms = error.as_ref().and_then(|error| error.retry_after_ms).map(Duration::from_millis);
    let message = error.map_or_else(|| format!("status {status}"), |error| error.message);
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            // The header counts in whole seconds; the body is more precise.
            let retry_after = body_ms.or(header_s).unwrap_or(DEFAULT_RETRY_AFTER);
            GenerateError::Refused(retry_after, message)
        }
        status if status.is_client_error() => GenerateError::Rejected(status.as_u16(), message),
        _ => GenerateError::Failed(message),
    }
}
