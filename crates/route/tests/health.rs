//! Ejection of unhealthy targets and their return after a successful probe.

mod common;

use std::time::Duration;

use common::{
    CallSimulation, POOL, count_calls, ejected_count, is_ejected, pick, pool, request, router,
    target_status,
};
use deck_core::priority::Priority;
use deck_route::{HealthState, Outcome};
use test_case::test_case;

/// Latency of a healthy target.
const FAST: Duration = Duration::from_millis(100);
/// Latency of a slow target.
const SLOW: Duration = Duration::from_millis(900);

/// Guards against a slow target that keeps receiving calls, and against a recovered target that
/// stays ejected.
#[test]
fn slow_target_is_ejected_and_returns() {
    let router = router(&pool(6, 1, 8));
    let mut simulation = CallSimulation::new(&router);
    simulation.run(300, |_, _| (FAST, Outcome::Ok));
    let slowdown_start = simulation.now;
    let slow = |target: &str, _| (if target == "t2" { SLOW } else { FAST }, Outcome::Ok);
    let targets = simulation.run(400, slow);
    assert!(is_ejected(&router, "t2"));
    let slow_target_calls = count_calls(&targets, "t2");
    assert!(
        slow_target_calls <= 10,
        "{slow_target_calls} calls to the slow target in {:?}",
        simulation.now - slowdown_start
    );
    let targets = simulation.run(1500, |_, _| (FAST, Outcome::Ok));
    assert!(!is_ejected(&router, "t2"));
    assert!(count_calls(&targets[1000..], "t2") > 30, "back in service");
}

/// Guards against ejecting targets while the whole pool is slow, which would overload the
/// remaining ones.
#[test]
fn no_target_is_ejected_when_all_are_slow() {
    let router = router(&pool(6, 1, 8));
    let mut simulation = CallSimulation::new(&router);
    simulation.run(300, |_, _| (FAST, Outcome::Ok));
    for _ in 0..300 {
        simulation.run(1, |_, _| (10 * FAST, Outcome::Ok));
        assert_eq!(ejected_count(&router), 0);
    }
}

/// Guards against ejecting targets while all of them stall and none responds.
#[test]
fn no_target_is_ejected_when_all_stall() {
    let router = router(&pool(6, 1, 8));
    let mut simulation = CallSimulation::new(&router);
    simulation.run(300, |_, _| (FAST, Outcome::Ok));
    let mut picks = Vec::new();
    for _ in 0..60 {
        simulation.now += Duration::from_millis(50);
        picks.push(pick(&router, Priority::Batch, simulation.now));
        assert_eq!(ejected_count(&router), 0);
    }
}

/// Guards against a stalled target receiving calls until its first call times out.
#[test]
fn stalled_target_is_ejected_without_a_response() {
    let router = router(&pool(6, 1, 8));
    let mut simulation = CallSimulation::new(&router);
    simulation.run(300, |_, _| (FAST, Outcome::Ok));
    let stall_duration = Duration::from_secs(3600);
    let targets = simulation
        .run(300, |target, _| (if target == "t1" { stall_duration } else { FAST }, Outcome::Ok));
    assert!(is_ejected(&router, "t1"));
    let stalled_calls = count_calls(&targets, "t1");
    assert!(stalled_calls <= 8, "{stalled_calls} calls to the stalled target");
}

/// Guards against ejecting most of the pool when many targets fail.
#[test_case(Outcome::Failed; "errors")]
#[test_case(Outcome::Crashed; "crashes")]
#[test_case(Outcome::TimedOut; "timeouts")]
fn at_most_half_of_a_pool_is_ejected(outcome: Outcome) {
    let router = router(&pool(7, 1, 8));
    let mut simulation = CallSimulation::new(&router);
    for _ in 0..400 {
        simulation.run(1, |_, _| (FAST, outcome));
        assert!(ejected_count(&router) <= 3);
    }
    assert_eq!(ejected_count(&router), 3);
}

/// Guards against a crashed target receiving more than a few calls before it is ejected, and
/// against probes at a constant interval while it is down.
#[test]
fn crashed_target_is_probed_with_growing_intervals() {
    let router = router(&pool(6, 1, 8));
    let mut simulation = CallSimulation::new(&router);
    simulation.run(300, |_, _| (FAST, Outcome::Ok));
    let mut attempt_times = Vec::new();
    simulation.run(6000, |target, now| {
        if target != "t3" {
            return (FAST, Outcome::Ok);
        }
        attempt_times.push(now);
        (Duration::from_millis(1), Outcome::Crashed)
    });
    // Two calls eject the target; probes follow after about 1, 2, 4, 8, 16 and 30 s.
    assert!((5..=9).contains(&attempt_times.len()), "{} attempts in 60 s", attempt_times.len());
    let intervals: Vec<_> = attempt_times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(intervals[1..].windows(2).all(|pair| pair[1] > pair[0]), "{intervals:?}");
}

/// Guards against keeping a target that fails a large fraction of its calls, but never enough in a
/// row to reach the limit of consecutive failures.
#[test]
fn intermittent_errors_eject() {
    let router = router(&pool(6, 1, 8));
    let mut simulation = CallSimulation::new(&router);
    let mut number = 0;
    simulation.run(600, |target, _| {
        number += usize::from(target == "t4");
        let fails = target == "t4" && number % 3 != 0;
        (FAST, if fails { Outcome::Failed } else { Outcome::Ok })
    });
    assert!(is_ejected(&router, "t4"));
}

/// Guards against using interactive calls as probes while other calls are available, and against
/// concurrent probes of one target.
#[test]
fn probes_avoid_interactive_calls() {
    let router = router(&pool(4, 1, 8));
    let mut simulation = CallSimulation::new(&router);
    simulation.run(100, |_, _| (FAST, Outcome::Ok));
    simulation
        .run(100, |target, _| (FAST, if target == "t0" { Outcome::Crashed } else { Outcome::Ok }));
    let HealthState::Ejected { probe_at, .. } = target_status(&router, "t0").health else {
        panic!("t0 is not ejected")
    };
    let after_probe_at = probe_at + Duration::from_millis(1);
    let interactive = pick(&router, Priority::Interactive, after_probe_at);
    assert!(!interactive.in_flight.is_probe());
    let probe = pick(&router, Priority::Rollout, after_probe_at);
    assert!(probe.in_flight.is_probe());
    let call_during_probe = pick(&router, Priority::Rollout, after_probe_at);
    assert!(!call_during_probe.in_flight.is_probe());
    // A cancelled probe does not change the ejection; the next one is due after an interval.
    drop(probe);
    assert!(!pick(&router, Priority::Rollout, after_probe_at).in_flight.is_probe());
    assert!(is_ejected(&router, "t0"));
}

/// Guards against refusing a call whose only remaining target is ejected.
#[test]
fn ejected_target_is_better_than_none() {
    let router = router(&pool(2, 1, 8));
    let mut simulation = CallSimulation::new(&router);
    simulation
        .run(100, |target, _| (FAST, if target == "t0" { Outcome::Crashed } else { Outcome::Ok }));
    let exclude = ["t1".to_owned()];
    let request = deck_route::PickRequest {
        exclude: &exclude,
        only: None,
        ..request(Priority::Interactive, simulation.now)
    };
    assert_eq!(router.pick(&request).unwrap().target, "t0");
    router.mark_leaving(POOL, "t0");
    assert!(router.pick(&request).is_err());
}
