//! Knowledge of a node around outages of the object API.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_fleet::{
    CallerLimits, Configuration, Engines, Route, RouteKind, Service, Target, TargetState, View,
};
use deck_route::{Router, RouterOptions};

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
    view.set_returned(now);
    view.set_targets(vec![target("a")], now);
    assert!(view.target("b").is_some());
    view.remove_missing(now + Duration::from_millis(1900));
    assert!(view.target("b").is_some());
    view.remove_missing(now + Duration::from_millis(2300));
    assert!(view.target("b").is_none() && view.target("a").is_some());
}

/// Guards against a target that comes back in time and is removed all the same.
#[test]
fn target_that_registers_again_stays() {
    let (view, now) = (view(), Instant::now());
    view.set_targets(vec![target("a")], now);
    view.set_returned(now);
    view.remove_target("a", now);
    view.set_target(target("a"));
    view.remove_missing(now + Duration::from_secs(9));
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
    engines.set_changing(&first, Some("m".to_owned()));
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
