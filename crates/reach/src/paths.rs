//! Which targets a node can open connections to, learned from its connection attempts.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Number of targets that have to be out of reach, with none in reach, before the links to all others
/// count as cut too. A single target is more likely to have failed.
const MIN_UNREACHABLE_TARGETS: usize = 2;
/// Minimum time between two connection attempts to a target that is out of reach.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Way of a request to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetPath {
    /// Over this node's own links.
    Direct,
    /// Through another node.
    Relayed,
}

/// Reachability of the targets. Addresses without an entry are assumed to be in reach unless all links
/// are cut.
#[derive(Debug, Default)]
pub struct TargetPaths {
    /// Targets to which the last connection attempt failed, and when one last began or failed.
    unreachable: HashMap<SocketAddr, Instant>,
    /// Consecutive failed attempts; `None` if the last attempt to any target succeeded.
    failures: Option<FailureStreak>,
    /// When another node last delivered the answer of a target.
    relayed_at: Option<Instant>,
}

/// Failed connection attempts without a successful one in between.
#[derive(Debug)]
struct FailureStreak {
    first_failed_at: Instant,
    /// Distinct targets of the attempts.
    targets: Vec<SocketAddr>,
}

impl TargetPaths {
    /// Records that a connection to a target was established.
    pub fn record_connected(&mut self, target: SocketAddr) {
        self.unreachable.remove(&target);
        self.failures = None;
    }

    /// Records that no connection to a target was established.
    pub fn record_connect_failed(&mut self, target: SocketAddr, now: Instant) {
        self.unreachable.insert(target, now);
        let streak = self
            .failures
            .get_or_insert_with(|| FailureStreak { first_failed_at: now, targets: Vec::new() });
        if !streak.targets.contains(&target) {
            streak.targets.push(target);
        }
    }

    /// Records that another node has delivered the answer of a target.
    pub fn record_relayed(&mut self, now: Instant) {
        self.relayed_at = Some(now);
    }

    /// Returns the way of a request to a target. `last_received_at` returns when bytes of any target
    /// last arrived over the links of this node.
    pub fn path(
        &self,
        target: SocketAddr,
        last_received_at: impl FnOnce() -> Option<Instant>,
    ) -> TargetPath {
        match self.unreachable.contains_key(&target) || self.are_links_cut(last_received_at) {
            true => TargetPath::Relayed,
            false => TargetPath::Direct,
        }
    }

    /// Returns whether the links to all targets count as cut: several targets are out of reach, and
    /// nothing shows that any other is in reach.
    pub fn are_links_cut(&self, last_received_at: impl FnOnce() -> Option<Instant>) -> bool {
        self.failures.as_ref().is_some_and(|streak| {
            streak.targets.len() >= MIN_UNREACHABLE_TARGETS
                && last_received_at().is_none_or(|at| at <= streak.first_failed_at)
        })
    }

    /// Returns whether the links of this node are cut, and not the targets down: other nodes have
    /// delivered answers of targets since the first failed attempt.
    pub fn is_cut_off(&self, last_received_at: impl FnOnce() -> Option<Instant>) -> bool {
        let first_failed_at = self.failures.as_ref().map(|streak| streak.first_failed_at);
        let reached_by_others = self.relayed_at.zip(first_failed_at);
        self.are_links_cut(last_received_at)
            && reached_by_others.is_some_and(|(relayed_at, failed_at)| relayed_at >= failed_at)
    }

    /// Returns whether a connection attempt to a target is due, and records the attempt. Always true for
    /// targets that are not known to be out of reach.
    pub fn start_retry(&mut self, target: SocketAddr, now: Instant) -> bool {
        match self.unreachable.get_mut(&target) {
            Some(last_attempt_at) if now.duration_since(*last_attempt_at) < RETRY_INTERVAL => false,
            Some(last_attempt_at) => {
                *last_attempt_at = now;
                true
            }
            None => true,
        }
    }

    /// Returns at most `max_count` targets to which connections should be tried now, and records the
    /// attempts: those out of reach that are due, longest ago first, and, if another node reaches what this node does not,
    /// one of the others, which shows whether all links are cut.
    pub fn start_probes(
        &mut self,
        known: &[SocketAddr],
        max_count: usize,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let mut probes = self.unreachable();
        probes.sort_unstable_by_key(|target| (self.unreachable[target], *target));
        probes.truncate(max_count);
        probes.retain(|target| self.start_retry(*target, now));
        let is_extent_unknown = self.failures.as_ref().is_some_and(|streak| {
            streak.targets.len() < MIN_UNREACHABLE_TARGETS
                && self.relayed_at.is_some_and(|at| at >= streak.first_failed_at)
        });
        if is_extent_unknown {
            let other = known.iter().find(|target| !self.unreachable.contains_key(target));
            probes.extend(other);
        }
        probes
    }

    /// Removes the targets for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(SocketAddr) -> bool) {
        self.unreachable.retain(|target, _| is_known(*target));
        if let Some(streak) = &mut self.failures {
            streak.targets.retain(|target| is_known(*target));
        }
        self.failures.take_if(|streak| streak.targets.is_empty());
    }

    /// Returns the targets that are out of reach.
    pub fn unreachable(&self) -> Vec<SocketAddr> {
        self.unreachable.keys().copied().collect()
    }
}
