//! Several VMs in one process on loopback.
//!
//! Each VM is reached through a forwarder that can block the traffic of chosen VMs without closing
//! connections, as a network partition does.

#![allow(dead_code)]

pub mod store;

use std::{cell::RefCell, collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use deck_core::{CancellationToken, object::Kind, timer::TimerService};
use deck_net::Client;
use deck_peer::{MemberState, Peer, PeerOptions};
use deck_plat::Store;
pub use deck_testkit::eventually;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt, Splitable},
    net::{TcpListener, TcpStream},
};
use serde_json::{Value, json};
use store::{Door, TestStore};

/// Pairs of VMs between which nothing passes.
#[derive(Clone, Default)]
pub struct Network {
    blocked: Rc<RefCell<BTreeSet<(String, String)>>>,
}

impl Network {
    /// Blocks all traffic between the VMs of `left` and those of `right`.
    pub fn cut(&self, left: &[&Node], right: &[&Node]) {
        let mut blocked = self.blocked.borrow_mut();
        for a in left {
            for b in right {
                blocked.insert((a.vm.clone(), b.vm.clone()));
                blocked.insert((b.vm.clone(), a.vm.clone()));
            }
        }
    }

    pub fn heal(&self) {
        self.blocked.borrow_mut().clear();
    }

    fn is_blocked(&self, from: &str, to: &str) -> bool {
        self.blocked.borrow().contains(&(from.to_owned(), to.to_owned()))
    }

    async fn wait_open(&self, from: &str, to: &str) {
        while self.is_blocked(from, to) {
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// One VM.
pub struct Node {
    pub vm: String,
    pub peer: Peer,
    pub door: Rc<Door>,
    pub address: SocketAddr,
    pub cancel: CancellationToken,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

impl Node {
    /// Returns the state in which this VM sees another one.
    pub fn state_of(&self, other: &str) -> Option<MemberState> {
        let members = self.peer.members();
        members.iter().find(|member| member.vm == other).map(|member| member.state)
    }

    pub fn sees_live(&self, others: &[&Node]) -> bool {
        others.iter().all(|other| self.state_of(&other.vm) == Some(MemberState::Live))
    }

    /// Returns the slots of a pool in force, which tests use to tell versions apart.
    pub fn slots(&self, pool: &str) -> Option<u32> {
        self.peer.config().pool(pool).map(|(_, pool)| pool.slots_per_target)
    }
}

/// Builder of the VMs of one test.
#[derive(Default)]
pub struct Cluster {
    pub store: TestStore,
    pub network: Network,
    seeds: RefCell<Vec<SocketAddr>>,
}

/// Options with short times, so that tests do not take long.
pub fn fast_options() -> PeerOptions {
    PeerOptions {
        probe_period: Duration::from_millis(100),
        probe_timeout: Duration::from_millis(150),
        suspicion_timeout: Duration::from_millis(600),
        rejoin_period: Duration::from_millis(200),
        value_expiry: Duration::from_millis(300),
        gossip_period: Duration::from_millis(20),
        refresh_period: Duration::from_millis(200),
        values_budget_bytes_per_s: 100_000,
        repair_period: Duration::from_millis(300),
        watch_idle_timeout: Duration::from_millis(800),
        join_grace: Duration::from_millis(600),
        max_store_backoff: Duration::from_millis(300),
        status_write_period: Duration::from_millis(30),
        connect_timeout: Duration::from_millis(400),
        ..PeerOptions::default()
    }
}

impl Cluster {
    /// Starts a VM; the first VMs are the seeds of the later ones.
    pub fn start(&self, vm: &str, data_centre: &str) -> Node {
        self.start_with(PeerOptions {
            vm: vm.to_owned(),
            data_centre: data_centre.to_owned(),
            region: "region".to_owned(),
            ..fast_options()
        })
    }

    pub fn start_with(&self, options: PeerOptions) -> Node {
        let cancel = CancellationToken::new();
        let (real, address) = self.open_forwarder(&options.vm, &cancel);
        let door = self.store.open_door(&cancel);
        let seeds = self.seeds.borrow().clone();
        self.seeds.borrow_mut().push(address);
        let options = PeerOptions { address: Some(address), seeds, ..options };
        let vm = options.vm.clone();
        let timers = TimerService::start(cancel.clone());
        let store = Store::new(Client::default(), door.address, Duration::from_millis(500));
        let peer = Peer::start(options, real, store, None, timers, cancel.clone());
        Node { vm, peer, door, address, cancel }
    }

    /// Starts a data centre of `count` VMs and waits until they know each other.
    pub async fn start_many(&self, data_centre: &str, count: usize) -> Vec<Node> {
        let nodes: Vec<_> = (0..count)
            .map(|number| self.start(&format!("{data_centre}-{number}"), data_centre))
            .collect();
        wait_joined(&nodes.iter().collect::<Vec<_>>()).await;
        nodes
    }

    fn open_forwarder(&self, vm: &str, cancel: &CancellationToken) -> (TcpListener, SocketAddr) {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let real = deck_net::bind(loopback).expect("bind");
        let target = real.local_addr().expect("address");
        let forwarder = deck_net::bind(loopback).expect("bind");
        let address = forwarder.local_addr().expect("address");
        let (network, vm, cancel) = (self.network.clone(), vm.to_owned(), cancel.clone());
        monoio::spawn(async move {
            while let Some(Ok((stream, _))) = cancel.run_until_cancelled(forwarder.accept()).await {
                let forwarded = forward(network.clone(), vm.clone(), stream, target);
                let cancel = cancel.clone();
                monoio::spawn(async move {
                    cancel.run_until_cancelled(forwarded).await;
                });
            }
        });
        (real, address)
    }
}

pub async fn wait_joined(nodes: &[&Node]) {
    eventually("all VMs see each other live", async || {
        nodes.iter().all(|node| node.sees_live(nodes))
    })
    .await;
}

/// Waits until a pool has `slots` on all nodes.
pub async fn wait_slots(nodes: &[&Node], pool: &str, slots: Option<u32>) {
    eventually(&format!("pool {pool} has {slots:?} slots everywhere"), async || {
        nodes.iter().all(|node| node.slots(pool) == slots)
    })
    .await;
}

/// Forwards one connection; the first line of the upgrade request names the VM that opened it.
async fn forward(network: Network, to: String, mut stream: TcpStream, target: SocketAddr) {
    let (result, head) = stream.read(vec![0; 4096]).await;
    let Ok(count @ 1..) = result else { return };
    let head = head[..count].to_vec();
    let text = String::from_utf8_lossy(&head).into_owned();
    let path = text.split(' ').nth(1).unwrap_or_default();
    let from = path.trim_start_matches('/').to_owned();
    network.wait_open(&from, &to).await;
    let Ok(mut upstream) = TcpStream::connect_addr(target).await else { return };
    if upstream.write_all(head).await.0.is_err() {
        return;
    }
    let (near_read, near_write) = stream.into_split();
    let (far_read, far_write) = upstream.into_split();
    monoio::select! {
        () = copy(&network, &from, &to, near_read, far_write) => {}
        () = copy(&network, &from, &to, far_read, near_write) => {}
    }
}

async fn copy(
    network: &Network,
    from: &str,
    to: &str,
    mut reader: impl AsyncReadRent,
    mut writer: impl AsyncWriteRentExt,
) {
    loop {
        let (result, mut buffer) = reader.read(vec![0; 16 * 1024]).await;
        let Ok(count @ 1..) = result else { return };
        buffer.truncate(count);
        network.wait_open(from, to).await;
        if writer.write_all(buffer).await.0.is_err() {
            return;
        }
    }
}

/// A valid pool; `slots` tells versions apart.
pub fn pool(slots: u32) -> Value {
    json!({"schema": 1, "spec": {
        "type": "service", "fencing": "ignored", "slots_per_target": slots, "targets": [],
    }})
}

/// A pool that is refused: it has an unknown field.
pub fn malformed_pool() -> Value {
    json!({"schema": 1, "spec": {
        "type": "service", "fencing": "ignored", "slots_per_target": 1, "targets": [],
        "colour": "blue",
    }})
}

pub fn pool_kind() -> &'static str {
    Kind::TargetPool.as_str()
}

/// Runs a test on a runtime of its own.
pub fn run(test: impl Future<Output = ()>) {
    deck_net::runtime::run(test).expect("runtime");
}
