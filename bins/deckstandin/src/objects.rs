//! Stand-in for the object API.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bpaf::Bpaf;
use deck_net::{
    Body,
    body::BodySender,
    http::Response,
    server::{close_without_response, json_response},
    sse,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::{
    common::{
        Call, FaultCell, StandinError, TokenBucket, error_response, not_found, serve, unit_hash,
        unix_ms, with_header,
    },
    objects_store::{ObjectEvent, ObjectKey, ObjectStore, WriteCondition, WriteOutcome},
};

/// Interval at which an open watch sends a bookmark: an event that carries no object, only the
/// current revision. The rate limit counts an open watch as one read per bookmark.
const WATCH_BOOKMARK_INTERVAL: Duration = Duration::from_secs(1);

/// Options of the object API.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub struct ObjectsOptions {
    /// Address to listen on; port 0 takes a free port.
    #[bpaf(argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// Writes per second before 429.
    #[bpaf(argument("N"), fallback(400.0))]
    pub writes_per_s: f64,
    /// Reads per second before 429; a waiting watch is one read a second.
    #[bpaf(argument("N"), fallback(2000.0))]
    pub reads_per_s: f64,
    /// Largest value in bytes.
    #[bpaf(argument("BYTES"), fallback(deck_core::object::MAX_VALUE_BYTES))]
    pub max_value_bytes: usize,
    /// Events kept for watches; older ones are compacted.
    #[bpaf(argument("N"), fallback(100_000))]
    pub max_events: usize,
    /// Keep all accepted writes in the records.
    pub history: bool,
}

/// How calls fail during an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Calls are answered with 503; open watches end.
    Refuse,
    /// Connections are closed without a response to the call; open watches end.
    Drop,
}

/// Injected faults of the object API.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ObjectsFaults {
    /// Outage of the whole API.
    outage: Outage,
    /// Delay before a call takes effect.
    delay_ms: u64,
    /// Delay between the effect of a call and its response.
    delay_response_ms: u64,
    /// Number of next writes that take effect and whose connection is closed without a response.
    lose_responses: u32,
    /// Probability that a write takes effect and its response is lost.
    lose_probability: f64,
    /// Seed of the draws for `lose_probability`.
    seed: u64,
}

/// Numbers of calls since the start, in `counts` of `GET /admin/records`.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
struct CallCounts {
    /// Number of calls with GET, plus one for each bookmark of a watch.
    reads: u64,
    /// Number of calls with any other method, refused ones included.
    writes: u64,
    watches_started: u64,
    /// Number of watches that are open now.
    watches_open: u64,
    /// Number of calls refused with 429.
    rate_limited: u64,
    refused_in_outage: u64,
    /// Number of writes refused with 412 because their precondition did not hold.
    conflicts: u64,
    /// Number of accepted writes whose connection was closed without a response.
    lost_responses: u64,
    /// Number of accepted writes by kind of object.
    writes_by_kind: BTreeMap<String, u64>,
}

/// An accepted write in the records, kept with `--history`.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct HistoryEntry {
    at_unix_ms: u64,
    response_lost: bool,
    #[serde(flatten)]
    event: ObjectEvent,
}

struct State {
    options: ObjectsOptions,
    faults: FaultCell<ObjectsFaults>,
    store: RefCell<ObjectStore>,
    write_bucket: RefCell<TokenBucket>,
    read_bucket: RefCell<TokenBucket>,
    counts: RefCell<CallCounts>,
    history: RefCell<Vec<HistoryEntry>>,
    /// Revision of the last write; a change of it or of the faults wakes the watches.
    revisions: watch::Sender<u64>,
    /// Number of draws for `lose_probability` so far; makes each draw different.
    loss_draws: Cell<u64>,
}

/// Runs the stand-in until a stop signal.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn run(options: ObjectsOptions) -> Result<(), StandinError> {
    let now = Instant::now();
    let state = Rc::new(State {
        faults: FaultCell::default(),
        store: RefCell::new(ObjectStore::new(options.max_events)),
        write_bucket: RefCell::new(TokenBucket::new(options.writes_per_s, now)),
        read_bucket: RefCell::new(TokenBucket::new(options.reads_per_s, now)),
        counts: RefCell::default(),
        history: RefCell::default(),
        revisions: watch::channel(0).0,
        loss_draws: Cell::new(0),
        options,
    });
    serve(state.options.listen, state.clone(), handle).await
}

async fn handle(state: Rc<State>, call: Call) -> Response<Body> {
    match (call.method.as_str(), call.path_segments().as_slice()) {
        ("POST", ["admin", "faults"]) => {
            let response = state.faults.patch(&call);
            // Wakes the watches, which end if the new faults contain an outage.
            state.revisions.send_modify(|_| {});
            response
        }
        ("POST", ["admin", "compact"]) => {
            state.store.borrow_mut().compact();
            json_response(200, &json!({}))
        }
        ("GET", ["admin", "records"]) => state.records(),
        (method, ["v1", ..]) => {
            let is_write = method != "GET";
            if let Some(refusal) = state.refusal(is_write) {
                return refusal;
            }
            if is_write {
                // A separate task, so that a write takes effect even if the client disconnects.
                monoio::spawn(write(state, call)).await
            } else {
                read(state, call).await
            }
        }
        _ => not_found(&call),
    }
}

async fn write(state: Rc<State>, call: Call) -> Response<Body> {
    let faults = state.faults.get();
    sleep_ms(faults.delay_ms).await;
    let segments = call.path_segments();
    let ["v1", "objects", kind, name] = segments.as_slice() else { return not_found(&call) };
    let key = ObjectKey { kind: (*kind).to_owned(), name: (*name).to_owned() };
    let condition = match precondition(&call) {
        Ok(condition) => condition,
        Err(response) => return *response,
    };
    let value = match call.method.as_str() {
        "PUT" if call.body.len() > state.options.max_value_bytes => {
            return error_response(413, "too_large", "value is above the size limit");
        }
        "PUT" => match call.json::<Value>() {
            Ok(value) => Some(value),
            Err(response) => return response,
        },
        "DELETE" => None,
        _ => return not_found(&call),
    };
    let response = state.apply(key, condition, value);
    sleep_ms(faults.delay_response_ms).await;
    response
}

async fn read(state: Rc<State>, call: Call) -> Response<Body> {
    let faults = state.faults.get();
    sleep_ms(faults.delay_ms).await;
    let response = match call.path_segments().as_slice() {
        ["v1", "objects", kind, name] => {
            let key = ObjectKey { kind: (*kind).to_owned(), name: (*name).to_owned() };
            match state.store.borrow().get(&key) {
                Some(object) => json_response(200, object),
                None => error_response(404, "not_found", "no such object"),
            }
        }
        ["v1", "objects", kind] => {
            let store = state.store.borrow();
            let items = store.list(kind);
            json_response(200, &json!({ "revision": store.revision(), "items": items }))
        }
        ["v1", "watch"] => start_watch(&state, &call),
        _ => not_found(&call),
    };
    sleep_ms(faults.delay_response_ms).await;
    response
}

fn start_watch(state: &Rc<State>, call: &Call) -> Response<Body> {
    let kinds: Vec<String> =
        call.query_value("kinds").unwrap_or_default().split(',').map(str::to_owned).collect();
    let Some(from) = call.query_value("from").and_then(|from| from.parse().ok()) else {
        return error_response(400, "bad_request", "from: expected a revision");
    };
    if state.store.borrow().events_after(from, &kinds).is_none() {
        return error_response(410, "compacted", "the revision has been compacted");
    }
    let (sender, response) = sse::event_stream_response();
    monoio::spawn(watch_events(state.clone(), kinds, from, sender));
    response
}

/// Sends events until the client disconnects, an outage starts or unsent events are compacted.
async fn watch_events(state: Rc<State>, kinds: Vec<String>, mut from: u64, sender: BodySender) {
    state.counts.borrow_mut().watches_started += 1;
    state.counts.borrow_mut().watches_open += 1;
    let mut revisions = state.revisions.subscribe();
    let mut next_bookmark_at = Instant::now() + WATCH_BOOKMARK_INTERVAL;
    loop {
        if state.faults.get().outage != Outage::None {
            break;
        }
        let events = state.store.borrow().events_after(from, &kinds);
        let Some(events) = events else { break };
        let revision = state.store.borrow().revision();
        let mut connected = true;
        for event in &events {
            let event_type = if event.value.is_some() { "put" } else { "delete" };
            connected = connected
                && sender.send(sse::encode(Some(event_type), &event_json(event))).await.is_ok();
        }
        from = revision;
        if Instant::now() >= next_bookmark_at {
            state.read_bucket.borrow_mut().force_take(1.0, Instant::now());
            state.counts.borrow_mut().reads += 1;
            next_bookmark_at = Instant::now() + WATCH_BOOKMARK_INTERVAL;
            let data = json!({ "revision": from }).to_string();
            connected =
                connected && sender.send(sse::encode(Some("bookmark"), &data)).await.is_ok();
        }
        if !connected {
            break;
        }
        let until_bookmark = next_bookmark_at.saturating_duration_since(Instant::now());
        monoio::select! {
            _ = revisions.changed() => {}
            () = monoio::time::sleep(until_bookmark) => {}
            () = sender.closed() => break,
        }
    }
    state.counts.borrow_mut().watches_open -= 1;
}

impl State {
    /// Counts a call and returns the response to send if the call is refused.
    fn refusal(&self, is_write: bool) -> Option<Response<Body>> {
        let mut counts = self.counts.borrow_mut();
        let bucket = if is_write {
            counts.writes += 1;
            &self.write_bucket
        } else {
            counts.reads += 1;
            &self.read_bucket
        };
        match self.faults.get().outage {
            Outage::None => {}
            Outage::Refuse => {
                counts.refused_in_outage += 1;
                return Some(error_response(503, "unavailable", "outage"));
            }
            Outage::Drop => {
                counts.refused_in_outage += 1;
                return Some(close_without_response());
            }
        }
        if bucket.borrow_mut().try_take(1.0, Instant::now()) {
            return None;
        }
        counts.rate_limited += 1;
        let response = error_response(429, "rate_limited", "call rate is above the limit");
        Some(with_header(response, "retry-after", "1"))
    }

    fn apply(
        &self,
        key: ObjectKey,
        condition: WriteCondition,
        value: Option<Value>,
    ) -> Response<Body> {
        let kind = key.kind.clone();
        let outcome = self.store.borrow_mut().write(key, condition, value);
        let revision = match outcome {
            WriteOutcome::Accepted(revision) => revision,
            WriteOutcome::Conflict(current) => {
                self.counts.borrow_mut().conflicts += 1;
                return json_response(412, &json!({ "revision": current }));
            }
            WriteOutcome::Missing => return error_response(404, "not_found", "no such object"),
        };
        let response_lost = self.draw_response_loss();
        let mut counts = self.counts.borrow_mut();
        *counts.writes_by_kind.entry(kind.clone()).or_default() += 1;
        counts.lost_responses += u64::from(response_lost);
        if self.options.history {
            self.record_history(revision, &kind, response_lost);
        }
        self.revisions.send_replace(revision);
        if response_lost {
            close_without_response()
        } else {
            json_response(200, &json!({ "revision": revision }))
        }
    }

    /// Adds the write with `revision` to the history.
    fn record_history(&self, revision: u64, kind: &str, response_lost: bool) {
        let store = self.store.borrow();
        let events = store.events_after(revision - 1, &[kind.to_owned()]).unwrap_or_default();
        let entries = events.into_iter().map(|event| HistoryEntry {
            at_unix_ms: unix_ms(),
            response_lost,
            event,
        });
        self.history.borrow_mut().extend(entries);
    }

    /// Decides whether the response to a write is lost.
    fn draw_response_loss(&self) -> bool {
        let draw_number = self.loss_draws.get();
        self.loss_draws.set(draw_number + 1);
        self.faults.update(|faults| {
            if faults.lose_responses > 0 {
                faults.lose_responses -= 1;
                return true;
            }
            unit_hash(faults.seed, &draw_number.to_le_bytes()) < faults.lose_probability
        })
    }

    fn records(&self) -> Response<Body> {
        let store = self.store.borrow();
        let records = json!({
            "revision": store.revision(),
            "counts": &*self.counts.borrow(),
            "history": &*self.history.borrow(),
        });
        json_response(200, &records)
    }
}

/// Returns the precondition of a write; the error is the response to send.
fn precondition(call: &Call) -> Result<WriteCondition, Box<Response<Body>>> {
    if call.header("if-none-match") == Some("*") {
        return Ok(WriteCondition::Absent);
    }
    match call.header("if-match").map(|text| text.trim_matches('"').parse()) {
        Some(Ok(revision)) => Ok(WriteCondition::Revision(revision)),
        Some(Err(_)) => {
            let message = "If-Match: expected a revision in quotes";
            Err(Box::new(error_response(400, "bad_request", message)))
        }
        None => {
            let message = "a write needs If-Match or If-None-Match";
            Err(Box::new(error_response(428, "precondition_required", message)))
        }
    }
}

fn event_json(event: &ObjectEvent) -> String {
    serde_json::to_string(event).unwrap_or_default()
}

async fn sleep_ms(delay_ms: u64) {
    if delay_ms > 0 {
        monoio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}
