//! Division of the rate that a target has named among the nodes.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_fleet::{
    CallerLimits, Configuration, EngineConfig, RequestPurpose, Senders, ServiceConfig, Target,
    TargetLimits, TargetState,
};
use test_case::test_case;

/// Period in which the requests of all nodes are counted.
const WINDOW: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(10);

fn target(started_at_ms: u64) -> Target {
    Target {
        id: "t".to_owned(),
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "a".to_owned(),
        state: TargetState::Ready,
        software_version: None,
        slots: 8,
        models: Vec::new(),
        started_at_ms,
        lifetime: Default::default(),
    }
}

fn configuration(models: &[&str]) -> Configuration {
    let models = models.iter().map(|model| (*model).to_owned()).collect();
    let engine = EngineConfig { slots: 8, tokens_per_event: 1, models };
    let service = ServiceConfig { name: "s".to_owned(), engine: Some(engine), scaling: None };
    Configuration::new(1, Vec::new(), vec![service], CallerLimits::default())
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 200) as u8, (index % 200) as u8], 80))
}

/// Creates the limits of nodes that all know the rate that the target has named.
fn start_nodes(
    count: usize,
    runners: &HashMap<String, SocketAddr>,
    requests_per_s: f64,
    now: Instant,
) -> Vec<TargetLimits> {
    let entry_nodes: Vec<SocketAddr> = (0..count).map(address).collect();
    let node = |index| {
        let limits = TargetLimits::default();
        limits.set_senders(Senders {
            own_address: Some(address(index)),
            entry_nodes: entry_nodes.clone(),
            leader: Some(address(0)),
            runners: runners.clone(),
        });
        limits.record(&target(1), Some(requests_per_s), now, now);
        limits
    };
    (0..count).map(node).collect()
}

/// Lets each node send whenever it may, after `idle_time` without requests. Returns the times of
/// all requests.
fn send_all(
    nodes: &[TargetLimits],
    purpose: RequestPurpose,
    configuration: &Configuration,
    start: Instant,
    idle_time: Duration,
) -> Vec<Instant> {
    let (mut sent, mut now) = (Vec::new(), start + idle_time);
    while now < start + idle_time + WINDOW * 4 {
        for limits in nodes {
            let wait = limits.time_until_available(&target(1), purpose, configuration, now);
            let available = limits.available(&target(1), purpose, configuration, now);
            assert_eq!(wait.is_zero(), available != Some(0));
            if wait.is_zero() {
                limits.count_request(&target(1), purpose, configuration, now);
                sent.push(now);
            }
        }
        now += STEP;
    }
    sent
}

fn assert_limit_is_kept_and_used(sent: &[Instant], requests_per_s: f64) {
    let in_window =
        |from: Instant| sent.iter().filter(|at| (from..from + WINDOW).contains(*at)).count();
    let most = sent.iter().map(|from| in_window(*from)).max().unwrap_or(0);
    let named = requests_per_s * WINDOW.as_secs_f64();
    assert!(most as f64 <= 1.5 * named + 5.0, "{most} requests in a window");
    assert!(sent.len() as f64 >= 0.6 * 4.0 * named - 2.0, "{} requests in 16 s", sent.len());
}

/// Nodes that each keep to the rate that a target has named send too many requests together, also
/// after a pause in which none of them has sent any.
#[test_case(1, 2.5)]
#[test_case(7, 0.5)]
#[test_case(7, 5.0)]
#[test_case(7, 40.0)]
#[test_case(65, 3.0)]
#[test_case(65, 30.0)]
#[test_case(250, 100.0)]
fn requests_of_all_nodes_stay_within_the_rate(node_count: usize, requests_per_s: f64) {
    for idle_time in [Duration::ZERO, Duration::from_secs(600)] {
        let (start, configuration) = (Instant::now(), configuration(&[]));
        let nodes = start_nodes(node_count, &HashMap::new(), requests_per_s, start);
        let sent = send_all(&nodes, RequestPurpose::Request, &configuration, start, idle_time);
        assert_limit_is_kept_and_used(&sent, requests_per_s);
    }
}

/// Runners that each use the whole rate of an engine send too many runs together; a runner that
/// shares it with nodes that run no jobs leaves most of it unused.
#[test]
fn runs_of_all_runners_stay_within_the_rate() {
    let (start, configuration) = (Instant::now(), configuration(&["m", "n", "o"]));
    let runners = HashMap::from([("m".to_owned(), address(3)), ("n".to_owned(), address(4))]);
    let nodes = start_nodes(20, &runners, 6.0, start);
    let mut nodes: Vec<Option<TargetLimits>> = nodes.into_iter().map(Some).collect();
    // The leader runs the jobs of the third model.
    let runners: Vec<TargetLimits> =
        [0, 3, 4].into_iter().filter_map(|index| nodes[index].take()).collect();
    let sent = send_all(&runners, RequestPurpose::Item, &configuration, start, Duration::ZERO);
    assert_limit_is_kept_and_used(&sent, 6.0);
}

/// A limit outlives the process that named it, or the answer of an earlier request ends it.
#[test]
fn limit_holds_for_the_process_until_a_later_request_shows_its_end() {
    let (start, configuration) = (Instant::now(), configuration(&[]));
    let limits = TargetLimits::default();
    let is_limited = |target: &Target, now: Instant| {
        limits.available(target, RequestPurpose::Request, &configuration, now).is_some()
    };
    let at = |ms: u64| start + Duration::from_millis(ms);
    limits.record(&target(1), Some(2.0), at(0), at(10));
    assert!(is_limited(&target(1), at(20)));
    assert!(!is_limited(&target(2), at(20)), "a later process has named no limit");
    limits.record(&target(1), None, at(5), at(30));
    assert!(is_limited(&target(1), at(40)), "the request was sent before the limit was named");
    limits.record(&target(1), None, at(20), at(50));
    assert!(!is_limited(&target(1), at(60)));
}
