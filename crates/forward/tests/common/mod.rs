//! Builders of targets, routes, requests and forwarders for tests with scripted targets.

#![allow(dead_code, reason = "not every test file uses every item")]

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_fleet::{
    CallerLimits, Configuration, FleetView, Observer, Route, RouteKind, ServiceConfig, Target,
    TargetState,
};
use deck_forward::{CrashGuard, ForwardOptions, ForwardRequest, Forwarder};
use deck_net::{
    Client,
    http::{HeaderMap, Method},
};
use deck_platform::PlatformWire;
use deck_route::{Router, RouterOptions};

/// Returns a ready target of `s`, which is the only service in these tests.
pub fn target(index: usize, address: SocketAddr) -> Target {
    Target {
        id: format!("t{index}"),
        service: "s".to_owned(),
        address,
        data_centre: "a".to_owned(),
        state: TargetState::Ready,
        software_version: None,
        slots: 8,
        models: Vec::new(),
        started_at_ms: 0,
        lifetime: Default::default(),
    }
}

/// Returns a forwarder that chooses among `targets`.
pub fn forwarder(targets: Vec<Target>, crashes: CrashGuard) -> Forwarder {
    forwarder_for(&fleet_view(targets), crashes)
}

/// Returns a view that knows `targets` and the service `s`.
pub fn fleet_view(targets: Vec<Target>) -> FleetView {
    let fleet_view = FleetView::new(Router::new(RouterOptions::default()));
    let service = ServiceConfig { name: "s".to_owned(), engine: None, scaling: None };
    fleet_view.set_configuration(Configuration::new(
        1,
        vec![],
        vec![service],
        CallerLimits::default(),
    ));
    fleet_view.set_targets(targets, Instant::now());
    fleet_view
}

/// Returns a forwarder that chooses among the targets of `fleet_view`.
pub fn forwarder_for(fleet_view: &FleetView, crashes: CrashGuard) -> Forwarder {
    forwarder_with_observer(fleet_view, crashes, Rc::new(()))
}

/// Like [`forwarder_for`], with an observer.
pub fn forwarder_with_observer(
    fleet_view: &FleetView,
    crashes: CrashGuard,
    observer: Rc<dyn Observer>,
) -> Forwarder {
    let options = ForwardOptions::default();
    Forwarder::new(
        fleet_view.clone(),
        Client::default(),
        Rc::new(PlatformWire),
        crashes,
        observer,
        options,
    )
}

/// Returns a route to the service `s` that allows a request to run on at most two targets.
pub fn route(kind: RouteKind) -> Route {
    Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        path_prefix: "/".to_owned(),
        kind,
        resumable: false,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        priority: 1,
        service_weights: vec![("s".to_owned(), 1)],
        max_attempts: 2,
        result_deadline: Duration::ZERO,
        item_deadline: Duration::ZERO,
        single_version: false,
        is_public: false,
    }
}

/// Returns a request whose deadline is `time_to_deadline` from now.
pub fn call(route: Route, body: &'static str, time_to_deadline: Duration) -> ForwardRequest {
    ForwardRequest {
        organisation: None,
        request_id: "r-1".to_owned(),
        method: Method::POST,
        uri: "/x".parse().expect("uri"),
        headers: HeaderMap::new(),
        body: body.into(),
        route: Rc::new(route),
        deadline: Instant::now() + time_to_deadline,
        last_event: None,
        resumes: None,
        max_stream_duration: time_to_deadline,
        is_owed: false,
    }
}
