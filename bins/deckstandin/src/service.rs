//! Stand-in for a plain service: echoes bodies and counts executions by `Idempotency-Key`.

use std::{
    cell::RefCell, collections::BTreeMap, net::SocketAddr, path::PathBuf, rc::Rc, time::Duration,
};

use bpaf::Bpaf;
use deck_net::{Body, http::Response, server::json_response};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    common::{
        Call, FaultCell, Journal, StandinError, abort_after_flush, announce, error_response,
        serve_on, unix_ms, with_header,
    },
    forward::Forwarder,
};

/// Response header that makes the forwarder in front of the server repeat the response.
const REPEAT_HEADER: &str = "x-standin-repeat";

/// Options of the plain service.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub struct ServiceOptions {
    /// Address to listen on; port 0 takes a free port.
    #[bpaf(argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// Time that a call takes.
    #[bpaf(argument("MS"), fallback(2))]
    pub delay_ms: u64,
    /// File to which each execution is appended, so that a killed service leaves its record.
    #[bpaf(argument("FILE"), optional)]
    pub journal: Option<PathBuf>,
}

/// Faults of the plain service. Those with a count concern the coming calls.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ServiceFaults {
    /// Additional time of each call, before its execution.
    slow_ms: u64,
    /// Calls that are executed and answered with 500.
    errors_after_execution: u32,
    /// Calls that are executed and whose answer ends early.
    cut_answers: u32,
    /// Calls that are executed and whose connection closes without an answer.
    lose_answers: u32,
    /// Calls that are executed at once and answered after `late_ms`.
    late_answers: u32,
    late_ms: u64,
    /// Calls that are refused before they run, with `X-Not-Run: 1`.
    refuse: u32,
    /// Calls that are answered twice on the same connection.
    double_answers: u32,
    /// All calls are refused with `X-Leaving: 1`.
    leaving: bool,
    /// The process ends during the next call, after its execution, if the body has this text.
    crash_marker: String,
}

#[derive(Debug, Clone)]
#[derive(Serialize)]
struct Execution {
    at_unix_ms: u64,
    method: String,
    path: String,
    key: Option<String>,
}

#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
struct ServiceRecords {
    executions: u64,
    refused: u64,
    without_key: u64,
    running: u64,
    peak_running: u64,
    executions_by_key: BTreeMap<String, u64>,
}

struct State {
    delay: Duration,
    faults: FaultCell<ServiceFaults>,
    records: RefCell<ServiceRecords>,
    journal: Journal,
}

/// What happens to the answer of an executed call.
enum AnswerFault {
    None,
    Error,
    Cut,
    Lost,
    Late(Duration),
    Double,
}

/// Runs the stand-in until a stop signal.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or the journal cannot be opened.
pub async fn run(options: ServiceOptions) -> Result<(), StandinError> {
    let stop = deck_net::runtime::stop_token()?;
    let state = Rc::new(State {
        delay: Duration::from_millis(options.delay_ms),
        faults: FaultCell::default(),
        records: RefCell::default(),
        journal: Journal::try_open(options.journal.as_deref())?,
    });
    // A second answer on the same connection violates HTTP, so no HTTP library sends it: a
    // forwarder in front of the server repeats the bytes.
    let inner_address = SocketAddr::from(([127, 0, 0, 1], 0));
    let bind =
        |address| deck_net::bind(address).map_err(|error| StandinError::Bind(address, error));
    let (listener, inner) = (bind(options.listen)?, bind(inner_address)?);
    announce("http", listener.local_addr()?);
    let marker = Some(REPEAT_HEADER.as_bytes());
    let forwarder = Forwarder::new(inner.local_addr()?, Duration::ZERO, marker);
    monoio::spawn(forwarder.run(listener, stop.clone()));
    serve_on(inner, state, handle, stop).await;
    Ok(())
}

async fn handle(state: Rc<State>, call: Call) -> Response<Body> {
    match (call.method.as_str(), call.segments().as_slice()) {
        ("POST", ["admin", "faults"]) => state.faults.patch(&call),
        ("GET", ["admin", "records"]) => json_response(200, &*state.records.borrow()),
        ("GET", ["admin", "executions"]) => {
            json_response(200, &state.records.borrow().executions_by_key)
        }
        // In a task of its own: a call runs to its end even if its caller has left.
        _ => monoio::spawn(serve_call(state, call)).await,
    }
}

async fn serve_call(state: Rc<State>, call: Call) -> Response<Body> {
    if let Some(refusal) = state.refuse() {
        return refusal;
    }
    state.enter();
    let faults = state.faults.get();
    monoio::time::sleep(state.delay + Duration::from_millis(faults.slow_ms)).await;
    state.execute(&call);
    if !faults.crash_marker.is_empty()
        && call.body.windows(faults.crash_marker.len()).any(|w| w == faults.crash_marker.as_bytes())
    {
        log::error!(target: "service", "planned crash path={}", call.path);
        std::process::exit(101);
    }
    let response = answer(&state, &call).await;
    state.records.borrow_mut().running -= 1;
    response
}

async fn answer(state: &State, call: &Call) -> Response<Body> {
    match state.next_answer_fault() {
        AnswerFault::None => echo(call),
        AnswerFault::Error => error_response(500, "planned_error", "failed after execution"),
        AnswerFault::Lost => deck_net::server::close_without_response(),
        AnswerFault::Cut => cut_answer(call),
        AnswerFault::Late(wait) => {
            monoio::time::sleep(wait).await;
            echo(call)
        }
        AnswerFault::Double => with_header(echo(call), REPEAT_HEADER, "1"),
    }
}

/// Returns an answer whose body ends early.
fn cut_answer(call: &Call) -> Response<Body> {
    let (sender, body) = Body::stream();
    let mut response = echo(call);
    *response.body_mut() = body;
    let half = call.body.slice(..call.body.len() / 2);
    let half = if half.is_empty() { bytes::Bytes::from_static(b"cut") } else { half };
    monoio::spawn(async move {
        let _ = sender.send(half).await;
        abort_after_flush(sender).await;
    });
    response
}

/// Returns the body, or the path of a request without a body. Path and nonce are headers too.
fn echo(call: &Call) -> Response<Body> {
    let body = if call.body.is_empty() { call.path.clone().into() } else { call.body.clone() };
    let mut response = Response::new(Body::full(body));
    let headers = response.headers_mut();
    if let Some(content_type) = call.headers.get("content-type") {
        headers.insert("content-type", content_type.clone());
    }
    if let Ok(path) = call.path.parse() {
        headers.insert("x-echo-path", path);
    }
    if let Some(nonce) = call.headers.get("x-nonce") {
        headers.insert("x-nonce", nonce.clone());
    }
    response
}

impl State {
    fn refuse(&self) -> Option<Response<Body>> {
        let (refused, leaving) = self.faults.update(|faults| {
            let refused = faults.refuse > 0;
            faults.refuse = faults.refuse.saturating_sub(1);
            (refused, faults.leaving)
        });
        if !refused && !leaving {
            return None;
        }
        self.records.borrow_mut().refused += 1;
        let mut response = error_response(503, "refused", "not run");
        response = with_header(response, "x-not-run", "1");
        Some(if leaving { with_header(response, "x-leaving", "1") } else { response })
    }

    fn enter(&self) {
        let mut records = self.records.borrow_mut();
        records.running += 1;
        records.peak_running = records.peak_running.max(records.running);
    }

    fn execute(&self, call: &Call) {
        let key = call.header("idempotency-key").map(str::to_owned);
        let mut records = self.records.borrow_mut();
        records.executions += 1;
        match &key {
            Some(key) => *records.executions_by_key.entry(key.clone()).or_default() += 1,
            None => records.without_key += 1,
        }
        self.journal.write(&json!({ "execution": Execution {
            at_unix_ms: unix_ms(),
            method: call.method.to_string(),
            path: call.path.clone(),
            key,
        }}));
    }

    fn next_answer_fault(&self) -> AnswerFault {
        self.faults.update(|faults| {
            let late = Duration::from_millis(faults.late_ms);
            let planned = [
                (&mut faults.errors_after_execution, AnswerFault::Error),
                (&mut faults.cut_answers, AnswerFault::Cut),
                (&mut faults.lose_answers, AnswerFault::Lost),
                (&mut faults.late_answers, AnswerFault::Late(late)),
                (&mut faults.double_answers, AnswerFault::Double),
            ];
            for (count, fault) in planned {
                if *count > 0 {
                    *count -= 1;
                    return fault;
                }
            }
            AnswerFault::None
        })
    }
}
