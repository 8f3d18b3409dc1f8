//! Stand-in for a model engine with continuous batching: options, state and endpoints.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use bpaf::Bpaf;
use deck_core::CancellationToken;
use deck_net::{Body, Client, body::BodySender, http::Response, server::json_response, sse};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::{broadcast, oneshot};

use crate::{
    cache::{CacheEvent, PrefixCache},
    common::{
        Call, FaultCell, Journal, StandinError, error_response, not_found, serve, unit_hash,
        with_header,
    },
    engine_order::{EngineState, OrderRecord, handle_order},
    engine_run,
};

/// Capacity of the event channel; a reader that falls further behind loses the oldest events.
const CACHE_EVENT_BACKLOG: usize = 1024;

// Command line of `deckstandin engine`: address, model, speeds and delays of the engine, and the
// draws of text lengths and lost cache events.
/// Options of an engine.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub struct EngineOptions {
    /// Address to listen on; port 0 takes a free port.
    #[bpaf(argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// Model.
    #[bpaf(argument("NAME"), fallback("m".to_owned()))]
    pub model: String,
    /// Weight version at the start.
    #[bpaf(argument("VERSION"), fallback(1))]
    pub version: u64,
    // Maximum number of requests that decode at the same time; further ones wait in the queue.
    /// Requests that decode at the same time.
    #[bpaf(argument("N"), fallback(8))]
    pub max_batch: usize,
    /// Decode speed of a request that runs alone.
    #[bpaf(argument("N"), fallback(200.0))]
    pub tokens_per_s: f64,
    /// Decode time added by each further request of the batch, in percent.
    #[bpaf(argument("PERCENT"), fallback(5.0))]
    pub batch_slowdown_percent: f64,
    /// Speed of computing the prompt.
    #[bpaf(argument("N"), fallback(10_000.0))]
    pub prefill_tokens_per_s: f64,
    /// Prompt tokens that the prefix cache holds.
    #[bpaf(argument("N"), fallback(100_000))]
    pub prefix_cache_tokens: usize,
    /// Shortest generation.
    #[bpaf(argument("N"), fallback(20))]
    pub min_tokens: u32,
    /// Exponent of the Pareto distribution of lengths; smaller is heavier-tailed.
    #[bpaf(argument("N"), fallback(1.3))]
    pub length_exponent: f64,
    /// Seed of lengths and cache event gaps.
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Time between chunks; a chunk holds the tokens made since the last one.
    #[bpaf(argument("MS"), fallback(10))]
    pub chunk_ms: u64,
    /// Age that a load report has at least once it is served.
    #[bpaf(argument("MS"), fallback(500))]
    pub load_lag_ms: u64,
    /// Delay of cache events.
    #[bpaf(argument("MS"), fallback(200))]
    pub cache_event_lag_ms: u64,
    /// Probability that a cache event is lost.
    #[bpaf(argument("P"), fallback(0.05))]
    pub cache_event_loss: f64,
    /// Ignore fencing numbers instead of refusing stale ones.
    pub ignore_fencing: bool,
    /// Time of a stage or load order, in addition to the download.
    #[bpaf(argument("MS"), fallback(200))]
    pub stage_ms: u64,
    /// Time of a switch order.
    #[bpaf(argument("MS"), fallback(50))]
    pub switch_ms: u64,
    /// Weight store from which staged versions are downloaded; without it nothing is downloaded.
    #[bpaf(argument("IP:PORT"), optional)]
    pub weights: Option<SocketAddr>,
    /// File to which tokens and orders are appended, so that a crashed engine leaves its record.
    #[bpaf(argument("FILE"), optional)]
    pub journal: Option<PathBuf>,
}

/// Injected faults of an engine, set by `POST /admin/faults`.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// `true` makes the process exit as soon as the faults are set.
    pub crash: bool,
    /// The process exits when a request whose prompt contains this text starts to run. Empty: no
    /// crash.
    pub crash_marker: String,
    /// Factor by which all decode and prefill times are multiplied.
    pub slow_factor: f64,
    /// Duration of `slow_factor` after the faults were set; 0 means until they are set again.
    pub slow_ms: u64,
    /// Number of next stage, load or switch orders that fail partway.
    pub fail_swaps: u32,
    /// Number of next completions that are refused with `X-Not-Run: 1`.
    pub refuse: u32,
    /// All completions are refused with `X-Leaving: 1`.
    pub leaving: bool,
    /// Number of next completions that are aborted after a few tokens.
    pub cut_streams: u32,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            crash: false,
            crash_marker: String::new(),
            slow_factor: 1.0,
            slow_ms: 0,
            fail_swaps: 0,
            refuse: 0,
            leaving: false,
            cut_streams: 0,
        }
    }
}

/// Body of `POST /v1/completions`.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct CompletionRequest {
    /// Requested model; the request is refused if another model is loaded.
    pub model: String,
    /// Text from which the generated text and its length are derived.
    pub prompt: String,
    /// Maximum number of tokens of the complete text, including the resumed part.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the response is an event stream.
    #[serde(default)]
    pub stream: bool,
    /// `interactive` (0), `batch` (1), `rollout` (2) or a number; lower numbers run first.
    #[serde(default)]
    pub priority: serde_json::Value,
    /// Identifier of the request in the records and in `POST /v1/cancel`.
    #[serde(default)]
    pub request_id: String,
    /// Text that another engine has already generated.
    #[serde(default)]
    pub resume_text: String,
    /// Number of tokens in `resume_text`.
    #[serde(default)]
    pub resume_tokens: u32,
    /// Exact number of tokens of the complete text, for tests; derived from the prompt if absent.
    #[serde(default)]
    pub generate_tokens: Option<u32>,
}

fn default_max_tokens() -> u32 {
    4096
}

/// State of one execution of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// Waiting in the queue.
    Waiting,
    /// In a slot of the batch.
    Running,
    /// All tokens were generated.
    Finished,
    /// Ended by `POST /v1/cancel`.
    Cancelled,
    /// The client disconnected before the end.
    Disconnected,
    /// The fault `cut_streams` aborted the response after a few tokens.
    Cut,
}

/// Consecutive tokens `from..to` of a text that one weight version generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub struct TokenRange {
    /// Weight version that generated the tokens.
    pub weight_version: u64,
    /// Position of the first token.
    pub from: u32,
    /// Position after the last token.
    pub to: u32,
}

/// Record of one execution of a request.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct RunRecord {
    /// Identifier given by the client.
    pub request_id: String,
    /// Current state, or how the execution ended.
    pub state: RunState,
    /// Generated tokens in order, without the resumed part.
    pub ranges: Vec<TokenRange>,
}

#[derive(Debug, Clone)]
#[derive(Deserialize)]
struct CancelRequest {
    request_id: String,
}

/// Records of an engine, returned by `GET /admin/records`.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub struct EngineRecords {
    /// All executions, in order of arrival.
    pub runs: Vec<RunRecord>,
    /// Number of generated tokens by weight version.
    pub tokens_by_version: BTreeMap<u64, u64>,
    /// All received orders, in order of arrival.
    pub orders: Vec<OrderRecord>,
    /// Maximum number of requests in the batch at the same time.
    pub peak_running: usize,
    /// Number of resumed requests whose `resume_text` differs from the text that this engine would
    /// have generated.
    pub resume_mismatches: u64,
    /// Prompt tokens that needed no prefill because they were cached.
    pub cached_prompt_tokens: u64,
    /// Number of completions refused by a fault or because the engine is drained.
    pub refused: u64,
}

/// Order of the queue: by rank, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// Rank of the priority; lower ranks run first.
    pub rank: i64,
    /// Arrival number of the request.
    pub sequence: u64,
}

/// Batch and the queue of requests that wait for a slot in it.
#[derive(Default)]
pub struct Batch {
    /// Number of occupied slots in the batch.
    pub running: usize,
    /// Waiting requests; the sender hands a free slot to the request.
    pub waiting: BTreeMap<QueueKey, oneshot::Sender<engine_run::BatchSlot>>,
    /// Number of requests received so far.
    pub arrival_count: u64,
}

impl Batch {
    /// Returns the number of waiting requests whose client is still connected.
    fn waiting_count(&self) -> usize {
        self.waiting.values().filter(|sender| !sender.is_closed()).count()
    }
}

/// Response to `GET /v1/state`.
#[derive(Serialize)]
struct StateReport<'a> {
    #[serde(flatten)]
    state: &'a EngineState,
    /// Number of running and waiting requests.
    running: usize,
}

/// Numbers of running and waiting requests at one point in time.
#[derive(Debug, Clone, Copy)]
struct LoadSnapshot {
    taken_at: Instant,
    running: usize,
    waiting: usize,
}

/// State that all connections of an engine share.
pub struct Engine {
    /// Command-line options.
    pub options: EngineOptions,
    /// Injected faults.
    pub faults: FaultCell<EngineFaults>,
    /// Model, weight version, role and fencing number, as reported by `GET /v1/state`.
    pub state: RefCell<EngineState>,
    /// Number of running requests, and the queue of waiting ones.
    pub batch: RefCell<Batch>,
    /// Prefix cache of the prompts.
    pub cache: RefCell<PrefixCache>,
    /// Sends each cache event to all readers of `GET /v1/cache_events`, which delay it by
    /// `cache_event_lag_ms`.
    pub cache_events: broadcast::Sender<CacheEvent>,
    /// Cancellation tokens of running and waiting requests by request id.
    pub cancel_tokens: RefCell<HashMap<String, CancellationToken>>,
    /// Content of `GET /admin/records`.
    pub records: RefCell<EngineRecords>,
    /// Journal of tokens and orders.
    pub journal: Journal,
    /// HTTP client for downloads from the weight store.
    pub client: Client,
    /// Snapshot that `GET /v1/load` reports.
    load_snapshot: Cell<LoadSnapshot>,
}

/// Runs the stand-in until a stop signal.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or the journal cannot be opened.
pub async fn run(options: EngineOptions) -> Result<(), StandinError> {
    let engine = Rc::new(Engine {
        faults: FaultCell::default(),
        state: RefCell::new(EngineState::new(&options.model, options.version)),
        batch: RefCell::default(),
        cache: RefCell::new(PrefixCache::new(options.prefix_cache_tokens)),
        cache_events: broadcast::channel(CACHE_EVENT_BACKLOG).0,
        cancel_tokens: RefCell::default(),
        records: RefCell::default(),
        journal: Journal::try_open(options.journal.as_deref())?,
        client: Client::default(),
        load_snapshot: Cell::new(LoadSnapshot { taken_at: Instant::now(), running: 0, waiting: 0 }),
        options,
    });
    monoio::spawn(refresh_load(engine.clone()));
    serve(engine.options.listen, engine.clone(), handle).await
}

async fn handle(engine: Rc<Engine>, call: Call) -> Response<Body> {
    match (call.method.as_str(), call.path_segments().as_slice()) {
        ("POST", ["admin", "faults"]) => {
            let response = engine.faults.patch(&call);
            if engine.faults.get().crash {
                log::error!(target: "engine", "injected crash");
                std::process::exit(101);
            }
            response
        }
        ("GET", ["admin", "records"]) => json_response(200, &*engine.records.borrow()),
        ("POST", ["v1", "completions"]) => handle_completion(engine, call).await,
        ("POST", ["v1", "cancel"]) => match call.json::<CancelRequest>() {
            Ok(request) => engine.cancel(&request.request_id),
            Err(response) => response,
        },
        ("GET", ["v1", "load"]) => engine.load_report(Instant::now()),
        ("GET", ["v1", "state"]) => engine.state_report(),
        ("GET", ["v1", "cache_events"]) => {
            let (sender, response) = sse::event_stream_response();
            monoio::spawn(send_cache_events(engine, sender));
            response
        }
        ("POST", ["v1", "order"]) => handle_order(&engine, &call),
        _ => not_found(&call),
    }
}

async fn handle_completion(engine: Rc<Engine>, call: Call) -> Response<Body> {
    let request: CompletionRequest = match call.json() {
        Ok(request) => request,
        Err(response) => return response,
    };
    if let Some(refusal) = engine.refusal(&request) {
        return refusal;
    }
    if request.stream {
        let (sender, response) = sse::event_stream_response();
        monoio::spawn(engine_run::run_streamed(engine, request, sender));
        response
    } else {
        engine_run::run_unstreamed(engine, request).await
    }
}

impl Engine {
    /// Returns the response to send if a completion is refused.
    fn refusal(&self, request: &CompletionRequest) -> Option<Response<Body>> {
        let (refused, leaving) = self.faults.update(|faults| {
            let refused = faults.refuse > 0;
            faults.refuse = faults.refuse.saturating_sub(1);
            (refused, faults.leaving)
        });
        if refused || leaving {
            self.records.borrow_mut().refused += 1;
            let response = error_response(503, "refused", "not run");
            let response = with_header(response, "x-not-run", "1");
            return Some(if leaving { with_header(response, "x-leaving", "1") } else { response });
        }
        if self.state.borrow().role != "serving" {
            self.records.borrow_mut().refused += 1;
            let response = error_response(503, "drained", "the engine takes no new work");
            return Some(with_header(response, "x-not-run", "1"));
        }
        if request.model != self.state.borrow().model {
            let message = format!("model {:?} is not loaded", request.model);
            let response = error_response(404, "unknown_model", &message);
            return Some(with_header(response, "x-not-run", "1"));
        }
        None
    }

    fn cancel(&self, request_id: &str) -> Response<Body> {
        let token = self.cancel_tokens.borrow_mut().remove(request_id);
        if let Some(token) = &token {
            token.cancel();
        }
        json_response(200, &json!({ "cancelled": token.is_some() }))
    }

    fn load_report(&self, now: Instant) -> Response<Body> {
        let snapshot = self.load_snapshot.get();
        let report = json!({
            "running": snapshot.running,
            "waiting": snapshot.waiting,
            "max_batch": self.options.max_batch,
            "tokens_per_s":
                snapshot.running as f64 / self.token_time(snapshot.running).as_secs_f64(),
            "report_age_ms": now.saturating_duration_since(snapshot.taken_at).as_millis() as u64,
        });
        json_response(200, &report)
    }

    fn state_report(&self) -> Response<Body> {
        let batch = self.batch.borrow();
        let running = batch.running + batch.waiting_count();
        json_response(200, &StateReport { state: &self.state.borrow(), running })
    }

    /// Returns the current factor on decode and prefill times: `slow_factor` of the faults, or 1.0
    /// after `slow_ms`.
    pub fn slow_factor(&self) -> f64 {
        let faults = self.faults.get();
        let expired = faults.slow_ms > 0
            && self.faults.time_since_patch() > Duration::from_millis(faults.slow_ms);
        if expired { 1.0 } else { faults.slow_factor }
    }

    /// Returns the time between two tokens of a request while `running` requests are in the batch.
    pub fn token_time(&self, running: usize) -> Duration {
        let other_requests = running.saturating_sub(1) as f64;
        let batch_factor = 1.0 + other_requests * self.options.batch_slowdown_percent / 100.0;
        Duration::from_secs_f64(batch_factor * self.slow_factor() / self.options.tokens_per_s)
    }

    /// Publishes cache events, except for a share of `cache_event_loss`.
    pub fn publish_cache_events(&self, events: Vec<CacheEvent>) {
        for event in events {
            let draw = unit_hash(self.options.seed, &event.sequence.to_le_bytes());
            if draw >= self.options.cache_event_loss {
                // Sending fails only if nobody reads the events.
                let _ = self.cache_events.send(event);
            }
        }
    }
}

/// Takes a load snapshot every `load_lag_ms` and reports the previous one, so that a report is
/// always at least that old.
async fn refresh_load(engine: Rc<Engine>) {
    let mut latest_snapshot = engine.load_snapshot.get();
    loop {
        monoio::time::sleep(Duration::from_millis(engine.options.load_lag_ms.max(1))).await;
        engine.load_snapshot.set(latest_snapshot);
        let batch = engine.batch.borrow();
        let (running, waiting) = (batch.running, batch.waiting_count());
        latest_snapshot = LoadSnapshot { taken_at: Instant::now(), running, waiting };
    }
}

async fn send_cache_events(engine: Rc<Engine>, sender: BodySender) {
    let mut events = engine.cache_events.subscribe();
    let lag = Duration::from_millis(engine.options.cache_event_lag_ms);
    loop {
        let event = monoio::select! {
            event = events.recv() => event,
            () = sender.closed() => return,
        };
        let event = match event {
            Ok(event) => event,
            Err(broadcast::error::RecvError::Lagged(_)) => continue,
            Err(broadcast::error::RecvError::Closed) => return,
        };
        monoio::time::sleep(lag).await;
        let data = serde_json::to_string(&event).unwrap_or_default();
        if sender.send(sse::encode(Some("cache"), &data)).await.is_err() {
            return;
        }
    }
}
