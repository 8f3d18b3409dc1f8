//! Metrics of rollout jobs. `docs/metrics.md` documents them; a test compares the two.

use std::time::Duration;

use deck_core::object::RolloutJob;
use deck_obs::{define_metrics, metrics::Metrics};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

use crate::{protocol::GroupDelivery, scheduler::SchedulerStats};

define_metrics! {
    SAMPLES_DELIVERED = "deckroll_samples_delivered_total", "counter", "samples", "",
        "Samples that the trainer confirmed to hold.";
    SAMPLES_SENT = "deckroll_samples_sent_total", "counter", "samples", "staleness_versions",
        "Samples handed over, by how many versions they were behind the trainer; a resend counts again.";
    SAMPLES_STARTED = "deckroll_samples_started_total", "counter", "samples", "",
        "Starts of samples.";
    SAMPLES_REGENERATED = "deckroll_samples_regenerated_total", "counter", "samples", "",
        "Samples started again because they were stale.";
    TOKENS_GENERATED = "deckroll_tokens_generated_total", "counter", "tokens", "",
        "Tokens received from engines.";
    TOKENS_DISCARDED = "deckroll_tokens_thrown_away_total", "counter", "tokens", "",
        "Tokens of samples that were not used.";
    CONCURRENCY_LIMIT = "deckroll_window", "gauge", "samples", "",
        "Bound on concurrent generations.";
    PULL_DURATION = "deckroll_pull_duration_seconds", "histogram", "seconds", "",
        "Time from a pull to its answer.";
    TRAINER_IDLE_TIME = "deckroll_trainer_idle_seconds_total", "counter", "seconds", "",
        "Time in which a pull of the trainer waited for samples.";
    TRAINER_ELAPSED_TIME = "deckroll_trainer_elapsed_seconds_total", "counter", "seconds", "",
        "Time from the trainer's first pull at this owner to the end of its last one.";
}

/// Metric instruments for rollout jobs; clones share their state.
#[derive(Debug, Clone)]
pub struct RolloutMetrics {
    samples_delivered: Counter<u64>,
    samples_sent: Counter<u64>,
    samples_started: Counter<u64>,
    samples_regenerated: Counter<u64>,
    tokens_generated: Counter<u64>,
    tokens_discarded: Counter<u64>,
    concurrency_limit: Gauge<u64>,
    pull_duration: Histogram<f64>,
    trainer_idle_time: Counter<f64>,
    trainer_elapsed_time: Counter<f64>,
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

impl RolloutMetrics {
    /// Registers the instruments.
    pub fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter("roll");
        Self {
            samples_delivered: SAMPLES_DELIVERED.counter(&meter),
            samples_sent: SAMPLES_SENT.counter(&meter),
            samples_started: SAMPLES_STARTED.counter(&meter),
            samples_regenerated: SAMPLES_REGENERATED.counter(&meter),
            tokens_generated: TOKENS_GENERATED.counter(&meter),
            tokens_discarded: TOKENS_DISCARDED.counter(&meter),
            concurrency_limit: CONCURRENCY_LIMIT.gauge(&meter),
            pull_duration: PULL_DURATION.latency_histogram(&meter),
            trainer_idle_time: TRAINER_IDLE_TIME.seconds_counter(&meter),
            trainer_elapsed_time: TRAINER_ELAPSED_TIME.seconds_counter(&meter),
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
        let add_difference = |counter: &Counter<u64>, before: u64, after: u64| {
            counter.add(after.saturating_sub(before), &labels.0);
        };
        add_difference(&self.samples_delivered, before.delivered_samples, after.delivered_samples);
        add_difference(&self.samples_started, before.started_samples, after.started_samples);
        add_difference(
            &self.samples_regenerated,
            before.regenerated_samples,
            after.regenerated_samples,
        );
        add_difference(&self.tokens_generated, before.generated_tokens, after.generated_tokens);
        add_difference(&self.tokens_discarded, before.discarded_tokens, after.discarded_tokens);
        self.concurrency_limit.record(u64::from(concurrency_limit), &labels.0);
    }

    /// Records a pull that waited for `wait`; `since_last_pull` is the time since the end of the
    /// previous pull.
    pub fn record_pull(
        &self,
        labels: &JobLabels,
        wait: Duration,
        since_last_pull: Option<Duration>,
    ) {
        self.pull_duration.record(wait.as_secs_f64(), &labels.0);
        self.trainer_idle_time.add(wait.as_secs_f64(), &labels.0);
        self.trainer_elapsed_time.add(since_last_pull.unwrap_or(wait).as_secs_f64(), &labels.0);
    }

    /// Records the staleness of all samples sent to a trainer whose weights have version
    /// `trainer_version`.
    pub fn record_sent(&self, labels: &JobLabels, groups: &[GroupDelivery], trainer_version: u64) {
        for sample in groups.iter().flat_map(|group| &group.samples) {
            let oldest_version = sample.spans.iter().map(|span| span.weight_version).min();
            let staleness =
                trainer_version.saturating_sub(oldest_version.unwrap_or(trainer_version));
            let mut labels = labels.0.to_vec();
            labels.push(KeyValue::new("staleness_versions", staleness.to_string()));
            self.samples_sent.add(1, &labels);
        }
    }
}
