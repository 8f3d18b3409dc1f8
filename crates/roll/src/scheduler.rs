//! Sample scheduling for one rollout job: tracks its steps, groups and samples while this VM owns
//! the job.
//!
//! The scheduler decides which sample starts next, which samples are stale and which groups can be
//! delivered. It performs no I/O: the caller runs the requests and passes the current time to each
//! method.

mod delivery;
mod group;
mod stats;

use std::{collections::BTreeMap, rc::Rc, time::Instant};

use deck_core::{
    id::{JobName, WeightVersion},
    object::RolloutJob,
};

use self::group::{Group, SampleState, StepState};
pub use self::stats::SchedulerStats;
use crate::{
    bitmap::GroupBitmap,
    forecast::TrainerVersionForecast,
    length::LengthPredictor,
    options::SampleSchedulerOptions,
    sample::{SampleKey, SampleText},
    version_distribution::VersionDistribution,
};

/// Share of recently generated tokens that must come from sufficiently new weights before samples
/// of later steps may start. While a weight update rolls out, engines that still run old weights
/// would produce samples that are stale by the time their step is collected.
const MIN_FRESH_SHARE_FOR_LOOK_AHEAD: f64 = 0.9;
/// Samples of later steps are abandoned because of the version forecast only up to this number of
/// tokens. The forecast can be wrong, so longer samples continue.
const MAX_TOKENS_FOR_EARLY_ABANDON: u32 = 32;

/// State that the trainer reported in its latest pull.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrainerState {
    /// Training step for which the trainer is collecting samples.
    pub step: u64,
    /// Version of the trainer's weights.
    pub version: WeightVersion,
    /// Groups of `step` that the trainer has already received.
    pub received_groups: GroupBitmap,
}

/// A sample to be generated, with the input of the generation request.
#[derive(Debug, Clone, PartialEq)]
pub struct SampleTask {
    /// Identifies the sample and its current epoch.
    pub key: SampleKey,
    /// Prompt text.
    pub prompt: String,
    /// Text of an earlier, interrupted attempt from which generation resumes.
    pub resume_from: Option<SampleText>,
    /// Predicted length in tokens; `None` until a sample of the same prompt has finished.
    pub expected_tokens: Option<f64>,
}

/// A group whose samples are all generated and that must be scored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScoringTask {
    /// Training step of the group.
    pub step: u64,
    /// Number of the group within its step.
    pub group: u32,
    /// Scoring epoch of the group. Scores are discarded if the group has a different epoch when
    /// they arrive.
    pub epoch: u64,
    /// Prompt shared by all samples of the group.
    pub prompt: String,
    /// Generated texts, ordered by sample index.
    pub texts: Vec<String>,
}

/// Scheduling state of one rollout job.
#[derive(Debug)]
pub struct SampleScheduler {
    job: JobName,
    spec: Rc<RolloutJob>,
    options: SampleSchedulerOptions,
    trainer: Option<TrainerState>,
    /// Current and later steps, keyed by step number. Invariant: no step is older than the
    /// trainer's step or more than `options.max_ahead_steps` after it.
    steps: BTreeMap<u64, StepState>,
    forecast: TrainerVersionForecast,
    length_predictor: LengthPredictor,
    /// Weight versions of the tokens that engines generated recently.
    engine_versions: VersionDistribution,
    /// Earliest start of the next probe sample while all engines run weights that are too old.
    next_probe_at: Option<Instant>,
    /// Number of samples whose generation is in progress.
    running_samples: u32,
    /// Total size of the finished and partial texts held in memory.
    buffered_bytes: usize,
    /// Last epoch assigned to a sample or scoring task of this job.
    last_epoch: u64,
    stats: SchedulerStats,
}

impl SampleScheduler {
    /// Creates a scheduler. No sample starts before the first pull.
    pub fn new(job: JobName, spec: Rc<RolloutJob>, options: SampleSchedulerOptions) -> Self {
        let length_predictor = LengthPredictor::new(spec.prompts.len());
        Self {
            job,
            spec,
            options,
            trainer: None,
            steps: BTreeMap::new(),
            forecast: TrainerVersionForecast::default(),
            length_predictor,
            engine_versions: VersionDistribution::default(),
            next_probe_at: None,
            running_samples: 0,
            buffered_bytes: 0,
            last_epoch: 0,
            stats: SchedulerStats::default(),
        }
    }

    /// Returns the state from the trainer's latest pull.
    pub fn trainer(&self) -> Option<&TrainerState> {
        self.trainer.as_ref()
    }

    /// Returns the newest weight version that engines reported recently.
    pub fn engine_version(&self) -> Option<WeightVersion> {
        self.engine_versions.newest_version()
    }

    /// Returns the job's counters since this VM acquired it.
    pub fn stats(&self) -> &SchedulerStats {
        &self.stats
    }

    /// Returns the current specification of the job.
    pub fn spec(&self) -> &RolloutJob {
        &self.spec
    }

    /// Returns the total size of the finished and partial texts held in memory.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Replaces the job specification. All samples are dropped if the prompts, the samples per step
    /// or the group size changed.
    pub fn set_spec(&mut self, spec: Rc<RolloutJob>) {
        let same_samples = spec.prompts == self.spec.prompts
            && spec.samples_per_step == self.spec.samples_per_step
            && spec.group_size == self.spec.group_size;
        self.spec = spec;
        if !same_samples {
            self.length_predictor = LengthPredictor::new(self.spec.prompts.len());
            self.steps.clear();
            self.buffered_bytes = 0;
        }
    }

    /// Applies a pull: drops steps that are no longer needed, frees groups that the trainer
    /// received and restarts stale samples. A step below the previous one means that the trainer
    /// was restored from a checkpoint.
    pub fn apply_pull(&mut self, pull: TrainerState, now: Instant) {
        self.forecast.record_pull(pull.step, pull.version, now);
        if self.trainer.as_ref().is_some_and(|trainer| trainer.step != pull.step) {
            self.record_steps_as_delivered(pull.step);
        }
        let last_kept_step = pull.step + self.options.max_ahead_steps;
        let step = pull.step;
        self.trainer = Some(pull);
        self.drop_steps(|step_number| step_number < step || step_number > last_kept_step);
        self.ensure_step(step);
        self.apply_received_groups();
        self.restart_stale_samples(now);
    }

    /// Returns the oldest weight version allowed in a sample of `step`, based on the forecast of
    /// the trainer's version at that step; `None` before the first pull.
    pub fn oldest_allowed_version(&self, step: u64, now: Instant) -> Option<WeightVersion> {
        let trainer = self.trainer.as_ref()?;
        let steps_ahead = step.saturating_sub(trainer.step);
        let version = self.forecast.predict_version(steps_ahead, now).unwrap_or(trainer.version);
        Some(version.max(trainer.version).saturating_sub(self.spec.staleness_bound_versions))
    }

    /// Returns whether the text generated so far for a running sample can still be delivered.
    pub fn is_usable(&self, key: &SampleKey, text: &SampleText, now: Instant) -> bool {
        let Some(trainer) = &self.trainer else { return false };
        if self.sample_epoch(key) != Some(key.epoch) {
            return false;
        }
        let oldest_allowed_version =
            if trainer.step == key.step || self.may_abandon_early(key, text, now) {
                self.oldest_allowed_version(key.step, now)
            } else {
                Some(trainer.version.saturating_sub(self.spec.staleness_bound_versions))
            };
        oldest_allowed_version
            .is_none_or(|oldest_allowed_version| text.is_fresh(oldest_allowed_version))
    }

    /// Returns whether a sample of a later step has just started and enough engines run newer
    /// weights to generate it again without staleness.
    fn may_abandon_early(&self, key: &SampleKey, text: &SampleText, now: Instant) -> bool {
        text.token_count <= MAX_TOKENS_FOR_EARLY_ABANDON && self.may_look_ahead(key.step, now)
    }

    /// Returns whether enough engines run weights that will still be fresh when `step` is
    /// collected.
    fn may_look_ahead(&self, step: u64, now: Instant) -> bool {
        let oldest_allowed_version = self.oldest_allowed_version(step, now);
        let fresh_share = oldest_allowed_version.and_then(|oldest_allowed_version| {
            self.engine_versions.fresh_token_share(oldest_allowed_version)
        });
        fresh_share.is_some_and(|fresh_share| fresh_share >= MIN_FRESH_SHARE_FOR_LOOK_AHEAD)
    }

    /// Selects the next sample and marks it as running. Earlier steps come first; within a step,
    /// groups with the longest predicted samples come first. Returns `None` if no sample can
    /// usefully start at `now`.
    pub fn start_next_sample(&mut self, now: Instant) -> Option<SampleTask> {
        let first_step = self.trainer.as_ref()?.step;
        if self.spec.paused {
            return None;
        }
        let look_ahead_steps =
            if self.options.allow_look_ahead { self.options.max_ahead_steps } else { 0 };
        for step_number in first_step..=first_step + look_ahead_steps {
            let oldest_allowed_version = self.oldest_allowed_version(step_number, now)?;
            if step_number > first_step
                && (self.is_buffer_full() || !self.may_look_ahead(step_number, now))
            {
                return None;
            }
            let engines_outdated =
                self.engine_version().is_some_and(|version| version < oldest_allowed_version);
            if engines_outdated && self.options.allow_look_ahead && !self.may_probe(now) {
                return None;
            }
            if let Some(task) = self.start_sample_in_step(step_number, oldest_allowed_version, now)
            {
                if engines_outdated {
                    self.next_probe_at = Some(now + self.options.probe_interval);
                }
                return Some(task);
            }
        }
        None
    }

    /// Returns whether a probe sample may start. While all engines run weights that are too old,
    /// one sample at a time is started to detect newer weights.
    fn may_probe(&self, now: Instant) -> bool {
        self.running_samples == 0
            && self.next_probe_at.is_none_or(|next_probe_at| now >= next_probe_at)
    }

    /// Returns whether the buffered texts have reached their size limit.
    fn is_buffer_full(&self) -> bool {
        self.buffered_bytes >= self.options.max_buffered_bytes
    }

    /// Marks the next waiting sample of a step as running and returns its task.
    fn start_sample_in_step(
        &mut self,
        step_number: u64,
        oldest_allowed_version: WeightVersion,
        now: Instant,
    ) -> Option<SampleTask> {
        self.ensure_step(step_number);
        let recorded_samples = self.length_predictor.recorded_samples();
        let (spec, length_predictor) = (&self.spec, &self.length_predictor);
        let step = self.steps.get_mut(&step_number)?;
        if self.options.longest_first {
            step.sort_by_expected_length(recorded_samples, |group| {
                length_predictor.predict(prompt_index(spec, step_number, group))
            });
        }
        let (group, index) = step.find_startable(now)?;
        let sample = step.sample_mut(group, index)?;
        let SampleState::Waiting { partial_text, .. } =
            std::mem::replace(&mut sample.state, SampleState::Running)
        else {
            return None;
        };
        let bytes = partial_text.as_ref().map_or(0, |text| text.text.len());
        self.buffered_bytes = self.buffered_bytes.saturating_sub(bytes);
        let key = SampleKey { step: step_number, group, index, epoch: sample.epoch };
        let resume_from = partial_text.filter(|text| {
            let is_fresh = text.is_fresh(oldest_allowed_version);
            if !is_fresh {
                self.stats.discarded_tokens += u64::from(text.token_count);
            }
            is_fresh
        });
        self.running_samples += 1;
        self.stats.started_samples += 1;
        Some(SampleTask {
            key,
            prompt: self.spec.prompt(step_number, group).to_owned(),
            resume_from,
            expected_tokens: self.length_predictor.predict(prompt_index(
                &self.spec,
                step_number,
                group,
            )),
        })
    }

    /// Records tokens that an engine generated with weights of `version`.
    pub fn record_engine_tokens(&mut self, version: WeightVersion, tokens: u32, now: Instant) {
        self.stats.generated_tokens += u64::from(tokens);
        self.engine_versions.record_tokens(version, tokens, now);
    }

    /// Records a finished sample. Returns a scoring task if this completes the group.
    pub fn finish_sample(
        &mut self,
        key: &SampleKey,
        text: SampleText,
        now: Instant,
    ) -> Option<ScoringTask> {
        self.running_samples = self.running_samples.saturating_sub(1);
        let tokens = text.token_count;
        // Discarded samples also count for the length prediction. Long samples become stale more
        // often, so leaving them out would bias the prediction towards short ones.
        self.length_predictor.record_length(prompt_index(&self.spec, key.step, key.group), tokens);
        if self.sample_epoch(key) != Some(key.epoch) {
            self.stats.discarded_tokens += u64::from(tokens);
            return None;
        }
        if !self.is_usable(key, &text, now) {
            self.stats.discarded_tokens += u64::from(tokens);
            self.stats.regenerated_samples += 1;
            self.restart_sample(key);
            return None;
        }
        let step = self.steps.get_mut(&key.step)?;
        let sample = step.sample_mut(key.group, key.index)?;
        self.buffered_bytes += text.text.len();
        sample.state = SampleState::Done(text);
        step.groups[key.group as usize].scoring_epoch = None;
        self.create_scoring_task(key.step, key.group)
    }

    /// Returns an unfinished sample to the waiting state. Generation later resumes from
    /// `partial_text` if that text is still fresh.
    pub fn requeue_sample(
        &mut self,
        key: &SampleKey,
        partial_text: Option<SampleText>,
        not_before: Instant,
    ) {
        self.running_samples = self.running_samples.saturating_sub(1);
        let tokens = partial_text.as_ref().map_or(0, |text| text.token_count);
        let is_current = self.sample_epoch(key) == Some(key.epoch);
        let sample = self.steps.get_mut(&key.step).and_then(|s| s.sample_mut(key.group, key.index));
        match sample.filter(|_| is_current) {
            Some(sample) => {
                self.buffered_bytes += partial_text.as_ref().map_or(0, |text| text.text.len());
                sample.state = SampleState::Waiting { partial_text, not_before: Some(not_before) };
            }
            None => self.stats.discarded_tokens += u64::from(tokens),
        }
    }

    /// Discards a sample whose text became stale during generation, and queues it to start again
    /// with empty text.
    pub fn abandon_sample(&mut self, key: &SampleKey, tokens: u32, not_before: Instant) {
        self.stats.discarded_tokens += u64::from(tokens);
        if self.sample_epoch(key) == Some(key.epoch) {
            self.stats.regenerated_samples += 1;
        }
        self.requeue_sample(key, None, not_before);
    }

    /// Stores the scores of a group. They are discarded if a sample of the group was restarted
    /// after the scoring task was created.
    pub fn set_scores(&mut self, task: &ScoringTask, scores: Vec<f64>) {
        let group = self.group_mut(task.step, task.group);
        if let Some(group) = group.filter(|group| group.scoring_epoch == Some(task.epoch)) {
            group.scores = Some(scores);
        }
    }

    /// Returns whether the scores of a task are still needed.
    pub fn needs_scores(&self, task: &ScoringTask) -> bool {
        let step = self.steps.get(&task.step);
        let group = step.and_then(|step| step.groups.get(task.group as usize));
        group.is_some_and(|group| group.scoring_epoch == Some(task.epoch))
    }

    /// Restarts finished samples that are stale. Samples of the trainer's step are checked against
    /// the trainer's actual version. Samples of later steps are checked against the forecast, and
    /// only if the engines already run a version that meets it.
    fn restart_stale_samples(&mut self, now: Instant) {
        let Some(trainer) = self.trainer.clone() else { return };
        let step_numbers: Vec<u64> = self.steps.keys().copied().collect();
        for step_number in step_numbers {
            let oldest_allowed_version = if step_number == trainer.step {
                trainer.version.saturating_sub(self.spec.staleness_bound_versions)
            } else {
                match self.oldest_allowed_version(step_number, now) {
                    Some(oldest_allowed_version)
                        if self.engine_version() >= Some(oldest_allowed_version) =>
                    {
                        oldest_allowed_version
                    }
                    _ => continue,
                }
            };
            let Some(step) = self.steps.get(&step_number) else { continue };
            for key in step.stale_samples(step_number, oldest_allowed_version) {
                self.stats.regenerated_samples += 1;
                self.restart_sample(&key);
            }
        }
    }

    /// Discards the sample's text, assigns a new epoch and returns the sample to the waiting state.
    fn restart_sample(&mut self, key: &SampleKey) {
        self.last_epoch += 1;
        let epoch = self.last_epoch;
        let Some(group) = self.group_mut(key.step, key.group) else { return };
        group.scores = None;
        group.scoring_epoch = None;
        let Some(sample) = group.samples.get_mut(key.index as usize) else { return };
        let previous_state = std::mem::replace(&mut sample.state, SampleState::WAITING);
        sample.epoch = epoch;
        if let SampleState::Done(text) = previous_state {
            self.stats.discarded_tokens += u64::from(text.token_count);
            self.buffered_bytes = self.buffered_bytes.saturating_sub(text.text.len());
        }
    }

    /// Removes the steps selected by `should_drop` and releases their buffered bytes.
    fn drop_steps(&mut self, should_drop: impl Fn(u64) -> bool) {
        let mut freed_bytes = 0;
        self.steps.retain(|step_number, step| {
            if should_drop(*step_number) {
                freed_bytes += step.groups.iter().map(Group::text_bytes).sum::<usize>();
            }
            !should_drop(*step_number)
        });
        self.buffered_bytes = self.buffered_bytes.saturating_sub(freed_bytes);
    }

    /// Creates the state of a step unless it exists.
    fn ensure_step(&mut self, step_number: u64) {
        let (groups, size) = (self.spec.groups_per_step(), self.spec.group_size);
        // Epochs are never reused, so late results for a step that was dropped and created again
        // are not mistaken for current ones.
        self.steps.entry(step_number).or_insert_with(|| {
            self.last_epoch += 1;
            StepState::new(groups, size, self.last_epoch)
        });
    }

    /// Returns a scoring task with a new epoch if all samples of the group are finished.
    fn create_scoring_task(&mut self, step: u64, group_number: u32) -> Option<ScoringTask> {
        self.last_epoch += 1;
        let epoch = self.last_epoch;
        let prompt = self.spec.prompt(step, group_number).to_owned();
        let group = self.group_mut(step, group_number)?;
        let texts = group.texts_if_complete()?;
        group.scoring_epoch = Some(epoch);
        Some(ScoringTask { step, group: group_number, epoch, prompt, texts })
    }

    fn group_mut(&mut self, step: u64, group: u32) -> Option<&mut Group> {
        self.steps.get_mut(&step)?.groups.get_mut(group as usize)
    }

    /// Returns the current epoch of a sample; `None` if its step was dropped.
    fn sample_epoch(&self, key: &SampleKey) -> Option<u64> {
        let group = self.steps.get(&key.step)?.groups.get(key.group as usize)?;
        group.samples.get(key.index as usize).map(|sample| sample.epoch)
    }
}

/// Returns the index of a group's prompt; see [`RolloutJob::prompt`].
fn prompt_index(spec: &RolloutJob, step: u64, group: u32) -> usize {
    let index = step.wrapping_mul(u64::from(spec.groups_per_step())) + u64::from(group);
    (index % spec.prompts.len().max(1) as u64) as usize
}
