//! Completions, checked against the text that the engine stand-in makes.

use std::{net::SocketAddr, time::Instant};

use deck_core::error::ErrorBody;
use deck_net::{NetError, sse::EventReader};
use deckstandin::engine_text::generated_text;
use serde::Deserialize;
use serde_json::json;

use crate::{
    Load,
    exchange::{Ended, Outcome, error_end, request, send, with_retries, within},
    plan::{Arrival, Class},
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

/// What has been received of one stream.
#[derive(Default)]
struct Received {
    text: String,
    token_count: u32,
    first_token: Option<Instant>,
    is_finished: bool,
    has_foreign_chunk: bool,
}

/// Runs a completion.
pub async fn call(load: &Load, arrival: &Arrival, deadline: Instant) -> Ended {
    with_retries(load, arrival, deadline, async |entry| {
        attempt(load, arrival, entry, deadline).await
    })
    .await
}

async fn attempt(load: &Load, arrival: &Arrival, entry: SocketAddr, deadline: Instant) -> Ended {
    let options = &load.options;
    let (priority, tokens) = match arrival.class {
        Class::Short => ("interactive", options.short_tokens),
        _ => ("batch", options.long_tokens),
    };
    let prompt = format!("{}{}", options.prompt_prefix, arrival.nonce);
    let body = json!({
        "model": options.model,
        "prompt": prompt,
        "max_tokens": tokens,
        "generate_tokens": tokens,
        "stream": true,
        "request_id": arrival.nonce,
    });
    let head = request(arrival, "POST", "/v1/completions", deadline).header("x-priority", priority);
    let response = match send(load, entry, head, body.to_string(), deadline).await {
        Ok(response) => response,
        Err(ended) => return ended,
    };
    let mut received = Received::default();
    let mut events = EventReader::new(response);
    match within(deadline, received.read(&mut events, &arrival.nonce)).await {
        Ok(Some(ended)) => ended,
        Ok(None) => received.judge(&prompt, tokens),
        Err(ended) => ended,
    }
}

impl Received {
    /// Reads to the end of the stream; returns an end if the stream holds an error or breaks.
    async fn read(&mut self, events: &mut EventReader, nonce: &str) -> Option<Ended> {
        loop {
            let event = match events.next().await {
                Ok(Some(event)) => event,
                Ok(None) | Err(NetError::Body(_)) => {
                    return Some(Ended::new(Outcome::Truncated, "stream_cut"));
                }
                Err(error) => return Some(Ended::broken(&error)),
            };
            if event.data == "[DONE]" {
                // Reading the end of the body gives the connection back to the client.
                let _ = events.next().await;
                return None;
            }
            if let Ok(error) = serde_json::from_str::<ErrorBody>(&event.data) {
                // A part of the text has been received, so this caller does not repeat the call.
                return Some(Ended { retry_after: None, ..error_end(&error) });
            }
            match serde_json::from_str::<Chunk>(&event.data) {
                Ok(chunk) => self.add(&chunk, nonce),
                Err(error) => return Some(Ended::new(Outcome::Mismatched, error.to_string())),
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

    /// Judges a stream that ended properly.
    fn judge(self, prompt: &str, tokens: u32) -> Ended {
        let ended = if self.has_foreign_chunk {
            Ended::new(Outcome::Mismatched, "foreign_chunk")
        } else if self.text != generated_text(prompt, 0, self.token_count) {
            Ended::new(Outcome::Mismatched, "other_text")
        } else if !self.is_finished || self.token_count != tokens {
            Ended::new(Outcome::Truncated, "incomplete_text")
        } else {
            Ended::new(Outcome::Ok, "200")
        };
        Ended { first_token: self.first_token, token_count: u64::from(self.token_count), ..ended }
    }
}
