//! Distribution of deployment state from watchers to the other nodes of a large fleet.

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

use common::VersionOnlyProtocol;

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

/// Starts a node that uses the given object API.
fn start_node(objects: &MemoryObjects, cancel: &CancellationToken) -> Node {
    start_node_with(objects, cancel, options())
}

fn start_node_with(
    objects: &MemoryObjects,
    cancel: &CancellationToken,
    options: FeedOptions,
) -> Node {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    let address = listener.local_addr().expect("address");
    let view = View::new(Router::new(RouterOptions::default()));
    let protocol = Rc::new(VersionOnlyProtocol);
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

fn spawn_feed(node: &Node, cancel: &CancellationToken) {
    let (feed, cancel) = (node.feed.clone(), cancel.clone());
    monoio::spawn(async move { feed.run(Duration::ZERO, cancel).await });
}

async fn wait_for_configuration(node: &Node, version: u64) {
    eventually("the configuration is known", async || {
        node.view.configuration().is_some_and(|configuration| configuration.version >= version)
    })
    .await;
}

/// In a large fleet, nodes must learn the configuration and the leader from a watcher, without
/// calls to the object API.
#[test]
fn node_learns_from_a_watcher_without_object_api_calls() {
    let test = async {
        let cancel = CancellationToken::new();
        let (watcher_objects, node_objects) = (MemoryObjects::default(), MemoryObjects::default());
        common::write(&watcher_objects, KINDS.configuration, "main", 1).await;
        let (watcher, node) =
            (start_node(&watcher_objects, &cancel), start_node(&node_objects, &cancel));
        let ranked = vec![watcher.address, node.address];
        for member in [&watcher, &node] {
            member.feed.set_ranked(ranked.clone());
            spawn_feed(member, &cancel);
        }
        let leader = Leader { vm: "vm-1".to_owned(), address: watcher.address };
        watcher.feed.set_leader(Some(leader.clone()));
        wait_for_configuration(&node, 1).await;
        common::write(&watcher_objects, KINDS.configuration, "main", 2).await;
        wait_for_configuration(&node, 2).await;
        assert_eq!(node.feed.leader(), Some(leader));
        assert_eq!(node_objects.calls(), 0);
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Crash reports must reach all nodes, and must disappear from them when the reporting node removes
/// them.
#[test]
fn node_receives_crash_reports_and_their_removal_from_a_watcher() {
    let test = async {
        let cancel = CancellationToken::new();
        let objects = MemoryObjects::default();
        common::write(&objects, KINDS.configuration, "main", 1).await;
        let (watcher, node) = (start_node(&objects, &cancel), start_node(&objects, &cancel));
        let ranked = vec![watcher.address, node.address];
        for member in [&watcher, &node] {
            member.feed.set_ranked(ranked.clone());
            spawn_feed(member, &cancel);
        }
        assert_eq!(node.feed.told_nodes(), [watcher.address]);
        wait_for_configuration(&node, 1).await;
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

/// A node must not stay with a watcher that has lost the object API, or a change would not be in
/// force in time.
#[test]
fn node_falls_back_to_the_object_api_when_its_watcher_is_behind() {
    let test = async {
        let cancel = CancellationToken::new();
        let (watcher_objects, own) = (MemoryObjects::default(), MemoryObjects::default());
        for objects in [&watcher_objects, &own] {
            common::write(objects, KINDS.configuration, "main", 1).await;
        }
        let (watcher, node) = (start_node(&watcher_objects, &cancel), start_node(&own, &cancel));
        let ranked = vec![watcher.address, node.address];
        for member in [&watcher, &node] {
            member.feed.set_ranked(ranked.clone());
            spawn_feed(member, &cancel);
        }
        wait_for_configuration(&node, 1).await;
        watcher_objects.set_fault(Some(Fault::Down), None);
        common::write(&own, KINDS.configuration, "main", 2).await;
        wait_for_configuration(&node, 2).await;
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// A node can reach the object API but no watcher, and its connections are not reset. The search
/// for another source must not take longer than the time in which a change has to be in force.
#[test]
fn node_with_unresponsive_watchers_follows_the_object_api_in_time() {
    /// Time in which a change has to be in force on all nodes.
    const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(3);
    let test = async {
        let cancel = CancellationToken::new();
        let objects = MemoryObjects::default();
        common::write(&objects, KINDS.configuration, "main", 1).await;
        let node =
            start_node_with(&objects, &cancel, FeedOptions { watcher_count: 3, ..options() });
        let unresponsive: Vec<_> = (0..3).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
        let unresponsive: Vec<_> =
            unresponsive.into_iter().map(|listener| listener.expect("bind")).collect();
        let addresses = unresponsive.iter().map(|listener| listener.local_addr().expect("address"));
        node.feed.set_ranked(addresses.chain([node.address]).collect());
        let started = Instant::now();
        spawn_feed(&node, &cancel);
        wait_for_configuration(&node, 1).await;
        assert!(started.elapsed() < MAX_PROPAGATION_TIME, "{:?}", started.elapsed());
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// When a large fleet starts, nodes must not follow the object API before they know the fleet, but
/// must not wait for it for ever either.
#[test]
fn starting_node_waits_for_the_fleet_up_to_a_timeout() {
    let test = async {
        let cancel = CancellationToken::new();
        let objects = MemoryObjects::default();
        common::write(&objects, KINDS.configuration, "main", 1).await;
        let (own, undiscovered_objects) = (MemoryObjects::default(), MemoryObjects::default());
        common::write(&undiscovered_objects, KINDS.configuration, "main", 1).await;
        let nodes =
            [&objects, &own, &undiscovered_objects].map(|objects| start_node(objects, &cancel));
        let initial_calls = [own.calls(), undiscovered_objects.calls()];
        for node in &nodes {
            let (feed, cancel) = (node.feed.clone(), cancel.clone());
            let limit = Duration::from_millis(300);
            monoio::spawn(async move { feed.run(limit, cancel).await });
        }
        monoio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!([own.calls(), undiscovered_objects.calls()], initial_calls);
        let [watcher, node, undiscovered] = &nodes;
        for member in [watcher, node] {
            member.feed.set_ranked(vec![watcher.address, node.address]);
        }
        wait_for_configuration(node, 1).await;
        assert_eq!(own.calls(), initial_calls[0]);
        wait_for_configuration(undiscovered, 1).await;
        undiscovered.feed.until_following().await;
        assert!(undiscovered.feed.is_following() && !node.feed.is_following());
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// The object API is down for all nodes of a large fleet. Because their watchers are behind, nodes
/// could all follow it themselves, each with list calls in quick succession.
#[test]
fn node_makes_few_calls_during_an_outage_of_the_object_api() {
    let test = async {
        let cancel = CancellationToken::new();
        let objects = MemoryObjects::default();
        common::write(&objects, KINDS.configuration, "main", 1).await;
        let own = MemoryObjects::default();
        let (watcher, node) = (start_node(&objects, &cancel), start_node(&own, &cancel));
        let ranked = vec![watcher.address, node.address];
        for member in [&watcher, &node] {
            member.feed.set_ranked(ranked.clone());
            spawn_feed(member, &cancel);
        }
        wait_for_configuration(&node, 1).await;
        let initial_calls = own.calls();
        objects.set_fault(Some(Fault::Down), None);
        own.set_fault(Some(Fault::Down), None);
        monoio::time::sleep(Duration::from_secs(5)).await;
        let calls = own.calls() - initial_calls;
        assert!(calls <= 10, "{calls} calls during an outage of 5 s");
        // Both reach it again: the watcher is soon up to date, and the node does not need to follow
        // the object API.
        for objects in [&objects, &own] {
            objects.set_fault(None, None);
        }
        common::write(&objects, KINDS.configuration, "main", 2).await;
        wait_for_configuration(&node, 2).await;
        monoio::time::sleep(Duration::from_secs(1)).await;
        let calls = own.calls() - initial_calls;
        assert!(calls <= 12, "{calls} calls during and after an outage of 5 s");
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// In a small fleet, and on a node that does not know the fleet yet, each node must follow the
/// object API itself.
#[test]
fn all_nodes_of_a_small_fleet_are_watchers() {
    let test = async {
        let cancel = CancellationToken::new();
        let node = start_node(&MemoryObjects::default(), &cancel);
        assert!(node.feed.is_watcher());
        node.feed.set_ranked(vec![node.address]);
        assert!(node.feed.is_watcher());
        let other = SocketAddr::from(([127, 0, 0, 1], 9));
        node.feed.set_ranked(vec![other, node.address]);
        assert!(!node.feed.is_watcher());
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// A node must have the same targets as its watcher: at the start, after a change and after a
/// removal, with weight versions if it runs jobs and without them otherwise.
#[test]
fn nodes_have_the_targets_of_their_watcher() {
    let test = async {
        let cancel = CancellationToken::new();
        let (watcher_objects, node_objects) = (MemoryObjects::default(), MemoryObjects::default());
        common::write(&watcher_objects, KINDS.configuration, "main", 1).await;
        for name in ["t1", "t2", "t3"] {
            common::write(&watcher_objects, KINDS.targets, name, 1).await;
        }
        let (watcher, node) =
            (start_node(&watcher_objects, &cancel), start_node(&node_objects, &cancel));
        for member in [&watcher, &node] {
            member.feed.set_ranked(vec![watcher.address, node.address]);
            spawn_feed(member, &cancel);
        }
        let wait_until_equal = async |content: TargetContent, version: u64| {
            eventually("the node has the targets of its watcher", async || {
                if content == TargetContent::WithVersions {
                    node.view.need_versions(Instant::now());
                }
                let is_current =
                    watcher.view.target("t2").is_some_and(|t| t.version("m") == Some(version));
                is_current && node.view.all_targets(content) == watcher.view.all_targets(content)
            })
            .await;
        };
        wait_until_equal(TargetContent::Routing, 1).await;
        assert!(node.view.target("t2").expect("target").models.is_empty());
        wait_until_equal(TargetContent::WithVersions, 1).await;
        common::write(&watcher_objects, KINDS.targets, "t2", 2).await;
        wait_until_equal(TargetContent::WithVersions, 2).await;
        let store = watcher_objects.store();
        let object = store.get(KINDS.targets, "t3").await.expect("read").expect("object");
        store.delete(KINDS.targets, "t3", object.revision).await.expect("deleted");
        eventually("the node knows of the removal", async || node.view.target("t3").is_none())
            .await;
        wait_until_equal(TargetContent::Routing, 2).await;
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// After a restart of the fleet, hundreds of nodes fetch the list of thousands of targets at once
/// and saturate their watcher's link. With a fixed timeout for the whole list, each transfer would
/// be aborted and restarted, so that none ever completes. A stalled transfer must still fail.
#[test]
fn slow_page_is_accepted_while_data_keeps_arriving() {
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
        let response = fetch(Duration::from_millis(100)).await.expect("complete response");
        assert_eq!(&*response.body, b"xxxxxxxx");
        assert!(fetch(Duration::from_millis(900)).await.is_err());
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// A node that receives a removed target again in an outdated list of a second watcher, and then
/// continues with incremental changes of the first one, would keep that target for ever.
#[test]
fn removed_target_stays_removed_after_an_outdated_list() {
    let test = async {
        let cancel = CancellationToken::new();
        let (current, outdated, node_objects) =
            (MemoryObjects::default(), MemoryObjects::default(), MemoryObjects::default());
        for objects in [&current, &outdated] {
            common::write(objects, KINDS.configuration, "main", 1).await;
            common::write(objects, KINDS.targets, "kept", 1).await;
        }
        // The second watcher has not received the removal.
        common::write(&outdated, KINDS.targets, "gone", 1).await;
        let options = FeedOptions { watcher_count: 2, ..options() };
        let first = start_node_with(&current, &cancel, options.clone());
        let second = start_node_with(&outdated, &cancel, options.clone());
        let node = start_node_with(&node_objects, &cancel, options);
        for member in [&first, &second, &node] {
            member.feed.set_ranked(vec![first.address, second.address, node.address]);
        }
        spawn_feed(&first, &cancel);
        spawn_feed(&second, &cancel);
        spawn_feed(&node, &cancel);
        let switch_watcher =
            async |objects: &MemoryObjects, other: &MemoryObjects, has_removed: bool| {
                objects.set_fault(None, None);
                other.set_fault(Some(Fault::Down), None);
                eventually("the node has the list of the watcher", async || {
                    node.view.target("kept").is_some()
                        && node.view.target("gone").is_some() == has_removed
                })
                .await;
            };
        switch_watcher(&current, &outdated, false).await;
        switch_watcher(&outdated, &current, true).await;
        switch_watcher(&current, &outdated, false).await;
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}
