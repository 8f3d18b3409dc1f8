//! Texts that are generated ahead for a later job.
//!
//! A trainer ends a step when enough groups are complete, and asks for the others again in a later
//! step, which allows only newer versions. The texts that decide when the first step ends are often
//! the longest ones, and would begin anew in the later step. So while a job waits for its last groups,
//! their texts are generated a second time on engines with a version that the later job allows, where
//! such an engine has a free slot.

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

impl Inner {
    /// Chooses the texts of a job that are generated ahead, those that have grown longest first, and
    /// ends those that are no longer of use.
    pub(crate) fn choose_ahead(&self, job: &Job, outlook: &JobOutlook, now: Instant) {
        let wanted = job.record.borrow().group_count;
        if wanted == 0 {
            return;
        }
        let later = self.later_version(job);
        let most = job.groups.saturating_sub(wanted) * TEXTS_PER_GROUP;
        let items = job.items.borrow();
        let mut ahead = job.ahead.borrow_mut();
        ahead.retain(|copy| {
            let is_open = |run: &Rc<ItemRun>| {
                run.item.id == copy.item.id && run.phase.get() == Phase::Running
            };
            let is_open = items.iter().any(is_open);
            if !is_open {
                copy.moving.borrow().cancel();
            }
            is_open
        });
        let is_long = |run: &&Rc<ItemRun>| {
            run.phase.get() == Phase::Running
                && !run.progress.borrow().fits(later)
                && ahead.iter().all(|copy| copy.item.id != run.item.id)
                && self
                    .running_item(run, outlook, now)
                    .is_some_and(|item| item.time_left() >= MIN_TIME_LEFT)
        };
        let mut long: Vec<&Rc<ItemRun>> = items.iter().filter(is_long).collect();
        long.sort_by_key(|run| Reverse(run.progress.borrow().last_event));
        long.truncate(most.saturating_sub(ahead.len()));
        ahead.extend(long.into_iter().map(|run| Rc::new(ItemRun::ahead(run.item.clone()))));
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
