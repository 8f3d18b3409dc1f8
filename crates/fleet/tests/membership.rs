//! Decisions on which nodes live and which registrations are removed, without a network.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_fleet::{
    ListedNode, Membership, MembershipOptions, NodeRegistration,
    ProbeOutcome::{self, Answered, Refused, Silent},
    ProbeScope,
};

const OWN: u16 = 1;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Node that probes the nodes of an object API; nodes are named by their port, which is also their rank.
struct Node {
    membership: Membership,
    now: Instant,
    start: Instant,
    next_list_at: Instant,
    has_store: bool,
    /// Revisions of the registered nodes by port.
    registered: BTreeMap<u16, u64>,
    disks: BTreeSet<u16>,
    /// Nodes that do not answer.
    outcomes: BTreeMap<u16, ProbeOutcome>,
    scope: ProbeScope,
    /// Registrations that were removed, with the second of the removal.
    removed: Vec<(u16, u64)>,
    probes: usize,
}

impl Node {
    fn new(ports: impl IntoIterator<Item = u16>) -> Self {
        let now = Instant::now();
        Self {
            membership: Membership::new(address(OWN), MembershipOptions::default()),
            now,
            start: now,
            next_list_at: now,
            has_store: true,
            registered: ports.into_iter().map(|port| (port, 1)).collect(),
            disks: BTreeSet::new(),
            outcomes: BTreeMap::new(),
            scope: ProbeScope::All,
            removed: Vec::new(),
            probes: 0,
        }
    }

    fn set(&mut self, ports: impl IntoIterator<Item = u16>, outcome: ProbeOutcome) {
        self.outcomes.extend(ports.into_iter().map(|port| (port, outcome)));
    }

    /// Lets time pass with a round each half second and a list each 15 s, as the leader.
    fn run_for(&mut self, seconds: u64) {
        let end = self.now + Duration::from_secs(seconds);
        while self.now < end {
            if self.has_store && self.now >= self.next_list_at {
                self.next_list_at = self.now + Duration::from_secs(15);
                self.list();
            }
            let nodes = self.membership.start_round(self.scope, self.now);
            self.probes += nodes.len();
            let outcome = |node: &SocketAddr| self.outcomes.get(&node.port()).copied();
            let outcomes: Vec<_> =
                nodes.iter().map(|node| (*node, outcome(node).unwrap_or(Answered))).collect();
            self.now += Duration::from_millis(500);
            self.membership.end_round(&outcomes, self.now);
        }
    }

    fn list(&mut self) {
        let nodes = self.registered.iter().map(|(port, revision)| ListedNode {
            address: address(*port),
            has_disk: self.disks.contains(port),
            registration: Some(NodeRegistration { vm: port.to_string(), revision: *revision }),
        });
        self.membership.set_nodes(nodes.collect(), self.now);
        let Some(registration) = self.membership.removable(self.now) else { return };
        let port = registration.vm.parse().expect("port");
        assert_eq!(self.registered.remove(&port), Some(registration.revision));
        self.removed.push((port, (self.now - self.start).as_secs()));
        self.membership.set_removed(registration, self.now);
    }

    fn living(&self) -> Vec<u16> {
        self.membership.entry_nodes().iter().map(SocketAddr::port).collect()
    }
}

/// Guards against a fleet that takes itself for a large one after its three VMs were replaced thirty
/// times each: a node that has just started knows the living within seconds, and the leader
/// removes the other registrations one by one.
#[test]
fn fleet_replaced_thirty_times_behaves_like_a_new_one() {
    for outcome in [Refused, Silent] {
        let mut node = Node::new(1..=93);
        node.set((2..=93).filter(|port| ![50, 93].contains(port)), outcome);
        node.scope = ProbeScope::Watchers;
        node.run_for(if outcome == Refused { 6 } else { 13 });
        assert_eq!(node.living(), [1, 50, 93], "{outcome:?}");
        node.scope = ProbeScope::All;
        node.run_for(580);
        assert_eq!(node.removed, []);
        node.run_for(2 * 3600);
        assert_eq!(node.registered.keys().copied().collect::<Vec<_>>(), [1, 50, 93]);
        let times: Vec<u64> = node.removed.iter().map(|(_, second)| *second).collect();
        assert!(times.windows(2).all(|pair| pair[1] - pair[0] >= 60), "{times:?}");
    }
}

/// Guards against probes that grow with the square of the fleet: a node probes the watchers only, and
/// a watcher each node about once a minute.
#[test]
fn large_fleet_is_probed_by_its_watchers_only() {
    let mut node = Node::new(1..=300);
    node.scope = ProbeScope::Watchers;
    node.run_for(50);
    assert!(node.probes <= 6, "{}", node.probes);
    let mut watcher = Node::new(1..=300);
    watcher.run_for(300);
    assert!((1200..=1800).contains(&watcher.probes), "{}", watcher.probes);
    assert_eq!(watcher.living().len(), 300);
}

/// Guards against a node that takes the others for gone because it is itself cut off, frozen, or
/// without the object API, and against removals after that.
#[test]
fn silence_of_this_node_is_not_that_of_the_others() {
    let mut node = Node::new(1..=5);
    node.run_for(30);
    node.set(2..=5, Silent);
    node.run_for(3600);
    assert_eq!(node.living(), [1, 2, 3, 4, 5], "cut off");
    node.outcomes.clear();
    node.run_for(60);
    // It is frozen just after a failed probe.
    node.set([2], Silent);
    node.run_for(62);
    node.outcomes.clear();
    let failed = node.membership.start_round(ProbeScope::All, node.now);
    node.membership.end_round(&failed.iter().map(|it| (*it, Silent)).collect::<Vec<_>>(), node.now);
    node.now += Duration::from_secs(3600);
    node.run_for(60);
    assert_eq!(node.living(), [1, 2, 3, 4, 5], "frozen");
    // A node is gone, and the object API fails for longer than it takes to remove it.
    node.set([2], Refused);
    node.run_for(90);
    assert_eq!(node.living(), [1, 3, 4, 5]);
    node.has_store = false;
    node.run_for(3600);
    node.has_store = true;
    node.run_for(590);
    assert_eq!(node.removed, [], "silence is counted anew after the outage");
    node.run_for(60);
    assert_eq!(node.removed.len(), 1);
}

/// Guards against a partition that empties the list: the living on this side stay, one registration is
/// removed, and none for an hour after that node has registered again.
#[test]
fn partition_removes_one_registration_at_most() {
    let mut node = Node::new(1..=20);
    node.run_for(120);
    node.set(11..=20, Silent);
    node.run_for(90);
    assert_eq!(node.living(), (1..=10).collect::<Vec<_>>());
    while node.removed.is_empty() {
        node.run_for(1);
    }
    // The removed node reaches the object API.
    let port = node.removed[0].0;
    node.run_for(20);
    node.registered.insert(port, 2);
    node.run_for(3000);
    assert_eq!((node.removed.len(), node.registered.len()), (1, 20));
    node.outcomes.clear();
    node.run_for(200);
    assert_eq!(node.living(), (1..=20).collect::<Vec<_>>(), "healed");
    node.run_for(2 * 3600);
    assert_eq!(node.removed.len(), 1);
}

/// Guards against nodes that are dropped for a restart or a short freeze, that stay dropped after they
/// have come back, under the same name and another address or after their removal, and against an
/// earlier registration of an address that a later node has taken.
#[test]
fn node_that_returns_is_taken_in_again() {
    let mut node = Node::new(1..=4);
    node.run_for(120);
    for (seconds, outcome) in [(7, Refused), (7, Silent)] {
        node.set([3], outcome);
        node.run_for(seconds);
        node.outcomes.clear();
        node.run_for(70);
        assert_eq!(node.living(), [1, 2, 3, 4], "{outcome:?}");
    }
    node.set([3], Silent);
    node.run_for(90);
    assert_eq!(node.living(), [1, 2, 4]);
    // It restarts, and registers under the same name.
    node.outcomes.clear();
    node.registered.insert(3, 2);
    node.run_for(16);
    assert_eq!(node.living(), [1, 2, 3, 4]);
    node.set([3], Refused);
    node.run_for(800);
    assert_eq!(node.removed.len(), 1);
    node.outcomes.clear();
    node.registered.insert(3, 3);
    node.run_for(16);
    assert_eq!(node.living(), [1, 2, 3, 4]);
    // The address of node 4 goes to a node with another name.
    let listed = |vm: &str, port, revision| ListedNode {
        address: address(port),
        has_disk: false,
        registration: Some(NodeRegistration { vm: vm.to_owned(), revision }),
    };
    let nodes = || vec![listed("1", 1, 1), listed("4", 4, 1), listed("2", 2, 1), listed("5", 4, 9)];
    let (mut membership, mut now) = (Membership::new(address(OWN), Default::default()), node.now);
    for second in 0..700 {
        membership.set_nodes(nodes(), now);
        assert_eq!(membership.entry_nodes(), [address(1), address(2), address(4)]);
        let probed = membership.start_round(ProbeScope::All, now);
        now += Duration::from_secs(1);
        membership.end_round(&probed.iter().map(|it| (*it, Answered)).collect::<Vec<_>>(), now);
        let removable = membership.removable(now).map(|registration| registration.vm);
        assert_eq!(removable, (second >= 599).then(|| "4".to_owned()), "{second}");
    }
}

/// Guards against checkpoints that move to another VM while one with a disk restarts, and against VMs
/// with a disk that are gone and still count among those for checkpoints.
#[test]
fn node_with_a_disk_is_absent_after_a_longer_silence() {
    let mut node = Node::new(1..=5);
    node.disks.extend([4, 5]);
    node.set([4], Refused);
    node.run_for(55);
    assert_eq!(node.membership.disk_nodes(), [address(4), address(5)]);
    node.run_for(20);
    assert_eq!(node.membership.disk_nodes(), [address(5)]);
    assert_eq!(node.living(), [1, 2, 3]);
}
