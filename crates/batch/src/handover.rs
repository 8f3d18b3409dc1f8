//! Handing a running job to another node, with the text so far.

use std::{rc::Rc, time::Instant};

use deck_core::id::Revision;
use deck_fleet::{Item, ItemResult};
use serde::{Deserialize, Serialize};

use crate::{
    JobRecord,
    job::{ItemRun, Job, Phase, Progress},
};

/// A running job as it is handed to another node.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Handover {
    /// Record of the job.
    pub record: JobRecord,
    /// Revision of the record; the next runner changes it only if it still has this one.
    pub revision: Revision,
    /// Items without a result, and their progress.
    pub items: Vec<HandedItem>,
    /// Results at their positions.
    pub listed: Vec<ItemResult>,
    /// Chunks that hold them.
    pub chunks: usize,
    /// Results that are not stored yet.
    pub unlisted: Vec<ItemResult>,
}

/// An item without a result.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct HandedItem {
    /// The item.
    pub item: Item,
    /// Its text so far.
    pub progress: Progress,
    /// Failures that targets answered.
    pub failures: u32,
    /// Whether the text is complete and only has to be scored.
    pub complete: bool,
}

impl Handover {
    /// Returns the present state of a job.
    pub fn of(job: &Job) -> Self {
        let own = |results: &[Rc<ItemResult>]| results.iter().map(|r| (**r).clone()).collect();
        let items = job.items.borrow();
        let open = items.iter().filter(|run| run.phase.get() != Phase::Done);
        Self {
            record: job.record.borrow().clone(),
            revision: job.revision.get(),
            items: open.map(|run| HandedItem::of(run)).collect(),
            listed: own(&job.listed.borrow()),
            chunks: job.chunks.get(),
            unlisted: own(&job.unlisted.borrow()),
        }
    }

    /// Returns the job as the next runner goes on with it, under its new record.
    pub fn into_job(self, id: String, record: JobRecord, revision: Revision) -> Job {
        let unlisted: Vec<Rc<ItemResult>> = self.unlisted.into_iter().map(Rc::new).collect();
        let mut job = Job::new(id, record, revision, Vec::new());
        // The earlier runner may have stored a last chunk whose answer it did not see.
        job.taken_over_at = Some(Instant::now());
        job.groups = groups(&self.items, job.groups);
        job.items
            .replace(self.items.into_iter().map(|handed| Rc::new(handed.into_run())).collect());
        job.listed.replace(self.listed.into_iter().map(Rc::new).collect());
        job.chunks.set(self.chunks);
        job.positions.send_replace(job.listed.borrow().len());
        if !unlisted.is_empty() {
            job.unlisted.replace(unlisted);
            job.finished.notify_one();
        }
        job
    }
}

/// Returns the number of groups among the open items; those that are complete no longer matter.
fn groups(items: &[HandedItem], known: usize) -> usize {
    let open: std::collections::HashSet<_> = items.iter().map(|item| &item.item.group).collect();
    open.len().max(known)
}

impl HandedItem {
    fn of(run: &ItemRun) -> Self {
        Self {
            item: run.item.clone(),
            progress: run.progress.borrow().clone(),
            failures: run.failures.get(),
            complete: matches!(run.phase.get(), Phase::Complete | Phase::Scoring),
        }
    }

    fn into_run(self) -> ItemRun {
        let run = ItemRun::new(self.item);
        run.progress.replace(self.progress);
        run.failures.set(self.failures);
        if self.complete {
            run.enter(Phase::Complete);
        }
        run
    }
}
