//! Minimal object API inside the test process.

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

#[derive(Clone)]
struct Event {
    key: ObjectKey,
    revision: Revision,
    /// `None` for a deletion.
    value: Option<Value>,
}

#[derive(Default)]
struct State {
    revision: Revision,
    objects: Objects,
    events: Vec<Event>,
    compacted_to: Revision,
    /// Answers of lists instead of the current state.
    stale: Option<(Revision, Objects)>,
}

/// Address of the store that can fail on its own.
pub struct Door {
    pub address: SocketAddr,
    /// Whether calls are refused with 503 and watches are cut.
    pub is_down: Cell<bool>,
    /// Watches started before this count of calls send nothing any more but stay open.
    pub silent_before: Cell<u64>,
    /// Writes whose response is still to be lost after they took effect.
    pub lost_responses: Cell<u32>,
    pub watches: Cell<u32>,
    pub calls: Cell<u64>,
}

impl Door {
    /// Cuts the open watches off without closing them.
    pub fn silence_open_watches(&self) {
        self.silent_before.set(self.calls.get() + 1);
    }
}

/// The store; clones share their state.
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
    /// Returns an empty store that sends a bookmark on each watch in every period.
    pub fn new(bookmark_period: Duration) -> Self {
        Self { state: Rc::default(), changed: Rc::default(), bookmark_period }
    }

    /// Opens another address of the store.
    pub fn open_door(&self, cancel: &CancellationToken) -> Rc<Door> {
        let listener = deck_net::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let door = Rc::new(Door {
            address: listener.local_addr().expect("address"),
            is_down: Cell::new(false),
            silent_before: Cell::new(0),
            lost_responses: Cell::new(0),
            watches: Cell::new(0),
            calls: Cell::new(0),
        });
        let (store, served) = (self.clone(), door.clone());
        let handler = move |request| store.clone().handle(served.clone(), request);
        monoio::spawn(deck_net::serve(listener, ServerOptions::default(), cancel.clone(), handler));
        door
    }

    /// Writes an object without a condition and returns its revision.
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

    pub fn get(&self, kind: &str, name: &str) -> Option<(Revision, Value)> {
        self.state.borrow().objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    /// Forgets all events, so that watches from earlier revisions are refused.
    pub fn compact(&self) {
        let mut state = self.state.borrow_mut();
        state.compacted_to = state.revision;
        state.events.clear();
    }

    /// Lets lists return the current state from now on, whatever is written later.
    pub fn freeze_lists(&self) {
        let mut state = self.state.borrow_mut();
        state.stale = Some((state.revision, state.objects.clone()));
    }

    async fn handle(
        self,
        door: Rc<Door>,
        request: Request<hyper::body::Incoming>,
    ) -> Response<Body> {
        door.calls.set(door.calls.get() + 1);
        if door.is_down.get() {
            return text_response(503, "down");
        }
        let path = request.uri().path().to_owned();
        let parts: Vec<_> = path.split('/').skip(2).map(str::to_owned).collect();
        match (request.method().clone(), parts.first().map(String::as_str), parts.len()) {
            (Method::GET, Some("watch"), _) => {
                let query = request.uri().query().unwrap_or_default().to_owned();
                self.start_watch(door, &query)
            }
            (Method::GET, _, 2) => self.list(&parts[1]),
            (Method::GET, _, 3) => match self.get(&parts[1], &parts[2]) {
                Some((revision, value)) => json_response(
                    200,
                    &json!({"kind": parts[1], "name": parts[2], "revision": revision, "value": value}),
                ),
                None => text_response(404, ""),
            },
            (Method::PUT, _, 3) => self.conditional_put(&door, &parts, request).await,
            (Method::DELETE, _, 3) => {
                self.delete(&parts[1], &parts[2]);
                json_response(200, &json!({}))
            }
            _ => text_response(404, ""),
        }
    }

    fn list(&self, kind: &str) -> Response<Body> {
        let state = self.state.borrow();
        let (revision, objects) = match &state.stale {
            Some((revision, objects)) => (*revision, objects),
            None => (state.revision, &state.objects),
        };
        let items: Vec<_> = objects
            .iter()
            .filter(|((of, _), _)| of == kind)
            .map(|((kind, name), (revision, value))| {
                json!({"kind": kind, "name": name, "revision": revision, "value": value})
            })
            .collect();
        json_response(200, &json!({"revision": revision, "items": items}))
    }

    async fn conditional_put(
        &self,
        door: &Door,
        parts: &[String],
        request: Request<hyper::body::Incoming>,
    ) -> Response<Body> {
        let header = |name| {
            let value = request.headers().get(name)?;
            value.to_str().ok().map(|text| text.trim_matches('"').to_owned())
        };
        let expected = header(header::IF_MATCH).and_then(|text| text.parse::<Revision>().ok());
        let body = read_body(request.into_body(), 1_000_000).await.expect("body");
        let value = serde_json::from_slice(&body).expect("json");
        let current = self.get(&parts[1], &parts[2]).map(|(revision, _)| revision);
        if current != expected {
            return json_response(412, &json!({"revision": current}));
        }
        let revision = self.put(&parts[1], &parts[2], value);
        if door.lost_responses.get() > 0 {
            door.lost_responses.set(door.lost_responses.get() - 1);
            // A status that leaves the outcome open, as after a broken connection.
            return text_response(500, "response lost");
        }
        json_response(200, &json!({"revision": revision}))
    }

    fn start_watch(&self, door: Rc<Door>, query: &str) -> Response<Body> {
        let argument = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let from = argument("from").and_then(|text| text.parse().ok()).unwrap_or(0);
        if from < self.state.borrow().compacted_to {
            return text_response(410, "compacted");
        }
        let kinds = argument("kinds").unwrap_or_default();
        let (sender, response) = sse::event_response();
        let store = self.clone();
        monoio::spawn(async move {
            door.watches.set(door.watches.get() + 1);
            store.send_events(&door, &kinds, from, &sender).await;
            door.watches.set(door.watches.get() - 1);
        });
        response
    }

    async fn send_events(&self, door: &Door, kinds: &str, mut from: Revision, sender: &BodySender) {
        let started_at = door.calls.get();
        while !door.is_down.get() {
            let events: Vec<_> = self
                .state
                .borrow()
                .events
                .iter()
                .filter(|event| event.revision > from)
                .cloned()
                .collect();
            if started_at >= door.silent_before.get() {
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
    let data = json!({
        "kind": kind, "name": name, "revision": event.revision, "value": event.value,
    });
    let label = if event.value.is_some() { "put" } else { "delete" };
    sse::encode(Some(label), &data.to_string())
}
