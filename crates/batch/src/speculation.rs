//! Speculative generation of texts for a later job.
//!
//! A trainer ends a step once enough groups are complete, and submits the unfinished groups again
//! in a later step that accepts only newer weight versions. The unfinished texts are usually the
//! longest ones, and they would have to start from scratch in that step. To avoid this, the longest
//! running texts are generated a second time, on engines whose version the later job accepts. The
//! later job then reuses these texts.

use std::{
    cmp::Reverse,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::id::WeightVersion;

use crate::{
    job::{ItemPhase, ItemState, Job},
    runner::{JobEngines, RunnerState},
};

/// Minimum difference between the minimum versions of a job and of the later job that repeats its
/// groups. At least two, because a trainer submits the next job before the job that it waits for
/// has ended.
pub(crate) const MIN_REPEAT_VERSION_GAP: WeightVersion = 2;
/// Minimum remaining time of a running text for a speculative copy.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(1000);
/// Maximum number of concurrent speculative copies per group that the caller does not need to wait
/// for.
const MAX_SPECULATIVE_PER_GROUP: usize = 4;
/// How long speculative runs continue after their job has ended. The trainer submits the later job
/// only after its training phase.
const SPECULATION_AFTER_END: Duration = Duration::from_millis(2500);
/// Request priority of speculative runs: lower than that of all other requests.
pub(crate) const SPECULATIVE_PRIORITY: u8 = 9;

/// A running text that may get a speculative copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpeculationCandidate {
    /// Number of events generated so far.
    pub events: u64,
    /// Expected time until the text is complete.
    pub remaining_time: Duration,
    /// Whether the later job accepts all versions that have generated the text so far.
    pub is_reusable: bool,
}

/// Returns the indexes of at most `max_count` texts to copy, longest first. A text that is long
/// already is likely to stay long, whereas length hints predict this poorly.
pub fn choose_speculative_texts(
    candidates: &[SpeculationCandidate],
    max_count: usize,
) -> Vec<usize> {
    let is_eligible = |candidate: &SpeculationCandidate| {
        !candidate.is_reusable && candidate.remaining_time >= MIN_REMAINING_TIME
    };
    let mut eligible: Vec<usize> =
        (0..candidates.len()).filter(|index| is_eligible(&candidates[*index])).collect();
    eligible.sort_by_key(|index| Reverse(candidates[*index].events));
    eligible.truncate(max_count);
    eligible
}

impl RunnerState {
    /// Starts speculative copies for the longest running texts of a job, and cancels the copies
    /// whose originals are complete.
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
        let without_copy = items.iter().filter(|item_state| {
            let has_copy = speculative_items.iter().any(|copy| copy.item.id == item_state.item.id);
            item_state.phase.get() == ItemPhase::Running && !has_copy
        });
        let (running_items, candidates): (Vec<&Rc<ItemState>>, Vec<SpeculationCandidate>) =
            without_copy
                .filter_map(|item_state| {
                    let remaining_time =
                        self.running_item(item_state, engines, now)?.remaining_time();
                    let progress = item_state.progress.borrow();
                    let (events, is_reusable) =
                        (progress.last_event, progress.meets_min_version(min_version));
                    Some((item_state, SpeculationCandidate { events, remaining_time, is_reusable }))
                })
                .unzip();
        let max_count =
            job.total_groups.saturating_sub(required_groups) * MAX_SPECULATIVE_PER_GROUP;
        let selected = choose_speculative_texts(
            &candidates,
            max_count.saturating_sub(speculative_items.len()),
        );
        let copy =
            |index: usize| Rc::new(ItemState::speculative(running_items[index].item.clone()));
        speculative_items.extend(selected.into_iter().map(copy));
    }

    /// Returns the minimum version that the later job with the same groups is expected to require.
    pub(crate) fn speculative_min_version(&self, job: &Job) -> WeightVersion {
        job.record.borrow().min_version + self.repeat_version_gap.get()
    }

    /// Stops the speculative runs of a job: some time after its end, otherwise with the job. Copies
    /// that no engine has answered yet are cancelled at once, because an ended job must not send new
    /// requests to engines.
    pub(crate) async fn stop_speculation(self: Rc<Self>, job: Rc<Job>) {
        job.stop_token.cancelled().await;
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
        job.speculation_stop_token.cancel();
    }
}
