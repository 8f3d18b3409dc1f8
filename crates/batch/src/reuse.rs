//! Texts of items that a later job asks for again.
//!
//! A trainer ends a job when it has enough groups; the groups that were not complete may come again
//! in a later job, under the same ids.

use std::{collections::HashMap, rc::Rc};

use deck_core::id::RequestId;
use deck_fleet::{ItemOutcome, ItemResult};

use crate::{
    job::{ItemRun, Job, Phase, Progress},
    runner::Runner,
};

impl Runner {
    /// Gives the items of a new job the texts that earlier jobs of this node have of them, where
    /// their versions are allowed.
    pub(crate) fn reuse_texts(&self, job: &Job) {
        let items = job.items.borrow();
        let wanted: HashMap<&RequestId, &Rc<ItemRun>> =
            items.iter().map(|run| (&run.item.id, run)).collect();
        let (mut repeated, mut reused, mut ahead) = (0, 0, 0);
        let jobs = self.inner.jobs.borrow();
        let over = |earlier: &&Rc<Job>| earlier.stop.is_cancelled() || earlier.is_complete();
        for earlier in jobs.values().filter(|earlier| earlier.id != job.id).filter(over) {
            if earlier.record.borrow().model != job.record.borrow().model {
                continue;
            }
            let known_repeated = repeated;
            let wanted = |id: &RequestId| {
                let run = wanted.get(id)?;
                (job.requests.get(id) == earlier.requests.get(id)).then_some(run)
            };
            let (items, copies) = (earlier.items.borrow(), earlier.ahead.borrow());
            for known in items.iter().chain(copies.iter()) {
                let Some(run) = wanted(&known.item.id) else { continue };
                let complete = matches!(known.phase.get(), Phase::Complete | Phase::Scoring);
                let progress = known.progress.borrow();
                let is_taken = progress.last_event > 0 && take(job, run, &progress, complete);
                if known.is_ahead {
                    ahead += usize::from(is_taken);
                    known.moving.borrow().cancel();
                } else {
                    repeated += 1;
                    reused += usize::from(is_taken);
                }
            }
            if repeated > known_repeated {
                let min_version = |job: &Job| job.record.borrow().min_version;
                let lead = min_version(job).saturating_sub(min_version(earlier));
                self.inner.repeat_lead.set(self.inner.repeat_lead.get().max(lead));
            }
            let (listed, unlisted) = (earlier.listed.borrow(), earlier.unlisted.borrow());
            for result in listed.iter().chain(unlisted.iter()) {
                let Some(run) = wanted(&result.item) else { continue };
                repeated += 1;
                if result.outcome == ItemOutcome::Completed {
                    reused += usize::from(take(job, run, &whole(result), true));
                }
            }
        }
        if repeated > 0 {
            log::info!(target: "batch", "items come again job={} items={repeated} texts_reused={reused} ahead={ahead}", job.id);
        }
    }
}

/// Returns the progress of a complete text, whose events no longer matter.
fn whole(result: &ItemResult) -> Progress {
    let versions = result.versions.iter().copied().collect();
    Progress { text: result.text.clone(), versions, ..Progress::default() }
}

/// Gives an item an earlier text if it may be part of the job and is longer than what the item has.
fn take(job: &Job, run: &ItemRun, earlier: &Progress, complete: bool) -> bool {
    let (min_version, single) = {
        let record = job.record.borrow();
        (record.min_version, record.limits.single_version)
    };
    let fits = earlier.fits(min_version) && (!single || earlier.versions.len() == 1);
    let longer = complete || earlier.last_event > run.progress.borrow().last_event;
    if run.phase.get() != Phase::Waiting || !fits || !longer {
        return false;
    }
    run.progress.replace(earlier.clone());
    if complete {
        run.enter(Phase::Complete);
    }
    true
}
