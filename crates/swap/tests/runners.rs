//! Assignment of models to runner nodes in a large fleet, on loopback connections.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::CancellationToken;
use deck_fleet::{
    CallerLimits, Configuration, EngineConfig, EngineLoad, EngineRegistry, EngineUpdate, FleetFeed,
    FleetFeedOptions, FleetView, ObjectFollower, ObjectFollowerOptions, ObjectKinds, ServiceConfig,
    Target, TargetState,
};
use deck_net::{
    Body, Client, ServerOptions, bind,
    http::Response,
    server::{close_without_response, empty_response, read_body},
};
use deck_platform::PlatformWire;
use deck_route::{Router, RouterOptions};
use deck_swap::{
    RunnerManager, RunnerManagerDependencies, WeightUpdater, WeightUpdaterOptions,
    runners::{
        LEADER_UPDATE_PATH, MAX_MESSAGE_BYTES, handle_leader_update, handle_runner_table,
        models_per_node,
    },
};
use deck_testkit::{eventually, memory::MemoryObjects};
use http::StatusCode;

const KINDS: ObjectKinds = ObjectKinds {
    configuration: "config",
    targets: "targets",
    versions: "versions",
    retirements: "retirements",
};

/// One node of the test fleet; the first one is the leader.
struct Node {
    address: SocketAddr,
    view: FleetView,
    engines: EngineRegistry,
    feed: FleetFeed,
    unresponsive: Rc<Cell<bool>>,
    draining: Rc<Cell<bool>>,
    jobs: Rc<RefCell<Vec<String>>>,
}

fn engine(index: usize) -> Target {
    Target {
        id: format!("e{index}"),
        service: "s".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "a".to_owned(),
        state: TargetState::Ready,
        software_version: None,
        slots: 300,
        models: vec![("m0".to_owned(), 1), ("m1".to_owned(), 1)],
        started_at_ms: 1,
        lifetime: Default::default(),
    }
}

fn node(cancel: &CancellationToken) -> Node {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    let address = listener.local_addr().expect("address");
    let view = FleetView::new(Router::new(RouterOptions::default()));
    let models = vec!["m0".to_owned(), "m1".to_owned()];
    let engine_config = EngineConfig { slots: 6, tokens_per_event: 1, models };
    let service =
        ServiceConfig { name: "s".to_owned(), engine: Some(engine_config), scaling: None };
    view.set_configuration(Configuration::new(1, vec![], vec![service], CallerLimits::default()));
    view.set_targets((0..4).map(engine).collect(), Instant::now());
    let store = MemoryObjects::default().store();
    let options = ObjectFollowerOptions::default();
    let follower = ObjectFollower::new(store, view.clone(), Rc::new(PlatformWire), KINDS, options);
    let options = FleetFeedOptions {
        max_small_fleet_nodes: 1,
        watcher_count: 1,
        ..FleetFeedOptions::default()
    };
    let feed = FleetFeed::new(address, 1, Client::default(), follower, options);
    let node = Node {
        address,
        view,
        engines: EngineRegistry::default(),
        feed,
        unresponsive: Rc::default(),
        draining: Rc::default(),
        jobs: Rc::default(),
    };
    let (view, engines, feed) = (node.view.clone(), node.engines.clone(), node.feed.clone());
    let (unresponsive, draining) = (node.unresponsive.clone(), node.draining.clone());
    let jobs = node.jobs.clone();
    let serve = move |request: http::Request<hyper::body::Incoming>| {
        let (view, engines, feed) = (view.clone(), engines.clone(), feed.clone());
        let (unresponsive, draining, jobs) =
            (unresponsive.get(), draining.get(), jobs.borrow().clone());
        async move {
            if unresponsive {
                return close_without_response();
            }
            let is_leader_update = request.uri().path() == LEADER_UPDATE_PATH;
            let message = read_body(request.into_body(), MAX_MESSAGE_BYTES).await.expect("message");
            if !is_leader_update {
                handle_runner_table(&feed, &message).expect("runner table");
                return empty_response(StatusCode::OK);
            }
            let reply = handle_leader_update(&engines, &view, jobs, draining, &message)
                .expect("leader update");
            Response::new(Body::full(reply))
        }
    };
    monoio::spawn(deck_net::serve(listener, ServerOptions::default(), cancel.clone(), serve));
    node
}

/// A fleet whose first node is the leader, with the jobs reported to it by the runners.
struct Fleet {
    nodes: Vec<Node>,
    reported_jobs: Rc<RefCell<Vec<(SocketAddr, String)>>>,
    cancel: CancellationToken,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

fn start(count: usize) -> Fleet {
    let cancel = CancellationToken::new();
    let nodes: Vec<Node> = (0..count).map(|_| node(&cancel)).collect();
    let ranked: Vec<SocketAddr> = nodes.iter().map(|node| node.address).collect();
    for node in &nodes {
        node.feed.set_ranked_nodes(ranked.clone());
    }
    let leader = &nodes[0];
    let (client, reported_jobs): (_, Rc<RefCell<Vec<_>>>) = (Client::default(), Rc::default());
    let weight_updater = WeightUpdater::new(
        "leader".to_owned(),
        leader.view.clone(),
        leader.engines.clone(),
        client.clone(),
        Rc::new(PlatformWire),
        Rc::new(()),
        WeightUpdaterOptions::default(),
    );
    let recorded_jobs = reported_jobs.clone();
    let deps = RunnerManagerDependencies {
        view: leader.view.clone(),
        engines: leader.engines.clone(),
        feed: leader.feed.clone(),
        weight_updater,
        client,
        on_runner_jobs: Rc::new(move |node, jobs: Vec<String>| {
            recorded_jobs.borrow_mut().extend(jobs.into_iter().map(|job| (node, job)));
        }),
    };
    let (runners, token) = (RunnerManager::new(deps, 7), cancel.clone());
    monoio::spawn(async move { runners.run(token).await });
    Fleet { nodes, reported_jobs, cancel }
}

impl Fleet {
    fn runner_of(&self, model: &str) -> Option<&Node> {
        let address = self.nodes[0].feed.runner_of(model)?;
        self.nodes.iter().find(|node| node.address == address)
    }

    async fn wait_until_runners_chosen(&self) {
        eventually("both models have a runner", async || {
            ["m0", "m1"].iter().all(|model| self.runner_of(model).is_some())
        })
        .await;
    }
}

fn run<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

/// The engines have more slots than one node handles. The leader must not run the jobs itself, and
/// the models must not share a node.
#[test]
fn models_with_many_runs_get_separate_runners() {
    run(async {
        let fleet = start(4);
        fleet.wait_until_runners_chosen().await;
        let runners = ["m0", "m1"].map(|model| fleet.runner_of(model).expect("runner").address);
        assert_ne!(runners[0], runners[1]);
        assert!(!runners.contains(&fleet.nodes[0].address));
    });
}

/// As the number of engines grows tenfold, models must move to separate nodes, but not as long as
/// one node can handle all runs.
#[test]
fn models_share_a_node_within_its_capacity() {
    assert_eq!(models_per_node(0, 8), 8);
    assert_eq!(models_per_node(77 * 6, 8), 8);
    assert_eq!(models_per_node(250 * 6, 8), 3);
    assert_eq!(models_per_node(750 * 6, 8), 1);
    assert_eq!(models_per_node(100_000, 8), 1);
}

/// Loading weights takes a second, and the target list shows the new version only seconds later.
/// The runner must not send items to an engine that is loading, must use an engine once it has
/// loaded, and the leader must know the load of the engines.
#[test]
fn leader_and_runner_exchange_state_immediately() {
    run(async {
        let fleet = start(4);
        fleet.wait_until_runners_chosen().await;
        let (leader, runner) = (&fleet.nodes[0], fleet.runner_of("m0").expect("runner"));
        let now = Instant::now();
        leader.engines.set_loading_model(&engine(0), Some("m0".to_owned()));
        eventually("the runner knows of the load in progress", async || {
            !runner.engines.is_usable(&engine(0), "m0", Instant::now())
        })
        .await;
        leader.engines.set_version(&engine(0), "m0", 2);
        leader.engines.set_loading_model(&engine(0), None);
        eventually("the runner knows the version", async || {
            runner.engines.is_usable(&engine(0), "m0", Instant::now())
                && runner.engines.version(&engine(0), "m0") == Some(2)
        })
        .await;
        let _guard = runner.engines.start_run(&engine(1));
        runner.jobs.borrow_mut().push("job".to_owned());
        eventually("the leader knows engine load and jobs", async || {
            leader.engines.total_load(&engine(1), now).active_runs == 1
                && fleet.reported_jobs.borrow().contains(&(runner.address, "job".to_owned()))
        })
        .await;
    });
}

/// New jobs must not go to a node that is unreachable or shutting down, but a single missing reply
/// must not replace the runner.
#[test]
fn unresponsive_or_stopping_runner_is_replaced() {
    run(async {
        let fleet = start(5);
        fleet.wait_until_runners_chosen().await;
        let first = fleet.runner_of("m0").expect("runner");
        first.unresponsive.set(true);
        monoio::time::sleep(Duration::from_millis(300)).await;
        first.unresponsive.set(false);
        monoio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(fleet.runner_of("m0").expect("runner").address, first.address);
        first.unresponsive.set(true);
        eventually("another node runs the model", async || {
            fleet.runner_of("m0").is_some_and(|runner| runner.address != first.address)
        })
        .await;
        let second = fleet.runner_of("m1").expect("runner");
        second.draining.set(true);
        eventually("a node that stops is replaced", async || {
            fleet.runner_of("m1").is_some_and(|runner| runner.address != second.address)
        })
        .await;
    });
}

/// Engines must not remain unusable on a node that no longer receives updates from the leader.
#[test]
fn engine_state_from_a_lost_leader_expires() {
    let (node, engines) =
        (FleetView::new(Router::new(RouterOptions::default())), EngineRegistry::default());
    node.set_targets(vec![engine(0), engine(1)], Instant::now());
    let (leader, now) = (EngineRegistry::default(), Instant::now());
    leader.set_loading_model(&engine(0), Some("m0".to_owned()));
    let update = leader.engine_update(&engine(0), "m0", true).expect("engine update");
    engines.apply_updates(&node, "m0", &[update], now);
    assert!(
        !engines.is_usable(&engine(0), "m0", now) && engines.is_assigned_to_other_model("e1", "m0")
    );
    engines.expire_leader_updates(now + Duration::from_secs(1));
    assert!(!engines.is_usable(&engine(0), "m0", now));
    engines.expire_leader_updates(now + Duration::from_secs(2));
    assert!(
        engines.is_usable(&engine(0), "m0", now) && !engines.is_assigned_to_other_model("e1", "m0")
    );
}

/// Load reported by another node must not be counted twice, nor remain after the node was removed.
#[test]
fn loads_of_another_node_are_replaced_together() {
    let (engines, now) = (EngineRegistry::default(), Instant::now());
    let _own = engines.start_run(&engine(0));
    let node = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let engine_load = |active_runs, best_event_ms| EngineLoad {
        target: "e0".to_owned(),
        active_runs,
        best_event_ms,
        recent_event_ms: None,
        speed: None,
    };
    engines.set_remote_loads(node(1), vec![engine_load(3, Some(40.0))], now);
    engines.set_remote_loads(node(1), vec![engine_load(2, Some(50.0))], now);
    engines.set_remote_loads(node(2), vec![engine_load(1, None)], now);
    let total = engines.total_load(&engine(0), now);
    assert_eq!((total.active_runs, total.best_event_ms), (4, Some(50.0)));
    engines.set_remote_loads(node(1), Vec::new(), now);
    assert_eq!(engines.total_load(&engine(0), now).active_runs, 2);
}

/// A runner that stops reports its runs with its last reply, and a former leader that leads again has
/// the reports of its earlier time. Runs that ended long ago must not occupy the engines.
#[test]
fn loads_of_a_node_that_reports_no_more_expire() {
    let (engines, now) = (EngineRegistry::default(), Instant::now());
    let load = EngineLoad {
        target: "e0".to_owned(),
        active_runs: 3,
        best_event_ms: Some(40.0),
        recent_event_ms: Some(50.0),
        speed: None,
    };
    engines.set_remote_loads(SocketAddr::from(([127, 0, 0, 1], 1)), vec![load], now);
    let total_after = |wait| engines.total_load(&engine(0), now + wait);
    assert_eq!(total_after(Duration::from_secs(2)).active_runs, 3);
    let later = total_after(Duration::from_secs(3));
    assert_eq!((later.active_runs, later.best_event_ms, later.recent_event_ms), (0, None, None));
}

/// Message of a leader, as it is encoded.
#[derive(serde::Serialize)]
struct LeaderMessage {
    model: &'static str,
    fencing: u64,
    news: Vec<EngineUpdate>,
    known_jobs: usize,
}

/// A former leader that was suspended still sends its messages for a moment after it wakes. They must
/// not replace what the present leader has told.
#[test]
fn update_of_a_former_leader_is_refused_beside_that_of_the_present_one() {
    let (view, engines) =
        (FleetView::new(Router::new(RouterOptions::default())), EngineRegistry::default());
    view.set_targets(vec![engine(0)], Instant::now());
    let update = |fencing: u64, version: u64| {
        let leader = EngineRegistry::default();
        leader.set_version(&engine(0), "m0", version);
        let update = leader.engine_update(&engine(0), "m0", true).expect("engine update");
        let message = LeaderMessage { model: "m0", fencing, news: vec![update], known_jobs: 0 };
        let message = deck_net::cbor::encode(&message).expect("encoded");
        handle_leader_update(&engines, &view, Vec::new(), false, &message)
    };
    assert!(update(8, 3).is_ok());
    assert!(update(7, 2).is_err());
    assert_eq!(engines.version(&engine(0), "m0"), Some(3));
    assert!(update(8, 4).is_ok());
    assert_eq!(engines.version(&engine(0), "m0"), Some(4));
    // A fencing number that starts again blocks a runner for a moment only.
    assert!(engines.accept_leader(1, Instant::now() + Duration::from_secs(2)));
}
