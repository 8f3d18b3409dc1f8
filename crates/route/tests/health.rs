//! Ejection and return of targets.

mod common;

use std::time::Duration;

use common::{Calls, POOL, count, ejected, is_ejected, pick, pool, request, router, view};
use deck_core::priority::Priority;
use deck_route::{HealthState, Outcome};
use test_case::test_case;

const FAST: Duration = Duration::from_millis(100);
const SLOW: Duration = Duration::from_millis(900);

/// Guards against a slow target that goes on receiving calls, and against one that has recovered
/// staying out of service.
#[test]
fn slow_target_is_ejected_and_returns() {
    let router = router(&pool(6, 1, 8));
    let mut calls = Calls::new(&router);
    calls.run(300, |_, _| (FAST, Outcome::Ok));
    let slow_from = calls.now;
    let slow = |target: &str, _| (if target == "t2" { SLOW } else { FAST }, Outcome::Ok);
    let targets = calls.run(400, slow);
    assert!(is_ejected(&router, "t2"));
    let seen = count(&targets, "t2");
    assert!(seen <= 10, "{seen} calls to the slow target in {:?}", calls.now - slow_from);
    let targets = calls.run(1500, |_, _| (FAST, Outcome::Ok));
    assert!(!is_ejected(&router, "t2"));
    assert!(count(&targets[1000..], "t2") > 30, "back in service");
}

/// Guards against ejections while the whole pool is slow, which would overload the rest.
#[test]
fn no_target_is_ejected_when_all_are_slow() {
    let router = router(&pool(6, 1, 8));
    let mut calls = Calls::new(&router);
    calls.run(300, |_, _| (FAST, Outcome::Ok));
    for _ in 0..300 {
        calls.run(1, |_, _| (10 * FAST, Outcome::Ok));
        assert_eq!(ejected(&router), 0);
    }
}

/// Guards against a stall of all targets, in which no call answers, being taken for outliers.
#[test]
fn no_target_is_ejected_when_all_stall() {
    let router = router(&pool(6, 1, 8));
    let mut calls = Calls::new(&router);
    calls.run(300, |_, _| (FAST, Outcome::Ok));
    let mut waiting = Vec::new();
    for _ in 0..60 {
        calls.now += Duration::from_millis(50);
        waiting.push(pick(&router, Priority::Batch, calls.now));
        assert_eq!(ejected(&router), 0);
    }
}

/// Guards against a stalled target receiving calls until the first of them times out.
#[test]
fn stalled_target_is_ejected_without_a_response() {
    let router = router(&pool(6, 1, 8));
    let mut calls = Calls::new(&router);
    calls.run(300, |_, _| (FAST, Outcome::Ok));
    let stuck = Duration::from_secs(3600);
    let targets =
        calls.run(300, |target, _| (if target == "t1" { stuck } else { FAST }, Outcome::Ok));
    assert!(is_ejected(&router, "t1"));
    let stuck = count(&targets, "t1");
    assert!(stuck <= 8, "{stuck} calls stuck");
}

/// Guards against failures of many targets emptying the pool.
#[test_case(Outcome::Failed; "errors")]
#[test_case(Outcome::Crashed; "crashes")]
#[test_case(Outcome::TimedOut; "timeouts")]
fn at_most_half_of_a_pool_is_ejected(outcome: Outcome) {
    let router = router(&pool(7, 1, 8));
    let mut calls = Calls::new(&router);
    for _ in 0..400 {
        calls.run(1, |_, _| (FAST, outcome));
        assert!(ejected(&router) <= 3);
    }
    assert_eq!(ejected(&router), 3);
}

/// Guards against a crashed target receiving more than a few calls before it is ejected, and
/// against probes at a fixed rate while it stays down.
#[test]
fn crashed_target_is_probed_with_growing_intervals() {
    let router = router(&pool(6, 1, 8));
    let mut calls = Calls::new(&router);
    calls.run(300, |_, _| (FAST, Outcome::Ok));
    let mut tries = Vec::new();
    calls.run(6000, |target, now| {
        if target != "t3" {
            return (FAST, Outcome::Ok);
        }
        tries.push(now);
        (Duration::from_millis(1), Outcome::Crashed)
    });
    // Two calls eject it; then probes after about 1, 2, 4, 8, 16 and 30 s.
    assert!((5..=9).contains(&tries.len()), "{} tries in 60 s", tries.len());
    let gaps: Vec<_> = tries.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps[1..].windows(2).all(|pair| pair[1] > pair[0]), "{gaps:?}");
}

/// Guards against a target that fails a large part of its calls, but never many in a row, staying
/// in service.
#[test]
fn intermittent_errors_eject() {
    let router = router(&pool(6, 1, 8));
    let mut calls = Calls::new(&router);
    let mut number = 0;
    calls.run(600, |target, _| {
        number += usize::from(target == "t4");
        let fails = target == "t4" && number % 3 != 0;
        (FAST, if fails { Outcome::Failed } else { Outcome::Ok })
    });
    assert!(is_ejected(&router, "t4"));
}

/// Guards against interactive calls being spent on probes while other calls can do it, and against
/// more than one probe at a time.
#[test]
fn probes_are_gentle() {
    let router = router(&pool(4, 1, 8));
    let mut calls = Calls::new(&router);
    calls.run(100, |_, _| (FAST, Outcome::Ok));
    calls.run(100, |target, _| (FAST, if target == "t0" { Outcome::Crashed } else { Outcome::Ok }));
    let HealthState::Ejected { probe_at, .. } = view(&router, "t0").health else {
        panic!("t0 is not ejected")
    };
    let due = probe_at + Duration::from_millis(1);
    let interactive = pick(&router, Priority::Interactive, due);
    assert!(!interactive.in_flight.is_probe());
    let probe = pick(&router, Priority::Rollout, due);
    assert!(probe.in_flight.is_probe());
    let second = pick(&router, Priority::Rollout, due);
    assert!(!second.in_flight.is_probe());
    // A cancelled probe is no verdict and is not repeated at once.
    drop(probe);
    assert!(!pick(&router, Priority::Rollout, due).in_flight.is_probe());
    assert!(is_ejected(&router, "t0"));
}

/// Guards against a call being refused while an ejected target is the only one left for it.
#[test]
fn ejected_target_is_better_than_none() {
    let router = router(&pool(2, 1, 8));
    let mut calls = Calls::new(&router);
    calls.run(100, |target, _| (FAST, if target == "t0" { Outcome::Crashed } else { Outcome::Ok }));
    let exclude = ["t1".to_owned()];
    let request =
        deck_route::PickRequest { exclude: &exclude, ..request(Priority::Interactive, calls.now) };
    assert_eq!(router.pick(&request).unwrap().target, "t0");
    router.mark_leaving(POOL, "t0");
    assert!(router.pick(&request).is_err());
}
