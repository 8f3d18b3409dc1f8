//! Checks the metrics of this crate against the metrics reference.

use deck_obs::reference::documented_rows;
use deck_peer::traffic::METRICS;

const METRICS_REFERENCE: &str = include_str!("../../../docs/metrics.md");

/// Guards against metrics that are added, renamed or removed without updating the reference.
#[test]
fn metrics_reference_matches_the_code() {
    let expected: Vec<_> = METRICS.iter().map(|metric| metric.markdown_row()).collect();
    assert_eq!(documented_rows(METRICS_REFERENCE, "peer_"), expected);
}
