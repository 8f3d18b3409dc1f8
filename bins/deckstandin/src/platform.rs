//! The users' platform in one process: object API, model engines and plain services.
//!
//! It uses the names and formats of the platform's own API. Engines register themselves in the
//! object API, generate texts that depend only on the request id and change versions on orders.

mod streams;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bpaf::Bpaf;
use deck_core::CancellationToken;
use deck_net::{
    Body, bind,
    body::BodySender,
    http::{HeaderValue, Method, Response, StatusCode},
    server::{close_without_response, json_response},
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::Notify;

use deckstandin::{
    PLAIN_ATTEMPTS,
    platform_text::{event_count, event_data},
};

use crate::common::{
    Call, FaultCell, StandinError, abort_after_flush, not_found, print_listen_address, serve_on,
};

/// Options of the platform.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub struct PlatformOptions {
    /// Address of the object API.
    #[bpaf(argument("ADDRESS"))]
    pub listen: SocketAddr,
    /// Model engines.
    #[bpaf(argument("COUNT"), fallback(3))]
    pub engines: usize,
    /// Plain servers.
    #[bpaf(argument("COUNT"), fallback(2))]
    pub servers: usize,
    /// Software versions of the servers of the streaming route, separated by commas.
    #[bpaf(argument("VERSIONS"), fallback(String::new()))]
    pub stream_versions: String,
    /// Time of one event in milliseconds.
    #[bpaf(argument("MS"), fallback(10))]
    pub event_ms: u64,
    /// Time of a change of version in milliseconds.
    #[bpaf(argument("MS"), fallback(200))]
    pub load_ms: u64,
    /// Whether there is a second listener of the object API, for nodes that reach the servers at other
    /// addresses.
    pub second_view: bool,
    /// Time after its submission at which an item may be given up, in seconds.
    #[bpaf(argument("S"), fallback(40))]
    pub max_wait_s: u64,
}

/// Injected faults of the platform. A count is the number of next operations that fail.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
struct PlatformFaults {
    /// All calls of the object API except `/admin` are answered with 503.
    store_down: bool,
    /// Writes to the object API that take effect and whose connection is closed without a response.
    store_lost: u32,
    /// Writes to the object API that get no response and are carried out `store_late_ms` later if
    /// their condition still holds.
    store_late: u32,
    /// Delay of the writes that `store_late` affects, in milliseconds.
    store_late_ms: u64,
    /// Kind of the objects to which `store_late` is limited; empty for all kinds.
    store_late_kind: String,
    /// Whether the servers answer all requests with 503 and `not-executed`.
    refuse_work: bool,
    /// Streams that are aborted after their next event.
    cut_streams: u32,
    /// Reward calls that are answered with 500.
    failed_rewards: u32,
    /// Ids of servers whose responses all have the header `server-leaving: 1`.
    leaving: Vec<String>,
}

struct State {
    options: PlatformOptions,
    faults: FaultCell<PlatformFaults>,
    /// Objects by kind and name.
    objects: RefCell<BTreeMap<(String, String), Value>>,
    /// Revision of the last write.
    revision: Cell<u64>,
    /// Written objects in order, for watches: revision, kind, `HistoryLost`, object.
    history: RefCell<Vec<(u64, String, bool, Value)>>,
    /// Notified of each write.
    changed: Notify,
    /// Highest fencing number of a report of use.
    usage_fence: Cell<u64>,
    /// Requests and orders that the servers received, and reports of use, in order.
    records: RefCell<Vec<Value>>,
    /// Addresses with which servers are listed instead of their own, by server id.
    advertised_addresses: RefCell<BTreeMap<String, String>>,
    /// Addresses with which servers are listed at the second listener, by server id.
    second_view: RefCell<BTreeMap<String, String>>,
}

/// The object API as seen at its second listener.
struct SecondView(Rc<State>);

/// A model engine or a plain server, listed as an object of kind `servers`.
struct Server {
    state: Rc<State>,
    id: String,
    address: SocketAddr,
    /// Weight version of the model that the engine serves; `None` for a plain server.
    model_version: Cell<Option<u64>>,
    /// Number of accepted version changes; an order may require an expected value.
    accepted_order_count: Cell<u64>,
    /// Highest fencing number of an accepted order.
    highest_fencing: Cell<u64>,
    /// Whether an order to change the version is being executed.
    busy: Cell<bool>,
}

/// Name of the model that all engines serve.
const MODEL: &str = "m0";
/// Start time with which all servers are listed, in milliseconds since the Unix epoch.
const STARTED_UNIX_MS: u64 = 1_700_000_000_000;

/// Runs the stand-in until a stop signal.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn run(options: PlatformOptions) -> Result<(), StandinError> {
    let stop = deck_net::runtime::stop_token()?;
    let state = Rc::new(State {
        faults: FaultCell::default(),
        objects: RefCell::default(),
        revision: Cell::new(1),
        history: RefCell::default(),
        changed: Notify::new(),
        usage_fence: Cell::new(0),
        records: RefCell::default(),
        advertised_addresses: RefCell::default(),
        second_view: RefCell::default(),
        options: options.clone(),
    });
    state.put("config", "main", configuration(options.max_wait_s));
    for index in 0..options.engines + options.servers {
        let is_engine = index < options.engines;
        let name = if is_engine { format!("engine-{index}") } else { format!("server-{index}") };
        start_server(&state, name, is_engine, stop.clone())?;
    }
    streams::start(&state, &options.stream_versions, &stop)?;
    if options.second_view {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = bind(address).map_err(|error| StandinError::Bind(address, error))?;
        print_listen_address("second-view", listener.local_addr()?);
        let view = Rc::new(SecondView(state.clone()));
        monoio::spawn(serve_on(listener, view, handle_second_view, stop.clone()));
    }
    let listener =
        bind(options.listen).map_err(|error| StandinError::Bind(options.listen, error))?;
    print_listen_address("store", listener.local_addr()?);
    serve_on(listener, state, handle_store, stop).await;
    Ok(())
}

/// Returns the initial configuration object, with one route of each type that the tests use.
fn configuration(max_wait_s: u64) -> Value {
    let app_route = |name: &str, prefix: &str, route_type: &str| {
        json!({"Name": name, "Host": "h.example", "PathPrefix": prefix, "RouteType": route_type,
               "TimeoutMs": 3000, "TargetLatencyMs": 500, "Priority": 2, "Service": "app",
               "Attempts": PLAIN_ATTEMPTS})
    };
    json!({
        "Version": 1,
        "Routes": [
            app_route("plain", "/plain/", "idempotent"),
            app_route("once", "/once/", "non_idempotent"),
            app_route("score", "/score/", "idempotent"),
            {"Name": "jobs", "Host": "h.example", "PathPrefix": "/jobs/", "RouteType": "rollout",
             "TargetLatencyMs": 400, "Priority": 1, "Service": "models", "Attempts": 3,
             "ResultDeadlineMs": 7500, "MaxWaitS": max_wait_s},
            streams::route(),
        ],
        "Services": [
            {"Name": "app", "HealthPath": "/healthz", "MaxConns": 100},
            {"Name": "models", "HealthPath": "/healthz", "MaxConns": 100, "Engine": {
                "Slots": 8, "KvTokens": 80000, "Stride": 10, "Models": [{"Name": MODEL}]}},
            streams::service(),
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
    })
}

fn start_server(
    state: &Rc<State>,
    id: String,
    is_engine: bool,
    stop: CancellationToken,
) -> Result<(), StandinError> {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = bind(address).map_err(|error| StandinError::Bind(address, error))?;
    let address = listener.local_addr()?;
    let server = Rc::new(Server {
        state: state.clone(),
        id,
        address,
        model_version: Cell::new(is_engine.then_some(1)),
        accepted_order_count: Cell::new(0),
        highest_fencing: Cell::new(0),
        busy: Cell::new(false),
    });
    server.register();
    monoio::spawn(serve_on(listener, server, handle_server, stop));
    Ok(())
}

impl State {
    /// Writes the `Spec` of an object without a condition and returns the object.
    fn put(&self, kind: &str, name: &str, spec: Value) -> Value {
        self.put_field(kind, name, "Spec", spec)
    }

    /// Writes the field `Spec` or `Status` of an object and returns the object.
    fn put_field(&self, kind: &str, name: &str, field: &str, value: Value) -> Value {
        let key = (kind.to_owned(), name.to_owned());
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        let mut objects = self.objects.borrow_mut();
        let object = objects.entry(key).or_insert_with(|| {
            json!({"Metadata": {"Name": name, "Created": revision, "Finalizers": [],
                   "DeletePending": false}, "Spec": null, "Status": null})
        });
        object["Metadata"]["Revision"] = revision.into();
        object[field] = value;
        let object = object.clone();
        self.history.borrow_mut().push((revision, kind.to_owned(), false, object.clone()));
        self.changed.notify_waiters();
        object
    }

    /// Removes the entries of servers, given as a JSON list of their ids; they continue to serve.
    fn remove_servers(&self, call: &Call) -> Response<Body> {
        let ids: Vec<String> = match call.json() {
            Ok(ids) => ids,
            Err(response) => return response,
        };
        for id in ids {
            let kind = "servers".to_owned();
            let Some(mut object) = self.objects.borrow_mut().remove(&(kind.clone(), id)) else {
                return not_found(call);
            };
            let revision = self.revision.get() + 1;
            self.revision.set(revision);
            object["Metadata"]["Revision"] = revision.into();
            self.history.borrow_mut().push((revision, kind, true, object));
        }
        self.changed.notify_waiters();
        json_response(200, &Value::Null)
    }

    /// Decides whether a stream is cut after the event that it has just sent.
    fn next_stream_is_cut(&self) -> bool {
        self.faults.update(|faults| {
            let cut = faults.cut_streams > 0;
            faults.cut_streams = faults.cut_streams.saturating_sub(1);
            cut
        })
    }

    /// Takes a report of use, unless a higher fencing number was seen.
    fn receive_usage(&self, call: &Call) -> Response<Body> {
        let report: Value = match call.json() {
            Ok(report) => report,
            Err(response) => return response,
        };
        let fence = call.header("fencing-token").and_then(|fence| fence.parse().ok()).unwrap_or(0);
        if fence < self.usage_fence.get() {
            return json_response(409, &Value::Null);
        }
        self.usage_fence.set(fence);
        self.record(json!({"usage": report["WindowId"], "counts": report["InstanceCounts"],
                           "fence": fence, "holder": call.header("duty-holder")}));
        json_response(200, &Value::Null)
    }

    fn record(&self, record: Value) {
        self.records.borrow_mut().push(record);
    }

    fn list(&self, kind: &str) -> Value {
        let objects = self.objects.borrow();
        let items = objects.iter().filter(|(key, _)| key.0 == kind);
        let items: Vec<Value> = items.map(|(_, object)| object.clone()).collect();
        json!({"Items": items, "HasMore": false, "AsOf": self.revision.get()})
    }

    /// Returns the writes of a kind after revision `from`; waits up to `wait` for the first one.
    async fn watch(&self, kind: &str, from: u64, wait: Duration) -> Value {
        let events = || {
            let history = self.history.borrow();
            let newer = history
                .iter()
                .filter(|(revision, event_kind, ..)| *revision > from && event_kind == kind);
            newer
                .map(|(_, _, lost, object)| json!({"HistoryLost": lost, "Object": object}))
                .collect::<Vec<_>>()
        };
        let deadline = std::time::Instant::now() + wait;
        while events().is_empty() {
            let remaining = deadline.saturating_duration_since(std::time::Instant::now());
            if remaining.is_zero() {
                break;
            }
            let _ = monoio::time::timeout(remaining, self.changed.notified()).await;
        }
        json!({"events": events(), "AsOf": self.revision.get()})
    }

    /// Lists servers with other addresses than their own, such as those of proxies, as given by a
    /// JSON object of addresses by server id.
    fn set_advertised_addresses(&self, call: &Call) -> Response<Body> {
        let addresses: BTreeMap<String, String> = match call.json() {
            Ok(addresses) => addresses,
            Err(response) => return response,
        };
        for (id, address) in addresses {
            let key = ("servers".to_owned(), id.clone());
            let entry = self.objects.borrow().get(&key).map(|object| object["Spec"].clone());
            if let Some(mut entry) = entry {
                entry["Address"] = address.clone().into();
                self.put("servers", &id, entry);
            }
            self.advertised_addresses.borrow_mut().insert(id, address);
        }
        json_response(200, &Value::Null)
    }

    /// Decides whether a write to an object of `kind` is late; returns its delay.
    fn next_late_write(&self, kind: &str) -> Option<Duration> {
        self.faults.update(|faults| {
            let is_kind = faults.store_late_kind.is_empty() || faults.store_late_kind == kind;
            if faults.store_late == 0 || !is_kind {
                return None;
            }
            faults.store_late -= 1;
            Some(Duration::from_millis(faults.store_late_ms))
        })
    }

    /// Carries out a write like [`State::write`], or later and without a response if that fault is
    /// set. A late write is carried out even if the client disconnects in the meantime.
    async fn write_or_delay(
        self: &Rc<Self>,
        call: Call,
        kind: &str,
        name: Option<&str>,
    ) -> Response<Body> {
        let Some(delay) = self.next_late_write(kind) else {
            return self.write(&call, kind, name);
        };
        self.record(json!({"late_write": kind, "path": call.path}));
        let (state, kind, name) = (self.clone(), kind.to_owned(), name.map(str::to_owned));
        let late_write = monoio::spawn(async move {
            monoio::time::sleep(delay).await;
            state.write(&call, &kind, name.as_deref());
        });
        late_write.await;
        close_without_response()
    }

    /// Carries out a `POST` or `PUT` of an object if its revision is the expected one.
    fn write(&self, call: &Call, kind: &str, name: Option<&str>) -> Response<Body> {
        let body: Value = match call.json() {
            Ok(body) => body,
            Err(response) => return response,
        };
        let body_name = body["Metadata"]["Name"].as_str().map(str::to_owned);
        let Some(name) = name.map(str::to_owned).or(body_name) else {
            return json_response(400, &json!({"Error": "no name"}));
        };
        let current = self.objects.borrow().get(&(kind.to_owned(), name.clone())).cloned();
        let expected = body["Metadata"]["Revision"].as_u64();
        match (&call.method, current) {
            (&Method::POST, Some(current)) => return json_response(409, &current),
            (&Method::PUT, None) => return json_response(404, &Value::Null),
            (_, Some(current))
                if expected.is_some_and(|revision| revision != current["Metadata"]["Revision"]) =>
            {
                return json_response(409, &current);
            }
            _ => {}
        }
        let field = if call.path.ends_with("/status") { "Status" } else { "Spec" };
        let object = self.put_field(kind, &name, field, body[field].clone());
        let response_lost = self.faults.update(|faults| {
            let response_lost = faults.store_lost > 0;
            faults.store_lost = faults.store_lost.saturating_sub(1);
            response_lost
        });
        if response_lost { close_without_response() } else { json_response(200, &object) }
    }
}

async fn handle_second_view(view: Rc<SecondView>, call: Call) -> Response<Body> {
    let addresses = view.0.second_view.borrow().clone();
    handle_store_call(view.0.clone(), call, &addresses).await
}

async fn handle_store(state: Rc<State>, call: Call) -> Response<Body> {
    handle_store_call(state, call, &BTreeMap::new()).await
}

/// Replaces the addresses of listed servers by those in `addresses`, by server id.
fn replace_addresses(mut answer: Value, addresses: &BTreeMap<String, String>) -> Value {
    let replace = |object: &mut Value| {
        let name = object["Metadata"]["Name"].as_str().unwrap_or_default();
        if let Some(address) = addresses.get(name) {
            object["Spec"]["Address"] = address.clone().into();
        }
    };
    for list in ["Items", "events"] {
        for entry in answer.get_mut(list).and_then(Value::as_array_mut).into_iter().flatten() {
            match entry.get_mut("Object") {
                Some(object) => replace(object),
                None => replace(entry),
            }
        }
    }
    answer
}

async fn handle_store_call(
    state: Rc<State>,
    call: Call,
    addresses: &BTreeMap<String, String>,
) -> Response<Body> {
    let segments = call.path_segments().into_iter().map(str::to_owned).collect::<Vec<_>>();
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    if let ["admin", endpoint] = segments.as_slice() {
        return match *endpoint {
            "faults" => state.faults.patch(&call),
            "records" => json_response(200, &*state.records.borrow()),
            "remove" => state.remove_servers(&call),
            "advertise" => state.set_advertised_addresses(&call),
            "second-view" => match call.json() {
                Ok(addresses) => {
                    state.second_view.replace(addresses);
                    json_response(200, &Value::Null)
                }
                Err(response) => response,
            },
            _ => not_found(&call),
        };
    }
    if state.faults.get().store_down {
        return json_response(503, &Value::Null);
    }
    match (call.method.as_str(), segments.as_slice()) {
        ("GET", ["v1", "objects", kind]) => match call.query_value("Watch") {
            None => json_response(200, &replace_addresses(state.list(kind), addresses)),
            Some(from) => {
                let wait = call.query_value("WaitMs").and_then(|wait| wait.parse().ok());
                let wait = Duration::from_millis(wait.unwrap_or(0));
                let from = from.parse().unwrap_or(0);
                let events = state.watch(kind, from, wait).await;
                json_response(200, &replace_addresses(events, addresses))
            }
        },
        ("GET", ["v1", "objects", kind, name]) => {
            let key = ((*kind).to_owned(), (*name).to_owned());
            match state.objects.borrow().get(&key) {
                Some(object) => json_response(200, object),
                None => json_response(404, &Value::Null),
            }
        }
        ("POST", ["v1", "objects", kind]) => state.write_or_delay(call, kind, None).await,
        ("PUT", ["v1", "objects", kind, name] | ["v1", "objects", kind, name, "status"]) => {
            state.write_or_delay(call, kind, Some(name)).await
        }
        ("POST", ["usage"]) => state.receive_usage(&call),
        _ => not_found(&call),
    }
}

impl Server {
    /// Writes the entry of this server to the object API.
    fn register(&self) {
        let own_address = self.address.to_string();
        let address =
            self.state.advertised_addresses.borrow().get(&self.id).cloned().unwrap_or(own_address);
        let mut entry = json!({"Service": if self.model_version.get().is_some() { "models" } else { "app" },
            "Address": address, "Zone": "a", "Version": "v1", "Slots": 8,
            "State": "ready", "ColdRemainingMs": 0, "Seq": 1, "born": STARTED_UNIX_MS});
        if let Some(version) = self.model_version.get() {
            entry["Models"] = json!([{"Name": MODEL, "Version": version, "Adapters": []}]);
        }
        self.state.put("servers", &self.id, entry);
    }

    /// Returns the list of loaded models; empty for a plain server.
    fn models(&self) -> Value {
        let version = self.model_version.get();
        version.map_or(json!([]), |version| json!([{"Name": MODEL, "Version": version}]))
    }

    /// Accepts or refuses an order to load a version. The version changes after `load_ms`.
    fn handle_order(self: &Rc<Self>, call: &Call) -> Response<Body> {
        let body: Value = match call.json() {
            Ok(body) => body,
            Err(response) => return response,
        };
        let (fence, version) = (body["Fence"].as_u64().unwrap_or(0), body["Version"].as_u64());
        let record = json!({"order": self.id, "fence": fence, "version": version,
                            "holder": body["Holder"]});
        self.state.record(record);
        if fence < self.highest_fencing.get() {
            return json_response(412, &Value::Null);
        }
        self.highest_fencing.set(fence);
        if version == self.model_version.get() {
            return json_response(200, &Value::Null);
        }
        let expected = body["Expect"].as_u64();
        if self.busy.get()
            || expected.is_some_and(|expected| expected != self.accepted_order_count.get())
        {
            return json_response(409, &Value::Null);
        }
        self.accepted_order_count.set(self.accepted_order_count.get() + 1);
        self.busy.set(true);
        let server = self.clone();
        monoio::spawn(async move {
            monoio::time::sleep(Duration::from_millis(server.state.options.load_ms)).await;
            server.model_version.set(version);
            server.busy.set(false);
            server.register();
        });
        json_response(202, &Value::Null)
    }

    /// Answers a plain request or a reward call.
    async fn serve_plain(&self, call: &Call, id: &str) -> Response<Body> {
        let is_reward = call.path.starts_with("/score/");
        let fails = is_reward
            && self.state.faults.update(|faults| {
                let fails = faults.failed_rewards > 0;
                faults.failed_rewards = faults.failed_rewards.saturating_sub(1);
                fails
            });
        self.state.record(json!({"call": id, "server": self.id, "path": call.path,
                                 "failed": fails,
                                 "organisation": call.header("tenant"),
                                 "has_key": call.header("authorization").is_some()}));
        let status = if fails { 500 } else { 200 };
        let mut response = json_response(status, &json!({ "echo": id }));
        add_correlation_headers(&mut response, id);
        response
    }

    /// Starts the stream of a text after the event given in `last-event-id`.
    async fn start_text_stream(self: &Rc<Self>, call: &Call, id: &str) -> Response<Body> {
        let version = self.model_version.get().unwrap_or(0);
        let after: u64 =
            call.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
        self.state.record(json!({"run": id, "engine": self.id, "after": after, "version": version,
                                 "organisation": call.header("tenant"),
                                 "has_key": call.header("authorization").is_some()}));
        if self.busy.get() {
            return not_executed();
        }
        let (sender, body) = Body::stream();
        let mut response = Response::new(body);
        add_correlation_headers(&mut response, id);
        if let Ok(value) = HeaderValue::from_str(&version.to_string()) {
            response.headers_mut().insert("weight-versions", value);
        }
        let (server, id) = (self.clone(), id.to_owned());
        monoio::spawn(async move { server.send_text_events(sender, &id, after, version).await });
        response
    }

    /// Sends the events after number `after`, and each change of the version with the next event.
    async fn send_text_events(&self, sender: BodySender, id: &str, after: u64, mut version: u64) {
        for number in after + 1..=event_count(id) {
            monoio::time::sleep(Duration::from_millis(self.state.options.event_ms)).await;
            let current_version = self.model_version.get().unwrap_or(0);
            let version_line = if current_version == version {
                String::new()
            } else {
                format!("weight-versions: {current_version}\n")
            };
            version = current_version;
            let event = format!("{version_line}id: {number}\ndata: {}\n\n", event_data(id, number));
            if sender.send(event).await.is_err() {
                return;
            }
            if self.state.next_stream_is_cut() {
                return abort_after_flush(sender).await;
            }
        }
        sender.finish().await;
    }
}

/// Returns the response to a request that the server does not execute.
fn not_executed() -> Response<Body> {
    let mut response = json_response(503, &Value::Null);
    response.headers_mut().insert("not-executed", HeaderValue::from_static("1"));
    response
}

/// Adds the headers by which a client matches a response to its request.
fn add_correlation_headers(response: &mut Response<Body>, id: &str) {
    let headers = response.headers_mut();
    for (name, value) in [("request-id", id.to_owned()), ("response-stamp", format!("stamp-{id}"))]
    {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
}

/// Serves a call to a server and sets `server-leaving` on the response if that fault is set.
async fn handle_server(server: Rc<Server>, call: Call) -> Response<Body> {
    let mut response = serve_server(&server, call).await;
    if server.state.faults.get().leaving.contains(&server.id) {
        response.headers_mut().insert("server-leaving", HeaderValue::from_static("1"));
    }
    response
}

async fn serve_server(server: &Rc<Server>, call: Call) -> Response<Body> {
    if call.header("target-instance").is_some_and(|target| target != server.id) {
        let mut response = json_response(421, &Value::Null);
        *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
        return response;
    }
    match (call.method.as_str(), call.path.as_str()) {
        ("GET", "/v1/report") => {
            let report = json!({"Stage": "both", "Models": server.models(),
                "Busy": server.busy.get(), "Seq": server.accepted_order_count.get(), "QueueDepth": 0,
                "InFlight": 0, "KvUsed": 0, "KvTotal": 1, "Handles": 0});
            json_response(200, &report)
        }
        ("POST", "/v1/order") => server.handle_order(&call),
        _ => {
            let Some(id) = call.header("request-id").map(str::to_owned) else {
                return json_response(400, &Value::Null);
            };
            if server.state.faults.get().refuse_work {
                return not_executed();
            }
            if server.model_version.get().is_some() {
                server.start_text_stream(&call, &id).await
            } else {
                server.serve_plain(&call, &id).await
            }
        }
    }
}
