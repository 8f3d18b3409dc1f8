//! Reuse of texts that earlier jobs have generated for the same items.
//!
//! A trainer ends a job once enough groups are complete, and may submit the unfinished groups again
//! in a later job under the same item ids.

use std::{collections::HashMap, rc::Rc};

use deck_core::id::RequestId;
use deck_fleet::{ItemOutcome, ItemResult};

use crate::{
    JobRecord,
    job::{ItemPhase, ItemState, Job, Progress},
    runner::Runner,
};

impl Runner {
    /// Copies texts from earlier jobs on this node to the items of a new job, if the requests match
    /// and the new job accepts the versions.
    pub(crate) fn reuse_texts(&self, job: &Job) {
        let items = job.items.borrow();
        let new_items: HashMap<&RequestId, &Rc<ItemState>> =
            items.iter().map(|item_state| (&item_state.item.id, item_state)).collect();
        let (mut repeated, mut reused, mut speculative_reused) = (0, 0, 0);
        let jobs = self.inner.jobs.borrow();
        let is_finished = |earlier_job: &&Rc<Job>| {
            earlier_job.stop_token.is_cancelled() || earlier_job.is_complete()
        };
        for earlier_job in
            jobs.values().filter(|earlier_job| earlier_job.id != job.id).filter(is_finished)
        {
            let (earlier_record, record) = (earlier_job.record.borrow(), job.record.borrow());
            let owner_and_model =
                |record: &JobRecord| (record.organisation.clone(), record.model.clone());
            if owner_and_model(&earlier_record) != owner_and_model(&record) {
                continue;
            }
            drop((earlier_record, record));
            let repeated_before = repeated;
            let matching_item = |id: &RequestId| {
                let item_state = new_items.get(id)?;
                (job.request_hashes.get(id) == earlier_job.request_hashes.get(id))
                    .then_some(item_state)
            };
            let (items, speculative_items) =
                (earlier_job.items.borrow(), earlier_job.speculative_items.borrow());
            for earlier_item in items.iter().chain(speculative_items.iter()) {
                let Some(item_state) = matching_item(&earlier_item.item.id) else { continue };
                let is_complete =
                    matches!(earlier_item.phase.get(), ItemPhase::Generated | ItemPhase::Scoring);
                let progress = earlier_item.progress.borrow();
                let is_reused =
                    progress.last_event > 0 && reuse_text(job, item_state, &progress, is_complete);
                if earlier_item.is_speculative {
                    speculative_reused += usize::from(is_reused);
                    earlier_item.migration_token.borrow().cancel();
                } else {
                    repeated += 1;
                    reused += usize::from(is_reused);
                }
            }
            if repeated > repeated_before {
                let min_version = |job: &Job| job.record.borrow().min_version;
                let version_gap = min_version(job).saturating_sub(min_version(earlier_job));
                self.inner
                    .repeat_version_gap
                    .set(self.inner.repeat_version_gap.get().max(version_gap));
            }
            let (published_results, unpublished_results) =
                (earlier_job.published_results.borrow(), earlier_job.unpublished_results.borrow());
            for result in published_results.iter().chain(unpublished_results.iter()) {
                let Some(item_state) = matching_item(&result.item) else { continue };
                repeated += 1;
                if result.outcome == ItemOutcome::Completed {
                    reused +=
                        usize::from(reuse_text(job, item_state, &completed_progress(result), true));
                }
            }
        }
        if repeated > 0 {
            log::info!(target: "batch", "items come again job={} items={repeated} texts_reused={reused} ahead={speculative_reused}", job.id);
        }
    }
}

/// Returns the progress of a complete text without event positions, which are only needed to resume
/// a text.
fn completed_progress(result: &ItemResult) -> Progress {
    let versions = result.versions.iter().copied().collect();
    Progress { text: result.text.clone(), versions, ..Progress::default() }
}

/// Replaces an item's text with an earlier one. Returns false if the job does not accept the
/// versions, the item is not waiting, or the earlier text is not longer.
fn reuse_text(
    job: &Job,
    item_state: &ItemState,
    earlier_progress: &Progress,
    is_complete: bool,
) -> bool {
    let (min_version, single_version) = {
        let record = job.record.borrow();
        (record.min_version, record.limits.single_version)
    };
    let accepts_versions = earlier_progress.meets_min_version(min_version)
        && (!single_version || earlier_progress.versions.len() == 1);
    let is_longer =
        is_complete || earlier_progress.last_event > item_state.progress.borrow().last_event;
    if item_state.phase.get() != ItemPhase::Waiting || !accepts_versions || !is_longer {
        return false;
    }
    item_state.progress.replace(earlier_progress.clone());
    if is_complete {
        item_state.set_phase(ItemPhase::Generated);
    }
    true
}
