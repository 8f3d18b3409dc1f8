//! Tests of the burn report: windows, gaps, counter resets, histogram buckets and malformed input.

use std::collections::BTreeMap;

use deck_burn::{
    history::{Sample, Scrape, read},
    indicator::{CodeClass, classify_code},
    render,
    report::burn_report,
};
use deck_core::{
    error::ErrorKind,
    object::{Indicator, ServiceObjective},
};
use test_case::test_case;

const MINUTE_MS: u64 = 60_000;
const GAP_MS: u64 = 3 * MINUTE_MS;

fn objective(indicator: Indicator) -> (String, ServiceObjective) {
    let objective = ServiceObjective {
        organisation: "o".to_owned(),
        pool: "p".to_owned(),
        indicator,
        objective_percent: 99.0,
        window_hours: 720,
    };
    ("slo".to_owned(), objective)
}

fn sample(name: &str, label: &str, label_value: &str, value: f64) -> Sample {
    let labels = [("organisation", "o"), ("pool", "p"), (label, label_value)];
    let labels: BTreeMap<_, _> =
        labels.iter().map(|(key, value)| ((*key).to_owned(), (*value).to_owned())).collect();
    Sample { name: name.to_owned(), labels, value }
}

fn requests(minute: u64, ok: f64, failed: f64) -> Scrape {
    let name = "deckentry_requests_total";
    let samples = vec![
        sample(name, "code", "ok", ok),
        sample(name, "code", "target_failed", failed),
        sample(name, "code", "share_exhausted", ok),
    ];
    Scrape { at_ms: minute * MINUTE_MS, source: "a".to_owned(), samples }
}

/// Guards against wrong ratios, and against counting requests that were refused because the
/// organisation's own share was used up.
#[test]
fn availability_counts_faults_only() {
    let scrapes = [requests(0, 0.0, 0.0), requests(1, 80.0, 20.0)];
    let report = burn_report(&[objective(Indicator::Availability)], &scrapes, GAP_MS);
    let counts = report.objectives[0].counts;
    assert_eq!((counts.good, counts.total, counts.own_share_refused), (80.0, 100.0, 80.0));
    let alert = &report.objectives[0].alerts[0];
    assert!(alert.firing, "burn rate 20 in both windows: {alert:?}");
    assert!(render::render_text(&report).contains("own share"));
}

/// Guards against an alert that keeps firing after the fault has ended. The short window clears it.
#[test]
fn alert_clears_after_recovery() {
    let mut scrapes = vec![requests(0, 0.0, 0.0), requests(1, 0.0, 1000.0)];
    scrapes.extend((2..30).map(|minute| requests(minute, 100.0 * minute as f64, 1000.0)));
    let report = burn_report(&[objective(Indicator::Availability)], &scrapes, GAP_MS);
    let alert = &report.objectives[0].alerts[0];
    assert!(alert.long_burn >= Some(alert.threshold), "{alert:?}");
    assert_eq!(alert.short_burn, Some(0.0));
    assert!(!alert.firing);
}

/// Guards against negative or lost counts when a process restarts.
#[test]
fn counter_reset_counts_from_zero() {
    let scrapes = [requests(0, 50.0, 50.0), requests(1, 100.0, 60.0), requests(2, 30.0, 70.0)];
    let counts =
        burn_report(&[objective(Indicator::Availability)], &scrapes, GAP_MS).objectives[0].counts;
    // 50 + 10 before the restart, 30 + 70 after it, although the second counter did not decrease.
    assert_eq!((counts.good, counts.total), (80.0, 160.0));
}

/// Guards against a gap in the history that is taken for a period without events.
#[test]
fn gap_is_reported() {
    let scrapes = [requests(0, 0.0, 0.0), requests(1, 10.0, 0.0), requests(20, 5.0, 0.0)];
    let report = burn_report(&[objective(Indicator::Availability)], &scrapes, GAP_MS);
    assert_eq!(report.gaps.len(), 1);
    assert!(report.gaps[0].restarted);
    assert!(
        render::render_text(&report).contains("gap: a not scraped for 1140.0 s, process restarted")
    );
}

/// Guards against a division by zero, or a budget that is reported as unspent, for an empty history.
#[test]
fn empty_history_reports_no_data() {
    let report = burn_report(&[objective(Indicator::Availability)], &[], GAP_MS);
    assert_eq!(report.objectives[0].budget_spent_percent, None);
    assert!(report.objectives[0].alerts.iter().all(|alert| !alert.firing));
    assert!(render::render_text(&report).contains("no data"));
    assert!(render::render_html_page(&report).expect("page").contains("No data."));
}

/// Guards against a latency bound inside a bucket that is rounded in favour of the service.
#[test_case(100, 80.0, 0.0; "bound on a boundary")]
#[test_case(150, 80.0, 15.0; "bound inside a bucket")]
#[test_case(1_000_000, 100.0, 0.0; "bound above all boundaries")]
fn latency_counts_buckets(bound_ms: u64, good: f64, uncertain: f64) {
    let scrape = |minute: u64, factor: f64| Scrape {
        at_ms: minute * MINUTE_MS,
        source: "a".to_owned(),
        samples: [("0.1", 80.0), ("0.2", 95.0), ("240", 100.0), ("inf", 100.0)]
            .iter()
            .map(|(le, count)| {
                let name = "deckentry_request_duration_seconds_bucket";
                sample(name, "le", le, count * factor)
            })
            .collect(),
    };
    let scrapes = [scrape(0, 0.0), scrape(1, 1.0)];
    let report = burn_report(&[objective(Indicator::Latency { bound_ms })], &scrapes, GAP_MS);
    let counts = report.objectives[0].counts;
    assert_eq!((counts.good, counts.total, counts.uncertain), (good, 100.0, uncertain));
}

/// Guards against metrics of the daemons that cannot be parsed, and checks that other metrics are
/// discarded.
#[test]
fn metrics_text_is_parsed() {
    let text = "# TYPE deckentry_requests_total counter\n\
        deckentry_requests_total{code=\"ok\",organisation=\"o\",pool=\"p\"} 7\n\
        # TYPE deckentry_request_duration_seconds histogram\n\
        deckentry_request_duration_seconds_bucket{organisation=\"o\",pool=\"p\",le=\"0.1\"} 3\n\
        deckentry_request_duration_seconds_bucket{organisation=\"o\",pool=\"p\",le=\"+Inf\"} 4\n\
        deckentry_request_duration_seconds_sum{organisation=\"o\",pool=\"p\"} 1\n\
        deckentry_request_duration_seconds_count{organisation=\"o\",pool=\"p\"} 4\n\
        other_total 1\n";
    let scrape = Scrape::try_parse(5, "a", text).expect("metrics");
    assert_eq!(scrape.samples.len(), 3, "{scrape:?}");
    assert!(
        scrape.samples.iter().any(|sample| sample.labels.get("le").is_some_and(|le| le == "inf"))
    );
}

/// Guards against a damaged history that is read in part without an error.
#[test]
fn damaged_history_names_the_line() {
    let text = "{\"at_ms\":1,\"source\":\"a\",\"samples\":[]}\n{\"at_ms\":2,";
    let error = read(text.as_bytes()).expect_err("damaged").to_string();
    assert!(error.contains("line 2"), "{error}");
}

/// Guards against an error kind, existing or new, that is missing in the availability.
#[test]
fn every_code_is_classified() {
    for kind in ErrorKind::ALL.iter().filter(|kind| kind.properties().status >= 500) {
        assert_eq!(classify_code(kind.properties().code), CodeClass::Bad, "{kind:?}");
    }
    assert_eq!(classify_code("not_in_the_table"), CodeClass::Bad);
    assert_eq!(classify_code("target_5xx"), CodeClass::Bad);
    assert_eq!(classify_code("target_4xx"), CodeClass::Good);
    assert_eq!(classify_code("share_exhausted"), CodeClass::OwnShareExhausted);
}
