//! Metrics of weight updates. `docs/metrics.md` documents them; a test compares the two.

use deck_obs::{define_metrics, metrics::Metrics};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge},
};

use crate::{engine::EngineError, planner::EngineOrder, status::PoolStatus};

define_metrics! {
    ORDERS_SENT = "deckweight_orders_total", "counter", "orders", "pool, order, outcome",
        "Orders sent to targets, by what they ask for and how the target answered.";
    POOL_TARGETS = "deckweight_targets", "gauge", "targets", "pool, state",
        "Targets of an owned pool: all, settled, staged, failed, unreachable.";
    DESIRED_VERSION = "deckweight_desired_version", "gauge", "version", "pool",
        "Weight version to which an owned pool is brought.";
}

/// Metric instruments for weight updates; clones share their state.
#[derive(Debug, Clone)]
pub struct WeightMetrics {
    orders: Counter<u64>,
    targets: Gauge<u64>,
    desired_version: Gauge<u64>,
}

impl WeightMetrics {
    /// Registers the instruments.
    pub fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter("weight");
        Self {
            orders: ORDERS_SENT.counter(&meter),
            targets: POOL_TARGETS.gauge(&meter),
            desired_version: DESIRED_VERSION.gauge(&meter),
        }
    }

    /// Counts an order by kind and outcome.
    pub fn record_order(&self, pool: &str, order: &EngineOrder, result: &Result<(), EngineError>) {
        let order = match order {
            EngineOrder::Stage { .. } => "stage",
            EngineOrder::Switch { .. } => "switch",
            EngineOrder::Drain => "drain",
            EngineOrder::Serve => "serve",
        };
        let outcome = match result {
            Ok(()) => "accepted",
            Err(EngineError::StaleFencing) => "stale_fencing",
            Err(EngineError::Refused(..)) => "refused",
            Err(EngineError::Unreachable(_)) => "unreachable",
            Err(EngineError::Timeout) => "timeout",
        };
        let labels = [
            KeyValue::new("pool", pool.to_owned()),
            KeyValue::new("order", order),
            KeyValue::new("outcome", outcome),
        ];
        self.orders.add(1, &labels);
    }

    /// Records the number of targets in each state and the desired version of a pool.
    pub fn record_pool_status(&self, pool: &str, status: &PoolStatus) {
        let counts = [
            ("all", status.targets),
            ("settled", status.settled),
            ("staged", status.staged),
            ("failed", status.failed.len()),
            ("unreachable", status.unreachable.len()),
        ];
        for (state, count) in counts {
            let labels = [KeyValue::new("pool", pool.to_owned()), KeyValue::new("state", state)];
            self.targets.record(count as u64, &labels);
        }
        let labels = [KeyValue::new("pool", pool.to_owned())];
        self.desired_version.record(status.desired_version, &labels);
    }
}
