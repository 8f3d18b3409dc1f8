//! Failure detection, refutation of suspicions, and members that return.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{Cluster, Node, eventually, fast_options, pool, pool_kind, run, wait_joined};
use deck_core::{CancellationToken, timer::TimerService};
use deck_net::Client;
use deck_peer::{MemberState, Peer, PeerOptions};
use deck_plat::Store;

fn node_refs(nodes: &[Node]) -> Vec<&Node> {
    nodes.iter().collect()
}

/// Guards against a dead VM that is not detected, and against a restarted VM that stays dead in the
/// member tables of the others.
#[test]
fn dead_vm_is_detected_and_its_next_run_is_live() {
    run(async {
        let cluster = Cluster::default();
        let mut nodes = cluster.start_many("a", 4).await;
        let stopped = nodes.pop().expect("node");
        let (vm, incarnation) = (stopped.vm.clone(), incarnation(&nodes[0], &stopped.vm));
        drop(stopped);
        eventually("dead everywhere", async || {
            nodes.iter().all(|node| node.state_of(&vm) == Some(MemberState::Dead))
        })
        .await;
        let restarted = cluster.start(&vm, "a");
        let mut all = node_refs(&nodes);
        all.push(&restarted);
        wait_joined(&all).await;
        assert!(self::incarnation(&nodes[0], &vm) > incarnation);
    });
}

fn incarnation(node: &Node, vm: &str) -> u64 {
    let members = node.peer.members();
    members.iter().find(|member| member.vm == vm).map_or(0, |member| member.incarnation)
}

/// Guards against a VM that is suspected because the path between it and a single other VM is
/// broken: indirect probes must reach it.
#[test]
fn one_broken_path_makes_nobody_suspect() {
    run(async {
        let cluster = Cluster::default();
        let node_options = |vm: &str| PeerOptions {
            vm: vm.to_owned(),
            data_centre: "a".to_owned(),
            // Long, so that a busy test machine causes no suspicions.
            probe_timeout: Duration::from_secs(1),
            ..fast_options()
        };
        let nodes: Vec<_> = ["a-0", "a-1", "a-2", "a-3"]
            .iter()
            .map(|vm| cluster.start_with(node_options(vm)))
            .collect();
        wait_joined(&node_refs(&nodes)).await;
        cluster.network.partition(&[&nodes[0]], &[&nodes[1]]);
        for _ in 0..200 {
            for node in &nodes {
                assert!(node.sees_live(&node_refs(&nodes)), "{:?}", node.peer.members());
            }
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    });
}

/// Guards against a suspected VM that cannot refute the suspicion, and against a refutation that
/// changes its incarnation, which would look like a new process.
#[test]
fn suspected_vm_refutes_and_keeps_its_incarnation() {
    run(async {
        let cluster = Cluster::default();
        let node_options = |vm: &str| PeerOptions {
            vm: vm.to_owned(),
            data_centre: "a".to_owned(),
            suspicion_timeout: Duration::from_secs(3600),
            ..fast_options()
        };
        let nodes: Vec<_> =
            ["a-0", "a-1", "a-2"].iter().map(|vm| cluster.start_with(node_options(vm))).collect();
        wait_joined(&node_refs(&nodes)).await;
        let incarnation = incarnation(&nodes[0], "a-2");
        cluster.network.partition(&[&nodes[2]], &[&nodes[0], &nodes[1]]);
        eventually("suspected", async || {
            nodes[..2].iter().all(|node| node.state_of("a-2") == Some(MemberState::Suspect))
        })
        .await;
        cluster.network.heal();
        wait_joined(&node_refs(&nodes)).await;
        assert_eq!(self::incarnation(&nodes[0], "a-2"), incarnation);
    });
}

/// Guards against a leaving VM that is treated as failed, or that stays a watcher.
#[test]
fn leaving_is_announced_at_once() {
    run(async {
        let cluster = Cluster::default();
        let nodes = cluster.start_many("a", 3).await;
        nodes[1].peer.leave().await;
        eventually("leaving everywhere", async || {
            nodes.iter().all(|node| node.state_of("a-1") == Some(MemberState::Leaving))
        })
        .await;
        eventually("its watch has moved", async || {
            nodes[1].endpoint.watches.get() == 0 && nodes[0].endpoint.watches.get() == 1
        })
        .await;
    });
}

/// A VM on its own thread, which can be blocked to simulate a paused process.
struct FreezableNode {
    /// Blocks the thread for the duration sent.
    freeze: std::sync::mpsc::Sender<Duration>,
    stop: std::sync::mpsc::Sender<()>,
    /// Reports slots of the pool `ranks` and the states of all members, as seen by this VM.
    states: std::sync::mpsc::Receiver<(u32, Vec<(String, MemberState)>)>,
    thread: std::thread::JoinHandle<()>,
}

/// Starts a VM named `frozen` on a new thread.
fn start_freezable_node(seeds: Vec<SocketAddr>, store: SocketAddr) -> FreezableNode {
    let (freeze, freezes) = std::sync::mpsc::channel::<Duration>();
    let (stop, stops) = std::sync::mpsc::channel();
    let (report, states) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || {
        run(async move {
            let cancel = CancellationToken::new();
            let listener = deck_net::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
            let options = PeerOptions {
                vm: "frozen".to_owned(),
                data_centre: "a".to_owned(),
                seeds,
                ..fast_options()
            };
            let timers = TimerService::start(cancel.clone());
            let store = Store::new(Client::default(), store, Duration::from_millis(500));
            let peer = Peer::start(options, listener, store, None, timers, cancel.clone());
            while stops.try_recv().is_err() {
                if let Ok(pause) = freezes.try_recv() {
                    std::thread::sleep(pause);
                }
                let members = peer.members().into_iter().map(|m| (m.vm, m.state)).collect();
                let slots = peer.config().pool("ranks").map_or(0, |(_, p)| p.slots_per_target);
                let _ = report.send((slots, members));
                monoio::time::sleep(Duration::from_millis(5)).await;
            }
            cancel.cancel();
        });
    });
    FreezableNode { freeze, stop, states, thread }
}

/// Guards against a paused VM that, when it resumes, stays dead, keeps the old configuration or
/// declares other VMs dead because it did not read their probe answers.
#[test]
fn frozen_vm_comes_back() {
    run(async {
        let cluster = Cluster::default();
        cluster.store.put(pool_kind(), "ranks", pool(1));
        let nodes = cluster.start_many("a", 3).await;
        let endpoint = cluster.store.open_endpoint(&nodes[0].cancel);
        let frozen =
            start_freezable_node(nodes.iter().map(|node| node.address).collect(), endpoint.address);
        let sees = |state| nodes.iter().all(|node| node.state_of("frozen") == Some(state));
        eventually("joined", async || sees(MemberState::Live)).await;
        let mut last_state = (0, Vec::new());
        eventually("it has the configuration and the members", async || {
            frozen.states.try_iter().for_each(|state| last_state = state);
            last_state.0 == 1 && last_state.1.len() == 4
        })
        .await;
        frozen.freeze.send(Duration::from_secs(4)).expect("thread runs");
        eventually("dead while it is frozen", async || sees(MemberState::Dead)).await;
        cluster.store.put(pool_kind(), "ranks", pool(2));
        eventually("live again", async || sees(MemberState::Live)).await;
        eventually("it has the new configuration", async || {
            frozen.states.try_iter().any(|(slots, members)| {
                let dead = members.iter().find(|(_, state)| *state == MemberState::Dead);
                assert_eq!(dead, None, "the frozen VM declared another one dead");
                slots == 2
            })
        })
        .await;
        frozen.stop.send(()).expect("thread runs");
        frozen.thread.join().expect("thread ends");
    });
}
