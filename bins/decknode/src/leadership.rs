//! Leader election by a lease, and the tasks of the leader: it assigns models to runner nodes,
//! orders targets to load weight versions, orders the number of targets, moves jobs away from unresponsive runners, deletes old
//! jobs and completes VM retirements.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_batch::BatchService;
use deck_core::{CancellationToken, id::Revision, object::LEASE_KIND};
use deck_duty::usage::UsageHolder;
use deck_fleet::{Bounds, FleetFeed, Leader, ObjectFollower};
use deck_net::{
    Body, Client,
    http::{Method, Request},
};
use deck_plat::{
    AcquireResult, HeldLease, LeaseCandidate, LeaseEnd, LeaseOptions, Store, lease::parse_record,
};
use deck_reach::TargetClient;
use deck_swap::{RunnerManager, RunnerManagerDependencies, WeightUpdater};
use futures_util::future::select;
use tokio::sync::Notify;

use crate::{
    scaling::{self, TargetScaler},
    vm_retirement,
};

/// Name of the leader's lease in the object API.
const LEADER_LEASE_NAME: &str = "leader";
/// Interval at which a candidate reads a lease that another node holds. Two reads fit into the
/// lease duration, so that one failed read does not delay the takeover by a whole duration.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(1200);
/// Interval at which a stopping node reads the lease.
const OBSERVER_POLL_INTERVAL: Duration = Duration::from_millis(600);
/// Interval at which a candidate retries while the object API does not answer.
const LEASE_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum time that an order may be in transit: the timeout of its call plus a margin.
const MAX_ORDER_TRANSIT_TIME: Duration = Duration::from_millis(1100);

/// Minimum time for which a leader that is cut off from the targets keeps the lease. Longer than the
/// lease, so that leaders which are all cut off do not take turns within its duration.
const MIN_CUT_OFF_TENURE: Duration = Duration::from_secs(4);
/// Maximum time for which a new leader checks its links before it leads. Its lease stays valid meanwhile.
const LINK_CHECK_TIMEOUT: Duration = Duration::from_millis(800);
/// Path of the invitation of another node to compete for the lease.
pub const INVITATION_PATH: &str = "/peer/lead";
/// Timeout of an invitation.
const INVITATION_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of the answer to an invitation.
const MAX_ANSWER_BYTES: usize = 4096;
/// Time without a change of the lease after which a node that is cut off competes for it. Each candidate
/// reads the lease several times meanwhile.
const UNCLAIMED_TIME: Duration = Duration::from_secs(5);

/// Dependencies of leader election and of the leader's tasks.
#[derive(Clone)]
pub struct LeadershipContext {
    /// Name of this VM; the lease record names it as the holder.
    pub vm: String,
    /// Address on which this node serves other nodes; published as the leader's address.
    pub address: SocketAddr,
    /// Client of the object API.
    pub store: Store,
    /// Sends the holder of the lease to the other nodes. Its state also decides whether this node
    /// competes for the lease: only nodes that follow the object API do.
    pub feed: FleetFeed,
    /// Orders targets to load weight versions.
    pub weight_updater: WeightUpdater,
    /// Dependencies of the assignment of models to runner nodes.
    pub runners: RunnerManagerDependencies,
    /// Watches the objects that only the leader needs: weight versions and VM retirements.
    pub follower: ObjectFollower,
    /// Limits that the deployment sets, such as the lease duration.
    pub bounds: Rc<RefCell<Bounds>>,
    /// Batch jobs of the fleet. The leader moves jobs away from unresponsive runners and deletes the
    /// objects of old jobs.
    pub batch: BatchService,
    /// Reports the use of the organisations; `None` if it is not reported.
    pub usage: Option<UsageHolder>,
    /// Orders targets of the services whose number can be chosen.
    pub target_scaler: TargetScaler,
    /// Client for requests to targets, which knows whether this node is cut off from them.
    pub targets: TargetClient,
    /// HTTP client for calls to other nodes.
    pub client: Client,
    /// Notified when a node that may not lead well invites this one to compete for the lease.
    pub invitations: Rc<Notify>,
    /// Set while this node holds the lease; read by the metrics.
    pub is_leader: Rc<Cell<bool>>,
}

/// Competes for the lease and runs the leader's tasks while this node holds it, until `cancel` is
/// cancelled.
pub async fn run_candidate(context: LeadershipContext, cancel: CancellationToken) {
    let mut candidate = new_candidate(&context);
    while !cancel.is_cancelled() {
        // Watchers compete for the lease and report its holder to other nodes. A node that reaches
        // no watcher follows the object API itself and also competes, and so does one that is invited.
        let (watching, invited) = (
            pin!(context.feed.wait_until_watching_object_api()),
            pin!(context.invitations.notified()),
        );
        if cancel.run_until_cancelled(select(watching, invited)).await.is_none() {
            return;
        }
        let role = match abstain_while_cut_off(&context, &cancel).await {
            Abstention::LeaseUnclaimed => CutOffRole::Leads,
            Abstention::Ended => CutOffRole::Resigns,
        };
        let mut poll_delay = LEASE_POLL_INTERVAL;
        candidate = match candidate.try_acquire().await {
            AcquireResult::Held(held) => match lead_until_lost(&context, held, role, &cancel).await
            {
                Some(candidate) => candidate,
                None if cancel.is_cancelled() => return,
                None => new_candidate(&context),
            },
            AcquireResult::HeldElsewhere(candidate, record) => {
                let address = record.address.parse().ok();
                let leader = address.map(|address| Leader { vm: record.holder, address });
                context.feed.set_leader(leader);
                candidate
            }
            AcquireResult::Failed(candidate, error) => {
                log::info!(target: "lead", "reading the lease failed error={error}");
                poll_delay = LEASE_RETRY_INTERVAL;
                candidate
            }
        };
        cancel.run_until_cancelled(monoio::time::sleep(poll_delay)).await;
    }
}

fn new_candidate(context: &LeadershipContext) -> LeaseCandidate {
    let duration = context.bounds.borrow().lease;
    let options = LeaseOptions { duration, max_read_backs: 2, reclaim_own: true };
    let address = context.address.to_string();
    let (store, vm) = (context.store.clone(), context.vm.clone());
    let bounds = context.bounds.clone();
    LeaseCandidate::new(store, LEADER_LEASE_NAME, vm, address, options)
        .with_duration_source(Rc::new(move || bounds.borrow().lease))
}

/// What a leader does that is cut off from the targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CutOffRole {
    /// It leaves the lease to others.
    Resigns,
    /// It leads as well as it can, because no other node has claimed the lease.
    Leads,
}

/// Why a node no longer leaves the lease to others.
enum Abstention {
    /// It is not cut off from the targets.
    Ended,
    /// It is cut off, and no other node holds the lease.
    LeaseUnclaimed,
}

/// Tracks the holder of the lease while this node is cut off from the targets and others hold the lease.
async fn abstain_while_cut_off(
    context: &LeadershipContext,
    cancel: &CancellationToken,
) -> Abstention {
    let (mut last_revision, mut changed_at) = (None, Instant::now());
    let mut invited_at = Instant::now();
    while context.targets.is_cut_off() {
        if changed_at.elapsed() >= UNCLAIMED_TIME {
            return Abstention::LeaseUnclaimed;
        }
        let pause = monoio::time::sleep(OBSERVER_POLL_INTERVAL);
        if cancel.run_until_cancelled(pause).await.is_none() {
            break;
        }
        if context.feed.is_watching_object_api()
            && let Some(revision) = observe_lease(context).await
            && last_revision != Some(revision)
        {
            (last_revision, changed_at) = (Some(revision), Instant::now());
        }
        // The other candidates have had the time to claim a lease that was released.
        let is_free = context.feed.leader().is_none() && changed_at.elapsed() > LEASE_POLL_INTERVAL;
        if is_free && invited_at.elapsed() > LEASE_POLL_INTERVAL {
            invited_at = Instant::now();
            invite_candidate(context).await;
        }
    }
    Abstention::Ended
}

/// Invites a node that reaches the targets to compete for the lease.
async fn invite_candidate(context: &LeadershipContext) {
    let Some(node) = context.targets.find_reaching_node().await else { return };
    let request = Request::builder().method(Method::POST).uri(INVITATION_PATH).body(Body::empty());
    let Ok(request) = request else { return };
    let answer = context.client.call(node, request, INVITATION_TIMEOUT, MAX_ANSWER_BYTES).await;
    log::info!(target: "lead", "invited to lead node={node} answered={}", answer.is_ok());
}

/// Waits until this node, which has just become the leader, has to resign: its links to the targets are
/// cut while other nodes reach them.
async fn wait_until_cut_off(targets: TargetClient, role: CutOffRole) {
    let acquired_at = Instant::now();
    let Some(mut is_cut_off) = targets.subscribe_cut_off() else {
        return std::future::pending().await;
    };
    if role == CutOffRole::Leads && is_cut_off.wait_for(|is_cut_off| !*is_cut_off).await.is_err() {
        return std::future::pending().await;
    }
    loop {
        if is_cut_off.wait_for(|is_cut_off| *is_cut_off).await.is_err() {
            return std::future::pending().await;
        }
        let tenure_left = MIN_CUT_OFF_TENURE.saturating_sub(acquired_at.elapsed());
        monoio::time::sleep(tenure_left).await;
        if *is_cut_off.borrow() {
            return;
        }
    }
}

/// Tracks the holder of the lease without competing for it, until `cancel` is cancelled. A stopping
/// node needs it to hand its jobs to the next leader.
pub async fn observe_leader(context: LeadershipContext, cancel: CancellationToken) {
    while cancel.run_until_cancelled(monoio::time::sleep(OBSERVER_POLL_INTERVAL)).await.is_some() {
        if context.feed.is_watching_object_api() {
            observe_lease(&context).await;
        }
    }
}

/// Reads the lease and reports its holder to the other nodes. Returns the revision of the lease.
async fn observe_lease(context: &LeadershipContext) -> Option<Revision> {
    let lease = match context.store.get_stale(LEASE_KIND, LEADER_LEASE_NAME).await {
        Ok(lease) => parse_record(lease.as_ref()?).map(|record| (record, lease)),
        Err(error) => Err(error),
    };
    match lease {
        Ok((record, lease)) => {
            let address = record.address.parse().ok().filter(|_| !record.holder.is_empty());
            let leader = address.map(|address| Leader { vm: record.holder, address });
            context.feed.set_leader(leader);
            lease.map(|lease| lease.revision)
        }
        Err(error) => {
            log::info!(target: "lead", "reading the lease failed error={error}");
            None
        }
    }
}

/// Runs the leader's tasks until the lease is lost. Returns `None` if this node released it, because it
/// stops or is cut off from the targets.
async fn lead_until_lost(
    context: &LeadershipContext,
    held: HeldLease,
    role: CutOffRole,
    stop: &CancellationToken,
) -> Option<LeaseCandidate> {
    let link_check = monoio::time::timeout(LINK_CHECK_TIMEOUT, context.targets.check_links());
    if role == CutOffRole::Resigns && link_check.await.unwrap_or(false) {
        log::warn!(target: "lead", "not leading: links to targets are cut");
        if let Err(error) = held.release().await {
            log::warn!(target: "lead", "release failed error={error}");
        }
        return None;
    }
    let cancel = stop.child_token();
    let lease_token = held.token();
    let Bounds { lease, fencing_checked, job_retention, .. } = *context.bounds.borrow();
    // Orders of two successive holders must be at least one lease duration apart, unless targets
    // check fencing numbers and thereby refuse late orders of the previous holder.
    let was_other_node = held.previous_holder().is_some_and(|previous| previous != context.vm);
    let orders_start = match held.previous_valid_until() {
        Some(previous_valid_until) if was_other_node && !fencing_checked => {
            previous_valid_until + lease + MAX_ORDER_TRANSIT_TIME
        }
        _ => Instant::now(),
    };
    log::info!(target: "lead", "lease held fencing={} previous={:?}", lease_token.fencing(), held.previous_holder());
    let leader = Leader { vm: context.vm.clone(), address: context.address };
    context.feed.set_leader(Some(leader));
    let tasks_cancel = cancel.child_token();
    let (resign, cut_off) = (cancel.clone(), wait_until_cut_off(context.targets.clone(), role));
    let watch_cancel = tasks_cancel.clone();
    monoio::spawn(async move {
        if watch_cancel.run_until_cancelled(cut_off).await.is_some() {
            log::warn!(target: "lead", "resigning: links to targets are cut");
            resign.cancel();
        }
    });
    let (version_follower, follow_cancel) = (context.follower.clone(), tasks_cancel.clone());
    monoio::spawn(async move { version_follower.follow_versions(follow_cancel).await });
    let (retirement_context, retirement_cancel) = (context.clone(), tasks_cancel.clone());
    monoio::spawn(async move {
        vm_retirement::answer_requests(&retirement_context, retirement_cancel).await
    });
    let (batch, recovery_cancel) = (context.batch.clone(), tasks_cancel.clone());
    monoio::spawn(async move { batch.recover_silent_jobs(recovery_cancel).await });
    let (batch, sweep_cancel) = (context.batch.clone(), tasks_cancel.clone());
    monoio::spawn(async move { batch.run_sweeper(job_retention, sweep_cancel).await });
    let runners = RunnerManager::new(context.runners.clone(), lease_token.fencing());
    let runners_cancel = tasks_cancel.clone();
    monoio::spawn(async move { runners.run(runners_cancel).await });
    if let Some(usage) = context.usage.clone() {
        let (usage_token, usage_cancel) = (lease_token.clone(), tasks_cancel.clone());
        // A report of an earlier holder, or of an earlier process of this one, may be executed after
        // the lease was released or reclaimed, if its answer was lost.
        let has_earlier_holder = lease_token.fencing() > 1;
        let is_handed_on = held.previous_valid_until().is_none() || !was_other_node;
        let reports_start = if !fencing_checked && has_earlier_holder && is_handed_on {
            orders_start.max(Instant::now() + lease + MAX_ORDER_TRANSIT_TIME)
        } else {
            orders_start
        };
        monoio::spawn(async move { usage.run(usage_token, reports_start, usage_cancel).await });
    }
    let (target_scaler, scaling_cancel) = (context.target_scaler.clone(), tasks_cancel.clone());
    let (scaling_token, scaling_options) =
        (lease_token.clone(), scaling::planner_options(fencing_checked, lease));
    monoio::spawn(async move {
        target_scaler.run(scaling_token, orders_start, scaling_options, scaling_cancel).await
    });
    let (weight_updater, orders_cancel) = (context.weight_updater.clone(), tasks_cancel.clone());
    monoio::spawn(
        async move { weight_updater.run(lease_token, orders_start, orders_cancel).await },
    );
    context.is_leader.set(true);
    let outcome = held.renew_until_cancelled(cancel.clone()).await;
    context.is_leader.set(false);
    tasks_cancel.cancel();
    match outcome {
        LeaseEnd::Lost(candidate) => {
            log::warn!(target: "lead", "lease lost");
            Some(*candidate)
        }
        LeaseEnd::Released => {
            log::info!(target: "lead", "lease released");
            None
        }
    }
}
