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
        Call, FaultCell, Journal, StandinError, abort_after_flush, error_response,
        print_listen_address, serve_on, unix_ms, with_header,
    },
    forward::Forwarder,
};

/// Response header on which the forwarder in front of the server sends the response twice.
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

/// Injected faults of the plain service. Each count applies to that many of the next calls.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ServiceFaults {
    /// Additional delay of each call before its execution.
    slow_ms: u64,
    /// Calls that are executed and answered with 500.
    errors_after_execution: u32,
    /// Calls that are executed and whose response body is cut short.
    cut_answers: u32,
    /// Calls that are executed and whose connection is closed without a response.
    lose_answers: u32,
    /// Calls that are executed as usual and answered `late_ms` later.
    late_answers: u32,
    /// Delay of the responses to `late_answers` calls.
    late_ms: u64,
    /// Calls that are refused before their execution, with `X-Not-Run: 1`.
    refuse: u32,
    /// Calls that are answered twice on the same connection.
    double_answers: u32,
    /// All calls are refused with `X-Leaving: 1`.
    leaving: bool,
    /// The process exits after it has executed a call whose body contains this text, before the
    /// response. Empty: no crash.
    crash_marker: String,
}

/// Journal entry of an executed call.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct Execution {
    at_unix_ms: u64,
    method: String,
    path: String,
    /// Value of `Idempotency-Key`, if the call has the header.
    key: Option<String>,
}

/// Counters since the start, returned by `GET /admin/records`.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
struct ServiceRecords {
    /// Number of executed calls.
    executions: u64,
    /// Number of calls refused before their execution.
    refused: u64,
    /// Number of executions without `Idempotency-Key`.
    without_key: u64,
    /// Number of calls in progress.
    running: u64,
    /// Maximum number of calls in progress at the same time.
    peak_running: u64,
    /// Number of executions by `Idempotency-Key`.
    executions_by_key: BTreeMap<String, u64>,
}

struct State {
    delay: Duration,
    faults: FaultCell<ServiceFaults>,
    records: RefCell<ServiceRecords>,
    journal: Journal,
}

/// Injected fault of the response to an executed call.
enum AnswerFault {
    /// No fault: the normal response.
    None,
    /// Response with status 500.
    Error,
    /// Response whose body is aborted halfway.
    Cut,
    /// Connection closed instead of a response.
    Lost,
    /// Response after an additional delay.
    Late(Duration),
    /// Response sent twice.
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
    // A second response to one request violates HTTP, so no HTTP library sends it. Instead, a
    // forwarder in front of the server sends the bytes of the response twice.
    let server_address = SocketAddr::from(([127, 0, 0, 1], 0));
    let bind =
        |address| deck_net::bind(address).map_err(|error| StandinError::Bind(address, error));
    let (listener, server_listener) = (bind(options.listen)?, bind(server_address)?);
    print_listen_address("http", listener.local_addr()?);
    let repeat_marker = Some(REPEAT_HEADER.as_bytes());
    let forwarder = Forwarder::new(server_listener.local_addr()?, Duration::ZERO, repeat_marker);
    monoio::spawn(forwarder.run(listener, stop.clone()));
    serve_on(server_listener, state, handle, stop).await;
    Ok(())
}

async fn handle(state: Rc<State>, call: Call) -> Response<Body> {
    match (call.method.as_str(), call.path_segments().as_slice()) {
        ("POST", ["admin", "faults"]) => state.faults.patch(&call),
        ("GET", ["admin", "records"]) => json_response(200, &*state.records.borrow()),
        ("GET", ["admin", "executions"]) => {
            json_response(200, &state.records.borrow().executions_by_key)
        }
        // A separate task, so that a call runs to its end even if the client disconnects.
        _ => monoio::spawn(serve_call(state, call)).await,
    }
}

async fn serve_call(state: Rc<State>, call: Call) -> Response<Body> {
    if let Some(refusal) = state.refusal() {
        return refusal;
    }
    state.count_started();
    let faults = state.faults.get();
    monoio::time::sleep(state.delay + Duration::from_millis(faults.slow_ms)).await;
    state.record_execution(&call);
    if !faults.crash_marker.is_empty()
        && call
            .body
            .windows(faults.crash_marker.len())
            .any(|window| window == faults.crash_marker.as_bytes())
    {
        log::error!(target: "service", "injected crash path={}", call.path);
        std::process::exit(101);
    }
    let response = respond(&state, &call).await;
    state.records.borrow_mut().running -= 1;
    response
}

async fn respond(state: &State, call: &Call) -> Response<Body> {
    match state.take_answer_fault() {
        AnswerFault::None => echo(call),
        AnswerFault::Error => error_response(500, "planned_error", "failed after execution"),
        AnswerFault::Lost => deck_net::server::close_without_response(),
        AnswerFault::Cut => truncated_echo(call),
        AnswerFault::Late(delay) => {
            monoio::time::sleep(delay).await;
            echo(call)
        }
        AnswerFault::Double => with_header(echo(call), REPEAT_HEADER, "1"),
    }
}

/// Returns a response whose body is aborted halfway.
fn truncated_echo(call: &Call) -> Response<Body> {
    let (sender, body) = Body::stream();
    let mut response = echo(call);
    *response.body_mut() = body;
    let first_half = call.body.slice(..call.body.len() / 2);
    let first_half =
        if first_half.is_empty() { bytes::Bytes::from_static(b"cut") } else { first_half };
    monoio::spawn(async move {
        let _ = sender.send(first_half).await;
        abort_after_flush(sender).await;
    });
    response
}

/// Returns a response with the request's body, or with its path if the body is empty. The headers
/// `x-echo-path` and `x-nonce` repeat the path and the nonce of the request.
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
    /// Returns the response to send if an injected fault refuses the next call.
    fn refusal(&self) -> Option<Response<Body>> {
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

    fn count_started(&self) {
        let mut records = self.records.borrow_mut();
        records.running += 1;
        records.peak_running = records.peak_running.max(records.running);
    }

    fn record_execution(&self, call: &Call) {
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

    /// Returns the fault of the next response and decrements its count.
    fn take_answer_fault(&self) -> AnswerFault {
        self.faults.update(|faults| {
            let late_delay = Duration::from_millis(faults.late_ms);
            let faults_by_count = [
                (&mut faults.errors_after_execution, AnswerFault::Error),
                (&mut faults.cut_answers, AnswerFault::Cut),
                (&mut faults.lose_answers, AnswerFault::Lost),
                (&mut faults.late_answers, AnswerFault::Late(late_delay)),
                (&mut faults.double_answers, AnswerFault::Double),
            ];
            for (count, fault) in faults_by_count {
                if *count > 0 {
                    *count -= 1;
                    return fault;
                }
            }
            AnswerFault::None
        })
    }
}
