//! Metrics of `decknode`: the reference page, recorded values and the number of label values.

use std::time::{Duration, Instant};

use deck_core::{CancellationToken, boot_clock::BootInstant};
use deck_fleet::{
    AttemptOutcome, CallerLimits, ChunkFinder, Configuration, EngineRegistry, FleetView,
    ItemOutcome, ItemRunOutcome, JobEvent, Observer, ResumptionOutcome, ResumptionScope, RouteKind,
    ServiceConfig, Target, TargetState, config::EngineConfig,
};
use deck_net::{Account, Client};
use deck_obs::reference::documented_rows;
use deck_plat::metered::{CallRecord, Operation, Outcome};
use deck_route::{Router, RouterOptions};
use decknode::{
    loop_delay::measure_loop_delay,
    metrics::{GaugeState, METRICS, NodeMetrics, RequestPurpose},
};

/// Returns the metrics page of a node that sends all requests over its own links.
fn render(
    metrics: &NodeMetrics,
    view: &FleetView,
    engines: &EngineRegistry,
    open_jobs: usize,
    is_leader: bool,
) -> String {
    let targets = &Client::default().into();
    metrics.render(&GaugeState { view, engines, open_jobs, is_leader, targets })
}

/// Page that documents the metrics; its rows must equal those in the code.
const REFERENCE_PAGE: &str = include_str!("../../../docs/metrics.md");

/// Guards against metrics that are added, renamed or removed without updating the reference page.
#[test]
fn reference_matches_the_code() {
    let expected: Vec<String> = METRICS.iter().map(|metric| metric.markdown_row()).collect();
    assert_eq!(documented_rows(REFERENCE_PAGE, "decknode_"), expected);
}

/// Returns a view with one engine for each of the given versions of model `m`.
fn view_with_engines(engines: &EngineRegistry, versions: &[u64]) -> FleetView {
    let view = FleetView::new(Router::new(RouterOptions::default()));
    let engine = EngineConfig { slots: 4, models: vec!["m".to_owned()], tokens_per_event: 1 };
    let service = ServiceConfig { name: "e".to_owned(), engine: Some(engine), scaling: None };
    view.set_configuration(Configuration::new(4, vec![], vec![service], CallerLimits::default()));
    let target = |index: usize| Target {
        id: format!("e{index}"),
        service: "e".to_owned(),
        address: ([127, 0, 0, 1], 1 + index as u16).into(),
        data_centre: "a".to_owned(),
        state: TargetState::Ready,
        software_version: None,
        slots: 4,
        models: Vec::new(),
        started_at_ms: 0,
        lifetime: Default::default(),
    };
    let targets: Vec<Target> = (0..versions.len()).map(target).collect();
    for (target, version) in targets.iter().zip(versions) {
        engines.set_version(target, "m", *version);
    }
    view.set_targets(targets, Instant::now());
    view.set_up_to_date_at(Instant::now());
    view
}

/// Guards against a documented metric without an instrument, and against values recorded under a
/// wrong label.
#[test]
fn each_metric_is_shown_once_it_was_recorded() {
    let metrics = NodeMetrics::new();
    let one_second = Duration::from_secs(1);
    let route = RequestPurpose::Route { kind: RouteKind::Streaming, name: "r".to_owned() };
    metrics.record_scaling_order("demand", "accepted");
    metrics.record_request(&route, 503, Some(deck_core::error::ErrorKind::NoTarget), one_second);
    metrics.on_attempt_end(AttemptOutcome::Broken, Some(one_second));
    metrics.on_stream_resumption(ResumptionScope::Caller, ResumptionOutcome::VersionGone);
    metrics.on_job_event(JobEvent::TakenOver);
    metrics.on_first_run(one_second);
    metrics.on_first_event(one_second);
    metrics.on_item_run_end(ItemRunOutcome::Moved, one_second);
    metrics.on_event_time(Duration::from_millis(40), Duration::from_millis(60));
    metrics.on_item_result(ItemOutcome::Failed);
    metrics.on_results_stored(7);
    metrics.on_chunk_found(ChunkFinder::Read);
    metrics.on_group_end(false);
    metrics.on_order_reply(None);
    metrics.on_weights_loaded(one_second);
    metrics.on_usage_report("accepted");
    metrics.on_usage_window_closed(true);
    metrics.record_loop_delay(one_second);
    metrics.record_store_call(CallRecord {
        operation: Operation::List,
        kind: "nodes",
        outcome: Outcome::ResponseLost,
        duration: one_second,
    });
    metrics.record_clients(&Account::default());
    let engines = EngineRegistry::default();
    let view = view_with_engines(&engines, &[9, 9, 8, 2]);
    view.confirm_configuration(4, BootInstant::now());
    let text = render(&metrics, &view, &engines, 2, true);
    for row in METRICS {
        assert!(text.contains(&format!("# TYPE {} {}\n", row.name, row.kind)), "{}", row.name);
        assert_eq!(row.name.ends_with("_total"), row.kind == "counter", "{}", row.name);
    }
    for line in [
        "decknode_requests_total{purpose=\"streaming\",reason=\"no_target\",route=\"r\",status=\"503\"} 1",
        "decknode_attempts_total{outcome=\"broken\"} 1",
        "decknode_stream_resumptions_total{outcome=\"version_gone\",scope=\"caller\"} 1",
        "decknode_event_time_seconds_sum{value=\"error\"} 0.02",
        "decknode_results_stored_total 7",
        "decknode_chunks_found_total{found_by=\"read\"} 1",
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

/// Guards against a number of time series that grows with the number of configured routes.
#[test]
fn routes_have_a_bounded_number_of_labels() {
    let metrics = NodeMetrics::new();
    for index in 0..500 {
        let route =
            RequestPurpose::Route { kind: RouteKind::Idempotent, name: format!("r{index}") };
        metrics.record_request(&route, 200, None, Duration::ZERO);
    }
    let engines = EngineRegistry::default();
    let view = FleetView::new(Router::new(RouterOptions::default()));
    let text = render(&metrics, &view, &engines, 0, false);
    assert_eq!(text.matches("decknode_requests_total{").count(), 65);
    assert!(text.contains("route=\"other\",status=\"200\"} 436"), "{text}");
}

/// Guards against an event loop that is blocked by work without showing it in the metrics.
#[test]
fn busy_event_loop_is_measured() {
    deck_net::runtime::run(async {
        let (metrics, cancel) = (NodeMetrics::new(), CancellationToken::new());
        monoio::spawn(measure_loop_delay(metrics.clone(), cancel.clone()));
        // The measuring task has set its first timer, which can fire only when this task yields
        // again.
        monoio::time::sleep(Duration::from_millis(1)).await;
        std::thread::sleep(Duration::from_millis(900));
        monoio::time::sleep(Duration::from_millis(1)).await;
        let engines = EngineRegistry::default();
        let view = view_with_engines(&engines, &[]);
        let text = render(&metrics, &view, &engines, 0, false);
        let sum = "decknode_loop_delay_seconds_sum ";
        let sum = text.lines().find_map(|line| line.strip_prefix(sum)).expect("a measurement");
        assert!(sum.parse::<f64>().expect("seconds") >= 0.5, "{text}");
        cancel.cancel();
    })
    .expect("runtime");
}
