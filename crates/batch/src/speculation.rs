//! Texts that are generated ahead for a later job.
//!
//! A trainer ends a step when enough groups are complete, and asks for the others again in a later
//! step, which allows only newer versions. The texts that decide when the first step ends are often
//! the longest ones, and would begin anew in the later step. So the texts that have grown longest are
//! generated a second time, on engines with a version that the later job allows. The later job takes
//! these texts over.

use std::{
    cmp::Reverse,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::id::WeightVersion;

use crate::{
    job::{ItemState, Job, Phase},
    runner::{JobEngines, RunnerState},
};

/// Versions by which a job that repeats groups is ahead at least: a trainer has one job open beside
/// the one that it waits for.
pub(crate) const MIN_REPEAT_VERSION_GAP: WeightVersion = 2;
/// Least remaining time of a text that is generated ahead as well.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(1000);
/// Texts of a job that are generated ahead at a time, for each group that its caller need not wait for.
const MAX_SPECULATIVE_PER_GROUP: usize = 4;
/// Time after the end of a job for which texts are generated ahead on: the trainer trains, and asks for
/// the later job after that.
const SPECULATION_AFTER_END: Duration = Duration::from_millis(2500);
/// Urgency of a run ahead: all others come first.
pub(crate) const SPECULATIVE_PRIORITY: u8 = 9;

/// A running text as the choice of texts that are generated ahead sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpeculationCandidate {
    /// Events so far.
    pub events: u64,
    /// Expected time until it is complete.
    pub remaining_time: Duration,
    /// Whether the later job allows the versions of the text so far.
    pub is_reusable: bool,
}

/// Returns the indexes of at most `max_count` texts that should be generated ahead: those that have grown
/// longest, as long texts are likely to go on and hints tell little of them.
pub fn choose_speculative_texts(texts: &[SpeculationCandidate], max_count: usize) -> Vec<usize> {
    let is_long = |text: &SpeculationCandidate| {
        !text.is_reusable && text.remaining_time >= MIN_REMAINING_TIME
    };
    let mut long: Vec<usize> = (0..texts.len()).filter(|index| is_long(&texts[*index])).collect();
    long.sort_by_key(|index| Reverse(texts[*index].events));
    long.truncate(max_count);
    long
}

impl RunnerState {
    /// Chooses the texts of a job that are generated ahead, and ends those that are no longer of use.
    pub(crate) fn update_speculative_items(&self, job: &Job, engines: &JobEngines, now: Instant) {
        let required_groups = job.record.borrow().group_count;
        if required_groups == 0 {
            return;
        }
        let items = job.items.borrow();
        let mut speculative_items = job.speculative_items.borrow_mut();
        speculative_items.retain(|copy| {
            let original = items.iter().find(|item_state| item_state.item.id == copy.item.id);
            let is_needed = original.is_some_and(|item_state| item_state.phase.get().needs_text());
            if !is_needed {
                copy.migration_token.borrow().cancel();
            }
            is_needed
        });
        let min_version = self.speculative_min_version(job);
        let running = items.iter().filter(|item_state| {
            let has_copy = speculative_items.iter().any(|copy| copy.item.id == item_state.item.id);
            item_state.phase.get() == Phase::Running && !has_copy
        });
        let (runs, texts): (Vec<&Rc<ItemState>>, Vec<SpeculationCandidate>) = running
            .filter_map(|item_state| {
                let remaining_time = self.running_item(item_state, engines, now)?.remaining_time();
                let progress = item_state.progress.borrow();
                let (events, is_reusable) =
                    (progress.last_event, progress.meets_min_version(min_version));
                Some((item_state, SpeculationCandidate { events, remaining_time, is_reusable }))
            })
            .unzip();
        let max_count =
            job.total_groups.saturating_sub(required_groups) * MAX_SPECULATIVE_PER_GROUP;
        let chosen =
            choose_speculative_texts(&texts, max_count.saturating_sub(speculative_items.len()));
        let copy = |index: usize| Rc::new(ItemState::speculative(runs[index].item.clone()));
        speculative_items.extend(chosen.into_iter().map(copy));
    }

    /// Returns the oldest version that the job which repeats groups of this one will allow.
    pub(crate) fn speculative_min_version(&self, job: &Job) -> WeightVersion {
        job.record.borrow().min_version + self.repeat_version_gap.get()
    }

    /// Ends the texts that are generated ahead of a job some time after the job has stopped. Nothing of
    /// an ended job reaches an engine any more.
    pub(crate) async fn stop_speculation(self: Rc<Self>, job: Rc<Job>) {
        job.stop.cancelled().await;
        if job.is_ended() {
            for item_state in job
                .speculative_items
                .borrow()
                .iter()
                .filter(|item_state| !item_state.response_received.get())
            {
                item_state.migration_token.borrow().cancel();
            }
            monoio::time::sleep(SPECULATION_AFTER_END).await;
        }
        job.speculation_stop.cancel();
    }
}
