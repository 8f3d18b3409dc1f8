//! Bookkeeping of one job's steps, groups and samples while this VM owns the job.
//!
//! The board makes the decisions (what starts next, what is stale, what is handed over); tasks
//! around it run the calls. All methods take the time as an argument.

mod group;
mod handover;
mod stats;

use std::{collections::BTreeMap, rc::Rc, time::Instant};

use deck_core::{
    id::{JobName, WeightVersion},
    object::RolloutJob,
};

use self::group::{Group, Slot, Step};
pub use self::stats::BoardStats;
use crate::{
    bitmap::GroupBitmap,
    forecast::Forecast,
    length::LengthModel,
    mix::EngineMix,
    options::BoardOptions,
    sample::{SampleKey, SampleText},
};

/// Part of the pool that must be new enough before work of a later step starts. During a rollout of
/// weights the engines that still lag would make samples that are stale when their step comes.
const LOOK_AHEAD_FRESH_SHARE: f64 = 0.9;
/// Tokens up to which a sample of a later step is given up because of a forecast. The forecast may be
/// wrong, so longer ones go on.
const EARLY_TOKENS: u32 = 32;

/// What the trainer said in its last pull.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrainerState {
    /// Step that it collects.
    pub step: u64,
    /// Its version.
    pub version: WeightVersion,
    /// Groups of the step that it holds.
    pub held: GroupBitmap,
}

/// A sample to generate.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// The sample.
    pub key: SampleKey,
    /// Its prompt.
    pub prompt: String,
    /// Text from an earlier attempt that is continued.
    pub resume: Option<SampleText>,
    /// Expected tokens, if earlier samples of the prompt have finished.
    pub expected_tokens: Option<f64>,
}

/// A complete group to score.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScoreWork {
    /// Step.
    pub step: u64,
    /// Group.
    pub group: u32,
    /// Epoch of the texts; scores of an older epoch are dropped.
    pub epoch: u64,
    /// The prompt.
    pub prompt: String,
    /// Texts in the order of their index.
    pub texts: Vec<String>,
}

/// State of a job.
#[derive(Debug)]
pub struct Board {
    job: JobName,
    spec: Rc<RolloutJob>,
    options: BoardOptions,
    trainer: Option<TrainerState>,
    /// Steps from the trainer's on. Invariant: none is older than the trainer's step and none is
    /// more than `options.max_ahead_steps` after it.
    steps: BTreeMap<u64, Step>,
    forecast: Forecast,
    lengths: LengthModel,
    /// Versions that engines reported lately.
    engines: EngineMix,
    /// Earliest start of the next probe while the engines are too old.
    probe_at: Option<Instant>,
    running: u32,
    /// Bytes of all texts kept.
    buffered_bytes: usize,
    last_epoch: u64,
    stats: BoardStats,
}

impl Board {
    /// Returns the board of a job that has not seen a pull yet.
    pub fn new(job: JobName, spec: Rc<RolloutJob>, options: BoardOptions) -> Self {
        let lengths = LengthModel::new(spec.prompts.len());
        Self {
            job,
            spec,
            options,
            trainer: None,
            steps: BTreeMap::new(),
            forecast: Forecast::default(),
            lengths,
            engines: EngineMix::default(),
            probe_at: None,
            running: 0,
            buffered_bytes: 0,
            last_epoch: 0,
            stats: BoardStats::default(),
        }
    }

    /// Returns what the trainer said last.
    pub fn trainer(&self) -> Option<&TrainerState> {
        self.trainer.as_ref()
    }

    /// Returns the newest version that engines reported lately.
    pub fn engine_version(&self) -> Option<WeightVersion> {
        self.engines.newest()
    }

    /// Returns the counters.
    pub fn stats(&self) -> &BoardStats {
        &self.stats
    }

    /// Returns the job's specification.
    pub fn spec(&self) -> &RolloutJob {
        &self.spec
    }

    /// Returns the bytes of all texts kept.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Takes a changed specification. Work is kept unless the groups or prompts are others.
    pub fn set_spec(&mut self, spec: Rc<RolloutJob>) {
        let same_work = spec.prompts == self.spec.prompts
            && spec.samples_per_step == self.spec.samples_per_step
            && spec.group_size == self.spec.group_size;
        self.spec = spec;
        if !same_work {
            self.lengths = LengthModel::new(self.spec.prompts.len());
            self.steps.clear();
            self.buffered_bytes = 0;
        }
    }

    /// Takes note of a pull. A lower step than before is a trainer that went back to a checkpoint.
    pub fn apply_pull(&mut self, pull: TrainerState, now: Instant) {
        self.forecast.observe(pull.step, pull.version, now);
        if self.trainer.as_ref().is_some_and(|trainer| trainer.step != pull.step) {
            self.confirm_finished_steps(pull.step);
        }
        let last_kept = pull.step + self.options.max_ahead_steps;
        let step = pull.step;
        self.trainer = Some(pull);
        self.drop_steps(|number| number < step || number > last_kept);
        self.ensure_step(step);
        self.apply_held();
        self.renew_stale(now);
    }

    /// Returns the oldest version that a sample of `step` may have; `None` before the first pull.
    pub fn required_version(&self, step: u64, now: Instant) -> Option<WeightVersion> {
        let trainer = self.trainer.as_ref()?;
        let ahead = step.saturating_sub(trainer.step);
        let version = self.forecast.trainer_version(ahead, now).unwrap_or(trainer.version);
        Some(version.max(trainer.version).saturating_sub(self.spec.staleness_bound_versions))
    }

    /// Returns whether a running sample may still be handed over, given what it has so far.
    pub fn is_useful(&self, key: &SampleKey, text: &SampleText, now: Instant) -> bool {
        let Some(trainer) = &self.trainer else { return false };
        if self.sample_epoch(key) != Some(key.epoch) {
            return false;
        }
        let required = if trainer.step == key.step || self.may_give_up_early(key, text, now) {
            self.required_version(key.step, now)
        } else {
            Some(trainer.version.saturating_sub(self.spec.staleness_bound_versions))
        };
        required.is_none_or(|required| text.is_fresh(required))
    }

    /// Returns whether a sample of a later step has just begun and other engines would do better.
    fn may_give_up_early(&self, key: &SampleKey, text: &SampleText, now: Instant) -> bool {
        text.token_count <= EARLY_TOKENS && self.may_look_ahead(key.step, now)
    }

    /// Returns whether the pool is new enough for work of a later step.
    fn may_look_ahead(&self, step: u64, now: Instant) -> bool {
        let required = self.required_version(step, now);
        let share = required.and_then(|required| self.engines.fresh_share(required));
        share.is_some_and(|share| share >= LOOK_AHEAD_FRESH_SHARE)
    }

    /// Chooses the next sample to start: the earliest step first, in it the groups with the longest
    /// expected work first. Returns `None` if nothing useful can start at `now`.
    pub fn take_work(&mut self, now: Instant) -> Option<Work> {
        let first = self.trainer.as_ref()?.step;
        if self.spec.paused {
            return None;
        }
        let ahead_steps = if self.options.look_ahead { self.options.max_ahead_steps } else { 0 };
        for number in first..=first + ahead_steps {
            let required = self.required_version(number, now)?;
            if number > first && (self.is_full() || !self.may_look_ahead(number, now)) {
                return None;
            }
            let is_old = self.engine_version().is_some_and(|version| version < required);
            if is_old && self.options.look_ahead && !self.may_probe(now) {
                return None;
            }
            if let Some(work) = self.take_from_step(number, required, now) {
                if is_old {
                    self.probe_at = Some(now + self.options.probe_interval);
                }
                return Some(work);
            }
        }
        None
    }

    /// While the engines are older than needed one sample at a time finds out about new weights.
    fn may_probe(&self, now: Instant) -> bool {
        self.running == 0 && self.probe_at.is_none_or(|at| now >= at)
    }

    fn is_full(&self) -> bool {
        self.buffered_bytes >= self.options.max_buffered_bytes
    }

    fn take_from_step(
        &mut self,
        number: u64,
        required: WeightVersion,
        now: Instant,
    ) -> Option<Work> {
        self.ensure_step(number);
        let recorded = self.lengths.recorded();
        let (spec, lengths) = (&self.spec, &self.lengths);
        let step = self.steps.get_mut(&number)?;
        if self.options.longest_first {
            step.sort_by_expected_length(recorded, |group| {
                lengths.predict(prompt_index(spec, number, group))
            });
        }
        let (group, index) = step.find_waiting(now)?;
        let sample = step.sample_mut(group, index)?;
        let Slot::Waiting { partial, .. } = std::mem::replace(&mut sample.slot, Slot::Running)
        else {
            return None;
        };
        let bytes = partial.as_ref().map_or(0, |text| text.text.len());
        self.buffered_bytes = self.buffered_bytes.saturating_sub(bytes);
        let key = SampleKey { step: number, group, index, epoch: sample.epoch };
        let resume = partial.filter(|text| {
            let fresh = text.is_fresh(required);
            if !fresh {
                self.stats.thrown_away_tokens += u64::from(text.token_count);
            }
            fresh
        });
        self.running += 1;
        self.stats.started_samples += 1;
        Some(Work {
            key,
            prompt: self.spec.prompt(number, group).to_owned(),
            resume,
            expected_tokens: self.lengths.predict(prompt_index(&self.spec, number, group)),
        })
    }

    /// Takes note of tokens that an engine reported.
    pub fn observe_engine(&mut self, version: WeightVersion, tokens: u32, now: Instant) {
        self.stats.generated_tokens += u64::from(tokens);
        self.engines.observe(version, tokens, now);
    }

    /// Takes a finished sample. Returns the group if it is complete and can be scored.
    pub fn finish(&mut self, key: &SampleKey, text: SampleText, now: Instant) -> Option<ScoreWork> {
        self.running = self.running.saturating_sub(1);
        let tokens = text.token_count;
        // Every finished sample counts for the prediction, also one that is thrown away: otherwise
        // long samples, which are stale more often, would be missing.
        self.lengths.record(prompt_index(&self.spec, key.step, key.group), tokens);
        if self.sample_epoch(key) != Some(key.epoch) {
            self.stats.thrown_away_tokens += u64::from(tokens);
            return None;
        }
        if !self.is_useful(key, &text, now) {
            self.stats.thrown_away_tokens += u64::from(tokens);
            self.stats.regenerated_samples += 1;
            self.renew_sample(key);
            return None;
        }
        let step = self.steps.get_mut(&key.step)?;
        let sample = step.sample_mut(key.group, key.index)?;
        self.buffered_bytes += text.text.len();
        sample.slot = Slot::Done(text);
        step.groups[key.group as usize].score_epoch = None;
        self.score_work(key.step, key.group)
    }

    /// Puts a sample back that did not finish; `partial` is continued later if it is still fresh.
    pub fn put_back(&mut self, key: &SampleKey, partial: Option<SampleText>, not_before: Instant) {
        self.running = self.running.saturating_sub(1);
        let tokens = partial.as_ref().map_or(0, |text| text.token_count);
        let current = self.sample_epoch(key) == Some(key.epoch);
        let sample = self.steps.get_mut(&key.step).and_then(|s| s.sample_mut(key.group, key.index));
        match sample.filter(|_| current) {
            Some(sample) => {
                self.buffered_bytes += partial.as_ref().map_or(0, |text| text.text.len());
                sample.slot = Slot::Waiting { partial, not_before: Some(not_before) };
            }
            None => self.stats.thrown_away_tokens += u64::from(tokens),
        }
    }

    /// Ends a sample whose text became stale while it was generated; it starts again from nothing.
    pub fn abandon(&mut self, key: &SampleKey, tokens: u32, not_before: Instant) {
        self.stats.thrown_away_tokens += u64::from(tokens);
        if self.sample_epoch(key) == Some(key.epoch) {
            self.stats.regenerated_samples += 1;
        }
        self.put_back(key, None, not_before);
    }

    /// Takes the scores of a group; dropped if a sample was renewed meanwhile.
    pub fn set_scores(&mut self, work: &ScoreWork, scores: Vec<f64>) {
        let group = self.group_mut(work.step, work.group);
        if let Some(group) = group.filter(|group| group.score_epoch == Some(work.epoch)) {
            group.scores = Some(scores);
        }
    }

    /// Returns whether the scores of a group are still of use.
    pub fn wants_scores(&self, work: &ScoreWork) -> bool {
        let step = self.steps.get(&work.step);
        let group = step.and_then(|step| step.groups.get(work.group as usize));
        group.is_some_and(|group| group.score_epoch == Some(work.epoch))
    }

    /// Starts stale samples again: those that the trainer's own version rules out, and those of later
    /// steps that the forecast rules out if the engines can do better.
    fn renew_stale(&mut self, now: Instant) {
        let Some(trainer) = self.trainer.clone() else { return };
        let numbers: Vec<u64> = self.steps.keys().copied().collect();
        for number in numbers {
            let required = if number == trainer.step {
                trainer.version.saturating_sub(self.spec.staleness_bound_versions)
            } else {
                match self.required_version(number, now) {
                    Some(required) if self.engine_version() >= Some(required) => required,
                    _ => continue,
                }
            };
            let Some(step) = self.steps.get(&number) else { continue };
            for key in step.stale_samples(number, required) {
                self.stats.regenerated_samples += 1;
                self.renew_sample(&key);
            }
        }
    }

    /// Gives a sample a new epoch and lets it wait for a start.
    fn renew_sample(&mut self, key: &SampleKey) {
        self.last_epoch += 1;
        let epoch = self.last_epoch;
        let Some(group) = self.group_mut(key.step, key.group) else { return };
        group.scores = None;
        group.score_epoch = None;
        let Some(sample) = group.samples.get_mut(key.index as usize) else { return };
        let old = std::mem::replace(&mut sample.slot, Slot::WAITING);
        sample.epoch = epoch;
        if let Slot::Done(text) = old {
            self.stats.thrown_away_tokens += u64::from(text.token_count);
            self.buffered_bytes = self.buffered_bytes.saturating_sub(text.text.len());
        }
    }

    fn drop_steps(&mut self, gone: impl Fn(u64) -> bool) {
        let mut freed_bytes = 0;
        self.steps.retain(|number, step| {
            if gone(*number) {
                freed_bytes += step.groups.iter().map(Group::text_bytes).sum::<usize>();
            }
            !gone(*number)
        });
        self.buffered_bytes = self.buffered_bytes.saturating_sub(freed_bytes);
    }

    fn ensure_step(&mut self, number: u64) {
        let (groups, size) = (self.spec.groups_per_step(), self.spec.group_size);
        // The epoch is unique, so that results of a step that was dropped and made again are told
        // apart.
        self.steps.entry(number).or_insert_with(|| {
            self.last_epoch += 1;
            Step::new(groups, size, self.last_epoch)
        });
    }

    fn score_work(&mut self, step: u64, group_number: u32) -> Option<ScoreWork> {
        self.last_epoch += 1;
        let epoch = self.last_epoch;
        let prompt = self.spec.prompt(step, group_number).to_owned();
        let group = self.group_mut(step, group_number)?;
        let texts = group.complete_texts()?;
        group.score_epoch = Some(epoch);
        Some(ScoreWork { step, group: group_number, epoch, prompt, texts })
    }

    fn group_mut(&mut self, step: u64, group: u32) -> Option<&mut Group> {
        self.steps.get_mut(&step)?.groups.get_mut(group as usize)
    }

    fn sample_epoch(&self, key: &SampleKey) -> Option<u64> {
        let group = self.steps.get(&key.step)?.groups.get(key.group as usize)?;
        group.samples.get(key.index as usize).map(|sample| sample.epoch)
    }
}

/// Returns the index of a group's prompt, see [`RolloutJob::prompt`].
fn prompt_index(spec: &RolloutJob, step: u64, group: u32) -> usize {
    let index = step.wrapping_mul(u64::from(spec.groups_per_step())) + u64::from(group);
    (index % spec.prompts.len().max(1) as u64) as usize
}
