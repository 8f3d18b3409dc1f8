//! Requests that crash the targets that run them, recognised by all nodes together.

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

/// Time for which crashes are gathered before the other nodes are told. A target that crashes breaks
/// all its requests at once.
const GATHER: Duration = Duration::from_millis(100);
/// Time between two tries to tell a node that did not answer.
const RETRY: Duration = Duration::from_secs(1);
/// Time between two messages with the same crashes, for nodes that have started since.
const REFRESH: Duration = Duration::from_secs(10);
/// Time for one message.
const TELL_LIMIT: Duration = Duration::from_millis(500);

/// Refuses requests that have crashed several targets; clones share their state.
#[derive(Clone)]
pub struct CrashGuard {
    inner: Rc<Inner>,
}

struct Inner {
    vm: VmId,
    options: CrashOptions,
    tracker: RefCell<CrashTracker>,
    board: CrashBoard,
    /// Version of the board that the tracker has.
    board_version: Cell<Option<u64>>,
    /// Notified when there is something new to tell.
    changed: Notify,
}

impl CrashGuard {
    /// Returns a guard that knows of the crashes of this node, `vm`, and those on `board`.
    pub fn new(vm: VmId, board: CrashBoard, options: CrashOptions) -> Self {
        let tracker = RefCell::new(CrashTracker::new(options.clone()));
        let (board_version, changed) = (Cell::new(None), Notify::new());
        Self { inner: Rc::new(Inner { vm, options, tracker, board, board_version, changed }) }
    }

    /// Checks that a request may run.
    ///
    /// # Errors
    ///
    /// Returns an error if the request has crashed too many targets.
    pub fn check(&self, fingerprint: Fingerprint) -> Result<(), CallError> {
        self.take_over_board();
        if !self.inner.tracker.borrow().is_condemned(fingerprint) {
            return Ok(());
        }
        let message = "this request has crashed several targets that ran it";
        let error = CallError::new(ErrorKind::RequestSuspended, message);
        Err(error.with_retry_after(self.inner.options.keep))
    }

    /// Returns the targets of a pool at which a request must not run, so that the next crash shows
    /// which request is the cause.
    pub(crate) fn excluded(&self, fingerprint: Fingerprint, pool: &str) -> Vec<TargetId> {
        let tracker = self.inner.tracker.borrow();
        if !tracker.is_suspect(fingerprint) {
            return Vec::new();
        }
        tracker.targets_with_suspects(pool)
    }

    /// Takes note that a request starts at a target.
    pub(crate) fn start(
        &self,
        request_id: &str,
        fingerprint: Fingerprint,
        key: TargetKey,
    ) -> RunningCall {
        let guard = self.clone();
        let mut call = RunningCall {
            guard,
            request_id: request_id.to_owned(),
            fingerprint,
            key,
            is_suspect: false,
        };
        call.note_suspicion();
        call
    }

    fn take_over_board(&self) {
        let Inner { vm, tracker, board, board_version, .. } = &*self.inner;
        if board_version.get() == Some(board.version()) {
            return;
        }
        let nodes = board.nodes(Instant::now());
        let others = nodes.into_iter().filter(|node| node.vm != *vm);
        tracker.borrow_mut().set_others(others.flat_map(|node| node.crashes));
        board_version.set(Some(board.version()));
    }

    /// Tells the other nodes of the crashes of this one until `cancel` is cancelled.
    pub async fn keep_telling(self, feed: Feed, client: Client, cancel: CancellationToken) {
        let mut told_version = 0;
        let mut failed = Vec::new();
        loop {
            let wait = if failed.is_empty() { REFRESH } else { RETRY };
            let changed = monoio::time::timeout(wait, self.inner.changed.notified());
            match cancel.run_until_cancelled(changed).await {
                None => return,
                Some(Ok(())) => monoio::time::sleep(GATHER).await,
                Some(Err(_)) => {}
            }
            let (crashes, version) = {
                let mut tracker = self.inner.tracker.borrow_mut();
                (tracker.to_publish(Instant::now()), tracker.version())
            };
            let is_news = version != told_version;
            if crashes.is_empty() && !is_news && failed.is_empty() {
                continue;
            }
            told_version = version;
            let node = NodeCrashes { vm: self.inner.vm.clone(), crashes };
            self.inner.board.set(node.clone(), Instant::now());
            let mut to = feed.told_nodes();
            if !is_news && !failed.is_empty() {
                // Nodes that are no longer told anything are not tried again.
                to.retain(|node| failed.contains(node));
            }
            failed = tell(&client, &to, &node).await;
        }
    }
}

impl Default for CrashGuard {
    /// Knows of no other nodes.
    fn default() -> Self {
        Self::new(VmId::new(), CrashBoard::default(), CrashOptions::default())
    }
}

/// Tells nodes of crashes; returns those that did not answer.
async fn tell(client: &Client, nodes: &[SocketAddr], crashes: &NodeCrashes) -> Vec<SocketAddr> {
    let mut message = Vec::new();
    if let Err(error) = ciborium::into_writer(crashes, &mut message) {
        log::error!(target: "forward", "crashes not encoded error={error}");
        return Vec::new();
    }
    let message = Bytes::from(message);
    let told = join_all(nodes.iter().map(|node| tell_one(client, *node, message.clone()))).await;
    let failed = nodes.iter().zip(told).filter_map(|(node, result)| match result {
        Ok(()) => None,
        Err(error) => {
            log::info!(target: "forward", "node not told of crashes node={node} error={error}");
            Some(*node)
        }
    });
    failed.collect()
}

async fn tell_one(client: &Client, node: SocketAddr, message: Bytes) -> Result<(), NetError> {
    let request = Request::builder().method(Method::POST).uri(CRASHES_PATH);
    let request = request.body(Body::full(message));
    let request = request.map_err(|error| NetError::Decode(error.to_string()))?;
    client.call(node, request, TELL_LIMIT, MAX_CRASHES_BYTES).await?.ok().map(drop)
}

/// Takes a message with the crashes of another node.
///
/// # Errors
///
/// Returns an error if the message is not of the expected form.
pub fn take_crashes(board: &CrashBoard, message: &[u8]) -> Result<(), NetError> {
    board.set(cbor::decode(message)?, Instant::now());
    Ok(())
}

/// A request that runs at a target. Dropping it says nothing about the request.
pub struct RunningCall {
    guard: CrashGuard,
    request_id: RequestId,
    fingerprint: Fingerprint,
    key: TargetKey,
    /// Whether the tracker counts the call among the suspects at the target.
    is_suspect: bool,
}

impl RunningCall {
    /// Takes note that the target answered, so that the request has not crashed it.
    pub(crate) fn survived(self) {
        let was_held = self.guard.inner.tracker.borrow_mut().succeeded(self.fingerprint);
        if was_held {
            self.guard.inner.changed.notify_one();
        }
    }

    /// Finds out whether the target has crashed after its connection broke.
    pub(crate) fn broken(mut self, client: Client, address: SocketAddr) {
        monoio::spawn(async move {
            if client.still_listens(address).await {
                return;
            }
            self.guard.take_over_board();
            self.note_suspicion();
            let tracker = &self.guard.inner.tracker;
            let (fingerprint, suspect) = (self.fingerprint, self.is_suspect);
            tracker.borrow_mut().crashed(fingerprint, &self.key, suspect, Instant::now());
            let counts = tracker.borrow().counts(fingerprint);
            log::info!(
                target: "forward",
                "target crashed request={} target={} crashes_alone={} crashes_in_company={}",
                self.request_id, self.key.target, counts.alone, counts.in_company
            );
            self.guard.inner.changed.notify_one();
        });
    }

    fn note_suspicion(&mut self) {
        let mut tracker = self.guard.inner.tracker.borrow_mut();
        if !self.is_suspect && tracker.is_suspect(self.fingerprint) {
            tracker.suspect_started(&self.key);
            self.is_suspect = true;
        }
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        if self.is_suspect {
            self.guard.inner.tracker.borrow_mut().suspect_ended(&self.key);
        }
    }
}
