//! Metrics of weight rollouts. `docs/metrics.md` lists them; a test compares the two.

use deck_obs::{metric_rows, metrics::Metrics};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge},
};

use crate::{engine::EngineError, plan::Order, status::PoolStatus};

metric_rows! {
    ORDERS = "deckweight_orders_total", "counter", "orders", "pool, order, outcome",
        "Orders sent to targets, by what they ask for and how the target answered.";
    TARGETS = "deckweight_targets", "gauge", "targets", "pool, state",
        "Targets of an owned pool: all, settled, staged, failed, unreachable.";
    DESIRED_VERSION = "deckweight_desired_version", "gauge", "version", "pool",
        "Weight version to which an owned pool is brought.";
}

/// Instruments; clones share their state.
#[derive(Debug, Clone)]
pub struct WeightMetrics {
    orders: Counter<u64>,
    targets: Gauge<u64>,
    desired_version: Gauge<u64>,
}

impl WeightMetrics {
    /// Creates the instruments.
    pub fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter("weight");
        Self {
            orders: ORDERS.counter(&meter),
            targets: TARGETS.gauge(&meter),
            desired_version: DESIRED_VERSION.gauge(&meter),
        }
    }

    /// Counts an order and its outcome.
    pub fn ordered(&self, pool: &str, order: &Order, result: &Result<(), EngineError>) {
        let order = match order {
            Order::Stage { .. } => "stage",
            Order::Switch { .. } => "switch",
            Order::Drain => "drain",
            Order::Serve => "serve",
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

    /// Records the state of a pool.
    pub fn pool(&self, pool: &str, status: &PoolStatus) {
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
