//! Stand-in for a model engine: options, state and endpoints.

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
        Call, FaultCell, Journal, StandinError, error_response, not_found, serve, unit_interval,
        with_header,
    },
    engine_order::{EngineState, OrderRecord, order},
    engine_run,
};

/// Cache events that a slow reader may be behind before it loses some.
const CACHE_EVENT_BACKLOG: usize = 1024;

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

/// Faults of an engine.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// The process ends at once.
    pub crash: bool,
    /// The process ends when a prompt with this text starts to run.
    pub crash_marker: String,
    /// Factor on all decode and prefill times.
    pub slow_factor: f64,
    /// Time for which `slow_factor` holds; 0 means until changed.
    pub slow_ms: u64,
    /// Coming stage, load or switch orders that fail partway.
    pub fail_swaps: u32,
    /// Coming completions that are refused with `X-Not-Run: 1`.
    pub refuse: u32,
    /// All completions are refused with `X-Leaving: 1`.
    pub leaving: bool,
    /// Coming completions whose stream breaks off after a few tokens.
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
    /// Model; a request for another model is refused.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Bound on the tokens of the whole text, resumed part included.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the answer is a stream of events.
    #[serde(default)]
    pub stream: bool,
    /// `interactive`, `batch`, `rollout` or a number; smaller runs first.
    #[serde(default)]
    pub priority: serde_json::Value,
    /// Identifier in records and for cancel.
    #[serde(default)]
    pub request_id: String,
    /// Text made so far elsewhere.
    #[serde(default)]
    pub resume_text: String,
    /// Number of tokens in `resume_text`.
    #[serde(default)]
    pub resume_tokens: u32,
    /// Exact length for tests.
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
    /// In the queue.
    Waiting,
    /// In the batch.
    Running,
    /// Ended by itself.
    Finished,
    /// Ended by `POST /v1/cancel`.
    Cancelled,
    /// The client left.
    Disconnected,
    /// Broken off by a planned fault.
    Cut,
}

/// Tokens of one weight version, `from..to` in the request's text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub struct TokenRange {
    /// Weight version that made the tokens.
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
    /// The request.
    pub request_id: String,
    /// State.
    pub state: RunState,
    /// Tokens in order.
    pub ranges: Vec<TokenRange>,
}

#[derive(Debug, Clone)]
#[derive(Deserialize)]
struct CancelRequest {
    request_id: String,
}

/// Records of an engine.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub struct EngineRecords {
    /// All executions.
    pub runs: Vec<RunRecord>,
    /// Tokens by weight version.
    pub tokens_by_version: BTreeMap<u64, u64>,
    /// All orders.
    pub orders: Vec<OrderRecord>,
    /// Most requests in the batch at the same time.
    pub peak_running: usize,
    /// Resumed requests whose `resume_text` is not what this engine would have made.
    pub resume_mismatches: u64,
    /// Prompt tokens that the prefix cache saved.
    pub cached_prompt_tokens: u64,
    /// Completions refused.
    pub refused: u64,
}

/// Queue position: smaller rank first, then order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// Rank of the priority.
    pub rank: i64,
    /// Order of arrival.
    pub sequence: u64,
}

/// Requests waiting for a place in the batch.
#[derive(Default)]
pub struct Batch {
    /// Requests in the batch.
    pub running: usize,
    /// Waiting requests.
    pub waiting: BTreeMap<QueueKey, oneshot::Sender<engine_run::Place>>,
    /// Requests so far.
    pub arrivals: u64,
}

impl Batch {
    /// Returns the number of waiting requests whose client is still there.
    fn waiting_count(&self) -> usize {
        self.waiting.values().filter(|sender| !sender.is_closed()).count()
    }
}

#[derive(Serialize)]
struct StateReport<'a> {
    #[serde(flatten)]
    state: &'a EngineState,
    /// Requests that run or wait.
    running: usize,
}

#[derive(Debug, Clone, Copy)]
struct LoadSnapshot {
    at: Instant,
    running: usize,
    waiting: usize,
}

/// An engine.
pub struct Engine {
    /// Options.
    pub options: EngineOptions,
    /// Faults.
    pub faults: FaultCell<EngineFaults>,
    /// Model, version and fencing.
    pub state: RefCell<EngineState>,
    /// Batch and queue.
    pub batch: RefCell<Batch>,
    /// Prefix cache.
    pub cache: RefCell<PrefixCache>,
    /// Cache events, not delayed.
    pub cache_events: broadcast::Sender<CacheEvent>,
    /// Tokens to cancel running requests.
    pub cancels: RefCell<HashMap<String, CancellationToken>>,
    /// Records.
    pub records: RefCell<EngineRecords>,
    /// Journal.
    pub journal: Journal,
    /// Client of the weight store.
    pub client: Client,
    load: Cell<LoadSnapshot>,
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
        cancels: RefCell::default(),
        records: RefCell::default(),
        journal: Journal::try_open(options.journal.as_deref())?,
        client: Client::default(),
        load: Cell::new(LoadSnapshot { at: Instant::now(), running: 0, waiting: 0 }),
        options,
    });
    monoio::spawn(refresh_load(engine.clone()));
    serve(engine.options.listen, engine.clone(), handle).await
}

async fn handle(engine: Rc<Engine>, call: Call) -> Response<Body> {
    match (call.method.as_str(), call.segments().as_slice()) {
        ("POST", ["admin", "faults"]) => {
            let response = engine.faults.patch(&call);
            if engine.faults.get().crash {
                log::error!(target: "engine", "planned crash");
                std::process::exit(101);
            }
            response
        }
        ("GET", ["admin", "records"]) => json_response(200, &*engine.records.borrow()),
        ("POST", ["v1", "completions"]) => complete(engine, call).await,
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
        ("POST", ["v1", "order"]) => order(&engine, &call),
        _ => not_found(&call),
    }
}

async fn complete(engine: Rc<Engine>, call: Call) -> Response<Body> {
    let request: CompletionRequest = match call.json() {
        Ok(request) => request,
        Err(response) => return response,
    };
    if let Some(refusal) = engine.refuse(&request) {
        return refusal;
    }
    if request.stream {
        let (sender, response) = sse::event_stream_response();
        monoio::spawn(engine_run::run_streamed(engine, request, sender));
        response
    } else {
        engine_run::run_whole(engine, request).await
    }
}

impl Engine {
    fn refuse(&self, request: &CompletionRequest) -> Option<Response<Body>> {
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
        let token = self.cancels.borrow_mut().remove(request_id);
        if let Some(token) = &token {
            token.cancel();
        }
        json_response(200, &json!({ "cancelled": token.is_some() }))
    }

    fn load_report(&self, now: Instant) -> Response<Body> {
        let load = self.load.get();
        let report = json!({
            "running": load.running,
            "waiting": load.waiting,
            "max_batch": self.options.max_batch,
            "tokens_per_s": load.running as f64 / self.token_time(load.running).as_secs_f64(),
            "report_age_ms": now.saturating_duration_since(load.at).as_millis() as u64,
        });
        json_response(200, &report)
    }

    fn state_report(&self) -> Response<Body> {
        let batch = self.batch.borrow();
        let running = batch.running + batch.waiting_count();
        json_response(200, &StateReport { state: &self.state.borrow(), running })
    }

    /// Factor on the engine's times, from the faults.
    pub fn slow_factor(&self) -> f64 {
        let faults = self.faults.get();
        let over = faults.slow_ms > 0 && self.faults.age() > Duration::from_millis(faults.slow_ms);
        if over { 1.0 } else { faults.slow_factor }
    }

    /// Time between two tokens of one request in a batch of `running`.
    pub fn token_time(&self, running: usize) -> Duration {
        let others = running.saturating_sub(1) as f64;
        let stretch = 1.0 + others * self.options.batch_slowdown_percent / 100.0;
        Duration::from_secs_f64(stretch * self.slow_factor() / self.options.tokens_per_s)
    }

    /// Publishes cache events and loses some of them.
    pub fn publish_cache_events(&self, events: Vec<CacheEvent>) {
        for event in events {
            let draw = unit_interval(self.options.seed, &event.sequence.to_le_bytes());
            if draw >= self.options.cache_event_loss {
                // An error means that nobody reads the events.
                let _ = self.cache_events.send(event);
            }
        }
    }
}

/// Takes a snapshot each `load_lag_ms` and serves the one before.
async fn refresh_load(engine: Rc<Engine>) {
    let mut previous = engine.load.get();
    loop {
        monoio::time::sleep(Duration::from_millis(engine.options.load_lag_ms.max(1))).await;
        engine.load.set(previous);
        let batch = engine.batch.borrow();
        let (running, waiting) = (batch.running, batch.waiting_count());
        previous = LoadSnapshot { at: Instant::now(), running, waiting };
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
