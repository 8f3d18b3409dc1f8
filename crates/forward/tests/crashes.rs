//! Detection of requests that crash their targets.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{CancellationToken, error::ErrorKind};
use deck_fleet::{
    CrashRegistry, FleetFeed, FleetFeedOptions, FleetView, NodeCrashes, ObjectFollower,
    ObjectFollowerOptions, ObjectKinds, Route, RouteKind, Target,
};
use deck_forward::{
    CrashGuard, ForwardRequest, Forwarder,
    crashes::{encode_reports, receive_crashes},
};
use deck_limit::{
    CrashOptions,
    crash::{CrashCounts, FingerprintCrashes},
};
use deck_net::{Body, Client, bind, cbor, server::read_body};
use deck_platform::PlatformWire;
use deck_route::{Router, RouterOptions};
use deck_testkit::memory::MemoryObjects;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};
use test_case::test_case;

mod common;

/// Body that crashes each target that receives it.
const CRASHING_BODY: &str = "crash the target";
const TARGET_COUNT: usize = 8;

/// Targets that stop listening when they receive [`CRASHING_BODY`], and the bodies that they received.
struct CrashingTargets {
    targets: Vec<Target>,
    /// Bodies of all requests, including those that crashed a target.
    received: Rc<RefCell<Vec<String>>>,
}

impl CrashingTargets {
    fn start() -> Self {
        let received = Rc::new(RefCell::new(Vec::new()));
        let targets = (0..TARGET_COUNT).map(|index| {
            let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
            let address = listener.local_addr().expect("address");
            monoio::spawn(serve(listener, received.clone()));
            common::target(index, address)
        });
        Self { targets: targets.collect(), received }
    }

    /// Returns a forwarder for another node that uses the same targets.
    fn forwarder(&self, crashes: CrashGuard) -> Forwarder {
        common::forwarder(self.targets.clone(), crashes)
    }

    fn received_count(&self, body: &str) -> usize {
        self.received.borrow().iter().filter(|received| *received == body).count()
    }
}

/// Serves connections until a request crashes the target.
async fn serve(listener: TcpListener, received: Rc<RefCell<Vec<String>>>) {
    let crashed = CancellationToken::new();
    while let Some(Ok((stream, _))) = crashed.run_until_cancelled(listener.accept()).await {
        let (received, crashed) = (received.clone(), crashed.clone());
        monoio::spawn(async move {
            crashed.clone().run_until_cancelled(respond(stream, received, crashed)).await
        });
    }
}

/// Responds to the requests of one connection; [`CRASHING_BODY`] cancels `crashed`, which closes the
/// listener and all connections of the target.
async fn respond(
    mut stream: TcpStream,
    received: Rc<RefCell<Vec<String>>>,
    crashed: CancellationToken,
) {
    let mut buffer = String::new();
    loop {
        let (count, chunk) = stream.read(vec![0; 4096]).await;
        let Ok(1..) = count else { return };
        buffer.push_str(&String::from_utf8_lossy(&chunk[..count.expect("count")]));
        let Some((head, body)) = buffer.split_once("\r\n\r\n") else { continue };
        if body.is_empty() {
            continue;
        }
        received.borrow_mut().push(body.to_owned());
        if body == CRASHING_BODY {
            return crashed.cancel();
        }
        let id = head.lines().find_map(|line| line.strip_prefix("request-id: ")).expect("id");
        let response = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: s\r\ncontent-length: 2\r\n\r\nok"
        );
        let (written, _) = stream.write_all(response.into_bytes()).await;
        if written.is_err() {
            return;
        }
        buffer.clear();
    }
}

fn call(kind: RouteKind, body: &'static str) -> ForwardRequest {
    let (timeout, target_latency) = (Duration::from_secs(2), Duration::from_secs(1));
    let route = Route { timeout, target_latency, ..common::route(kind) };
    common::call(route, body, timeout)
}

fn crash_guard(vm: &str, registry: &CrashRegistry) -> CrashGuard {
    CrashGuard::new(vm.to_owned(), registry.clone(), CrashOptions::default())
}

/// Returns the feed of a node without other nodes.
fn feed_without_peers(objects: &MemoryObjects) -> FleetFeed {
    let kinds = ObjectKinds {
        configuration: "config",
        targets: "targets",
        versions: "versions",
        retirements: "retirements",
    };
    let fleet_view = FleetView::new(Router::new(RouterOptions::default()));
    let follow_options = ObjectFollowerOptions::default();
    let follower = ObjectFollower::new(
        objects.store(),
        fleet_view,
        Rc::new(PlatformWire),
        kinds,
        follow_options,
    );
    let own_address = SocketAddr::from(([127, 0, 0, 1], 1));
    FleetFeed::new(own_address, 1, Client::default(), follower, FleetFeedOptions::default())
}

/// Waits long enough for a node to detect a target crash and publish it.
async fn wait_for_crash_detection() {
    monoio::time::sleep(Duration::from_millis(400)).await;
}

/// A caller repeats a request that crashes each target that runs it, at different nodes. Guards
/// against a fleet that keeps running the request until all targets are down.
#[test_case(RouteKind::Idempotent)]
#[test_case(RouteKind::NonIdempotent)]
fn crashing_request_is_refused_on_all_nodes(kind: RouteKind) {
    let test = async move {
        let (fleet, objects, cancel) =
            (CrashingTargets::start(), MemoryObjects::default(), CancellationToken::new());
        let feed = feed_without_peers(&objects);
        let forwarders = ["a", "b", "c"].map(|vm| {
            let crashes = crash_guard(vm, feed.crashes());
            let (feed, client) = (feed.clone(), Client::default());
            monoio::spawn(crashes.clone().run_publisher(feed, client, cancel.clone()));
            fleet.forwarder(crashes)
        });
        let mut last_error = None;
        for round in 0..6 {
            last_error = forwarders[round % 3].forward(call(kind, CRASHING_BODY)).await.err();
            wait_for_crash_detection().await;
        }
        let error = last_error.expect("refused");
        assert_eq!(error.kind, ErrorKind::RequestSuspended, "{error:?}");
        assert!(error.retry_after.is_some_and(|wait| wait > Duration::from_secs(60)));
        let crashes = fleet.received_count(CRASHING_BODY);
        assert!((3..=4).contains(&crashes), "{crashes} crashes");
        for forwarder in &forwarders {
            assert!(forwarder.forward(call(kind, "harmless")).await.is_ok());
        }
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against refusing a request that is made on behalf of an accepted batch item, and against
/// attributing crashes to it. The protection against a plain request with the same content remains.
#[test]
fn owed_request_is_neither_refused_nor_held_responsible() {
    let test = async {
        let fleet = CrashingTargets::start();
        let forwarder = fleet.forwarder(crash_guard("a", &CrashRegistry::default()));
        let send = async |is_owed: bool| {
            let call = call(RouteKind::NonIdempotent, CRASHING_BODY);
            let error = forwarder.forward(ForwardRequest { is_owed, ..call }).await.err();
            wait_for_crash_detection().await;
            error.expect("no target answers").kind
        };
        for (is_owed, expected, received_count) in [
            (true, ErrorKind::TargetFailed, 1),
            (true, ErrorKind::TargetFailed, 2),
            (true, ErrorKind::TargetFailed, 3),
            (false, ErrorKind::TargetFailed, 4),
            (false, ErrorKind::TargetFailed, 5),
            (false, ErrorKind::TargetFailed, 6),
            (false, ErrorKind::RequestSuspended, 6),
            (true, ErrorKind::TargetFailed, 7),
        ] {
            assert_eq!(send(is_owed).await, expected, "owed: {is_owed}");
            assert_eq!(fleet.received_count(CRASHING_BODY), received_count, "owed: {is_owed}");
        }
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against refusing a harmless request because it was in flight on targets that another
/// request crashed.
#[test]
fn harmless_request_in_flight_during_a_crash_is_still_served() {
    let test = async {
        let fleet = CrashingTargets::start();
        let forwarder = fleet.forwarder(crash_guard("a", &CrashRegistry::default()));
        for _ in 0..3 {
            let crashing_call = forwarder.forward(call(RouteKind::NonIdempotent, CRASHING_BODY));
            let harmless = forwarder.forward(call(RouteKind::Idempotent, "harmless"));
            let (_, served) = futures_util::future::join(crashing_call, harmless).await;
            assert!(served.is_ok());
            wait_for_crash_detection().await;
        }
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against a node that counts the crashes which it published itself twice, and against a list of
/// crashes that an empty message does not clear.
#[test]
fn crash_message_replaces_the_earlier_one_of_its_node() {
    let registry = CrashRegistry::default();
    let counts = CrashCounts { ambiguous: 0, sole_suspect: 3 };
    let crash = FingerprintCrashes { fingerprint: u128::MAX, counts };
    let receive_published = |crashes: Vec<FingerprintCrashes>| {
        let mut message = Vec::new();
        let node = NodeCrashes { vm: "b".to_owned(), crashes };
        ciborium::into_writer(&node, &mut message).expect("encoded");
        receive_crashes(&registry, &message).expect("taken");
    };
    receive_published(vec![crash]);
    assert!(crash_guard("a", &registry).check_allowed(u128::MAX).is_err());
    assert!(crash_guard("b", &registry).check_allowed(u128::MAX).is_ok());
    receive_published(Vec::new());
    assert!(crash_guard("a", &registry).check_allowed(u128::MAX).is_ok());
    assert!(receive_crashes(&registry, b"not a message").is_err());
}

/// Guards against keeping the target crashes that a node observed forever after the node has stopped.
#[test]
fn crashes_published_by_a_stopped_node_expire() {
    let (retention, now) = (Duration::from_secs(10), Instant::now());
    let registry = CrashRegistry::new(retention);
    let counts = CrashCounts { ambiguous: 1, sole_suspect: 0 };
    let crashes = vec![FingerprintCrashes { fingerprint: 1, counts }];
    registry.set(NodeCrashes { vm: "b".to_owned(), crashes }, now);
    assert_eq!(registry.reports(now + retention / 2).len(), 1);
    assert!(registry.reports(now + retention * 2).is_empty());
}

/// Guards against a node that refuses a request for as long as it lives, because no message and no
/// poll of another node makes it look at the age of the reports.
#[test]
fn expired_crashes_of_another_node_refuse_no_request() {
    let retention = Duration::from_millis(100);
    let registry = CrashRegistry::new(retention);
    let guard = crash_guard("a", &registry);
    let counts = CrashCounts { ambiguous: 0, sole_suspect: 3 };
    let crashes = vec![FingerprintCrashes { fingerprint: 7, counts }];
    registry.set(NodeCrashes { vm: "b".to_owned(), crashes }, Instant::now());
    assert!(guard.check_allowed(7).is_err());
    std::thread::sleep(retention * 2);
    assert!(guard.check_allowed(7).is_ok());
}

/// Guards against a node that imports the shared crash registry only once and so admits a request that
/// other nodes have since observed to crash targets.
#[test]
fn crashes_published_later_by_other_nodes_are_applied() {
    let registry = CrashRegistry::default();
    let guard = crash_guard("a", &registry);
    assert!(guard.check_allowed(7).is_ok());
    let counts = CrashCounts { ambiguous: 0, sole_suspect: 3 };
    let crashes = vec![FingerprintCrashes { fingerprint: 7, counts }];
    registry.set(NodeCrashes { vm: "b".to_owned(), crashes }, Instant::now());
    assert!(guard.check_allowed(7).is_err());
}

/// Guards against a node that forgets at its restart which requests crashed targets, and that erases
/// what its earlier process had published with its first report.
#[test]
fn crashes_of_an_earlier_process_are_restored() {
    let test = async {
        let (objects, cancel) = (MemoryObjects::default(), CancellationToken::new());
        let counts = CrashCounts { ambiguous: 1, sole_suspect: 2 };
        let crashes = vec![FingerprintCrashes { fingerprint: 7, counts }];
        let known = CrashRegistry::default();
        known.set(NodeCrashes { vm: "a".to_owned(), crashes: crashes.clone() }, Instant::now());
        let other_counts = CrashCounts { ambiguous: 0, sole_suspect: 3 };
        let other = vec![FingerprintCrashes { fingerprint: 8, counts: other_counts }];
        known.set(NodeCrashes { vm: "b".to_owned(), crashes: other }, Instant::now());
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let other_node = listener.local_addr().expect("address");
        let (received, received_in_service) = (Rc::new(RefCell::new(Vec::new())), known.clone());
        let reports = received.clone();
        let serve = deck_net::serve(listener, Default::default(), cancel.clone(), move |request| {
            let (known, reports) = (received_in_service.clone(), reports.clone());
            async move {
                if *request.method() == http::Method::GET {
                    return http::Response::new(Body::full(
                        encode_reports(&known).expect("encoded"),
                    ));
                }
                let message = read_body(request.into_body(), 65536).await.expect("body");
                reports.borrow_mut().push(cbor::decode::<NodeCrashes>(&message).expect("report"));
                http::Response::new(Body::empty())
            }
        });
        monoio::spawn(serve);
        let feed = feed_without_peers(&objects);
        feed.set_ranked_nodes(vec![other_node]);
        let guard = crash_guard("a", feed.crashes());
        let publisher = guard.clone().run_publisher(feed, Client::default(), cancel.clone());
        monoio::spawn(publisher);
        deck_testkit::eventually("the crashes are restored", || {
            std::future::ready(guard.check_allowed(7).is_err() && guard.check_allowed(8).is_err())
        })
        .await;
        deck_testkit::eventually("the report names the crashes of the earlier process", || {
            let is_reported = received.borrow().iter().any(|report| report.crashes == crashes);
            std::future::ready(is_reported)
        })
        .await;
        assert!(received.borrow().iter().all(|report| !report.crashes.is_empty()));
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}
