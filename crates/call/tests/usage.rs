//! Usage accounting: reports contain the counted usage and are bounded in size.

use std::time::Duration;

use deck_call::usage::{UsageCounters, UsageKey, UsageReport, UsageTable};

fn key(organisation: &str, job: &str) -> UsageKey {
    UsageKey { organisation: organisation.to_owned(), job: job.to_owned(), pool: "rank".to_owned() }
}

/// Guards against usage that is lost or assigned to the wrong organisation or job in a report.
#[test]
fn report_carries_the_counters_of_each_key() {
    let usage = UsageTable::default();
    usage.record_call(&key("a", "j1"), 100, Duration::from_millis(1500));
    usage.record_call(&key("a", "j1"), 50, Duration::from_millis(500));
    usage.record_call(&key("a", ""), 7, Duration::from_millis(10));
    usage.record_call(&key("b", "j1"), 1, Duration::from_millis(1));
    let report = UsageReport::decode(&usage.report(9).encode()).expect("report");
    assert_eq!(report.incarnation, 9);
    let found: Vec<_> = report.entries.iter().map(|entry| (&entry.key, entry.counters)).collect();
    let counters = |calls, tokens, engine_ms| UsageCounters { calls, tokens, engine_ms };
    assert_eq!(
        found,
        [
            (&key("a", "j1"), counters(2, 150, 2000)),
            (&key("a", ""), counters(1, 7, 10)),
            (&key("b", "j1"), counters(1, 1, 1)),
        ]
    );
    assert_eq!(usage.get(&key("b", "")), UsageCounters::default());
}

/// Guards against reports that exceed the size that gossip can carry, and against accepting
/// malformed ones.
#[test]
fn report_size_is_bounded_and_malformed_reports_are_rejected() {
    let usage = UsageTable::default();
    for number in 0..1000_u64 {
        let key = key(&format!("organisation-{number}"), "a-job-of-some-length");
        usage.record_call(&key, 1, Duration::from_millis(number));
    }
    let report = usage.report(u64::MAX);
    assert_eq!(
        report.entries[0].key.organisation, "organisation-999",
        "entries with the most engine time come first"
    );
    assert!(report.encode().len() < 10_000, "{} bytes", report.encode().len());
    assert_eq!(UsageReport::decode(b"no report"), None);
}
