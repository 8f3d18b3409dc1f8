//! State of the steps, groups and samples of one job.

use std::time::Instant;

use deck_core::id::WeightVersion;

use crate::sample::{SampleKey, SampleText};

/// The start order of a step is computed again after this number of further finished samples.
const RESORT_INTERVAL_SAMPLES: u64 = 64;

/// Generation state of one sample.
#[derive(Debug)]
pub(super) enum SampleState {
    /// Waiting to start. `partial_text` is resumed if present; `not_before` delays a retry after a
    /// failed attempt.
    Waiting { partial_text: Option<SampleText>, not_before: Option<Instant> },
    /// A generation request is in progress.
    Running,
    /// Generation finished with this text.
    Done(SampleText),
}

impl SampleState {
    /// State of a sample without any text that may start immediately.
    pub(super) const WAITING: Self = Self::Waiting { partial_text: None, not_before: None };
}

/// One sample of a group; `epoch` changes whenever it restarts with empty text.
#[derive(Debug)]
pub(super) struct Sample {
    pub(super) state: SampleState,
    pub(super) epoch: u64,
}

/// Samples generated for the same prompt; they are scored and delivered together.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) samples: Vec<Sample>,
    /// Scores ordered by sample index. Invariant: present only if all samples are done.
    pub(super) scores: Option<Vec<f64>>,
    /// Epoch of the scoring task that is running or has finished.
    pub(super) scoring_epoch: Option<u64>,
    /// Whether the group was sent to the trainer at least once.
    pub(super) sent_to_trainer: bool,
    /// Whether the trainer has received the group, so its texts were freed.
    pub(super) received_by_trainer: bool,
}

impl Group {
    pub(super) fn new(samples: usize, epoch: u64) -> Self {
        let sample = || Sample { state: SampleState::WAITING, epoch };
        Self {
            samples: std::iter::repeat_with(sample).take(samples).collect(),
            scores: None,
            scoring_epoch: None,
            sent_to_trainer: false,
            received_by_trainer: false,
        }
    }

    /// Creates a group that the trainer has already received.
    pub(super) fn received_by_trainer(samples: usize, epoch: u64) -> Self {
        Self { received_by_trainer: true, ..Self::new(samples, epoch) }
    }

    /// Returns the texts of the finished samples.
    pub(super) fn finished_texts(&self) -> impl Iterator<Item = &SampleText> {
        self.samples.iter().filter_map(|sample| match &sample.state {
            SampleState::Done(text) => Some(text),
            _ => None,
        })
    }

    /// Returns the total size of the finished and partial texts.
    pub(super) fn text_bytes(&self) -> usize {
        let texts = self.samples.iter().filter_map(|sample| match &sample.state {
            SampleState::Done(text) | SampleState::Waiting { partial_text: Some(text), .. } => {
                Some(text)
            }
            _ => None,
        });
        texts.map(|text| text.text.len()).sum()
    }

    /// Returns whether no finished sample contains tokens of a version below `min_version`.
    pub(super) fn is_fresh(&self, min_version: WeightVersion) -> bool {
        self.finished_texts().all(|text| text.is_fresh(min_version))
    }

    /// Returns the texts ordered by sample index if all samples are done.
    pub(super) fn texts_if_complete(&self) -> Option<Vec<String>> {
        let texts: Vec<String> = self.finished_texts().map(|text| text.text.clone()).collect();
        (texts.len() == self.samples.len()).then_some(texts)
    }
}

/// All groups that one training step consumes.
#[derive(Debug)]
pub(super) struct StepState {
    pub(super) groups: Vec<Group>,
    /// Group numbers in the order in which they start.
    start_order: Vec<u32>,
    /// Number of samples the length predictor had recorded when `start_order` was last computed.
    sorted_at_sample_count: Option<u64>,
}

impl StepState {
    pub(super) fn new(groups: u32, group_size: u32, epoch: u64) -> Self {
        let group = || Group::new(group_size as usize, epoch);
        Self {
            groups: std::iter::repeat_with(group).take(groups as usize).collect(),
            start_order: (0..groups).collect(),
            sorted_at_sample_count: None,
        }
    }

    pub(super) fn sample_mut(&mut self, group: u32, index: u32) -> Option<&mut Sample> {
        self.groups.get_mut(group as usize)?.samples.get_mut(index as usize)
    }

    /// Sorts the groups by decreasing predicted length. Groups without a prediction come first.
    pub(super) fn sort_by_expected_length(
        &mut self,
        recorded_samples: u64,
        expected_tokens: impl Fn(u32) -> Option<f64>,
    ) {
        if self
            .sorted_at_sample_count
            .is_some_and(|at| recorded_samples - at < RESORT_INTERVAL_SAMPLES)
        {
            return;
        }
        self.sorted_at_sample_count = Some(recorded_samples);
        let length = |group: &u32| expected_tokens(*group).unwrap_or(f64::INFINITY);
        self.start_order.sort_by(|a, b| length(b).total_cmp(&length(a)).then_with(|| a.cmp(b)));
    }

    /// Returns the group and index of the first waiting sample in the start order that may start at
    /// `now`.
    pub(super) fn find_startable(&self, now: Instant) -> Option<(u32, u32)> {
        let may_start = |sample: &Sample| match &sample.state {
            SampleState::Waiting { not_before, .. } => not_before.is_none_or(|at| now >= at),
            _ => false,
        };
        self.start_order.iter().find_map(|number| {
            let group = &self.groups[*number as usize];
            let index =
                group.samples.iter().position(may_start).filter(|_| !group.received_by_trainer)?;
            Some((*number, index as u32))
        })
    }

    /// Returns the finished samples that contain tokens of a version below `min_version`.
    pub(super) fn stale_samples(&self, step: u64, min_version: WeightVersion) -> Vec<SampleKey> {
        let mut stale_samples = Vec::new();
        for (group, state) in (0..).zip(&self.groups) {
            for (index, sample) in (0..).zip(&state.samples) {
                if matches!(&sample.state, SampleState::Done(text) if !text.is_fresh(min_version)) {
                    stale_samples.push(SampleKey { step, group, index, epoch: sample.epoch });
                }
            }
        }
        stale_samples
    }
}
