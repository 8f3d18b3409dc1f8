//! Hand-over of groups and what the trainer confirms.

use deck_core::{id::JobName, object::sample_id};

use super::{
    Board,
    group::{Group, Slot},
};
use crate::protocol::{GroupDelivery, SampleDelivery};

impl Board {
    /// Returns the whole, scored and fresh groups of the trainer's step that it does not hold.
    ///
    /// At most `max_bytes` of text, but always one group if there is any.
    pub fn ready_groups(&mut self, max_bytes: usize) -> Vec<GroupDelivery> {
        let Some(trainer) = self.trainer.clone() else { return Vec::new() };
        let bound = self.spec.staleness_bound_versions;
        let required = trainer.version.saturating_sub(bound);
        let mut bytes = 0;
        let mut ready = Vec::new();
        let Some(step) = self.steps.get_mut(&trainer.step) else { return ready };
        for (number, group) in step.groups.iter_mut().enumerate() {
            let number = number as u32;
            if trainer.held.contains(number) || !group.is_fresh(required) {
                continue;
            }
            let Some(scores) = &group.scores else { continue };
            let size = group.text_bytes();
            if !ready.is_empty() && bytes + size > max_bytes {
                break;
            }
            bytes += size;
            let samples = deliveries(&self.job, trainer.step, number, group, scores);
            self.stats.note_staleness(trainer.version, group);
            group.handed_over = true;
            ready.push(GroupDelivery { group: number, samples });
        }
        ready
    }

    /// Frees the groups that the trainer holds, and starts a group again that it lost.
    pub(super) fn apply_held(&mut self) {
        let Some(trainer) = &self.trainer else { return };
        let Some(step) = self.steps.get_mut(&trainer.step) else { return };
        for (number, group) in step.groups.iter_mut().enumerate() {
            let held = trainer.held.contains(number as u32);
            if held && !group.freed {
                self.buffered_bytes = self.buffered_bytes.saturating_sub(group.text_bytes());
                self.stats.confirm(group);
                self.last_epoch += 1;
                *group = Group::freed(group.samples.len(), self.last_epoch);
            } else if !held && group.freed {
                self.last_epoch += 1;
                *group = Group::new(group.samples.len(), self.last_epoch);
            }
        }
    }

    /// Counts what was handed over of the steps that the trainer has left: it holds all of it.
    pub(super) fn confirm_finished_steps(&mut self, next: u64) {
        for (_, step) in self.steps.range(..next) {
            step.groups.iter().filter(|g| g.handed_over).for_each(|g| self.stats.confirm(g));
        }
    }
}

fn deliveries(
    job: &JobName,
    step: u64,
    number: u32,
    group: &Group,
    scores: &[f64],
) -> Vec<SampleDelivery> {
    let texts = group.samples.iter().filter_map(|sample| match &sample.slot {
        Slot::Done(text) => Some(text),
        _ => None,
    });
    let scored = texts.zip(scores).enumerate();
    scored
        .map(|(index, (text, score))| SampleDelivery {
            id: sample_id(job, step, number, index as u32),
            index: index as u32,
            text: text.text.clone(),
            token_count: text.token_count,
            score: *score,
            spans: text.spans.clone(),
        })
        .collect()
}
