//! Demand of models, measured by their jobs and texts. No test needs the network.

use std::time::{Duration, Instant};

use deck_fleet::{DemandMeter, Engines, ModelDemand};

const STEP: Duration = Duration::from_secs(4);

/// Pattern: a trainer asks for 100 texts of 20 events every 4 s. Guards against a share of the engines by
/// a wrong demand.
#[test]
fn demand_follows_jobs_and_texts() {
    let start = Instant::now();
    let mut meter = DemandMeter::default();
    assert_eq!(meter.demand(), ModelDemand::default());
    for step in 0..5 {
        meter.record_job(u64::from(step), 100, start + STEP * step);
    }
    assert_eq!(meter.demand().events_per_s, None, "no text is complete");
    meter.record_text(20);
    let demand = meter.demand();
    assert_eq!(demand.min_version, Some(4));
    let events_per_s = demand.events_per_s.expect("a demand");
    assert!((events_per_s - 500.0).abs() < 1.0, "{events_per_s}");
}

/// Guards against a job that is taken over from another node and counts as the newest one.
#[test]
fn older_job_changes_nothing() {
    let start = Instant::now();
    let mut meter = DemandMeter::default();
    meter.record_job(5, 100, start + STEP);
    meter.record_job(4, 900, start);
    meter.record_job(5, 100, start + STEP);
    meter.record_text(20);
    let demand = meter.demand();
    assert_eq!((demand.min_version, demand.events_per_s), (Some(5), None));
}

/// Pattern: the jobs of a model move to another node. Guards against the demand that the former runner
/// told last.
#[test]
fn node_with_the_newest_job_tells_the_demand() {
    let now = Instant::now();
    let engines = Engines::default();
    engines.record_job("m", 3, 100, now);
    let remote =
        |min_version| ModelDemand { min_version: Some(min_version), ..ModelDemand::default() };
    engines.set_remote_demand("m".to_owned(), remote(2));
    assert_eq!(engines.demand("m").min_version, Some(3));
    engines.set_remote_demand("m".to_owned(), remote(4));
    assert_eq!(engines.demand("m").min_version, Some(4));
    assert_eq!(engines.own_demand("m").min_version, Some(3));
    assert_eq!(engines.demand("other"), ModelDemand::default());
}
