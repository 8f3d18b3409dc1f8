//! Groups that the caller of a job need not wait for.
//!
//! A trainer ends a step when enough groups are complete, and asks for the others again in a later
//! step, which allows only newer versions. What the first step has generated of them is of use there
//! if such a version generated it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use deck_core::id::WeightVersion;

use crate::{
    dispatch::Candidate,
    job::{ItemRun, Job, Phase},
    runner::{Inner, JobOutlook},
};

/// Time after the submission from which on items of spare groups run on any allowed version. An item
/// must not wait for 5 s where engines are free.
const HOLD_LIMIT: Duration = Duration::from_millis(4000);
/// Versions by which a job that repeats groups is ahead at least: one job of a trainer is open beside
/// the one that it waits for.
pub(crate) const MIN_REPEAT_LEAD: WeightVersion = 2;
/// Least remaining time of a text that is generated again for a later job.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1000);

/// A group as the choice of spare groups sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupOutlook {
    /// Expected tokens of the longest text.
    pub longest_text: u64,
    /// Whether an earlier job asked for the group: the caller waits for it in any case.
    pub repeated: bool,
}

/// Returns which groups of a job are spare: the longest ones beyond the `wanted` ones that the caller
/// waits for.
///
/// Repeated groups come first in a job. Where none is known to be repeated, the first half of the
/// wanted ones may be: this node may not have run the job that asked for them before.
pub fn spare_groups(groups: &[GroupOutlook], wanted: usize) -> Vec<usize> {
    let last_repeated = groups.iter().rposition(|group| group.repeated);
    let first_free = last_repeated.map_or(wanted / 2, |last| last + 1);
    let mut free: Vec<usize> = (first_free..groups.len()).collect();
    free.sort_by_key(|index| std::cmp::Reverse(groups[*index].longest_text));
    free.truncate(groups.len().saturating_sub(wanted));
    free
}

impl Job {
    /// Marks the items of spare groups of a job that begins.
    pub(crate) fn mark_spare(&self) {
        let wanted = self.record.borrow().group_count;
        if wanted == 0 {
            return;
        }
        let items = self.items.borrow();
        let mut order: HashMap<&str, usize> = HashMap::new();
        let mut groups: Vec<GroupOutlook> = Vec::new();
        for run in items.iter() {
            let index = *order.entry(group_of(run)).or_insert(groups.len());
            if index == groups.len() {
                groups.push(GroupOutlook { longest_text: 0, repeated: false });
            }
            let group = &mut groups[index];
            let tokens = run.item.length_hint.unwrap_or(run.item.tokens);
            group.longest_text = group.longest_text.max(tokens);
            group.repeated |= run.repeated.get();
        }
        let spare = spare_groups(&groups, wanted);
        for run in items.iter() {
            run.spare.set(spare.contains(&order[group_of(run)]));
        }
    }

    /// Returns whether the caller has what it waits for, or will have once all results are stored.
    pub(crate) fn satisfies_caller(&self) -> bool {
        let items = self.items.borrow();
        let open = items.iter().filter(|run| run.phase.get() != Phase::Done);
        let mut groups: Vec<&str> = Vec::new();
        for run in open {
            if run.repeated.get() {
                return false;
            }
            groups.push(group_of(run));
        }
        groups.sort_unstable();
        groups.dedup();
        let wanted = self.record.borrow().group_count;
        groups.is_empty() || (wanted > 0 && self.groups.saturating_sub(groups.len()) >= wanted)
    }
}

/// Returns the group of an item; an item without one is a group by itself.
fn group_of(run: &ItemRun) -> &str {
    run.item.group.as_deref().unwrap_or(&run.item.id)
}

impl Inner {
    /// Returns the oldest version that may run a waiting item now.
    pub(crate) fn oldest_version(&self, job: &Job, run: &ItemRun, now: Instant) -> WeightVersion {
        let min_version = job.record.borrow().min_version;
        let is_held = now.saturating_duration_since(job.submitted_at) < HOLD_LIMIT;
        if run.spare.get() && (is_held || job.satisfied.get()) {
            min_version + self.repeat_lead.get()
        } else {
            min_version
        }
    }

    /// Lets the texts that a satisfied caller no longer waits for be generated again by versions that
    /// a later job allows, where an engine with such a version is free.
    pub(crate) fn prepare_for_later_job(&self, job: &Job, outlook: &JobOutlook, now: Instant) {
        if !job.satisfied.get() {
            if job.record.borrow().group_count == 0 || !job.satisfies_caller() {
                return;
            }
            job.satisfied.set(true);
        }
        let later = job.record.borrow().min_version + self.repeat_lead.get();
        let free_slots = |candidate: &Candidate| match candidate.version >= later {
            true => candidate.slots.saturating_sub(candidate.running),
            false => 0,
        };
        let mut free: u32 = outlook.candidates.iter().map(free_slots).sum();
        for run in job.items.borrow().iter() {
            run.spare.set(true);
            if free == 0 || run.phase.get() != Phase::Running || run.progress.borrow().fits(later) {
                continue;
            }
            let item = self.running_item(run, outlook, now);
            if item.is_some_and(|item| item.time_left() >= MIN_TIME_LEFT) {
                free -= 1;
                run.moving.borrow().cancel();
            }
        }
    }
}
