//! Metrics: the reference page and the code list the same metrics.

use deck_call::metrics::{CallMetrics, METRICS};
use deck_obs::{metrics::Metrics, reference::documented_rows};

const METRICS_PAGE: &str = include_str!("../../../docs/metrics.md");

/// Guards against metrics that are added, renamed or removed without an update of the reference
/// page.
#[test]
fn metrics_match_the_reference_page() {
    let expected: Vec<String> = METRICS.iter().map(|metric| metric.markdown_row()).collect();
    assert_eq!(documented_rows(METRICS_PAGE, "deckentry_"), expected);
}

/// Guards against instruments that are exported under the wrong name, and against counters whose
/// name lacks the `_total` suffix.
#[test]
fn instruments_are_exported_under_their_names() {
    let metrics = Metrics::default();
    let call = CallMetrics::new(&metrics);
    let in_flight = call.start_request();
    call.count_request("pool", "org", "ok");
    call.record_duration(
        "pool",
        "organisation",
        "interactive",
        std::time::Duration::from_millis(3),
    );
    call.count_attempt("pool", "ok");
    let text = metrics.render();
    assert!(text.contains("deckentry_requests_in_flight 1"), "{text}");
    let counted = "deckentry_requests_total{code=\"ok\",organisation=\"org\",pool=\"pool\"} 1";
    assert!(text.contains(counted), "{text}");
    assert!(text.contains("deckentry_request_duration_seconds_count"), "{text}");
    drop(in_flight);
    assert!(metrics.render().contains("deckentry_requests_in_flight 0"));
    for row in METRICS {
        let is_counter = row.kind == "counter";
        assert_eq!(row.name.ends_with("_total"), is_counter, "{}", row.name);
    }
}
