//! The lease of the node that runs new batch jobs and gives orders.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_batch::BatchService;
use deck_core::{CancellationToken, object::LEASE_KIND};
use deck_fleet::{Bounds, Feed, Follower, Leader};
use deck_plat::{
    Acquire, HeldLease, Kept, LeaseCandidate, LeaseOptions, Store, lease::parse_record,
};
use deck_swap::{Giver, Runners, RunnersParts};

use crate::retire;

/// Name of the lease.
const LEASE_NAME: &str = "leader";
/// Time between two looks at the lease of another node. Two looks fit into a lease's duration, so
/// that a missed one does not delay the takeover by a whole duration.
const LOOK_INTERVAL: Duration = Duration::from_millis(1200);
/// Time between two looks at the lease by a node that stops.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(600);
/// Time between two looks at the lease while the object API does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which an order may be on its way: its call limit, and a margin.
const ORDER_MARGIN: Duration = Duration::from_millis(1100);

/// What the leader does.
#[derive(Clone)]
pub struct Duties {
    /// Name of this VM.
    pub vm: String,
    /// Address of this VM for other nodes.
    pub address: SocketAddr,
    /// Object API.
    pub store: Store,
    /// Told who leads; says whether this node competes for the lease.
    pub feed: Feed,
    /// Orders.
    pub giver: Giver,
    /// What the choice of runners works with.
    pub runners: RunnersParts,
    /// Follows the objects that only the leader needs.
    pub follower: Follower,
    /// Bounds of the deployment.
    pub bounds: Rc<RefCell<Bounds>>,
    /// Batch jobs.
    pub batch: BatchService,
    /// Whether this node holds the lease.
    pub leads: Rc<Cell<bool>>,
}

/// Competes for the lease and does its duties while this node holds it, until `cancel` is
/// cancelled.
pub async fn run(duties: Duties, cancel: CancellationToken) {
    let duration = duties.bounds.borrow().lease;
    let options = LeaseOptions { duration, resolve_tries: 2, reclaim_own: true };
    let address = duties.address.to_string();
    let (store, vm) = (duties.store.clone(), duties.vm.clone());
    let bounds = duties.bounds.clone();
    let mut candidate = LeaseCandidate::new(store, LEASE_NAME, vm, address, options)
        .with_duration(Rc::new(move || bounds.borrow().lease));
    while !cancel.is_cancelled() {
        // Watchers compete for the lease and tell the other nodes who has it. A node that reaches no
        // watcher follows the object API itself, and competes too.
        if cancel.run_until_cancelled(duties.feed.until_following()).await.is_none() {
            return;
        }
        let mut pause = LOOK_INTERVAL;
        candidate = match candidate.try_acquire().await {
            Acquire::Held(held) => match lead(&duties, held, &cancel).await {
                Some(candidate) => candidate,
                None => return,
            },
            Acquire::HeldElsewhere(candidate, record) => {
                let address = record.address.parse().ok();
                let leader = address.map(|address| Leader { vm: record.holder, address });
                duties.feed.set_leader(leader);
                candidate
            }
            Acquire::Failed(candidate, error) => {
                log::info!(target: "lead", "lease not read error={error}");
                pause = RETRY_INTERVAL;
                candidate
            }
        };
        cancel.run_until_cancelled(monoio::time::sleep(pause)).await;
    }
}

/// Follows who holds the lease without competing for it, until `cancel` is cancelled. A node that
/// stops hands its jobs to the next leader.
pub async fn observe(duties: Duties, cancel: CancellationToken) {
    while cancel.run_until_cancelled(monoio::time::sleep(OBSERVE_INTERVAL)).await.is_some() {
        if !duties.feed.is_following() {
            continue;
        }
        let record = match duties.store.get_any(LEASE_KIND, LEASE_NAME).await {
            Ok(Some(object)) => parse_record(&object),
            Ok(None) => continue,
            Err(error) => Err(error),
        };
        match record {
            Ok(record) => {
                let address = record.address.parse().ok().filter(|_| !record.holder.is_empty());
                let leader = address.map(|address| Leader { vm: record.holder, address });
                duties.feed.set_leader(leader);
            }
            Err(error) => log::info!(target: "lead", "lease not read error={error}"),
        }
    }
}

/// Does the duties of the leader until the lease is lost; `None` after it was given up.
async fn lead(
    duties: &Duties,
    held: HeldLease,
    cancel: &CancellationToken,
) -> Option<LeaseCandidate> {
    let token = held.token();
    let Bounds { lease, fencing_checked, job_retention, .. } = *duties.bounds.borrow();
    // Orders of two holders must be a whole lease apart, unless targets check fencing numbers and
    // refuse what an earlier holder still sends.
    let is_other = held.previous_holder().is_some_and(|previous| previous != duties.vm);
    let start = match held.previous_acts_until() {
        Some(acts_until) if is_other && !fencing_checked => acts_until + lease + ORDER_MARGIN,
        _ => Instant::now(),
    };
    log::info!(target: "lead", "lease held fencing={} previous={:?}", token.fencing(), held.previous_holder());
    let leader = Leader { vm: duties.vm.clone(), address: duties.address };
    duties.feed.set_leader(Some(leader));
    let stop = cancel.child_token();
    let (versions, version_stop) = (duties.follower.clone(), stop.clone());
    monoio::spawn(async move { versions.versions(version_stop).await });
    let (retiring, retire_stop) = (duties.clone(), stop.clone());
    monoio::spawn(async move { retire::run(&retiring, retire_stop).await });
    let (batch, guard_stop) = (duties.batch.clone(), stop.clone());
    monoio::spawn(async move { batch.guard(guard_stop).await });
    let (batch, sweep_stop) = (duties.batch.clone(), stop.clone());
    monoio::spawn(async move { batch.sweep(job_retention, sweep_stop).await });
    let runners = Runners::new(duties.runners.clone(), token.fencing());
    let runner_stop = stop.clone();
    monoio::spawn(async move { runners.run(runner_stop).await });
    let (giver, order_stop) = (duties.giver.clone(), stop.clone());
    monoio::spawn(async move { giver.run(token, start, order_stop).await });
    duties.leads.set(true);
    let kept = held.keep(cancel.clone()).await;
    duties.leads.set(false);
    stop.cancel();
    match kept {
        Kept::Lost(candidate) => {
            log::warn!(target: "lead", "lease lost");
            Some(*candidate)
        }
        Kept::Released => {
            log::info!(target: "lead", "lease released");
            None
        }
    }
}
