//! Choice of the next item and of the engine that runs it.

use std::time::Duration;

use deck_core::id::{TargetId, WeightVersion};

/// An item that waits for an engine.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// Number of the item, as the caller knows it.
    pub key: usize,
    /// Time until the item's result is due; zero when it is late.
    pub time_left: Duration,
    /// Time that the rest of the item is expected to take.
    pub expected: Duration,
    /// Model.
    pub model: String,
    /// Oldest version that may run it.
    pub min_version: WeightVersion,
    /// Hash of the prompt's shared part; items with the same one share cached tokens.
    pub prompt: u64,
    /// Whether its text is generated ahead for a later job.
    pub is_ahead: bool,
}

/// An engine that takes work.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The engine.
    pub target: TargetId,
    /// Version of the model of interest on this engine.
    pub version: WeightVersion,
    /// Runs on it.
    pub running: u32,
    /// Runs that it takes at once.
    pub slots: u32,
    /// Expected time between two events in milliseconds.
    pub event_gap_ms: f64,
    /// Whether it follows the versions of another model, whose runner does not know of runs from
    /// here.
    pub follows_other: bool,
}

/// Part by which each run of an engine slows the others down. Engines batch, so it is small.
const SLOWER_PER_RUN: f64 = 0.01;
/// Part of the cost that cached prompts save.
const PROMPT_BONUS: f64 = 0.02;
/// Part of the cost that each version behind the newest adds: text of an older version is of less
/// use to the next step.
const OLD_VERSION_COST: f64 = 0.03;
/// Part of the cost that an engine of another model adds: runs from here take slots that the runner of
/// that model takes for free, and are refused where it is faster.
const OTHER_MODEL_COST: f64 = 0.5;
/// Time that a move to another engine costs: a new connection and the text to read.
const MOVE_TIME: Duration = Duration::from_millis(80);
/// Least time that a move has to save. A step waits for its longest texts, which take several seconds;
/// moves that save less cost connections and bring no step forward.
const MIN_GAIN: Duration = Duration::from_millis(900);
/// Part of the text so far that is expected to come still where the hint is used up. Long texts are
/// likely to go on.
const OVERRUN_PART: f64 = 0.4;

/// Sorts items so that the one with the least slack comes first, after texts that are generated ahead:
/// these are few and long.
///
/// Slack is the time left until the result is due, less the time that the item is expected to
/// take. A long item of a young job thus starts before a short one of an older job, and the items
/// of one job start longest first.
pub fn sort_by_urgency(waiting: &mut [Waiting]) {
    waiting.sort_by(|a, b| {
        (b.is_ahead.cmp(&a.is_ahead))
            .then_with(|| slack(a).total_cmp(&slack(b)))
            .then_with(|| a.key.cmp(&b.key))
    });
}

fn slack(item: &Waiting) -> f64 {
    item.time_left.as_secs_f64() - item.expected.as_secs_f64()
}

/// Chooses the engine for an item: a free one that is fast, lightly loaded and recent. `with_prompt`
/// names the engine that has read the item's prompt lately. Returns the engine's index.
pub fn choose(
    item: &Waiting,
    candidates: &[Candidate],
    with_prompt: Option<&str>,
) -> Option<usize> {
    let is_usable = |candidate: &Candidate| {
        candidate.version >= item.min_version && candidate.running < candidate.slots
    };
    let usable = (0..candidates.len()).filter(|index| is_usable(&candidates[*index]));
    let mut usable = usable.peekable();
    usable.peek()?;
    let newest = candidates.iter().map(|candidate| candidate.version).max().unwrap_or(0);
    let usual = usual_gap(candidates);
    let cost = |index: &usize| {
        let candidate = &candidates[*index];
        cost(candidate, usual, newest, with_prompt == Some(candidate.target.as_str()))
    };
    usable.min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

fn cost(candidate: &Candidate, usual_gap_ms: f64, newest: WeightVersion, has_prompt: bool) -> f64 {
    let slowness = candidate.event_gap_ms / usual_gap_ms;
    let load = 1.0 + SLOWER_PER_RUN * f64::from(candidate.running);
    let age = OLD_VERSION_COST * (newest - candidate.version) as f64;
    let prompt = if has_prompt { PROMPT_BONUS } else { 0.0 };
    let other = if candidate.follows_other { OTHER_MODEL_COST } else { 0.0 };
    slowness * load + age + other - prompt
}

/// Returns the median time between events.
fn usual_gap(candidates: &[Candidate]) -> f64 {
    let mut gaps: Vec<f64> = candidates.iter().map(|c| c.event_gap_ms).collect();
    gaps.sort_by(f64::total_cmp);
    gaps.get(gaps.len() / 2).copied().unwrap_or(1.0).max(0.001)
}

/// Returns the events that an item is expected to make still.
pub fn events_left(hinted_events: u64, made: u64) -> f64 {
    let hinted = hinted_events.saturating_sub(made) as f64;
    hinted.max(made as f64 * OVERRUN_PART)
}

/// An item that runs on an engine.
#[derive(Debug, Clone)]
pub struct RunningItem {
    /// The engine.
    pub target: TargetId,
    /// Expected time between two events on that engine in milliseconds.
    pub event_gap_ms: f64,
    /// Events that are expected to come still.
    pub events_left: f64,
    /// Oldest version that may run it.
    pub min_version: WeightVersion,
}

impl RunningItem {
    /// Returns the time that the item is expected to take still on its engine.
    pub fn time_left(&self) -> Duration {
        Duration::from_secs_f64(self.events_left * self.event_gap_ms / 1000.0)
    }
}

/// Returns the engine to which a running item should move, if it saves enough time there.
pub fn choose_move<'a>(item: &RunningItem, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
    let time = |gap_ms: f64| item.events_left * gap_ms / 1000.0;
    let here = time(item.event_gap_ms);
    let best = candidates
        .iter()
        .filter(|candidate| {
            candidate.target != item.target
                && !candidate.follows_other
                && candidate.version >= item.min_version
                && candidate.running < candidate.slots
        })
        .min_by(|a, b| a.event_gap_ms.total_cmp(&b.event_gap_ms))?;
    let gain = here - time(best.event_gap_ms) - MOVE_TIME.as_secs_f64();
    (gain >= MIN_GAIN.as_secs_f64() && gain >= here * MIN_GAIN_PART).then_some(best)
}

/// Least part of the remaining time that a move has to save. Below it, differences between engines
/// are mostly bursts that end soon.
const MIN_GAIN_PART: f64 = 0.2;
