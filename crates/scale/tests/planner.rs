//! The decision how many targets are ordered, by pattern of load.

use std::time::{Duration, Instant};

use deck_fleet::{ModelDemand, ScalingConfig};
use deck_scale::{
    Outcome, PlannedOrder, Planner, PlannerOptions, Reason, ServiceRecord, ServiceSnapshot,
    SpotKind, Subject, TargetSnapshot,
};

const BOOT_TIME: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(250);

/// A service with three data centres, `a` the cheapest, and its planner; time passes by [`STEP`].
struct Setup {
    planner: Planner,
    service: ServiceSnapshot,
    now: Instant,
    sent: Vec<PlannedOrder>,
    /// Number of runs, if there are enough slots.
    runs: f64,
}

fn target(data_centre: &str, is_spot: bool) -> TargetSnapshot {
    let data_centre = data_centre.to_owned();
    TargetSnapshot { data_centre, is_ready: true, is_spot, event_ms: Some(50.0), active_runs: 0 }
}

fn planner(record: Option<&ServiceRecord>, now: Instant) -> Planner {
    Planner::new(PlannerOptions::default(), record, BOOT_TIME, now)
}

impl Setup {
    /// Starts with four regular targets of six slots in each data centre.
    fn start() -> Self {
        let prices = [("a", 0.8), ("b", 1.2), ("c", 1.0)];
        let scaling = ScalingConfig {
            min_targets: 1,
            max_targets: 8,
            boot_time: BOOT_TIME,
            spot_price_ratio: Some(0.2),
            data_centre_prices: prices.map(|(name, price)| (name.to_owned(), price)).into(),
        };
        let targets = ["a", "b", "c"].into_iter().flat_map(|name| vec![target(name, false); 4]);
        let service =
            ServiceSnapshot { scaling, slots: 6, demands: Vec::new(), targets: targets.collect() };
        let now = Instant::now();
        Self { planner: planner(None, now), service, now, sent: Vec::new(), runs: 0.0 }
    }

    /// Lets `time` pass; `answer` gives the outcome of each order. Accepted orders have no effect yet.
    fn pass(&mut self, time: Duration, mut answer: impl FnMut(&PlannedOrder) -> Outcome) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            if let Some(order) = self.next_order() {
                self.planner.begin(&order);
                let outcome = answer(&order);
                self.planner.end(&order, outcome, BOOT_TIME, self.now);
                self.sent.push(order);
            }
        }
    }

    /// Makes the live targets those that were ordered last.
    fn boot(&mut self) {
        let record = self.planner.record();
        self.service.targets.clear();
        for (name, counts) in &record.data_centres {
            let regular = (0..counts.regular).map(|_| target(name, false));
            let spot = (0..counts.spot).map(|_| target(name, true));
            self.service.targets.extend(regular.chain(spot));
        }
    }

    /// Sets a demand for which `targets` targets of usual speed suffice, at 70% use.
    fn demand(&mut self, targets: f64) {
        let events_per_s = Some(targets * 0.999 * 6.0 * 0.7 / 0.05);
        self.service.demands = vec![ModelDemand { events_per_s, ..ModelDemand::default() }];
        self.runs = targets * 0.999 * 6.0 * 0.7;
        // The mean number of busy slots settles.
        for _ in 0..30 {
            self.now += Duration::from_secs(1);
            self.next_order();
        }
    }

    /// Lets the runs be on the live targets and returns the next order.
    fn next_order(&mut self) -> Option<PlannedOrder> {
        let targets = &mut self.service.targets;
        let runs = (self.runs / targets.len() as f64).min(6.0);
        for (index, target) in targets.iter_mut().enumerate() {
            let before = (runs * index as f64) as u32;
            target.active_runs = (runs * (index + 1) as f64) as u32 - before;
        }
        self.planner.next_order(&self.service, self.now)
    }

    fn ordered(&self, data_centre: &str) -> (u32, u32) {
        let record = self.planner.record();
        let counts = record.data_centres.get(data_centre).copied().unwrap_or_default();
        (counts.regular, counts.spot)
    }

    fn total_ordered(&self) -> u32 {
        let counts = ["a", "b", "c"].map(|name| self.ordered(name));
        counts.iter().map(|(regular, spot)| regular + spot).sum()
    }
}

fn accept(_: &PlannedOrder) -> Outcome {
    Outcome::Accepted
}

/// Targets would be ordered before any demand is known, or without need.
#[test]
fn present_targets_suffice_without_a_measurement() {
    let mut setup = Setup::start();
    setup.pass(Duration::from_secs(30), accept);
    setup.demand(12.0);
    setup.pass(Duration::from_secs(300), accept);
    assert_eq!(setup.sent, []);
}

/// Rise: items would wait for slots all the time, or a reclaimed data centre would leave too few.
#[test]
fn rise_orders_spot_targets_in_all_data_centres() {
    let mut setup = Setup::start();
    setup.pass(Duration::from_secs(1), accept);
    setup.demand(15.0);
    setup.pass(Duration::from_secs(5), accept);
    assert!(setup.sent.iter().all(|order| order.reason == Reason::Demand), "{:?}", setup.sent);
    let spot = ["a", "b", "c"].map(|name| setup.ordered(name).1);
    let most = spot.iter().max().expect("data centres");
    assert!(12 + spot.iter().sum::<u32>() - most >= 15, "{spot:?}");
    assert!(spot.iter().all(|count| *count >= 1), "{spot:?}");
    let calls = setup.sent.len();
    setup.boot();
    setup.pass(Duration::from_secs(60), accept);
    assert_eq!(setup.sent.len(), calls, "no further orders once the targets are there");
}

/// Restart: a runner loads several jobs at once, and the estimated rate is far too high for a while.
#[test]
fn estimated_rate_without_busy_slots_orders_nothing() {
    let mut setup = Setup::start();
    setup.demand(5.0);
    setup.service.demands[0].events_per_s = Some(1e6);
    setup.pass(Duration::from_secs(60), accept);
    assert_eq!(setup.sent, []);
}

/// Ebb: targets would go while a step pauses for a moment, or idle targets would stay forever.
#[test]
fn ebb_gives_up_added_targets_only_after_a_long_time() {
    let mut setup = Setup::start();
    setup.pass(Duration::from_secs(1), accept);
    setup.demand(16.0);
    setup.pass(Duration::from_secs(5), accept);
    setup.boot();
    // The demand has settled after 30 s, of which about 20 s are without need.
    setup.demand(2.0);
    let calls = setup.sent.len();
    setup.pass(Duration::from_secs(29), accept);
    assert_eq!(setup.sent.len(), calls);
    for _ in 0..66 {
        setup.pass(Duration::from_secs(1), accept);
        setup.boot();
    }
    assert!(setup.sent[calls..].iter().all(|order| order.reason == Reason::Ebb));
    assert!(setup.total_ordered() <= 14, "{}", setup.total_ordered());
    assert!(["a", "b", "c"].iter().all(|name| setup.ordered(name).0 == 4));
}

/// Reclaim: all spot targets of a data centre leave, and the rest would not suffice, or the reclaimed
/// ones would not be replaced.
#[test]
fn reclaimed_targets_are_replaced_elsewhere() {
    let mut setup = Setup::start();
    setup.pass(Duration::from_secs(1), accept);
    setup.demand(15.0);
    setup.pass(Duration::from_secs(5), accept);
    setup.boot();
    setup.pass(Duration::from_secs(1), accept);
    let reclaimed = "a";
    setup.service.targets.retain(|target| !(target.is_spot && target.data_centre == reclaimed));
    assert!(setup.service.targets.len() >= 15);
    let calls = setup.sent.len();
    setup.pass(Duration::from_secs(4), accept);
    let others = &setup.sent[calls..];
    assert!(!others.is_empty());
    let dry = Subject { data_centre: reclaimed.to_owned(), kind: SpotKind::Spot };
    assert!(others.iter().all(|order| order.subject != dry), "{others:?}");
}

/// Dry data centre: refused orders would be repeated at once, or the targets would not be ordered
/// elsewhere.
#[test]
fn refused_orders_go_to_other_data_centres_and_kinds() {
    let mut setup = Setup::start();
    setup.pass(Duration::from_secs(1), accept);
    setup.demand(14.0);
    let dry = Subject { data_centre: "a".to_owned(), kind: SpotKind::Spot };
    let answer = |order: &PlannedOrder| match order.subject == dry {
        true => Outcome::Refused,
        false => Outcome::Accepted,
    };
    setup.pass(Duration::from_secs(4), answer);
    assert_eq!(setup.sent.iter().filter(|order| order.subject == dry).count(), 1);
    assert_eq!(setup.ordered("a").1, 0);
    assert!(setup.total_ordered() >= 15);

    let mut setup = Setup::start();
    setup.pass(Duration::from_secs(1), accept);
    setup.demand(14.0);
    let answer = |order: &PlannedOrder| match order.subject.kind {
        SpotKind::Spot => Outcome::Refused,
        SpotKind::Regular => Outcome::Accepted,
    };
    setup.pass(Duration::from_secs(4), answer);
    assert_eq!(setup.total_ordered(), 14, "regular targets need no spare");
    assert!(setup.ordered("b").1 == 0);
}

/// API down: calls without an answer would be repeated without a pause, or a late execution of an
/// older call would undo a newer one.
#[test]
fn calls_without_an_answer_are_repeated_with_a_growing_pause() {
    let mut setup = Setup::start();
    setup.pass(Duration::from_secs(1), accept);
    setup.demand(14.0);
    setup.pass(Duration::from_secs(20), |_| Outcome::Unanswered);
    assert!((3..=8).contains(&setup.sent.len()), "{} calls", setup.sent.len());
    setup.pass(Duration::from_secs(20), accept);
    assert!(setup.total_ordered() >= 14);
}

/// Late execution: a call without an answer would undo a later order when it is executed at last.
#[test]
fn later_number_is_sent_again_after_a_call_without_an_answer() {
    let mut setup = Setup::start();
    setup.pass(Duration::from_secs(1), accept);
    setup.service.targets.truncate(11);
    // The cheapest data centre, which gets further targets first.
    let first = Subject { data_centre: "a".to_owned(), kind: SpotKind::Spot };
    let mut calls = 0;
    setup.pass(Duration::from_secs(6), |order| {
        calls += u32::from(order.subject == first);
        if order.subject == first && calls == 1 { Outcome::Unanswered } else { Outcome::Accepted }
    });
    assert!(setup.sent.iter().filter(|order| order.subject == first).all(|order| order.count == 1));
    setup.service.targets.truncate(4);
    setup.pass(Duration::from_secs(7), accept);
    setup.boot();
    let (_, spot) = setup.ordered(&first.data_centre);
    assert!(spot > 1, "{spot}");
    setup.sent.clear();
    setup.pass(Duration::from_secs(20), accept);
    let calls: Vec<_> = setup.sent.iter().map(|order| (&order.subject, order.count)).collect();
    assert_eq!(calls, [(&first, spot)]);
    assert_eq!(setup.sent[0].reason, Reason::Repetition);
}

/// Slow engines: they would count as good ones while the steps wait for them.
#[test]
fn slow_and_lost_engines_are_replaced() {
    let mut setup = Setup::start();
    setup.pass(Duration::from_secs(1), accept);
    for target in setup.service.targets.iter_mut().take(3) {
        target.event_ms = Some(200.0);
    }
    setup.service.targets.pop();
    setup.pass(Duration::from_secs(4), accept);
    assert_eq!(setup.sent, [], "a short loss is over before a new target serves");
    setup.pass(Duration::from_secs(4), accept);
    assert!(setup.sent.iter().all(|order| order.reason == Reason::Replacement));
    // 8 + 3 x 0.25 remain of 12, and one data centre may be reclaimed.
    let spot: u32 = ["a", "b", "c"].iter().map(|name| setup.ordered(name).1).sum();
    assert!((3..=4).contains(&spot), "{spot} spot targets of at most a third of 12");
    assert!(setup.total_ordered() >= 15);
}

/// Losses over a long time: the ordered numbers would grow to the maximum, although few targets are
/// left, and nothing more could be ordered.
#[test]
fn lost_targets_do_not_use_up_the_maximum() {
    let mut setup = Setup::start();
    setup.service.scaling.spot_price_ratio = None;
    setup.pass(Duration::from_secs(1), accept);
    for _ in 0..40 {
        setup.service.targets.remove(0);
        setup.pass(Duration::from_secs(5), accept);
        while let Some(order) = setup.sent.pop() {
            let added = order.count.saturating_sub(order.previous);
            let added = (0..added).map(|_| target(&order.subject.data_centre, false));
            setup.service.targets.extend(added);
        }
        setup.pass(Duration::from_secs(70), accept);
    }
    assert!(setup.service.targets.len() >= 11, "{}", setup.service.targets.len());
    assert!(setup.total_ordered() < 24, "{}", setup.total_ordered());
}

/// All slow: orders would go on without an end, although new targets may be as slow.
#[test]
fn growth_is_bounded_when_all_engines_are_slow() {
    let mut setup = Setup::start();
    setup.pass(Duration::from_secs(1), accept);
    for _ in 0..10 {
        setup.service.targets.iter_mut().for_each(|target| target.event_ms = Some(250.0));
        setup.pass(Duration::from_secs(10), accept);
        setup.boot();
    }
    assert!(setup.total_ordered() > 12, "more targets help while all are slow");
    setup.service.scaling.max_targets = 100;
    setup.demand(1000.0);
    setup.pass(Duration::from_secs(30), accept);
    assert!(setup.total_ordered() <= 24, "{}", setup.total_ordered());
}

/// Bounds: an order would exceed the maximum of a data centre, or leave one below its minimum.
#[test]
fn bounds_hold_in_each_data_centre() {
    let mut setup = Setup::start();
    setup.service.scaling.max_targets = 5;
    setup.pass(Duration::from_secs(1), accept);
    setup.demand(1000.0);
    setup.pass(Duration::from_secs(60), accept);
    assert!(["a", "b", "c"].iter().all(|name| {
        let (regular, spot) = setup.ordered(name);
        regular + spot == 5
    }));

    let mut setup = Setup::start();
    setup.service.scaling.min_targets = 5;
    setup.pass(Duration::from_secs(5), accept);
    assert!(["a", "b", "c"].iter().all(|name| setup.ordered(name).0 == 5));
    assert!(setup.sent.iter().all(|order| order.reason == Reason::Minimum));
}

/// Takeover: a new leader that sees the list before ordered targets have booted would order fewer than
/// its predecessor, whereupon targets drain.
#[test]
fn a_new_leader_continues_from_the_recorded_numbers() {
    let mut setup = Setup::start();
    setup.pass(Duration::from_secs(1), accept);
    setup.demand(15.0);
    setup.pass(Duration::from_secs(5), accept);
    let record = setup.planner.record();
    setup.planner = planner(Some(&record), setup.now);
    setup.service.targets.truncate(6);
    setup.sent.clear();
    setup.pass(Duration::from_secs(7), accept);
    assert_eq!(setup.sent, [], "targets may be booting");
    setup.pass(Duration::from_secs(8), accept);
    assert!(!setup.sent.is_empty(), "lost targets are replaced");
    assert!(setup.sent.iter().all(|order| order.count >= order.previous), "{:?}", setup.sent);
    let added = setup.sent.iter().map(|order| order.count - order.previous).sum::<u32>();
    assert!(added >= 4, "{added}");
    for (name, counts) in &record.data_centres {
        assert!(setup.ordered(name).0 >= counts.regular);
    }
}
