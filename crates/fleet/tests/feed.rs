//! Knowledge that watchers pass on to the other nodes of a large fleet.

use std::{
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::CancellationToken;
use deck_fleet::{
    Feed, FeedOptions, FollowOptions, Follower, Kinds, Leader, NodeCrashes, TargetContent, View,
    feed::FEED_PATH,
};
use deck_limit::crash::{CrashCounts, PublishedCrash};
use deck_net::{CallLimits, Client, ServerOptions, bind};
use deck_route::{Router, RouterOptions};
use deck_testkit::{
    eventually,
    memory::{Fault, MemoryObjects},
    raw::RawServer,
};

mod common;

use common::Plain;

const KINDS: Kinds = Kinds {
    configuration: "config",
    targets: "targets",
    versions: "versions",
    retirements: "retirements",
};

struct Node {
    address: SocketAddr,
    view: View,
    feed: Feed,
}

fn options() -> FeedOptions {
    FeedOptions { max_small_fleet_nodes: 1, watcher_count: 1, ..FeedOptions::default() }
}

/// Starts a node with its own way to the object API.
fn start(objects: &MemoryObjects, cancel: &CancellationToken) -> Node {
    start_with(objects, cancel, options())
}

fn start_with(objects: &MemoryObjects, cancel: &CancellationToken, options: FeedOptions) -> Node {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    let address = listener.local_addr().expect("address");
    let view = View::new(Router::new(RouterOptions::default()));
    let protocol = Rc::new(Plain);
    let options_of_follower = FollowOptions::default();
    let follower =
        Follower::new(objects.store(), view.clone(), protocol, KINDS, options_of_follower);
    let feed = Feed::new(address, u64::from(address.port()), Client::default(), follower, options);
    let served = feed.clone();
    monoio::spawn(deck_net::serve(
        listener,
        ServerOptions::default(),
        cancel.clone(),
        move |request| {
            let feed = served.clone();
            async move {
                assert_eq!(request.uri().path(), FEED_PATH);
                feed.serve(request.uri().query().unwrap_or_default()).await
            }
        },
    ));
    Node { address, view, feed }
}

fn run(node: &Node, cancel: &CancellationToken) {
    let (feed, cancel) = (node.feed.clone(), cancel.clone());
    monoio::spawn(async move { feed.run(Duration::ZERO, cancel).await });
}

async fn knows(node: &Node, version: u64) {
    eventually("the configuration is known", async || {
        node.view.configuration().is_some_and(|configuration| configuration.version >= version)
    })
    .await;
}

/// Guards against a large fleet in which every node calls the object API, and against a node that
/// does not learn the leader.
#[test]
fn node_learns_from_a_watcher_without_calls_of_its_own() {
    let test = async {
        let cancel = CancellationToken::new();
        let (watched, unused) = (MemoryObjects::default(), MemoryObjects::default());
        common::write(&watched, KINDS.configuration, "main", 1).await;
        let (watcher, node) = (start(&watched, &cancel), start(&unused, &cancel));
        let ranked = vec![watcher.address, node.address];
        for one in [&watcher, &node] {
            one.feed.set_ranked(ranked.clone());
            run(one, &cancel);
        }
        let leader = Leader { vm: "vm-1".to_owned(), address: watcher.address };
        watcher.feed.set_leader(Some(leader.clone()));
        knows(&node, 1).await;
        common::write(&watched, KINDS.configuration, "main", 2).await;
        knows(&node, 2).await;
        assert_eq!(node.feed.leader(), Some(leader));
        assert_eq!(unused.calls(), 0);
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against crashes that only the watchers know of, and against one that stays on the other
/// nodes after its node has taken it back.
#[test]
fn node_learns_from_a_watcher_of_crashes_and_of_their_end() {
    let test = async {
        let cancel = CancellationToken::new();
        let objects = MemoryObjects::default();
        common::write(&objects, KINDS.configuration, "main", 1).await;
        let (watcher, node) = (start(&objects, &cancel), start(&objects, &cancel));
        let ranked = vec![watcher.address, node.address];
        for one in [&watcher, &node] {
            one.feed.set_ranked(ranked.clone());
            run(one, &cancel);
        }
        assert_eq!(node.feed.told_nodes(), [watcher.address]);
        knows(&node, 1).await;
        let counts = CrashCounts { in_company: 1, alone: 2 };
        let crashes = vec![PublishedCrash { fingerprint: 7, counts }];
        let published = NodeCrashes { vm: "vm-3".to_owned(), crashes };
        watcher.feed.crashes().set(published.clone(), Instant::now());
        let known = async || node.feed.crashes().nodes(Instant::now());
        eventually("the crash is known", async || known().await == [published.clone()]).await;
        let cleared = NodeCrashes { crashes: Vec::new(), ..published.clone() };
        watcher.feed.crashes().set(cleared, Instant::now());
        eventually("the crash is forgotten", async || known().await.is_empty()).await;
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against nodes that stay with a watcher that has lost the object API: its silence must not
/// delay a change past the time in which it has to be in force.
#[test]
fn node_turns_to_the_object_api_when_its_watcher_is_behind() {
    let test = async {
        let cancel = CancellationToken::new();
        let (watched, own) = (MemoryObjects::default(), MemoryObjects::default());
        for objects in [&watched, &own] {
            common::write(objects, KINDS.configuration, "main", 1).await;
        }
        let (watcher, node) = (start(&watched, &cancel), start(&own, &cancel));
        let ranked = vec![watcher.address, node.address];
        for one in [&watcher, &node] {
            one.feed.set_ranked(ranked.clone());
            run(one, &cancel);
        }
        knows(&node, 1).await;
        watched.set_fault(Some(Fault::Down), None);
        common::write(&own, KINDS.configuration, "main", 2).await;
        knows(&node, 2).await;
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Pattern: a node is cut off from all others, silently, and reaches the object API. Guards against a
/// search for other sources that takes longer than a change may take to be in force.
#[test]
fn node_whose_watchers_are_silent_follows_the_object_api_in_time() {
    /// Time in which a change has to be in force on the deployments of the milestone.
    const IN_FORCE: Duration = Duration::from_secs(3);
    let test = async {
        let cancel = CancellationToken::new();
        let objects = MemoryObjects::default();
        common::write(&objects, KINDS.configuration, "main", 1).await;
        let node = start_with(&objects, &cancel, FeedOptions { watcher_count: 3, ..options() });
        let silent: Vec<_> = (0..3).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
        let silent: Vec<_> = silent.into_iter().map(|listener| listener.expect("bind")).collect();
        let addresses = silent.iter().map(|listener| listener.local_addr().expect("address"));
        node.feed.set_ranked(addresses.chain([node.address]).collect());
        let started = Instant::now();
        run(&node, &cancel);
        knows(&node, 1).await;
        assert!(started.elapsed() < IN_FORCE, "{:?}", started.elapsed());
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Pattern: a large fleet starts. Guards against nodes that all follow the object API before they
/// know each other, and against one that waits for ever for the others.
#[test]
fn node_that_starts_waits_for_the_fleet_and_not_for_ever() {
    let test = async {
        let cancel = CancellationToken::new();
        let objects = MemoryObjects::default();
        common::write(&objects, KINDS.configuration, "main", 1).await;
        let (own, alone) = (MemoryObjects::default(), MemoryObjects::default());
        common::write(&alone, KINDS.configuration, "main", 1).await;
        let nodes = [&objects, &own, &alone].map(|objects| start(objects, &cancel));
        let before = [own.calls(), alone.calls()];
        for node in &nodes {
            let (feed, cancel) = (node.feed.clone(), cancel.clone());
            let limit = Duration::from_millis(300);
            monoio::spawn(async move { feed.run(limit, cancel).await });
        }
        monoio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!([own.calls(), alone.calls()], before);
        let [watcher, node, lone] = &nodes;
        for one in [watcher, node] {
            one.feed.set_ranked(vec![watcher.address, node.address]);
        }
        knows(node, 1).await;
        assert_eq!(own.calls(), before[0]);
        knows(lone, 1).await;
        lone.feed.until_following().await;
        assert!(lone.feed.is_following() && !node.feed.is_following());
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Pattern: the object API is down for the whole of a large fleet. Guards against nodes that all
/// follow it themselves, each with lists in quick succession, because their watchers are behind.
#[test]
fn node_makes_few_calls_while_the_object_api_is_down_for_all() {
    let test = async {
        let cancel = CancellationToken::new();
        let objects = MemoryObjects::default();
        common::write(&objects, KINDS.configuration, "main", 1).await;
        let own = MemoryObjects::default();
        let (watcher, node) = (start(&objects, &cancel), start(&own, &cancel));
        let ranked = vec![watcher.address, node.address];
        for one in [&watcher, &node] {
            one.feed.set_ranked(ranked.clone());
            run(one, &cancel);
        }
        knows(&node, 1).await;
        let before = own.calls();
        objects.set_fault(Some(Fault::Down), None);
        own.set_fault(Some(Fault::Down), None);
        monoio::time::sleep(Duration::from_secs(5)).await;
        let calls = own.calls() - before;
        assert!(calls <= 10, "{calls} calls in an outage of 5 s");
        // Both reach it again: the watcher is soon up to date, and the node need not follow.
        for objects in [&objects, &own] {
            objects.set_fault(None, None);
        }
        common::write(&objects, KINDS.configuration, "main", 2).await;
        knows(&node, 2).await;
        monoio::time::sleep(Duration::from_secs(1)).await;
        let calls = own.calls() - before;
        assert!(calls <= 12, "{calls} calls in an outage of 5 s and after it");
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against a small fleet that waits for watchers, and against a node that has not heard of
/// the fleet yet and follows nobody.
#[test]
fn nodes_of_a_small_fleet_all_watch() {
    let test = async {
        let cancel = CancellationToken::new();
        let node = start(&MemoryObjects::default(), &cancel);
        assert!(node.feed.is_watcher());
        node.feed.set_ranked(vec![node.address]);
        assert!(node.feed.is_watcher());
        let other = SocketAddr::from(([127, 0, 0, 1], 9));
        node.feed.set_ranked(vec![other, node.address]);
        assert!(!node.feed.is_watcher());
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against nodes that know other targets than their watcher: at the start, after a change and a
/// removal, with the versions for a node that runs jobs and without them for others, and after the
/// watcher has started again.
#[test]
fn nodes_know_the_targets_of_their_watcher() {
    let test = async {
        let cancel = CancellationToken::new();
        let (watched, unused) = (MemoryObjects::default(), MemoryObjects::default());
        common::write(&watched, KINDS.configuration, "main", 1).await;
        for name in ["t1", "t2", "t3"] {
            common::write(&watched, KINDS.targets, name, 1).await;
        }
        let (watcher, node) = (start(&watched, &cancel), start(&unused, &cancel));
        for one in [&watcher, &node] {
            one.feed.set_ranked(vec![watcher.address, node.address]);
            run(one, &cancel);
        }
        let agree = async |content: TargetContent, version: u64| {
            eventually("the node knows the targets", async || {
                if content == TargetContent::WithVersions {
                    node.view.need_versions(Instant::now());
                }
                let known =
                    watcher.view.target("t2").is_some_and(|t| t.version("m") == Some(version));
                known && node.view.all_targets(content) == watcher.view.all_targets(content)
            })
            .await;
        };
        agree(TargetContent::Routing, 1).await;
        assert!(node.view.target("t2").expect("target").models.is_empty());
        agree(TargetContent::WithVersions, 1).await;
        common::write(&watched, KINDS.targets, "t2", 2).await;
        agree(TargetContent::WithVersions, 2).await;
        let store = watched.store();
        let gone = store.get(KINDS.targets, "t3").await.expect("read").expect("object");
        store.delete(KINDS.targets, "t3", gone.revision).await.expect("deleted");
        eventually("the node knows of the removal", async || node.view.target("t3").is_none())
            .await;
        agree(TargetContent::Routing, 2).await;
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Pattern: hundreds of nodes fetch the list of thousands of targets at once after a restart of all,
/// and their watcher's link is full. Guards against lists that are cut at a fixed time and begun
/// again, so that none ever arrives, and against a list that stalls.
#[test]
fn long_page_may_take_its_time_while_parts_of_it_come() {
    let fetch = async |pause: Duration| {
        let server = RawServer::start(move |call| {
            call.write("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n");
            for _ in 0..8 {
                std::thread::sleep(pause);
                call.write("x");
            }
        });
        let request = http::Request::new(deck_net::Body::empty());
        let limit = Duration::from_millis(300);
        let limits = CallLimits { head: limit, pause: limit, max_bytes: 100 };
        Client::default().call_in_parts(server.address, request, limits).await
    };
    let test = async {
        let answer = fetch(Duration::from_millis(100)).await.expect("the whole answer");
        assert_eq!(&*answer.body, b"xxxxxxxx");
        assert!(fetch(Duration::from_millis(900)).await.is_err());
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against a target that is in use again for ever after its removal, because a node took it from
/// the older list of a second watcher and then went on with the differences of the first one.
#[test]
fn removed_target_stays_gone_after_an_older_list_of_another_watcher() {
    let test = async {
        let cancel = CancellationToken::new();
        let (current, older, unused) =
            (MemoryObjects::default(), MemoryObjects::default(), MemoryObjects::default());
        for objects in [&current, &older] {
            common::write(objects, KINDS.configuration, "main", 1).await;
            common::write(objects, KINDS.targets, "kept", 1).await;
        }
        // The second watcher has not heard of the removal.
        common::write(&older, KINDS.targets, "gone", 1).await;
        let options = FeedOptions { watcher_count: 2, ..options() };
        let first = start_with(&current, &cancel, options.clone());
        let second = start_with(&older, &cancel, options.clone());
        let node = start_with(&unused, &cancel, options);
        for one in [&first, &second, &node] {
            one.feed.set_ranked(vec![first.address, second.address, node.address]);
        }
        run(&first, &cancel);
        run(&second, &cancel);
        run(&node, &cancel);
        let uses = async |objects: &MemoryObjects, other: &MemoryObjects, has_gone: bool| {
            objects.set_fault(None, None);
            other.set_fault(Some(Fault::Down), None);
            eventually("the node has the list of the watcher", async || {
                node.view.target("kept").is_some() && node.view.target("gone").is_some() == has_gone
            })
            .await;
        };
        uses(&current, &older, false).await;
        uses(&older, &current, true).await;
        uses(&current, &older, false).await;
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}
