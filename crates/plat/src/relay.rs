//! Calls to the object API through another node.
//!
//! The object API may reject some nodes or be unreachable from them while it serves others. A node
//! whose direct calls fail asks another node to make them.

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

use crate::{Object, ObjectApi, ObjectPart, Precondition, ReadConsistency, StoreError, Watch};

/// HTTP path of the endpoint for relayed calls.
pub const RELAY_PATH: &str = "/peer/store";
/// Maximum size of the response to a relayed call.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Delay before a watch fails with `Compacted` while direct calls fail, which makes its user list
/// the objects again. It is short compared with the time in which changes must take effect.
const RELIST_INTERVAL: Duration = Duration::from_millis(700);
/// Interval between checks whether direct calls work again.
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// Maximum number of nodes that are tried for one call.
const MAX_RELAY_ATTEMPTS: usize = 2;

/// Request for a call to the object API, sent to another node.
#[derive(Debug, Serialize, Deserialize)]
enum RelayedCall {
    Get { kind: String, name: String, may_be_old: bool },
    List { kind: String },
    Put { kind: String, name: String, status: bool, revision: Option<Revision>, value: Value },
    Delete { kind: String, name: String, revision: Revision },
}

/// Response to a relayed call.
#[derive(Debug, Serialize, Deserialize)]
enum RelayedResponse {
    Object(Option<Object>),
    List(Revision, Vec<Object>),
    Written(Revision),
    Deleted,
    Failed(RelayedError),
}

/// Error of the object API call that the other node made.
#[derive(Debug, Serialize, Deserialize)]
enum RelayedError {
    Conflict(Option<Revision>),
    TooLarge,
    Unavailable(String),
    ResponseLost(String),
    Decode(String),
}

/// Result of a call sent to other nodes.
struct RelayOutcome {
    /// Response of the last node; `None` if no node responded.
    response: Option<RelayedResponse>,
    /// Whether a node that did not respond may have executed the call.
    may_have_executed: bool,
}

/// Other nodes through which this node can make calls; clones share the list.
#[derive(Clone)]
pub struct RelayPeers {
    client: Client,
    own_address: SocketAddr,
    nodes: Rc<RefCell<Vec<SocketAddr>>>,
    call_timeout: Duration,
}

impl RelayPeers {
    /// Returns a list of `nodes` without the node's own address. A relayed call fails after
    /// `call_timeout`.
    pub fn new(
        client: Client,
        own_address: SocketAddr,
        nodes: Vec<SocketAddr>,
        call_timeout: Duration,
    ) -> Self {
        let peers = Self { client, own_address, nodes: Rc::default(), call_timeout };
        peers.set(nodes);
        peers
    }

    /// Replaces the list of nodes.
    pub fn set(&self, nodes: Vec<SocketAddr>) {
        let other_nodes = nodes.into_iter().filter(|node| *node != self.own_address);
        self.nodes.replace(other_nodes.collect());
    }

    /// Returns the addresses of the other nodes.
    pub fn other_nodes(&self) -> Vec<SocketAddr> {
        self.nodes.borrow().clone()
    }

    /// Sends a call to randomly chosen nodes, one after the other, until one responds.
    async fn call(&self, call: &RelayedCall) -> RelayOutcome {
        let mut body = Vec::new();
        if let Err(error) = ciborium::into_writer(call, &mut body) {
            log::error!(target: "store", "failed to encode a relayed call error={error}");
            return RelayOutcome { response: None, may_have_executed: false };
        }
        let body = Bytes::from(body);
        let nodes: Vec<SocketAddr> =
            self.nodes.borrow().sample(&mut rand::rng(), MAX_RELAY_ATTEMPTS).copied().collect();
        let mut may_have_executed = false;
        for node in nodes {
            match self.call_node(node, body.clone()).await {
                Ok(response) => {
                    return RelayOutcome { response: Some(response), may_have_executed };
                }
                Err(error) => {
                    may_have_executed |= error.may_have_been_sent();
                    log::debug!(target: "store", "relayed call failed node={node} error={error}");
                }
            }
        }
        RelayOutcome { response: None, may_have_executed }
    }

    async fn call_node(&self, node: SocketAddr, body: Bytes) -> Result<RelayedResponse, NetError> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(RELAY_PATH)
            .body(Body::full(body))
            .map_err(|error| NetError::Decode(error.to_string()))?;
        let response =
            self.client.call(node, request, self.call_timeout, MAX_RESPONSE_BYTES).await?;
        cbor::decode(&response.into_ok_body()?)
    }
}

/// Executes a relayed call of another node with `api` and returns the encoded response.
///
/// # Errors
///
/// Returns an error if the request cannot be decoded.
pub async fn serve_relayed_call(api: &dyn ObjectApi, body: &[u8]) -> Result<Bytes, NetError> {
    let response = match cbor::decode(body)? {
        RelayedCall::Get { kind, name, may_be_old } => {
            let consistency =
                if may_be_old { ReadConsistency::Stale } else { ReadConsistency::Strong };
            api.get(&kind, &name, consistency).await.map(RelayedResponse::Object)
        }
        RelayedCall::List { kind } => api
            .list(&kind)
            .await
            .map(|(revision, objects)| RelayedResponse::List(revision, objects)),
        RelayedCall::Put { kind, name, status, revision, value } => {
            let part = if status { ObjectPart::Status } else { ObjectPart::Object };
            let condition = revision.map_or(Precondition::Absent, Precondition::Revision);
            api.put(&kind, &name, part, condition, &value).await.map(RelayedResponse::Written)
        }
        RelayedCall::Delete { kind, name, revision } => {
            api.delete(&kind, &name, revision).await.map(|()| RelayedResponse::Deleted)
        }
    };
    let response = response.unwrap_or_else(|error| RelayedResponse::Failed(relayed_error(error)));
    cbor::encode(&response)
}

/// Converts an error of the object API to the form in which it is sent to the other node.
fn relayed_error(error: StoreError) -> RelayedError {
    match error {
        StoreError::Conflict(current) => RelayedError::Conflict(current),
        StoreError::TooLarge => RelayedError::TooLarge,
        StoreError::RateLimited(_) => RelayedError::Unavailable("rate limit".to_owned()),
        StoreError::Unavailable(message) => RelayedError::Unavailable(message),
        StoreError::ResponseLost(message) => RelayedError::ResponseLost(message),
        StoreError::Compacted => RelayedError::Decode("compacted".to_owned()),
        StoreError::Decode(message) => RelayedError::Decode(message),
    }
}

/// Converts the error that the other node received from the object API.
fn store_error(error: RelayedError) -> StoreError {
    match error {
        RelayedError::Conflict(current) => StoreError::Conflict(current),
        RelayedError::TooLarge => StoreError::TooLarge,
        RelayedError::Unavailable(message) => StoreError::Unavailable(message),
        RelayedError::ResponseLost(message) => StoreError::ResponseLost(message),
        RelayedError::Decode(message) => StoreError::Decode(message),
    }
}

/// Object API that is called directly, or through another node while direct calls fail.
#[derive(Clone)]
pub struct RelayedApi {
    state: Rc<RelayState>,
}

/// State that the clones of a [`RelayedApi`] share.
struct RelayState {
    /// Object API as reached from this node.
    direct: Rc<dyn ObjectApi>,
    /// Nodes that make the calls while direct ones fail.
    peers: RelayPeers,
    /// Cancelled when direct calls start to fail, which ends running watches; replaced when direct
    /// calls work again.
    outage_signal: RefCell<CancellationToken>,
    direct_calls_failing: Cell<bool>,
}

impl RelayedApi {
    /// Returns an object API that uses `direct`, and `peers` while direct calls fail.
    pub fn new(direct: Rc<dyn ObjectApi>, peers: RelayPeers) -> Self {
        let outage_signal = RefCell::default();
        let state =
            RelayState { direct, peers, outage_signal, direct_calls_failing: Cell::new(false) };
        Self { state: Rc::new(state) }
    }

    /// Makes a call directly unless direct calls are known to fail, and through another node if
    /// that fails. `extract_result` returns the result from a response, or `None` if it is a
    /// response to another kind of call.
    async fn call_direct_or_relayed<T>(
        &self,
        direct: impl Future<Output = Result<T, StoreError>>,
        call: impl FnOnce() -> RelayedCall,
        extract_result: impl Fn(RelayedResponse) -> Option<T>,
    ) -> Result<T, StoreError> {
        let mut direct_error = StoreError::Unavailable("direct calls fail".to_owned());
        if !self.state.direct_calls_failing.get() {
            match direct.await {
                Err(error) if is_outage(&error) => {
                    direct_error = error;
                    self.start_outage();
                }
                other => return other,
            }
        }
        let outcome = self.state.peers.call(&call()).await;
        let earlier_error = match direct_error {
            error @ StoreError::ResponseLost(_) => error,
            _ if outcome.may_have_executed => {
                StoreError::ResponseLost("the relay did not answer".to_owned())
            }
            error => error,
        };
        let may_have_executed = matches!(earlier_error, StoreError::ResponseLost(_));
        match outcome.response {
            Some(RelayedResponse::Failed(remote_error)) => match store_error(remote_error) {
                // The conflict may be with the call's own earlier write, whose response was lost.
                // The other errors do not show that this write had no effect either.
                StoreError::Conflict(_) | StoreError::Unavailable(_) | StoreError::Decode(_)
                    if may_have_executed =>
                {
                    Err(earlier_error)
                }
                error => Err(error),
            },
            Some(response) => extract_result(response)
                .ok_or_else(|| StoreError::Decode("another answer".to_owned())),
            None => Err(earlier_error),
        }
    }

    /// Makes further calls go through other nodes and ends running watches, until a probe shows that
    /// direct calls work again.
    fn start_outage(&self) {
        if self.state.direct_calls_failing.replace(true) {
            return;
        }
        log::warn!(target: "store", "direct calls fail; calls go through other nodes");
        self.state.outage_signal.borrow().cancel();
        let api = self.clone();
        monoio::spawn(async move {
            loop {
                monoio::time::sleep(PROBE_INTERVAL).await;
                // Any response shows that the API is reachable; the object need not exist.
                let probe = api.state.direct.get("nodes", "probe", ReadConsistency::Stale);
                if probe.await.is_ok() {
                    break;
                }
            }
            log::info!(target: "store", "direct calls work again");
            api.state.outage_signal.replace(CancellationToken::new());
            api.state.direct_calls_failing.set(false);
        });
    }
}

/// Returns whether another node may succeed where a call failed with this error.
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
        consistency: ReadConsistency,
    ) -> LocalBoxFuture<'a, Result<Option<Object>, StoreError>> {
        let call = move || RelayedCall::Get {
            kind: kind.to_owned(),
            name: name.to_owned(),
            may_be_old: consistency == ReadConsistency::Stale,
        };
        let extract_result = |response| match response {
            RelayedResponse::Object(object) => Some(object),
            _ => None,
        };
        self.call_direct_or_relayed(
            self.state.direct.get(kind, name, consistency),
            call,
            extract_result,
        )
        .boxed_local()
    }

    fn list<'a>(
        &'a self,
        kind: &'a str,
    ) -> LocalBoxFuture<'a, Result<(Revision, Vec<Object>), StoreError>> {
        let call = move || RelayedCall::List { kind: kind.to_owned() };
        let extract_result = |response| match response {
            RelayedResponse::List(revision, objects) => Some((revision, objects)),
            _ => None,
        };
        self.call_direct_or_relayed(self.state.direct.list(kind), call, extract_result)
            .boxed_local()
    }

    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        part: ObjectPart,
        condition: Precondition,
        value: &'a Value,
    ) -> LocalBoxFuture<'a, Result<Revision, StoreError>> {
        let call = move || RelayedCall::Put {
            kind: kind.to_owned(),
            name: name.to_owned(),
            status: part == ObjectPart::Status,
            revision: match condition {
                Precondition::Absent => None,
                Precondition::Revision(revision) => Some(revision),
            },
            value: value.clone(),
        };
        let extract_result = |response| match response {
            RelayedResponse::Written(revision) => Some(revision),
            _ => None,
        };
        let direct = self.state.direct.put(kind, name, part, condition, value);
        self.call_direct_or_relayed(direct, call, extract_result).boxed_local()
    }

    fn delete<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
    ) -> LocalBoxFuture<'a, Result<(), StoreError>> {
        let call =
            move || RelayedCall::Delete { kind: kind.to_owned(), name: name.to_owned(), revision };
        let extract_result = |response| matches!(response, RelayedResponse::Deleted).then_some(());
        self.call_direct_or_relayed(
            self.state.direct.delete(kind, name, revision),
            call,
            extract_result,
        )
        .boxed_local()
    }

    /// While direct calls fail, a watch ends with `Compacted` after a delay, so that its user lists
    /// the objects, which works through another node.
    fn watch<'a>(
        &'a self,
        kinds: &'a [&'a str],
        from: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Watch, StoreError>> {
        if self.state.direct_calls_failing.get() {
            let compacted = async {
                monoio::time::sleep(RELIST_INTERVAL).await;
                Err(StoreError::Compacted)
            };
            return async move { Ok(Watch::new(stream::once(compacted).boxed_local())) }
                .boxed_local();
        }
        let outage_signal = self.state.outage_signal.borrow().clone();
        let api = self.clone();
        async move {
            let watch = api.state.direct.watch(kinds, from, wait).await?;
            let events = stream::unfold((watch, false), move |(mut watch, ended)| {
                let (api, outage_signal) = (api.clone(), outage_signal.clone());
                async move {
                    if ended {
                        return None;
                    }
                    let event = match outage_signal.run_until_cancelled(watch.next()).await {
                        Some(event) => event.transpose()?,
                        None => Err(StoreError::Compacted),
                    };
                    if event.as_ref().err().is_some_and(is_outage) {
                        api.start_outage();
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
