//! Decisions of the weight update planner.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_weight::{
    engine::{EngineRole, EngineState, SwapState},
    planner::{
        EngineOrder, ObservedTarget, PendingOrder, PlannerOptions, PlanningInput, plan_orders,
    },
};
use test_case::test_case;

fn source_address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns an idle, serving engine with the given running and staged versions.
fn engine_state(version: u64, staged: Option<u64>) -> EngineState {
    EngineState {
        incarnation: 1,
        model: "m".to_owned(),
        weight_version: version,
        staged_version: staged,
        role: EngineRole::Serving,
        swap_state: SwapState::Idle,
        fencing: 0,
        running: 0,
    }
}

fn observed_targets(states: Vec<EngineState>) -> Vec<ObservedTarget> {
    let observed = |(index, state)| ObservedTarget {
        id: format!("t{index}"),
        state: Some(state),
        unreachable_since: None,
    };
    states.into_iter().enumerate().map(observed).collect()
}

/// Plans one round with version 2 as the desired version.
fn plan_for_version_2(
    targets: &[ObservedTarget],
    sources: &[SocketAddr],
    pending_orders: &HashMap<String, PendingOrder>,
    options: &PlannerOptions,
) -> Vec<(String, EngineOrder)> {
    let planning_input =
        PlanningInput { targets, desired_version: 2, sources, pending_orders, now: Instant::now() };
    plan_orders(&planning_input, options)
}

/// A rolling switch takes no more targets out of service than the serving floor allows.
#[test_case(10, 50, 5; "half of ten")]
#[test_case(3, 50, 1; "rounded in favour of serving")]
#[test_case(4, 100, 0; "nothing may stop")]
#[test_case(4, 0, 4; "all may stop")]
fn switches_respect_serving_floor(targets: usize, floor_percent: u32, expected: usize) {
    let targets = observed_targets(vec![engine_state(1, Some(2)); targets]);
    let options =
        PlannerOptions { serving_floor_percent: floor_percent, ..PlannerOptions::default() };
    let orders = plan_for_version_2(&targets, &[source_address(1)], &HashMap::new(), &options);
    assert_eq!(orders.len(), expected);
    assert!(orders.iter().all(|(_, order)| *order == EngineOrder::Switch { version: 2 }));
}

/// An unreachable or switching target does not count as serving.
#[test]
fn interrupted_targets_reduce_the_budget() {
    let mut targets = observed_targets(vec![engine_state(1, Some(2)); 4]);
    targets[0].state = None;
    if let Some(state) = &mut targets[1].state {
        state.swap_state = SwapState::Switching;
    }
    assert!(
        plan_for_version_2(
            &targets,
            &[source_address(1)],
            &HashMap::new(),
            &PlannerOptions::default()
        )
        .is_empty()
    );
}

/// A crashed target blocks the update only during its grace period.
#[test_case(1, 0; "within the grace period")]
#[test_case(11, 1; "after the grace period")]
fn crashed_target_blocks_update_only_during_grace_period(unreachable_s: u64, expected: usize) {
    let mut targets = observed_targets(vec![engine_state(1, Some(2)); 3]);
    targets[0].state = None;
    targets[0].unreachable_since = Instant::now().checked_sub(Duration::from_secs(unreachable_s));
    let orders = plan_for_version_2(
        &targets,
        &[source_address(1)],
        &HashMap::new(),
        &PlannerOptions::default(),
    );
    assert_eq!(orders.len(), expected);
}

/// A pending switch order counts as an interruption until its effect is reported, so the next
/// targets do not switch too early.
#[test]
fn pending_switch_counts_as_interruption() {
    let targets = observed_targets(vec![engine_state(1, Some(2)); 4]);
    let order = PendingOrder { order: EngineOrder::Switch { version: 2 }, sent_at: Instant::now() };
    let pending_orders =
        HashMap::from([("t0".to_owned(), order.clone()), ("t1".to_owned(), order)]);
    assert!(
        plan_for_version_2(
            &targets,
            &[source_address(1)],
            &pending_orders,
            &PlannerOptions::default()
        )
        .is_empty()
    );
}

/// Transfers per source are limited, and relays take all transfers if there are any, so the
/// rate-limited weight store is not overloaded.
#[test_case(1, 8; "store alone")]
#[test_case(4, 24; "three relays take all transfers")]
fn transfers_per_source_are_limited(sources: u16, expected: usize) {
    let targets = observed_targets(vec![engine_state(1, None); 100]);
    let sources: Vec<_> = (1..=sources).map(source_address).collect();
    let orders =
        plan_for_version_2(&targets, &sources, &HashMap::new(), &PlannerOptions::default());
    assert_eq!(orders.len(), expected);
    for source in &sources {
        let used = orders.iter().filter(
            |(_, order)| matches!(order, EngineOrder::Stage { source: used, .. } if used == source),
        );
        assert!(used.count() <= PlannerOptions::default().max_transfers_per_source);
    }
}

/// A target whose switch failed is drained, staged again, switched and returned to service.
#[test]
fn target_with_failed_switch_is_drained_and_updated_again() {
    let failed_target = EngineState { swap_state: SwapState::Failed, ..engine_state(1, Some(2)) };
    let mut targets = observed_targets(vec![failed_target, engine_state(2, None)]);
    let sources = [source_address(1)];
    let options = PlannerOptions::default();
    let no_pending_orders = HashMap::new();
    let next_orders = |targets: &[ObservedTarget]| {
        plan_for_version_2(targets, &sources, &no_pending_orders, &options)
    };

    assert_eq!(next_orders(&targets), [("t0".to_owned(), EngineOrder::Drain)]);
    let change_first_target = |targets: &mut Vec<ObservedTarget>, change: fn(&mut EngineState)| {
        change(targets[0].state.as_mut().expect("state"));
    };
    change_first_target(&mut targets, |state| {
        (state.role, state.running) = (EngineRole::Drained, 3)
    });
    assert!(next_orders(&targets).is_empty(), "calls still run on the drained target");
    change_first_target(&mut targets, |state| state.running = 0);
    assert!(matches!(next_orders(&targets)[..], [(_, EngineOrder::Stage { version: 2, .. })]));
    change_first_target(&mut targets, |state| state.swap_state = SwapState::Idle);
    assert_eq!(next_orders(&targets), [("t0".to_owned(), EngineOrder::Switch { version: 2 })]);
    change_first_target(&mut targets, |state| state.weight_version = 2);
    assert_eq!(next_orders(&targets), [("t0".to_owned(), EngineOrder::Serve)]);
}

/// An order whose effect the target does not report is sent again after the timeout.
#[test]
fn order_without_effect_is_resent_after_timeout() {
    let targets = observed_targets(vec![engine_state(1, None), engine_state(2, None)]);
    let options = PlannerOptions::default();
    let Some(sent_at) = Instant::now().checked_sub(options.order_timeout + Duration::from_secs(1))
    else {
        panic!("the machine has just started");
    };
    let order = EngineOrder::Stage { version: 2, source: source_address(1) };
    let pending_orders = HashMap::from([("t0".to_owned(), PendingOrder { order, sent_at })]);
    assert_eq!(
        plan_for_version_2(&targets, &[source_address(1)], &pending_orders, &options).len(),
        1
    );
}

/// A target with a version newer than desired gets no order.
#[test]
fn newer_version_gets_no_order() {
    let targets = observed_targets(vec![engine_state(3, None), engine_state(2, None)]);
    assert!(
        plan_for_version_2(
            &targets,
            &[source_address(1)],
            &HashMap::new(),
            &PlannerOptions::default()
        )
        .is_empty()
    );
}
