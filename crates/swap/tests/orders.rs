//! Planning of load orders on a leader that holds a lease in an in-memory object API.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::CancellationToken;
use deck_fleet::{
    CallerLimits, Configuration, EngineConfig, EngineRegistry, FleetView, ServiceConfig, Target,
    TargetState,
};
use deck_net::{
    Body, Client, bind,
    http::{Method, Response},
};
use deck_plat::{AcquireResult, HeldLease, LeaseCandidate, LeaseOptions};
use deck_platform::PlatformWire;
use deck_route::{Router, RouterOptions};
use deck_swap::{WeightUpdater, WeightUpdaterOptions};
use deck_testkit::{eventually, memory::MemoryObjects};

/// Returns the view of a deployment with one model, without targets.
fn view() -> FleetView {
    let view = FleetView::new(Router::new(RouterOptions::default()));
    let engine = EngineConfig { slots: 8, tokens_per_event: 1, models: vec!["m".to_owned()] };
    let service = ServiceConfig { name: "s".to_owned(), engine: Some(engine), scaling: None };
    view.set_configuration(Configuration::new(1, vec![], vec![service], CallerLimits::default()));
    view
}

fn weight_updater(view: &FleetView) -> WeightUpdater {
    WeightUpdater::new(
        "vm-1".to_owned(),
        view.clone(),
        EngineRegistry::default(),
        Client::default(),
        Rc::new(PlatformWire),
        Rc::new(()),
        WeightUpdaterOptions::default(),
    )
}

async fn acquire_lease(duration: Duration) -> HeldLease {
    let store = MemoryObjects::default().store();
    let options = LeaseOptions { duration, ..LeaseOptions::default() };
    let address = "127.0.0.1:1";
    let candidate = LeaseCandidate::new(store, "leader", "vm-1".to_owned(), address, options);
    match candidate.try_acquire().await {
        AcquireResult::Held(held) => held,
        _ => panic!("the lease is free"),
    }
}

/// The leader of a large fleet runs no jobs and receives the targets from a watcher, which sends
/// weight versions only to nodes that request them. A leader that does not request them would never send a load
/// order.
#[test]
fn leader_without_jobs_requests_weight_versions() {
    let test = async {
        let (cancel, view) = (CancellationToken::new(), view());
        let weight_updater = weight_updater(&view);
        let held = acquire_lease(Duration::from_secs(60)).await;
        assert!(!view.needs_versions(Instant::now()));
        let (token, stop) = (held.token(), cancel.clone());
        monoio::spawn(async move { weight_updater.run(token, Instant::now(), stop).await });
        eventually("versions are needed", async || view.needs_versions(Instant::now())).await;
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Returns the entry of an engine with an old version.
fn engine(id: &str, address: SocketAddr) -> Target {
    Target {
        id: id.to_owned(),
        service: "s".to_owned(),
        address,
        data_centre: "a".to_owned(),
        state: TargetState::Ready,
        slots: 8,
        software_version: None,
        models: vec![("m".to_owned(), 1)],
        started_at_ms: 1,
        lifetime: Default::default(),
    }
}

/// Lists an engine with an old version in `view`.
fn list_engine(view: &FleetView, address: SocketAddr) {
    view.set_targets(vec![engine("e0", address)], Instant::now());
}

/// Starts an engine with an old version that has seen a later fencing number, and lists it in `view`.
/// Returns the number of orders that it has refused.
fn start_engine(view: &FleetView, cancel: &CancellationToken) -> Rc<Cell<usize>> {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    list_engine(view, listener.local_addr().expect("address"));
    let orders = Rc::new(Cell::new(0));
    let received = orders.clone();
    let serve = move |request: http::Request<hyper::body::Incoming>| {
        let is_order = *request.method() == Method::POST;
        received.set(received.get() + usize::from(is_order));
        let (status, body) = match is_order {
            true => (412, ""),
            false => (200, r#"{"Models": [{"Name": "m", "Version": 1}], "Busy": false, "Seq": 0}"#),
        };
        let response = Response::builder().status(status).body(Body::full(body));
        async move { response.expect("response") }
    };
    monoio::spawn(deck_net::serve(listener, Default::default(), cancel.clone(), serve));
    orders
}

/// A leader that was suspended believes in its lease when it wakes. Once an engine shows it a later
/// fencing number, it must send no further order, which an engine that checks none would carry out.
#[test]
fn leader_sends_no_order_after_a_refusal_for_its_fencing_number() {
    let test = async {
        let (cancel, view) = (CancellationToken::new(), view());
        let orders = start_engine(&view, &cancel);
        view.set_published_version("m".to_owned(), 2);
        let held = acquire_lease(Duration::from_secs(600)).await;
        let (updater, token, stop) = (weight_updater(&view), held.token(), cancel.clone());
        monoio::spawn(async move { updater.run(token, Instant::now(), stop).await });
        eventually("the lease is given up", async || !held.token().is_valid()).await;
        view.set_published_version("m".to_owned(), 3);
        monoio::time::sleep(WeightUpdaterOptions::default().max_plan_interval * 2).await;
        assert_eq!(orders.get(), 1);
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// A leader whose renewals do not arrive must stop before another node may take the lease over.
#[test]
fn leader_sends_no_order_after_two_thirds_of_a_lease_without_renewal() {
    let test = async {
        let (cancel, view) = (CancellationToken::new(), view());
        let orders = start_engine(&view, &cancel);
        let duration = Duration::from_millis(600);
        let held = acquire_lease(duration).await;
        let (updater, token, stop) = (weight_updater(&view), held.token(), cancel.clone());
        monoio::spawn(async move { updater.run(token, Instant::now(), stop).await });
        monoio::time::sleep(duration * 2 / 3).await;
        view.set_published_version("m".to_owned(), 2);
        monoio::time::sleep(WeightUpdaterOptions::default().max_plan_interval * 2).await;
        assert_eq!(orders.get(), 0);
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Another leader has ordered an engine to load weights since this one did. The count of orders that
/// this leader remembers is refused, and it must read the present one instead of repeating its own.
#[test]
fn leader_reads_the_number_of_orders_again_after_a_refusal() {
    let test = async {
        let (cancel, view) = (CancellationToken::new(), view());
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        list_engine(&view, listener.local_addr().expect("address"));
        let accepted_orders = Rc::new(Cell::new(0_u64));
        let engine_orders = accepted_orders.clone();
        let serve = move |request: http::Request<hyper::body::Incoming>| {
            let accepted_orders = engine_orders.clone();
            async move {
                let is_order = *request.method() == Method::POST;
                let body = deck_net::server::read_body(request.into_body(), 1024).await;
                let known = accepted_orders.get();
                let report = format!(
                    r#"{{"Models": [{{"Name": "m", "Version": 1}}], "Busy": false, "Seq": {known}}}"#
                );
                let body = String::from_utf8_lossy(&body.expect("body")).into_owned();
                let status = match is_order {
                    false => 200,
                    true if body.contains(&format!(r#""Expect":{known}"#)) => 202,
                    true => 409,
                };
                if status == 202 {
                    accepted_orders.set(known + 1);
                }
                Response::builder().status(status).body(Body::full(report)).expect("response")
            }
        };
        monoio::spawn(deck_net::serve(listener, Default::default(), cancel.clone(), serve));
        view.set_published_version("m".to_owned(), 2);
        let held = acquire_lease(Duration::from_secs(600)).await;
        let (updater, token, stop) = (weight_updater(&view), held.token(), cancel.clone());
        monoio::spawn(async move { updater.run(token, Instant::now(), stop).await });
        eventually("an order is accepted", async || accepted_orders.get() == 1).await;
        accepted_orders.set(7);
        eventually("a later order is accepted", async || accepted_orders.get() == 8).await;
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Engine that loads a version at once, or whose answers do not end.
fn start_loading_engine(
    loaded: Rc<Cell<u64>>,
    is_endless: bool,
    cancel: &CancellationToken,
) -> SocketAddr {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    let address = listener.local_addr().expect("address");
    let orders = Rc::new(Cell::new(0_u64));
    let serve = move |request: http::Request<hyper::body::Incoming>| {
        let (loaded, orders) = (loaded.clone(), orders.clone());
        async move {
            if is_endless {
                let (sender, body) = Body::stream();
                monoio::spawn(async move {
                    while sender.send("0123456789abcdef").await.is_ok() {
                        monoio::time::sleep(Duration::from_millis(10)).await;
                    }
                });
                return Response::new(body);
            }
            if *request.method() == Method::POST {
                let body = deck_net::server::read_body(request.into_body(), 1 << 16).await;
                let body: serde_json::Value =
                    serde_json::from_slice(&body.expect("body")).expect("json");
                loaded.set(body["Version"].as_u64().expect("a version"));
                orders.set(orders.get() + 1);
                return Response::builder().status(202).body(Body::empty()).expect("response");
            }
            let (version, orders) = (loaded.get(), orders.get());
            Response::new(Body::full(format!(
                r#"{{"Models": [{{"Name": "m", "Version": {version}}}], "Busy": false, "Seq": {orders}}}"#
            )))
        }
    };
    monoio::spawn(deck_net::serve(listener, Default::default(), cancel.clone(), serve));
    address
}

/// Guards against one engine whose answers do not end and that is ordered first in each round, so that
/// the other engines get no new version.
#[test]
fn engine_whose_answers_do_not_end_does_not_stop_the_loads_of_others() {
    let test = async {
        let (cancel, view) = (CancellationToken::new(), view());
        let loaded: Vec<Rc<Cell<u64>>> = (0..4).map(|_| Rc::new(Cell::new(1))).collect();
        let targets = loaded.iter().enumerate().map(|(index, loaded)| {
            let address = start_loading_engine(loaded.clone(), index == 0, &cancel);
            engine(&format!("e{index}"), address)
        });
        view.set_targets(targets.collect(), Instant::now());
        let held = acquire_lease(Duration::from_secs(60)).await;
        let (token, stop, weight_updater) = (held.token(), cancel.clone(), weight_updater(&view));
        monoio::spawn(async move { weight_updater.run(token, Instant::now(), stop).await });
        for version in 2..6 {
            view.set_published_version("m".to_owned(), version);
            let published_at = Instant::now();
            let is_loaded = || loaded[1..].iter().all(|loaded| loaded.get() == version);
            // Three loads, one after the other, of 0.9 s each until their reports are read, and one
            // call to the engine in trouble.
            while !is_loaded() && published_at.elapsed() < Duration::from_secs(5) {
                monoio::time::sleep(Duration::from_millis(20)).await;
            }
            let versions: Vec<u64> = loaded.iter().map(|loaded| loaded.get()).collect();
            assert!(is_loaded(), "version {version}: {versions:?}");
        }
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}
