//! Background tasks of the call handler.

use std::time::{Duration, Instant};

use deck_core::{CancellationToken, timer::TimerService};

use crate::{
    claim_cleanup::{OrphanedClaims, delete_next_due_claim},
    load_poller,
    peer_exchange::{exchange_crashes, exchange_demand, exchange_leaving},
    shared::SharedRef,
    usage_writer,
};

/// Interval of the exchange of crash fingerprints and leaving targets with other VMs. Values are
/// published only when they change.
const FAULT_EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the exchange of demand for capacity shares with other VMs. An organisation that
/// needs capacity of its own share that others are using must get it back within 2 s.
const DEMAND_EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which usage counters are published to other VMs.
const USAGE_PUBLISH_INTERVAL: Duration = Duration::from_secs(5);

/// Starts all background tasks; they end when `cancel` is cancelled.
pub(crate) fn start(shared: &SharedRef, timers: &TimerService, cancel: &CancellationToken) {
    spawn_until_cancelled(cancel, follow_configuration(shared.clone()));
    spawn_until_cancelled(cancel, run_demand_exchange(shared.clone(), timers.clone()));
    spawn_until_cancelled(cancel, run_fault_exchange(shared.clone(), timers.clone()));
    spawn_until_cancelled(cancel, run_usage_publisher(shared.clone(), timers.clone()));
    spawn_until_cancelled(cancel, usage_writer::run_usage_writer(shared.clone(), timers.clone()));
    spawn_until_cancelled(cancel, run_load_poller(shared.clone(), timers.clone()));
    spawn_until_cancelled(cancel, run_claim_deletion(shared.clone(), timers.clone()));
    spawn_until_cancelled(cancel, run_orphaned_claim_cleanup(shared.clone(), timers.clone()));
}

/// Spawns a task that is dropped when `cancel` is cancelled.
fn spawn_until_cancelled(cancel: &CancellationToken, task: impl Future<Output = ()> + 'static) {
    let cancel = cancel.clone();
    monoio::spawn(async move {
        cancel.run_until_cancelled(task).await;
    });
}

/// Applies the configuration to the pool index, the router and admission after each change.
async fn follow_configuration(shared: SharedRef) {
    let mut changes = shared.config.subscribe();
    loop {
        changes.borrow_and_update();
        shared.pools.borrow_mut().apply_configuration(
            &shared.config,
            &shared.router,
            &shared.admission,
        );
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Periodically exchanges demand for capacity shares with other VMs.
async fn run_demand_exchange(shared: SharedRef, timers: TimerService) {
    let mut ticks = timers.every(DEMAND_EXCHANGE_INTERVAL);
    while let Some(tick) = ticks.next().await {
        exchange_demand(&shared, tick.at);
    }
}

/// Periodically exchanges crash fingerprints and leaving targets with other VMs.
async fn run_fault_exchange(shared: SharedRef, timers: TimerService) {
    let mut ticks = timers.every(FAULT_EXCHANGE_INTERVAL);
    let mut last_crash_version = 0;
    while let Some(tick) = ticks.next().await {
        exchange_crashes(&shared, &mut last_crash_version, tick.at);
        exchange_leaving(&shared, tick.at);
    }
}

/// Periodically publishes the usage counters of this process.
async fn run_usage_publisher(shared: SharedRef, timers: TimerService) {
    let mut ticks = timers.every(USAGE_PUBLISH_INTERVAL);
    while ticks.next().await.is_some() {
        usage_writer::publish_report(&shared);
    }
}

/// Requests load reports from engines at the configured rate; 0 disables the polling.
async fn run_load_poller(shared: SharedRef, timers: TimerService) {
    let polls_per_s = shared.options.max_load_polls_per_s;
    if polls_per_s == 0 {
        return;
    }
    let mut ticks = timers.every(Duration::from_secs(1) / polls_per_s);
    while let Some(tick) = ticks.next().await {
        load_poller::poll_next_target(&shared, tick.at);
    }
}

/// Deletes expired claims of this process at the configured rate.
async fn run_claim_deletion(shared: SharedRef, timers: TimerService) {
    let deletes_per_s = shared.options.at_most_once.max_claim_deletes_per_s.max(0.001);
    let mut ticks = timers.every(Duration::from_secs_f64(1.0 / deletes_per_s));
    while ticks.next().await.is_some() {
        delete_next_due_claim(&shared, Instant::now()).await;
    }
}

/// Periodically deletes expired claims of ended processes.
async fn run_orphaned_claim_cleanup(shared: SharedRef, timers: TimerService) {
    let mut orphaned_claims = OrphanedClaims::default();
    let mut ticks = timers.every(shared.options.at_most_once.claim_retention);
    while ticks.next().await.is_some() {
        orphaned_claims.delete_expired(&shared).await;
    }
}
