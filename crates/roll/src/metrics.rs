//! Metrics of rollout jobs.

use deck_obs::metrics::Metrics;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

use crate::board::BoardStats;

/// Instruments; every point carries the label `job`.
#[derive(Debug, Clone)]
pub struct RollMetrics {
    delivered_samples: Counter<u64>,
    started_samples: Counter<u64>,
    regenerated_samples: Counter<u64>,
    generated_tokens: Counter<u64>,
    thrown_away_tokens: Counter<u64>,
    staleness_versions: Gauge<u64>,
    window: Gauge<u64>,
    pull_wait_s: Histogram<f64>,
}

impl RollMetrics {
    /// Creates the instruments.
    pub fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter("roll");
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        Self {
            delivered_samples: counter(
                "roll_delivered_samples_total",
                "Samples that the trainer confirmed to hold",
            ),
            started_samples: counter("roll_started_samples_total", "Starts of samples"),
            regenerated_samples: counter(
                "roll_regenerated_samples_total",
                "Samples started again because they were stale",
            ),
            generated_tokens: counter("roll_generated_tokens_total", "Tokens from engines"),
            thrown_away_tokens: counter(
                "roll_thrown_away_tokens_total",
                "Tokens generated for nothing",
            ),
            staleness_versions: gauge(
                "roll_staleness_max_versions",
                "Largest staleness of a sample at hand-over",
            ),
            window: gauge("roll_window", "Bound on concurrent generations"),
            pull_wait_s: meter
                .f64_histogram("roll_pull_wait_seconds")
                .with_description("Time from a pull to its answer")
                .with_boundaries(deck_obs::metrics::LATENCY_BOUNDS_S.to_vec())
                .build(),
        }
    }

    /// Adds what changed between two readings of a job's counters.
    pub fn record(&self, job: &str, before: &BoardStats, after: &BoardStats, window: u32) {
        let labels = [KeyValue::new("job", job.to_owned())];
        let add = |counter: &Counter<u64>, before: u64, after: u64| {
            counter.add(after.saturating_sub(before), &labels);
        };
        add(&self.delivered_samples, before.delivered_samples, after.delivered_samples);
        add(&self.started_samples, before.started_samples, after.started_samples);
        add(&self.regenerated_samples, before.regenerated_samples, after.regenerated_samples);
        add(&self.generated_tokens, before.generated_tokens, after.generated_tokens);
        add(&self.thrown_away_tokens, before.thrown_away_tokens, after.thrown_away_tokens);
        self.staleness_versions.record(after.staleness_max_versions, &labels);
        self.window.record(u64::from(window), &labels);
    }

    /// Records the time that a pull took.
    pub fn record_pull(&self, job: &str, wait: std::time::Duration) {
        self.pull_wait_s.record(wait.as_secs_f64(), &[KeyValue::new("job", job.to_owned())]);
    }
}
