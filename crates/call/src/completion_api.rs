//! Messages of the completions API, between callers, this service and engines.

use deck_core::{
    error::{CallError, ErrorKind},
    id::WeightVersion,
    object::VersionSpan,
};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Generated text in a chunk or a completion.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Choice {
    /// Index of the choice; always 0.
    #[serde(default)]
    pub index: u32,
    /// Generated text.
    #[serde(default)]
    pub text: String,
    /// Reason why the generation ended; absent before the end.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// One chunk of a streamed completion.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Chunk {
    /// Identifier of the request.
    #[serde(default)]
    pub id: String,
    /// Choices; exactly one.
    pub choices: Vec<Choice>,
    /// Number of tokens in the chunk.
    #[serde(default)]
    pub token_count: u32,
    /// Version of the model weights that generated the tokens.
    #[serde(default)]
    pub weight_version: WeightVersion,
}

impl Chunk {
    /// Returns `true` if the engine cancelled the request. The generation resumes on another
    /// engine.
    pub fn is_cancelled(&self) -> bool {
        self.choices.iter().any(|choice| choice.finish_reason.as_deref() == Some("cancelled"))
    }
}

/// Response to a completion that is not streamed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Completion {
    /// Identifier of the completed request.
    pub id: String,
    /// Model that generated the text.
    pub model: String,
    /// Choices; exactly one.
    pub choices: Vec<Choice>,
    /// Number of generated tokens.
    pub token_count: u32,
    /// Weight version of each run of consecutive tokens, in token order.
    pub spans: Vec<VersionSpan>,
}

/// Accumulated output of a generation, possibly from several engines.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Generation {
    /// Generated text.
    pub text: String,
    /// Number of tokens in the text.
    pub token_count: u32,
    /// Weight version of each run of consecutive tokens, in token order.
    pub spans: Vec<VersionSpan>,
    /// Reason why the generation ended; `None` before the end.
    pub finish_reason: Option<String>,
}

impl Generation {
    /// Appends a chunk.
    pub fn add(&mut self, chunk: &Chunk) {
        for choice in &chunk.choices {
            self.text.push_str(&choice.text);
            if choice.finish_reason.is_some() {
                self.finish_reason.clone_from(&choice.finish_reason);
            }
        }
        self.token_count += chunk.token_count;
        if chunk.token_count == 0 {
            return;
        }
        match self.spans.last_mut() {
            Some(span) if span.weight_version == chunk.weight_version => {
                span.token_count += chunk.token_count;
            }
            _ => self.spans.push(VersionSpan {
                weight_version: chunk.weight_version,
                token_count: chunk.token_count,
            }),
        }
    }

    /// Converts the output into a completion response.
    pub fn into_completion(self, id: &str, model: &str) -> Completion {
        let choice = Choice { index: 0, text: self.text, finish_reason: self.finish_reason };
        Completion {
            id: id.to_owned(),
            model: model.to_owned(),
            choices: vec![choice],
            token_count: self.token_count,
            spans: self.spans,
        }
    }
}

/// Completion request of a caller.
#[derive(Debug, Clone, PartialEq)]
pub struct CompletionRequest {
    /// Model, which determines the pool.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of tokens to generate, if given.
    pub max_tokens: Option<u64>,
    /// Whether the response is streamed.
    pub stream: bool,
    /// All fields of the body; unknown ones are passed to the engine unchanged.
    fields: Map<String, Value>,
}

impl CompletionRequest {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller; its message names the invalid field.
    pub fn try_parse(body: &[u8]) -> Result<Self, CallError> {
        let invalid = |message: String| CallError::new(ErrorKind::BadRequest, message);
        let fields: Map<String, Value> = serde_json::from_slice(body)
            .map_err(|error| invalid(format!("the body is not a JSON object: {error}")))?;
        let string_field = |name: &str| match fields.get(name) {
            Some(Value::String(text)) => Ok(text.clone()),
            Some(_) => Err(invalid(format!("field {name}: expected a string"))),
            None => Err(invalid(format!("field {name} is missing"))),
        };
        let (model, prompt) = (string_field("model")?, string_field("prompt")?);
        let max_tokens = match fields.get("max_tokens") {
            None | Some(Value::Null) => None,
            Some(value) => match value.as_u64() {
                Some(tokens @ 1..=1_000_000) => Some(tokens),
                _ => {
                    return Err(invalid(format!(
                        "field max_tokens: {value} is not allowed; expected 1 to 1000000"
                    )));
                }
            },
        };
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(invalid("field stream: expected true or false".to_owned())),
        };
        Ok(Self { model, prompt, max_tokens, stream, fields })
    }

    /// Returns the request body for an engine, which continues after the `generated` text.
    pub fn engine_body(&self, id: &str, priority: &str, generated: &Generation) -> Vec<u8> {
        let mut fields = self.fields.clone();
        fields.insert("stream".to_owned(), Value::Bool(true));
        fields.insert("priority".to_owned(), Value::from(priority));
        fields.insert("request_id".to_owned(), Value::from(id));
        if generated.token_count > 0 {
            // The caller may itself resume an earlier generation, whose text comes first.
            let earlier_text =
                fields.get("resume_text").and_then(Value::as_str).unwrap_or_default();
            let text = format!("{earlier_text}{}", generated.text);
            let earlier_tokens = fields.get("resume_tokens").and_then(Value::as_u64).unwrap_or(0);
            let tokens = earlier_tokens + u64::from(generated.token_count);
            fields.insert("resume_text".to_owned(), Value::from(text));
            fields.insert("resume_tokens".to_owned(), Value::from(tokens));
        }
        serde_json::to_vec(&fields).unwrap_or_default()
    }
}

/// Request body of `POST /v1/cancel`, which makes an engine stop a generation.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CancelRequest {
    /// Identifier of the request to cancel.
    pub request_id: String,
}
