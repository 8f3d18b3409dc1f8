//! Requests that crash the targets that run them.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{CancellationToken, error::ErrorKind};
use deck_fleet::{
    CrashBoard, Feed, FeedOptions, FollowOptions, Follower, Kinds, NodeCrashes, Route, RouteKind,
    Target, View,
};
use deck_forward::{Call, CrashGuard, Forwarder, crashes::take_crashes};
use deck_limit::{
    CrashOptions,
    crash::{CrashCounts, PublishedCrash},
};
use deck_net::{Client, bind};
use deck_platform::Wire;
use deck_route::{Router, RouterOptions};
use deck_testkit::memory::MemoryObjects;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};
use test_case::test_case;

mod common;

const POISON: &str = "poison";
const TARGETS: usize = 8;

/// Targets that end when they run the poison, and the bodies that they received.
struct World {
    targets: Vec<Target>,
    received: Rc<RefCell<Vec<String>>>,
}

impl World {
    fn start() -> Self {
        let received = Rc::new(RefCell::new(Vec::new()));
        let targets = (0..TARGETS).map(|index| {
            let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
            let address = listener.local_addr().expect("address");
            monoio::spawn(serve(listener, received.clone()));
            common::target(index, address)
        });
        Self { targets: targets.collect(), received }
    }

    /// Returns a forwarder of another node.
    fn forwarder(&self, crashes: CrashGuard) -> Forwarder {
        common::forwarder(self.targets.clone(), crashes)
    }

    fn received(&self, body: &str) -> usize {
        self.received.borrow().iter().filter(|received| *received == body).count()
    }
}

async fn serve(listener: TcpListener, received: Rc<RefCell<Vec<String>>>) {
    let crashed = CancellationToken::new();
    while let Some(Ok((stream, _))) = crashed.run_until_cancelled(listener.accept()).await {
        let (received, crashed) = (received.clone(), crashed.clone());
        monoio::spawn(async move {
            crashed.clone().run_until_cancelled(answer(stream, received, crashed)).await
        });
    }
}

async fn answer(
    mut stream: TcpStream,
    received: Rc<RefCell<Vec<String>>>,
    crashed: CancellationToken,
) {
    let mut text = String::new();
    loop {
        let (count, piece) = stream.read(vec![0; 4096]).await;
        let Ok(1..) = count else { return };
        text.push_str(&String::from_utf8_lossy(&piece[..count.expect("count")]));
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        if body.is_empty() {
            continue;
        }
        received.borrow_mut().push(body.to_owned());
        if body == POISON {
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
        text.clear();
    }
}

fn call(kind: RouteKind, body: &'static str) -> Call {
    let (timeout, target_latency) = (Duration::from_secs(2), Duration::from_secs(1));
    let route = Route { timeout, target_latency, ..common::route(kind) };
    common::call(route, body, timeout)
}

fn guard(vm: &str, board: &CrashBoard) -> CrashGuard {
    CrashGuard::new(vm.to_owned(), board.clone(), CrashOptions::default())
}

/// Returns a feed of a node that knows no other nodes.
fn lone_feed(board_of: &MemoryObjects) -> Feed {
    let kinds = Kinds {
        configuration: "config",
        targets: "targets",
        versions: "versions",
        retirements: "retirements",
    };
    let view = View::new(Router::new(RouterOptions::default()));
    let follow_options = FollowOptions::default();
    let follower = Follower::new(board_of.store(), view, Rc::new(Wire), kinds, follow_options);
    let own = SocketAddr::from(([127, 0, 0, 1], 1));
    Feed::new(own, 1, Client::default(), follower, FeedOptions::default())
}

/// Time for a node to find out that a target has crashed.
async fn settle() {
    monoio::time::sleep(Duration::from_millis(400)).await;
}

/// Pattern: a caller sends a request that crashes each target that runs it again and again, at
/// different nodes. Guards against a fleet that goes on running it.
#[test_case(RouteKind::Idempotent)]
#[test_case(RouteKind::NonIdempotent)]
fn request_that_crashes_targets_is_stopped_on_all_nodes(kind: RouteKind) {
    let test = async move {
        let (world, objects, cancel) =
            (World::start(), MemoryObjects::default(), CancellationToken::new());
        let feed = lone_feed(&objects);
        let forwarders = ["a", "b", "c"].map(|vm| {
            let crashes = guard(vm, feed.crashes());
            let (feed, client) = (feed.clone(), Client::default());
            monoio::spawn(crashes.clone().keep_telling(feed, client, cancel.clone()));
            world.forwarder(crashes)
        });
        let mut last = None;
        for attempt in 0..6 {
            last = forwarders[attempt % 3].forward(call(kind, POISON)).await.err();
            settle().await;
        }
        let error = last.expect("refused");
        assert_eq!(error.kind, ErrorKind::RequestSuspended, "{error:?}");
        assert!(error.retry_after.is_some_and(|wait| wait > Duration::from_secs(60)));
        let crashes = world.received(POISON);
        assert!((3..=4).contains(&crashes), "{crashes} crashes");
        for forwarder in &forwarders {
            assert!(forwarder.forward(call(kind, "fine")).await.is_ok());
        }
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against a harmless request that is refused because it ran beside one that crashes
/// targets.
#[test]
fn request_that_ran_beside_a_crash_is_served_again() {
    let test = async {
        let world = World::start();
        let forwarder = world.forwarder(guard("a", &CrashBoard::default()));
        for _ in 0..3 {
            let poison = forwarder.forward(call(RouteKind::NonIdempotent, POISON));
            let fine = forwarder.forward(call(RouteKind::Idempotent, "fine"));
            let (_, served) = futures_util::future::join(poison, fine).await;
            assert!(served.is_ok());
            settle().await;
        }
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against a node that takes another one's message for its own crashes, and against a list
/// that is never cleared.
#[test]
fn message_of_a_node_replaces_its_earlier_one() {
    let board = CrashBoard::default();
    let counts = CrashCounts { in_company: 0, alone: 3 };
    let crash = PublishedCrash { fingerprint: u128::MAX, counts };
    let tell = |crashes: Vec<PublishedCrash>| {
        let mut message = Vec::new();
        let node = NodeCrashes { vm: "b".to_owned(), crashes };
        ciborium::into_writer(&node, &mut message).expect("encoded");
        take_crashes(&board, &message).expect("taken");
    };
    tell(vec![crash]);
    assert!(guard("a", &board).check(u128::MAX).is_err());
    assert!(guard("b", &board).check(u128::MAX).is_ok());
    tell(Vec::new());
    assert!(guard("a", &board).check(u128::MAX).is_ok());
    assert!(take_crashes(&board, b"not a message").is_err());
}

/// Guards against crashes that are remembered for ever after their node is gone.
#[test]
fn crashes_of_a_node_that_is_gone_are_dropped() {
    let (keep, now) = (Duration::from_secs(10), Instant::now());
    let board = CrashBoard::new(keep);
    let counts = CrashCounts { in_company: 1, alone: 0 };
    let crashes = vec![PublishedCrash { fingerprint: 1, counts }];
    board.set(NodeCrashes { vm: "b".to_owned(), crashes }, now);
    assert_eq!(board.nodes(now + keep / 2).len(), 1);
    assert!(board.nodes(now + keep * 2).is_empty());
}

/// Guards against a guard that goes on with what it knew when it first looked at the board.
#[test]
fn later_news_reach_a_guard() {
    let board = CrashBoard::default();
    let guard = guard("a", &board);
    assert!(guard.check(7).is_ok());
    let counts = CrashCounts { in_company: 0, alone: 3 };
    let crashes = vec![PublishedCrash { fingerprint: 7, counts }];
    board.set(NodeCrashes { vm: "b".to_owned(), crashes }, Instant::now());
    assert!(guard.check(7).is_err());
}
