//! Plans of weight changes, one test for each load pattern. No test needs the network.

use deck_fleet::ModelDemand;
use deck_swap::{
    Change, EngineVersions, NamedModel, PlanOptions, plan,
    plan::{assign, max_loading, quotas},
};

fn model(name: &str, named: u64) -> NamedModel {
    NamedModel { name: name.to_owned(), named: Some(named), demand: ModelDemand::default() }
}

fn with_texts(model: NamedModel, text_events: f64) -> NamedModel {
    let demand = ModelDemand { text_events: Some(text_events), ..model.demand };
    NamedModel { demand, ..model }
}

/// Returns the models of the engines as they are assigned at first.
fn assign_first(engines: &[EngineVersions], models: &[NamedModel]) -> Vec<Option<usize>> {
    assign(engines, models, &quotas(engines.len(), models, &[]))
}

fn with_work(model: NamedModel, events_per_s: f64) -> NamedModel {
    let demand = ModelDemand { events_per_s: Some(events_per_s), ..model.demand };
    NamedModel { demand, ..model }
}

fn engine(index: usize, versions: &[u64], free_slots: u32) -> EngineVersions {
    EngineVersions {
        target: format!("e{index}"),
        versions: versions.iter().map(|version| Some(*version)).collect(),
        loading: false,
        free_slots,
        event_ms: None,
    }
}

fn targets(changes: &[Change]) -> Vec<&str> {
    changes.iter().map(|change| change.target.as_str()).collect()
}

/// Pattern: more engines load at a time than load at full speed. Guards against loads that slow
/// each other down.
#[test]
fn loads_stay_within_the_bound() {
    let engines: Vec<_> = (0..9).map(|index| engine(index, &[1], 8)).collect();
    let changes = plan(&engines, &[model("m", 3)], &PlanOptions::default());
    assert_eq!(changes.len(), 2);
    let mut busy = engines;
    busy[0].loading = true;
    busy[1].loading = true;
    assert!(plan(&busy, &[model("m", 3)], &PlanOptions::default()).is_empty());
}

/// Pattern: a trainer names two versions in quick succession. Guards against a step that no engine
/// may serve while engines that still can are loaded first.
#[test]
fn engines_that_are_of_no_use_load_first() {
    let engines = [engine(0, &[4], 0), engine(1, &[3], 8), engine(2, &[4], 0), engine(3, &[3], 8)];
    let changes = plan(&engines, &[model("m", 5)], &PlanOptions::default());
    assert_eq!(targets(&changes), ["e1"]);
    assert_eq!(changes[0].version, 5);
}

/// Pattern: two trainers, one of which has hardly any usable engine. Guards against loads for the
/// model that can wait.
#[test]
fn model_with_the_fewest_usable_engines_loads_first() {
    let mut engines: Vec<_> = (0..4).map(|index| engine(index, &[9, 1], 8)).collect();
    engines.extend((4..8).map(|index| engine(index, &[1, 2], 8)));
    let models = [model("a", 10), model("b", 4)];
    let options = PlanOptions { loading_part: 0.1, ..PlanOptions::default() };
    let changes = plan(&engines, &models, &options);
    assert_eq!((changes[0].model, changes[0].version), (1, 4));
}

/// Pattern: trainers of several models share the engines. Guards against engines that load the
/// versions of every model.
#[test]
fn each_engine_follows_one_model() {
    let engines: Vec<_> = (0..9).map(|index| engine(index, &[1, 1, 1], 8)).collect();
    let models = [model("a", 2), model("b", 2), model("c", 2)];
    let assigned = assign_first(&engines, &models);
    for model in 0..3 {
        assert_eq!(assigned.iter().filter(|of| **of == Some(model)).count(), 3, "{assigned:?}");
    }
}

/// Guards against assignments that change with each plan and load versions for nothing.
#[test]
fn assignment_stays_with_the_loaded_versions() {
    let mut engines: Vec<_> = (0..9).map(|index| engine(index, &[1, 1], 8)).collect();
    let models = [model("a", 2), model("b", 2)];
    let before = assign_first(&engines, &models);
    for (engine, model) in engines.iter_mut().zip(&before) {
        engine.versions[model.expect("a model")] = Some(2);
    }
    assert_eq!(assign_first(&engines, &models), before);
}

/// Pattern: one model has most of the work. Guards against a model without engines.
#[test]
fn model_with_little_work_keeps_engines() {
    let engines: Vec<_> = (0..8).map(|index| engine(index, &[1, 1], 8)).collect();
    let models = [with_work(model("a", 2), 9900.0), with_work(model("b", 2), 100.0)];
    let assigned = assign_first(&engines, &models);
    let of_b = assigned.iter().filter(|of| **of == Some(1)).count();
    assert!((1..4).contains(&of_b), "{assigned:?}");
}

/// Pattern: two trainers ask equally often, and the texts of one are two and a half times as long.
/// Guards against steps of long texts that wait for slots while engines of the other model are idle.
#[test]
fn engines_are_shared_by_the_work_of_the_models() {
    let engines: Vec<_> = (0..11).map(|index| engine(index, &[1, 1], 12)).collect();
    let models = [with_work(model("short", 2), 330.0), with_work(model("long", 2), 850.0)];
    let assigned = assign_first(&engines, &models);
    let of_long = assigned.iter().filter(|of| **of == Some(1)).count();
    assert_eq!(of_long, 8, "{assigned:?}");
    let unknown = [with_work(model("short", 2), 330.0), model("long", 2)];
    let assigned = assign_first(&engines, &unknown);
    let of_long = assigned.iter().filter(|of| **of == Some(1)).count();
    assert!((5..=6).contains(&of_long), "{assigned:?}");
}

/// Pattern: the work of two models varies a little from job to job. Guards against engines that go back
/// and forth between models, each time with a load.
#[test]
fn shares_stay_while_the_work_varies_a_little() {
    let models = |short, long| [with_work(model("a", 2), short), with_work(model("b", 2), long)];
    let before = quotas(44, &models(500.0, 500.0), &[]);
    assert_eq!(before, [22, 22]);
    assert_eq!(quotas(44, &models(480.0, 520.0), &before), before);
    let changed = quotas(44, &models(300.0, 700.0), &before);
    assert_eq!(changed, [13, 31]);
    assert_eq!(quotas(40, &models(300.0, 700.0), &changed), [12, 28], "engines are gone");
}

/// Guards against orders for a model of which no version was named yet.
#[test]
fn nothing_is_loaded_before_a_version_is_named() {
    let engines = [engine(0, &[1], 8)];
    let unnamed = NamedModel { named: None, ..model("m", 0) };
    assert!(plan(&engines, &[unnamed], &PlanOptions::default()).is_empty());
    assert!(plan(&engines, &[model("m", 1)], &PlanOptions::default()).is_empty());
    assert!(plan(&[], &[model("m", 1)], &PlanOptions::default()).is_empty());
}

/// Guards against a bound of zero in a small fleet.
#[test]
fn at_least_one_engine_loads() {
    assert_eq!(max_loading(1, &PlanOptions::default()), 1);
    assert_eq!(max_loading(38, &PlanOptions::default()), 8);
}

/// Pattern: a step waits for its longest texts, and a third of the engines is slower by a third.
/// Guards against long texts on slow engines while the model with short texts has the fast ones.
#[test]
fn fast_engines_run_the_long_texts() {
    let long = |name: &str| with_texts(model(name, 2), 20.0);
    let models = [long("a"), with_texts(model("b", 2), 7.0), long("c")];
    let engines: Vec<_> = (0..9)
        .map(|index| EngineVersions {
            event_ms: Some(if index % 3 == 0 { 59.0 } else { 45.0 }),
            ..engine(index, &[1, 1, 1], 8)
        })
        .collect();
    let assigned = assign_first(&engines, &models);
    let of_short: Vec<usize> = (0..9).filter(|index| assigned[*index] == Some(1)).collect();
    assert_eq!(of_short, [0, 3, 6], "{assigned:?}");
    let mut loaded = engines;
    for (engine, model) in loaded.iter_mut().zip(&assigned) {
        engine.versions[model.expect("a model")] = Some(2);
    }
    assert_eq!(assign_first(&loaded, &models), assigned, "engines change their model again");
}

/// Pattern: engines differ by their load of the moment only. Guards against exchanges that cost loads
/// and gain nothing.
#[test]
fn engines_of_about_the_same_speed_are_not_exchanged() {
    let models = [model("a", 2), model("b", 2)].map(|model| with_texts(model, 20.0));
    let shorter = [models[0].clone(), with_texts(models[1].clone(), 5.0)];
    let engines = |slow_ms: f64| -> Vec<_> {
        let speed = |index: usize| if index < 4 { slow_ms } else { 45.0 };
        (0..8)
            .map(|index| EngineVersions {
                event_ms: Some(speed(index)),
                ..engine(index, if index < 4 { &[2, 1] } else { &[1, 2] }, 8)
            })
            .collect()
    };
    for (models, slow_ms) in [(&models, 90.0), (&shorter, 48.0)] {
        let assigned = assign_first(&engines(slow_ms), models);
        assert!(assigned[..4].iter().all(|model| *model == Some(0)), "{assigned:?}");
    }
    let assigned = assign_first(&engines(59.0), &shorter);
    assert!(assigned[..4].iter().all(|model| *model == Some(1)), "{assigned:?}");
}

/// Pattern: the long texts of a step still run while the next version is loaded. Guards against loads
/// that hold up running texts while other engines are empty.
#[test]
fn empty_engines_load_before_busy_ones() {
    let engines = [engine(0, &[4], 1), engine(1, &[4], 8), engine(2, &[4], 3), engine(3, &[4], 0)];
    let options = PlanOptions { loading_part: 0.5, spare_part: 0.0, ..PlanOptions::default() };
    let changes = plan(&engines, &[model("m", 5)], &options);
    assert_eq!(targets(&changes), ["e1", "e2"]);
}
