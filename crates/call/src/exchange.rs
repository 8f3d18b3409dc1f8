//! Values that entry VMs publish to each other: demand, crash fingerprints, leaving targets and
//! usage.

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
    shared::SharedRef,
    wire::{decode, encode},
};

/// Time for which a target that announced that it leaves gets no work and is published. Then a call
/// tries it again: the target may have started anew, and one that still leaves refuses the call.
const LEAVING_PUBLISHED: Duration = Duration::from_secs(60);
/// Most leaving targets that are published.
const MAX_LEAVING: usize = 64;
/// A target that announced that it is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
struct LeavingTarget {
    pool: PoolName,
    target: TargetId,
    /// Number of the announcement at the publishing VM.
    number: u64,
}

/// An announcement that was taken over from another VM.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Heard {
    vm: VmId,
    incarnation: Incarnation,
    number: u64,
}

struct Noted {
    number: u64,
    at: Instant,
}

/// Targets that announced that they are leaving.
#[derive(Default)]
pub(crate) struct LeavingTargets {
    own: HashMap<TargetKey, Noted>,
    heard: HashMap<Heard, TargetKey>,
    next_number: u64,
    changed: bool,
}

impl LeavingTargets {
    /// Notes an announcement that a target made to this VM.
    pub(crate) fn note(&mut self, key: &TargetKey, now: Instant) {
        let known = self.own.get(key);
        if known.is_some_and(|noted| now.duration_since(noted.at) < LEAVING_PUBLISHED) {
            return;
        }
        self.next_number += 1;
        self.own.insert(key.clone(), Noted { number: self.next_number, at: now });
        self.changed = true;
    }

    /// Forgets announcements whose time is over and returns their targets.
    fn expire(&mut self, now: Instant) -> Vec<TargetKey> {
        let over = |noted: &Noted| now.duration_since(noted.at) >= LEAVING_PUBLISHED;
        let expired = self.own.extract_if(|_, noted| over(noted)).map(|(key, _)| key);
        let expired: Vec<_> = expired.collect();
        self.changed |= !expired.is_empty();
        expired
    }

    /// Returns the list to publish if it has changed.
    fn changed_list(&mut self) -> Option<Vec<LeavingTarget>> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        let mut list: Vec<_> = self
            .own
            .iter()
            .map(|(key, noted)| LeavingTarget {
                pool: key.pool.clone(),
                target: key.target.clone(),
                number: noted.number,
            })
            .collect();
        list.sort_unstable_by_key(|target| std::cmp::Reverse(target.number));
        list.truncate(MAX_LEAVING);
        Some(list)
    }
}

/// Publishes this VM's demand and takes over that of the others.
pub(crate) fn exchange_demand(shared: &SharedRef, now: Instant) {
    let members = shared.peer.members();
    let (mut vms, mut routing) = (Vec::new(), Vec::new());
    for member in members {
        match member.state {
            MemberState::Leaving => shared.admission.remove_member(&member.vm),
            MemberState::Dead => {}
            MemberState::Live | MemberState::Suspect => {
                let (vm, data_centre) = (member.vm.clone(), member.data_centre);
                routing.push(RoutingVm { vm, data_centre });
                vms.push(member.vm);
            }
        }
    }
    shared.admission.set_members(&vms);
    shared.router.set_members(routing);
    if shared.admission.is_report_due(now) {
        shared.peer.publish(Topic::ShareDemand, shared.admission.next_demand_report(now));
    }
    let published = others(shared, Topic::ShareDemand);
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

/// Publishes this VM's crash fingerprints and takes over those of the others.
pub(crate) fn exchange_crashes(shared: &SharedRef, last_version: &mut u64, now: Instant) {
    let (list, version) = {
        let mut crashes = shared.crashes.borrow_mut();
        (crashes.local_crashes(now), crashes.version())
    };
    if version != *last_version {
        *last_version = version;
        shared.peer.publish(Topic::CrashFingerprints, encode(&list));
    }
    let keep = shared.options.crash.retention;
    let crashes = others(shared, Topic::CrashFingerprints)
        .filter(|published| published.age < keep)
        .filter_map(|published| decode::<Vec<FingerprintCrashes>>(&published.value))
        .flatten();
    let crashes: Vec<_> = crashes.collect();
    shared.crashes.borrow_mut().set_remote_crashes(crashes);
}

/// Publishes targets that announced that they leave and takes over those that others know.
pub(crate) fn exchange_leaving(shared: &SharedRef, now: Instant) {
    let mut state = shared.leaving_targets.borrow_mut();
    let mut returned = state.expire(now);
    if let Some(list) = state.changed_list() {
        shared.peer.publish(Topic::LeavingTargets, encode(&list));
    }
    let mut heard = HashMap::new();
    for published in others(shared, Topic::LeavingTargets) {
        let Some(list) = decode::<Vec<LeavingTarget>>(&published.value) else { continue };
        for LeavingTarget { pool, target, number } in list {
            let (vm, incarnation) = (published.vm.clone(), published.incarnation);
            let announcement = Heard { vm, incarnation, number };
            let key = TargetKey { pool, target };
            if state.heard.remove(&announcement).is_none() {
                shared.router.mark_leaving(&key.pool, &key.target);
            }
            heard.insert(announcement, key);
        }
    }
    returned.extend(std::mem::replace(&mut state.heard, heard).into_values());
    for key in returned {
        let still_known = state.own.contains_key(&key) || state.heard.values().any(|k| *k == key);
        if !still_known {
            shared.router.clear_leaving(&key.pool, &key.target);
        }
    }
}

fn others(shared: &SharedRef, topic: Topic) -> impl Iterator<Item = deck_peer::Published> + use<> {
    let own = shared.options.vm.clone();
    shared.peer.published(topic).into_iter().filter(move |published| published.vm != own)
}
