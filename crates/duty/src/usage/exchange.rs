//! Exchange of counts between nodes: copies against the loss of a node, and answers to the holder.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{CancellationToken, hash::rendezvous_score};
use deck_net::{Body, Client, NetError, cbor};
use futures_util::future::join_all;
use http::{Method, Request};
use serde::{Deserialize, Serialize};

use crate::usage::{NodeAnswer, SourceCounts, UsageMeter, WindowNumber};

/// Path of the messages between nodes.
pub const USAGE_PATH: &str = "/peer/usage";
/// Maximum size of a message or of its answer.
pub const MAX_USAGE_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// Number of other nodes that have a copy of a node's counts.
const COPY_COUNT: usize = 2;
/// Number of nodes that are tried for the copies if some do not answer.
const MAX_COPY_ATTEMPTS: usize = 2 * COPY_COUNT;
/// Minimum time for which counts are collected for one message.
const MIN_COPY_DELAY: Duration = Duration::from_millis(20);
/// Minimum time between two messages with copies. A node that crashes loses at most the counts of it.
const MIN_COPY_INTERVAL: Duration = Duration::from_millis(50);
/// Copies that all nodes together send to the holder of the lease in a second, at most. In a large
/// fleet under high load they would fill its CPU; there, nodes collect counts for longer.
const MAX_COPIES_PER_S: f64 = 250.0;
/// Delay before copies are sent again if too few nodes have accepted them.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Timeout of a message.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Message to another node: counts to keep, a question, or both.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
struct UsageMessage {
    /// Counts that the receiver keeps.
    counts: Vec<SourceCounts>,
    /// If set, the receiver answers with all counts that it has of this window and later ones.
    question: Option<WindowNumber>,
}

/// Answer to a message.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct UsageAnswer {
    /// First window that the node may still add requests to.
    first_open: WindowNumber,
    /// Counts that were asked for.
    counts: Vec<SourceCounts>,
}

/// Exchanges the counts of a node's meter with the other nodes; clones share their state.
#[derive(Clone)]
pub struct UsageExchange {
    meter: UsageMeter,
    own_address: SocketAddr,
    /// Returns the addresses of all nodes.
    nodes: Rc<dyn Fn() -> Vec<SocketAddr>>,
    /// Returns the address of the node that holds the lease, if it is known.
    leader: Rc<dyn Fn() -> Option<SocketAddr>>,
    client: Client,
}

impl UsageExchange {
    /// Returns the exchange of the node at `own_address` with the nodes that `nodes` returns, of which
    /// the one that `leader` returns holds the lease.
    pub fn new(
        meter: UsageMeter,
        own_address: SocketAddr,
        nodes: Rc<dyn Fn() -> Vec<SocketAddr>>,
        leader: Rc<dyn Fn() -> Option<SocketAddr>>,
        client: Client,
    ) -> Self {
        Self { meter, own_address, nodes, leader, client }
    }

    /// Returns the meter of this node.
    pub fn meter(&self) -> &UsageMeter {
        &self.meter
    }

    /// Returns the addresses of all nodes that may have counts, this one included.
    pub fn nodes(&self) -> Vec<SocketAddr> {
        let mut nodes = (self.nodes)();
        if !nodes.contains(&self.own_address) {
            nodes.push(self.own_address);
        }
        nodes
    }

    /// Answers a message of another node.
    ///
    /// # Errors
    ///
    /// Returns an error if the message cannot be decoded.
    pub fn serve(&self, message: &[u8]) -> Result<Bytes, NetError> {
        let message: UsageMessage = cbor::decode(message)?;
        self.meter.merge(&message.counts);
        // Read before the counts, so that no request is missing in windows before it.
        let first_open = self.meter.first_open_window();
        let counts = message.question.map_or_else(Vec::new, |from| self.meter.entries(from, false));
        cbor::encode(&UsageAnswer { first_open, counts })
    }

    /// Sends copies of this node's new counts to other nodes until `cancel` is cancelled.
    pub async fn run_copies(self, cancel: CancellationToken) {
        let mut last_copy: Option<Instant> = None;
        while cancel.run_until_cancelled(self.meter.unshared()).await.is_some() {
            let since_last = last_copy.map(|last| last.elapsed());
            let delay = copy_delay((self.nodes)().len(), since_last);
            if cancel.run_until_cancelled(monoio::time::sleep(delay)).await.is_none() {
                return;
            }
            let Some(from) = self.meter.take_unshared() else { continue };
            last_copy = Some(Instant::now());
            if !self.copy(self.meter.entries(from, true)).await.is_shared() {
                self.meter.set_unshared(from);
                cancel.run_until_cancelled(monoio::time::sleep(RETRY_DELAY)).await;
            }
        }
    }

    /// Sends all counts of this node, also those that it keeps for others, to other nodes before the
    /// process exits.
    pub async fn hand_over(&self) {
        let counts = self.meter.entries(0, false);
        if counts.is_empty() {
            return;
        }
        let source_count = counts.len();
        let is_handed_over = self.copy(counts).await.is_held_elsewhere;
        log::info!(target: "usage", "counts handed over entries={source_count} accepted={is_handed_over}");
    }

    /// Sends counts to [`COPY_COUNT`] other nodes.
    async fn copy(&self, counts: Vec<SourceCounts>) -> CopyOutcome {
        let mut nodes = self.nodes();
        nodes.retain(|node| *node != self.own_address);
        if nodes.is_empty() {
            return CopyOutcome { is_held_elsewhere: true, is_leader_missed: false };
        }
        // The holder of the lease stores what it has; the others are the same ones each time.
        let (own_name, leader) = (self.own_address.to_string(), (self.leader)());
        nodes.sort_by_cached_key(|node| {
            let score = rendezvous_score(&own_name, &node.to_string());
            std::cmp::Reverse((leader == Some(*node), score))
        });
        let message = UsageMessage { counts, question: None };
        let (first, others) = nodes.split_at(nodes.len().min(COPY_COUNT));
        let accepted = join_all(first.iter().map(|node| self.offer(*node, &message))).await;
        let is_leader_missed = leader == Some(first[0]) && !accepted[0];
        let mut accepted_count = accepted.into_iter().filter(|is_accepted| *is_accepted).count();
        for node in others.iter().take(MAX_COPY_ATTEMPTS - COPY_COUNT) {
            if accepted_count >= COPY_COUNT {
                break;
            }
            accepted_count += usize::from(self.offer(*node, &message).await);
        }
        CopyOutcome { is_held_elsewhere: accepted_count > 0, is_leader_missed }
    }

    /// Sends a message with copies to a node. Returns whether it has accepted them.
    async fn offer(&self, node: SocketAddr, message: &UsageMessage) -> bool {
        let result = self.call(node, message).await;
        if let Err(error) = &result {
            log::info!(target: "usage", "copy of counts not accepted node={node} error={error}");
        }
        result.is_ok()
    }

    /// Asks a node for its counts of the window `from` and later ones, and takes them over.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not answer.
    pub(crate) async fn ask(
        &self,
        node: SocketAddr,
        from: WindowNumber,
    ) -> Result<NodeAnswer, NetError> {
        if node == self.own_address {
            return Ok(NodeAnswer { node, first_open: self.meter.first_open_window() });
        }
        let message = UsageMessage { counts: Vec::new(), question: Some(from) };
        let answer = self.call(node, &message).await?;
        self.meter.merge(&answer.counts);
        Ok(NodeAnswer { node, first_open: answer.first_open })
    }

    async fn call(
        &self,
        node: SocketAddr,
        message: &UsageMessage,
    ) -> Result<UsageAnswer, NetError> {
        let request = Request::builder().method(Method::POST).uri(USAGE_PATH);
        let request = request.body(Body::full(cbor::encode(message)?));
        let request = request.map_err(|error| NetError::Decode(error.to_string()))?;
        let response = self.client.call(node, request, CALL_TIMEOUT, MAX_USAGE_MESSAGE_BYTES);
        cbor::decode(&response.await?.into_ok_body()?)
    }
}

/// Outcome of sending copies of counts.
#[derive(Debug, Clone, Copy)]
struct CopyOutcome {
    /// Whether another node has the counts, or there is no other node.
    is_held_elsewhere: bool,
    /// Whether the holder of the lease, which stores what it has, did not accept them.
    is_leader_missed: bool,
}

impl CopyOutcome {
    /// Returns whether the counts need not be sent again.
    fn is_shared(self) -> bool {
        self.is_held_elsewhere && !self.is_leader_missed
    }
}

/// Returns the time for which a node collects counts for one message, given the time since its last
/// one.
///
/// Load: a fleet in which each node counts a request now and then. The counts are copied at once;
/// only nodes with many requests wait for the end of the interval.
pub fn copy_delay(node_count: usize, since_last: Option<Duration>) -> Duration {
    let interval = Duration::from_secs_f64(node_count as f64 / MAX_COPIES_PER_S);
    let interval = interval.max(MIN_COPY_INTERVAL);
    let rest = since_last.map_or(Duration::ZERO, |since_last| interval.saturating_sub(since_last));
    rest.max(MIN_COPY_DELAY)
}
