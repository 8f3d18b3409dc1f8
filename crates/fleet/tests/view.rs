//! View and engine state of a node: outages of the object API, leaving targets, and the target
//! changes for other nodes.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_fleet::{
    CallerLimits, Configuration, EngineLoad, EngineRegistry, EngineUpdate, FleetView, Route,
    RouteKind, ServiceConfig, Target, TargetChanges, TargetContent, TargetState,
};
use deck_route::{Router, RouterOptions};

use TargetContent::{Routing, WithVersions};

fn view() -> FleetView {
    FleetView::new(Router::new(RouterOptions::default()))
}

fn target(id: &str) -> Target {
    Target {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "a".to_owned(),
        state: TargetState::Ready,
        software_version: None,
        slots: 8,
        models: vec![("m".to_owned(), 1)],
        started_at_ms: 1,
    }
}

fn route(host: &str, prefix: &str, split: &[(&str, u32)]) -> Route {
    Route {
        name: prefix.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        resumable: false,
        timeout: Duration::from_secs(2),
        target_latency: Duration::from_millis(150),
        priority: 1,
        service_weights: split.iter().map(|(name, weight)| ((*name).to_owned(), *weight)).collect(),
        max_attempts: 2,
        result_deadline: Duration::ZERO,
        item_deadline: Duration::ZERO,
        single_version: false,
        is_public: false,
    }
}

fn configuration(version: u64, routes: Vec<Route>) -> Configuration {
    let service = ServiceConfig { name: "s".to_owned(), engine: None, scaling: None };
    Configuration::new(version, routes, vec![service], CallerLimits::default())
}

/// A stale read must not replace the configuration by an earlier version.
#[test]
fn configuration_never_goes_back() {
    let view = view();
    view.set_configuration(configuration(7, Vec::new()));
    view.set_configuration(configuration(5, Vec::new()));
    assert_eq!(view.configuration().expect("configuration").version, 7);
}

/// A route with a shorter prefix or another host must not match instead.
#[test]
fn route_with_the_longest_prefix_is_selected() {
    let routes = vec![
        route("h", "/a/", &[("s", 1)]),
        route("h", "/a/b/", &[("s", 1)]),
        route("other", "/a/b/c/", &[("s", 1)]),
    ];
    let configuration = configuration(1, routes);
    let name = |path| configuration.route("h", path).map(|route| route.name.clone());
    assert_eq!(name("/a/b/c/d").as_deref(), Some("/a/b/"));
    assert_eq!(name("/a/x").as_deref(), Some("/a/"));
    assert_eq!(name("/x"), None);
}

/// Services with a small weight must receive their share of the requests.
#[test]
fn services_are_selected_by_weight() {
    let split = route("h", "/", &[("s", 90), ("t", 10)]);
    assert_eq!(split.pick_service(0.0), "s");
    assert_eq!(split.pick_service(0.89), "s");
    assert_eq!(split.pick_service(0.91), "t");
    assert_eq!(split.pick_service(1.0), "t");
}

/// Entries of live targets may expire during an outage. The targets must be kept until they had
/// time to register again.
#[test]
fn missing_target_is_kept_for_a_time_after_an_outage() {
    let (view, now) = (view(), Instant::now());
    view.set_targets(vec![target("a"), target("b")], now);
    view.set_object_api_recovered(now);
    view.set_targets(vec![target("a")], now);
    assert!(view.target("b").is_some());
    view.remove_expired_missing(now + Duration::from_millis(1900));
    assert!(view.target("b").is_some());
    view.remove_expired_missing(now + Duration::from_millis(2300));
    assert!(view.target("b").is_none() && view.target("a").is_some());
}

/// A target that registers again in time must not be removed later.
#[test]
fn target_that_registers_again_is_kept() {
    let (view, now) = (view(), Instant::now());
    view.set_targets(vec![target("a")], now);
    view.set_object_api_recovered(now);
    view.remove_target("a", now);
    view.set_target(target("a"));
    view.remove_expired_missing(now + Duration::from_secs(9));
    assert!(view.target("a").is_some());
}

/// Without an outage, a target whose entry is removed must not receive further requests.
#[test]
fn missing_target_is_removed_at_once_without_an_outage() {
    let (view, now) = (view(), Instant::now());
    view.set_targets(vec![target("a")], now);
    view.remove_target("a", now);
    assert!(view.target("a").is_none());
}

/// A node must not become ready before it has received the targets.
#[test]
fn view_is_complete_with_configuration_and_targets() {
    let view = view();
    view.set_configuration(configuration(1, Vec::new()));
    assert!(!view.is_complete());
    view.set_targets(Vec::new(), Instant::now());
    assert!(view.is_complete());
}

/// Observations of an engine must not be applied to a new process under the same id.
#[test]
fn engine_state_is_reset_after_a_restart() {
    let (engines, first) = (EngineRegistry::default(), target("a"));
    engines.set_version(&first, "m", 5);
    engines.set_loading_model(&first, Some("m".to_owned()));
    assert_eq!(engines.version(&first, "m"), Some(5));
    let restarted = Target { started_at_ms: 2, ..target("a") };
    assert_eq!(engines.version(&restarted, "m"), Some(1));
    assert_eq!(engines.loading_model(&restarted), None);
}

/// An engine that receives no runs because it was slow must not be considered slow for ever.
#[test]
fn speed_estimate_of_an_idle_engine_decays_to_the_usual_one() {
    let (engines, slow, now) = (EngineRegistry::default(), target("a"), Instant::now());
    for step in 0..100 {
        let at = now + Duration::from_millis(100 * step);
        engines.record_event_interval(&slow, Duration::from_millis(120), at);
    }
    let last_recorded_at = now + Duration::from_millis(9900);
    let interval = |at| engines.state(&slow).expected_event_interval_ms(40.0, at).expect("known");
    assert!(interval(last_recorded_at) > 110.0, "{}", interval(last_recorded_at));
    assert!(interval(last_recorded_at + Duration::from_secs(20)) < 45.0);
}

/// Records five seconds of events of engine `id`, one each 40 ms, and returns the time of the last.
fn record_events(engines: &EngineRegistry, id: &str, event_ms: u64, now: Instant) -> Instant {
    let at = |step: u64| now + Duration::from_millis(40 * step);
    for step in 0..125 {
        engines.record_event_interval(&target(id), Duration::from_millis(event_ms), at(step));
    }
    at(124)
}

/// Returns the updates that the leader sends to a new runner after `loads` were reported.
fn updates_for_new_runner(
    leader: &EngineRegistry,
    loads: Vec<EngineLoad>,
    received_at: Instant,
    now: Instant,
) -> Vec<EngineUpdate> {
    let node = SocketAddr::from(([127, 0, 0, 1], 9000));
    leader.set_remote_loads(node, loads, received_at);
    leader.set_remote_loads(node, Vec::new(), received_at);
    let update = |id| leader.engine_update(&target(id), "m", true).expect("an update");
    let mut updates = ["a", "b", "c", "d"].map(update).to_vec();
    leader.add_speeds(&mut updates, |_| true, now);
    updates
}

/// A runner that takes over must not place the longest texts on engines that its predecessor, which
/// is gone, knew to be slow.
#[test]
fn new_runner_learns_the_speeds_of_its_predecessor() {
    let [old_runner, leader, new_runner] = [(); 3].map(|()| EngineRegistry::default());
    let mut now = Instant::now();
    for (id, event_ms) in [("a", 33), ("b", 33), ("c", 72), ("d", 33)] {
        now = record_events(&old_runner, id, event_ms, Instant::now());
        drop(old_runner.start_run(&target(id)));
        old_runner.record_run(&target(id), 10, Duration::from_millis(330), now);
    }
    let updates = updates_for_new_runner(&leader, old_runner.own_loads(now), now, now);
    let with_speed = updates.iter().filter(|update| update.speed.is_some());
    assert!(with_speed.clone().map(|update| &*update.target).eq(["c"]), "{updates:?}");
    let view = view();
    view.set_targets(["a", "b", "c", "d"].map(target).to_vec(), now);
    new_runner.apply_updates(&view, "m", &updates, now);
    let interval = |id| new_runner.state(&target(id)).expected_event_interval_ms(40.0, now);
    assert_eq!(interval("a"), None);
    assert!(interval("c").is_some_and(|ms| ms > 60.0), "{:?}", interval("c"));
    // What the runner has measured itself since is not replaced by the report.
    let later = record_events(&new_runner, "c", 33, now + Duration::from_secs(1));
    new_runner.apply_updates(&view, "m", &updates, later);
    assert!(new_runner.state(&target("c")).expected_event_interval_ms(40.0, later) < Some(40.0));
}

/// Reports that are lost, old, of a process that has restarted, or absent as engines do not differ
/// must leave a new runner with the assumptions of an unknown engine.
#[test]
fn old_speeds_are_not_adopted() {
    let [old_runner, leader, new_runner] = [(); 3].map(|()| EngineRegistry::default());
    let mut now = Instant::now();
    for (id, event_ms) in [("a", 33), ("b", 37), ("c", 30), ("d", 72)] {
        now = record_events(&old_runner, id, event_ms, Instant::now());
        old_runner.record_run(&target(id), 10, Duration::from_millis(330), now);
    }
    let loads = old_runner.own_loads(now);
    assert!(loads.iter().all(|load| load.speed.is_some() == (load.target == "d")), "{loads:?}");
    let later = now + Duration::from_secs(16);
    let updates = updates_for_new_runner(&leader, loads.clone(), now, later);
    assert!(updates.iter().all(|update| update.speed.is_none()), "{updates:?}");
    let mut updates = updates_for_new_runner(&leader, loads, now, now);
    updates[3].speed.as_mut().expect("a speed").event_ms = f64::NAN;
    let view = view();
    view.set_targets(["a", "b", "c", "d"].map(target).to_vec(), now);
    new_runner.apply_updates(&view, "m", &updates, now);
    assert_eq!(new_runner.state(&target("d")).expected_event_interval_ms(40.0, now), None);
    let restarted = Target { started_at_ms: 2, ..target("d") };
    let mut update = [leader.engine_update(&restarted, "m", true).expect("an update")];
    leader.add_speeds(&mut update, |_| true, now);
    assert_eq!(update[0].speed, None);
}

/// Runs must not be counted on an engine after they have ended.
#[test]
fn run_is_counted_until_its_guard_is_dropped() {
    let (engines, engine) = (EngineRegistry::default(), target("a"));
    let guard = engines.start_run(&engine);
    assert_eq!(engines.state(&engine).active_runs, 1);
    drop(guard);
    assert_eq!(engines.state(&engine).active_runs, 0);
}

fn state(view: &FleetView, id: &str) -> Option<TargetState> {
    view.target(id).map(|target| target.state)
}

/// A target that announced that it is leaving must not receive requests because of an outdated
/// list: from the object API, from another node, or from before its entry was removed.
#[test]
fn outdated_lists_do_not_restore_a_leaving_target() {
    let (view, now) = (view(), Instant::now());
    let both_targets = || vec![target("a"), target("b")];
    view.set_targets(both_targets(), now);
    assert!(view.mark_leaving(&target("a"), now));
    assert!(!view.mark_leaving(&target("a"), now));
    assert_eq!(state(&view, "a"), Some(TargetState::Draining));
    assert_eq!(state(&view, "b"), Some(TargetState::Ready));
    view.set_target(target("a"));
    assert_eq!(state(&view, "a"), Some(TargetState::Draining));
    view.set_targets(both_targets(), now);
    assert_eq!(state(&view, "a"), Some(TargetState::Draining));
    view.apply_target_changes(TargetChanges::Complete(both_targets()), now);
    assert_eq!(state(&view, "a"), Some(TargetState::Draining));
    view.remove_target("a", now);
    assert_eq!(state(&view, "a"), None);
    view.apply_target_changes(TargetChanges::Complete(both_targets()), now);
    assert_eq!(state(&view, "a"), Some(TargetState::Draining));
}

/// A target that has restarted under the same id must become ready again, and a late response of
/// the earlier process must not mark the new one as leaving.
#[test]
fn restarted_target_is_ready_again() {
    let (view, now) = (view(), Instant::now());
    view.set_targets(vec![target("a")], now);
    view.mark_leaving(&target("a"), now);
    view.set_target(Target { started_at_ms: 2, ..target("a") });
    assert_eq!(state(&view, "a"), Some(TargetState::Ready));
    assert!(!view.mark_leaving(&target("a"), now));
    assert_eq!(state(&view, "a"), Some(TargetState::Ready));
}

/// Memory must not grow with each target that ever left, but a target must stay marked as leaving
/// while it is listed.
#[test]
fn leaving_targets_are_forgotten_some_time_after_their_removal() {
    let (view, now) = (view(), Instant::now());
    view.set_targets(vec![target("a"), target("b")], now);
    view.mark_leaving(&target("a"), now);
    view.mark_leaving(&target("b"), now);
    view.remove_target("a", now);
    let later = now + Duration::from_secs(700);
    view.mark_leaving(&target("c"), later);
    view.set_targets(vec![target("a"), target("b")], later);
    assert_eq!(state(&view, "a"), Some(TargetState::Ready));
    assert_eq!(state(&view, "b"), Some(TargetState::Draining));
}

/// A few of thousands of targets change at a time. Readers must receive neither all targets with
/// each change, nor incomplete changes.
#[test]
fn readers_receive_only_changes() {
    let (watcher, reader, now) = (view(), view(), Instant::now());
    let ids: Vec<String> = (0..3000).map(|index| format!("t{index}")).collect();
    watcher.set_targets(ids.iter().map(|id| target(id)).collect(), now);
    let mut reader_position = watcher.last_target_change(WithVersions);
    reader.apply_target_changes(watcher.all_targets(WithVersions), now);
    for round in 0..50 {
        let models = vec![("m".to_owned(), 2 + round)];
        watcher.set_target(Target { models, ..target(&ids[round as usize * 7]) });
        watcher.remove_target(&ids[round as usize * 11 + 1], now);
        if round % 3 == 0 {
            let changes = watcher.targets_since(reader_position, WithVersions);
            let TargetChanges::Incremental { changed, removed } = &changes else {
                panic!("complete list instead of changes")
            };
            assert!(changed.len() + removed.len() <= 6, "{changed:?} {removed:?}");
            reader.apply_target_changes(changes, now);
            reader_position = watcher.last_target_change(WithVersions);
        }
    }
    reader.apply_target_changes(watcher.targets_since(reader_position, WithVersions), now);
    assert_eq!(reader.all_targets(WithVersions), watcher.all_targets(WithVersions));
}

/// A reader must not keep targets whose removal is no longer in the watcher's log.
#[test]
fn reader_far_behind_receives_all_targets() {
    let (watcher, now) = (view(), Instant::now());
    watcher.set_targets(vec![target("kept"), target("gone")], now);
    let reader_position = watcher.last_target_change(WithVersions);
    watcher.remove_target("gone", now);
    for index in 0..2000 {
        watcher.set_target(target(&format!("t{index}")));
        watcher.remove_target(&format!("t{index}"), now);
    }
    assert_eq!(
        watcher.targets_since(reader_position, WithVersions),
        TargetChanges::Complete(vec![target("kept")])
    );
    let TargetChanges::Incremental { changed, removed } =
        watcher.targets_since(watcher.last_target_change(WithVersions), WithVersions)
    else {
        panic!("complete list instead of changes")
    };
    assert!(changed.is_empty() && removed.is_empty());
}

/// Thousands of engines load a new version every few seconds. Nodes without jobs must not receive
/// these changes, but must still receive changes of target state.
#[test]
fn nodes_without_jobs_do_not_receive_versions() {
    let (watcher, reader, now) = (view(), view(), Instant::now());
    watcher.set_targets((0..50).map(|index| target(&format!("t{index}"))).collect(), now);
    reader.apply_target_changes(watcher.all_targets(Routing), now);
    let reader_position = watcher.last_target_change(Routing);
    for index in 0..50 {
        let models = vec![("m".to_owned(), 2)];
        watcher.set_target(Target { models, ..target(&format!("t{index}")) });
    }
    assert_eq!(watcher.last_target_change(Routing), reader_position);
    watcher.set_target(Target { state: TargetState::Draining, ..target("t7") });
    watcher.set_target(Target { started_at_ms: 2, ..target("t8") });
    watcher.remove_target("t9", now);
    let changes = watcher.targets_since(reader_position, Routing);
    let TargetChanges::Incremental { changed, removed } = &changes else { panic!("{changes:?}") };
    assert_eq!((changed.len(), removed.len()), (2, 1));
    assert!(changed.iter().all(|target| target.models.is_empty()));
    reader.apply_target_changes(changes, now);
    assert_eq!(state(&reader, "t7"), Some(TargetState::Draining));
    assert_eq!(state(&reader, "t9"), None);
}

/// A node with a job must receive the weight versions, to know which engines can run it.
#[test]
fn versions_are_needed_for_a_time_after_a_request() {
    let (view, now) = (view(), Instant::now());
    assert!(!view.needs_versions(now));
    view.request_versions(now);
    assert!(view.needs_versions(now + Duration::from_secs(9)));
    assert!(!view.needs_versions(now + Duration::from_secs(11)));
}
