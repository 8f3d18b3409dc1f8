//! Which engines change to a newly named version, and when.

use deck_core::id::{TargetId, WeightVersion};

/// Options of [`plan`].
#[derive(Debug, Clone)]
pub struct PlanOptions {
    /// Versions that an engine may be behind the named one and still generate for its step.
    pub usable_lag: u64,
    /// Part of the engines that has the newest version once all orders are carried out. Engines
    /// that change at every second version leave the other half free to serve meanwhile, and halve
    /// the loads.
    pub newest_part: f64,
    /// Part of the engines that load at the same time; more slow each other down.
    pub loading_part: f64,
}

impl Default for PlanOptions {
    fn default() -> Self {
        Self { usable_lag: 1, newest_part: 0.5, loading_part: 0.2 }
    }
}

/// One engine as the planner sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineVersion {
    /// The engine.
    pub target: TargetId,
    /// Version of the model; `None` if the engine does not have it.
    pub version: Option<WeightVersion>,
    /// An order for any model is being carried out.
    pub loading: bool,
    /// An order for this model is being carried out.
    pub loading_this: bool,
    /// Runs on the engine.
    pub running: u32,
}

/// Returns the engines that are to change to `named` now, the most urgent first.
pub fn plan(
    engines: &[EngineVersion],
    named: WeightVersion,
    options: &PlanOptions,
) -> Vec<TargetId> {
    let count = engines.len();
    let loading = engines.iter().filter(|engine| engine.loading).count();
    let room = max_loading(count, options).saturating_sub(loading);
    let lag = |engine: &EngineVersion| named.saturating_sub(engine.version.unwrap_or(0));
    let have = engines.iter().filter(|engine| lag(engine) == 0 || engine.loading_this).count();
    let wanted = (count as f64 * options.newest_part).round() as usize;
    let mut free: Vec<&EngineVersion> = engines
        .iter()
        .filter(|engine| !engine.loading && engine.version.is_some() && lag(engine) > 0)
        .collect();
    free.sort_by(|a, b| {
        lag(b).cmp(&lag(a)).then(a.running.cmp(&b.running)).then_with(|| a.target.cmp(&b.target))
    });
    let mut extra = wanted.saturating_sub(have);
    let mut chosen = Vec::new();
    for engine in free {
        let is_useless = lag(engine) > options.usable_lag;
        if chosen.len() >= room || (!is_useless && extra == 0) {
            break;
        }
        extra = extra.saturating_sub(1);
        chosen.push(engine.target.clone());
    }
    chosen
}

/// Returns how many of `count` engines load at the same time.
pub fn max_loading(count: usize, options: &PlanOptions) -> usize {
    ((count as f64 * options.loading_part).ceil() as usize).max(1)
}
