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
    job::{ItemRun, Job, Phase},
    runner::{Inner, JobOutlook},
};

/// Versions by which a job that repeats groups is ahead at least: a trainer has one job open beside
/// the one that it waits for.
pub(crate) const MIN_REPEAT_LEAD: WeightVersion = 2;
/// Least remaining time of a text that is generated ahead as well.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1000);
/// Texts of a job that are generated ahead at a time, for each group that its caller need not wait for.
const TEXTS_PER_GROUP: usize = 4;
/// Time after the end of a job for which texts are generated ahead on: the trainer trains, and asks for
/// the later job after that.
const AFTER_END: Duration = Duration::from_millis(2500);
/// Urgency of a run ahead: all others come first.
pub(crate) const AHEAD_PRIORITY: u8 = 9;

/// A running text as the choice of texts that are generated ahead sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningText {
    /// Events so far.
    pub events: u64,
    /// Expected time until it is complete.
    pub time_left: Duration,
    /// Whether the later job allows the versions of the text so far.
    pub is_reusable: bool,
}

/// Returns the indexes of at most `most` texts that should be generated ahead: those that have grown
/// longest, as long texts are likely to go on and hints tell little of them.
pub fn choose_texts(texts: &[RunningText], most: usize) -> Vec<usize> {
    let is_long = |text: &RunningText| !text.is_reusable && text.time_left >= MIN_TIME_LEFT;
    let mut long: Vec<usize> = (0..texts.len()).filter(|index| is_long(&texts[*index])).collect();
    long.sort_by_key(|index| Reverse(texts[*index].events));
    long.truncate(most);
    long
}

impl Inner {
    /// Chooses the texts of a job that are generated ahead, and ends those that are no longer of use.
    pub(crate) fn choose_ahead(&self, job: &Job, outlook: &JobOutlook, now: Instant) {
        let wanted = job.record.borrow().group_count;
        if wanted == 0 {
            return;
        }
        let items = job.items.borrow();
        let mut ahead = job.ahead.borrow_mut();
        ahead.retain(|copy| {
            let open = items.iter().find(|run| run.item.id == copy.item.id);
            let is_open = open.is_some_and(|run| run.phase.get().needs_text());
            if !is_open {
                copy.moving.borrow().cancel();
            }
            is_open
        });
        let later = self.later_version(job);
        let running = items.iter().filter(|run| {
            let is_ahead = ahead.iter().any(|copy| copy.item.id == run.item.id);
            run.phase.get() == Phase::Running && !is_ahead
        });
        let (runs, texts): (Vec<&Rc<ItemRun>>, Vec<RunningText>) = running
            .filter_map(|run| {
                let time_left = self.running_item(run, outlook, now)?.time_left();
                let progress = run.progress.borrow();
                let (events, is_reusable) = (progress.last_event, progress.fits(later));
                Some((run, RunningText { events, time_left, is_reusable }))
            })
            .unzip();
        let most = job.groups.saturating_sub(wanted) * TEXTS_PER_GROUP;
        let chosen = choose_texts(&texts, most.saturating_sub(ahead.len()));
        let copy = |index: usize| Rc::new(ItemRun::ahead(runs[index].item.clone()));
        ahead.extend(chosen.into_iter().map(copy));
    }

    /// Returns the oldest version that the job which repeats groups of this one will allow.
    pub(crate) fn later_version(&self, job: &Job) -> WeightVersion {
        job.record.borrow().min_version + self.repeat_lead.get()
    }

    /// Ends the texts that are generated ahead of a job some time after the job has stopped. Nothing of
    /// an ended job reaches an engine any more.
    pub(crate) async fn end_ahead(self: Rc<Self>, job: Rc<Job>) {
        job.stop.cancelled().await;
        if job.is_ended() {
            for run in job.ahead.borrow().iter().filter(|run| !run.answered.get()) {
                run.moving.borrow().cancel();
            }
            monoio::time::sleep(AFTER_END).await;
        }
        job.ahead_stop.cancel();
    }
}
