//! Periodic tasks of the data path.

use std::time::{Duration, Instant};

use deck_core::{CancellationToken, timer::TimerService};

use crate::{
    exchange::{exchange_crashes, exchange_demand, exchange_leaving},
    load,
    shared::SharedRef,
    sweep::{Orphans, delete_next},
    usage_status,
};

/// Time between two exchanges of crash fingerprints and leaving targets. They are published only
/// when they change.
const FAULT_PERIOD: Duration = Duration::from_millis(100);
/// Time between two exchanges of demand. Lent share is reclaimed within 2 s.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(500);
/// Time between two publications of usage counters.
const USAGE_PERIOD: Duration = Duration::from_secs(5);

/// Starts all periodic tasks; they end when `cancel` is cancelled.
pub(crate) fn start(shared: &SharedRef, timers: &TimerService, cancel: &CancellationToken) {
    spawn(cancel, apply_configuration(shared.clone()));
    spawn(cancel, exchange_values(shared.clone(), timers.clone()));
    spawn(cancel, exchange_faults(shared.clone(), timers.clone()));
    spawn(cancel, publish_usage(shared.clone(), timers.clone()));
    spawn(cancel, usage_status::write_usage(shared.clone(), timers.clone()));
    spawn(cancel, poll_loads(shared.clone(), timers.clone()));
    spawn(cancel, delete_claims(shared.clone(), timers.clone()));
    spawn(cancel, sweep_orphans(shared.clone(), timers.clone()));
}

fn spawn(cancel: &CancellationToken, task: impl Future<Output = ()> + 'static) {
    let cancel = cancel.clone();
    monoio::spawn(async move {
        cancel.run_until_cancelled(task).await;
    });
}

async fn apply_configuration(shared: SharedRef) {
    let mut changes = shared.config.changes();
    loop {
        changes.borrow_and_update();
        shared.pools.borrow_mut().apply(&shared.config, &shared.router, &shared.admission);
        if changes.changed().await.is_err() {
            return;
        }
    }
}

async fn exchange_values(shared: SharedRef, timers: TimerService) {
    let mut ticks = timers.every(EXCHANGE_PERIOD);
    while let Some(tick) = ticks.next().await {
        exchange_demand(&shared, tick.at);
    }
}

async fn exchange_faults(shared: SharedRef, timers: TimerService) {
    let mut ticks = timers.every(FAULT_PERIOD);
    let mut last_crash_version = 0;
    while let Some(tick) = ticks.next().await {
        exchange_crashes(&shared, &mut last_crash_version, tick.at);
        exchange_leaving(&shared, tick.at);
    }
}

async fn publish_usage(shared: SharedRef, timers: TimerService) {
    let mut ticks = timers.every(USAGE_PERIOD);
    while ticks.next().await.is_some() {
        usage_status::publish(&shared);
    }
}

async fn poll_loads(shared: SharedRef, timers: TimerService) {
    let polls_per_s = shared.options.load_polls_per_s;
    if polls_per_s == 0 {
        return;
    }
    let mut ticks = timers.every(Duration::from_secs(1) / polls_per_s);
    while let Some(tick) = ticks.next().await {
        load::poll_next(&shared, tick.at);
    }
}

async fn delete_claims(shared: SharedRef, timers: TimerService) {
    let per_s = shared.options.once.deletes_per_s.max(0.001);
    let mut ticks = timers.every(Duration::from_secs_f64(1.0 / per_s));
    while ticks.next().await.is_some() {
        delete_next(&shared, Instant::now()).await;
    }
}

async fn sweep_orphans(shared: SharedRef, timers: TimerService) {
    let mut orphans = Orphans::default();
    let mut ticks = timers.every(shared.options.once.claim_keep);
    while ticks.next().await.is_some() {
        orphans.sweep(&shared).await;
    }
}
