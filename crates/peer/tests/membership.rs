//! Failure detection, refutation of suspicions, and VMs that rejoin after a restart or pause.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{Cluster, Node, eventually, fast_options, pool, pool_kind, run, wait_joined};
use deck_core::{CancellationToken, timer::TimerService};
use deck_net::Client;
use deck_peer::{MemberState, PeerOptions, PeerService};
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
        let mut nodes = cluster.start_data_centre("a", 4).await;
        let stopped = nodes.pop().expect("node");
        let (vm, incarnation) = (stopped.vm.clone(), incarnation(&nodes[0], &stopped.vm));
        drop(stopped);
        eventually("dead everywhere", async || {
            nodes.iter().all(|node| node.state_of(&vm) == Some(MemberState::Dead))
        })
        .await;
        let restarted = cluster.start(&vm, "a");
        let mut all_nodes = node_refs(&nodes);
        all_nodes.push(&restarted);
        wait_joined(&all_nodes).await;
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
fn one_broken_path_raises_no_suspicion() {
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
                assert!(node.considers_all_live(&node_refs(&nodes)), "{:?}", node.peer.members());
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

/// Guards against a leaving VM that other VMs consider dead, or that stays a watcher.
#[test]
fn leaving_vm_is_announced_and_stops_watching() {
    run(async {
        let cluster = Cluster::default();
        let nodes = cluster.start_data_centre("a", 3).await;
        nodes[1].peer.leave().await;
        eventually("leaving everywhere", async || {
            nodes.iter().all(|node| node.state_of("a-1") == Some(MemberState::Leaving))
        })
        .await;
        eventually("its watch has moved", async || {
            nodes[1].endpoint.open_watches.get() == 0 && nodes[0].endpoint.open_watches.get() == 1
        })
        .await;
    });
}

/// A VM on its own thread, which can be blocked to simulate a paused process.
struct FreezableNode {
    /// Makes the thread block for the duration sent.
    freeze_sender: std::sync::mpsc::Sender<Duration>,
    stop_sender: std::sync::mpsc::Sender<()>,
    /// Receives the slots of the pool `ranks` in force on this VM, and the states of all members in
    /// its member table.
    state_receiver: std::sync::mpsc::Receiver<(u32, Vec<(String, MemberState)>)>,
    thread: std::thread::JoinHandle<()>,
}

/// Starts a VM named `frozen` on a new thread.
fn start_freezable_node(seed_addresses: Vec<SocketAddr>, store: SocketAddr) -> FreezableNode {
    let (freeze_sender, freeze_receiver) = std::sync::mpsc::channel::<Duration>();
    let (stop_sender, stop_receiver) = std::sync::mpsc::channel();
    let (state_sender, state_receiver) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || {
        run(async move {
            let cancel = CancellationToken::new();
            let listener = deck_net::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
            let options = PeerOptions {
                vm: "frozen".to_owned(),
                data_centre: "a".to_owned(),
                seed_addresses,
                ..fast_options()
            };
            let timers = TimerService::start(cancel.clone());
            let store = Store::new(Client::default(), store, Duration::from_millis(500));
            let peer = PeerService::start(options, listener, store, None, timers, cancel.clone());
            while stop_receiver.try_recv().is_err() {
                if let Ok(pause) = freeze_receiver.try_recv() {
                    std::thread::sleep(pause);
                }
                let members =
                    peer.members().into_iter().map(|member| (member.vm, member.state)).collect();
                let slots =
                    peer.config().pool("ranks").map_or(0, |(_, pool)| pool.slots_per_target);
                let _ = state_sender.send((slots, members));
                monoio::time::sleep(Duration::from_millis(5)).await;
            }
            cancel.cancel();
        });
    });
    FreezableNode { freeze_sender, stop_sender, state_receiver, thread }
}

/// Guards against a paused VM that, when it resumes, stays dead, keeps the old configuration or
/// declares other VMs dead because it did not read their probe answers.
#[test]
fn paused_vm_rejoins_with_current_configuration() {
    run(async {
        let cluster = Cluster::default();
        cluster.store.put(pool_kind(), "ranks", pool(1));
        let nodes = cluster.start_data_centre("a", 3).await;
        let endpoint = cluster.store.open_endpoint(&nodes[0].cancel);
        let frozen =
            start_freezable_node(nodes.iter().map(|node| node.address).collect(), endpoint.address);
        let all_nodes_report =
            |state| nodes.iter().all(|node| node.state_of("frozen") == Some(state));
        eventually("joined", async || all_nodes_report(MemberState::Live)).await;
        let mut last_state = (0, Vec::new());
        eventually("it has the configuration and the members", async || {
            frozen.state_receiver.try_iter().for_each(|state| last_state = state);
            last_state.0 == 1 && last_state.1.len() == 4
        })
        .await;
        frozen.freeze_sender.send(Duration::from_secs(4)).expect("thread runs");
        eventually("dead while it is frozen", async || all_nodes_report(MemberState::Dead)).await;
        cluster.store.put(pool_kind(), "ranks", pool(2));
        eventually("live again", async || all_nodes_report(MemberState::Live)).await;
        eventually("it has the new configuration", async || {
            frozen.state_receiver.try_iter().any(|(slots, members)| {
                let dead = members.iter().find(|(_, state)| *state == MemberState::Dead);
                assert_eq!(dead, None, "the frozen VM declared another one dead");
                slots == 2
            })
        })
        .await;
        frozen.stop_sender.send(()).expect("thread runs");
        frozen.thread.join().expect("thread ends");
    });
}

/// Guards against a status that still states the VMs without a paused one long after it is live again.
#[test]
fn status_counts_a_vm_that_is_live_again() {
    run(async {
        let cluster = Cluster::default();
        cluster.store.put(pool_kind(), "ranks", pool(1));
        let nodes = cluster.start_data_centre("a", 3).await;
        let endpoint = cluster.store.open_endpoint(&nodes[0].cancel);
        let frozen =
            start_freezable_node(nodes.iter().map(|node| node.address).collect(), endpoint.address);
        let in_force = || {
            let (_, value) = cluster.store.get("TargetPoolStatus", "ranks")?;
            let count = |field: &str| value["spec"][field].as_u64();
            Some((count("in_force_vms")?, count("live_vms")?))
        };
        eventually("all have it in force", async || in_force() == Some((4, 4))).await;
        frozen.freeze_sender.send(Duration::from_secs(4)).expect("thread runs");
        eventually("dead while it is frozen", async || in_force() == Some((3, 3))).await;
        let all_nodes_report_live =
            || nodes.iter().all(|node| node.state_of("frozen") == Some(MemberState::Live));
        eventually("live again", async || all_nodes_report_live()).await;
        eventually("all have it in force again", async || in_force() == Some((4, 4))).await;
        frozen.stop_sender.send(()).expect("thread runs");
        frozen.thread.join().expect("thread ends");
    });
}
