//! Dispatch order and engine choice, one test per load pattern. Uses no network.

use std::time::{Duration, Instant};

use deck_batch::dispatch::{
    EngineCandidate, RunningItem, WaitingItem, WaitingText, can_continue_text, choose_engine,
    choose_migration, choose_migrations, defer_beyond_part, remaining_events, sort_by_urgency,
};
use deck_limit::Shares;
use deck_route::Slowdown;

fn waiting(item_index: usize, due_in_ms: u64, expected_ms: u64) -> WaitingItem {
    WaitingItem {
        item_index,
        time_until_due: Duration::from_millis(due_in_ms),
        expected_duration: Duration::from_millis(expected_ms),
        model: "m".to_owned(),
        min_version: 3,
        prompt_hash: 0,
        is_speculative: false,
        text: None,
    }
}

fn engine(name: &str, gap_ms: f64, active_runs: u32) -> EngineCandidate {
    EngineCandidate {
        target: name.to_owned(),
        version: 3,
        software_version: None,
        active_runs,
        slots: 8,
        event_gap_ms: gap_ms,
        slowdown: None,
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

/// Pattern: one organisation's items have held the engines, those of another one are less urgent, and
/// both wait for slots. Guards against an organisation whose items wait for those of another one, and
/// against an order by organisations while there are free slots.
#[test]
fn items_of_an_organisation_beyond_its_part_wait_for_others() {
    let (shares, now) = (Shares::default(), Instant::now());
    let item_time = Duration::from_secs(2);
    for _ in 0..10 {
        shares.charge("s", "large", item_time, now);
    }
    let items = || vec![waiting(0, 3000, 2000), waiting(1, 4000, 2000), waiting(2, 9000, 2000)];
    let organisations = ["large", "large", "small"];
    let order = || {
        let mut items = items();
        sort_by_urgency(&mut items);
        let owner_of =
            |item: &WaitingItem| Some(("s".to_owned(), organisations[item.item_index].to_owned()));
        defer_beyond_part(&mut items, owner_of, &shares, now);
        items.iter().map(|item| item.item_index).collect::<Vec<_>>()
    };
    assert_eq!(order(), [0, 1, 2]);
    shares.record_shortage("s", now);
    assert_eq!(order(), [2, 0, 1]);
    for _ in 0..6 {
        shares.charge("s", "small", item_time, now);
    }
    assert_eq!(order(), [0, 1, 2]);
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

/// Returns an engine that takes `knee` of its eight runs well: beyond them, each run slows all.
fn saturating_engine(name: &str, gap_ms: f64, active_runs: u32, knee: u32) -> EngineCandidate {
    let factors: Vec<f64> =
        (1..=16).map(|runs| (f64::from(runs) / f64::from(knee)).max(1.0)).collect();
    let slowdown = Slowdown::from_report(&factors, Some(knee));
    EngineCandidate { slowdown, ..engine(name, gap_ms, active_runs) }
}

/// Pattern: an engine is the fastest for a few runs and slows down long before it is full. Guards
/// against placing a text beyond what it takes well while a slower engine has room, and against
/// leaving the faster engine idle.
#[test]
fn engine_at_its_knee_is_left_alone_while_another_has_room() {
    let item = waiting(0, 7500, 6400);
    let chosen = |saturating_runs, slow_runs| {
        let engines =
            [saturating_engine("s", 33.0, saturating_runs, 3), engine("slow", 60.0, slow_runs)];
        choose_candidate(&item, &engines, None).map(|engine| engine.target.clone())
    };
    assert_eq!(chosen(2, 0).as_deref(), Some("s"));
    assert_eq!(chosen(3, 0).as_deref(), Some("slow"));
    assert_eq!(chosen(3, 7).as_deref(), Some("slow"));
    assert_eq!(chosen(3, 8).as_deref(), Some("s"));
    assert_eq!(chosen(8, 8), None);
    let long_text = running_item(120.0, 60.0);
    assert!(choose_migration(&long_text, &[saturating_engine("s", 33.0, 3, 3)]).is_none());
    assert!(choose_migration(&long_text, &[saturating_engine("s", 33.0, 2, 3)]).is_some());
}

/// Pattern: all engines turn slow at once, and all are at their knee. Guards against limits that fall
/// together until items wait although slots are free, and against another choice than before.
#[test]
fn engines_that_are_all_slow_are_used_to_their_last_slot() {
    for slower in [1.0, 3.0, 20.0] {
        let mut engines =
            [33.0, 40.0, 60.0].map(|gap_ms| saturating_engine("e", gap_ms * slower, 0, 1));
        let mut order = Vec::new();
        while let Some(index) = choose_engine(&waiting(0, 7500, 900), &engines, None) {
            engines[index].active_runs += 1;
            order.push(index);
        }
        assert_eq!(order.len(), 3 * 8);
        assert_eq!(order[..3], [0, 1, 2]);
    }
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
        software_version: None,
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

/// Pattern: after a restart, the texts of two jobs start on engines of unknown speed. Guards against
/// long texts that are moved one by one until their step is late, and against more moves than the
/// fast engines have slots.
#[test]
fn longest_texts_migrate_together() {
    let engines = vec![engine("here", 52.0, 8), engine("fast", 24.0, 6)];
    let mut candidates = vec![engines.clone(), engines];
    let items: Vec<(usize, RunningItem)> =
        (0..6).map(|index| (index % 2, running_item(52.0, 40.0 + 10.0 * index as f64))).collect();
    let migrations = choose_migrations(&items, &mut candidates, 8);
    assert!(migrations.iter().map(|(index, ..)| *index).eq([5, 4]), "{migrations:?}");
    assert!(migrations.iter().all(|(_, target, gain_ms)| target == "fast" && *gain_ms > 2000.0));
    assert!(candidates.iter().all(|candidates| candidates[1].active_runs == 8));
    let mut free = vec![vec![engine("fast", 24.0, 0)], vec![engine("fast", 24.0, 0)]];
    assert_eq!(choose_migrations(&items, &mut free, 3).len(), 3);
    let mut equal = vec![vec![engine("e", 50.0, 0)], vec![engine("e", 50.0, 0)]];
    assert!(choose_migrations(&items, &mut equal, 8).is_empty());
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

fn engine_of(software_version: &str, active_runs: u32) -> EngineCandidate {
    let software_version = Some(software_version.to_owned());
    EngineCandidate { software_version, ..engine("e", 40.0, active_runs) }
}

/// Returns an item that has waited for `waiting_ms` with a text of version "v1" of ten events.
fn waiting_with_text(waiting_ms: u64) -> WaitingItem {
    let text = WaitingText {
        software_version: Some("v1".to_owned()),
        events: 10,
        waiting_time: Duration::from_millis(waiting_ms),
    };
    WaitingItem { text: Some(text), ..waiting(0, 7500, 900) }
}

/// Pattern: engines of two software versions serve side by side. Guards against a text that another
/// version continues although an engine of its own version has a free slot, however slow that is.
#[test]
fn text_prefers_engines_of_its_software_version() {
    let slow_engine = EngineCandidate { event_gap_ms: 400.0, ..engine_of("v1", 7) };
    let engines = [engine_of("v2", 0), slow_engine, engine("unregistered", 30.0, 0)];
    assert_eq!(choose_engine(&waiting_with_text(0), &engines, None), Some(1));
    assert_eq!(choose_engine(&waiting_with_text(60_000), &engines, None), Some(1));
    assert_eq!(choose_engine(&waiting(0, 7500, 900), &engines, None), Some(2));
}

/// Pattern: the engines of the version that began a text are full, in a roll-out for ever. Guards
/// against an item that discards its text although a slot may become free sooner than the text can
/// be generated again, and against one that waits for longer.
#[test]
fn text_waits_for_a_slot_as_long_as_generating_it_again_takes() {
    let engines = [engine_of("v2", 0), engine_of("v1", 8)];
    assert_eq!(choose_engine(&waiting_with_text(0), &engines, None), None);
    assert_eq!(choose_engine(&waiting_with_text(399), &engines, None), None);
    assert_eq!(choose_engine(&waiting_with_text(400), &engines, None), Some(0));
    assert!(can_continue_text(&waiting_with_text(400), &engines));
    let full = [engine_of("v2", 8), engine_of("v1", 8)];
    assert_eq!(choose_engine(&waiting_with_text(60_000), &full, None), None);
}

/// Pattern: the version that began a text has vanished, or its engines have older weights than the
/// item allows. Guards against an item that waits for an engine that can never continue its text.
#[test]
fn text_without_an_engine_of_its_software_version_starts_anew() {
    let outdated_engine = EngineCandidate { version: 2, ..engine_of("v1", 0) };
    let engines = [outdated_engine, engine_of("v2", 0)];
    assert_eq!(choose_engine(&waiting_with_text(0), &engines, None), Some(1));
    assert!(!can_continue_text(&waiting_with_text(0), &engines));
    let unregistered = [engine("e", 40.0, 0)];
    assert_eq!(choose_engine(&waiting_with_text(0), &unregistered, None), Some(0));
    assert!(!can_continue_text(&waiting_with_text(0), &unregistered));
}

/// Guards against a text of engines without a registered software version that goes on at an engine
/// with one, and against one that is discarded although its engines are still there.
#[test]
fn unregistered_software_version_equals_only_itself() {
    let mut item = waiting_with_text(0);
    item.text.as_mut().expect("text").software_version = None;
    let engines = [engine_of("v1", 0), engine("unregistered", 400.0, 7)];
    assert_eq!(choose_engine(&item, &engines, None), Some(1));
    assert!(!can_continue_text(&item, &engines[..1]));
}

/// Guards against a migration that interrupts a text for an engine that may not continue it.
#[test]
fn text_migrates_only_within_its_software_version() {
    let item = RunningItem { software_version: Some("v1".to_owned()), ..running_item(120.0, 60.0) };
    let other = EngineCandidate { event_gap_ms: 10.0, ..engine_of("v2", 0) };
    assert!(choose_migration(&item, std::slice::from_ref(&other)).is_none());
    assert!(choose_migration(&item, &[engine("unregistered", 10.0, 0)]).is_none());
    let engines = [other, engine_of("v1", 2)];
    let chosen = choose_migration(&item, &engines).expect("a migration");
    assert_eq!(chosen.software_version.as_deref(), Some("v1"));
}

/// Pattern: length hints are often far off. Guards against treating a text that is past its hint as
/// finished.
#[test]
fn text_past_its_hint_is_expected_to_continue() {
    assert!(remaining_events(20, 60) > 10.0);
    assert_eq!(remaining_events(100, 40), 60.0);
}

/// Pattern: a long text waits for the last full engines of its software version while engines of
/// another version are idle. Guards against an item of a started step that is on no engine for five
/// seconds although less than half of the slots are in use, which breaks the rule LOST of batch jobs.
#[test]
fn long_text_does_not_wait_for_its_software_version_for_five_seconds() {
    let engines = [engine_of("v2", 0), engine_of("v2", 0), engine_of("v1", 8)];
    let mut item = waiting_with_text(5000);
    item.text.as_mut().expect("a text").events = 2000;
    assert!(choose_engine(&item, &engines, None).is_some());
}
