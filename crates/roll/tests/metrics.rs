//! Checks the metrics reference of `deckroll` and the metrics that the burn-rate report reads.

use std::time::Duration;

use deck_core::object::{RolloutJob, VersionSpan};
use deck_obs::{metrics::Metrics, reference::documented_rows};
use deck_roll::{
    metrics::{JobLabels, METRICS, RolloutMetrics},
    protocol::{GroupDelivery, SampleDelivery},
};

const METRICS_REFERENCE: &str = include_str!("../../../docs/metrics.md");

fn rollout_job() -> RolloutJob {
    RolloutJob {
        organisation: "o".to_owned(),
        pool: "p".to_owned(),
        scorer_address: "127.0.0.1:9".to_owned(),
        samples_per_step: 2,
        group_size: 2,
        staleness_bound_versions: 1,
        max_tokens: 8,
        step_deadline_ms: 1000,
        prompts: vec!["a".to_owned()],
        paused: false,
    }
}

/// The metrics reference lists exactly the metrics in the code.
#[test]
fn metrics_reference_matches_code() {
    let expected: Vec<_> = METRICS.iter().map(|metric| metric.markdown_row()).collect();
    assert_eq!(documented_rows(METRICS_REFERENCE, "deckroll_"), expected);
}

/// Idle time is counted as part of the elapsed time, and sent samples are labelled with their
/// staleness.
#[test]
fn idle_time_and_staleness_are_counted() {
    let metrics = Metrics::default();
    let rollout_metrics = RolloutMetrics::new(&metrics);
    let labels = JobLabels::new("j", &rollout_job());
    rollout_metrics.record_pull(&labels, Duration::from_secs(2), None);
    rollout_metrics.record_pull(&labels, Duration::from_secs(1), Some(Duration::from_secs(4)));
    let spans = vec![
        VersionSpan { weight_version: 4, token_count: 1 },
        VersionSpan { weight_version: 5, token_count: 1 },
    ];
    let sample = SampleDelivery {
        id: "j/0/0/0".to_owned(),
        index: 0,
        text: "a b".to_owned(),
        token_count: 2,
        score: 0.5,
        spans,
    };
    rollout_metrics.record_sent(&labels, &[GroupDelivery { group: 0, samples: vec![sample] }], 5);
    let rendered = metrics.render();
    let labels = "job=\"j\",organisation=\"o\",pool=\"p\"";
    for expected in [
        format!("deckroll_trainer_idle_seconds_total{{{labels}}} 3"),
        format!("deckroll_trainer_elapsed_seconds_total{{{labels}}} 6"),
        format!("deckroll_samples_sent_total{{{labels},staleness_versions=\"1\"}} 1"),
    ] {
        assert!(rendered.contains(&expected), "{expected} is not in {rendered}");
    }
}
