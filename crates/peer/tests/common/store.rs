//! In-memory object API for tests: lists, watches and conditional writes over HTTP.

use std::{
    cell::Cell, cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration,
};

use deck_core::{CancellationToken, id::Revision};
use deck_net::{
    Body, ServerOptions,
    body::BodySender,
    http::{Method, Request, Response, header},
    server::{json_response, read_body, text_response},
    sse,
};
use serde_json::{Value, json};
use tokio::sync::Notify;

type ObjectKey = (String, String);
type Objects = BTreeMap<ObjectKey, (Revision, Value)>;

/// A write or deletion, as sent on watches.
#[derive(Clone)]
struct Event {
    key: ObjectKey,
    revision: Revision,
    /// Value written; `None` for a deletion.
    value: Option<Value>,
}

#[derive(Default)]
struct State {
    /// Revision of the last write or deletion.
    revision: Revision,
    objects: Objects,
    events: Vec<Event>,
    /// Watches from a lower revision are refused, because their events have been dropped.
    compacted_to: Revision,
    /// State that list calls return instead of the current one, as a stale replica would.
    frozen_list: Option<(Revision, Objects)>,
}

/// One HTTP endpoint of the store. Tests give each VM its own, so that faults can be injected for a
/// single VM.
pub struct StoreEndpoint {
    pub address: SocketAddr,
    /// Whether the endpoint is down: calls get status 503 and open watches end.
    pub is_down: Cell<bool>,
    /// Watches that started before the endpoint had received this number of calls stay open but
    /// send nothing.
    pub stalled_before_call: Cell<u64>,
    /// Number of the next writes that take effect but whose response reports an error, as if it had
    /// been lost.
    pub lost_responses: Cell<u32>,
    /// Number of open watches.
    pub open_watches: Cell<u32>,
    /// Number of calls received so far.
    pub call_count: Cell<u64>,
}

impl StoreEndpoint {
    /// Stops the events and bookmarks of the open watches without closing them.
    pub fn stall_open_watches(&self) {
        self.stalled_before_call.set(self.call_count.get() + 1);
    }
}

/// The objects and events of the object API; clones share their state.
#[derive(Clone)]
pub struct TestStore {
    state: Rc<RefCell<State>>,
    changed: Rc<Notify>,
    bookmark_period: Duration,
}

impl Default for TestStore {
    fn default() -> Self {
        Self::new(Duration::from_millis(100))
    }
}

impl TestStore {
    /// Returns an empty store that sends a bookmark on each watch at least every `bookmark_period`.
    pub fn new(bookmark_period: Duration) -> Self {
        Self { state: Rc::default(), changed: Rc::default(), bookmark_period }
    }

    /// Starts a new endpoint of the store on a free port.
    pub fn open_endpoint(&self, cancel: &CancellationToken) -> Rc<StoreEndpoint> {
        let listener = deck_net::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let endpoint = Rc::new(StoreEndpoint {
            address: listener.local_addr().expect("address"),
            is_down: Cell::new(false),
            stalled_before_call: Cell::new(0),
            lost_responses: Cell::new(0),
            open_watches: Cell::new(0),
            call_count: Cell::new(0),
        });
        let (store, handler_endpoint) = (self.clone(), endpoint.clone());
        let handler = move |request| store.clone().handle(handler_endpoint.clone(), request);
        monoio::spawn(deck_net::serve(listener, ServerOptions::default(), cancel.clone(), handler));
        endpoint
    }

    /// Writes an object without a precondition and returns its new revision.
    pub fn put(&self, kind: &str, name: &str, value: Value) -> Revision {
        let mut state = self.state.borrow_mut();
        let key = (kind.to_owned(), name.to_owned());
        state.revision += 1;
        let revision = state.revision;
        state.objects.insert(key.clone(), (revision, value.clone()));
        state.events.push(Event { key, revision, value: Some(value) });
        drop(state);
        self.changed.notify_waiters();
        revision
    }

    /// Deletes an object and returns the revision of the deletion.
    pub fn delete(&self, kind: &str, name: &str) -> Revision {
        let mut state = self.state.borrow_mut();
        let key = (kind.to_owned(), name.to_owned());
        state.revision += 1;
        let revision = state.revision;
        state.objects.remove(&key);
        state.events.push(Event { key, revision, value: None });
        drop(state);
        self.changed.notify_waiters();
        revision
    }

    /// Sends a change of an object of this kind that does not state its name.
    pub fn send_nameless_change(&self, kind: &str) {
        let mut state = self.state.borrow_mut();
        state.revision += 1;
        let (key, revision) = ((kind.to_owned(), String::new()), state.revision);
        state.events.push(Event { key, revision, value: Some(Value::Null) });
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the revision and value of an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<(Revision, Value)> {
        self.state.borrow().objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    /// Drops all events, so that watches from earlier revisions are refused with status 410.
    pub fn compact(&self) {
        let mut state = self.state.borrow_mut();
        state.compacted_to = state.revision;
        state.events.clear();
    }

    /// Makes list calls return the current objects from now on, regardless of later writes, as a
    /// stale replica would.
    pub fn freeze_list_responses(&self) {
        let mut state = self.state.borrow_mut();
        state.frozen_list = Some((state.revision, state.objects.clone()));
    }

    /// Serves the lists, reads, watches and conditional writes of the object API.
    async fn handle(
        self,
        endpoint: Rc<StoreEndpoint>,
        request: Request<hyper::body::Incoming>,
    ) -> Response<Body> {
        endpoint.call_count.set(endpoint.call_count.get() + 1);
        if endpoint.is_down.get() {
            return text_response(503, "down");
        }
        let path = request.uri().path().to_owned();
        let path_segments: Vec<_> = path.split('/').skip(2).map(str::to_owned).collect();
        match (
            request.method().clone(),
            path_segments.first().map(String::as_str),
            path_segments.len(),
        ) {
            (Method::GET, Some("watch"), _) => {
                let query = request.uri().query().unwrap_or_default().to_owned();
                self.start_watch(endpoint, &query)
            }
            (Method::GET, _, 2) => self.list(&path_segments[1]),
            (Method::GET, _, 3) => match self.get(&path_segments[1], &path_segments[2]) {
                Some((revision, value)) => json_response(
                    200,
                    &json!({
                        "kind": path_segments[1], "name": path_segments[2],
                        "revision": revision, "value": value,
                    }),
                ),
                None => text_response(404, ""),
            },
            (Method::PUT, _, 3) => self.conditional_put(&endpoint, &path_segments, request).await,
            (Method::DELETE, _, 3) => {
                self.delete(&path_segments[1], &path_segments[2]);
                json_response(200, &json!({}))
            }
            _ => text_response(404, ""),
        }
    }

    fn list(&self, kind: &str) -> Response<Body> {
        let state = self.state.borrow();
        let (revision, objects) = match &state.frozen_list {
            Some((revision, objects)) => (*revision, objects),
            None => (state.revision, &state.objects),
        };
        let listed_objects: Vec<_> = objects
            .iter()
            .filter(|((object_kind, _), _)| object_kind == kind)
            .map(|((kind, name), (revision, value))| {
                json!({"kind": kind, "name": name, "revision": revision, "value": value})
            })
            .collect();
        json_response(200, &json!({"revision": revision, "items": listed_objects}))
    }

    async fn conditional_put(
        &self,
        endpoint: &StoreEndpoint,
        path_segments: &[String],
        request: Request<hyper::body::Incoming>,
    ) -> Response<Body> {
        let header = |name| {
            let value = request.headers().get(name)?;
            value.to_str().ok().map(|text| text.trim_matches('"').to_owned())
        };
        let expected = header(header::IF_MATCH).and_then(|text| text.parse::<Revision>().ok());
        let body = read_body(request.into_body(), 1_000_000).await.expect("body");
        let value = serde_json::from_slice(&body).expect("json");
        let current = self.get(&path_segments[1], &path_segments[2]).map(|(revision, _)| revision);
        if current != expected {
            return json_response(412, &json!({"revision": current}));
        }
        let revision = self.put(&path_segments[1], &path_segments[2], value);
        if endpoint.lost_responses.get() > 0 {
            endpoint.lost_responses.set(endpoint.lost_responses.get() - 1);
            // Status 500 leaves open whether the write took effect, as a broken connection does.
            return text_response(500, "response lost");
        }
        json_response(200, &json!({"revision": revision}))
    }

    fn start_watch(&self, endpoint: Rc<StoreEndpoint>, query: &str) -> Response<Body> {
        let argument = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let from = argument("from").and_then(|text| text.parse().ok()).unwrap_or(0);
        if from < self.state.borrow().compacted_to {
            return text_response(410, "compacted");
        }
        let kinds = argument("kinds").unwrap_or_default();
        let (sender, response) = sse::event_stream_response();
        let store = self.clone();
        monoio::spawn(async move {
            endpoint.open_watches.set(endpoint.open_watches.get() + 1);
            store.send_events(&endpoint, &kinds, from, &sender).await;
            endpoint.open_watches.set(endpoint.open_watches.get() - 1);
        });
        response
    }

    /// Sends events after revision `from` and bookmarks until the client or the endpoint closes the
    /// watch.
    async fn send_events(
        &self,
        endpoint: &StoreEndpoint,
        kinds: &str,
        mut from: Revision,
        sender: &BodySender,
    ) {
        let started_at_call = endpoint.call_count.get();
        while !endpoint.is_down.get() {
            let events: Vec<_> = self
                .state
                .borrow()
                .events
                .iter()
                .filter(|event| event.revision > from)
                .cloned()
                .collect();
            if started_at_call >= endpoint.stalled_before_call.get() {
                for event in events {
                    from = event.revision;
                    if kinds.split(',').any(|kind| kind == event.key.0)
                        && sender.send(encode(&event)).await.is_err()
                    {
                        return;
                    }
                }
                let bookmark =
                    sse::encode(Some("bookmark"), &json!({"revision": from}).to_string());
                if sender.send(bookmark).await.is_err() {
                    return;
                }
            }
            let changed = self.changed.notified();
            monoio::select! {
                _ = monoio::time::timeout(self.bookmark_period, changed) => {}
                () = sender.closed() => return,
            }
        }
    }
}

fn encode(event: &Event) -> bytes::Bytes {
    let (kind, name) = &event.key;
    let mut data = json!({"kind": kind, "revision": event.revision, "value": event.value});
    if !name.is_empty() {
        data["name"] = name.as_str().into();
    }
    let label = if event.value.is_some() { "put" } else { "delete" };
    sse::encode(Some(label), &data.to_string())
}
