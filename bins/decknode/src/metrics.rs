//! Metrics of the node, in the Prometheus text format.

use std::time::Duration;

use deck_fleet::{RouteKind, View};
use deck_obs::metrics::{LATENCY_BOUNDS_S, Metrics};
use deck_plat::metered::CallRecord;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

/// Instruments of the node; clones share them.
#[derive(Clone)]
pub struct NodeMetrics {
    metrics: Metrics,
    requests: Counter<u64>,
    request_time: Histogram<f64>,
    store_calls: Counter<u64>,
    store_call_time: Histogram<f64>,
    configuration_version: Gauge<u64>,
    targets: Gauge<u64>,
}

/// What a request was for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A request of a plain route.
    Route(RouteKind),
    /// A read, a body or the end of a batch job.
    Batch,
    /// No route.
    None,
}

impl Purpose {
    fn label(self) -> &'static str {
        match self {
            Self::Route(RouteKind::Idempotent) => "idempotent",
            Self::Route(RouteKind::NonIdempotent) => "non_idempotent",
            Self::Route(RouteKind::Streaming) => "streaming",
            Self::Route(RouteKind::Rollout) => "submission",
            Self::Batch => "batch",
            Self::None => "no_route",
        }
    }
}

impl NodeMetrics {
    /// Returns instruments without any values.
    pub fn new() -> Self {
        let metrics = Metrics::default();
        let meter = metrics.meter("decknode");
        let requests = meter
            .u64_counter("decknode_requests_total")
            .with_description("Requests of callers by purpose and status of the answer.")
            .build();
        let request_time = meter
            .f64_histogram("decknode_request_seconds")
            .with_description("Time until the head of the answer, by purpose.")
            .with_boundaries(LATENCY_BOUNDS_S.to_vec())
            .build();
        let store_calls = meter
            .u64_counter("decknode_store_calls_total")
            .with_description("Calls on the object API by operation, kind and outcome.")
            .build();
        let store_call_time = meter
            .f64_histogram("decknode_store_call_seconds")
            .with_description("Time of calls on the object API by operation.")
            .with_boundaries(LATENCY_BOUNDS_S.to_vec())
            .build();
        let configuration_version = meter
            .u64_gauge("decknode_configuration_version")
            .with_description("Version of the configuration in force.")
            .build();
        let targets = meter
            .u64_gauge("decknode_targets")
            .with_description("Targets that the node knows.")
            .build();
        Self {
            metrics,
            requests,
            request_time,
            store_calls,
            store_call_time,
            configuration_version,
            targets,
        }
    }

    /// Takes note of a call on the object API.
    pub fn record_store_call(&self, call: CallRecord<'_>) {
        let operation = KeyValue::new("operation", call.operation.label());
        let kind = KeyValue::new("kind", call.kind.to_owned());
        let outcome = KeyValue::new("outcome", call.outcome.label());
        self.store_calls.add(1, &[operation.clone(), kind, outcome]);
        self.store_call_time.record(call.time.as_secs_f64(), &[operation]);
    }

    /// Takes note of an answer.
    pub fn record(&self, purpose: Purpose, status: u16, time: Duration) {
        let purpose = KeyValue::new("purpose", purpose.label());
        let status = KeyValue::new("status", i64::from(status));
        self.requests.add(1, &[purpose.clone(), status]);
        self.request_time.record(time.as_secs_f64(), &[purpose]);
    }

    /// Returns all metrics as text.
    pub fn render(&self, view: &View) -> String {
        let version = view.configuration().map_or(0, |configuration| configuration.version);
        self.configuration_version.record(version, &[]);
        self.targets.record(view.targets().len() as u64, &[]);
        self.metrics.render()
    }
}
