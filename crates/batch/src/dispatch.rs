//! Order of waiting items and choice of the engine for each.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use deck_core::id::{OrganisationId, PoolName, SoftwareVersion, TargetId, WeightVersion};
use deck_limit::Shares;
use deck_route::Slowdown;

/// An item that waits for an engine.
#[derive(Debug, Clone)]
pub struct WaitingItem {
    /// Index by which the caller of [`sort_by_urgency`] finds the item again after sorting.
    pub item_index: usize,
    /// Time until the item's result is due; zero if it is overdue.
    pub time_until_due: Duration,
    /// Estimated time to generate the text.
    pub expected_duration: Duration,
    /// Model that generates the text; only engines with this model are candidates.
    pub model: String,
    /// Oldest weight version that may run the item.
    pub min_version: WeightVersion,
    /// Hash that is equal for items with the same prompt, which can reuse an engine's prefix cache.
    pub prompt_hash: u64,
    /// Whether the item is a speculative copy for a later job.
    pub is_speculative: bool,
    /// Text that the item has so far; `None` if it has no events.
    pub text: Option<WaitingText>,
}

/// Text of an item that waits for an engine to continue it.
#[derive(Debug, Clone)]
pub struct WaitingText {
    /// Software version of the engines that may continue the text.
    pub software_version: Option<SoftwareVersion>,
    /// Number of events so far.
    pub events: u64,
    /// Time for which the item has been waiting.
    pub waiting_time: Duration,
}

/// An engine that accepts runs, now or soon.
#[derive(Debug, Clone)]
pub struct EngineCandidate {
    /// Id of the engine's target.
    pub target: TargetId,
    /// Version of the requested model that the engine serves.
    pub version: WeightVersion,
    /// Version of the engine's software.
    pub software_version: Option<SoftwareVersion>,
    /// Number of runs on the engine.
    pub active_runs: u32,
    /// Maximum number of concurrent runs; 0 while the engine starts none.
    pub slots: u32,
    /// Expected time between two events in milliseconds, before the engine's slowdown is applied.
    pub event_gap_ms: f64,
    /// Slowdown by the number of runs; `None` while the engine has not shown that it is sensitive to
    /// it.
    pub slowdown: Option<Slowdown>,
    /// Whether the engine is assigned to another model. The runner of that model does not see the
    /// runs that this node starts on the engine.
    pub assigned_to_other_model: bool,
}

impl EngineCandidate {
    /// Returns the expected time between two events of a further run in milliseconds.
    pub fn next_event_gap_ms(&self) -> f64 {
        let factor = |slowdown: &Slowdown| slowdown.factor(self.active_runs + 1);
        self.event_gap_ms * self.slowdown.as_ref().map_or(1.0, factor)
    }

    /// Returns whether the engine runs as many texts as it takes well.
    fn is_at_knee(&self) -> bool {
        let knee = self.slowdown.as_ref().and_then(Slowdown::knee);
        knee.is_some_and(|knee| self.active_runs >= knee)
    }

    /// Returns the factor by which the runs on the engine raise the cost of a further one. For an
    /// engine that is sensitive to its occupancy, this includes the delay of these runs.
    fn load_factor(&self) -> f64 {
        match &self.slowdown {
            Some(slowdown) => slowdown.added_time(self.active_runs),
            None => 1.0 + SLOWDOWN_PER_RUN * f64::from(self.active_runs),
        }
    }
}

/// Relative increase of the cost of an engine that is not sensitive to its occupancy, for each run
/// that is active on it. Small because engines process their runs in one batch.
const SLOWDOWN_PER_RUN: f64 = 0.01;
/// Relative cost that is saved on the engine whose prefix cache is likely to hold the item's
/// prompt.
const CACHED_PROMPT_BONUS: f64 = 0.02;
/// Relative cost for each weight version by which an engine is behind the newest. Text of an older version is less useful for the
/// next training step.
const COST_PER_VERSION_BEHIND: f64 = 0.03;
/// Relative cost of an engine that is assigned to another model. The runner of that model does not
/// see the runs of this node: it counts their slots as free, and the engine refuses further runs of
/// this node once that runner has filled the slots.
const OTHER_MODEL_COST: f64 = 0.5;
/// Time that a migration costs: a new connection, and processing the text so far on the new engine.
const MIGRATION_TIME: Duration = Duration::from_millis(80);
/// Minimum time that a migration has to save. A step waits for its longest texts, which take
/// several seconds; a migration that saves less costs a connection without finishing the step
/// earlier.
const MIN_MIGRATION_GAIN: Duration = Duration::from_millis(900);
/// Expected remaining events of a text that is past its length hint, as a fraction of its events so
/// far. Long texts are likely to continue.
const OVERRUN_RATIO: f64 = 0.4;

/// Maximum time for which a text waits for an engine of its software version while others are free.
/// Callers count an item that is on no engine for five seconds as neglected.
const MAX_TEXT_WAIT: Duration = Duration::from_secs(3);

/// Sorts items by dispatch order: speculative copies first, because they are few and long, then by
/// ascending slack.
///
/// Slack is the time until the result is due minus the expected duration. A long item of a recent
/// job thus starts before a short item of an older job, and the items of one job start longest
/// first.
pub fn sort_by_urgency(waiting: &mut [WaitingItem]) {
    waiting.sort_by(|a, b| {
        (b.is_speculative.cmp(&a.is_speculative))
            .then_with(|| slack(a).total_cmp(&slack(b)))
            .then_with(|| a.item_index.cmp(&b.item_index))
    });
}

/// Moves the items of organisations that have taken their part of a service behind those of others
/// that wait for it, and otherwise keeps the order. `owner_of` returns the service and organisation of
/// an item; `None` if it is not charged.
pub fn defer_beyond_part(
    waiting: &mut [WaitingItem],
    owner_of: impl Fn(&WaitingItem) -> Option<(PoolName, OrganisationId)>,
    shares: &Shares,
    now: Instant,
) {
    let mut demand: HashMap<PoolName, HashMap<OrganisationId, Duration>> = HashMap::new();
    for item in waiting.iter() {
        if let Some((service, organisation)) = owner_of(item) {
            let by_organisation = demand.entry(service).or_default();
            *by_organisation.entry(organisation).or_default() += item.expected_duration;
        }
    }
    let beyond = demand.into_iter().flat_map(|(service, waiting)| {
        let organisations = shares.organisations_beyond_part(&service, &waiting, now);
        organisations.into_iter().map(move |organisation| (service.clone(), organisation))
    });
    let beyond: HashSet<_> = beyond.collect();
    if !beyond.is_empty() {
        waiting.sort_by_key(|item| owner_of(item).is_some_and(|owner| beyond.contains(&owner)));
    }
}

/// Returns the slack of an item in seconds.
fn slack(item: &WaitingItem) -> f64 {
    item.time_until_due.as_secs_f64() - item.expected_duration.as_secs_f64()
}

/// Returns whether an engine may continue the item's text and accepts runs of it, even if it has no
/// free slot. True for an item without a text if there is any engine for it.
pub fn can_continue_text(item: &WaitingItem, candidates: &[EngineCandidate]) -> bool {
    candidates
        .iter()
        .any(|candidate| candidate.version >= item.min_version && fits_text(item, candidate))
}

/// Returns whether the engine runs the software version that began the item's text, if any.
fn fits_text(item: &WaitingItem, candidate: &EngineCandidate) -> bool {
    item.text.as_ref().is_none_or(|text| text.software_version == candidate.software_version)
}

/// Chooses an engine with a free slot and an allowed version for an item. Prefers engines that are
/// fast, lightly loaded and up to date. `cached_engine` is the engine that last processed the
/// item's prompt. Returns an index into `candidates`.
///
/// An engine of another software version than that of the item's text is chosen only if no engine
/// can continue the text, or if the item has waited for a slot of such an engine for as long as it
/// takes to generate the text again, or for [`MAX_TEXT_WAIT`]. Otherwise the items of a version that is being replaced would
/// wait for its last engines. The text has to be discarded then.
pub fn choose_engine(
    item: &WaitingItem,
    candidates: &[EngineCandidate],
    cached_engine: Option<&str>,
) -> Option<usize> {
    let fits = |candidate: &EngineCandidate| fits_text(item, candidate);
    if let Some(index) = cheapest_engine(item, candidates, cached_engine, fits) {
        return Some(index);
    }
    let text = item.text.as_ref()?;
    let index = cheapest_engine(item, candidates, cached_engine, |_| true)?;
    let regeneration_s = text.events as f64 * candidates[index].event_gap_ms / 1000.0;
    let max_wait_s = regeneration_s.min(MAX_TEXT_WAIT.as_secs_f64());
    let waits = can_continue_text(item, candidates) && text.waiting_time.as_secs_f64() < max_wait_s;
    (!waits).then_some(index)
}

/// Returns the index of the engine with the lowest cost among those that satisfy `filter`, have a free
/// slot and an allowed version.
fn cheapest_engine(
    item: &WaitingItem,
    candidates: &[EngineCandidate],
    cached_engine: Option<&str>,
    filter: impl Fn(&EngineCandidate) -> bool,
) -> Option<usize> {
    let is_eligible = |candidate: &EngineCandidate| {
        candidate.version >= item.min_version
            && candidate.active_runs < candidate.slots
            && filter(candidate)
    };
    let eligible = (0..candidates.len()).filter(|index| is_eligible(&candidates[*index]));
    let mut eligible = eligible.peekable();
    eligible.peek()?;
    let newest = candidates.iter().map(|candidate| candidate.version).max().unwrap_or(0);
    let median_gap_ms = median_event_gap(candidates);
    let cost = |index: &usize| {
        let candidate = &candidates[*index];
        engine_cost(
            candidate,
            median_gap_ms,
            newest,
            cached_engine == Some(candidate.target.as_str()),
        )
    };
    eligible.min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

/// Returns the relative cost of running an item on an engine, where 1 is an idle engine of median
/// speed.
fn engine_cost(
    candidate: &EngineCandidate,
    median_gap_ms: f64,
    newest: WeightVersion,
    has_cached_prompt: bool,
) -> f64 {
    let relative_gap = candidate.event_gap_ms / median_gap_ms;
    let version_cost = COST_PER_VERSION_BEHIND * (newest - candidate.version) as f64;
    let cache_bonus = if has_cached_prompt { CACHED_PROMPT_BONUS } else { 0.0 };
    let other_model_cost = if candidate.assigned_to_other_model { OTHER_MODEL_COST } else { 0.0 };
    relative_gap * candidate.load_factor() + version_cost + other_model_cost - cache_bonus
}

/// Returns the median time between two events in milliseconds.
fn median_event_gap(candidates: &[EngineCandidate]) -> f64 {
    let mut gaps: Vec<f64> = candidates.iter().map(|c| c.event_gap_ms).collect();
    gaps.sort_by(f64::total_cmp);
    gaps.get(gaps.len() / 2).copied().unwrap_or(1.0).max(0.001)
}

/// Returns the expected number of events that a text still needs, from its hinted length and the
/// events so far.
pub fn remaining_events(hinted_events: u64, generated_events: u64) -> f64 {
    let hinted_remaining = hinted_events.saturating_sub(generated_events) as f64;
    hinted_remaining.max(generated_events as f64 * OVERRUN_RATIO)
}

/// An item that is running on an engine.
#[derive(Debug, Clone)]
pub struct RunningItem {
    /// Id of the engine's target.
    pub target: TargetId,
    /// Expected time between two events on this engine in milliseconds.
    pub event_gap_ms: f64,
    /// Expected number of events until the text is complete.
    pub remaining_events: f64,
    /// Oldest weight version that may run the item.
    pub min_version: WeightVersion,
    /// Software version of the engine, and of the engines that may continue the text.
    pub software_version: Option<SoftwareVersion>,
}

impl RunningItem {
    /// Returns the expected time until the text is complete on its current engine.
    pub fn remaining_time(&self) -> Duration {
        Duration::from_secs_f64(self.remaining_events * self.event_gap_ms / 1000.0)
    }
}

/// Returns the engine to migrate a running item to; `None` if no migration saves enough time.
pub fn choose_migration<'a>(
    item: &RunningItem,
    candidates: &'a [EngineCandidate],
) -> Option<&'a EngineCandidate> {
    let time_at = |gap_ms: f64| item.remaining_events * gap_ms / 1000.0;
    let time_on_current = time_at(item.event_gap_ms);
    let fastest = candidates
        .iter()
        .filter(|candidate| {
            candidate.target != item.target
                && !candidate.assigned_to_other_model
                && candidate.version >= item.min_version
                && candidate.software_version == item.software_version
                && candidate.active_runs < candidate.slots
                && !candidate.is_at_knee()
        })
        .min_by(|a, b| a.next_event_gap_ms().total_cmp(&b.next_event_gap_ms()))?;
    let gain_s =
        time_on_current - time_at(fastest.next_event_gap_ms()) - MIGRATION_TIME.as_secs_f64();
    (gain_s >= MIN_MIGRATION_GAIN.as_secs_f64()
        && gain_s >= time_on_current * MIN_MIGRATION_GAIN_RATIO)
        .then_some(fastest)
}

/// Returns the migrations that save the most time, at most `max_count`, in descending order of the time
/// saved: the item's index, the engine to migrate it to, and the time saved in milliseconds.
///
/// Each item comes with the index of its candidates in `candidates_by_job`. Migrations are counted in
/// `active_runs` of all candidates, so that they do not all go to the same slot.
pub fn choose_migrations(
    items: &[(usize, RunningItem)],
    candidates_by_job: &mut [Vec<EngineCandidate>],
    max_count: usize,
) -> Vec<(usize, TargetId, f64)> {
    let gain_ms = |item: &RunningItem, candidate: &EngineCandidate| {
        item.remaining_events * (item.event_gap_ms - candidate.next_event_gap_ms())
    };
    let mut gains_ms: Vec<(usize, f64)> = Vec::new();
    for (index, (job_index, item)) in items.iter().enumerate() {
        if let Some(chosen) = choose_migration(item, &candidates_by_job[*job_index]) {
            gains_ms.push((index, gain_ms(item, chosen)));
        }
    }
    gains_ms.sort_by(|a, b| b.1.total_cmp(&a.1));
    let mut migrations = Vec::new();
    for (index, _) in gains_ms {
        if migrations.len() == max_count {
            break;
        }
        let (job_index, item) = &items[index];
        let Some(chosen) = choose_migration(item, &candidates_by_job[*job_index]) else { continue };
        let (target, gain_ms) = (chosen.target.clone(), gain_ms(item, chosen));
        for candidate in candidates_by_job.iter_mut().flatten() {
            candidate.active_runs += u32::from(candidate.target == target);
        }
        migrations.push((index, target, gain_ms));
    }
    migrations
}

/// Minimum fraction of the remaining time that a migration has to save. Smaller differences between
/// engines are mostly short load peaks.
const MIN_MIGRATION_GAIN_RATIO: f64 = 0.2;
