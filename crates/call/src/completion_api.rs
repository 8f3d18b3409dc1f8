//! Messages of the completions interface.

use deck_core::{
    error::{CallError, ErrorKind},
    id::WeightVersion,
    object::VersionSpan,
};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// One choice of a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Choice {
    /// Index of the choice; always 0.
    #[serde(default)]
    pub index: u32,
    /// Text of the chunk.
    #[serde(default)]
    pub text: String,
    /// Why the generation ended; absent before the end.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// One chunk of a streamed completion.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Chunk {
    /// Request to which the chunk belongs.
    #[serde(default)]
    pub id: String,
    /// Choices; exactly one.
    pub choices: Vec<Choice>,
    /// Tokens of this chunk.
    #[serde(default)]
    pub token_count: u32,
    /// Weight version that made these tokens.
    #[serde(default)]
    pub weight_version: WeightVersion,
}

impl Chunk {
    /// Returns whether the engine gave the request up. Its text goes on elsewhere.
    pub fn is_cancelled(&self) -> bool {
        self.choices.iter().any(|choice| choice.finish_reason.as_deref() == Some("cancelled"))
    }
}

/// Collected answer to a completion.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Completion {
    /// Request to which the answer belongs.
    pub id: String,
    /// Model.
    pub model: String,
    /// Choices; exactly one.
    pub choices: Vec<Choice>,
    /// Tokens of the whole answer.
    pub token_count: u32,
    /// Weight versions that made the tokens, in order.
    pub spans: Vec<VersionSpan>,
}

/// Text generated so far.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Generation {
    /// The text.
    pub text: String,
    /// Tokens of the text.
    pub token_count: u32,
    /// Weight versions that made the tokens, in order.
    pub spans: Vec<VersionSpan>,
    /// Why the generation ended; `None` before the end.
    pub finish_reason: Option<String>,
}

impl Generation {
    /// Adds a chunk.
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

    /// Returns the collected answer.
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

/// Request of a caller for a completion.
#[derive(Debug, Clone, PartialEq)]
pub struct CompletionRequest {
    /// Model; determines the pool.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Upper bound on generated tokens, if the caller gives one.
    pub max_tokens: Option<u64>,
    /// Whether the caller wants the answer token by token.
    pub stream: bool,
    /// Whole body; fields that cowslipdeck does not know go to the engine as they are.
    fields: Map<String, Value>,
}

impl CompletionRequest {
    /// Reads a body.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller receives; its message names the field.
    pub fn try_parse(body: &[u8]) -> Result<Self, CallError> {
        let bad = |message: String| CallError::new(ErrorKind::BadRequest, message);
        let fields: Map<String, Value> = serde_json::from_slice(body)
            .map_err(|error| bad(format!("the body is not a JSON object: {error}")))?;
        let text = |name: &str| match fields.get(name) {
            Some(Value::String(text)) => Ok(text.clone()),
            Some(_) => Err(bad(format!("field {name}: expected a string"))),
            None => Err(bad(format!("field {name} is missing"))),
        };
        let (model, prompt) = (text("model")?, text("prompt")?);
        let max_tokens = match fields.get("max_tokens") {
            None | Some(Value::Null) => None,
            Some(value) => match value.as_u64() {
                Some(tokens @ 1..=1_000_000) => Some(tokens),
                _ => {
                    return Err(bad(format!(
                        "field max_tokens: {value} is not allowed; expected 1 to 1000000"
                    )));
                }
            },
        };
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(bad("field stream: expected true or false".to_owned())),
        };
        Ok(Self { model, prompt, max_tokens, stream, fields })
    }

    /// Returns the body for an engine, which continues after `so_far`.
    pub fn engine_body(&self, id: &str, priority: &str, so_far: &Generation) -> Vec<u8> {
        let mut fields = self.fields.clone();
        fields.insert("stream".to_owned(), Value::Bool(true));
        fields.insert("priority".to_owned(), Value::from(priority));
        fields.insert("request_id".to_owned(), Value::from(id));
        if so_far.token_count > 0 {
            // A caller may itself continue an earlier generation; its part comes first.
            let earlier_text =
                fields.get("resume_text").and_then(Value::as_str).unwrap_or_default();
            let text = format!("{earlier_text}{}", so_far.text);
            let earlier_tokens = fields.get("resume_tokens").and_then(Value::as_u64).unwrap_or(0);
            let tokens = earlier_tokens + u64::from(so_far.token_count);
            fields.insert("resume_text".to_owned(), Value::from(text));
            fields.insert("resume_tokens".to_owned(), Value::from(tokens));
        }
        serde_json::to_vec(&fields).unwrap_or_default()
    }
}

/// Order to cancel a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CancelRequest {
    /// The request.
    pub request_id: String,
}
