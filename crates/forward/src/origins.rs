//! Exchange of stream origins between nodes, so that a caller can resume a stream at any of them.
//!
//! Each record is sent to the nodes that rank first for its request id by rendezvous hashing. A
//! node that is asked to resume a stream asks the same nodes.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{CancellationToken, hash::rendezvous_score};
use deck_fleet::{
    OriginRecord, StreamOrigin, StreamOriginStore,
    stream_origins::{MAX_ORIGINS_BYTES, STREAM_ORIGIN_LOOKUP_PATH, STREAM_ORIGINS_PATH},
};
use deck_net::{Body, Client, NetError, cbor};
use futures_util::{StreamExt, stream::FuturesUnordered};
use http::{Method, Request};

/// Number of other nodes that keep each record.
const REPLICA_COUNT: usize = 2;
/// Number of nodes that are asked first; one more than the replicas, because the nodes' lists of
/// each other may differ by a node.
const LOOKUP_COUNT: usize = REPLICA_COUNT + 1;
/// Number of ranked nodes over which records are spread if nodes do not answer, and that are asked in
/// the later rounds of a lookup.
const MAX_RANKS: usize = 2 * LOOKUP_COUNT;
/// Time for which records are collected for one message.
const SEND_DELAY: Duration = Duration::from_millis(10);
/// Timeout of one message with records, and of one lookup.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a node that did not accept records gets no further ones. Nodes that are gone stay
/// listed for a while.
const UNREACHABLE_TIME: Duration = Duration::from_secs(2);
/// Longest time of a lookup over all its rounds. Nodes that answer do so within milliseconds; waiting
/// for silent ones in each round would hold back a refusal for about a second.
const MAX_LOOKUP_TIME: Duration = Duration::from_millis(400);
/// Delays before the rounds of a lookup. Records are normally sent within `SEND_DELAY`; on a busy
/// node or over slow links they take longer than the caller's next attempt.
const LOOKUP_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(40), Duration::from_millis(120)];
/// Maximum number of records in one message; with the limits of the ids and of the names in a
/// configuration it stays below [`MAX_ORIGINS_BYTES`].
const MAX_RECORDS_PER_MESSAGE: usize = 500;
/// Maximum number of records that wait for one node.
const MAX_QUEUED_RECORDS: usize = 5_000;
/// Maximum size of the answer to a lookup.
const MAX_LOOKUP_BYTES: usize = 4096;

/// Returns the current addresses of the other nodes.
pub type PeerList = Rc<dyn Fn() -> Vec<SocketAddr>>;

/// Origins of streams, shared with the other nodes. Clones share their state.
#[derive(Clone, Default)]
pub struct StreamOrigins {
    store: StreamOriginStore,
    /// Connection to the other nodes; `None` if the node has none.
    peers: Option<Rc<Peers>>,
}

/// How the origin of a stream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FoundBy {
    /// A record on this node.
    OwnRecord,
    /// A record on another node.
    OtherNode,
    /// The service has had only one software version.
    SingleVersion,
}

impl FoundBy {
    /// Returns the value used in log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::OwnRecord => "own_record",
            Self::OtherNode => "other_node",
            Self::SingleVersion => "single_version",
        }
    }
}

struct Peers {
    list: PeerList,
    client: Client,
    cancel: CancellationToken,
    /// Records that wait to be sent, by node. Invariant: a task sends to each of these nodes.
    queues: RefCell<HashMap<SocketAddr, Vec<QueuedRecord>>>,
    /// Nodes that did not accept records, with the time from which they are tried again.
    unreachable_until: RefCell<HashMap<SocketAddr, Instant>>,
}

struct QueuedRecord {
    record: OriginRecord,
    /// Nodes for the record's id by their rank.
    ranked_nodes: Rc<[SocketAddr]>,
    /// Rank of the node to which the record is to be sent.
    rank: usize,
}

impl StreamOrigins {
    /// Returns the origins of a node that exchanges them with the nodes in `list` until `cancel` is
    /// cancelled.
    pub fn new(list: PeerList, client: Client, cancel: CancellationToken) -> Self {
        let (queues, unreachable_until) = (RefCell::default(), RefCell::default());
        let peers = Rc::new(Peers { list, client, cancel, queues, unreachable_until });
        Self { store: StreamOriginStore::default(), peers: Some(peers) }
    }

    /// Keeps a record and sends it to other nodes in the background.
    pub(crate) fn record(&self, record: OriginRecord) {
        self.store.insert(record.clone(), Instant::now());
        let Some(peers) = &self.peers else { return };
        let ranked_nodes: Rc<[SocketAddr]> = peers.ranked(&record.request_id).into();
        for rank in 0..REPLICA_COUNT {
            let (record, ranked_nodes) = (record.clone(), ranked_nodes.clone());
            peers.enqueue(QueuedRecord { record, ranked_nodes, rank });
        }
    }

    /// Returns the origin of the stream that the attempt with the given id began.
    ///
    /// Nodes are asked several times, because the record may still be on its way, and more of them
    /// after the first time, because it may be with nodes of lower rank.
    pub(crate) async fn find(
        &self,
        request_id: &str,
        deadline: Instant,
    ) -> Option<(StreamOrigin, FoundBy)> {
        let own_record = || {
            let origin = self.store.find(request_id, Instant::now())?;
            Some((origin, FoundBy::OwnRecord))
        };
        let Some(peers) = &self.peers else { return own_record() };
        let ranked_nodes = peers.ranked(request_id);
        let deadline = deadline.min(Instant::now() + MAX_LOOKUP_TIME);
        for (round, delay) in LOOKUP_DELAYS.into_iter().enumerate() {
            if round > 0 {
                monoio::time::sleep(delay).await;
            }
            if let Some(found) = own_record() {
                return Some(found);
            }
            let count = if round == 0 { LOOKUP_COUNT } else { MAX_RANKS };
            let nodes = &ranked_nodes[..ranked_nodes.len().min(count)];
            if let Some(origin) = peers.ask(nodes, request_id, deadline).await {
                return Some((origin, FoundBy::OtherNode));
            }
            if nodes.is_empty() || Instant::now() >= deadline {
                break;
            }
        }
        None
    }

    /// Stores the records in a message of another node.
    ///
    /// # Errors
    ///
    /// Returns an error if the message cannot be decoded.
    pub fn receive(&self, message: &[u8]) -> Result<(), NetError> {
        let records: Vec<OriginRecord> = cbor::decode(message)?;
        for record in records {
            self.store.insert(record, Instant::now());
        }
        Ok(())
    }

    /// Answers the lookup of another node from the records on this node.
    ///
    /// # Errors
    ///
    /// Returns an error if the message cannot be decoded.
    pub fn serve_lookup(&self, message: &[u8]) -> Result<Bytes, NetError> {
        let request_id: String = cbor::decode(message)?;
        cbor::encode(&self.store.find(&request_id, Instant::now()))
    }
}

impl Peers {
    /// Returns the first [`MAX_RANKS`] other nodes for a request id, in the order of their rank.
    fn ranked(&self, request_id: &str) -> Vec<SocketAddr> {
        let score = |node: &SocketAddr| rendezvous_score(request_id, &node.to_string());
        let mut nodes: Vec<_> =
            (self.list)().into_iter().map(|node| (score(&node), node)).collect();
        nodes.sort_unstable_by(|a, b| b.cmp(a));
        nodes.into_iter().map(|(_, node)| node).take(MAX_RANKS).collect()
    }

    /// Adds a record to the queue of the node with its rank, or of one with a lower rank if that node
    /// is unreachable.
    fn enqueue(self: &Rc<Self>, mut queued: QueuedRecord) {
        let now = Instant::now();
        let node = loop {
            let Some(node) = queued.ranked_nodes.get(queued.rank).copied() else { return };
            let unreachable_until = self.unreachable_until.borrow().get(&node).copied();
            if unreachable_until.is_none_or(|until| until <= now) {
                break node;
            }
            queued.rank += REPLICA_COUNT;
        };
        let mut queues = self.queues.borrow_mut();
        let is_new = !queues.contains_key(&node);
        let queue = queues.entry(node).or_default();
        if queue.len() >= MAX_QUEUED_RECORDS {
            return;
        }
        queue.push(queued);
        drop(queues);
        if is_new {
            let peers = self.clone();
            monoio::spawn(async move { peers.send_queue(node).await });
        }
    }

    /// Sends the records that wait for a node until none is left. Records that the node does not
    /// accept go to a node of lower rank.
    async fn send_queue(self: Rc<Self>, node: SocketAddr) {
        while self.cancel.run_until_cancelled(monoio::time::sleep(SEND_DELAY)).await.is_some() {
            let batch: Vec<QueuedRecord> = {
                let mut queues = self.queues.borrow_mut();
                let queue = queues.get_mut(&node).filter(|queue| !queue.is_empty());
                let Some(queue) = queue else {
                    queues.remove(&node);
                    return;
                };
                queue.drain(..queue.len().min(MAX_RECORDS_PER_MESSAGE)).collect()
            };
            if let Err(error) = self.send(node, &batch).await {
                log::info!(target: "forward", "stream origins not sent node={node} count={} error={error}", batch.len());
                self.set_unreachable(node);
                for queued in batch {
                    self.enqueue(QueuedRecord { rank: queued.rank + REPLICA_COUNT, ..queued });
                }
            }
        }
    }

    fn set_unreachable(&self, node: SocketAddr) {
        let now = Instant::now();
        let mut unreachable_until = self.unreachable_until.borrow_mut();
        unreachable_until.retain(|_, until| *until > now);
        unreachable_until.insert(node, now + UNREACHABLE_TIME);
    }

    async fn send(&self, node: SocketAddr, batch: &[QueuedRecord]) -> Result<(), NetError> {
        let records: Vec<&OriginRecord> = batch.iter().map(|queued| &queued.record).collect();
        let message = cbor::encode(&records)?;
        log::debug!(target: "forward", "stream origins sent node={node} count={} bytes={}", batch.len(), message.len());
        self.call(node, STREAM_ORIGINS_PATH, message, MAX_ORIGINS_BYTES).await.map(drop)
    }

    /// Asks the given nodes at once; returns the first record.
    async fn ask(
        &self,
        nodes: &[SocketAddr],
        request_id: &str,
        deadline: Instant,
    ) -> Option<StreamOrigin> {
        let message = cbor::encode(request_id).ok()?;
        let lookups = nodes.iter().map(|node| {
            self.call(*node, STREAM_ORIGIN_LOOKUP_PATH, message.clone(), MAX_LOOKUP_BYTES)
        });
        let mut lookups: FuturesUnordered<_> = lookups.collect();
        let first_record = async {
            while let Some(answer) = lookups.next().await {
                match answer.and_then(|answer| cbor::decode(&answer)) {
                    Ok(Some(origin)) => return Some(origin),
                    Ok(None) => {}
                    Err(error) => {
                        log::info!(target: "forward", "stream origin lookup failed error={error}");
                    }
                }
            }
            None
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        monoio::time::timeout(time_left, first_record).await.ok().flatten()
    }

    async fn call(
        &self,
        node: SocketAddr,
        path: &str,
        message: Bytes,
        max_answer_bytes: usize,
    ) -> Result<Bytes, NetError> {
        let request = Request::builder().method(Method::POST).uri(path);
        let request = request.body(Body::full(message));
        let request = request.map_err(|error| NetError::Decode(error.to_string()))?;
        self.client.call(node, request, CALL_TIMEOUT, max_answer_bytes).await?.into_ok_body()
    }
}
