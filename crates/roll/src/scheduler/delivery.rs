//! Delivery of groups to the trainer and tracking of the groups that it confirms.

use deck_core::{id::JobName, object::sample_id};

use super::{
    SampleScheduler,
    group::{Group, SampleState},
};
use crate::protocol::{GroupDelivery, SampleDelivery};

impl SampleScheduler {
    /// Returns the complete, scored and fresh groups of the trainer's step that the trainer has not
    /// received.
    ///
    /// The total text size is at most `max_bytes`, except that a single larger group is returned
    /// alone.
    pub fn deliverable_groups(&mut self, max_bytes: usize) -> Vec<GroupDelivery> {
        let Some(trainer) = self.trainer.clone() else { return Vec::new() };
        let staleness_bound = self.spec.staleness_bound_versions;
        let oldest_allowed_version = trainer.version.saturating_sub(staleness_bound);
        let mut bytes = 0;
        let mut deliveries = Vec::new();
        let Some(step) = self.steps.get_mut(&trainer.step) else { return deliveries };
        for (group_number, group) in step.groups.iter_mut().enumerate() {
            let group_number = group_number as u32;
            if trainer.received_groups.contains(group_number)
                || !group.is_fresh(oldest_allowed_version)
            {
                continue;
            }
            let Some(scores) = &group.scores else { continue };
            let group_bytes = group.text_bytes();
            if !deliveries.is_empty() && bytes + group_bytes > max_bytes {
                break;
            }
            bytes += group_bytes;
            let samples = build_deliveries(&self.job, trainer.step, group_number, group, scores);
            self.stats.record_staleness(trainer.version, group);
            group.sent_to_trainer = true;
            deliveries.push(GroupDelivery { group: group_number, samples });
        }
        deliveries
    }

    /// Frees the texts of groups that the trainer has received, and restarts groups that it no
    /// longer reports as received.
    pub(super) fn apply_received_groups(&mut self) {
        let Some(trainer) = &self.trainer else { return };
        let Some(step) = self.steps.get_mut(&trainer.step) else { return };
        for (group_number, group) in step.groups.iter_mut().enumerate() {
            let is_received = trainer.received_groups.contains(group_number as u32);
            if is_received && !group.received_by_trainer {
                self.buffered_bytes = self.buffered_bytes.saturating_sub(group.text_bytes());
                self.stats.record_delivered(group);
                self.last_epoch += 1;
                *group = Group::received_by_trainer(group.samples.len(), self.last_epoch);
            } else if !is_received && group.received_by_trainer {
                self.last_epoch += 1;
                *group = Group::new(group.samples.len(), self.last_epoch);
            }
        }
    }

    /// Counts the groups sent in steps before `next_step` as delivered: the trainer moves on only
    /// when it has received the whole step.
    pub(super) fn record_steps_as_delivered(&mut self, next_step: u64) {
        for (_, step) in self.steps.range(..next_step) {
            step.groups
                .iter()
                .filter(|g| g.sent_to_trainer)
                .for_each(|g| self.stats.record_delivered(g));
        }
    }
}

/// Combines the texts and scores of a group into the samples of a pull response.
fn build_deliveries(
    job: &JobName,
    step: u64,
    group_number: u32,
    group: &Group,
    scores: &[f64],
) -> Vec<SampleDelivery> {
    let texts = group.samples.iter().filter_map(|sample| match &sample.state {
        SampleState::Done(text) => Some(text),
        _ => None,
    });
    let scored = texts.zip(scores).enumerate();
    scored
        .map(|(index, (text, score))| SampleDelivery {
            id: sample_id(job, step, group_number, index as u32),
            index: index as u32,
            text: text.text.clone(),
            token_count: text.token_count,
            score: *score,
            spans: text.spans.clone(),
        })
        .collect()
}
