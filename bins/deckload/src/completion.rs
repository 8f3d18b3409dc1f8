//! Completions, whose text is checked against the text that the engine stand-in generates.

use std::{net::SocketAddr, time::Instant};

use deck_core::error::ErrorBody;
use deck_net::{NetError, sse::EventReader};
use deckstandin::engine_text::generated_text;
use serde::Deserialize;
use serde_json::json;

use crate::{
    Context,
    attempts::{
        CallResult, Outcome, error_result, request_builder, send, with_read_timeout, with_retries,
    },
    plan::{Class, PlannedCall},
};

#[derive(Deserialize)]
struct Chunk {
    id: String,
    choices: Vec<Choice>,
    token_count: u32,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
    finish_reason: Option<String>,
}

/// Content received so far from one stream.
#[derive(Default)]
struct Received {
    text: String,
    token_count: u32,
    first_token: Option<Instant>,
    is_finished: bool,
    has_foreign_chunk: bool,
}

/// Requests a completion, with retries.
pub async fn run(context: &Context, call: &PlannedCall, deadline: Instant) -> CallResult {
    with_retries(context, call, deadline, async |entry| {
        attempt(context, call, entry, deadline).await
    })
    .await
}

async fn attempt(
    context: &Context,
    call: &PlannedCall,
    entry: SocketAddr,
    deadline: Instant,
) -> CallResult {
    let options = &context.options;
    let (priority, tokens) = match call.class {
        Class::Short => ("interactive", options.short_tokens),
        _ => ("batch", options.long_tokens),
    };
    let prompt = format!("{}{}", options.prompt_prefix, call.nonce);
    let body = json!({
        "model": options.model,
        "prompt": prompt,
        "max_tokens": tokens,
        "generate_tokens": tokens,
        "stream": true,
        "request_id": call.nonce,
    });
    let builder =
        request_builder(call, "POST", "/v1/completions", deadline).header("x-priority", priority);
    let response = match send(context, entry, builder, body.to_string(), deadline).await {
        Ok(response) => response,
        Err(result) => return result,
    };
    let mut received = Received::default();
    let mut events = EventReader::new(response);
    match with_read_timeout(deadline, received.read(&mut events, &call.nonce)).await {
        Ok(Some(result)) => result,
        Ok(None) => received.check(&prompt, tokens),
        Err(result) => result,
    }
}

impl Received {
    /// Reads to the end of the stream. Returns the result of the attempt if the stream contains an
    /// error or fails, and `None` if it ends with `[DONE]`.
    async fn read(&mut self, events: &mut EventReader, nonce: &str) -> Option<CallResult> {
        loop {
            let event = match events.next().await {
                Ok(Some(event)) => event,
                Ok(None) | Err(NetError::Body(_)) => {
                    return Some(CallResult::new(Outcome::Truncated, "stream_cut"));
                }
                Err(error) => return Some(CallResult::connection_failed(&error)),
            };
            if event.data == "[DONE]" {
                // Reading to the end of the body returns the connection to the client's pool.
                let _ = events.next().await;
                return None;
            }
            if let Ok(error) = serde_json::from_str::<ErrorBody>(&event.data) {
                // Part of the text may already have been received, so the call is not retried.
                return Some(CallResult { retry_after: None, ..error_result(&error) });
            }
            match serde_json::from_str::<Chunk>(&event.data) {
                Ok(chunk) => self.add(&chunk, nonce),
                Err(error) => return Some(CallResult::new(Outcome::Mismatched, error.to_string())),
            }
        }
    }

    fn add(&mut self, chunk: &Chunk, nonce: &str) {
        self.has_foreign_chunk |= chunk.id != nonce;
        self.token_count += chunk.token_count;
        if chunk.token_count > 0 && self.first_token.is_none() {
            self.first_token = Some(Instant::now());
        }
        for choice in &chunk.choices {
            self.text.push_str(&choice.text);
            self.is_finished |= choice.finish_reason.is_some();
        }
    }

    /// Checks the content of a stream that ended with `[DONE]`.
    fn check(self, prompt: &str, tokens: u32) -> CallResult {
        let result = if self.has_foreign_chunk {
            CallResult::new(Outcome::Mismatched, "foreign_chunk")
        } else if self.text != generated_text(prompt, 0, self.token_count) {
            CallResult::new(Outcome::Mismatched, "other_text")
        } else if !self.is_finished || self.token_count != tokens {
            CallResult::new(Outcome::Truncated, "incomplete_text")
        } else {
            CallResult::new(Outcome::Ok, "200")
        };
        CallResult {
            first_token: self.first_token,
            token_count: u64::from(self.token_count),
            ..result
        }
    }
}
