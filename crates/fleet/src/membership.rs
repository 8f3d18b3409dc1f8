//! Decides which registered nodes live, as far as this node can tell, and which registrations may be
//! removed. Makes no calls; the design is in `docs/design/membership-of-nodes.md`.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_core::id::{Revision, VmId};

/// Periods of a [`Membership`].
#[derive(Debug, Clone)]
pub struct MembershipOptions {
    /// Minimum number of failed probes in a row after which a node is absent.
    pub min_failures: u32,
    /// Silence after which a node is absent that has answered this process before, or whose probes
    /// time out. Longer than a restart or a short freeze.
    pub silence: Duration,
    /// Silence after which a node is absent that has never answered and refuses connections. Longer
    /// than a node that has registered takes to listen.
    pub refusal: Duration,
    /// Silence after which a node on a VM with a disk is absent. What it stores is of use after a
    /// restart.
    pub disk_silence: Duration,
    /// Interval between probes of a node that answers.
    pub probe_interval: Duration,
    /// Interval between probes of a node that does not answer and is not absent yet.
    pub retry_interval: Duration,
    /// Interval between the first probes of an absent node; doubles up to `max_absent_interval`.
    pub absent_interval: Duration,
    /// Maximum interval between probes of an absent node.
    pub max_absent_interval: Duration,
    /// Time over which the first probes of a list are spread, for each node in it.
    pub spread_per_node: Duration,
    /// Number of nodes that are probed first, and that have to answer if only watchers are looked for.
    pub watcher_count: usize,
    /// Maximum number of probes in one round.
    pub max_round_probes: usize,
    /// Time without a round after which this node was paused, so that silence is counted anew.
    pub max_round_gap: Duration,
    /// Time without a list after which silence is counted anew, because the object API was
    /// unavailable.
    pub max_list_gap: Duration,
    /// Silence after which the registration of an absent node may be removed.
    pub removal_silence: Duration,
    /// Minimum interval between two removals. Longer than a node takes to see that its registration
    /// is missing and to register again.
    pub removal_interval: Duration,
    /// Time without removals after a removed node has registered again.
    pub removal_pause: Duration,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            min_failures: 3,
            silence: Duration::from_secs(10),
            refusal: Duration::from_secs(3),
            disk_silence: Duration::from_secs(60),
            probe_interval: Duration::from_secs(60),
            retry_interval: Duration::from_secs(1),
            absent_interval: Duration::from_secs(15),
            max_absent_interval: Duration::from_secs(120),
            spread_per_node: Duration::from_millis(30),
            watcher_count: 3,
            max_round_probes: 64,
            max_round_gap: Duration::from_secs(5),
            max_list_gap: Duration::from_secs(45),
            removal_silence: Duration::from_secs(600),
            removal_interval: Duration::from_secs(60),
            removal_pause: Duration::from_secs(3600),
        }
    }
}

/// Node in a list of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedNode {
    /// Address of the node for other nodes.
    pub address: SocketAddr,
    /// Whether the node stores checkpoints for the other nodes.
    pub has_disk: bool,
    /// Registration; `None` if the list comes from another node.
    pub registration: Option<NodeRegistration>,
}

/// Identifies a write of a node's registration in the object API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeRegistration {
    /// VM of the node.
    pub vm: VmId,
    /// Revision of the object.
    pub revision: Revision,
}

/// Which nodes are probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeScope {
    /// All nodes.
    All,
    /// Nodes in the order of their rank, until the watchers among the living are known.
    Watchers,
}

/// Outcome of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The node responded, in whatever way.
    Answered,
    /// The VM refused the connection.
    Refused,
    /// Nothing was received in time.
    Silent,
}

/// Nodes of the fleet, and which of them live as far as this node can tell.
#[derive(Debug)]
pub struct Membership {
    own_address: SocketAddr,
    options: MembershipOptions,
    /// Listed nodes by descending rank. Invariant: each address occurs once.
    members: Vec<Member>,
    /// Registrations whose address a later registration has, with the time at which each was listed
    /// first.
    superseded: Vec<(NodeRegistration, Instant)>,
    /// When any other node last answered.
    last_answer_at: Option<Instant>,
    last_round_at: Option<Instant>,
    last_list_at: Option<Instant>,
    /// Maximum number of probes in the next round.
    round_probes: usize,
    /// Registrations that this process has removed, or may have.
    removed: HashMap<VmId, Revision>,
    next_removal_at: Option<Instant>,
}

#[derive(Debug)]
struct Member {
    node: ListedNode,
    last_answer_at: Option<Instant>,
    /// Failed probes since the last answer.
    failures: Option<Failures>,
    /// Whether the member has been probed.
    is_probed: bool,
    next_probe_at: Instant,
    /// Whether the node counts as gone. Invariant: `failures` is present if it does.
    is_absent: bool,
    absent_interval: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Failures {
    count: u32,
    first_at: Instant,
    all_refused: bool,
}

impl Membership {
    /// Creates the membership as known to the node at `own_address`, without other nodes.
    pub fn new(own_address: SocketAddr, options: MembershipOptions) -> Self {
        Self {
            own_address,
            round_probes: options.watcher_count,
            options,
            members: Vec::new(),
            superseded: Vec::new(),
            last_answer_at: None,
            last_round_at: None,
            last_list_at: None,
            removed: HashMap::new(),
            next_removal_at: None,
        }
    }

    /// Replaces the nodes, which are given by descending rank. What is known of a node stays unless it
    /// has registered anew.
    pub fn set_nodes(&mut self, nodes: Vec<ListedNode>, now: Instant) {
        let is_late = |at: Instant| now.saturating_duration_since(at) > self.options.max_list_gap;
        if self.last_list_at.is_some_and(is_late) {
            self.restart_silence(now);
        }
        self.last_list_at = Some(now);
        for registration in nodes.iter().filter_map(|node| node.registration.as_ref()) {
            let removed = self.removed.remove(&registration.vm);
            if removed.is_some_and(|revision| revision < registration.revision) {
                self.next_removal_at = Some(now + self.options.removal_pause);
            }
        }
        let revision = |node: &ListedNode| node.registration.as_ref().map(|it| it.revision);
        let mut newest: HashMap<SocketAddr, Option<Revision>> = HashMap::new();
        for node in &nodes {
            let newest = newest.entry(node.address).or_default();
            *newest = (*newest).max(revision(node));
        }
        let mut known: HashMap<SocketAddr, Member> =
            self.members.drain(..).map(|member| (member.node.address, member)).collect();
        let known_superseded = std::mem::take(&mut self.superseded);
        let spread = self.options.spread_per_node.as_millis() as u64;
        for (index, node) in nodes.into_iter().enumerate() {
            if newest.get(&node.address).copied() != Some(revision(&node)) {
                if let Some(registration) = node.registration {
                    let since = known_superseded.iter().find(|(known, _)| *known == registration);
                    let since = since.map_or(now, |(_, since)| *since);
                    self.superseded.push((registration, since));
                }
                continue;
            }
            newest.remove(&node.address);
            let is_same = |member: &Member| {
                revision(&member.node).is_none()
                    || revision(&node).is_none()
                    || member.node.registration == node.registration
            };
            let member = match known.remove(&node.address).filter(is_same) {
                Some(member) => Member { node, ..member },
                None => Member {
                    node,
                    last_answer_at: None,
                    failures: None,
                    is_probed: false,
                    next_probe_at: now + Duration::from_millis(spread * index as u64),
                    is_absent: false,
                    absent_interval: self.options.absent_interval,
                },
            };
            self.members.push(member);
        }
    }

    /// Returns the entry nodes that live or may live, by descending rank.
    pub fn entry_nodes(&self) -> Vec<SocketAddr> {
        self.present(false)
    }

    /// Returns the nodes on VMs with a disk that live or may live.
    pub fn disk_nodes(&self) -> Vec<SocketAddr> {
        self.present(true)
    }

    /// Returns the entry nodes that are absent and answered this process not long ago. Other nodes may
    /// still reach them, and they may have state that is not lost yet.
    pub fn recently_lost_nodes(&self, now: Instant) -> Vec<SocketAddr> {
        let members = self.members.iter().filter(|it| !it.node.has_disk && it.is_absent);
        let lost = members.filter(|member| {
            let silence = member.last_answer_at.map(|at| now.saturating_duration_since(at));
            silence.is_some_and(|silence| silence < self.options.removal_silence)
        });
        lost.map(|member| member.node.address).collect()
    }

    fn present(&self, has_disk: bool) -> Vec<SocketAddr> {
        let members = self.members.iter();
        let present = members.filter(|it| it.node.has_disk == has_disk && !it.is_absent);
        present.map(|member| member.node.address).collect()
    }

    /// Starts a round: returns the nodes that are to be probed now.
    pub fn start_round(&mut self, scope: ProbeScope, now: Instant) -> Vec<SocketAddr> {
        let gap = self.last_round_at.map(|at| now.saturating_duration_since(at));
        if gap.is_some_and(|gap| gap > self.options.max_round_gap) {
            self.restart_silence(now);
        }
        self.last_round_at = Some(now);
        if scope == ProbeScope::Watchers && self.knows_watchers(now) {
            self.round_probes = self.options.watcher_count;
            return Vec::new();
        }
        // An answer shows that a silence is not that of this node. Nodes that have answered before
        // are the likeliest to give one.
        let first_failure = self.members.iter().filter(|it| !it.is_absent);
        let first_failure = first_failure.filter_map(|it| it.failures.map(|it| it.first_at)).min();
        let mut confirmations = match first_failure {
            Some(at) if self.last_answer_at < Some(at) => self.options.watcher_count,
            _ => 0,
        };
        let mut due: Vec<(Instant, usize)> = Vec::new();
        for (index, member) in self.members.iter().enumerate() {
            if member.node.address == self.own_address
                || (scope == ProbeScope::Watchers && member.node.has_disk)
            {
                continue;
            }
            let is_first = scope == ProbeScope::Watchers && !member.is_probed;
            let is_confirmation =
                confirmations > 0 && member.last_answer_at.is_some() && member.failures.is_none();
            if is_confirmation {
                confirmations -= 1;
            }
            if is_first || is_confirmation || member.next_probe_at <= now {
                due.push((if is_confirmation { now } else { member.next_probe_at }, index));
            }
        }
        due.sort_unstable();
        due.truncate(self.round_probes);
        self.round_probes = (self.round_probes * 2).min(self.options.max_round_probes);
        let probed = due.into_iter().map(|(_, index)| self.members[index].node.address);
        probed.collect()
    }

    /// Returns whether the first nodes by rank are known to live.
    fn knows_watchers(&self, now: Instant) -> bool {
        let answers = |member: &Member| {
            let age = member.last_answer_at.map(|at| now.saturating_duration_since(at));
            let is_recent = age.is_some_and(|age| age < self.options.probe_interval);
            member.node.address == self.own_address || (is_recent && member.failures.is_none())
        };
        let members = self.members.iter().filter(|it| !it.node.has_disk && !it.is_absent);
        members.take(self.options.watcher_count).all(answers)
    }

    /// Ends a round with the outcomes of its probes. Returns whether other nodes are present than
    /// before.
    pub fn end_round(&mut self, outcomes: &[(SocketAddr, ProbeOutcome)], now: Instant) -> bool {
        let outcomes: HashMap<SocketAddr, ProbeOutcome> = outcomes.iter().copied().collect();
        if outcomes.values().any(|outcome| *outcome == ProbeOutcome::Answered) {
            self.last_answer_at = Some(now);
        }
        let mut is_changed = false;
        for member in &mut self.members {
            let options = &self.options;
            match outcomes.get(&member.node.address) {
                Some(ProbeOutcome::Answered) => {
                    is_changed |= std::mem::take(&mut member.is_absent);
                    (member.last_answer_at, member.failures) = (Some(now), None);
                    member.absent_interval = options.absent_interval;
                    member.next_probe_at = now + options.probe_interval;
                    member.is_probed = true;
                }
                Some(outcome) => {
                    let start = Failures { count: 0, first_at: now, all_refused: true };
                    let failures = member.failures.get_or_insert(start);
                    failures.count += 1;
                    failures.all_refused &= *outcome == ProbeOutcome::Refused;
                    member.is_probed = true;
                    member.next_probe_at = now + options.retry_interval;
                    if member.is_absent {
                        member.next_probe_at = now + member.absent_interval;
                        member.absent_interval =
                            (member.absent_interval * 2).min(options.max_absent_interval);
                    }
                }
                None => {}
            }
            if !member.is_absent && member.is_silent(options, self.last_answer_at, now) {
                member.is_absent = true;
                member.next_probe_at = now + member.absent_interval;
                is_changed = true;
            }
        }
        is_changed
    }

    /// Counts all silence from now on. Nodes that are absent stay so.
    fn restart_silence(&mut self, now: Instant) {
        for failures in self.members.iter_mut().filter_map(|member| member.failures.as_mut()) {
            *failures = Failures { count: 0, first_at: now, ..*failures };
        }
        for (_, since) in &mut self.superseded {
            *since = now;
        }
    }

    /// Returns the registration that the leader may remove now, if there is one. To be called right
    /// after a list from the object API.
    pub fn removable(&self, now: Instant) -> Option<NodeRegistration> {
        let options = &self.options;
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= options.probe_interval;
        let is_connected = self.last_answer_at.is_some_and(is_recent);
        if !is_connected || self.next_removal_at.is_some_and(|at| now < at) {
            return None;
        }
        let absent = self.members.iter().filter(|member| member.is_absent);
        let absent = absent.filter_map(|member| {
            Some((member.node.registration.as_ref()?, member.failures?.first_at))
        });
        let superseded = self.superseded.iter().map(|(registration, since)| (registration, *since));
        let mut gone = absent
            .chain(superseded)
            .filter(|(_, since)| now.saturating_duration_since(*since) >= options.removal_silence);
        gone.next().map(|(registration, _)| registration.clone())
    }

    /// Records that a registration was removed, or may have been.
    pub fn set_removed(&mut self, registration: NodeRegistration, now: Instant) {
        self.next_removal_at = Some(now + self.options.removal_interval);
        self.removed.insert(registration.vm, registration.revision);
    }
}

impl Member {
    /// Returns whether the node has been silent for long enough to be absent, while another node
    /// answered this one at `last_answer_at`.
    fn is_silent(
        &self,
        options: &MembershipOptions,
        last_answer_at: Option<Instant>,
        now: Instant,
    ) -> bool {
        let Some(failures) = self.failures else { return false };
        let silence = match (self.node.has_disk, self.last_answer_at) {
            (true, _) => options.disk_silence,
            (false, None) if failures.all_refused => options.refusal,
            (false, _) => options.silence,
        };
        failures.count >= options.min_failures
            && now.saturating_duration_since(failures.first_at) >= silence
            && last_answer_at >= Some(failures.first_at)
    }
}
