//! Load reports of engines, requested at a bounded rate.

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

use crate::{pools::PoolInfo, shared::SharedRef};

/// Time after the last use of a target for which its load is requested.
const RECENT_USE: Duration = Duration::from_secs(30);
/// Least time between two requests to one target.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// Time for one request.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Answer of `GET /v1/load`.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Deserialize)]
struct LoadResponse {
    running: u32,
    waiting: u32,
    max_batch: u32,
    tokens_per_s: f64,
    #[serde(default)]
    report_age_ms: u64,
}

struct Polled {
    address: SocketAddr,
    used: Instant,
    polled: Option<Instant>,
}

/// Engines whose load is of interest: those that this VM used recently.
#[derive(Default)]
pub(crate) struct LoadPolls {
    targets: HashMap<TargetKey, Polled>,
    /// Invariant: holds each key of `targets` once.
    order: VecDeque<TargetKey>,
}

impl LoadPolls {
    /// Notes that a target is used.
    pub(crate) fn used(
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
                polled.used = now;
            }
            None => {
                self.order.push_back(key.clone());
                self.targets.insert(key, Polled { address, used: now, polled: None });
            }
        }
    }

    /// Returns the next target to ask, the one that was asked longest ago.
    fn next(&mut self, now: Instant) -> Option<(TargetKey, SocketAddr)> {
        for _ in 0..self.order.len() {
            let key = self.order.pop_front()?;
            let Some(polled) = self.targets.get_mut(&key) else { continue };
            if now.saturating_duration_since(polled.used) > RECENT_USE {
                self.targets.remove(&key);
                continue;
            }
            self.order.push_back(key.clone());
            let recently = polled.polled.is_some_and(|at| now.duration_since(at) < MIN_INTERVAL);
            if !recently {
                polled.polled = Some(now);
                return Some((key, polled.address));
            }
        }
        None
    }
}

/// Requests the load of one target, if one is due.
pub(crate) fn poll_next(shared: &SharedRef, now: Instant) {
    let next = shared.load_polls.borrow_mut().next(now);
    let Some((key, address)) = next else { return };
    let shared = shared.clone();
    monoio::spawn(async move {
        let call = shared.client.json::<(), LoadResponse>(Method::GET, address, "/v1/load", None);
        match monoio::time::timeout(TIMEOUT, call).await {
            Ok(Ok((status, load))) if status.is_success() => {
                shared.metrics.load_polled("ok");
                let report = LoadReport {
                    running: load.running,
                    waiting: load.waiting,
                    slots: load.max_batch,
                    tokens_per_s: load.tokens_per_s,
                    age: Duration::from_millis(load.report_age_ms),
                };
                shared.router.record_load_report(&key.pool, &key.target, report, Instant::now());
            }
            _ => shared.metrics.load_polled("failed"),
        }
    });
}
