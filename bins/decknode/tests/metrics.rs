//! Metrics reference of `decknode`, and the bound on its labels.

use std::time::{Duration, Instant};

use deck_core::CancellationToken;
use deck_fleet::{
    AttemptEnd, CallerLimits, Configuration, Engines, ItemOutcome, JobChange, Observer, RouteKind,
    RunEnd, Service, Target, TargetState, View, config::Engine,
};
use deck_obs::reference::documented_rows;
use deck_plat::metered::{CallRecord, Operation, Outcome};
use deck_route::{Router, RouterOptions};
use decknode::{
    delay::keep_measuring,
    metrics::{METRICS, NodeMetrics, NodeState, Purpose},
};

const PAGE: &str = include_str!("../../../docs/metrics.md");

/// Guards against metrics that are added, renamed or removed without the reference.
#[test]
fn reference_matches_the_code() {
    let expected: Vec<String> = METRICS.iter().map(|row| row.table_row()).collect();
    assert_eq!(documented_rows(PAGE, "decknode_"), expected);
}

fn view_with_engines(engines: &Engines, versions: &[u64]) -> View {
    let view = View::new(Router::new(RouterOptions::default()));
    let engine = Engine { slots: 4, models: vec!["m".to_owned()], tokens_per_event: 1 };
    let service = Service { name: "e".to_owned(), engine: Some(engine) };
    view.set_configuration(Configuration::new(4, vec![], vec![service], CallerLimits::default()));
    let target = |index: usize| Target {
        id: format!("e{index}"),
        service: "e".to_owned(),
        address: ([127, 0, 0, 1], 1 + index as u16).into(),
        data_centre: "a".to_owned(),
        state: TargetState::Ready,
        slots: 4,
        models: Vec::new(),
        started_at_ms: 0,
    };
    let targets: Vec<Target> = (0..versions.len()).map(target).collect();
    for (target, version) in targets.iter().zip(versions) {
        engines.set_version(target, "m", *version);
    }
    view.set_targets(targets, Instant::now());
    view.set_checked(Instant::now());
    view
}

/// Guards against a row of the reference without an instrument, and against a count under the wrong
/// label.
#[test]
fn each_metric_is_shown_once_it_was_recorded() {
    let metrics = NodeMetrics::new();
    let second = Duration::from_secs(1);
    let route = Purpose::Route { kind: RouteKind::Streaming, name: "r".to_owned() };
    metrics.record(&route, 503, Some(deck_core::error::ErrorKind::NoTarget), second);
    metrics.attempt(AttemptEnd::Broken, Some(second));
    metrics.job(JobChange::TakenOver);
    metrics.first_run(second);
    metrics.first_event(second);
    metrics.run(RunEnd::Moved, second);
    metrics.item(ItemOutcome::Failed);
    metrics.results_stored(7);
    metrics.group(false);
    metrics.order(None);
    metrics.loaded(second);
    metrics.record_delay(second);
    metrics.record_store_call(CallRecord {
        operation: Operation::List,
        kind: "nodes",
        outcome: Outcome::Lost,
        time: second,
    });
    let engines = Engines::default();
    let view = view_with_engines(&engines, &[9, 9, 8, 2]);
    let state = NodeState { view: &view, engines: &engines, open_jobs: 2, leads: true };
    let text = metrics.render(&state);
    for row in METRICS {
        assert!(text.contains(&format!("# TYPE {} {}\n", row.name, row.kind)), "{}", row.name);
        assert_eq!(row.name.ends_with("_total"), row.kind == "counter", "{}", row.name);
    }
    for line in [
        "decknode_requests_total{purpose=\"streaming\",reason=\"no_target\",route=\"r\",status=\"503\"} 1",
        "decknode_attempts_total{outcome=\"broken\"} 1",
        "decknode_results_stored_total 7",
        "decknode_groups_total{on_time=\"false\"} 1",
        "decknode_orders_total{reply=\"none\"} 1",
        "decknode_engines{model=\"m\",versions_behind=\"0\"} 2",
        "decknode_engines{model=\"m\",versions_behind=\"1\"} 1",
        "decknode_engines{model=\"m\",versions_behind=\"3\"} 1",
        "decknode_newest_version{model=\"m\"} 9",
        "decknode_open_jobs 2",
        "decknode_leads 1",
    ] {
        assert!(text.contains(&format!("{line}\n")), "{line}\n{text}");
    }
}

/// Guards against a number of series that grows with the configuration.
#[test]
fn routes_have_a_bounded_number_of_labels() {
    let metrics = NodeMetrics::new();
    for index in 0..500 {
        let route = Purpose::Route { kind: RouteKind::Idempotent, name: format!("r{index}") };
        metrics.record(&route, 200, None, Duration::ZERO);
    }
    let engines = Engines::default();
    let view = View::new(Router::new(RouterOptions::default()));
    let state = NodeState { view: &view, engines: &engines, open_jobs: 0, leads: false };
    let text = metrics.render(&state);
    assert_eq!(text.matches("decknode_requests_total{").count(), 65);
    assert!(text.contains("route=\"other\",status=\"200\"} 436"), "{text}");
}

/// Guards against a node whose work holds up everything that is due, and that does not show it.
#[test]
fn busy_event_loop_is_measured() {
    deck_net::runtime::run(async {
        let (metrics, cancel) = (NodeMetrics::new(), CancellationToken::new());
        monoio::spawn(keep_measuring(metrics.clone(), cancel.clone()));
        // The first timer is set, and fires only when this task gives way again.
        monoio::time::sleep(Duration::from_millis(1)).await;
        std::thread::sleep(Duration::from_millis(900));
        monoio::time::sleep(Duration::from_millis(1)).await;
        let engines = Engines::default();
        let view = view_with_engines(&engines, &[]);
        let state = NodeState { view: &view, engines: &engines, open_jobs: 0, leads: false };
        let text = metrics.render(&state);
        let sum = "decknode_loop_delay_seconds_sum ";
        let sum = text.lines().find_map(|line| line.strip_prefix(sum)).expect("a measurement");
        assert!(sum.parse::<f64>().expect("seconds") >= 0.5, "{text}");
        cancel.cancel();
    })
    .expect("runtime");
}
