//! Steps, groups and samples of a board.

use std::time::Instant;

use deck_core::id::WeightVersion;

use crate::sample::{SampleKey, SampleText};

/// Number of recorded samples after which the order of a step is made anew.
const RESORT_SAMPLES: u64 = 64;

/// State of one sample.
#[derive(Debug)]
pub(super) enum Slot {
    /// To be started, not before a moment if the last attempt failed.
    Waiting { partial: Option<SampleText>, not_before: Option<Instant> },
    /// A task generates it.
    Running,
    /// Finished.
    Done(SampleText),
}

impl Slot {
    pub(super) const WAITING: Self = Self::Waiting { partial: None, not_before: None };
}

#[derive(Debug)]
pub(super) struct Sample {
    pub(super) slot: Slot,
    pub(super) epoch: u64,
}

#[derive(Debug)]
pub(super) struct Group {
    pub(super) samples: Vec<Sample>,
    /// Scores in the order of the samples. Invariant: present only if all samples are done.
    pub(super) scores: Option<Vec<f64>>,
    /// Epoch of the scoring that is under way or finished.
    pub(super) score_epoch: Option<u64>,
    /// Sent to the trainer at least once.
    pub(super) handed_over: bool,
    /// The trainer holds the group and its texts were freed.
    pub(super) freed: bool,
}

impl Group {
    pub(super) fn new(samples: usize, epoch: u64) -> Self {
        let sample = || Sample { slot: Slot::WAITING, epoch };
        Self {
            samples: std::iter::repeat_with(sample).take(samples).collect(),
            scores: None,
            score_epoch: None,
            handed_over: false,
            freed: false,
        }
    }

    /// Returns a group that the trainer holds.
    pub(super) fn freed(samples: usize, epoch: u64) -> Self {
        Self { freed: true, ..Self::new(samples, epoch) }
    }

    pub(super) fn done(&self) -> impl Iterator<Item = &SampleText> {
        self.samples.iter().filter_map(|sample| match &sample.slot {
            Slot::Done(text) => Some(text),
            _ => None,
        })
    }

    pub(super) fn text_bytes(&self) -> usize {
        let texts = self.samples.iter().filter_map(|sample| match &sample.slot {
            Slot::Done(text) | Slot::Waiting { partial: Some(text), .. } => Some(text),
            _ => None,
        });
        texts.map(|text| text.text.len()).sum()
    }

    pub(super) fn is_fresh(&self, required: WeightVersion) -> bool {
        self.done().all(|text| text.is_fresh(required))
    }

    /// Returns the texts if all samples are done.
    pub(super) fn complete_texts(&self) -> Option<Vec<String>> {
        let texts: Vec<String> = self.done().map(|text| text.text.clone()).collect();
        (texts.len() == self.samples.len()).then_some(texts)
    }
}

#[derive(Debug)]
pub(super) struct Step {
    pub(super) groups: Vec<Group>,
    /// Groups in the order in which they start.
    order: Vec<u32>,
    /// Samples recorded by the length model when the order was made.
    sorted_at: Option<u64>,
}

impl Step {
    pub(super) fn new(groups: u32, group_size: u32, epoch: u64) -> Self {
        let group = || Group::new(group_size as usize, epoch);
        Self {
            groups: std::iter::repeat_with(group).take(groups as usize).collect(),
            order: (0..groups).collect(),
            sorted_at: None,
        }
    }

    pub(super) fn sample_mut(&mut self, group: u32, index: u32) -> Option<&mut Sample> {
        self.groups.get_mut(group as usize)?.samples.get_mut(index as usize)
    }

    /// Orders the groups by falling expected length, unknown ones first.
    pub(super) fn sort_by_expected_length(
        &mut self,
        recorded: u64,
        expected: impl Fn(u32) -> Option<f64>,
    ) {
        if self.sorted_at.is_some_and(|at| recorded - at < RESORT_SAMPLES) {
            return;
        }
        self.sorted_at = Some(recorded);
        let length = |group: &u32| expected(*group).unwrap_or(f64::INFINITY);
        self.order.sort_by(|a, b| length(b).total_cmp(&length(a)).then_with(|| a.cmp(b)));
    }

    /// Returns the first sample in the order that waits and may start at `now`.
    pub(super) fn find_waiting(&self, now: Instant) -> Option<(u32, u32)> {
        let may_start = |sample: &Sample| match &sample.slot {
            Slot::Waiting { not_before, .. } => not_before.is_none_or(|at| now >= at),
            _ => false,
        };
        self.order.iter().find_map(|number| {
            let group = &self.groups[*number as usize];
            let index = group.samples.iter().position(may_start).filter(|_| !group.freed)?;
            Some((*number, index as u32))
        })
    }

    /// Returns the finished samples that have a version below `required`.
    pub(super) fn stale_samples(&self, step: u64, required: WeightVersion) -> Vec<SampleKey> {
        let mut stale = Vec::new();
        for (group, state) in (0..).zip(&self.groups) {
            for (index, sample) in (0..).zip(&state.samples) {
                if matches!(&sample.slot, Slot::Done(text) if !text.is_fresh(required)) {
                    stale.push(SampleKey { step, group, index, epoch: sample.epoch });
                }
            }
        }
        stale
    }
}
