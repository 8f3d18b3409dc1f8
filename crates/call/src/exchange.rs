//! Values that entry VMs publish to each other: demand, crash fingerprints, leaving targets and
//! usage.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use deck_core::id::{Incarnation, PoolName, TargetId, VmId};
use deck_peer::{MemberState, Topic};
use serde::{Deserialize, Serialize};

use crate::{
    crash::{PublishedCrash, TargetKey},
    shared::SharedRef,
    wire::{decode, encode},
};

/// Time for which a target that announced that it leaves is published. Gossip takes seconds.
const LEAVING_PUBLISHED: Duration = Duration::from_secs(30);
/// Most leaving targets that are published.
const MAX_LEAVING: usize = 64;
/// Age of a published list of leaving targets after which it is ignored: the target may be back.
const MAX_LEAVING_AGE: Duration = Duration::from_secs(60);

/// A target that announced that it is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
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
    heard: HashSet<Heard>,
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

    /// Returns the list to publish if it has changed.
    fn changed_list(&mut self, now: Instant) -> Option<Vec<LeavingTarget>> {
        let before = self.own.len();
        self.own.retain(|_, noted| now.duration_since(noted.at) < LEAVING_PUBLISHED);
        if !std::mem::take(&mut self.changed) && self.own.len() == before {
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
    let live = shared.peer.members().into_iter();
    let live: Vec<VmId> =
        live.filter(|member| member.state != MemberState::Dead).map(|member| member.vm).collect();
    shared.admission.set_members(&live);
    shared.peer.publish(Topic::ShareDemand, shared.admission.demand_report(now));
    let published = others(shared, Topic::ShareDemand);
    let reports: Vec<_> = published
        .map(|report| deck_limit::Published {
            vm: report.vm,
            data_centre: report.data_centre,
            incarnation: report.incarnation,
            value: report.value,
            age: report.age,
        })
        .collect();
    shared.admission.apply_reports(&reports, now);
}

/// Publishes this VM's crash fingerprints and takes over those of the others.
pub(crate) fn exchange_crashes(shared: &SharedRef, last_version: &mut u64, now: Instant) {
    let (list, version) = {
        let mut crashes = shared.crashes.borrow_mut();
        (crashes.to_publish(now), crashes.version())
    };
    if version != *last_version {
        *last_version = version;
        shared.peer.publish(Topic::CrashFingerprints, encode(&list));
    }
    let keep = shared.options.crash.keep;
    let crashes = others(shared, Topic::CrashFingerprints)
        .filter(|published| published.age < keep)
        .filter_map(|published| decode::<Vec<PublishedCrash>>(&published.value))
        .flatten();
    let crashes: Vec<_> = crashes.collect();
    shared.crashes.borrow_mut().set_others(crashes);
}

/// Publishes targets that announced that they leave and takes over those that others know.
pub(crate) fn exchange_leaving(shared: &SharedRef, now: Instant) {
    let list = shared.leaving_targets.borrow_mut().changed_list(now);
    if let Some(list) = list {
        shared.peer.publish(Topic::LeavingTargets, encode(&list));
    }
    let mut still_published = HashSet::new();
    for published in others(shared, Topic::LeavingTargets) {
        let Some(list) = decode::<Vec<LeavingTarget>>(&published.value) else { continue };
        for leaving in list {
            let (vm, incarnation) = (published.vm.clone(), published.incarnation);
            let heard = Heard { vm, incarnation, number: leaving.number };
            let is_new = !shared.leaving_targets.borrow().heard.contains(&heard);
            if is_new && published.age < MAX_LEAVING_AGE {
                shared.router.mark_leaving(&leaving.pool, &leaving.target);
            }
            still_published.insert(heard);
        }
    }
    shared.leaving_targets.borrow_mut().heard = still_published;
}

fn others(shared: &SharedRef, topic: Topic) -> impl Iterator<Item = deck_peer::Published> + use<> {
    let own = shared.options.vm.clone();
    shared.peer.published(topic).into_iter().filter(move |published| published.vm != own)
}
