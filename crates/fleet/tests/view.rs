//! Knowledge of a node around outages of the object API.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_fleet::{
    CallerLimits, Configuration, Engines, Route, RouteKind, Service, Target, TargetChanges,
    TargetContent, TargetState, View,
};
use deck_route::{Router, RouterOptions};

use TargetContent::{Routing, WithVersions};

fn view() -> View {
    View::new(Router::new(RouterOptions::default()))
}

fn target(id: &str) -> Target {
    Target {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "a".to_owned(),
        state: TargetState::Ready,
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
        split: split.iter().map(|(name, weight)| ((*name).to_owned(), *weight)).collect(),
        attempts: 2,
        results_due: Duration::ZERO,
        give_up: Duration::ZERO,
        single_version: false,
    }
}

fn configuration(version: u64, routes: Vec<Route>) -> Configuration {
    let service = Service { name: "s".to_owned(), engine: None };
    Configuration::new(version, routes, vec![service], CallerLimits::default())
}

/// Guards against a configuration that goes back after a stale read.
#[test]
fn configuration_never_goes_back() {
    let view = view();
    view.set_configuration(configuration(7, Vec::new()));
    view.set_configuration(configuration(5, Vec::new()));
    assert_eq!(view.configuration().expect("configuration").version, 7);
}

/// Guards against requests that a shorter prefix or another host takes.
#[test]
fn longest_prefix_of_the_host_wins() {
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

/// Guards against a split that never reaches a service with a small weight.
#[test]
fn split_follows_the_weights() {
    let split = route("h", "/", &[("s", 90), ("t", 10)]);
    assert_eq!(split.service(0.0), "s");
    assert_eq!(split.service(0.89), "s");
    assert_eq!(split.service(0.91), "t");
    assert_eq!(split.service(1.0), "t");
}

/// Guards against live targets that are dropped because their entries expired in an outage.
#[test]
fn target_is_kept_until_it_had_time_to_register_again() {
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

/// Guards against a target that comes back in time and is removed all the same.
#[test]
fn target_that_registers_again_stays() {
    let (view, now) = (view(), Instant::now());
    view.set_targets(vec![target("a")], now);
    view.set_object_api_recovered(now);
    view.remove_target("a", now);
    view.set_target(target("a"));
    view.remove_expired_missing(now + Duration::from_secs(9));
    assert!(view.target("a").is_some());
}

/// Guards against work for a target that has left while the object API was well.
#[test]
fn target_that_leaves_without_an_outage_goes_at_once() {
    let (view, now) = (view(), Instant::now());
    view.set_targets(vec![target("a")], now);
    view.remove_target("a", now);
    assert!(view.target("a").is_none());
}

/// Guards against a node that counts as ready without knowing any target.
#[test]
fn view_is_complete_with_configuration_and_targets() {
    let view = view();
    view.set_configuration(configuration(1, Vec::new()));
    assert!(!view.is_complete());
    view.set_targets(Vec::new(), Instant::now());
    assert!(view.is_complete());
}

/// Guards against observations of an engine that hold after it has started again under its id.
#[test]
fn engine_that_starts_again_is_a_new_one() {
    let (engines, first) = (Engines::default(), target("a"));
    engines.set_version(&first, "m", 5);
    engines.set_loading_model(&first, Some("m".to_owned()));
    assert_eq!(engines.version(&first, "m"), Some(5));
    let again = Target { started_at_ms: 2, ..target("a") };
    assert_eq!(engines.version(&again, "m"), Some(1));
    assert_eq!(engines.changing(&again), None);
}

/// Guards against an engine that counts as slow for ever because nothing is sent to it any more.
#[test]
fn idle_slow_engine_returns_to_the_usual_speed() {
    let (engines, slow, now) = (Engines::default(), target("a"), Instant::now());
    for step in 0..100 {
        let at = now + Duration::from_millis(100 * step);
        engines.record_gap(&slow, Duration::from_millis(120), at);
    }
    let last = now + Duration::from_millis(9900);
    let gap = |at| engines.state(&slow).event_gap_ms(40.0, at).expect("known");
    assert!(gap(last) > 110.0, "{}", gap(last));
    assert!(gap(last + Duration::from_secs(20)) < 45.0);
}

/// Guards against runs that stay counted on an engine after they have ended.
#[test]
fn run_is_counted_until_its_guard_is_dropped() {
    let (engines, engine) = (Engines::default(), target("a"));
    let guard = engines.start_run(&engine);
    assert_eq!(engines.state(&engine).running, 1);
    drop(guard);
    assert_eq!(engines.state(&engine).running, 0);
}

fn state(view: &View, id: &str) -> Option<TargetState> {
    view.target(id).map(|target| target.state)
}

/// Guards against requests to a target that has said that it leaves, after a list that does not know
/// of it yet: of the object API, of another node, or of a time before its entry was removed.
#[test]
fn lists_do_not_bring_a_leaving_target_back() {
    let (view, now) = (view(), Instant::now());
    let all = || vec![target("a"), target("b")];
    view.set_targets(all(), now);
    assert!(view.set_leaving(&target("a"), now));
    assert!(!view.set_leaving(&target("a"), now));
    assert_eq!(state(&view, "a"), Some(TargetState::Draining));
    assert_eq!(state(&view, "b"), Some(TargetState::Ready));
    view.set_target(target("a"));
    assert_eq!(state(&view, "a"), Some(TargetState::Draining));
    view.set_targets(all(), now);
    assert_eq!(state(&view, "a"), Some(TargetState::Draining));
    view.apply_target_changes(TargetChanges::All(all()), now);
    assert_eq!(state(&view, "a"), Some(TargetState::Draining));
    view.remove_target("a", now);
    assert_eq!(state(&view, "a"), None);
    view.apply_target_changes(TargetChanges::All(all()), now);
    assert_eq!(state(&view, "a"), Some(TargetState::Draining));
}

/// Guards against a target that stays out of use after it has started again under its id, and against
/// a late answer of the earlier run that puts the new run out of use.
#[test]
fn target_that_starts_again_is_in_use_again() {
    let (view, now) = (view(), Instant::now());
    view.set_targets(vec![target("a")], now);
    view.set_leaving(&target("a"), now);
    view.set_target(Target { started_at_ms: 2, ..target("a") });
    assert_eq!(state(&view, "a"), Some(TargetState::Ready));
    assert!(!view.set_leaving(&target("a"), now));
    assert_eq!(state(&view, "a"), Some(TargetState::Ready));
}

/// Guards against memory that grows with each target that ever left, and against a mark that is
/// dropped while the target is listed.
#[test]
fn leaving_targets_are_forgotten_long_after_their_entries_are_gone() {
    let (view, now) = (view(), Instant::now());
    view.set_targets(vec![target("a"), target("b")], now);
    view.set_leaving(&target("a"), now);
    view.set_leaving(&target("b"), now);
    view.remove_target("a", now);
    let later = now + Duration::from_secs(700);
    view.set_leaving(&target("c"), later);
    view.set_targets(vec![target("a"), target("b")], later);
    assert_eq!(state(&view, "a"), Some(TargetState::Ready));
    assert_eq!(state(&view, "b"), Some(TargetState::Draining));
}

/// Pattern: thousands of targets, of which a few change at a time. Guards against readers that get
/// every target with each change, and against differences that miss one.
#[test]
fn readers_get_only_what_has_changed() {
    let (watcher, reader, now) = (view(), view(), Instant::now());
    let ids: Vec<String> = (0..3000).map(|index| format!("t{index}")).collect();
    watcher.set_targets(ids.iter().map(|id| target(id)).collect(), now);
    let mut known = watcher.target_changes(WithVersions);
    reader.apply_target_changes(watcher.all_targets(WithVersions), now);
    for round in 0..50 {
        let models = vec![("m".to_owned(), 2 + round)];
        watcher.set_target(Target { models, ..target(&ids[round as usize * 7]) });
        watcher.remove_target(&ids[round as usize * 11 + 1], now);
        if round % 3 == 0 {
            let changes = watcher.targets_since(known, WithVersions);
            let TargetChanges::Some { changed, removed } = &changes else {
                panic!("all targets were sent")
            };
            assert!(changed.len() + removed.len() <= 6, "{changed:?} {removed:?}");
            reader.apply_target_changes(changes, now);
            known = watcher.target_changes(WithVersions);
        }
    }
    reader.apply_target_changes(watcher.targets_since(known, WithVersions), now);
    assert_eq!(reader.all_targets(WithVersions), watcher.all_targets(WithVersions));
}

/// Guards against a reader that keeps targets whose removal its watcher has forgotten.
#[test]
fn reader_that_is_far_behind_gets_all_targets() {
    let (watcher, now) = (view(), Instant::now());
    watcher.set_targets(vec![target("kept"), target("gone")], now);
    let known = watcher.target_changes(WithVersions);
    watcher.remove_target("gone", now);
    for index in 0..2000 {
        watcher.set_target(target(&format!("t{index}")));
        watcher.remove_target(&format!("t{index}"), now);
    }
    assert_eq!(
        watcher.targets_since(known, WithVersions),
        TargetChanges::All(vec![target("kept")])
    );
    let TargetChanges::Some { changed, removed } =
        watcher.targets_since(watcher.target_changes(WithVersions), WithVersions)
    else {
        panic!("all targets were sent")
    };
    assert!(changed.is_empty() && removed.is_empty());
}

/// Pattern: thousands of engines load a new version every few seconds. Guards against nodes without
/// jobs that are told of each load, and against one that misses a change of state with it.
#[test]
fn nodes_without_jobs_are_not_told_of_versions() {
    let (watcher, reader, now) = (view(), view(), Instant::now());
    watcher.set_targets((0..50).map(|index| target(&format!("t{index}"))).collect(), now);
    reader.apply_target_changes(watcher.all_targets(Routing), now);
    let known = watcher.target_changes(Routing);
    for index in 0..50 {
        let models = vec![("m".to_owned(), 2)];
        watcher.set_target(Target { models, ..target(&format!("t{index}")) });
    }
    assert_eq!(watcher.target_changes(Routing), known);
    watcher.set_target(Target { state: TargetState::Draining, ..target("t7") });
    watcher.set_target(Target { started_at_ms: 2, ..target("t8") });
    watcher.remove_target("t9", now);
    let changes = watcher.targets_since(known, Routing);
    let TargetChanges::Some { changed, removed } = &changes else { panic!("{changes:?}") };
    assert_eq!((changed.len(), removed.len()), (2, 1));
    assert!(changed.iter().all(|target| target.models.is_empty()));
    reader.apply_target_changes(changes, now);
    assert_eq!(state(&reader, "t7"), Some(TargetState::Draining));
    assert_eq!(state(&reader, "t9"), None);
}

/// Guards against a node that gets a job and does not learn which engines can run it.
#[test]
fn versions_are_followed_for_a_while_after_a_job_needed_them() {
    let (view, now) = (view(), Instant::now());
    assert!(!view.needs_versions(now));
    view.need_versions(now);
    assert!(view.needs_versions(now + Duration::from_secs(9)));
    assert!(!view.needs_versions(now + Duration::from_secs(11)));
}
