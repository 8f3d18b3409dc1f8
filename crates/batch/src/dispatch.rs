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
    /// Mean time between two events in milliseconds; 0 if it is not known.
    pub event_gap_ms: f64,
    /// Whether it has read the item's prompt lately.
    pub has_prompt: bool,
}

/// Part of the cost of an engine that each of its runs adds, in parts of an idle engine's cost.
const COST_PER_RUN: f64 = 0.05;
/// Part of the cost that cached prompts save.
const PROMPT_BONUS: f64 = 0.06;
/// Part of the cost that each version behind the newest adds: text of an older version is of less
/// use to the next step.
const OLD_VERSION_COST: f64 = 0.05;

/// Sorts items so that the one with the least slack comes first.
///
/// Slack is the time left until the result is due, less the time that the item is expected to
/// take. A long item of a young job thus starts before a short one of an older job, and the items
/// of one job start longest first.
pub fn sort_by_urgency(waiting: &mut [Waiting]) {
    waiting.sort_by(|a, b| slack(a).total_cmp(&slack(b)).then_with(|| a.key.cmp(&b.key)));
}

fn slack(item: &Waiting) -> f64 {
    item.time_left.as_secs_f64() - item.expected.as_secs_f64()
}

/// Chooses the engine for an item: a free one that is fast, lightly loaded and recent.
pub fn choose<'a>(item: &Waiting, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
    let usable = candidates.iter().filter(|candidate| {
        candidate.version >= item.min_version && candidate.running < candidate.slots
    });
    let newest = candidates.iter().map(|candidate| candidate.version).max().unwrap_or(0);
    let usual = usual_gap(candidates);
    usable.min_by(|a, b| cost(a, usual, newest).total_cmp(&cost(b, usual, newest)))
}

fn cost(candidate: &Candidate, usual_gap_ms: f64, newest: WeightVersion) -> f64 {
    let known = candidate.event_gap_ms > 0.0 && usual_gap_ms > 0.0;
    let slowness = if known { candidate.event_gap_ms / usual_gap_ms } else { 1.0 };
    let load = 1.0 + COST_PER_RUN * f64::from(candidate.running);
    let age = OLD_VERSION_COST * (newest - candidate.version) as f64;
    let prompt = if candidate.has_prompt { PROMPT_BONUS } else { 0.0 };
    slowness * load + age - prompt
}

/// Returns the median of the known times between events.
fn usual_gap(candidates: &[Candidate]) -> f64 {
    let mut gaps: Vec<f64> =
        candidates.iter().map(|c| c.event_gap_ms).filter(|gap| *gap > 0.0).collect();
    gaps.sort_by(f64::total_cmp);
    gaps.get(gaps.len() / 2).copied().unwrap_or(0.0)
}
