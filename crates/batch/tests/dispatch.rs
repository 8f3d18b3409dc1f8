//! Dispatch order and engine choice, one test per load pattern. Uses no network.

use std::time::Duration;

use deck_batch::dispatch::{
    EngineCandidate, RunningItem, WaitingItem, choose_engine, choose_migration, remaining_events,
    sort_by_urgency,
};

fn waiting(item_index: usize, due_in_ms: u64, expected_ms: u64) -> WaitingItem {
    WaitingItem {
        item_index,
        time_until_due: Duration::from_millis(due_in_ms),
        expected_duration: Duration::from_millis(expected_ms),
        model: "m".to_owned(),
        min_version: 3,
        prompt_hash: 0,
        is_speculative: false,
    }
}

fn engine(name: &str, gap_ms: f64, active_runs: u32) -> EngineCandidate {
    EngineCandidate {
        target: name.to_owned(),
        version: 3,
        active_runs,
        slots: 8,
        event_gap_ms: gap_ms,
        assigned_to_other_model: false,
    }
}

fn choose_candidate<'a>(
    item: &WaitingItem,
    engines: &'a [EngineCandidate],
    cached_engine: Option<&str>,
) -> Option<&'a EngineCandidate> {
    choose_engine(item, engines, cached_engine).map(|index| &engines[index])
}

fn dispatch_order(mut items: Vec<WaitingItem>) -> Vec<usize> {
    sort_by_urgency(&mut items);
    items.iter().map(|item| item.item_index).collect()
}

/// Pattern: the longest text of a step takes almost as long as the step may. Guards against
/// starting it after short texts, which would make the step late.
#[test]
fn longest_item_of_a_step_starts_first() {
    let items = vec![waiting(0, 7500, 900), waiting(1, 7500, 6400), waiting(2, 7500, 2000)];
    assert_eq!(dispatch_order(items), [1, 2, 0]);
}

/// Pattern: two trainers, one with a step half done when the other submits a new one. Guards
/// against starvation of the older step by the long texts of the new one.
#[test]
fn nearly_due_item_precedes_a_longer_one_of_a_new_step() {
    let items = vec![waiting(0, 7500, 5000), waiting(1, 1500, 900)];
    assert_eq!(dispatch_order(items), [1, 0]);
}

/// Pattern: a third of the engines is slower than the others. Guards against placing long texts on
/// slow engines while a fast one has a free slot.
#[test]
fn fast_engine_with_one_free_slot_is_preferred_to_an_idle_slow_one() {
    let engines = [engine("slow", 48.0, 0), engine("fast", 37.0, 7), engine("other", 37.0, 8)];
    let chosen_engine =
        choose_candidate(&waiting(0, 7500, 6400), &engines, None).expect("an engine");
    assert_eq!(chosen_engine.target, "fast");
}

/// Guards against text of a weight version that the step does not accept.
#[test]
fn engine_with_an_older_version_is_never_chosen() {
    let outdated_engine = EngineCandidate { version: 2, ..engine("old", 10.0, 0) };
    assert!(choose_candidate(&waiting(0, 7500, 900), &[outdated_engine], None).is_none());
}

/// Guards against queueing at engines, where items can be neither migrated nor reordered.
#[test]
fn full_engine_is_not_chosen() {
    assert!(choose_candidate(&waiting(0, 7500, 900), &[engine("full", 37.0, 8)], None).is_none());
}

/// Pattern: the items of a group share their prompt. Guards against processing a prompt again on an
/// otherwise equal engine.
#[test]
fn engine_with_the_cached_prompt_is_preferred() {
    let engines = [engine("a", 37.0, 0), engine("cached", 37.0, 1)];
    let chosen_engine =
        choose_candidate(&waiting(0, 7500, 900), &engines, Some("cached")).expect("an engine");
    assert_eq!(chosen_engine.target, "cached");
}

/// Pattern: at startup all engines serve the first version of every model, and each runner fills
/// them. Guards against runners that all send to the same engines, which refuse most runs, and
/// against engines that stay idle because they are assigned to another model.
#[test]
fn engines_assigned_to_other_models_are_used_last() {
    let engine_of_other_model =
        |name| EngineCandidate { assigned_to_other_model: true, ..engine(name, 30.0, 0) };
    let own_free = [engine_of_other_model("a"), engine_of_other_model("b"), engine("own", 33.0, 5)];
    let item = waiting(0, 7500, 900);
    assert_eq!(choose_candidate(&item, &own_free, None).expect("an engine").target, "own");
    let own_full = [engine_of_other_model("a"), engine("own", 33.0, 8)];
    assert_eq!(choose_candidate(&item, &own_full, Some("own")).expect("an engine").target, "a");
    let migration_engines = [engine_of_other_model("a"), engine("here", 120.0, 1)];
    let running_item =
        RunningItem { event_gap_ms: 120.0, remaining_events: 100.0, ..running_item(120.0, 100.0) };
    assert!(choose_migration(&running_item, &migration_engines).is_none());
}

fn running_item(gap_ms: f64, remaining_events: f64) -> RunningItem {
    RunningItem {
        target: "here".to_owned(),
        event_gap_ms: gap_ms,
        remaining_events,
        min_version: 3,
    }
}

/// Pattern: some engines slow down for seconds because of other load on their host. Guards against
/// a long text that stays on a slow engine until its step is late.
#[test]
fn long_text_migrates_from_a_slow_engine() {
    let engines = [engine("here", 120.0, 3), engine("fast", 37.0, 2)];
    assert_eq!(
        choose_migration(&running_item(120.0, 60.0), &engines).expect("a migration").target,
        "fast"
    );
}

/// Guards against repeated migrations whose gain is lost to setting up new connections.
#[test]
fn nearly_finished_text_does_not_migrate() {
    let engines = [engine("fast", 37.0, 0)];
    assert!(choose_migration(&running_item(120.0, 3.0), &engines).is_none());
    assert!(choose_migration(&running_item(40.0, 100.0), &engines).is_none());
}

/// Guards against migration to an engine without a free slot or with an older version.
#[test]
fn text_does_not_migrate_to_an_unusable_engine() {
    let outdated_engine = EngineCandidate { version: 2, ..engine("old", 30.0, 0) };
    assert!(
        choose_migration(&running_item(120.0, 60.0), &[engine("full", 30.0, 8), outdated_engine])
            .is_none()
    );
}

/// Pattern: length hints are often far off. Guards against treating a text that is past its hint as
/// finished.
#[test]
fn text_past_its_hint_is_expected_to_continue() {
    assert!(remaining_events(20, 60) > 10.0);
    assert_eq!(remaining_events(100, 40), 60.0);
}
