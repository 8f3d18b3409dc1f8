//! Test cluster: several VMs in one process on loopback.
//!
//! Each VM is reached through a TCP forwarder that can block the traffic between given VMs without
//! closing connections, as a network partition does.

#![allow(dead_code)]

pub mod store;

use std::{cell::RefCell, collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use deck_core::{CancellationToken, object::Kind, timer::TimerService};
use deck_net::Client;
use deck_peer::{MemberState, PeerOptions, PeerService};
use deck_plat::Store;
pub use deck_testkit::eventually;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt, Splitable},
    net::{TcpListener, TcpStream},
};
use serde_json::{Value, json};
use store::{StoreEndpoint, TestStore};

/// Simulated network: the pairs of VMs between which traffic is blocked; clones share their state.
#[derive(Clone, Default)]
pub struct Network {
    /// Sending and receiving VM of each blocked direction.
    blocked_pairs: Rc<RefCell<BTreeSet<(String, String)>>>,
}

impl Network {
    /// Blocks all traffic between the VMs of `side_a` and those of `side_b`, without closing
    /// connections.
    pub fn partition(&self, side_a: &[&Node], side_b: &[&Node]) {
        let mut blocked_pairs = self.blocked_pairs.borrow_mut();
        for node_a in side_a {
            for node_b in side_b {
                blocked_pairs.insert((node_a.vm.clone(), node_b.vm.clone()));
                blocked_pairs.insert((node_b.vm.clone(), node_a.vm.clone()));
            }
        }
    }

    /// Unblocks all traffic.
    pub fn heal(&self) {
        self.blocked_pairs.borrow_mut().clear();
    }

    fn is_blocked(&self, from: &str, to: &str) -> bool {
        self.blocked_pairs.borrow().contains(&(from.to_owned(), to.to_owned()))
    }

    /// Waits until traffic between two VMs is not blocked.
    async fn wait_unblocked(&self, from: &str, to: &str) {
        while self.is_blocked(from, to) {
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// A VM of the test cluster; dropping it stops it without a leave announcement.
pub struct Node {
    pub vm: String,
    pub peer: PeerService,
    /// Endpoint of the object API that only this VM uses.
    pub endpoint: Rc<StoreEndpoint>,
    /// Address of the forwarder, which the VM advertises to the others.
    pub address: SocketAddr,
    /// Stops the VM when it is cancelled.
    pub cancel: CancellationToken,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

impl Node {
    /// Returns the liveness of another VM in the member table of this one.
    pub fn state_of(&self, vm: &str) -> Option<MemberState> {
        let members = self.peer.members();
        members.iter().find(|member| member.vm == vm).map(|member| member.state)
    }

    /// Returns whether this VM considers all of `nodes` live.
    pub fn considers_all_live(&self, nodes: &[&Node]) -> bool {
        nodes.iter().all(|node| self.state_of(&node.vm) == Some(MemberState::Live))
    }

    /// Returns `slots_per_target` of the version of a pool that is in force on this VM. Each
    /// version in a test has a different value.
    pub fn slots(&self, pool: &str) -> Option<u32> {
        self.peer.config().pool(pool).map(|(_, pool)| pool.slots_per_target)
    }
}

/// Starts the VMs of one test, with a shared object API and network.
#[derive(Default)]
pub struct Cluster {
    pub store: TestStore,
    pub network: Network,
    /// Addresses of all VMs started so far.
    vm_addresses: RefCell<Vec<SocketAddr>>,
}

/// Returns options with short periods and timeouts, so that tests finish quickly.
pub fn fast_options() -> PeerOptions {
    PeerOptions {
        probe_period: Duration::from_millis(100),
        probe_timeout: Duration::from_millis(150),
        suspicion_timeout: Duration::from_millis(600),
        rejoin_period: Duration::from_millis(200),
        value_expiry: Duration::from_millis(300),
        value_send_period: Duration::from_millis(20),
        value_refresh_period: Duration::from_millis(200),
        values_budget_bytes_per_s: 100_000,
        anti_entropy_period: Duration::from_millis(300),
        watch_idle_timeout: Duration::from_millis(800),
        max_watch_start_delay: Duration::from_millis(600),
        max_store_backoff: Duration::from_millis(300),
        status_write_period: Duration::from_millis(30),
        connect_timeout: Duration::from_millis(400),
        ..PeerOptions::default()
    }
}

impl Cluster {
    /// Starts a VM with [`fast_options`]; all VMs started before are its seeds.
    pub fn start(&self, vm: &str, data_centre: &str) -> Node {
        self.start_with(PeerOptions {
            vm: vm.to_owned(),
            data_centre: data_centre.to_owned(),
            region: "region".to_owned(),
            ..fast_options()
        })
    }

    /// Starts a VM with the given options; all VMs started before are its seeds.
    pub fn start_with(&self, options: PeerOptions) -> Node {
        let cancel = CancellationToken::new();
        let (vm_listener, address) = self.open_forwarder(&options.vm, &cancel);
        let endpoint = self.store.open_endpoint(&cancel);
        let seed_addresses = self.vm_addresses.borrow().clone();
        self.vm_addresses.borrow_mut().push(address);
        let options = PeerOptions { advertised_address: Some(address), seed_addresses, ..options };
        let vm = options.vm.clone();
        let timers = TimerService::start(cancel.clone());
        let store = Store::new(Client::default(), endpoint.address, Duration::from_millis(500));
        let peer = PeerService::start(options, vm_listener, store, None, timers, cancel.clone());
        Node { vm, peer, endpoint, address, cancel }
    }

    /// Starts `count` VMs in a data centre and waits until each considers all of them live.
    pub async fn start_data_centre(&self, data_centre: &str, count: usize) -> Vec<Node> {
        let nodes: Vec<_> = (0..count)
            .map(|vm_number| self.start(&format!("{data_centre}-{vm_number}"), data_centre))
            .collect();
        wait_joined(&nodes.iter().collect::<Vec<_>>()).await;
        nodes
    }

    /// Returns a listener for a VM and the address of the forwarder in front of it.
    fn open_forwarder(&self, vm: &str, cancel: &CancellationToken) -> (TcpListener, SocketAddr) {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let vm_listener = deck_net::bind(loopback).expect("bind");
        let vm_address = vm_listener.local_addr().expect("address");
        let forwarder = deck_net::bind(loopback).expect("bind");
        let address = forwarder.local_addr().expect("address");
        let (network, vm, cancel) = (self.network.clone(), vm.to_owned(), cancel.clone());
        monoio::spawn(async move {
            while let Some(Ok((stream, _))) = cancel.run_until_cancelled(forwarder.accept()).await {
                let forwarded = forward(network.clone(), vm.clone(), stream, vm_address);
                let cancel = cancel.clone();
                monoio::spawn(async move {
                    cancel.run_until_cancelled(forwarded).await;
                });
            }
        });
        (vm_listener, address)
    }
}

/// Waits until each of the VMs considers all of them live.
pub async fn wait_joined(nodes: &[&Node]) {
    eventually("all VMs see each other live", async || {
        nodes.iter().all(|node| node.considers_all_live(nodes))
    })
    .await;
}

/// Waits until the pool version in force on all VMs has `slots`; `None` means that there is no
/// pool.
pub async fn wait_slots(nodes: &[&Node], pool: &str, slots: Option<u32>) {
    eventually(&format!("pool {pool} has {slots:?} slots everywhere"), async || {
        nodes.iter().all(|node| node.slots(pool) == slots)
    })
    .await;
}

/// Forwards one connection to the VM `to`, pausing while traffic between the two VMs is blocked.
/// The path of the upgrade request contains the name of the VM that opened the connection.
async fn forward(network: Network, to: String, mut stream: TcpStream, vm_address: SocketAddr) {
    let (result, request_head) = stream.read(vec![0; 4096]).await;
    let Ok(count @ 1..) = result else { return };
    let request_head = request_head[..count].to_vec();
    let text = String::from_utf8_lossy(&request_head).into_owned();
    let path = text.split(' ').nth(1).unwrap_or_default();
    let from = path.trim_start_matches('/').to_owned();
    network.wait_unblocked(&from, &to).await;
    let Ok(mut upstream) = TcpStream::connect_addr(vm_address).await else { return };
    if upstream.write_all(request_head).await.0.is_err() {
        return;
    }
    let (client_read, client_write) = stream.into_split();
    let (vm_read, vm_write) = upstream.into_split();
    monoio::select! {
        () = copy_stream(&network, &from, &to, client_read, vm_write) => {}
        () = copy_stream(&network, &from, &to, vm_read, client_write) => {}
    }
}

/// Copies one direction of a connection, pausing while traffic in that direction is blocked.
async fn copy_stream(
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
        network.wait_unblocked(from, to).await;
        if writer.write_all(buffer).await.0.is_err() {
            return;
        }
    }
}

/// Returns a valid pool object. Tests give each version different `slots` to tell them apart.
pub fn pool(slots: u32) -> Value {
    json!({"schema": 1, "spec": {
        "type": "service", "fencing": "ignored", "slots_per_target": slots, "targets": [],
    }})
}

/// Returns a pool that is refused because it has an unknown field, `colour`.
pub fn malformed_pool() -> Value {
    json!({"schema": 1, "spec": {
        "type": "service", "fencing": "ignored", "slots_per_target": 1, "targets": [],
        "colour": "blue",
    }})
}

/// Returns the kind name of target pools in the object API.
pub fn pool_kind() -> &'static str {
    Kind::TargetPool.as_str()
}

/// Runs a test on its own async runtime.
pub fn run(test: impl Future<Output = ()>) {
    deck_net::runtime::run(test).expect("runtime");
}
