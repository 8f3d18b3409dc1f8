//! Detection of requests that crash the targets they run on, shared among all nodes.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{
    CancellationToken,
    error::{CallError, ErrorKind},
    id::{RequestId, TargetId, VmId},
};
use deck_fleet::{
    CrashBoard, Feed, NodeCrashes,
    board::{CRASHES_PATH, MAX_CRASHES_BYTES},
};
use deck_limit::{
    CrashOptions,
    crash::{CrashTracker, Fingerprint, TargetKey},
};
use deck_net::{Body, Client, NetError, cbor};
use futures_util::future::join_all;
use http::{Method, Request};
use tokio::sync::Notify;

/// Delay between a crash and its publication. A target that crashes breaks all its requests at once,
/// so the delay lets one message report them all.
const PUBLISH_DELAY: Duration = Duration::from_millis(100);
/// Time between attempts to reach a node that did not acknowledge a message.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which unchanged crashes are published again, for nodes that have started meanwhile.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);
/// Timeout of one message to one node.
const PUBLISH_TIMEOUT: Duration = Duration::from_millis(500);

/// Refuses requests that have crashed several targets. Clones share their state.
#[derive(Clone)]
pub struct CrashGuard {
    inner: Rc<Inner>,
}

struct Inner {
    vm: VmId,
    options: CrashOptions,
    tracker: RefCell<CrashTracker>,
    board: CrashBoard,
    /// Version of the board that was last copied to the tracker.
    applied_board_version: Cell<Option<u64>>,
    /// Notified when the crashes of this node have changed.
    local_change: Notify,
}

impl CrashGuard {
    /// Returns a guard that combines the crashes seen by this node, `vm`, with those on `board`.
    pub fn new(vm: VmId, board: CrashBoard, options: CrashOptions) -> Self {
        let tracker = RefCell::new(CrashTracker::new(options.clone()));
        let (applied_board_version, local_change) = (Cell::new(None), Notify::new());
        Self {
            inner: Rc::new(Inner {
                vm,
                options,
                tracker,
                board,
                applied_board_version,
                local_change,
            }),
        }
    }

    /// Checks that a request may run, given the crashes that all nodes have seen.
    ///
    /// # Errors
    ///
    /// Returns an error if the request has crashed too many targets.
    pub fn check_allowed(&self, fingerprint: Fingerprint) -> Result<(), CallError> {
        self.sync_from_board();
        if !self.inner.tracker.borrow().is_condemned(fingerprint) {
            return Ok(());
        }
        let message = "this request has crashed several targets that ran it";
        let error = CallError::new(ErrorKind::RequestSuspended, message);
        Err(error.with_retry_after(self.inner.options.keep))
    }

    /// Returns the targets of a pool that a suspect request must avoid because another suspect runs
    /// there. With one suspect per target, the next crash identifies the cause.
    pub(crate) fn targets_to_avoid(&self, fingerprint: Fingerprint, pool: &str) -> Vec<TargetId> {
        let tracker = self.inner.tracker.borrow();
        if !tracker.is_suspect(fingerprint) {
            return Vec::new();
        }
        tracker.targets_with_suspects(pool)
    }

    /// Starts crash tracking of a request that is about to be sent to a target.
    pub(crate) fn start_call(
        &self,
        request_id: &str,
        fingerprint: Fingerprint,
        target_key: TargetKey,
    ) -> RunningCall {
        let guard = self.clone();
        let mut call = RunningCall {
            guard,
            request_id: request_id.to_owned(),
            fingerprint,
            target_key,
            is_counted_suspect: false,
        };
        call.count_if_suspect();
        call
    }

    /// Copies the crashes of the other nodes from the board to the tracker if the board has changed.
    fn sync_from_board(&self) {
        let Inner { vm, tracker, board, applied_board_version, .. } = &*self.inner;
        if applied_board_version.get() == Some(board.version()) {
            return;
        }
        let nodes = board.nodes(Instant::now());
        let others = nodes.into_iter().filter(|node| node.vm != *vm);
        tracker.borrow_mut().set_others(others.flat_map(|node| node.crashes));
        applied_board_version.set(Some(board.version()));
    }

    /// Publishes the crashes of this node to the other nodes until `cancel` is cancelled.
    pub async fn keep_telling(self, feed: Feed, client: Client, cancel: CancellationToken) {
        let mut published_version = 0;
        let mut unreachable = Vec::new();
        loop {
            let max_wait = if unreachable.is_empty() { REFRESH_INTERVAL } else { RETRY_INTERVAL };
            let changed = monoio::time::timeout(max_wait, self.inner.local_change.notified());
            match cancel.run_until_cancelled(changed).await {
                None => return,
                Some(Ok(())) => monoio::time::sleep(PUBLISH_DELAY).await,
                Some(Err(_)) => {}
            }
            let (crashes, version) = {
                let mut tracker = self.inner.tracker.borrow_mut();
                (tracker.to_publish(Instant::now()), tracker.version())
            };
            let has_changes = version != published_version;
            if crashes.is_empty() && !has_changes && unreachable.is_empty() {
                continue;
            }
            published_version = version;
            let node_crashes = NodeCrashes { vm: self.inner.vm.clone(), crashes };
            self.inner.board.set(node_crashes.clone(), Instant::now());
            let mut recipients = feed.told_nodes();
            if !has_changes && !unreachable.is_empty() {
                // Nodes that are no longer recipients are not retried.
                recipients.retain(|node| unreachable.contains(node));
            }
            unreachable = publish(&client, &recipients, &node_crashes).await;
        }
    }
}

impl Default for CrashGuard {
    /// Returns a guard without other nodes.
    fn default() -> Self {
        Self::new(VmId::new(), CrashBoard::default(), CrashOptions::default())
    }
}

/// Sends the crashes of this node to other nodes; returns those that did not acknowledge them.
async fn publish(client: &Client, nodes: &[SocketAddr], crashes: &NodeCrashes) -> Vec<SocketAddr> {
    let mut message = Vec::new();
    if let Err(error) = ciborium::into_writer(crashes, &mut message) {
        log::error!(target: "forward", "failed to encode crashes error={error}");
        return Vec::new();
    }
    let message = Bytes::from(message);
    let results =
        join_all(nodes.iter().map(|node| publish_to(client, *node, message.clone()))).await;
    let unreachable = nodes.iter().zip(results).filter_map(|(node, result)| match result {
        Ok(()) => None,
        Err(error) => {
            log::info!(target: "forward", "node not told of crashes node={node} error={error}");
            Some(*node)
        }
    });
    unreachable.collect()
}

/// Sends an encoded crash message to one node.
async fn publish_to(client: &Client, node: SocketAddr, message: Bytes) -> Result<(), NetError> {
    let request = Request::builder().method(Method::POST).uri(CRASHES_PATH);
    let request = request.body(Body::full(message));
    let request = request.map_err(|error| NetError::Decode(error.to_string()))?;
    client.call(node, request, PUBLISH_TIMEOUT, MAX_CRASHES_BYTES).await?.ok().map(drop)
}

/// Decodes a message with the crashes of another node and stores them on the board.
///
/// # Errors
///
/// Returns an error if the message cannot be decoded.
pub fn take_crashes(board: &CrashBoard, message: &[u8]) -> Result<(), NetError> {
    board.set(cbor::decode(message)?, Instant::now());
    Ok(())
}

/// Crash tracking of a request that runs at a target. Dropping it records neither a success nor a
/// crash.
pub struct RunningCall {
    guard: CrashGuard,
    request_id: RequestId,
    fingerprint: Fingerprint,
    target_key: TargetKey,
    /// Whether the tracker counts the call among the suspects that run at the target.
    is_counted_suspect: bool,
}

impl RunningCall {
    /// Records that the target completed the request, and clears this node's crashes of the request.
    pub(crate) fn record_success(self) {
        let was_counted = self.guard.inner.tracker.borrow_mut().succeeded(self.fingerprint);
        if was_counted {
            self.guard.inner.local_change.notify_one();
        }
    }

    /// Checks whether the target has crashed after its connection broke, and records the crash.
    pub(crate) fn detect_crash(mut self, client: Client, address: SocketAddr) {
        monoio::spawn(async move {
            if client.still_listens(address).await {
                return;
            }
            self.guard.sync_from_board();
            self.count_if_suspect();
            let tracker = &self.guard.inner.tracker;
            let (fingerprint, suspect) = (self.fingerprint, self.is_counted_suspect);
            tracker.borrow_mut().crashed(fingerprint, &self.target_key, suspect, Instant::now());
            let counts = tracker.borrow().counts(fingerprint);
            log::info!(
                target: "forward",
                "target crashed request={} target={} crashes_alone={} crashes_in_company={}",
                self.request_id, self.target_key.target, counts.alone, counts.in_company
            );
            self.guard.inner.local_change.notify_one();
        });
    }

    /// Counts the call among the target's running suspects if the request is a suspect by now.
    fn count_if_suspect(&mut self) {
        let mut tracker = self.guard.inner.tracker.borrow_mut();
        if !self.is_counted_suspect && tracker.is_suspect(self.fingerprint) {
            tracker.suspect_started(&self.target_key);
            self.is_counted_suspect = true;
        }
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        if self.is_counted_suspect {
            self.guard.inner.tracker.borrow_mut().suspect_ended(&self.target_key);
        }
    }
}
