//! Execution of one completion: queue, prefill and decode.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::CancellationToken;
use deck_net::{Body, body::BodySender, http::Response, server::json_response, sse};
use deckstandin::engine_text::{KEY_TOKENS, generated_text, text_key};
use serde::Serialize;
use serde_json::json;
use tokio::sync::oneshot;

use crate::{
    cache::BYTES_PER_TOKEN,
    common::{abort_after_flush, error_response, unit_hash},
    engine::{CompletionRequest, Engine, QueueKey, RunRecord, RunState, TokenRange},
};

/// Number of generated tokens after which the fault `cut_streams` aborts a completion.
const CUT_AFTER_TOKENS: u32 = 5;

/// Chunk of a stream. Without a stream the chunks are collected and joined into one response.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct Chunk {
    id: String,
    choices: [Choice; 1],
    token_count: u32,
    weight_version: u64,
}

/// Generated text of a chunk or response, in the format of the completions API.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct Choice {
    /// Always 0: one text is generated per request.
    index: u32,
    text: String,
    /// `length` or `stop` with the last token; `None` before.
    finish_reason: Option<&'static str>,
}

/// A request being executed. Dropping it before its end records a disconnect.
struct Execution {
    engine: Rc<Engine>,
    request: CompletionRequest,
    cancel: CancellationToken,
    /// Index of the run in the records.
    record_index: usize,
    /// Position of the next token.
    position: u32,
    /// Number of tokens of the complete text.
    end_position: u32,
    /// Whether the fault `cut_streams` aborts this completion.
    is_cut: bool,
}

/// A slot in the batch. Dropping it hands the slot to the next waiting request.
pub struct BatchSlot(Rc<Engine>);

impl Drop for BatchSlot {
    fn drop(&mut self) {
        let next_waiting = self.0.batch.borrow_mut().waiting.pop_first();
        match next_waiting {
            // If that request was dropped, the send fails and returns the slot, whose drop hands it
            // to the following request.
            Some((_, sender)) => drop(sender.send(BatchSlot(self.0.clone()))),
            None => self.0.batch.borrow_mut().running -= 1,
        }
    }
}

/// Runs a request and streams its chunks.
pub async fn run_streamed(engine: Rc<Engine>, request: CompletionRequest, sender: BodySender) {
    let mut execution = Execution::new(engine, request);
    let mut unused_chunks = Vec::new();
    let state = monoio::select! {
        state = execution.run(Some(&sender), &mut unused_chunks) => state,
        () = sender.closed() => RunState::Disconnected,
    };
    execution.record_end(state);
    match state {
        RunState::Finished | RunState::Cancelled => {
            let _ = sender.send(sse::encode(None, "[DONE]")).await;
            sender.finish().await;
        }
        RunState::Cut => abort_after_flush(sender).await,
        _ => {}
    }
}

/// Runs a request and returns its complete text.
pub async fn run_unstreamed(engine: Rc<Engine>, request: CompletionRequest) -> Response<Body> {
    let mut execution = Execution::new(engine, request);
    let mut chunks = Vec::new();
    // If the client disconnects, this future is dropped and `Execution::drop` records that.
    let state = execution.run(None, &mut chunks).await;
    execution.record_end(state);
    if state == RunState::Cut {
        return error_response(500, "planned_error", "broken off");
    }
    let ranges = execution.ranges();
    let text: String = chunks.iter().map(|chunk| chunk.choices[0].text.as_str()).collect();
    let finish_reason = chunks.last().and_then(|chunk| chunk.choices[0].finish_reason);
    let body = json!({
        "id": execution.request.request_id,
        "choices": [Choice { index: 0, text, finish_reason }],
        "token_count": chunks.iter().map(|chunk| chunk.token_count).sum::<u32>(),
        "weight_version": ranges.last().map_or(0, |range| range.weight_version),
        "ranges": ranges,
    });
    json_response(200, &body)
}

impl Execution {
    fn new(engine: Rc<Engine>, request: CompletionRequest) -> Self {
        let cancel = CancellationToken::new();
        engine.cancel_tokens.borrow_mut().insert(request.request_id.clone(), cancel.clone());
        let length = request.generate_tokens.unwrap_or_else(|| draw_length(&engine, &request));
        let end_position = length.min(request.max_tokens).max(request.resume_tokens);
        let record = RunRecord {
            request_id: request.request_id.clone(),
            state: RunState::Waiting,
            ranges: Vec::new(),
        };
        let mut records = engine.records.borrow_mut();
        if request.resume_text != generated_text(&request.prompt, 0, request.resume_tokens) {
            records.resume_mismatches += 1;
        }
        records.runs.push(record);
        let record_index = records.runs.len() - 1;
        drop(records);
        let is_cut = engine.faults.update(|faults| {
            let is_cut = faults.cut_streams > 0;
            faults.cut_streams = faults.cut_streams.saturating_sub(1);
            is_cut
        });
        let position = request.resume_tokens;
        Self { engine, request, cancel, record_index, position, end_position, is_cut }
    }

    async fn run(&mut self, sender: Option<&BodySender>, chunks: &mut Vec<Chunk>) -> RunState {
        let cancel = self.cancel.clone();
        let end_state = cancel.run_until_cancelled(self.run_to_end(sender, chunks)).await;
        if let Some(state) = end_state {
            return state;
        }
        let chunk = self.chunk(String::new(), 0, Some("cancelled"));
        deliver_chunk(chunk, sender, chunks).await;
        RunState::Cancelled
    }

    async fn run_to_end(
        &mut self,
        sender: Option<&BodySender>,
        chunks: &mut Vec<Chunk>,
    ) -> RunState {
        let _slot = self.acquire_slot().await;
        self.set_state(RunState::Running);
        self.crash_on_marker();
        self.prefill().await;
        let mut last_chunk_at = Instant::now();
        if self.position == self.end_position {
            deliver_chunk(self.chunk(String::new(), 0, Some("stop")), sender, chunks).await;
        }
        while self.position < self.end_position {
            let token_time = self.engine.token_time(self.engine.batch.borrow().running);
            let chunk_interval =
                token_time.max(Duration::from_millis(self.engine.options.chunk_ms));
            monoio::time::sleep(chunk_interval).await;
            // The number of tokens follows from the elapsed time, so that the timer's granularity
            // does not change the decode speed.
            let elapsed = Instant::now().saturating_duration_since(last_chunk_at);
            let count = (elapsed.as_secs_f64() / token_time.as_secs_f64()) as u32;
            let count = count.clamp(1, self.end_position - self.position);
            last_chunk_at = Instant::now();
            let chunk = self.generate(count);
            if !deliver_chunk(chunk, sender, chunks).await {
                return RunState::Disconnected;
            }
            if self.is_cut && self.position - self.request.resume_tokens >= CUT_AFTER_TOKENS {
                return RunState::Cut;
            }
        }
        RunState::Finished
    }

    /// Waits for a slot in the batch.
    async fn acquire_slot(&self) -> BatchSlot {
        let engine = &self.engine;
        let slot_receiver = {
            let mut batch = engine.batch.borrow_mut();
            batch.arrival_count += 1;
            if batch.running < engine.options.max_batch {
                batch.running += 1;
                let mut records = engine.records.borrow_mut();
                records.peak_running = records.peak_running.max(batch.running);
                None
            } else {
                let key = QueueKey { rank: self.rank(), sequence: batch.arrival_count };
                let (sender, receiver) = oneshot::channel();
                batch.waiting.insert(key, sender);
                Some(receiver)
            }
        };
        match slot_receiver {
            None => BatchSlot(engine.clone()),
            // A slot that is handed over stays counted in `running`.
            Some(receiver) => match receiver.await {
                Ok(slot) => slot,
                // Unreachable: the queue lives as long as the engine and drops no sender unused.
                Err(_) => std::future::pending().await,
            },
        }
    }

    fn rank(&self) -> i64 {
        match &self.request.priority {
            serde_json::Value::Number(number) => number.as_i64().unwrap_or(1),
            serde_json::Value::String(name) if name == "interactive" => 0,
            serde_json::Value::String(name) if name == "rollout" => 2,
            _ => 1,
        }
    }

    /// Exits the process if the prompt contains the fault's `crash_marker`.
    fn crash_on_marker(&self) {
        let marker = self.engine.faults.get().crash_marker;
        if !marker.is_empty() && self.request.prompt.contains(&marker) {
            log::error!(target: "engine", "injected crash id={}", self.request.request_id);
            std::process::exit(101);
        }
    }

    /// Waits for the time of computing the uncached prompt tokens and the resumed tokens.
    async fn prefill(&self) {
        let lookup = self.engine.cache.borrow_mut().look_up_and_store(&self.request.prompt);
        self.engine.records.borrow_mut().cached_prompt_tokens += lookup.cached_tokens as u64;
        self.engine.publish_cache_events(lookup.events);
        let prompt_tokens = self.request.prompt.len() / BYTES_PER_TOKEN;
        let computed_tokens = prompt_tokens.saturating_sub(lookup.cached_tokens) as f64
            + f64::from(self.request.resume_tokens);
        let seconds =
            computed_tokens * self.engine.slow_factor() / self.engine.options.prefill_tokens_per_s;
        monoio::time::sleep(Duration::from_secs_f64(seconds)).await;
    }

    /// Generates and records the next `count` tokens.
    fn generate(&mut self, count: u32) -> Chunk {
        let (from, to) = (self.position, self.position + count);
        self.position = to;
        let weight_version = self.engine.state.borrow().weight_version;
        let range = TokenRange { weight_version, from, to };
        // Recorded before the chunk is sent, so that a receiver never has unrecorded tokens.
        self.engine.journal.write(&json!({ "tokens": {
            "request_id": self.request.request_id,
            "text_key": text_key(&generated_text(&self.request.prompt, 0, KEY_TOKENS)),
            "weight_version": weight_version,
            "from": from,
            "to": to,
        }}));
        let mut records = self.engine.records.borrow_mut();
        *records.tokens_by_version.entry(weight_version).or_default() += u64::from(count);
        append_range(&mut records.runs[self.record_index].ranges, range);
        drop(records);
        let finish_reason = (to == self.end_position).then_some(if to == self.request.max_tokens {
            "length"
        } else {
            "stop"
        });
        self.chunk(generated_text(&self.request.prompt, from, to), count, finish_reason)
    }

    fn chunk(&self, text: String, token_count: u32, finish_reason: Option<&'static str>) -> Chunk {
        Chunk {
            id: self.request.request_id.clone(),
            choices: [Choice { index: 0, text, finish_reason }],
            token_count,
            weight_version: self.engine.state.borrow().weight_version,
        }
    }

    fn ranges(&self) -> Vec<TokenRange> {
        self.engine.records.borrow().runs[self.record_index].ranges.clone()
    }

    fn set_state(&self, state: RunState) {
        self.engine.records.borrow_mut().runs[self.record_index].state = state;
    }

    /// Records how the execution ended.
    fn record_end(&self, state: RunState) {
        self.set_state(state);
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        self.engine.cancel_tokens.borrow_mut().remove(&self.request.request_id);
        let mut records = self.engine.records.borrow_mut();
        let state = &mut records.runs[self.record_index].state;
        if matches!(state, RunState::Waiting | RunState::Running) {
            *state = RunState::Disconnected;
        }
    }
}

/// Sends a chunk, or adds it to `chunks` if there is no stream. Returns `false` if the client has
/// disconnected.
async fn deliver_chunk(chunk: Chunk, sender: Option<&BodySender>, chunks: &mut Vec<Chunk>) -> bool {
    match sender {
        Some(sender) => {
            let data = serde_json::to_string(&chunk).unwrap_or_default();
            sender.send(sse::encode(None, &data)).await.is_ok()
        }
        None => {
            chunks.push(chunk);
            true
        }
    }
}

/// Draws the length of a text from a Pareto distribution, using the hash of the prompt as the
/// random number.
fn draw_length(engine: &Engine, request: &CompletionRequest) -> u32 {
    let options = &engine.options;
    let draw = unit_hash(options.seed, request.prompt.as_bytes());
    let length = f64::from(options.min_tokens) / (1.0 - draw).powf(1.0 / options.length_exponent);
    length as u32
}

/// Appends a range, or extends the last one if it has the same version and is adjacent.
fn append_range(ranges: &mut Vec<TokenRange>, range: TokenRange) {
    match ranges.last_mut() {
        Some(last) if last.weight_version == range.weight_version && last.to == range.from => {
            last.to = range.to;
        }
        _ => ranges.push(range),
    }
}
