//! Checks the metrics reference and the recorded labels of `deckweight`.

use deck_obs::{metrics::Metrics, reference::documented_rows};
use deck_weight::{
    engine::EngineError,
    metrics::{METRICS, WeightMetrics},
    planner::EngineOrder,
    status::PoolStatus,
};

const METRICS_REFERENCE: &str = include_str!("../../../docs/metrics.md");

/// The metrics reference lists exactly the metrics in the code.
#[test]
fn metrics_reference_matches_code() {
    let expected: Vec<_> = METRICS.iter().map(|metric| metric.markdown_row()).collect();
    assert_eq!(documented_rows(METRICS_REFERENCE, "deckweight_"), expected);
}

/// Orders and target states are recorded with the right labels.
#[test]
fn orders_and_states_are_recorded() {
    let metrics = Metrics::default();
    let weight_metrics = WeightMetrics::new(&metrics);
    weight_metrics.record_order("p", &EngineOrder::Drain, &Ok(()));
    weight_metrics.record_order(
        "p",
        &EngineOrder::Switch { version: 2 },
        &Err(EngineError::StaleFencing),
    );
    let status = PoolStatus {
        owner: "vm".to_owned(),
        fencing: 1,
        desired_version: 2,
        targets: 3,
        settled: 1,
        staged: 0,
        failed: vec!["t1".to_owned()],
        unreachable: Vec::new(),
    };
    weight_metrics.record_pool_status("p", &status);
    let rendered = metrics.render();
    for expected in [
        "deckweight_orders_total{order=\"drain\",outcome=\"accepted\",pool=\"p\"} 1",
        "deckweight_orders_total{order=\"switch\",outcome=\"stale_fencing\",pool=\"p\"} 1",
        "deckweight_targets{pool=\"p\",state=\"settled\"} 1",
        "deckweight_targets{pool=\"p\",state=\"failed\"} 1",
        "deckweight_desired_version{pool=\"p\"} 2",
    ] {
        assert!(rendered.contains(expected), "{expected} is not in {rendered}");
    }
}
