//! Planning of weight loads: assigns engines to models and selects which engines load the latest
//! published version next.

use std::cmp::Reverse;

use deck_core::{
    hash::rendezvous_score,
    id::{TargetId, WeightVersion},
};
use deck_fleet::ModelDemand;

/// Limits that [`plan_loads`] applies.
#[derive(Debug, Clone)]
pub struct PlanOptions {
    /// Number of versions an engine may lag behind the published one and still generate samples
    /// for the current training step.
    pub max_version_lag: u64,
    /// Maximum fraction of engines that load weights concurrently; more would slow each other down.
    pub max_loading_fraction: f64,
    /// Fraction of the concurrent loads reserved for engines that exceed `max_version_lag`.
    pub reserved_weight_load_fraction: f64,
}

impl Default for PlanOptions {
    fn default() -> Self {
        Self { max_version_lag: 1, max_loading_fraction: 0.2, reserved_weight_load_fraction: 0.5 }
    }
}

impl PlanOptions {
    /// Returns the options for `count` engines, of which no more may load at once than of the
    /// `initial` ones that there were before others were added.
    pub fn for_added_targets(&self, initial: Option<usize>, count: usize) -> Self {
        let ratio = initial.unwrap_or(count) as f64 / count.max(1) as f64;
        let max_loading_fraction = self.max_loading_fraction * ratio.min(1.0);
        Self { max_loading_fraction, ..self.clone() }
    }
}

/// Planner input: weight versions and load of one engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSnapshot {
    /// Id of the engine.
    pub target: TargetId,
    /// Loaded weight version of each model, by model index; `None` if the engine does not have the
    /// model.
    pub versions: Vec<Option<WeightVersion>>,
    /// Whether the engine is executing a load order.
    pub is_loading: bool,
    /// Number of unused slots.
    pub free_slots: u32,
    /// Time per event of the fastest recent run, in milliseconds; `None` if unknown.
    pub min_event_ms: Option<f64>,
    /// Whether the engine carries out orders.
    pub health: EngineHealth,
}

/// Whether an engine carries out orders, as far as its last ones show.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EngineHealth {
    /// Its last order had its effect, or it has had none.
    #[default]
    Sound,
    /// Its last order failed; it may be ordered again.
    Failing,
    /// As [`EngineHealth::Failing`], and not to be ordered yet.
    Resting,
}

/// Planner input: published version and demand of one model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSnapshot {
    /// Name of the model. Also decides, by rendezvous hashing, between engines with equal versions.
    pub name: String,
    /// Latest version published by the trainer; `None` before the first one.
    pub published_version: Option<WeightVersion>,
    /// Generation demand of the model's jobs.
    pub demand: ModelDemand,
}

/// Load of one model version on one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedLoad {
    /// Engine that loads the version.
    pub target: TargetId,
    /// Index of the model in the planner's model list.
    pub model_index: usize,
    /// Version to load.
    pub version: WeightVersion,
}

/// Assigns engines to models and returns the loads to start now, most urgent first.
///
/// Each engine is assigned to one model and loads only that model's versions, because loads are the
/// scarcest resource when trainers publish a version every few seconds. Engines that are too far
/// behind to generate for the newest step load first; among these, engines of the model with the
/// fewest usable engines come first. The remaining capacity goes to usable engines with the most
/// free slots, because a load can stall the runs on its engine until it completes.
pub fn plan_loads(
    engines: &[EngineSnapshot],
    models: &[ModelSnapshot],
    options: &PlanOptions,
) -> Vec<PlannedLoad> {
    let quotas = engine_quotas(engines.len(), models, &[]);
    plan_loads_for_assignment(engines, models, &assign_engines(engines, models, &quotas), options)
}

/// Like [`plan_loads`], with a given assignment of engines to models.
pub fn plan_loads_for_assignment(
    engines: &[EngineSnapshot],
    models: &[ModelSnapshot],
    assigned: &[Option<usize>],
    options: &PlanOptions,
) -> Vec<PlannedLoad> {
    let failing_count = engines.iter().filter(|e| e.health != EngineHealth::Sound).count();
    // If most engines fail, the cause is not theirs, and all are treated alike.
    let is_failing = |engine: &EngineSnapshot| {
        engine.health != EngineHealth::Sound && failing_count * 2 <= engines.len()
    };
    let (failing, sound): (Vec<&EngineSnapshot>, Vec<_>) =
        engines.iter().filter(|engine| engine.is_loading).partition(|engine| is_failing(engine));
    let available_loads = max_concurrent_loads(engines.len(), options).saturating_sub(sound.len());
    // Engines that may not carry out their order take no load from the others, one at a time.
    let retries_left = usize::from(failing.is_empty());
    let lag = |engine: &EngineSnapshot, model: usize| {
        let published = models[model].published_version?;
        Some(published.saturating_sub(engine.versions[model]?))
    };
    let count_usable = |model: usize| {
        let is_usable = |engine: &&EngineSnapshot| {
            lag(engine, model).is_some_and(|lag| lag <= options.max_version_lag)
        };
        engines.iter().filter(is_usable).count()
    };
    let usable_counts: Vec<usize> = (0..models.len()).map(count_usable).collect();
    // Index of the engine, index of its model, and number of versions that the engine is behind the
    // published one.
    let mut outdated: Vec<(usize, usize, u64)> = Vec::new();
    for (index, engine) in engines.iter().enumerate().filter(|(_, engine)| !engine.is_loading) {
        let Some(model) = assigned[index] else { continue };
        if is_failing(engine) && engine.health == EngineHealth::Resting {
            continue;
        }
        if let Some(lag) = lag(engine, model).filter(|lag| *lag > 0) {
            outdated.push((index, model, lag));
        }
    }
    outdated.sort_by_key(|(index, model, lag)| {
        let is_unusable = *lag > options.max_version_lag;
        let inverse_free_slots = u32::MAX - engines[*index].free_slots;
        let rank = if is_unusable { usable_counts[*model] as u32 } else { inverse_free_slots };
        (Reverse(is_unusable), rank, Reverse(*lag), engines[*index].target.clone())
    });
    let planned_load = |(index, model_index, _): (usize, usize, u64)| {
        let version = models[model_index].published_version?;
        Some(PlannedLoad { target: engines[index].target.clone(), model_index, version })
    };
    let (retried, outdated): (Vec<_>, Vec<_>) =
        outdated.into_iter().partition(|(index, ..)| is_failing(&engines[*index]));
    let unusable_count =
        outdated.iter().filter(|(_, _, lag)| *lag > options.max_version_lag).count();
    let reserved = (max_concurrent_loads(engines.len(), options) as f64
        * options.reserved_weight_load_fraction)
        .floor() as usize;
    let count = unusable_count.max(available_loads.saturating_sub(reserved)).min(available_loads);
    let loads = outdated.into_iter().take(count).chain(retried.into_iter().take(retries_left));
    loads.filter_map(planned_load).collect()
}

/// Returns how many of `count` engines may load weights concurrently; at least one.
pub fn max_concurrent_loads(count: usize, options: &PlanOptions) -> usize {
    ((count as f64 * options.max_loading_fraction).ceil() as usize).max(1)
}

/// Assigns each engine to a model and returns the model index for each engine.
///
/// The models take turns picking the engine that has their newest version, which keeps assignments
/// stable between plans. Each model receives as many engines as its quota. Afterwards, engines are
/// exchanged between models so that fast engines generate long texts.
pub fn assign_engines(
    engines: &[EngineSnapshot],
    models: &[ModelSnapshot],
    quotas: &[usize],
) -> Vec<Option<usize>> {
    let mut assigned = vec![None; engines.len()];
    let mut quotas = quotas.to_vec();
    // Engines that have the model in ascending order of preference; the last one is picked first.
    let rank_engines = |(model_index, model): (usize, &ModelSnapshot)| {
        let with_model =
            (0..engines.len()).filter(|index| engines[*index].versions[model_index].is_some());
        let key = |index: usize| {
            let engine = &engines[index];
            (engine.versions[model_index], rendezvous_score(&model.name, &engine.target))
        };
        let mut ranked: Vec<(_, usize)> = with_model.map(|index| (key(index), index)).collect();
        ranked.sort_unstable();
        ranked
    };
    let mut preferences: Vec<_> = models.iter().enumerate().map(rank_engines).collect();
    loop {
        let mut picked = false;
        for model in 0..models.len() {
            if quotas[model] == 0 {
                continue;
            }
            while let Some((_, index)) = preferences[model].pop() {
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
    reassign_fast_engines_to_long_texts(engines, models, &mut assigned);
    assigned
}

/// Minimum speed ratio of two engines for exchanging their models; a smaller difference may be
/// caused by their current load.
const MIN_SPEED_RATIO_FOR_EXCHANGE: f64 = 1.15;
/// Minimum ratio of the mean text lengths of two models for exchanging their engines.
const MIN_LENGTH_RATIO_FOR_EXCHANGE: f64 = 1.3;

/// Exchanges engines between models so that models with long texts get the fast engines. A training
/// step waits for its longest texts, whose duration is proportional to the engine's time per event.
fn reassign_fast_engines_to_long_texts(
    engines: &[EngineSnapshot],
    models: &[ModelSnapshot],
    assigned: &mut [Option<usize>],
) {
    let mut models_by_length: Vec<(usize, f64)> = models
        .iter()
        .enumerate()
        .filter_map(|(index, model)| Some((index, model.demand.mean_text_events?)))
        .collect();
    models_by_length.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
    for (position, (long, long_events)) in models_by_length.iter().enumerate() {
        for (short, short_events) in models_by_length[position + 1..].iter().rev() {
            if *long_events < short_events * MIN_LENGTH_RATIO_FOR_EXCHANGE {
                continue;
            }
            // Indices of the model's engines, with their times per event.
            let engines_of = |model: usize, assigned: &[Option<usize>]| -> Vec<(usize, f64)> {
                let of_model = (0..engines.len()).filter(|index| assigned[*index] == Some(model));
                of_model.filter_map(|index| Some((index, engines[index].min_event_ms?))).collect()
            };
            let compare_speed = |a: &(usize, f64), b: &(usize, f64)| {
                let target = |index: usize| &engines[index].target;
                a.1.total_cmp(&b.1).then_with(|| target(a.0).cmp(target(b.0)))
            };
            // The slowest engines of the model with long texts are exchanged for the fastest engines of
            // the model with short texts.
            let (mut slow, mut fast) = (engines_of(*long, assigned), engines_of(*short, assigned));
            slow.sort_by(|a, b| compare_speed(b, a));
            fast.sort_by(compare_speed);
            for (slow, fast) in slow.iter().zip(&fast) {
                if slow.1 < fast.1 * MIN_SPEED_RATIO_FOR_EXCHANGE {
                    break;
                }
                assigned[slow.0] = Some(*short);
                assigned[fast.0] = Some(*long);
            }
        }
    }
}

/// Returns the number of engines for each model, in proportion to the event rate its jobs demand.
///
/// Each model gets at least half of an equal share. All models get equal shares until all demands
/// are known. The quotas in `previous_quotas` are kept unless one of them would change by two or
/// more: an engine that moves to another model has to load it, and demand varies from job to job.
pub fn engine_quotas(
    count: usize,
    models: &[ModelSnapshot],
    previous_quotas: &[usize],
) -> Vec<usize> {
    let quotas = proportional_quotas(count, models);
    let is_valid =
        previous_quotas.len() == models.len() && previous_quotas.iter().sum::<usize>() == count;
    let is_close = |(quota, previous_quota): (&usize, &usize)| quota.abs_diff(*previous_quota) < 2;
    if is_valid && quotas.iter().zip(previous_quotas).all(is_close) {
        previous_quotas.to_vec()
    } else {
        quotas
    }
}

/// Divides `count` engines by demand; rounds by the largest remainder method.
fn proportional_quotas(count: usize, models: &[ModelSnapshot]) -> Vec<usize> {
    let equal_share = 1.0 / models.len().max(1) as f64;
    let demands: Option<Vec<f64>> = models.iter().map(|model| model.demand.events_per_s).collect();
    let demands = demands.unwrap_or_else(|| vec![1.0; models.len()]);
    let total = demands.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let shares: Vec<f64> =
        demands.iter().map(|demand| (demand / total).max(equal_share / 2.0)).collect();
    let sum: f64 = shares.iter().sum();
    let exact_quotas: Vec<f64> = shares.iter().map(|share| share / sum * count as f64).collect();
    let mut quotas: Vec<usize> = exact_quotas.iter().map(|quota| quota.floor() as usize).collect();
    let mut by_remainder: Vec<usize> = (0..models.len()).collect();
    by_remainder.sort_by(|a, b| exact_quotas[*b].fract().total_cmp(&exact_quotas[*a].fract()));
    let unassigned = count - quotas.iter().sum::<usize>();
    for index in
        by_remainder.into_iter().cycle().take(if models.is_empty() { 0 } else { unassigned })
    {
        quotas[index] += 1;
    }
    quotas
}
