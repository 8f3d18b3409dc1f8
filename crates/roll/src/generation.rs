//! Client for streaming completions through `deckentry`, the entry daemon of this VM.

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

/// Maximum number of bytes read from an error response.
const MAX_ERROR_BYTES: usize = 64 * 1024;
/// Finish reasons that mean the text is complete.
const COMPLETE_REASONS: &[&str] = &["stop", "length"];
/// Retry delay after a refusal that does not specify one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

quick_error! {
    /// Error of a generation request.
    #[derive(Debug)]
    pub enum GenerationError {
        /// The pool has no capacity now.
        Refused(retry_after: Duration, message: String) {
            display("refused, retry after {} ms: {message}", retry_after.as_millis())
        }
        /// The generation failed; the chunks received before the failure remain valid.
        Failed(message: String) {
            display("{message}")
        }
        /// The request is invalid; a retry succeeds only after a change of the configuration or the
        /// resumed text.
        Rejected(status: u16, message: String) {
            display("status {status}: {message}")
        }
    }
}

impl From<NetError> for GenerationError {
    fn from(error: NetError) -> Self {
        Self::Failed(error.to_string())
    }
}

/// Parameters of a generation request.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// Model served by the job's pool.
    pub model: String,
    /// Organisation that the job belongs to.
    pub organisation: String,
    /// Name of the rollout job.
    pub job: String,
    /// Prompt text.
    pub prompt: String,
    /// Maximum length of the sample in tokens, including the text it resumes from.
    pub max_tokens: u32,
    /// Deadline of the request, relative to its start.
    pub timeout: Duration,
    /// Targets that should not run the request if another target has capacity.
    pub avoid_targets: Vec<TargetId>,
}

/// JSON body of `POST /v1/completions`.
#[derive(Serialize)]
struct CompletionRequestBody<'a> {
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

/// One chunk of a streamed generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GeneratedChunk {
    /// Text of this chunk.
    pub text: String,
    /// Number of tokens in this chunk.
    pub token_count: u32,
    /// Weight version that generated the tokens.
    pub weight_version: WeightVersion,
    /// Whether this is the last chunk.
    pub finished: bool,
}

/// JSON data of one server-sent event of a completion.
#[derive(Deserialize)]
struct CompletionChunkBody {
    choices: Vec<CompletionChoice>,
    #[serde(default)]
    token_count: u32,
    weight_version: WeightVersion,
}

#[derive(Deserialize)]
struct CompletionChoice {
    #[serde(default)]
    text: String,
    #[serde(default)]
    finish_reason: Option<String>,
}

/// A streaming generation; dropping it cancels the request.
pub struct Generation {
    events: EventReader,
    finished: bool,
    /// Target that generates the first chunk.
    target: Option<TargetId>,
}

impl Generation {
    /// Starts a generation that resumes from `resume`.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry daemon does not accept the request.
    pub async fn start(
        client: &Client,
        entry: SocketAddr,
        request: &GenerationRequest,
        resume: &SampleText,
    ) -> Result<Self, GenerationError> {
        let resumed = resume.token_count > 0;
        let body = CompletionRequestBody {
            model: &request.model,
            prompt: &request.prompt,
            max_tokens: request.max_tokens,
            stream: true,
            priority: "rollout",
            resume_text: resumed.then_some(resume.text.as_str()),
            resume_tokens: resumed.then_some(resume.token_count),
        };
        let body = serde_json::to_vec(&body)
            .map_err(|error| GenerationError::Failed(error.to_string()))?;
        let http_request = Request::post("/v1/completions")
            .header(header::CONTENT_TYPE, "application/json")
            .header("X-Organisation", &request.organisation)
            .header("X-Job", &request.job)
            .header("X-Priority", "rollout")
            .header("X-Deadline-Ms", request.timeout.as_millis().to_string())
            .header("X-Request-Id", deck_core::id::random_id())
            .header("X-Avoid-Targets", request.avoid_targets.join(","))
            .body(Body::full(body))
            .map_err(|error| GenerationError::Failed(error.to_string()))?;
        let response = client.send(entry, http_request).await?;
        if response.status != StatusCode::OK {
            return Err(error_from_response(response).await);
        }
        let target = response.headers.get("x-target").and_then(|name| name.to_str().ok());
        let target = target.map(str::to_owned);
        Ok(Self { events: EventReader::new(response), finished: false, target })
    }

    /// Returns the target that generates the first chunk; later chunks may come from another
    /// target.
    pub fn target(&self) -> Option<&TargetId> {
        self.target.as_ref()
    }

    /// Returns the next chunk, or `None` after a complete generation.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream breaks or reports an error.
    pub async fn next(&mut self) -> Result<Option<GeneratedChunk>, GenerationError> {
        let Some(event) = self.events.next().await? else {
            let truncated =
                || GenerationError::Failed("stream ended before its last chunk".to_owned());
            return if self.finished { Ok(None) } else { Err(truncated()) };
        };
        if event.data == "[DONE]" {
            // The remaining body is empty. Reading to its end returns the connection to the pool.
            let _ = self.events.next().await;
            return if self.finished { Ok(None) } else { Err(missing_finish_reason()) };
        }
        let chunk = parse_chunk(&event.data)?;
        self.finished |= chunk.finished;
        Ok(Some(chunk))
    }
}

fn missing_finish_reason() -> GenerationError {
    GenerationError::Failed("stream ended without a finish reason".to_owned())
}

/// Parses one event; an error object or an early end becomes an error.
fn parse_chunk(data: &str) -> Result<GeneratedChunk, GenerationError> {
    let body: CompletionChunkBody = match serde_json::from_str(data) {
        Ok(body) => body,
        Err(error) => {
            return Err(match serde_json::from_str::<ErrorBody>(data) {
                Ok(reported) => GenerationError::Failed(reported.error.message),
                Err(_) => GenerationError::Failed(format!("unexpected chunk: {error}")),
            });
        }
    };
    let Some(choice) = body.choices.into_iter().next() else {
        return Err(GenerationError::Failed("chunk without a choice".to_owned()));
    };
    // An engine that ends a request early for another reason reports it here; the text is then
    // incomplete.
    if let Some(reason) = &choice.finish_reason
        && !COMPLETE_REASONS.contains(&reason.as_str())
    {
        return Err(GenerationError::Failed(format!("engine ended the generation: {reason}")));
    }
    Ok(GeneratedChunk {
        text: choice.text,
        token_count: body.token_count,
        weight_version: body.weight_version,
        finished: choice.finish_reason.is_some(),
    })
}

/// Converts a response with an error status, including its retry delay.
async fn error_from_response(response: ClientResponse) -> GenerationError {
    let status = response.status;
    let header_retry_after = response
        .headers
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    let body = response.collect(MAX_ERROR_BYTES).await.unwrap_or_default();
    let error = serde_json::from_slice::<ErrorBody>(&body).ok().map(|body| body.error);
    let body_retry_after =
        error.as_ref().and_then(|error| error.retry_after_ms).map(Duration::from_millis);
    let error_message = error.map_or_else(|| format!("status {status}"), |error| error.message);
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            // The header has a resolution of whole seconds; the body has milliseconds.
            let retry_after =
                body_retry_after.or(header_retry_after).unwrap_or(DEFAULT_RETRY_AFTER);
            GenerationError::Refused(retry_after, error_message)
        }
        status if status.is_client_error() => {
            GenerationError::Rejected(status.as_u16(), error_message)
        }
        _ => GenerationError::Failed(error_message),
    }
}
