//! Exchange of demand, crash fingerprints and leaving targets between entry VMs.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use deck_core::id::{Incarnation, PoolName, TargetId, VmId};
use deck_limit::crash::{FingerprintCrashes, TargetKey};
use deck_peer::{MemberState, Topic};
use deck_route::RoutingVm;
use serde::{Deserialize, Serialize};

use crate::{
    peer_messages::{decode, encode},
    shared::SharedRef,
};

/// Validity of a target's shutdown announcement: until it ends, the target receives no calls and is
/// published to other VMs. Afterwards calls may use it again: it may have restarted, and one that
/// is still shutting down refuses the call.
const LEAVING_TTL: Duration = Duration::from_secs(60);
/// Maximum number of leaving targets that are published.
const MAX_PUBLISHED_LEAVING_TARGETS: usize = 64;

/// Target that announced its shutdown: an entry of the list published on `Topic::LeavingTargets`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
struct LeavingTarget {
    pool: PoolName,
    target: TargetId,
    /// Sequence number of the announcement at the publishing VM.
    number: u64,
}

/// Identity of a shutdown announcement that another VM published.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RemoteAnnouncementId {
    vm: VmId,
    incarnation: Incarnation,
    number: u64,
}

/// Shutdown announcement that a target made to this VM.
struct LocalAnnouncement {
    number: u64,
    announced_at: Instant,
}

/// Targets that announced their shutdown, to this VM or to another one.
#[derive(Default)]
pub(crate) struct LeavingTargets {
    /// Shutdown announcements made to this VM, by target.
    local: HashMap<TargetKey, LocalAnnouncement>,
    /// Targets of the shutdown announcements that other VMs publish.
    remote: HashMap<RemoteAnnouncementId, TargetKey>,
    /// Sequence number of the latest local announcement.
    last_number: u64,
    /// Whether the local announcements have changed since the last publication.
    is_changed: bool,
}

impl LeavingTargets {
    /// Records an announcement that a target made to this VM.
    pub(crate) fn record(&mut self, key: &TargetKey, now: Instant) {
        let existing = self.local.get(key);
        if existing
            .is_some_and(|announcement| now.duration_since(announcement.announced_at) < LEAVING_TTL)
        {
            return;
        }
        self.last_number += 1;
        self.local
            .insert(key.clone(), LocalAnnouncement { number: self.last_number, announced_at: now });
        self.is_changed = true;
    }

    /// Removes expired local announcements and returns their targets.
    fn remove_expired(&mut self, now: Instant) -> Vec<TargetKey> {
        let is_expired = |announcement: &LocalAnnouncement| {
            now.duration_since(announcement.announced_at) >= LEAVING_TTL
        };
        let expired =
            self.local.extract_if(|_, announcement| is_expired(announcement)).map(|(key, _)| key);
        let expired: Vec<_> = expired.collect();
        self.is_changed |= !expired.is_empty();
        expired
    }

    /// Returns the list to publish if it has changed since the last call.
    fn take_changed_list(&mut self) -> Option<Vec<LeavingTarget>> {
        if !std::mem::take(&mut self.is_changed) {
            return None;
        }
        let mut list: Vec<_> = self
            .local
            .iter()
            .map(|(key, announcement)| LeavingTarget {
                pool: key.pool.clone(),
                target: key.target.clone(),
                number: announcement.number,
            })
            .collect();
        list.sort_unstable_by_key(|target| std::cmp::Reverse(target.number));
        list.truncate(MAX_PUBLISHED_LEAVING_TARGETS);
        Some(list)
    }
}

/// Updates the members in the router and admission, publishes this VM's demand for capacity shares
/// and applies the demand of the other VMs.
pub(crate) fn exchange_demand(shared: &SharedRef, now: Instant) {
    let members = shared.peer.members();
    let (mut vms, mut routing_vms) = (Vec::new(), Vec::new());
    for member in members {
        match member.state {
            MemberState::Leaving => shared.admission.remove_member(&member.vm),
            MemberState::Dead => {}
            MemberState::Live | MemberState::Suspect => {
                let (vm, data_centre) = (member.vm.clone(), member.data_centre);
                routing_vms.push(RoutingVm { vm, data_centre });
                vms.push(member.vm);
            }
        }
    }
    shared.admission.set_members(&vms);
    shared.router.set_members(routing_vms);
    if shared.admission.is_report_due(now) {
        shared.peer.publish(Topic::ShareDemand, shared.admission.next_demand_report(now));
    }
    let published = published_by_others(shared, Topic::ShareDemand);
    let reports: Vec<_> = published
        .map(|report| deck_limit::DemandReport {
            vm: report.vm,
            data_centre: report.data_centre,
            incarnation: report.incarnation,
            value: report.value,
            age: report.age,
        })
        .collect();
    shared.admission.apply_reports(&reports, now);
    shared.admission.admit_waiting(now);
}

/// Publishes the fingerprints of requests that crashed targets of this VM's calls, if they changed,
/// and applies those of the other VMs.
pub(crate) fn exchange_crashes(shared: &SharedRef, last_version: &mut u64, now: Instant) {
    let (list, version) = {
        let mut crashes = shared.crash_tracker.borrow_mut();
        (crashes.local_crashes(now), crashes.version())
    };
    if version != *last_version {
        *last_version = version;
        shared.peer.publish(Topic::CrashFingerprints, encode(&list));
    }
    let retention = shared.options.crash.retention;
    let crashes = published_by_others(shared, Topic::CrashFingerprints)
        .filter(|published| published.age < retention)
        .filter_map(|published| decode::<Vec<FingerprintCrashes>>(&published.value))
        .flatten();
    let crashes: Vec<_> = crashes.collect();
    shared.crash_tracker.borrow_mut().set_remote_crashes(crashes);
}

/// Publishes the leaving targets that this VM knows, and updates the router with those of other
/// VMs. A target without a remaining announcement becomes available again.
pub(crate) fn exchange_leaving(shared: &SharedRef, now: Instant) {
    let mut state = shared.leaving_targets.borrow_mut();
    let mut expired_targets = state.remove_expired(now);
    if let Some(list) = state.take_changed_list() {
        shared.peer.publish(Topic::LeavingTargets, encode(&list));
    }
    let mut remote = HashMap::new();
    for published in published_by_others(shared, Topic::LeavingTargets) {
        let Some(list) = decode::<Vec<LeavingTarget>>(&published.value) else { continue };
        for LeavingTarget { pool, target, number } in list {
            let (vm, incarnation) = (published.vm.clone(), published.incarnation);
            let announcement_id = RemoteAnnouncementId { vm, incarnation, number };
            let key = TargetKey { pool, target };
            if state.remote.remove(&announcement_id).is_none() {
                shared.router.mark_leaving(&key.pool, &key.target);
            }
            remote.insert(announcement_id, key);
        }
    }
    expired_targets.extend(std::mem::replace(&mut state.remote, remote).into_values());
    for key in expired_targets {
        let still_announced =
            state.local.contains_key(&key) || state.remote.values().any(|k| *k == key);
        if !still_announced {
            shared.router.clear_leaving(&key.pool, &key.target);
        }
    }
}

/// Returns the values that other VMs have published on a topic.
fn published_by_others(
    shared: &SharedRef,
    topic: Topic,
) -> impl Iterator<Item = deck_peer::PublishedValue> + use<> {
    let own_vm = shared.options.vm.clone();
    shared.peer.published_values(topic).into_iter().filter(move |published| published.vm != own_vm)
}
