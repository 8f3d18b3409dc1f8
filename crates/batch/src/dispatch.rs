//! Choice of the next item and of the engine that runs it.

use std::time::Duration;

use deck_core::id::{TargetId, WeightVersion};

/// An item that waits for an engine.
#[derive(Debug, Clone)]
pub struct WaitingItem {
    /// Number of the item, as the caller knows it.
    pub item_index: usize,
    /// Time until the item's result is due; zero when it is late.
    pub time_until_due: Duration,
    /// Time that the rest of the item is expected to take.
    pub expected_duration: Duration,
    /// Model.
    pub model: String,
    /// Oldest version that may run it.
    pub min_version: WeightVersion,
    /// Hash of the prompt's shared part; items with the same one share cached tokens.
    pub prompt_hash: u64,
    /// Whether its text is generated ahead for a later job.
    pub is_speculative: bool,
}

/// An engine that takes work.
#[derive(Debug, Clone)]
pub struct EngineCandidate {
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
    pub follows_other_model: bool,
}

/// Part by which each run of an engine slows the others down. Engines batch, so it is small.
const SLOWDOWN_PER_RUN: f64 = 0.01;
/// Part of the cost that cached prompts save.
const CACHED_PROMPT_BONUS: f64 = 0.02;
/// Part of the cost that each version behind the newest adds: text of an older version is of less
/// use to the next step.
const COST_PER_VERSION_BEHIND: f64 = 0.03;
/// Part of the cost that an engine of another model adds: runs from here take slots that the runner of
/// that model takes for free, and are refused where it is faster.
const OTHER_MODEL_COST: f64 = 0.5;
/// Time that a move to another engine costs: a new connection and the text to read.
const MIGRATION_TIME: Duration = Duration::from_millis(80);
/// Least time that a move has to save. A step waits for its longest texts, which take several seconds;
/// moves that save less cost connections and bring no step forward.
const MIN_MIGRATION_GAIN: Duration = Duration::from_millis(900);
/// Part of the text so far that is expected to come still where the hint is used up. Long texts are
/// likely to go on.
const OVERRUN_RATIO: f64 = 0.4;

/// Sorts items so that the one with the least slack comes first, after texts that are generated ahead:
/// these are few and long.
///
/// Slack is the time left until the result is due, less the time that the item is expected to
/// take. A long item of a young job thus starts before a short one of an older job, and the items
/// of one job start longest first.
pub fn sort_by_urgency(waiting: &mut [WaitingItem]) {
    waiting.sort_by(|a, b| {
        (b.is_speculative.cmp(&a.is_speculative))
            .then_with(|| slack(a).total_cmp(&slack(b)))
            .then_with(|| a.item_index.cmp(&b.item_index))
    });
}

fn slack(item: &WaitingItem) -> f64 {
    item.time_until_due.as_secs_f64() - item.expected_duration.as_secs_f64()
}

/// Chooses the engine for an item: a free one that is fast, lightly loaded and recent. `cached_engine`
/// names the engine that has read the item's prompt lately. Returns the engine's index.
pub fn choose_engine(
    item: &WaitingItem,
    candidates: &[EngineCandidate],
    cached_engine: Option<&str>,
) -> Option<usize> {
    let is_usable = |candidate: &EngineCandidate| {
        candidate.version >= item.min_version && candidate.running < candidate.slots
    };
    let usable = (0..candidates.len()).filter(|index| is_usable(&candidates[*index]));
    let mut usable = usable.peekable();
    usable.peek()?;
    let newest = candidates.iter().map(|candidate| candidate.version).max().unwrap_or(0);
    let median_gap_ms = median_event_gap(candidates);
    let cost = |index: &usize| {
        let candidate = &candidates[*index];
        cost(candidate, median_gap_ms, newest, cached_engine == Some(candidate.target.as_str()))
    };
    usable.min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

fn cost(
    candidate: &EngineCandidate,
    median_gap_ms: f64,
    newest: WeightVersion,
    has_prompt: bool,
) -> f64 {
    let slowness = candidate.event_gap_ms / median_gap_ms;
    let load = 1.0 + SLOWDOWN_PER_RUN * f64::from(candidate.running);
    let age = COST_PER_VERSION_BEHIND * (newest - candidate.version) as f64;
    let cache_bonus = if has_prompt { CACHED_PROMPT_BONUS } else { 0.0 };
    let other = if candidate.follows_other_model { OTHER_MODEL_COST } else { 0.0 };
    slowness * load + age + other - cache_bonus
}

/// Returns the median time between events.
fn median_event_gap(candidates: &[EngineCandidate]) -> f64 {
    let mut gaps: Vec<f64> = candidates.iter().map(|c| c.event_gap_ms).collect();
    gaps.sort_by(f64::total_cmp);
    gaps.get(gaps.len() / 2).copied().unwrap_or(1.0).max(0.001)
}

/// Returns the events that an item is expected to make still.
pub fn remaining_events(hinted_events: u64, generated_events: u64) -> f64 {
    let hinted = hinted_events.saturating_sub(generated_events) as f64;
    hinted.max(generated_events as f64 * OVERRUN_RATIO)
}

/// An item that runs on an engine.
#[derive(Debug, Clone)]
pub struct RunningItem {
    /// The engine.
    pub target: TargetId,
    /// Expected time between two events on that engine in milliseconds.
    pub event_gap_ms: f64,
    /// Events that are expected to come still.
    pub remaining_events: f64,
    /// Oldest version that may run it.
    pub min_version: WeightVersion,
}

impl RunningItem {
    /// Returns the time that the item is expected to take still on its engine.
    pub fn remaining_time(&self) -> Duration {
        Duration::from_secs_f64(self.remaining_events * self.event_gap_ms / 1000.0)
    }
}

/// Returns the engine to which a running item should move, if it saves enough time there.
pub fn choose_migration<'a>(
    item: &RunningItem,
    candidates: &'a [EngineCandidate],
) -> Option<&'a EngineCandidate> {
    let time = |gap_ms: f64| item.remaining_events * gap_ms / 1000.0;
    let time_on_current = time(item.event_gap_ms);
    let best = candidates
        .iter()
        .filter(|candidate| {
            candidate.target != item.target
                && !candidate.follows_other_model
                && candidate.version >= item.min_version
                && candidate.running < candidate.slots
        })
        .min_by(|a, b| a.event_gap_ms.total_cmp(&b.event_gap_ms))?;
    let gain = time_on_current - time(best.event_gap_ms) - MIGRATION_TIME.as_secs_f64();
    (gain >= MIN_MIGRATION_GAIN.as_secs_f64() && gain >= time_on_current * MIN_MIGRATION_GAIN_RATIO)
        .then_some(best)
}

/// Least part of the remaining time that a move has to save. Below it, differences between engines
/// are mostly bursts that end soon.
const MIN_MIGRATION_GAIN_RATIO: f64 = 0.2;
