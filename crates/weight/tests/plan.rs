//! Decisions of the weight rollout planner.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_weight::{
    engine::{EngineState, Role, SwapState},
    plan::{Order, PendingOrder, PlanInput, PlanOptions, TargetView, plan},
};
use test_case::test_case;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn engine(version: u64, staged: Option<u64>) -> EngineState {
    EngineState {
        incarnation: 1,
        model: "m".to_owned(),
        weight_version: version,
        staged_version: staged,
        role: Role::Serving,
        swap_state: SwapState::Idle,
        fencing: 0,
        running: 0,
    }
}

fn views(states: Vec<EngineState>) -> Vec<TargetView> {
    let view = |(index, state)| TargetView {
        id: format!("t{index}"),
        state: Some(state),
        unreachable_since: None,
    };
    states.into_iter().enumerate().map(view).collect()
}

fn run_plan(
    targets: &[TargetView],
    sources: &[SocketAddr],
    pending: &HashMap<String, PendingOrder>,
    options: &PlanOptions,
) -> Vec<(String, Order)> {
    let input = PlanInput { targets, desired: 2, sources, pending, now: Instant::now() };
    plan(&input, options)
}

/// Guards against a rollout that takes more targets out of service than the floor allows.
#[test_case(10, 50, 5; "half of ten")]
#[test_case(3, 50, 1; "rounded in favour of serving")]
#[test_case(4, 100, 0; "nothing may stop")]
#[test_case(4, 0, 4; "all may stop")]
fn switches_keep_the_serving_floor(targets: usize, floor_percent: u32, expected: usize) {
    let targets = views(vec![engine(1, Some(2)); targets]);
    let options = PlanOptions { serving_floor_percent: floor_percent, ..PlanOptions::default() };
    let orders = run_plan(&targets, &[address(1)], &HashMap::new(), &options);
    assert_eq!(orders.len(), expected);
    assert!(orders.iter().all(|(_, order)| *order == Order::Switch { version: 2 }));
}

/// Guards against counting an unreachable or switching target as serving.
#[test]
fn targets_that_do_not_serve_use_up_the_budget() {
    let mut targets = views(vec![engine(1, Some(2)); 4]);
    targets[0].state = None;
    if let Some(state) = &mut targets[1].state {
        state.swap_state = SwapState::Switching;
    }
    assert!(run_plan(&targets, &[address(1)], &HashMap::new(), &PlanOptions::default()).is_empty());
}

/// Guards against a rollout that stands still because a crashed target uses up the serving budget.
#[test_case(1, 0; "within the grace time")]
#[test_case(11, 1; "after the grace time")]
fn a_target_that_is_gone_does_not_hold_up_the_rollout(unreachable_s: u64, expected: usize) {
    let mut targets = views(vec![engine(1, Some(2)); 3]);
    targets[0].state = None;
    targets[0].unreachable_since = Instant::now().checked_sub(Duration::from_secs(unreachable_s));
    let orders = run_plan(&targets, &[address(1)], &HashMap::new(), &PlanOptions::default());
    assert_eq!(orders.len(), expected);
}

/// Guards against a second wave that starts before the first one's effect has been reported.
#[test]
fn a_switch_order_counts_until_its_effect_is_reported() {
    let targets = views(vec![engine(1, Some(2)); 4]);
    let order = PendingOrder { order: Order::Switch { version: 2 }, since: Instant::now() };
    let pending = HashMap::from([("t0".to_owned(), order.clone()), ("t1".to_owned(), order)]);
    assert!(run_plan(&targets, &[address(1)], &pending, &PlanOptions::default()).is_empty());
}

/// Guards against overloading the rate-limited weight store or one relay.
#[test_case(1, 8; "store alone")]
#[test_case(4, 24; "three relays take all transfers")]
fn transfers_are_bounded_by_source(sources: u16, expected: usize) {
    let targets = views(vec![engine(1, None); 100]);
    let sources: Vec<_> = (1..=sources).map(address).collect();
    let orders = run_plan(&targets, &sources, &HashMap::new(), &PlanOptions::default());
    assert_eq!(orders.len(), expected);
    for source in &sources {
        let used = orders.iter().filter(
            |(_, order)| matches!(order, Order::Stage { source: used, .. } if used == source),
        );
        assert!(used.count() <= PlanOptions::default().transfers_per_source);
    }
}

/// Guards against a failed swap that stays in service or is never put right.
#[test]
fn a_failed_swap_is_drained_staged_switched_and_put_back() {
    let failed = EngineState { swap_state: SwapState::Failed, ..engine(1, Some(2)) };
    let mut targets = views(vec![failed, engine(2, None)]);
    let sources = [address(1)];
    let options = PlanOptions::default();
    let none = HashMap::new();
    let next = |targets: &[TargetView]| run_plan(targets, &sources, &none, &options);

    assert_eq!(next(&targets), [("t0".to_owned(), Order::Drain)]);
    let state = |targets: &mut Vec<TargetView>, change: fn(&mut EngineState)| {
        change(targets[0].state.as_mut().expect("state"));
    };
    state(&mut targets, |state| (state.role, state.running) = (Role::Drained, 3));
    assert!(next(&targets).is_empty(), "calls still run on the drained target");
    state(&mut targets, |state| state.running = 0);
    assert!(matches!(next(&targets)[..], [(_, Order::Stage { version: 2, .. })]));
    state(&mut targets, |state| state.swap_state = SwapState::Idle);
    assert_eq!(next(&targets), [("t0".to_owned(), Order::Switch { version: 2 })]);
    state(&mut targets, |state| state.weight_version = 2);
    assert_eq!(next(&targets), [("t0".to_owned(), Order::Serve)]);
}

/// Guards against trusting an order that had no effect: the report decides.
#[test]
fn an_order_without_effect_is_sent_again_after_the_timeout() {
    let targets = views(vec![engine(1, None), engine(2, None)]);
    let options = PlanOptions::default();
    let Some(since) = Instant::now().checked_sub(options.order_timeout + Duration::from_secs(1))
    else {
        panic!("the machine has just started");
    };
    let order = Order::Stage { version: 2, source: address(1) };
    let pending = HashMap::from([("t0".to_owned(), PendingOrder { order, since })]);
    assert_eq!(run_plan(&targets, &[address(1)], &pending, &options).len(), 1);
}

/// Guards against bringing a target back to an older version.
#[test]
fn a_newer_version_is_left_alone() {
    let targets = views(vec![engine(3, None), engine(2, None)]);
    assert!(run_plan(&targets, &[address(1)], &HashMap::new(), &PlanOptions::default()).is_empty());
}
