//! Which targets count as out of reach, and which nodes relay requests.

use std::{
    collections::HashSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_reach::{RelayNodes, TargetPath, TargetPaths};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn nothing_received() -> Option<Instant> {
    None
}

/// Guards against one failed target that moves the requests to all others to other nodes.
#[test]
fn one_failed_target_is_relayed_alone() {
    let mut paths = TargetPaths::default();
    let now = Instant::now();
    paths.record_connect_failed(address(1), now);
    paths.record_connect_failed(address(1), now + Duration::from_secs(1));
    assert_eq!(paths.path(address(1), nothing_received), TargetPath::Relayed);
    assert_eq!(paths.path(address(2), nothing_received), TargetPath::Direct);
    paths.record_connected(address(1));
    assert_eq!(paths.path(address(1), nothing_received), TargetPath::Direct);
}

/// Guards against a cut of all links that each target has to show anew.
#[test]
fn several_failed_targets_show_that_all_links_are_cut() {
    let mut paths = TargetPaths::default();
    let now = Instant::now();
    paths.record_connect_failed(address(1), now);
    paths.record_connect_failed(address(2), now);
    assert_eq!(paths.path(address(3), nothing_received), TargetPath::Relayed);
    assert!(!paths.is_cut_off(nothing_received), "the targets may be down");
    paths.record_relayed(now + Duration::from_millis(1));
    assert!(paths.is_cut_off(nothing_received));
    paths.record_connected(address(4));
    assert!(!paths.are_links_cut(nothing_received));
    assert_eq!(paths.path(address(3), nothing_received), TargetPath::Direct);
    assert_eq!(paths.path(address(1), nothing_received), TargetPath::Relayed);
}

/// Guards against taking the crash of several targets for a cut while others send.
#[test]
fn links_over_which_bytes_arrive_are_not_cut() {
    let mut paths = TargetPaths::default();
    let now = Instant::now();
    paths.record_connect_failed(address(1), now);
    paths.record_connect_failed(address(2), now);
    let received_later = || Some(now + Duration::from_millis(1));
    assert!(!paths.are_links_cut(received_later));
    assert_eq!(paths.path(address(1), received_later), TargetPath::Relayed);
    assert!(paths.are_links_cut(|| now.checked_sub(Duration::from_millis(1))));
}

/// Guards against attempts at a target that is out of reach with each request.
#[test]
fn targets_out_of_reach_are_tried_again_at_intervals() {
    let mut paths = TargetPaths::default();
    let now = Instant::now();
    paths.record_connect_failed(address(1), now);
    assert!(!paths.start_retry(address(1), now + Duration::from_millis(100)));
    assert!(paths.start_retry(address(1), now + Duration::from_millis(600)));
    assert!(!paths.start_retry(address(1), now + Duration::from_millis(700)));
    assert!(paths.start_retry(address(2), now), "not known to be out of reach");
}

/// Guards against a cut of all links that stays unknown at a node which uses one target only, and
/// against probes of other targets when this target is down.
#[test]
fn another_target_is_probed_once_other_nodes_reach_the_failed_one() {
    let mut paths = TargetPaths::default();
    let (now, known) = (Instant::now(), [address(1), address(2)]);
    paths.record_connect_failed(address(1), now);
    assert!(paths.start_probes(&known, 8, now).is_empty());
    paths.record_relayed(now);
    assert_eq!(paths.start_probes(&known, 8, now), [address(2)]);
    paths.record_connect_failed(address(2), now);
    assert!(paths.start_probes(&known, 8, now).is_empty());
    assert_eq!(paths.start_probes(&known, 1, now + Duration::from_secs(1)).len(), 1);
}

/// Guards against targets that are never tried again while others, which stay out of reach, come first.
#[test]
fn targets_out_of_reach_take_turns_in_being_probed() {
    let mut paths = TargetPaths::default();
    let now = Instant::now();
    let known: Vec<SocketAddr> = (1..=20).map(address).collect();
    for target in &known {
        paths.record_connect_failed(*target, now);
    }
    let rounds = (1..=5).map(|round| now + Duration::from_millis(600) * round);
    let probed: Vec<Vec<SocketAddr>> = rounds.map(|at| paths.start_probes(&known, 4, at)).collect();
    assert!(probed.iter().all(|probes| probes.len() == 4), "{probed:?}");
    let distinct: HashSet<&SocketAddr> = probed.iter().flatten().collect();
    assert_eq!(distinct.len(), known.len(), "{probed:?}");
}

/// Guards against targets that are gone and still count as evidence of a cut.
#[test]
fn targets_that_are_gone_are_forgotten() {
    let mut paths = TargetPaths::default();
    let now = Instant::now();
    paths.record_connect_failed(address(1), now);
    paths.record_connect_failed(address(2), now);
    paths.retain(|target| target == address(2));
    assert!(!paths.are_links_cut(nothing_received));
    assert_eq!(paths.unreachable(), [address(2)]);
}

/// Guards against many nodes that all use the same few others when they are cut off, and against asking
/// a node that has failed first.
#[test]
fn relayed_requests_are_spread_over_working_nodes() {
    let nodes: Vec<SocketAddr> = (1..=20).map(address).collect();
    let now = Instant::now();
    let mut used = HashSet::new();
    for own_address in &nodes {
        let mut relay_nodes = RelayNodes::default();
        for _ in 0..8 {
            let chosen = relay_nodes.choose(*own_address, &nodes, 3, now);
            assert_eq!(chosen.len(), 3);
            assert!(!chosen.contains(own_address));
            used.insert(chosen[0]);
        }
    }
    assert!(used.len() >= 16, "{} of 20 nodes relay", used.len());

    let mut relay_nodes = RelayNodes::default();
    let failed = relay_nodes.choose(nodes[0], &nodes, 1, now)[0];
    relay_nodes.avoid(failed, now);
    for _ in 0..8 {
        assert!(!relay_nodes.choose(nodes[0], &nodes, 3, now).contains(&failed));
    }
    let all = relay_nodes.choose(nodes[0], &nodes, 20, now);
    assert_eq!(all.last(), Some(&failed), "a node that has failed is the last resort");
    let later = now + Duration::from_secs(2);
    let first: HashSet<SocketAddr> =
        (0..8).map(|_| relay_nodes.choose(nodes[0], &nodes, 1, later)[0]).collect();
    assert!(first.contains(&failed));
}
