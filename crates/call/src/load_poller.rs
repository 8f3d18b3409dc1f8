//! Polling of load reports from engines at a limited rate.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_core::object::PoolType;
use deck_limit::crash::TargetKey;
use deck_net::http::Method;
use deck_route::LoadReport;
use serde::Deserialize;

use crate::{pool_index::PoolInfo, shared::SharedRef};

/// Targets that received no call for this time are no longer polled.
const MAX_IDLE_TIME: Duration = Duration::from_secs(30);
/// Minimum interval between two polls of a target.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a load request.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Response body of an engine to `GET /v1/load`.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Deserialize)]
struct LoadResponse {
    /// Number of running requests.
    running: u32,
    /// Number of queued requests.
    waiting: u32,
    /// Maximum number of requests that run at the same time.
    max_batch: u32,
    /// Generation speed of the engine, in tokens per second.
    tokens_per_s: f64,
    /// Age of the report, in milliseconds.
    #[serde(default)]
    report_age_ms: u64,
}

/// Engine that is polled.
struct PolledTarget {
    address: SocketAddr,
    last_used: Instant,
    last_polled: Option<Instant>,
}

/// Selects the next engine to poll among those that this VM used recently.
#[derive(Default)]
pub(crate) struct LoadPoller {
    targets: HashMap<TargetKey, PolledTarget>,
    /// Targets in order of their next poll. Invariant: contains each key of `targets` exactly once.
    poll_order: VecDeque<TargetKey>,
}

impl LoadPoller {
    /// Records that a call uses a target. Targets that are not engines are ignored.
    pub(crate) fn record_use(
        &mut self,
        pool: &PoolInfo,
        target: &str,
        address: SocketAddr,
        now: Instant,
    ) {
        if pool.spec.pool_type != PoolType::Engine {
            return;
        }
        let key = TargetKey { pool: pool.name.clone(), target: target.to_owned() };
        match self.targets.get_mut(&key) {
            Some(polled) => {
                polled.address = address;
                polled.last_used = now;
            }
            None => {
                self.poll_order.push_back(key.clone());
                self.targets
                    .insert(key, PolledTarget { address, last_used: now, last_polled: None });
            }
        }
    }

    /// Returns the target that was polled longest ago, or `None` if no poll is due.
    fn next_due(&mut self, now: Instant) -> Option<(TargetKey, SocketAddr)> {
        for _ in 0..self.poll_order.len() {
            let key = self.poll_order.pop_front()?;
            let Some(polled) = self.targets.get_mut(&key) else { continue };
            if now.saturating_duration_since(polled.last_used) > MAX_IDLE_TIME {
                self.targets.remove(&key);
                continue;
            }
            self.poll_order.push_back(key.clone());
            let polled_recently =
                polled.last_polled.is_some_and(|at| now.duration_since(at) < MIN_POLL_INTERVAL);
            if !polled_recently {
                polled.last_polled = Some(now);
                return Some((key, polled.address));
            }
        }
        None
    }
}

/// Requests a load report from the next due target and passes it to the router.
pub(crate) fn poll_next_target(shared: &SharedRef, now: Instant) {
    let due_target = shared.load_poller.borrow_mut().next_due(now);
    let Some((key, address)) = due_target else { return };
    let shared = shared.clone();
    monoio::spawn(async move {
        let load_request =
            shared.client.json::<(), LoadResponse>(Method::GET, address, "/v1/load", None);
        match monoio::time::timeout(POLL_TIMEOUT, load_request).await {
            Ok(Ok((status, load))) if status.is_success() => {
                shared.metrics.count_load_poll("ok");
                let report = LoadReport {
                    running: load.running,
                    waiting: load.waiting,
                    slots: load.max_batch,
                    tokens_per_s: load.tokens_per_s,
                    age: Duration::from_millis(load.report_age_ms),
                };
                shared.router.record_load_report(&key.pool, &key.target, report, Instant::now());
            }
            _ => shared.metrics.count_load_poll("failed"),
        }
    });
}
