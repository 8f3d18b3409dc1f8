//! Calls on the object API through another node.
//!
//! The object API may turn some nodes away, or be cut off from them, while it serves others. A node
//! whose own calls fail asks another node to make them.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use deck_core::{CancellationToken, id::Revision};
use deck_net::{Body, Client, NetError, cbor};
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream};
use http::{Method, Request};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{Freshness, Object, ObjectApi, Precondition, StoreError, Watch, WriteTo};

/// Path at which nodes make calls for each other.
pub const RELAY_PATH: &str = "/peer/store";
/// Largest answer of a relayed call.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Time between two lists of a kind that cannot be watched directly. Short against the time in
/// which a change has to be in force.
const POLL_INTERVAL: Duration = Duration::from_millis(700);
/// Time between two checks whether the node's own calls work again.
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// Nodes that are asked for one call.
const MAX_NODES: usize = 2;

/// One call, as it is sent to another node.
#[derive(Debug, Serialize, Deserialize)]
enum StoreCall {
    Get { kind: String, name: String, may_be_old: bool },
    List { kind: String },
    Put { kind: String, name: String, status: bool, revision: Option<Revision>, value: Value },
    Delete { kind: String, name: String, revision: Revision },
}

/// Answer to a call of another node.
#[derive(Debug, Serialize, Deserialize)]
enum StoreAnswer {
    Object(Option<Object>),
    List(Revision, Vec<Object>),
    Written(Revision),
    Deleted,
    Failed(Failure),
}

/// Error of the node that made the call.
#[derive(Debug, Serialize, Deserialize)]
enum Failure {
    Conflict(Option<Revision>),
    TooLarge,
    Unavailable(String),
    ResponseLost(String),
    Decode(String),
}

/// Nodes that can make calls for this one; clones share the list.
#[derive(Clone)]
pub struct RelayNodes {
    client: Client,
    own: SocketAddr,
    nodes: Rc<RefCell<Vec<SocketAddr>>>,
    call_timeout: Duration,
}

impl RelayNodes {
    /// Returns a list with the given nodes, without `own`. A relayed call may take `call_timeout`.
    pub fn new(
        client: Client,
        own: SocketAddr,
        nodes: Vec<SocketAddr>,
        call_timeout: Duration,
    ) -> Self {
        let relay = Self { client, own, nodes: Rc::default(), call_timeout };
        relay.set(nodes);
        relay
    }

    /// Replaces the list.
    pub fn set(&self, nodes: Vec<SocketAddr>) {
        let others = nodes.into_iter().filter(|node| *node != self.own);
        self.nodes.replace(others.collect());
    }

    /// Returns the other nodes.
    pub fn others(&self) -> Vec<SocketAddr> {
        self.nodes.borrow().clone()
    }

    /// Makes a call through nodes drawn at random. `None` if no node answered; the flag tells
    /// whether one may have made the call.
    async fn call(&self, call: &StoreCall) -> Result<StoreAnswer, bool> {
        let mut body = Vec::new();
        if let Err(error) = ciborium::into_writer(call, &mut body) {
            log::error!(target: "store", "call not encoded error={error}");
            return Err(false);
        }
        let body = Bytes::from(body);
        let nodes: Vec<SocketAddr> =
            self.nodes.borrow().sample(&mut rand::rng(), MAX_NODES).copied().collect();
        let mut maybe_made = false;
        for node in nodes {
            match self.call_node(node, body.clone()).await {
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    maybe_made |= error.may_have_been_sent();
                    log::debug!(target: "store", "no relay node={node} error={error}");
                }
            }
        }
        Err(maybe_made)
    }

    async fn call_node(&self, node: SocketAddr, body: Bytes) -> Result<StoreAnswer, NetError> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(RELAY_PATH)
            .body(Body::full(body))
            .map_err(|error| NetError::Decode(error.to_string()))?;
        let answer = self.client.call(node, request, self.call_timeout, MAX_ANSWER_BYTES).await?;
        cbor::decode(&answer.ok()?)
    }
}

/// Makes a call of another node on this node's own connection and returns the encoded answer.
///
/// # Errors
///
/// Returns an error if the call cannot be read.
pub async fn serve_relay(api: &dyn ObjectApi, body: &[u8]) -> Result<Bytes, NetError> {
    let answer = match cbor::decode(body)? {
        StoreCall::Get { kind, name, may_be_old } => {
            let freshness = if may_be_old { Freshness::MayBeOld } else { Freshness::Current };
            api.get(&kind, &name, freshness).await.map(StoreAnswer::Object)
        }
        StoreCall::List { kind } => {
            api.list(&kind).await.map(|(revision, objects)| StoreAnswer::List(revision, objects))
        }
        StoreCall::Put { kind, name, status, revision, value } => {
            let to = if status { WriteTo::Status } else { WriteTo::Object };
            let condition = revision.map_or(Precondition::Absent, Precondition::Revision);
            api.put(&kind, &name, to, condition, &value).await.map(StoreAnswer::Written)
        }
        StoreCall::Delete { kind, name, revision } => {
            api.delete(&kind, &name, revision).await.map(|()| StoreAnswer::Deleted)
        }
    };
    let answer = answer.unwrap_or_else(|error| StoreAnswer::Failed(failure(error)));
    cbor::encode(&answer)
}

fn failure(error: StoreError) -> Failure {
    match error {
        StoreError::Conflict(current) => Failure::Conflict(current),
        StoreError::TooLarge => Failure::TooLarge,
        StoreError::RateLimited(_) => Failure::Unavailable("rate limit".to_owned()),
        StoreError::Unavailable(message) => Failure::Unavailable(message),
        StoreError::ResponseLost(message) => Failure::ResponseLost(message),
        StoreError::Compacted => Failure::Decode("compacted".to_owned()),
        StoreError::Decode(message) => Failure::Decode(message),
    }
}

fn error(failure: Failure) -> StoreError {
    match failure {
        Failure::Conflict(current) => StoreError::Conflict(current),
        Failure::TooLarge => StoreError::TooLarge,
        Failure::Unavailable(message) => StoreError::Unavailable(message),
        Failure::ResponseLost(message) => StoreError::ResponseLost(message),
        Failure::Decode(message) => StoreError::Decode(message),
    }
}

/// Object API that is called directly, or through another node while direct calls fail.
#[derive(Clone)]
pub struct RelayedApi {
    inner: Rc<Inner>,
}

struct Inner {
    direct: Rc<dyn ObjectApi>,
    nodes: RelayNodes,
    /// Set while direct calls fail; cancelled and replaced when they work again.
    suspect: RefCell<CancellationToken>,
    is_suspect: Cell<bool>,
}

impl RelayedApi {
    /// Returns an API that makes its calls with `direct`, or through `nodes`.
    pub fn new(direct: Rc<dyn ObjectApi>, nodes: RelayNodes) -> Self {
        let suspect = RefCell::default();
        let inner = Inner { direct, nodes, suspect, is_suspect: Cell::new(false) };
        Self { inner: Rc::new(inner) }
    }

    /// Runs a call directly, and through another node if that fails.
    async fn run<T>(
        &self,
        direct: impl Future<Output = Result<T, StoreError>>,
        call: impl FnOnce() -> StoreCall,
        accept: impl Fn(StoreAnswer) -> Option<T>,
    ) -> Result<T, StoreError> {
        let mut maybe_made = false;
        let mut failed = StoreError::Unavailable("direct calls fail".to_owned());
        if !self.inner.is_suspect.get() {
            match direct.await {
                Err(error) if is_outage(&error) => {
                    maybe_made = matches!(error, StoreError::ResponseLost(_));
                    failed = error;
                    self.set_suspect();
                }
                other => return other,
            }
        }
        match self.inner.nodes.call(&call()).await {
            Ok(StoreAnswer::Failed(failure)) => match error(failure) {
                // The conflict may be with the lost call itself.
                StoreError::Conflict(_) if maybe_made => Err(failed),
                StoreError::Unavailable(_) if maybe_made => Err(failed),
                error => Err(error),
            },
            Ok(answer) => {
                accept(answer).ok_or_else(|| StoreError::Decode("another answer".to_owned()))
            }
            Err(sent) if sent && !maybe_made => {
                Err(StoreError::ResponseLost("the relay did not answer".to_owned()))
            }
            Err(_) => Err(failed),
        }
    }

    fn set_suspect(&self) {
        if self.inner.is_suspect.replace(true) {
            return;
        }
        log::warn!(target: "store", "direct calls fail; calls go through other nodes");
        self.inner.suspect.borrow().cancel();
        let api = self.clone();
        monoio::spawn(async move {
            loop {
                monoio::time::sleep(PROBE_INTERVAL).await;
                // Any answer will do, also that there is no such object.
                let probe = api.inner.direct.get("nodes", "probe", Freshness::MayBeOld);
                if probe.await.is_ok() {
                    break;
                }
            }
            log::info!(target: "store", "direct calls work again");
            api.inner.suspect.replace(CancellationToken::new());
            api.inner.is_suspect.set(false);
        });
    }
}

fn is_outage(error: &StoreError) -> bool {
    match error {
        StoreError::RateLimited(_) | StoreError::Unavailable(_) | StoreError::ResponseLost(_) => {
            true
        }
        StoreError::Conflict(_)
        | StoreError::TooLarge
        | StoreError::Compacted
        | StoreError::Decode(_) => false,
    }
}

impl ObjectApi for RelayedApi {
    fn get<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        freshness: Freshness,
    ) -> LocalBoxFuture<'a, Result<Option<Object>, StoreError>> {
        let call = move || StoreCall::Get {
            kind: kind.to_owned(),
            name: name.to_owned(),
            may_be_old: freshness == Freshness::MayBeOld,
        };
        let accept = |answer| match answer {
            StoreAnswer::Object(object) => Some(object),
            _ => None,
        };
        self.run(self.inner.direct.get(kind, name, freshness), call, accept).boxed_local()
    }

    fn list<'a>(
        &'a self,
        kind: &'a str,
    ) -> LocalBoxFuture<'a, Result<(Revision, Vec<Object>), StoreError>> {
        let call = move || StoreCall::List { kind: kind.to_owned() };
        let accept = |answer| match answer {
            StoreAnswer::List(revision, objects) => Some((revision, objects)),
            _ => None,
        };
        self.run(self.inner.direct.list(kind), call, accept).boxed_local()
    }

    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        to: WriteTo,
        condition: Precondition,
        value: &'a Value,
    ) -> LocalBoxFuture<'a, Result<Revision, StoreError>> {
        let call = move || StoreCall::Put {
            kind: kind.to_owned(),
            name: name.to_owned(),
            status: to == WriteTo::Status,
            revision: match condition {
                Precondition::Absent => None,
                Precondition::Revision(revision) => Some(revision),
            },
            value: value.clone(),
        };
        let accept = |answer| match answer {
            StoreAnswer::Written(revision) => Some(revision),
            _ => None,
        };
        let direct = self.inner.direct.put(kind, name, to, condition, value);
        self.run(direct, call, accept).boxed_local()
    }

    fn delete<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
    ) -> LocalBoxFuture<'a, Result<(), StoreError>> {
        let call =
            move || StoreCall::Delete { kind: kind.to_owned(), name: name.to_owned(), revision };
        let accept = |answer| matches!(answer, StoreAnswer::Deleted).then_some(());
        self.run(self.inner.direct.delete(kind, name, revision), call, accept).boxed_local()
    }

    /// While direct calls fail, a watch ends after a pause as if its history were gone, so that its
    /// user lists the kind through another node.
    fn watch<'a>(
        &'a self,
        kinds: &'a [&'a str],
        from: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Watch, StoreError>> {
        if self.inner.is_suspect.get() {
            let relist = async {
                monoio::time::sleep(POLL_INTERVAL).await;
                Err(StoreError::Compacted)
            };
            return async move { Ok(Watch::new(stream::once(relist).boxed_local())) }.boxed_local();
        }
        let suspect = self.inner.suspect.borrow().clone();
        let api = self.clone();
        async move {
            let watch = api.inner.direct.watch(kinds, from, wait).await?;
            let events = stream::unfold((watch, false), move |(mut watch, ended)| {
                let (api, suspect) = (api.clone(), suspect.clone());
                async move {
                    if ended {
                        return None;
                    }
                    let event = match suspect.run_until_cancelled(watch.next()).await {
                        Some(event) => event.transpose()?,
                        None => Err(StoreError::Compacted),
                    };
                    if event.as_ref().err().is_some_and(is_outage) {
                        api.set_suspect();
                    }
                    let ended = event.is_err();
                    Some((event, (watch, ended)))
                }
            });
            Ok(Watch::new(events.boxed_local()))
        }
        .boxed_local()
    }
}
