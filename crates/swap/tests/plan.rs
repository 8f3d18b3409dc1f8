//! Planning of weight loads. No test uses the network.

use deck_fleet::ModelDemand;
use deck_swap::{
    EngineHealth, EngineSnapshot, ModelSnapshot, PlanOptions, PlannedLoad,
    plan::{assign_engines, engine_quotas, max_concurrent_loads},
    plan_loads,
};

fn model(name: &str, published_version: u64) -> ModelSnapshot {
    ModelSnapshot {
        name: name.to_owned(),
        published_version: Some(published_version),
        demand: ModelDemand::default(),
    }
}

fn with_text_length(model: ModelSnapshot, mean_text_events: f64) -> ModelSnapshot {
    let demand = ModelDemand { mean_text_events: Some(mean_text_events), ..model.demand };
    ModelSnapshot { demand, ..model }
}

/// Assigns engines to models without quotas from an earlier plan.
fn assign_initially(engines: &[EngineSnapshot], models: &[ModelSnapshot]) -> Vec<Option<usize>> {
    assign_engines(engines, models, &engine_quotas(engines.len(), models, &[]))
}

fn with_demand(model: ModelSnapshot, events_per_s: f64) -> ModelSnapshot {
    let demand = ModelDemand { events_per_s: Some(events_per_s), ..model.demand };
    ModelSnapshot { demand, ..model }
}

fn engine(index: usize, versions: &[u64], free_slots: u32) -> EngineSnapshot {
    EngineSnapshot {
        target: format!("e{index}"),
        versions: versions.iter().map(|version| Some(*version)).collect(),
        is_loading: false,
        free_slots,
        min_event_ms: None,
        health: EngineHealth::Sound,
    }
}

fn target_ids(loads: &[PlannedLoad]) -> Vec<&str> {
    loads.iter().map(|planned_load| planned_load.target.as_str()).collect()
}

/// Too many concurrent loads would slow each other down.
#[test]
fn concurrent_loads_are_limited() {
    let engines: Vec<_> = (0..9).map(|index| engine(index, &[1], 8)).collect();
    let loads = plan_loads(&engines, &[model("m", 3)], &PlanOptions::default());
    assert_eq!(loads.len(), 2);
    let mut busy = engines;
    busy[0].is_loading = true;
    busy[1].is_loading = true;
    assert!(plan_loads(&busy, &[model("m", 3)], &PlanOptions::default()).is_empty());
}

/// A trainer publishes two versions in quick succession. If engines that can still generate for the
/// step loaded first, the step could be left without usable engines.
#[test]
fn unusable_engines_load_first() {
    let engines = [engine(0, &[4], 0), engine(1, &[3], 8), engine(2, &[4], 0), engine(3, &[3], 8)];
    let loads = plan_loads(&engines, &[model("m", 5)], &PlanOptions::default());
    assert_eq!(target_ids(&loads), ["e1"]);
    assert_eq!(loads[0].version, 5);
}

/// Of two models, the one with hardly any usable engines must not wait for loads of the other one.
#[test]
fn model_with_the_fewest_usable_engines_loads_first() {
    let mut engines: Vec<_> = (0..4).map(|index| engine(index, &[9, 1], 8)).collect();
    engines.extend((4..8).map(|index| engine(index, &[1, 2], 8)));
    let models = [model("a", 10), model("b", 4)];
    let options = PlanOptions { max_loading_fraction: 0.1, ..PlanOptions::default() };
    let loads = plan_loads(&engines, &models, &options);
    assert_eq!((loads[0].model_index, loads[0].version), (1, 4));
}

/// Several models share the engines. Without assignments, each engine would load the versions of
/// every model.
#[test]
fn engines_are_divided_between_models() {
    let engines: Vec<_> = (0..9).map(|index| engine(index, &[1, 1, 1], 8)).collect();
    let models = [model("a", 2), model("b", 2), model("c", 2)];
    let assigned = assign_initially(&engines, &models);
    for model in 0..3 {
        assert_eq!(
            assigned.iter().filter(|assigned_model| **assigned_model == Some(model)).count(),
            3,
            "{assigned:?}"
        );
    }
}

/// Assignments that change with each plan would cause needless loads.
#[test]
fn assignment_is_stable_after_loading() {
    let mut engines: Vec<_> = (0..9).map(|index| engine(index, &[1, 1], 8)).collect();
    let models = [model("a", 2), model("b", 2)];
    let previous_assignment = assign_initially(&engines, &models);
    for (engine, model) in engines.iter_mut().zip(&previous_assignment) {
        engine.versions[model.expect("a model")] = Some(2);
    }
    assert_eq!(assign_initially(&engines, &models), previous_assignment);
}

/// A model must keep some engines when another one has nearly all of the demand.
#[test]
fn model_with_low_demand_keeps_engines() {
    let engines: Vec<_> = (0..8).map(|index| engine(index, &[1, 1], 8)).collect();
    let models = [with_demand(model("a", 2), 9900.0), with_demand(model("b", 2), 100.0)];
    let assigned = assign_initially(&engines, &models);
    let of_b = assigned.iter().filter(|assigned_model| **assigned_model == Some(1)).count();
    assert!((1..4).contains(&of_b), "{assigned:?}");
}

/// Two models have jobs equally often, but the texts of one are two and a half times as long. With
/// equal shares its steps would wait for slots while engines of the other model are idle.
#[test]
fn engines_are_divided_by_demand() {
    let engines: Vec<_> = (0..11).map(|index| engine(index, &[1, 1], 12)).collect();
    let models = [with_demand(model("short", 2), 330.0), with_demand(model("long", 2), 850.0)];
    let assigned = assign_initially(&engines, &models);
    let of_long = assigned.iter().filter(|assigned_model| **assigned_model == Some(1)).count();
    assert_eq!(of_long, 8, "{assigned:?}");
    let unknown = [with_demand(model("short", 2), 330.0), model("long", 2)];
    let assigned = assign_initially(&engines, &unknown);
    let of_long = assigned.iter().filter(|assigned_model| **assigned_model == Some(1)).count();
    assert!((5..=6).contains(&of_long), "{assigned:?}");
}

/// Demand varies slightly from job to job. Engines must not move back and forth between models,
/// since each move costs a load.
#[test]
fn quotas_are_stable_under_small_demand_changes() {
    let models =
        |short, long| [with_demand(model("a", 2), short), with_demand(model("b", 2), long)];
    let previous_quotas = engine_quotas(44, &models(500.0, 500.0), &[]);
    assert_eq!(previous_quotas, [22, 22]);
    assert_eq!(engine_quotas(44, &models(480.0, 520.0), &previous_quotas), previous_quotas);
    let changed = engine_quotas(44, &models(300.0, 700.0), &previous_quotas);
    assert_eq!(changed, [13, 31]);
    assert_eq!(engine_quotas(40, &models(300.0, 700.0), &changed), [12, 28], "fewer engines");
}

/// No load may be planned for a model without a published version.
#[test]
fn nothing_is_loaded_before_a_version_is_published() {
    let engines = [engine(0, &[1], 8)];
    let unpublished = ModelSnapshot { published_version: None, ..model("m", 0) };
    assert!(plan_loads(&engines, &[unpublished], &PlanOptions::default()).is_empty());
    assert!(plan_loads(&engines, &[model("m", 1)], &PlanOptions::default()).is_empty());
    assert!(plan_loads(&[], &[model("m", 1)], &PlanOptions::default()).is_empty());
}

/// The limit on concurrent loads must not round down to zero in a small fleet.
#[test]
fn at_least_one_engine_loads() {
    assert_eq!(max_concurrent_loads(1, &PlanOptions::default()), 1);
    assert_eq!(max_concurrent_loads(38, &PlanOptions::default()), 8);
}

/// Guards against loads that slow each other down after targets were ordered: the source of the
/// weights does not grow with them.
#[test]
fn added_targets_do_not_raise_the_number_of_concurrent_loads() {
    let options = PlanOptions::default();
    let loads =
        |initial, count| max_concurrent_loads(count, &options.for_added_targets(initial, count));
    assert_eq!([loads(None, 60), loads(Some(38), 60), loads(Some(38), 30)], [12, 8, 6]);
}

/// A step waits for its longest texts, and a third of the engines is about a third slower. Those
/// engines must go to the model with short texts.
#[test]
fn fast_engines_generate_long_texts() {
    let long = |name: &str| with_text_length(model(name, 2), 20.0);
    let models = [long("a"), with_text_length(model("b", 2), 7.0), long("c")];
    let engines: Vec<_> = (0..9)
        .map(|index| EngineSnapshot {
            min_event_ms: Some(if index % 3 == 0 { 59.0 } else { 45.0 }),
            ..engine(index, &[1, 1, 1], 8)
        })
        .collect();
    let assigned = assign_initially(&engines, &models);
    let of_short: Vec<usize> = (0..9).filter(|index| assigned[*index] == Some(1)).collect();
    assert_eq!(of_short, [0, 3, 6], "{assigned:?}");
    let mut loaded = engines;
    for (engine, model) in loaded.iter_mut().zip(&assigned) {
        engine.versions[model.expect("a model")] = Some(2);
    }
    assert_eq!(assign_initially(&loaded, &models), assigned, "assignment is not stable");
}

/// Small speed differences may come from the current load of the engines; exchanging such engines
/// would cost loads without any benefit.
#[test]
fn engines_of_similar_speed_are_not_exchanged() {
    let models = [model("a", 2), model("b", 2)].map(|model| with_text_length(model, 20.0));
    let shorter = [models[0].clone(), with_text_length(models[1].clone(), 5.0)];
    let engines = |slow_ms: f64| -> Vec<_> {
        let speed = |index: usize| if index < 4 { slow_ms } else { 45.0 };
        (0..8)
            .map(|index| EngineSnapshot {
                min_event_ms: Some(speed(index)),
                ..engine(index, if index < 4 { &[2, 1] } else { &[1, 2] }, 8)
            })
            .collect()
    };
    for (models, slow_ms) in [(&models, 90.0), (&shorter, 48.0)] {
        let assigned = assign_initially(&engines(slow_ms), models);
        assert!(assigned[..4].iter().all(|model| *model == Some(0)), "{assigned:?}");
    }
    let assigned = assign_initially(&engines(59.0), &shorter);
    assert!(assigned[..4].iter().all(|model| *model == Some(1)), "{assigned:?}");
}

/// Long texts of a step are still being generated while the next version is loaded. A load must not
/// stall them while idle engines are available.
#[test]
fn idle_engines_load_before_busy_ones() {
    let engines = [engine(0, &[4], 1), engine(1, &[4], 8), engine(2, &[4], 3), engine(3, &[4], 0)];
    let options = PlanOptions {
        max_loading_fraction: 0.5,
        reserved_weight_load_fraction: 0.0,
        ..PlanOptions::default()
    };
    let loads = plan_loads(&engines, &[model("m", 5)], &options);
    assert_eq!(target_ids(&loads), ["e1", "e2"]);
}

/// Engines with version 1, of which the first ones have the given health.
fn engines_with_health(count: usize, health: &[EngineHealth]) -> Vec<EngineSnapshot> {
    let mut engines: Vec<_> = (0..count).map(|index| engine(index, &[1], 8)).collect();
    for (engine, health) in engines.iter_mut().zip(health) {
        engine.health = *health;
    }
    engines
}

/// Guards against one engine in trouble, which is behind most and so comes first, that stops the loads of
/// all others.
#[test]
fn failing_engine_takes_no_load_from_the_others() {
    let mut engines = engines_with_health(4, &[EngineHealth::Failing]);
    let plan = |engines: &[_]| plan_loads(engines, &[model("m", 3)], &PlanOptions::default());
    assert_eq!(target_ids(&plan(&engines)), ["e1", "e0"], "it is ordered beside a sound one");
    engines[0].is_loading = true;
    assert_eq!(target_ids(&plan(&engines)), ["e1"]);
    engines[1].is_loading = true;
    assert!(plan(&engines).is_empty(), "sound engines load one at a time");
    let resting = engines_with_health(4, &[EngineHealth::Resting]);
    assert_eq!(target_ids(&plan(&resting)), ["e1"]);
}

/// Guards against several engines in trouble that are ordered at the same time.
#[test]
fn failing_engines_are_ordered_one_at_a_time() {
    let mut engines = engines_with_health(4, &[EngineHealth::Failing; 2]);
    engines[2].versions = vec![Some(3)];
    engines[3].versions = vec![Some(3)];
    let plan = |engines: &[_]| plan_loads(engines, &[model("m", 3)], &PlanOptions::default());
    assert_eq!(target_ids(&plan(&engines)), ["e0"]);
    engines[0].is_loading = true;
    assert!(plan(&engines).is_empty());
}

/// Guards against engines that wait for their turn as failing ones after an outage of most of them.
#[test]
fn engines_that_mostly_fail_are_treated_alike() {
    let engines = engines_with_health(9, &[EngineHealth::Resting; 5]);
    let loads = plan_loads(&engines, &[model("m", 3)], &PlanOptions::default());
    assert_eq!(loads.len(), 2);
}
