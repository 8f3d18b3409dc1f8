//! Stand-in for a service that scores samples.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use bpaf::Bpaf;
use deck_net::{Body, http::Response, server::json_response};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::common::{Call, FaultCell, StandinError, error_response, not_found, serve, unit_hash};

/// Options of the scorer.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub struct ScorerOptions {
    /// Address to listen on; port 0 takes a free port.
    #[bpaf(argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// Time that a call takes.
    #[bpaf(argument("MS"), fallback(5))]
    pub delay_ms: u64,
}

/// Injected faults of the scorer.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ScorerFaults {
    /// Additional delay of each call.
    slow_ms: u64,
    /// Number of next calls that are answered with 500.
    errors: u32,
    /// All calls are answered with 500.
    outage: bool,
}

/// Counters since the start, returned by `GET /admin/records`.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
struct ScorerRecords {
    /// Number of received calls, failed ones included.
    calls: u64,
    /// Number of calls answered with 500.
    errors: u64,
    /// Number of samples scored by successful calls.
    samples: u64,
}

struct State {
    delay: Duration,
    faults: FaultCell<ScorerFaults>,
    records: RefCell<ScorerRecords>,
}

/// Body of `POST /v1/score`.
#[derive(Deserialize)]
struct ScoreRequest {
    samples: Vec<ScoreSample>,
}

/// Sample to score; the score is a hash of the prompt and the text.
#[derive(Deserialize)]
struct ScoreSample {
    prompt: String,
    text: String,
}

/// Runs the stand-in until a stop signal.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn run(options: ScorerOptions) -> Result<(), StandinError> {
    let state = Rc::new(State {
        delay: Duration::from_millis(options.delay_ms),
        faults: FaultCell::default(),
        records: RefCell::default(),
    });
    serve(options.listen, state, handle).await
}

async fn handle(state: Rc<State>, call: Call) -> Response<Body> {
    match (call.method.as_str(), call.path_segments().as_slice()) {
        ("POST", ["admin", "faults"]) => state.faults.patch(&call),
        ("GET", ["admin", "records"]) => json_response(200, &*state.records.borrow()),
        ("POST", ["v1", "score"]) => score(state, call).await,
        _ => not_found(&call),
    }
}

async fn score(state: Rc<State>, call: Call) -> Response<Body> {
    let request: ScoreRequest = match call.json() {
        Ok(request) => request,
        Err(response) => return response,
    };
    state.records.borrow_mut().calls += 1;
    let added_delay = Duration::from_millis(state.faults.get().slow_ms);
    monoio::time::sleep(state.delay + added_delay).await;
    let fails = state.faults.update(|faults| {
        let fails = faults.outage || faults.errors > 0;
        faults.errors = faults.errors.saturating_sub(1);
        fails
    });
    if fails {
        state.records.borrow_mut().errors += 1;
        return error_response(500, "scorer_failed", "planned error");
    }
    state.records.borrow_mut().samples += request.samples.len() as u64;
    let scores: Vec<f64> = request
        .samples
        .iter()
        .map(|sample| unit_hash(0, format!("{}\0{}", sample.prompt, sample.text).as_bytes()))
        .collect();
    json_response(200, &json!({ "scores": scores }))
}
