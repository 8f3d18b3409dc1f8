//! View and engine state of a node: outages of the object API, leaving targets, and the target
//! changes for other nodes.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_fleet::{
    CallerLimits, Configuration, EngineRegistry, FleetView, Route, RouteKind, ServiceConfig,
    Target, TargetChanges, TargetContent, TargetState,
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
        lifetime: Default::default(),
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
