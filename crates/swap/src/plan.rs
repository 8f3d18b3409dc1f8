//! Which engines change to newly named versions, and when.

use std::cmp::Reverse;

use deck_core::{
    hash::rendezvous_score,
    id::{TargetId, WeightVersion},
};
use deck_fleet::ModelDemand;

/// Options of [`plan`].
#[derive(Debug, Clone)]
pub struct PlanOptions {
    /// Versions that an engine may be behind the named one and still generate for its step.
    pub usable_lag: u64,
    /// Part of the engines that load at the same time; more slow each other down.
    pub loading_part: f64,
    /// Part of the loads at a time that is kept free for engines of no use.
    pub spare_part: f64,
}

impl Default for PlanOptions {
    fn default() -> Self {
        Self { usable_lag: 1, loading_part: 0.2, spare_part: 0.5 }
    }
}

/// One engine as the planner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineVersions {
    /// The engine.
    pub target: TargetId,
    /// Versions of the models, in the order of the models; `None` if the engine does not have one.
    pub versions: Vec<Option<WeightVersion>>,
    /// Whether an order is being carried out.
    pub loading: bool,
    /// Slots that are not taken.
    pub free_slots: u32,
    /// Time for one event of a text in milliseconds; `None` if it is not known.
    pub event_ms: Option<f64>,
}

/// One model as the planner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct NamedModel {
    /// Name.
    pub name: String,
    /// Version that was named last; `None` if none was.
    pub named: Option<WeightVersion>,
    /// What its jobs ask of the engines.
    pub demand: ModelDemand,
}

/// Change of one engine to a version of one model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The engine.
    pub target: TargetId,
    /// Index of the model.
    pub model: usize,
    /// Version to load.
    pub version: WeightVersion,
}

/// Returns the changes to begin now, the most urgent first.
///
/// Each engine is assigned to one model and follows only that model's versions: loads are the
/// scarcest resource where trainers name a version every few seconds. Engines that can no longer
/// generate for the newest step come first, those of the model with the fewest usable engines before
/// others. Engines that are usable change in the remaining room, the emptiest first: a load holds up
/// the runs on its engine for up to its whole time.
pub fn plan(
    engines: &[EngineVersions],
    models: &[NamedModel],
    options: &PlanOptions,
) -> Vec<Change> {
    let quotas = quotas(engines.len(), models, &[]);
    plan_assigned(engines, models, &assign(engines, models, &quotas), options)
}

/// As [`plan`], with the models that the engines are assigned to.
pub fn plan_assigned(
    engines: &[EngineVersions],
    models: &[NamedModel],
    assigned: &[Option<usize>],
    options: &PlanOptions,
) -> Vec<Change> {
    let loading = engines.iter().filter(|engine| engine.loading).count();
    let room = max_loading(engines.len(), options).saturating_sub(loading);
    if room == 0 {
        return Vec::new();
    }
    let lag = |engine: &EngineVersions, model: usize| {
        let named = models[model].named?;
        Some(named.saturating_sub(engine.versions[model]?))
    };
    let usable = |model: usize| {
        let can = |engine: &&EngineVersions| {
            lag(engine, model).is_some_and(|lag| lag <= options.usable_lag)
        };
        engines.iter().filter(can).count()
    };
    let usable: Vec<usize> = (0..models.len()).map(usable).collect();
    let mut behind: Vec<(usize, usize, u64)> = Vec::new();
    for (index, engine) in engines.iter().enumerate().filter(|(_, engine)| !engine.loading) {
        let Some(model) = assigned[index] else { continue };
        if let Some(lag) = lag(engine, model).filter(|lag| *lag > 0) {
            behind.push((index, model, lag));
        }
    }
    behind.sort_by_key(|(index, model, lag)| {
        let is_useless = *lag > options.usable_lag;
        let fullness = u32::MAX - engines[*index].free_slots;
        let order = if is_useless { usable[*model] as u32 } else { fullness };
        (Reverse(is_useless), order, Reverse(*lag), engines[*index].target.clone())
    });
    let change = |(index, model, _): (usize, usize, u64)| {
        let version = models[model].named?;
        Some(Change { target: engines[index].target.clone(), model, version })
    };
    let useless = behind.iter().filter(|(_, _, lag)| *lag > options.usable_lag).count();
    let spare = (max_loading(engines.len(), options) as f64 * options.spare_part).floor() as usize;
    let count = useless.max(room.saturating_sub(spare)).min(room);
    behind.into_iter().filter_map(change).take(count).collect()
}

/// Returns how many of `count` engines load at the same time.
pub fn max_loading(count: usize, options: &PlanOptions) -> usize {
    ((count as f64 * options.loading_part).ceil() as usize).max(1)
}

/// Assigns each engine to a model: returns the model's index for each engine.
///
/// The models take turns and pick the engine with their newest version, so assignments stay once
/// they are made. Each model gets its number of engines. Then engines are exchanged so that fast ones
/// run long texts.
pub fn assign(
    engines: &[EngineVersions],
    models: &[NamedModel],
    quotas: &[usize],
) -> Vec<Option<usize>> {
    let mut assigned = vec![None; engines.len()];
    let mut quotas = quotas.to_vec();
    // The engines that have a model, the one that it picks first at the end.
    let wishes = |(model, named): (usize, &NamedModel)| {
        let has = (0..engines.len()).filter(|index| engines[*index].versions[model].is_some());
        let key = |index: usize| {
            let engine = &engines[index];
            (engine.versions[model], rendezvous_score(&named.name, &engine.target))
        };
        let mut wishes: Vec<(_, usize)> = has.map(|index| (key(index), index)).collect();
        wishes.sort_unstable();
        wishes
    };
    let mut wishes: Vec<_> = models.iter().enumerate().map(wishes).collect();
    loop {
        let mut picked = false;
        for model in 0..models.len() {
            if quotas[model] == 0 {
                continue;
            }
            while let Some((_, index)) = wishes[model].pop() {
                if assigned[index].is_none() {
                    assigned[index] = Some(model);
                    quotas[model] -= 1;
                    picked = true;
                    break;
                }
            }
        }
        if !picked {
            break;
        }
    }
    give_fast_engines_to_long_texts(engines, models, &mut assigned);
    assigned
}

/// Factor by which an engine is faster than another one that is worth a change of both. Below it,
/// the difference may be that of their load.
const WORTH_A_CHANGE: f64 = 1.15;
/// Factor by which texts of one model are longer than those of another one that is worth a change.
const MUCH_LONGER: f64 = 1.3;

/// Exchanges engines between models so that those with long texts have the fast ones: a step waits
/// for its longest texts, which take as long as their engines need for each event.
fn give_fast_engines_to_long_texts(
    engines: &[EngineVersions],
    models: &[NamedModel],
    assigned: &mut [Option<usize>],
) {
    let mut by_length: Vec<(usize, f64)> = models
        .iter()
        .enumerate()
        .filter_map(|(index, model)| Some((index, model.demand.text_events?)))
        .collect();
    by_length.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
    for (position, (long, long_events)) in by_length.iter().enumerate() {
        for (short, short_events) in by_length[position + 1..].iter().rev() {
            if *long_events < short_events * MUCH_LONGER {
                continue;
            }
            let of = |model: usize, assigned: &[Option<usize>]| -> Vec<(usize, f64)> {
                let of_model = (0..engines.len()).filter(|index| assigned[*index] == Some(model));
                of_model.filter_map(|index| Some((index, engines[index].event_ms?))).collect()
            };
            let order = |a: &(usize, f64), b: &(usize, f64)| {
                let target = |index: usize| &engines[index].target;
                a.1.total_cmp(&b.1).then_with(|| target(a.0).cmp(target(b.0)))
            };
            let (mut slow, mut fast) = (of(*long, assigned), of(*short, assigned));
            slow.sort_by(|a, b| order(b, a));
            fast.sort_by(order);
            for (slow, fast) in slow.iter().zip(&fast) {
                if slow.1 < fast.1 * WORTH_A_CHANGE {
                    break;
                }
                assigned[slow.0] = Some(*short);
                assigned[fast.0] = Some(*long);
            }
        }
    }
}

/// Returns the number of engines for each model in proportion to the events that its jobs ask for;
/// each gets at least half of an equal part, and an equal part until all demands are known.
///
/// The numbers stay as they were in `before` unless one of them changes by two or more: an engine that
/// goes to another model has to load it, and demands vary from job to job.
pub fn quotas(count: usize, models: &[NamedModel], before: &[usize]) -> Vec<usize> {
    let quotas = proportional(count, models);
    let is_valid = before.len() == models.len() && before.iter().sum::<usize>() == count;
    let is_close = |(now, before): (&usize, &usize)| now.abs_diff(*before) < 2;
    if is_valid && quotas.iter().zip(before).all(is_close) { before.to_vec() } else { quotas }
}

fn proportional(count: usize, models: &[NamedModel]) -> Vec<usize> {
    let equal = 1.0 / models.len().max(1) as f64;
    let known: Option<Vec<f64>> = models.iter().map(|model| model.demand.events_per_s).collect();
    let known = known.unwrap_or_else(|| vec![1.0; models.len()]);
    let total = known.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let parts: Vec<f64> = known.iter().map(|demand| (demand / total).max(equal / 2.0)).collect();
    let sum: f64 = parts.iter().sum();
    let exact: Vec<f64> = parts.iter().map(|part| part / sum * count as f64).collect();
    let mut quotas: Vec<usize> = exact.iter().map(|quota| quota.floor() as usize).collect();
    let mut order: Vec<usize> = (0..models.len()).collect();
    order.sort_by(|a, b| exact[*b].fract().total_cmp(&exact[*a].fract()));
    let left = count - quotas.iter().sum::<usize>();
    for index in order.into_iter().cycle().take(if models.is_empty() { 0 } else { left }) {
        quotas[index] += 1;
    }
    quotas
}
