//! Measurement of a model's demand from its jobs and texts. No test uses the network.

use std::time::{Duration, Instant};

use deck_fleet::{DemandMeter, Engines, ModelDemand};

const STEP_INTERVAL: Duration = Duration::from_secs(4);

/// A trainer requests 100 texts of 20 events every 4 s. A wrong demand would give the model a wrong
/// share of the engines.
#[test]
fn demand_is_measured_from_jobs_and_texts() {
    let start = Instant::now();
    let mut meter = DemandMeter::default();
    assert_eq!(meter.demand(), ModelDemand::default());
    for step in 0..5 {
        meter.record_job(u64::from(step), 100, start + STEP_INTERVAL * step);
    }
    assert_eq!(meter.demand().events_per_s, None, "no text is complete");
    meter.record_text(20);
    let demand = meter.demand();
    assert_eq!(demand.min_version, Some(4));
    let events_per_s = demand.events_per_s.expect("a demand");
    assert!((events_per_s - 500.0).abs() < 1.0, "{events_per_s}");
}

/// A job that is taken over from another node must not count as the newest one.
#[test]
fn older_job_is_ignored() {
    let start = Instant::now();
    let mut meter = DemandMeter::default();
    meter.record_job(5, 100, start + STEP_INTERVAL);
    meter.record_job(4, 900, start);
    meter.record_job(5, 100, start + STEP_INTERVAL);
    meter.record_text(20);
    let demand = meter.demand();
    assert_eq!((demand.min_version, demand.events_per_s), (Some(5), None));
}

/// The jobs of a model move to another node. The demand last reported by the former runner must not
/// be used any more.
#[test]
fn demand_comes_from_the_node_with_the_newest_job() {
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
