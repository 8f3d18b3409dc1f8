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
    CrashRegistry, FleetFeed, NodeCrashes,
    crash_registry::{CRASHES_PATH, MAX_ALL_CRASHES_BYTES, MAX_CRASHES_BYTES},
};
use deck_limit::{
    CrashOptions,
    crash::{CrashTracker, Fingerprint, TargetKey},
};
use deck_net::{Body, Client, NetError, cbor};
use deck_reach::{TargetAddress, TargetClient};
use futures_util::future::join_all;
use http::{Method, Request};
use tokio::sync::Notify;

/// Delay between a crash and its publication. A target that crashes interrupts all its requests at
/// once, and the delay lets one message report all of them.
const PUBLISH_DELAY: Duration = Duration::from_millis(100);
/// Interval at which a message is sent again to the nodes that did not acknowledge it.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which unchanged crashes are published again, for nodes that have started meanwhile.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);
/// Time for which a node that has just started asks the others for crash reports. Longer than other
/// nodes take to become known; a node without others gives up then.
const MAX_RESTORE_TIME: Duration = Duration::from_secs(3);
/// Interval at which a node that has just started asks again.
const RESTORE_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of one message to one node.
const PUBLISH_TIMEOUT: Duration = Duration::from_millis(500);

/// Refuses requests that have crashed several targets. Clones share their state.
#[derive(Clone)]
pub struct CrashGuard {
    shared: Rc<SharedState>,
}

/// State that the clones of a [`CrashGuard`] share.
struct SharedState {
    /// This VM; crashes that the registry lists under its name are not counted again.
    vm: VmId,
    options: CrashOptions,
    /// Counts crashes by request, as observed by this node and as imported from `registry`.
    tracker: RefCell<CrashTracker>,
    /// Crashes that all nodes have published.
    registry: CrashRegistry,
    /// Version of the shared crash registry that was last copied to the tracker.
    imported_registry_version: Cell<Option<u64>>,
    /// Notified when the target crashes that this node observed have changed.
    local_crashes_changed: Notify,
}

impl CrashGuard {
    /// Returns a guard of the node on `vm`. It counts the target crashes that this node observes and
    /// those that other nodes have published to `registry`.
    pub fn new(vm: VmId, registry: CrashRegistry, options: CrashOptions) -> Self {
        let tracker = RefCell::new(CrashTracker::new(options.clone()));
        let (imported_registry_version, local_crashes_changed) = (Cell::new(None), Notify::new());
        Self {
            shared: Rc::new(SharedState {
                vm,
                options,
                tracker,
                registry,
                imported_registry_version,
                local_crashes_changed,
            }),
        }
    }

    /// Checks that a request may run, given the target crashes that all nodes have observed.
    ///
    /// # Errors
    ///
    /// Returns an error if the request has crashed too many targets.
    pub fn check_allowed(&self, fingerprint: Fingerprint) -> Result<(), CallError> {
        self.import_remote_crashes();
        if !self.shared.tracker.borrow().is_blocked(fingerprint) {
            return Ok(());
        }
        let message = "this request has crashed several targets that ran it";
        let error = CallError::new(ErrorKind::RequestSuspended, message);
        Err(error.with_retry_after(self.shared.options.retention))
    }

    /// Returns the targets of a pool that a suspect request must avoid because another suspect runs
    /// there. With one suspect per target, the next crash identifies the cause.
    pub(crate) fn targets_to_avoid(&self, fingerprint: Fingerprint, pool: &str) -> Vec<TargetId> {
        let tracker = self.shared.tracker.borrow();
        if !tracker.is_suspect(fingerprint) {
            return Vec::new();
        }
        tracker.targets_with_suspects(pool)
    }

    /// Starts crash tracking of a request that is about to be sent to a target. Crashes are not
    /// attributed to a request without a fingerprint.
    pub(crate) fn start_call(
        &self,
        request_id: &str,
        fingerprint: Option<Fingerprint>,
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

    /// Copies the target crashes observed by other nodes from the shared crash registry to the tracker if
    /// the registry has changed or a report in it has expired.
    fn import_remote_crashes(&self) {
        let SharedState { vm, tracker, registry, imported_registry_version, .. } = &*self.shared;
        let now = Instant::now();
        registry.remove_expired(now);
        if imported_registry_version.get() == Some(registry.version()) {
            return;
        }
        let reports = registry.reports(now);
        let remote_reports = reports.into_iter().filter(|report| report.vm != *vm);
        tracker.borrow_mut().set_remote_crashes(remote_reports.flat_map(|report| report.crashes));
        imported_registry_version.set(Some(registry.version()));
    }

    /// Gets the crash reports that the other nodes know; returns whether any node answered. Those of
    /// this VM come from an earlier process and become crashes that this process publishes.
    async fn restore(&self, feed: &FleetFeed, client: &Client) -> bool {
        let nodes = feed.broadcast_nodes();
        let answers = join_all(nodes.iter().map(|node| request_reports(client, *node))).await;
        let answers: Vec<_> = answers.into_iter().filter_map(Result::ok).collect();
        let (is_answered, now) = (!answers.is_empty(), Instant::now());
        let reports = answers.into_iter().flatten();
        let (own, others): (Vec<_>, Vec<_>) =
            reports.partition(|report| report.vm == self.shared.vm);
        for report in others {
            self.shared.registry.set_if_absent(report, now);
        }
        // The nodes may have received different reports of the earlier process. The longest one
        // misses none of its crashes.
        if let Some(longest) = own.into_iter().max_by_key(|report| report.crashes.len()) {
            let crashes = longest.crashes;
            log::info!(target: "forward", "crashes of an earlier process restored count={}", crashes.len());
            self.shared.tracker.borrow_mut().restore_local_crashes(crashes, now);
        }
        is_answered
    }

    /// Publishes the target crashes observed by this node to the other nodes until `cancel` is
    /// cancelled. Gets the reports that the others know first, because the first report of this process
    /// replaces that of an earlier one.
    pub async fn run_publisher(self, feed: FleetFeed, client: Client, cancel: CancellationToken) {
        let restore_until = Instant::now() + MAX_RESTORE_TIME;
        let mut is_restored = false;
        let mut published_version = 0;
        let mut unreachable_nodes = Vec::new();
        loop {
            if !is_restored {
                let restored = cancel.run_until_cancelled(self.restore(&feed, &client)).await;
                let Some(restored) = restored else { return };
                is_restored = restored || Instant::now() >= restore_until;
            }
            let max_wait = match (is_restored, unreachable_nodes.is_empty()) {
                (false, _) => RESTORE_RETRY_INTERVAL,
                (true, true) => REFRESH_INTERVAL,
                (true, false) => RETRY_INTERVAL,
            };
            let change_or_timeout =
                monoio::time::timeout(max_wait, self.shared.local_crashes_changed.notified());
            match cancel.run_until_cancelled(change_or_timeout).await {
                None => return,
                Some(Ok(())) => monoio::time::sleep(PUBLISH_DELAY).await,
                Some(Err(_)) => {}
            }
            let (crashes, version) = {
                let mut tracker = self.shared.tracker.borrow_mut();
                (tracker.local_crashes(Instant::now()), tracker.version())
            };
            let has_changes = version != published_version;
            if crashes.is_empty() && !has_changes && unreachable_nodes.is_empty() {
                continue;
            }
            let local_crashes = NodeCrashes { vm: self.shared.vm.clone(), crashes };
            self.shared.registry.set(local_crashes.clone(), Instant::now());
            if !is_restored {
                continue;
            }
            published_version = version;
            let mut recipients = feed.broadcast_nodes();
            if !has_changes && !unreachable_nodes.is_empty() {
                // Nodes that are no longer recipients are not retried.
                recipients.retain(|node| unreachable_nodes.contains(node));
            }
            unreachable_nodes = publish(&client, &recipients, &local_crashes).await;
        }
    }
}

impl Default for CrashGuard {
    /// Returns a guard that considers only the target crashes observed by this node.
    fn default() -> Self {
        Self::new(VmId::new(), CrashRegistry::default(), CrashOptions::default())
    }
}

/// Sends the target crashes observed by this node to other nodes; returns the nodes that did not
/// acknowledge them.
async fn publish(
    client: &Client,
    nodes: &[SocketAddr],
    local_crashes: &NodeCrashes,
) -> Vec<SocketAddr> {
    let mut message = Vec::new();
    if let Err(error) = ciborium::into_writer(local_crashes, &mut message) {
        log::error!(target: "forward", "failed to encode crashes error={error}");
        return Vec::new();
    }
    let message = Bytes::from(message);
    let results =
        join_all(nodes.iter().map(|node| publish_to(client, *node, message.clone()))).await;
    let unreachable_nodes = nodes.iter().zip(results).filter_map(|(node, result)| match result {
        Ok(()) => None,
        Err(error) => {
            log::info!(target: "forward", "node not told of crashes node={node} error={error}");
            Some(*node)
        }
    });
    unreachable_nodes.collect()
}

/// Sends an encoded crash message to one node.
async fn publish_to(client: &Client, node: SocketAddr, message: Bytes) -> Result<(), NetError> {
    let request = Request::builder().method(Method::POST).uri(CRASHES_PATH);
    let request = request.body(Body::full(message));
    let request = request.map_err(|error| NetError::Decode(error.to_string()))?;
    client.call(node, request, PUBLISH_TIMEOUT, MAX_CRASHES_BYTES).await?.into_ok_body().map(drop)
}

/// Asks one node for the crash reports of all nodes.
async fn request_reports(client: &Client, node: SocketAddr) -> Result<Vec<NodeCrashes>, NetError> {
    let request = Request::builder().method(Method::GET).uri(CRASHES_PATH).body(Body::empty());
    let request = request.map_err(|error| NetError::Decode(error.to_string()))?;
    let answer = client.call(node, request, PUBLISH_TIMEOUT, MAX_ALL_CRASHES_BYTES).await?;
    cbor::decode(&answer.into_ok_body()?)
}

/// Encodes the crash reports of all nodes for a node that has just started.
///
/// # Errors
///
/// Returns an error if they cannot be encoded.
pub fn encode_reports(registry: &CrashRegistry) -> Result<Bytes, NetError> {
    cbor::encode(&registry.reports(Instant::now()))
}

/// Decodes the message in which another node publishes the target crashes that it observed, and stores
/// them in the shared crash registry.
///
/// # Errors
///
/// Returns an error if the message cannot be decoded.
pub fn receive_crashes(registry: &CrashRegistry, message: &[u8]) -> Result<(), NetError> {
    registry.set(cbor::decode(message)?, Instant::now());
    Ok(())
}

/// Crash tracking of a request that runs at a target. Dropping it records neither a success nor a
/// crash.
pub struct RunningCall {
    guard: CrashGuard,
    request_id: RequestId,
    /// Fingerprint under which a crash is counted; `None` if no crash is attributed to the request.
    fingerprint: Option<Fingerprint>,
    /// Target on which the request runs.
    target_key: TargetKey,
    /// Whether the tracker counts the call among the suspects that run at the target.
    is_counted_suspect: bool,
}

impl RunningCall {
    /// Records that the target completed the request, and clears the crashes that this node has observed
    /// for the request.
    pub(crate) fn record_success(self) {
        let Some(fingerprint) = self.fingerprint else { return };
        let had_crashes = self.guard.shared.tracker.borrow_mut().record_success(fingerprint);
        if had_crashes {
            self.guard.shared.local_crashes_changed.notify_one();
        }
    }

    /// Checks whether the target has crashed after its connection broke, and records the crash.
    pub(crate) fn detect_crash(mut self, client: TargetClient, address: SocketAddr) {
        let Some(fingerprint) = self.fingerprint else { return };
        monoio::spawn(async move {
            let target = TargetAddress { id: &self.target_key.target, address };
            if client.accepts_connections(target).await {
                return;
            }
            self.guard.import_remote_crashes();
            self.count_if_suspect();
            let tracker = &self.guard.shared.tracker;
            tracker.borrow_mut().record_crash(
                fingerprint,
                &self.target_key,
                self.is_counted_suspect,
                Instant::now(),
            );
            let counts = tracker.borrow().counts(fingerprint);
            log::info!(
                target: "forward",
                "target crashed request={} target={} crashes_alone={} crashes_in_company={}",
                self.request_id, self.target_key.target, counts.sole_suspect, counts.ambiguous
            );
            self.guard.shared.local_crashes_changed.notify_one();
        });
    }

    /// Counts the call among the target's running suspects if the request is a suspect by now.
    fn count_if_suspect(&mut self) {
        let Some(fingerprint) = self.fingerprint else { return };
        let mut tracker = self.guard.shared.tracker.borrow_mut();
        if !self.is_counted_suspect && tracker.is_suspect(fingerprint) {
            tracker.record_suspect_start(&self.target_key);
            self.is_counted_suspect = true;
        }
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        if self.is_counted_suspect {
            self.guard.shared.tracker.borrow_mut().record_suspect_end(&self.target_key);
        }
    }
}
