//! Division of slots and order of queued calls.

use deck_core::priority::Priority;
use deck_limit::{
    fair_division::{Claim, divide},
    queue::FairQueue,
};
use test_case::test_case;

/// Guards against a division that wastes slots, assigns more than there are, or gives a claimant less
/// than its proportion by weight although it needs more.
#[test_case(100.0, &[(50.0, 80.0), (50.0, 80.0)], &[50.0, 50.0], 0.0; "both demand more than their proportion")]
#[test_case(100.0, &[(50.0, 10.0), (50.0, 200.0)], &[10.0, 90.0], 0.0; "unused slots are lent")]
#[test_case(100.0, &[(50.0, 10.0), (50.0, 20.0)], &[10.0, 20.0], 70.0; "surplus")]
#[test_case(90.0, &[(60.0, 1.0), (30.0, 99.0), (15.0, 99.0)], &[1.0, 59.333_333, 29.666_667], 0.0;
    "lent by weight")]
#[test_case(10.0, &[], &[], 10.0; "no claims")]
fn divides_by_weight_and_demand(
    slots: f64,
    claims: &[(f64, f64)],
    expected: &[f64],
    surplus_slots: f64,
) {
    let claims: Vec<_> = claims.iter().map(|&(weight, demand)| Claim { weight, demand }).collect();
    let division = divide(slots, &claims);
    assert_eq!(division.allocations.len(), expected.len());
    for (allocation, expected) in division.allocations.iter().zip(expected) {
        assert!((allocation - expected).abs() < 1e-3, "{:?}", division.allocations);
    }
    assert!((division.surplus_slots - surplus_slots).abs() < 1e-3);
}

/// Serves up to `calls` calls and returns them in the order in which the queue released them.
fn serve_calls(queue: &mut FairQueue<&'static str>, calls: usize) -> Vec<&'static str> {
    (0..calls).filter_map(|_| queue.pop(|_, _| true)).map(|(_, item)| item).collect()
}

/// Guards against an organisation that gets more cost served than its weight allows by sending more or
/// longer calls.
#[test]
fn cost_is_served_by_weight() {
    let mut queue = FairQueue::default();
    for _ in 0..400 {
        queue.push("long", 50.0, Priority::Batch, 400.0, "long");
        queue.push("short", 50.0, Priority::Batch, 100.0, "short");
    }
    let order = serve_calls(&mut queue, 250);
    let long = order.iter().filter(|item| **item == "long").count();
    assert!((49..=51).contains(&long), "{long} long calls of 250");
}

/// Guards against an organisation that accumulates credit while idle and then starves the others.
#[test]
fn idle_time_gives_no_credit() {
    let mut queue = FairQueue::default();
    for _ in 0..100 {
        queue.push("busy", 50.0, Priority::Batch, 1.0, "busy");
    }
    serve_calls(&mut queue, 50);
    for _ in 0..100 {
        queue.push("idle", 50.0, Priority::Batch, 1.0, "idle");
    }
    let order = serve_calls(&mut queue, 20);
    let idle = order.iter().filter(|item| **item == "idle").count();
    assert!((9..=11).contains(&idle), "{order:?}");
}

/// Guards against interactive calls that wait behind rollout calls of their organisation.
#[test]
fn urgent_calls_are_served_first() {
    let mut queue = FairQueue::default();
    queue.push("a", 1.0, Priority::Rollout, 1.0, "rollout");
    queue.push("a", 1.0, Priority::Interactive, 1.0, "interactive");
    assert_eq!(serve_calls(&mut queue, 2), ["interactive", "rollout"]);
}
