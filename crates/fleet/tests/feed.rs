//! Distribution of deployment state from watchers to the other nodes of a large fleet.

use std::{
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::CancellationToken;
use deck_fleet::{
    FleetFeed, FleetFeedOptions, FleetView, Leader, NodeCrashes, ObjectFollower,
    ObjectFollowerOptions, ObjectKinds, TargetContent, feed::FEED_PATH,
};
use deck_limit::crash::{CrashCounts, FingerprintCrashes};
use deck_net::{ChunkedCallLimits, Client, ServerOptions, bind};
use deck_plat::Precondition;
use deck_route::{Router, RouterOptions};
use deck_testkit::{
    eventually,
    memory::{Fault, MemoryObjects},
    proxy::Proxy,
    raw::RawServer,
};
use serde_json::json;

mod common;

use common::VersionOnlyProtocol;

const KINDS: ObjectKinds = ObjectKinds {
    configuration: "config",
    targets: "targets",
    versions: "versions",
    retirements: "retirements",
};

/// Time in which a large deployment requires that no request reaches a leaving target any more.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3);

struct Node {
    address: SocketAddr,
    view: FleetView,
    feed: FleetFeed,
}

fn options() -> FleetFeedOptions {
    FleetFeedOptions { max_small_fleet_nodes: 1, watcher_count: 1, ..FleetFeedOptions::default() }
}

/// Starts a node that uses the given object API.
fn start_node(objects: &MemoryObjects, cancel: &CancellationToken) -> Node {
    start_node_with(objects, cancel, options())
}

fn start_node_with(
    objects: &MemoryObjects,
    cancel: &CancellationToken,
    options: FleetFeedOptions,
) -> Node {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    let address = listener.local_addr().expect("address");
    let view = FleetView::new(Router::new(RouterOptions::default()));
    let protocol = Rc::new(VersionOnlyProtocol);
    let follower_options = ObjectFollowerOptions::default();
    let follower =
        ObjectFollower::new(objects.store(), view.clone(), protocol, KINDS, follower_options);
    let feed =
        FleetFeed::new(address, u64::from(address.port()), Client::default(), follower, options);
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

fn spawn_feed_task(node: &Node, cancel: &CancellationToken) {
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
            member.feed.set_ranked_nodes(ranked.clone());
            spawn_feed_task(member, &cancel);
        }
        let leader = Leader { vm: "vm-1".to_owned(), address: watcher.address };
        watcher.feed.set_leader(Some(leader.clone()));
        wait_for_configuration(&node, 1).await;
        common::write(&watcher_objects, KINDS.configuration, "main", 2).await;
        wait_for_configuration(&node, 2).await;
        assert_eq!(node.feed.leader(), Some(leader));
        assert_eq!(node_objects.call_count(), 0);
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// A configuration that is refused must leave the one before in force on all nodes, and a later one
/// must replace it.
#[test]
fn refused_configuration_leaves_the_one_before_in_force() {
    let test = async {
        let cancel = CancellationToken::new();
        let objects = MemoryObjects::default();
        common::write(&objects, KINDS.configuration, "main", 1).await;
        let (watcher, node) = (start_node(&objects, &cancel), start_node(&objects, &cancel));
        let ranked = vec![watcher.address, node.address];
        for member in [&watcher, &node] {
            member.feed.set_ranked_nodes(ranked.clone());
            spawn_feed_task(member, &cancel);
        }
        wait_for_configuration(&node, 1).await;
        let store = objects.store();
        let object = store.get(KINDS.configuration, "main").await.expect("get").expect("object");
        let condition = Precondition::Revision(object.revision);
        let refused = json!({ "version": "2" });
        store.put(KINDS.configuration, "main", condition, &refused).await.expect("write");
        monoio::time::sleep(Duration::from_millis(500)).await;
        for member in [&watcher, &node] {
            let configuration = member.view.configuration().expect("configuration");
            assert_eq!(configuration.version, 1);
        }
        common::write(&objects, KINDS.configuration, "main", 3).await;
        wait_for_configuration(&node, 3).await;
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
            member.feed.set_ranked_nodes(ranked.clone());
            spawn_feed_task(member, &cancel);
        }
        assert_eq!(node.feed.broadcast_nodes(), [watcher.address]);
        wait_for_configuration(&node, 1).await;
        let counts = CrashCounts { ambiguous: 1, sole_suspect: 2 };
        let crashes = vec![FingerprintCrashes { fingerprint: 7, counts }];
        let published = NodeCrashes { vm: "vm-3".to_owned(), crashes };
        watcher.feed.crashes().set(published.clone(), Instant::now());
        let reported_crashes = async || node.feed.crashes().reports(Instant::now());
        eventually("the crash is known", async || reported_crashes().await == [published.clone()])
            .await;
        let cleared = NodeCrashes { crashes: Vec::new(), ..published.clone() };
        watcher.feed.crashes().set(cleared, Instant::now());
        eventually("the crash is forgotten", async || reported_crashes().await.is_empty()).await;
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
        let (watcher_objects, node_objects) = (MemoryObjects::default(), MemoryObjects::default());
        for objects in [&watcher_objects, &node_objects] {
            common::write(objects, KINDS.configuration, "main", 1).await;
        }
        let (watcher, node) =
            (start_node(&watcher_objects, &cancel), start_node(&node_objects, &cancel));
        let ranked = vec![watcher.address, node.address];
        for member in [&watcher, &node] {
            member.feed.set_ranked_nodes(ranked.clone());
            spawn_feed_task(member, &cancel);
        }
        wait_for_configuration(&node, 1).await;
        watcher_objects.set_fault(Some(Fault::Unavailable), None);
        common::write(&node_objects, KINDS.configuration, "main", 2).await;
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
            start_node_with(&objects, &cancel, FleetFeedOptions { watcher_count: 3, ..options() });
        let unresponsive: Vec<_> = (0..3).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
        let unresponsive: Vec<_> =
            unresponsive.into_iter().map(|listener| listener.expect("bind")).collect();
        let addresses = unresponsive.iter().map(|listener| listener.local_addr().expect("address"));
        node.feed.set_ranked_nodes(addresses.chain([node.address]).collect());
        let started_at = Instant::now();
        spawn_feed_task(&node, &cancel);
        wait_for_configuration(&node, 1).await;
        assert!(started_at.elapsed() < MAX_PROPAGATION_TIME, "{:?}", started_at.elapsed());
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
        let (node_objects, undiscovered_objects) =
            (MemoryObjects::default(), MemoryObjects::default());
        common::write(&undiscovered_objects, KINDS.configuration, "main", 1).await;
        let nodes = [&objects, &node_objects, &undiscovered_objects]
            .map(|objects| start_node(objects, &cancel));
        let initial_calls = [node_objects.call_count(), undiscovered_objects.call_count()];
        for node in &nodes {
            let (feed, cancel) = (node.feed.clone(), cancel.clone());
            let limit = Duration::from_millis(300);
            monoio::spawn(async move { feed.run(limit, cancel).await });
        }
        monoio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!([node_objects.call_count(), undiscovered_objects.call_count()], initial_calls);
        let [watcher, node, undiscovered] = &nodes;
        for member in [watcher, node] {
            member.feed.set_ranked_nodes(vec![watcher.address, node.address]);
        }
        wait_for_configuration(node, 1).await;
        assert_eq!(node_objects.call_count(), initial_calls[0]);
        wait_for_configuration(undiscovered, 1).await;
        undiscovered.feed.wait_until_watching_object_api().await;
        assert!(undiscovered.feed.is_watching_object_api() && !node.feed.is_watching_object_api());
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
        let node_objects = MemoryObjects::default();
        let (watcher, node) = (start_node(&objects, &cancel), start_node(&node_objects, &cancel));
        let ranked = vec![watcher.address, node.address];
        for member in [&watcher, &node] {
            member.feed.set_ranked_nodes(ranked.clone());
            spawn_feed_task(member, &cancel);
        }
        wait_for_configuration(&node, 1).await;
        let initial_calls = node_objects.call_count();
        objects.set_fault(Some(Fault::Unavailable), None);
        node_objects.set_fault(Some(Fault::Unavailable), None);
        monoio::time::sleep(Duration::from_secs(5)).await;
        let calls = node_objects.call_count() - initial_calls;
        assert!(calls <= 10, "{calls} calls during an outage of 5 s");
        // The object API is reachable again for both nodes. The watcher is soon up to date, so the
        // other node needs no object API calls of its own.
        for objects in [&objects, &node_objects] {
            objects.set_fault(None, None);
        }
        common::write(&objects, KINDS.configuration, "main", 2).await;
        wait_for_configuration(&node, 2).await;
        monoio::time::sleep(Duration::from_secs(1)).await;
        let calls = node_objects.call_count() - initial_calls;
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
        node.feed.set_ranked_nodes(vec![node.address]);
        assert!(node.feed.is_watcher());
        let other_address = SocketAddr::from(([127, 0, 0, 1], 9));
        node.feed.set_ranked_nodes(vec![other_address, node.address]);
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
            member.feed.set_ranked_nodes(vec![watcher.address, node.address]);
            spawn_feed_task(member, &cancel);
        }
        let wait_until_equal = async |content: TargetContent, version: u64| {
            eventually("the node has the targets of its watcher", async || {
                if content == TargetContent::WithVersions {
                    node.view.request_versions(Instant::now());
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

/// Pattern: a node that runs no jobs takes one over while its watcher holds a poll, as nothing changes.
/// Guards against items that are dispatched only after that poll, as the versions of the engines are
/// not known before.
#[test]
fn versions_are_fetched_at_once_when_they_are_needed() {
    let test = async {
        let cancel = CancellationToken::new();
        let (watcher_objects, node_objects) = (MemoryObjects::default(), MemoryObjects::default());
        common::write(&watcher_objects, KINDS.configuration, "main", 1).await;
        common::write(&watcher_objects, KINDS.targets, "t", 1).await;
        let poll_timeout = Duration::from_secs(300);
        let start = |objects| {
            start_node_with(objects, &cancel, FleetFeedOptions { poll_timeout, ..options() })
        };
        let (watcher, node) = (start(&watcher_objects), start(&node_objects));
        for member in [&watcher, &node] {
            member.feed.set_ranked_nodes(vec![watcher.address, node.address]);
            spawn_feed_task(member, &cancel);
        }
        eventually("the target is known", async || node.view.target("t").is_some()).await;
        // By then the watcher holds the next poll.
        monoio::time::sleep(Duration::from_millis(500)).await;
        eventually("the version is known", async || {
            node.view.request_versions(Instant::now());
            node.view.target("t").is_some_and(|target| target.version("m") == Some(1))
        })
        .await;
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
        let limits =
            ChunkedCallLimits { head_timeout: limit, chunk_timeout: limit, max_body_bytes: 100 };
        Client::default().call_with_chunk_timeout(server.address, request, limits).await
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
        let options = FleetFeedOptions { watcher_count: 2, ..options() };
        let first = start_node_with(&current, &cancel, options.clone());
        let second = start_node_with(&outdated, &cancel, options.clone());
        let node = start_node_with(&node_objects, &cancel, options);
        for member in [&first, &second, &node] {
            member.feed.set_ranked_nodes(vec![first.address, second.address, node.address]);
        }
        spawn_feed_task(&first, &cancel);
        spawn_feed_task(&second, &cancel);
        spawn_feed_task(&node, &cancel);
        let switch_watcher =
            async |objects: &MemoryObjects, other: &MemoryObjects, has_removed: bool| {
                objects.set_fault(None, None);
                other.set_fault(Some(Fault::Unavailable), None);
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

/// Starts a watcher and a node that polls it through a proxy, and waits until the node knows the
/// target `t`. The node's own object API is `node_objects`.
async fn start_node_behind_proxy(
    watcher_objects: &MemoryObjects,
    node_objects: &MemoryObjects,
    cancel: &CancellationToken,
) -> (Node, Proxy) {
    common::write(watcher_objects, KINDS.configuration, "main", 1).await;
    common::write(watcher_objects, KINDS.targets, "t", 1).await;
    let watcher = start_node(watcher_objects, cancel);
    let node = start_node(node_objects, cancel);
    let proxy = Proxy::start(watcher.address);
    watcher.feed.set_ranked_nodes(vec![watcher.address, node.address]);
    node.feed.set_ranked_nodes(vec![proxy.address, node.address]);
    spawn_feed_task(&watcher, cancel);
    spawn_feed_task(&node, cancel);
    eventually("the target is known", async || node.view.target("t").is_some()).await;
    (node, proxy)
}

/// Removes the target `t` and returns the time until the node knows of the removal.
async fn time_until_removal_is_known(objects: &[&MemoryObjects], node: &Node) -> Duration {
    let removed_at = Instant::now();
    for objects in objects {
        let store = objects.store();
        let object = store.get(KINDS.targets, "t").await.expect("read").expect("object");
        store.delete(KINDS.targets, "t", object.revision).await.expect("deleted");
    }
    eventually("the removal is known", async || node.view.target("t").is_none()).await;
    removed_at.elapsed()
}

/// A large configuration takes seconds on a busy link. Target changes that wait behind it leave
/// the node sending requests to targets that have announced long ago that they leave (DRAIN).
#[test]
fn target_change_overtakes_a_large_configuration() {
    /// Bytes that take several times [`MAX_DRAIN_TIME`] on the slow link.
    const CONFIGURATION_BYTES: usize = 4 * 1024 * 1024;
    let test = async {
        let cancel = CancellationToken::new();
        let (objects, node_objects) = (MemoryObjects::default(), MemoryObjects::default());
        let (node, proxy) = start_node_behind_proxy(&objects, &node_objects, &cancel).await;
        // The calls of the node itself must not help.
        node_objects.set_fault(Some(Fault::Unavailable), None);
        proxy.set_delay(Duration::from_millis(40));
        let store = objects.store();
        let object = store.get(KINDS.configuration, "main").await.expect("read").expect("object");
        let value = json!({ "version": 2, "padding": "x".repeat(CONFIGURATION_BYTES) });
        let condition = Precondition::Revision(object.revision);
        store.put(KINDS.configuration, "main", condition, &value).await.expect("write");
        // The watcher has the configuration by then, and its transfer is under way.
        monoio::time::sleep(Duration::from_millis(800)).await;
        let time = time_until_removal_is_known(&[&objects], &node).await;
        assert!(time < MAX_DRAIN_TIME, "{time:?}");
        let version = node.view.configuration().map(|configuration| configuration.version);
        assert_eq!(version, Some(1), "the configuration arrived before the target change");
        wait_for_configuration(&node, 2).await;
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// A watcher that cannot read the configuration still has current targets. A node that discards
/// them with the outdated configuration keeps sending requests to leaving targets (DRAIN).
#[test]
fn targets_are_current_while_the_configuration_of_the_watcher_is_behind() {
    let test = async {
        let cancel = CancellationToken::new();
        let (objects, node_objects) = (MemoryObjects::default(), MemoryObjects::default());
        let (node, _proxy) = start_node_behind_proxy(&objects, &node_objects, &cancel).await;
        node_objects.set_fault(Some(Fault::Unavailable), None);
        objects.set_fault_for_kind(KINDS.configuration, Fault::Unavailable, u32::MAX);
        // Longer than the age up to which the watcher's configuration counts as current.
        monoio::time::sleep(Duration::from_secs(3)).await;
        let time = time_until_removal_is_known(&[&objects], &node).await;
        assert!(time < MAX_DRAIN_TIME, "{time:?}");
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// A page may arrive slowly, byte by byte. A node that waits for its end, although it can reach the
/// object API itself, keeps sending requests to leaving targets (DRAIN).
#[test]
fn target_change_is_read_from_the_object_api_while_a_page_arrives_slowly() {
    const CHANGED_TARGETS: usize = 400;
    let test = async {
        let cancel = CancellationToken::new();
        let (objects, node_objects) = (MemoryObjects::default(), MemoryObjects::default());
        for objects in [&objects, &node_objects] {
            common::write(objects, KINDS.targets, "u", 1).await;
        }
        common::write(&node_objects, KINDS.configuration, "main", 1).await;
        common::write(&node_objects, KINDS.targets, "t", 1).await;
        let (node, proxy) = start_node_behind_proxy(&objects, &node_objects, &cancel).await;
        proxy.set_delay(Duration::from_millis(400));
        // The next page takes several seconds, without a pause that ends the call.
        for number in 0..CHANGED_TARGETS {
            common::write(&objects, KINDS.targets, &format!("new-{number:0>1000}"), 1).await;
        }
        monoio::time::sleep(Duration::from_millis(1000)).await;
        let time = time_until_removal_is_known(&[&objects, &node_objects], &node).await;
        assert!(time < MAX_DRAIN_TIME, "{time:?}");
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Starts a node at a second address of `watcher` that serves pages and leaves requests for the
/// configuration without an answer.
fn start_without_transfers(watcher: &Node, cancel: &CancellationToken) -> SocketAddr {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    let address = listener.local_addr().expect("address");
    let served = watcher.feed.clone();
    let serve =
        deck_net::serve(listener, ServerOptions::default(), cancel.clone(), move |request| {
            let feed = served.clone();
            async move {
                let query = request.uri().query().unwrap_or_default();
                if query.contains("configuration_only") {
                    monoio::time::sleep(Duration::from_secs(60)).await;
                }
                feed.serve(query).await
            }
        });
    monoio::spawn(serve);
    address
}

/// A watcher under load may serve pages in time and not the configuration. A node that asks only this
/// watcher keeps an outdated configuration (CONFIG, DENIED).
#[test]
fn configuration_is_fetched_from_another_watcher_if_one_does_not_send_it() {
    const MAX_TIME: Duration = Duration::from_secs(4);
    let test = async {
        let cancel = CancellationToken::new();
        let (objects, node_objects) = (MemoryObjects::default(), MemoryObjects::default());
        common::write(&objects, KINDS.configuration, "main", 1).await;
        common::write(&objects, KINDS.targets, "t", 1).await;
        node_objects.set_fault(Some(Fault::Unavailable), None);
        let options = || FleetFeedOptions { watcher_count: 2, ..options() };
        let [first, second] = [(); 2].map(|()| start_node_with(&objects, &cancel, options()));
        let node = start_node_with(&node_objects, &cancel, options());
        let first_address = start_without_transfers(&first, &cancel);
        for watcher in [&first, &second] {
            watcher.feed.set_ranked_nodes(vec![first.address, second.address, node.address]);
            spawn_feed_task(watcher, &cancel);
        }
        // With this address of the node, the second watcher is polled.
        node.feed.set_ranked_nodes(vec![second.address, first_address, node.address]);
        spawn_feed_task(&node, &cancel);
        let started_at = Instant::now();
        wait_for_configuration(&node, 1).await;
        assert!(started_at.elapsed() < MAX_TIME, "{:?}", started_at.elapsed());
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// A node that turns to the object API while its watchers are behind, and finds that its calls fail
/// there, must turn back to the watchers. Until then it keeps an outdated configuration (CONFIG,
/// DENIED).
#[test]
fn node_returns_to_the_watchers_if_the_object_api_fails_after_all() {
    const MAX_TIME: Duration = Duration::from_secs(4);
    let test = async {
        let cancel = CancellationToken::new();
        let (objects, node_objects) = (MemoryObjects::default(), MemoryObjects::default());
        let (node, _proxy) = start_node_behind_proxy(&objects, &node_objects, &cancel).await;
        // The object API answers the node's probe, but not its list of the targets.
        node_objects.set_fault_for_kind(KINDS.targets, Fault::Unavailable, u32::MAX);
        objects.set_fault(Some(Fault::Unavailable), None);
        eventually("the node follows the object API", async || node.feed.is_watching_object_api())
            .await;
        objects.set_fault(None, None);
        common::write(&objects, KINDS.configuration, "main", 2).await;
        let written_at = Instant::now();
        wait_for_configuration(&node, 2).await;
        assert!(written_at.elapsed() < MAX_TIME, "{:?}", written_at.elapsed());
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Returns options with a bound on the withdrawal of keys.
fn bounded_options(bound: Duration) -> FleetFeedOptions {
    FleetFeedOptions { key_withdrawal: Some(bound), ..options() }
}

/// Guards against nodes that refuse keys, or that each read the configuration, although a watcher
/// confirms it.
#[test]
fn node_learns_from_a_watcher_that_its_configuration_is_current() {
    const BOUND: Duration = Duration::from_secs(10);
    let test = async {
        let cancel = CancellationToken::new();
        let (watcher_objects, node_objects) = (MemoryObjects::default(), MemoryObjects::default());
        common::write_configuration_with_organisations(&watcher_objects, 1).await;
        let watcher = start_node_with(&watcher_objects, &cancel, bounded_options(BOUND));
        let node = start_node_with(&node_objects, &cancel, bounded_options(BOUND));
        for member in [&watcher, &node] {
            member.feed.set_ranked_nodes(vec![watcher.address, node.address]);
            spawn_feed_task(member, &cancel);
        }
        eventually("keys are accepted", async || node.view.allows_keys(BOUND)).await;
        let first = node.view.configuration_confirmed_at();
        eventually("the configuration is confirmed again", async || {
            node.view.configuration_confirmed_at() > first
        })
        .await;
        assert!(
            node.view.configuration_confirmed_at() <= watcher.view.configuration_confirmed_at()
        );
        assert_eq!(node_objects.call_count(), 0);
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against a node that refuses keys since its watcher, one of an earlier release, states no age,
/// although the node reaches the object API.
#[test]
fn node_confirms_its_configuration_itself_if_its_watcher_does_not() {
    const BOUND: Duration = Duration::from_secs(1);
    let test = async {
        let cancel = CancellationToken::new();
        let objects = MemoryObjects::default();
        common::write_configuration_with_organisations(&objects, 1).await;
        let watcher = start_node(&objects, &cancel);
        let node = start_node_with(&objects, &cancel, bounded_options(BOUND));
        for member in [&watcher, &node] {
            member.feed.set_ranked_nodes(vec![watcher.address, node.address]);
            spawn_feed_task(member, &cancel);
        }
        eventually("keys are accepted", async || node.view.allows_keys(BOUND)).await;
        objects.set_fault(Some(Fault::Unavailable), None);
        eventually("keys are refused", async || !node.view.allows_keys(BOUND)).await;
        objects.set_fault(None, None);
        eventually("keys are accepted again", async || node.view.allows_keys(BOUND)).await;
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against reads for the age of a configuration whose keys need none: one without organisations.
#[test]
fn configuration_without_organisations_is_not_confirmed() {
    let test = async {
        let cancel = CancellationToken::new();
        let objects = MemoryObjects::default();
        common::write(&objects, KINDS.configuration, "main", 1).await;
        let watcher =
            start_node_with(&objects, &cancel, bounded_options(Duration::from_millis(300)));
        spawn_feed_task(&watcher, &cancel);
        wait_for_configuration(&watcher, 1).await;
        monoio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(watcher.view.configuration_confirmed_at(), None);
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against reads without a pause while the object API has no valid configuration any more.
#[test]
fn configuration_that_cannot_be_confirmed_is_read_with_pauses() {
    let test = async {
        let cancel = CancellationToken::new();
        let objects = MemoryObjects::default();
        common::write_configuration_with_organisations(&objects, 1).await;
        let bound = Duration::from_millis(600);
        let watcher = start_node_with(&objects, &cancel, bounded_options(bound));
        spawn_feed_task(&watcher, &cancel);
        eventually("keys are accepted", async || watcher.view.allows_keys(bound)).await;
        let calls_per_second = async || {
            let calls_before = objects.call_count();
            monoio::time::sleep(Duration::from_secs(1)).await;
            objects.call_count() - calls_before
        };
        let usual_calls = calls_per_second().await;
        let store = objects.store();
        let object = store.get(KINDS.configuration, "main").await.expect("read").expect("object");
        store.delete(KINDS.configuration, "main", object.revision).await.expect("deleted");
        eventually("keys are refused", async || !watcher.view.allows_keys(bound)).await;
        let calls = calls_per_second().await;
        // One read in each sixth of the bound before, and one in each twelfth after.
        assert!(calls <= usual_calls + 20, "{calls} calls, {usual_calls} before");
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}
