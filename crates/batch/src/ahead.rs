//! Texts that are generated ahead for a later job.
//!
//! A trainer ends a step when enough groups are complete, and asks for the others again in a later
//! step, which allows only newer versions. The texts that decide when the first step ends are often
//! the longest ones, and would begin anew in the later step. So while a job waits for its last groups,
//! their texts are generated a second time on engines with a version that the later job allows, where
//! such an engine has a free slot.

use std::{
    collections::HashSet,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::id::{RequestId, WeightVersion};

use crate::{
    dispatch::{Candidate, Waiting, choose},
    job::{ItemRun, Job, Phase},
    run,
    runner::{Inner, JobOutlook},
};

/// Versions by which a job that repeats groups is ahead at least: a trainer has one job open beside
/// the one that it waits for.
pub(crate) const MIN_REPEAT_LEAD: WeightVersion = 2;
/// Least remaining time of a text that is generated ahead as well.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1000);
/// Open groups, compared with those that the caller need not wait for, up to which texts are generated
/// ahead.
const OPEN_GROUPS_FACTOR: usize = 4;
/// Time after the end of a job for which texts are generated ahead on: the trainer trains, and asks for
/// the later job after that.
const AFTER_END: Duration = Duration::from_millis(2500);
/// Urgency of a run ahead: all others come first.
pub(crate) const AHEAD_PRIORITY: u8 = 9;

impl Job {
    /// Returns the items of the last open groups, or none if many groups are open or the caller waits
    /// for all.
    fn last_items(&self) -> Vec<Rc<ItemRun>> {
        let wanted = self.record.borrow().group_count;
        let items = self.items.borrow();
        let open: Vec<&Rc<ItemRun>> =
            items.iter().filter(|run| run.phase.get() != Phase::Done).collect();
        let groups: HashSet<_> = open.iter().map(|run| &run.item.group).collect();
        let unneeded = self.groups.saturating_sub(wanted);
        if wanted == 0 || groups.len() > unneeded * OPEN_GROUPS_FACTOR {
            return Vec::new();
        }
        open.into_iter().cloned().collect()
    }

    /// Returns the text of an item that was generated ahead.
    pub(crate) fn text_ahead(&self, id: &RequestId) -> Option<Rc<ItemRun>> {
        self.ahead.borrow().iter().find(|run| run.item.id == *id).cloned()
    }
}

impl Inner {
    /// Begins to generate texts of a job ahead where engines are free, and ends those that are no
    /// longer of use.
    pub(crate) fn generate_ahead(
        self: &Rc<Self>,
        job: &Rc<Job>,
        outlook: &mut JobOutlook,
        now: Instant,
    ) {
        let last = job.last_items();
        job.ahead.borrow_mut().retain(|copy| {
            let is_open = last.iter().any(|run| run.item.id == copy.item.id);
            if !is_open {
                copy.moving.borrow().cancel();
            }
            is_open
        });
        let later = outlook.min_version + self.repeat_lead.get();
        for run in last.iter().filter(|run| run.phase.get() == Phase::Running) {
            if run.progress.borrow().fits(later) {
                continue;
            }
            let copy = job.text_ahead(&run.item.id);
            if copy.as_ref().is_some_and(|copy| copy.phase.get() != Phase::Waiting) {
                continue;
            }
            let item = self.running_item(run, outlook, now);
            if item.is_none_or(|item| item.time_left() < MIN_TIME_LEFT) {
                continue;
            }
            let waiting = Waiting { min_version: later, ..self.waiting(job, run, 0, now) };
            let own: Vec<Candidate> =
                outlook.candidates.iter().filter(|c| !c.follows_other).cloned().collect();
            let Some(index) = choose(&waiting, &own, None) else { return };
            let Some(target) = self.parts.view.target(&own[index].target) else { return };
            let chosen = outlook.candidates.iter_mut().find(|c| c.target == target.id);
            if let Some(chosen) = chosen {
                chosen.running += 1;
            }
            let copy = copy.unwrap_or_else(|| {
                let copy = Rc::new(ItemRun::ahead(run.item.clone()));
                job.ahead.borrow_mut().push(copy.clone());
                copy
            });
            copy.enter(Phase::Running);
            log::info!(target: "batch", "text ahead item={} job={} target={}", run.item.id, job.id, target.id);
            let guard = self.parts.engines.start_run(&target);
            monoio::spawn(run::run_item(self.clone(), job.clone(), copy, target, guard));
        }
    }

    /// Ends the texts that are generated ahead of a job some time after the job has stopped.
    pub(crate) async fn end_ahead(self: Rc<Self>, job: Rc<Job>) {
        job.stop.cancelled().await;
        if job.is_ended() {
            monoio::time::sleep(AFTER_END).await;
        }
        job.ahead_stop.cancel();
    }
}
