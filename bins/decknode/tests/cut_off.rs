//! Nodes whose links to all targets are cut while callers, the object API and the other nodes reach
//! them.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_net::{
    Body, Client, ClientOptions,
    http::{Method, Request, StatusCode},
};
use deck_testkit::{eventually, proxy::LinkCut};
use futures_util::future::join_all;
use serde_json::Value;
use test_case::test_case;

mod common;

use common::{Fleet, HOST, run};

/// Time from the start of a cut until its nodes serve their callers, `ContactMs` of the deployments.
const DETECTION_TIME: Duration = Duration::from_secs(3);
/// Duration of a cut, as on the users' day.
const CUT_TIME: Duration = Duration::from_secs(12);
/// Time that a caller gives a request.
const DEADLINE: Duration = Duration::from_secs(2);
/// Interval between the requests at one node.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Time from the submission of a job until its results are due, from the route of the stand-in.
const RESULT_DEADLINE: Duration = Duration::from_millis(7500);
/// Time from the publication of a version during a cut until all engines have it: detection of the
/// cut, a lease of 1.5 s that ends, and loads of 0.2 s one after the other, with a margin of 2 s.
const VERSION_TIME: Duration = Duration::from_millis(7100);
/// Options of a platform whose longest texts take 4 s, so that a job outlasts the detection of a cut and
/// still has the time that it needs.
const SLOW_EVENTS: [&str; 2] = ["--event-ms", "40"];

/// Sends a request with one attempt and returns its status; `None` if it was not answered in time.
async fn attempt(client: &Client, node: SocketAddr, path: &str, id: &str) -> Option<StatusCode> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("Host", HOST)
        .header("Request-Id", id)
        .header("Deadline-Ms", DEADLINE.as_millis().to_string())
        .body(Body::full("body"))
        .expect("request");
    let response = client.call(node, request, DEADLINE, 1 << 20).await;
    response.ok().map(|response| response.status)
}

/// Sends requests at regular intervals for `duration`; returns their ids and statuses.
async fn send_requests(
    client: &Rc<Client>,
    node: SocketAddr,
    path: &'static str,
    prefix: &str,
    duration: Duration,
) -> Vec<(String, Option<StatusCode>)> {
    let until = Instant::now() + duration;
    let mut requests = Vec::new();
    while Instant::now() < until {
        let (client, id) = (client.clone(), format!("{prefix}-{}", requests.len()));
        requests.push(monoio::spawn(async move {
            let status = attempt(&client, node, path, &id).await;
            (id, status)
        }));
        monoio::time::sleep(REQUEST_INTERVAL).await;
    }
    join_all(requests).await
}

fn served_count(requests: &[(String, Option<StatusCode>)]) -> usize {
    requests.iter().filter(|(_, status)| *status == Some(StatusCode::OK)).count()
}

/// Waits until all engines have a version.
async fn assert_engines_have_version(fleet: &Fleet, version: u64, max_time: Duration) {
    let published_at = Instant::now();
    let engines_with_version = async || {
        let path = "/v1/objects/servers";
        let list = fleet.call(fleet.object_api, Method::GET, path, &[], Vec::new()).await;
        let list: Value = serde_json::from_slice(&list.expect("list").1).expect("json");
        let entries = list["Items"].as_array().expect("entries").iter();
        let engines = entries.filter(|entry| entry["Spec"]["Service"] == "models");
        let versions = engines.map(|entry| entry["Spec"]["Models"][0]["Version"] == version);
        versions.collect::<Vec<bool>>()
    };
    while published_at.elapsed() < max_time && engines_with_version().await.contains(&false) {
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
    let changed = engines_with_version().await;
    assert!(!changed.contains(&false), "engines with the version: {changed:?}");
}

/// Starts nodes of which the first `cut_nodes` have links that can be cut. The first node leads.
async fn start_fleet(entry_nodes: usize, cut_nodes: usize, options: &[&str]) -> Fleet {
    let mut fleet = Fleet::configured_with_target_links(entry_nodes, cut_nodes, options).await;
    fleet.start_node(0);
    let first = &fleet.nodes[0];
    eventually("the first node leads", async || first.has_logged("lease held")).await;
    for index in 1..fleet.nodes.len() {
        fleet.start_node(index);
    }
    fleet.wait_until_ready().await;
    // Wait until the nodes know each other.
    monoio::time::sleep(Duration::from_secs(3)).await;
    fleet
}

/// Guards against a node that refuses or delays all its callers while its links to the targets are cut,
/// although other nodes reach the targets. The shares are those of the users' rule; a request that
/// may not be repeated runs at most once and, if it was refused, not at all.
#[test_case(LinkCut::Hang, 1; "links of one node hang")]
#[test_case(LinkCut::Close, 1; "links of one node are closed")]
#[test_case(LinkCut::Refuse, 1; "one node opens no new links")]
#[test_case(LinkCut::Hang, 2; "links of most nodes hang")]
fn callers_are_served_while_links_to_targets_are_cut(cut: LinkCut, cut_nodes: usize) {
    run(async {
        let fleet = start_fleet(3, cut_nodes, &[]).await;
        let client = Rc::new(Client::new(ClientOptions::default()));
        let nodes: Vec<SocketAddr> = fleet.entry_nodes().map(|node| node.caller_address).collect();
        let send = |path: &'static str, prefix: &'static str, duration| {
            let (client, nodes) = (&client, &nodes);
            join_all(nodes.iter().enumerate().map(move |(index, node)| async move {
                send_requests(client, *node, path, &format!("{prefix}-{index}"), duration).await
            }))
        };
        send("/plain/x", "before", Duration::from_secs(1)).await;
        fleet.set_target_links_cut(Some(cut));
        let once = send("/once/x", "once", DETECTION_TIME);
        futures_util::future::join(send("/plain/x", "early", DETECTION_TIME), once).await;
        let during_time = CUT_TIME - DETECTION_TIME - DEADLINE;
        let plain = send("/plain/x", "during", during_time);
        let once = send("/once/x", "once-during", during_time);
        let (plain, once) = futures_util::future::join(plain, once).await;
        fleet.set_target_links_cut(None);
        for requests in [&plain, &once] {
            let share =
                |index: usize| served_count(&requests[index]) as f64 / requests[index].len() as f64;
            let other_share = share(2);
            assert!(other_share > 0.9, "node with links served {other_share}");
            for index in 0..cut_nodes {
                let share = share(index);
                assert!(share >= other_share * 2.0 / 3.0, "node {index} served {share}");
            }
        }
        let records = fleet.stand_in_records().await;
        for (id, status) in once.iter().flatten() {
            let runs = records.iter().filter(|record| record["call"] == **id).count();
            assert!(runs <= 1, "{id} ran {runs} times");
            assert!(*status != Some(StatusCode::SERVICE_UNAVAILABLE) || runs == 0, "{id} ran");
        }
    });
}

/// Guards against items that wait or fail at a runner whose links to the engines are cut, although
/// other nodes reach the engines.
#[test_case(LinkCut::Hang; "links hang")]
#[test_case(LinkCut::Close; "links are closed")]
#[test_case(LinkCut::Refuse; "no new links")]
fn batch_job_is_complete_in_time_while_links_of_its_runner_are_cut(cut: LinkCut) {
    run(async {
        let fleet = start_fleet(3, 1, &SLOW_EVENTS).await;
        let mut warm_up = fleet.submit(0, 1, 1).await;
        fleet.read_until_complete(&mut warm_up).await;
        let submitted_at = Instant::now();
        let mut job = fleet.submit(1, 4, 1).await;
        assert_eq!(fleet.runner_of(&job).await, Some(0), "the leader runs the job");
        fleet.set_target_links_cut(Some(cut));
        fleet.read_until_complete(&mut job).await;
        let time = submitted_at.elapsed();
        fleet.set_target_links_cut(None);
        assert!(time <= RESULT_DEADLINE, "{} ms", time.as_millis());
    });
}

/// Guards against a leader that keeps its lease while its links to the engines are cut, so that no
/// engine changes its weights although other nodes could order it, and against nodes that take the lease
/// although they are cut off too.
#[test_case(LinkCut::Hang, 1; "links hang")]
#[test_case(LinkCut::Close, 1; "links are closed")]
#[test_case(LinkCut::Close, 3; "links of most nodes are closed")]
fn weights_are_changed_while_links_of_the_leader_are_cut(cut: LinkCut, cut_nodes: usize) {
    run(async {
        let fleet = start_fleet(cut_nodes + 2, cut_nodes, &[]).await;
        let mut warm_up = fleet.submit(0, 1, 1).await;
        fleet.read_until_complete(&mut warm_up).await;
        fleet.set_target_links_cut(Some(cut));
        fleet.publish_version(2).await;
        assert_engines_have_version(&fleet, 2, VERSION_TIME).await;
        fleet.set_target_links_cut(None);
    });
}
