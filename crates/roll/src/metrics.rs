//! Metrics of rollout jobs. `docs/metrics.md` documents them; a test compares the two.

use std::time::Duration;

use deck_core::object::RolloutJob;
use deck_obs::{metric_rows, metrics::Metrics};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

use crate::{protocol::GroupDelivery, scheduler::SchedulerStats};

metric_rows! {
    DELIVERED = "deckroll_samples_delivered_total", "counter", "samples", "",
        "Samples that the trainer confirmed to hold.";
    SENT = "deckroll_samples_sent_total", "counter", "samples", "staleness_versions",
        "Samples handed over, by how many versions they were behind the trainer; a resend counts again.";
    STARTED = "deckroll_samples_started_total", "counter", "samples", "",
        "Starts of samples.";
    REGENERATED = "deckroll_samples_regenerated_total", "counter", "samples", "",
        "Samples started again because they were stale.";
    GENERATED = "deckroll_tokens_generated_total", "counter", "tokens", "",
        "Tokens received from engines.";
    THROWN_AWAY = "deckroll_tokens_thrown_away_total", "counter", "tokens", "",
        "Tokens of samples that were not used.";
    WINDOW = "deckroll_window", "gauge", "samples", "",
        "Bound on concurrent generations.";
    PULL = "deckroll_pull_duration_seconds", "histogram", "seconds", "",
        "Time from a pull to its answer.";
    IDLE = "deckroll_trainer_idle_seconds_total", "counter", "seconds", "",
        "Time in which a pull of the trainer waited for samples.";
    ELAPSED = "deckroll_trainer_elapsed_seconds_total", "counter", "seconds", "",
        "Time from the trainer's first pull at this owner to the end of its last one.";
}

/// Metric instruments for rollout jobs; clones share their state.
#[derive(Debug, Clone)]
pub struct RollMetrics {
    delivered: Counter<u64>,
    sent: Counter<u64>,
    started: Counter<u64>,
    regenerated: Counter<u64>,
    generated: Counter<u64>,
    thrown_away: Counter<u64>,
    window: Gauge<u64>,
    pull: Histogram<f64>,
    idle: Counter<f64>,
    elapsed: Counter<f64>,
}

/// Metric labels that identify one job.
#[derive(Debug, Clone)]
pub struct JobLabels([KeyValue; 3]);

impl JobLabels {
    /// Creates the labels of the job `name`.
    pub fn new(name: &str, spec: &RolloutJob) -> Self {
        Self([
            KeyValue::new("organisation", spec.organisation.clone()),
            KeyValue::new("pool", spec.pool.clone()),
            KeyValue::new("job", name.to_owned()),
        ])
    }
}

impl RollMetrics {
    /// Registers the instruments.
    pub fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter("roll");
        Self {
            delivered: DELIVERED.counter(&meter),
            sent: SENT.counter(&meter),
            started: STARTED.counter(&meter),
            regenerated: REGENERATED.counter(&meter),
            generated: GENERATED.counter(&meter),
            thrown_away: THROWN_AWAY.counter(&meter),
            window: WINDOW.gauge(&meter),
            pull: PULL.latencies(&meter),
            idle: IDLE.seconds_counter(&meter),
            elapsed: ELAPSED.seconds_counter(&meter),
        }
    }

    /// Adds the difference between two readings of a job's counters and records its current
    /// concurrency limit.
    pub fn record_counters(
        &self,
        labels: &JobLabels,
        before: &SchedulerStats,
        after: &SchedulerStats,
        concurrency_limit: u32,
    ) {
        let add = |counter: &Counter<u64>, before: u64, after: u64| {
            counter.add(after.saturating_sub(before), &labels.0);
        };
        add(&self.delivered, before.delivered_samples, after.delivered_samples);
        add(&self.started, before.started_samples, after.started_samples);
        add(&self.regenerated, before.regenerated_samples, after.regenerated_samples);
        add(&self.generated, before.generated_tokens, after.generated_tokens);
        add(&self.thrown_away, before.thrown_away_tokens, after.thrown_away_tokens);
        self.window.record(u64::from(concurrency_limit), &labels.0);
    }

    /// Records a pull that waited for `wait`; `since_last_pull` is the time since the end of the
    /// previous pull.
    pub fn record_pull(
        &self,
        labels: &JobLabels,
        wait: Duration,
        since_last_pull: Option<Duration>,
    ) {
        self.pull.record(wait.as_secs_f64(), &labels.0);
        self.idle.add(wait.as_secs_f64(), &labels.0);
        self.elapsed.add(since_last_pull.unwrap_or(wait).as_secs_f64(), &labels.0);
    }

    /// Records the staleness of all samples sent to a trainer whose weights have version
    /// `trainer_version`.
    pub fn record_sent(&self, labels: &JobLabels, groups: &[GroupDelivery], trainer_version: u64) {
        for sample in groups.iter().flat_map(|group| &group.samples) {
            let oldest = sample.spans.iter().map(|span| span.weight_version).min();
            let staleness = trainer_version.saturating_sub(oldest.unwrap_or(trainer_version));
            let mut labels = labels.0.to_vec();
            labels.push(KeyValue::new("staleness_versions", staleness.to_string()));
            self.sent.add(1, &labels);
        }
    }
}
