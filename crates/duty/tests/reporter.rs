//! Decisions of the holder of the reports of use, without a network.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use deck_duty::usage::{
    AttemptEnd, NodeAnswer, ReporterOptions, SendOutcome, Situation, SourceCounts, Step,
    StoredReports, UsageMeter, UsageReporter, WindowNumber,
};

const WINDOW: Duration = Duration::from_secs(5);
const FIRST_WINDOW: WindowNumber = 100;

fn options() -> ReporterOptions {
    ReporterOptions::new(WINDOW, Duration::from_secs(10), 50.0)
}

fn nodes() -> Vec<SocketAddr> {
    (1..=3).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect()
}

/// Returns the time `seconds` after the end of the first window.
fn after_end(seconds: f64) -> Duration {
    WINDOW * FIRST_WINDOW as u32 + Duration::from_secs_f64(WINDOW.as_secs_f64() + seconds)
}

/// Returns stored reports in which all windows before the first one are sent.
fn earlier_reports() -> StoredReports {
    StoredReports { sent: Some(FIRST_WINDOW - 1), ..StoredReports::default() }
}

fn counts(total: u64) -> BTreeMap<String, u64> {
    BTreeMap::from([("o".to_owned(), total)])
}

/// Returns the next step at `now` if no count has changed.
fn next_step(reporter: &UsageReporter, now: Duration, may_send: bool) -> Step {
    reporter.next_step(&Situation { now, nodes: &nodes(), may_send, ledger_version: 0 })
}

fn loaded_reporter() -> UsageReporter {
    let mut reporter = UsageReporter::new(options());
    assert_eq!(next_step(&reporter, after_end(0.0), true), Step::Load);
    reporter.on_known(Some(1), earlier_reports());
    reporter
}

/// Lets `answering` answer that they are complete up to the first window.
fn end_round(reporter: &mut UsageReporter, at: Duration, answering: &[SocketAddr]) {
    for node in answering {
        reporter.on_answer(NodeAnswer { node: *node, first_open: FIRST_WINDOW + 1 });
    }
    reporter.on_round_end(at, &nodes());
}

/// Returns the stored reports with the first window closed with `total` requests.
fn closed(
    reporter: &mut UsageReporter,
    total: u64,
    known: Vec<SourceCounts>,
) -> (StoredReports, Option<u64>) {
    let now = after_end(1.0);
    let situation = Situation { now, nodes: &nodes(), may_send: true, ledger_version: 7 };
    reporter.reports_with([(FIRST_WINDOW, counts(total))], known, &situation)
}

/// Closes the first window with `total` requests.
fn close(reporter: &mut UsageReporter, total: u64) {
    let (reports, revision) = closed(reporter, total, Vec::new());
    reporter.on_known(revision.map(|revision| revision + 1), reports);
}

/// A window that is closed although a node that can still answer has counts of it is too low.
#[test]
fn waits_for_missing_node_until_shortly_before_report_is_due() {
    let mut reporter = loaded_reporter();
    let ask = Step::Ask { from: FIRST_WINDOW, nodes: nodes() };
    assert_eq!(next_step(&reporter, after_end(0.5), true), ask);
    end_round(&mut reporter, after_end(0.5), &nodes()[..2]);
    let ask_again = Step::Ask { from: FIRST_WINDOW, nodes: nodes()[2..].to_vec() };
    assert_eq!(next_step(&reporter, after_end(1.5), true), ask_again);
    end_round(&mut reporter, after_end(6.0), &[]);
    assert!(matches!(next_step(&reporter, after_end(6.1), true), Step::Wait(_)));
    let step = next_step(&reporter, after_end(6.6), true);
    assert_eq!(step, Step::Close(vec![FIRST_WINDOW]));
    assert_eq!(reporter.incomplete_nodes(FIRST_WINDOW, &nodes()), nodes()[2..]);
}

/// Each window waits almost until its report is due for a node that was taken away for good and stays
/// registered, so that an outage of the object API at that time makes reports late.
#[test]
fn does_not_wait_for_node_that_is_gone() {
    let mut reporter = loaded_reporter();
    let gone = nodes()[2];
    reporter.on_silence(gone, after_end(-5.0 + 0.5));
    reporter.on_silence(gone, after_end(0.5));
    end_round(&mut reporter, after_end(0.5), &nodes()[..2]);
    assert!(!matches!(next_step(&reporter, after_end(0.6), true), Step::Close(_)));
    assert_eq!(next_step(&reporter, after_end(5.6), true), Step::Close(vec![FIRST_WINDOW]));
    reporter.on_answer(NodeAnswer { node: gone, first_open: FIRST_WINDOW });
    assert!(!matches!(next_step(&reporter, after_end(5.6), true), Step::Close(_)));
}

/// Counts that are sent before they are stored differ from those of the next holder.
#[test]
fn sends_only_stored_counts_and_repeats_them_until_accepted() {
    let mut reporter = loaded_reporter();
    end_round(&mut reporter, after_end(0.5), &nodes());
    let close_step = Step::Close(vec![FIRST_WINDOW]);
    assert_eq!(next_step(&reporter, after_end(0.6), true), close_step);
    reporter.on_store_error(after_end(0.6));
    assert!(matches!(next_step(&reporter, after_end(0.7), true), Step::Wait(_)));
    assert_eq!(next_step(&reporter, after_end(1.1), true), Step::Load);
    // The write took effect although its response was lost.
    let windows = BTreeMap::from([(FIRST_WINDOW, counts(3))]);
    reporter.on_known(Some(2), StoredReports { windows, ..earlier_reports() });
    assert!(!matches!(next_step(&reporter, after_end(1.1), false), Step::Send(_)));
    for outcome in [SendOutcome::Unknown, SendOutcome::Accepted] {
        assert_eq!(next_step(&reporter, after_end(3.0), true), Step::Send(FIRST_WINDOW));
        assert_eq!(reporter.stored_counts(FIRST_WINDOW), Some(&counts(3)));
        reporter.on_sent(FIRST_WINDOW, outcome, after_end(2.0)..after_end(2.1));
    }
    assert!(matches!(next_step(&reporter, after_end(3.0), true), Step::Wait(_)));
    let (reports, _) = closed(&mut reporter, 9, Vec::new());
    assert_eq!(reports, StoredReports { sent: Some(FIRST_WINDOW), ..StoredReports::default() });
}

/// All counts of the current windows are lost with all nodes, or are stored without an end.
#[test]
fn stores_new_counts_of_open_windows_at_bounded_intervals() {
    let mut reporter = loaded_reporter();
    end_round(&mut reporter, after_end(0.5), &nodes());
    let known = |window| SourceCounts { window, source: 1, counts: counts(2) };
    let (reports, revision) =
        closed(&mut reporter, 2, vec![known(FIRST_WINDOW), known(FIRST_WINDOW + 1)]);
    assert_eq!(reports.open, [known(FIRST_WINDOW + 1)]);
    reporter.on_known(revision, reports);
    reporter.on_sent(FIRST_WINDOW, SendOutcome::Accepted, after_end(1.0)..after_end(1.0));
    let step = |reporter: &UsageReporter, seconds, ledger_version| {
        let now = after_end(seconds);
        reporter.next_step(&Situation { now, nodes: &nodes(), may_send: true, ledger_version })
    };
    assert!(matches!(step(&reporter, 1.05, 8), Step::Wait(_)));
    assert!(matches!(step(&reporter, 1.1, 7), Step::Wait(_)));
    assert_eq!(step(&reporter, 1.1, 8), Step::Copy);
    // As many counts as may be stored are stored less often.
    let many = |source| SourceCounts { source, ..known(FIRST_WINDOW + 1) };
    let situation =
        Situation { now: after_end(2.0), nodes: &nodes(), may_send: true, ledger_version: 8 };
    reporter.reports_with([], (0..3000).map(many).collect(), &situation);
    assert!(matches!(step(&reporter, 2.7, 9), Step::Wait(_)));
    assert_eq!(step(&reporter, 2.75, 9), Step::Copy);
}

/// Counts of the current window that nodes had before the lease are lost with all nodes, as they are
/// not stored before the end of the window.
#[test]
fn asks_all_nodes_at_the_start_of_a_lease() {
    let mut reporter = loaded_reporter();
    let ask = Step::Ask { from: FIRST_WINDOW, nodes: nodes() };
    assert_eq!(next_step(&reporter, after_end(-3.0), true), ask);
    end_round(&mut reporter, after_end(-3.0), &[]);
    assert!(matches!(next_step(&reporter, after_end(-1.0), true), Step::Wait(_)));
    assert_eq!(next_step(&reporter, after_end(0.5), true), ask);
}

/// The platform takes a report and does not answer; nothing but this report is tried any more, so that
/// later windows are not closed and their counts are not stored.
#[test]
fn silent_platform_does_not_hold_up_other_steps() {
    let mut reporter = loaded_reporter();
    end_round(&mut reporter, after_end(0.5), &nodes());
    close(&mut reporter, 3);
    assert_eq!(next_step(&reporter, after_end(1.0), true), Step::Send(FIRST_WINDOW));
    reporter.on_sent(FIRST_WINDOW, SendOutcome::Unknown, after_end(1.0)..after_end(1.8));
    let now = after_end(1.8);
    let situation = Situation { now, nodes: &nodes(), may_send: true, ledger_version: 8 };
    assert_eq!(reporter.next_step(&situation), Step::Copy);
}

/// A node that the platform has refused calls again with the same fencing number.
#[test]
fn stops_after_later_holder_was_seen() {
    let mut reporter = loaded_reporter();
    end_round(&mut reporter, after_end(0.5), &nodes());
    close(&mut reporter, 1);
    reporter.on_sent(FIRST_WINDOW, SendOutcome::FenceRefused, after_end(1.0)..after_end(1.0));
    for seconds in [1.0, 20.0] {
        assert_eq!(next_step(&reporter, after_end(seconds), true), Step::Stop);
    }
}

/// Windows during which no node held the lease are never reported.
#[test]
fn reports_windows_that_nobody_reported_while_counts_are_kept() {
    let reporter = loaded_reporter();
    let now = after_end(14.0);
    assert!(matches!(next_step(&reporter, now, true), Step::Ask { from: FIRST_WINDOW, .. }));
    let mut reporter = loaded_reporter();
    end_round(&mut reporter, now, &[]);
    let step = next_step(&reporter, now, true);
    assert_eq!(step, Step::Close(vec![FIRST_WINDOW, FIRST_WINDOW + 1]));
    let long_after = after_end(500.0);
    end_round(&mut reporter, long_after, &[]);
    let Step::Close(windows) = next_step(&reporter, long_after, true) else {
        panic!("nothing is closed");
    };
    assert_eq!((windows.len(), windows[0]), (5, FIRST_WINDOW + 94));
}

/// Small generator with a fixed seed.
struct Random(u64);

impl Random {
    fn chance(&mut self, percent: u64) -> bool {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % 100 < percent
    }
}

/// Platform and object API, on which calls may be executed late.
#[derive(Default)]
struct Services {
    revision: u64,
    stored: StoredReports,
    accepted: BTreeMap<WindowNumber, BTreeMap<String, u64>>,
    late_writes: Vec<(StoredReports, Option<u64>)>,
    late_reports: Vec<(WindowNumber, BTreeMap<String, u64>)>,
}

impl Services {
    fn write(&mut self, reports: StoredReports, condition: Option<u64>) -> Option<u64> {
        if condition.unwrap_or(0) != self.revision {
            return None;
        }
        self.revision += 1;
        self.stored = reports;
        Some(self.revision)
    }

    fn report(&mut self, window: WindowNumber, counts: BTreeMap<String, u64>) {
        let accepted = self.accepted.entry(window).or_insert_with(|| counts.clone());
        assert_eq!(*accepted, counts, "two reports of window {window}");
    }

    /// Executes the calls that were held up.
    fn execute_late(&mut self) {
        for (reports, condition) in std::mem::take(&mut self.late_writes) {
            self.write(reports, condition);
        }
        for (window, counts) in std::mem::take(&mut self.late_reports) {
            self.report(window, counts);
        }
    }
}

/// Lets one holder do its next step; calls fail or are executed late with `trouble` percent.
fn act(
    reporter: &mut UsageReporter,
    meters: &[UsageMeter],
    holder: usize,
    services: &mut Services,
    now: Duration,
    random: &mut Random,
    trouble: u64,
) {
    let (nodes, meter) = (nodes(), &meters[holder]);
    let ledger_version = meter.ledger_version();
    let situation = Situation { now, nodes: &nodes, may_send: true, ledger_version };
    match reporter.next_step(&situation) {
        Step::Load if random.chance(trouble) => reporter.on_store_error(now),
        Step::Load => {
            let revision = (services.revision > 0).then_some(services.revision);
            meter.merge(&services.stored.open);
            reporter.on_known(revision, services.stored.clone());
        }
        Step::Ask { from, nodes: asked } => {
            for node in asked {
                if random.chance(trouble) {
                    reporter.on_silence(node, now);
                    continue;
                }
                let asked = &meters[usize::from(node.port()) - 1];
                let first_open = asked.first_open_window();
                meter.merge(&asked.entries(from, false));
                reporter.on_answer(NodeAnswer { node, first_open });
            }
            reporter.on_round_end(now, &nodes);
        }
        step @ (Step::Close(_) | Step::Copy) => {
            let windows = if let Step::Close(windows) = step { windows } else { Vec::new() };
            let counts = windows.into_iter().map(|window| (window, meter.totals(window)));
            let known = meter.entries(0, false);
            let (reports, revision) = reporter.reports_with(counts, known, &situation);
            if random.chance(trouble) {
                services.late_writes.push((reports, revision));
                return reporter.on_store_error(now);
            }
            match services.write(reports.clone(), revision) {
                Some(revision) if !random.chance(trouble) => {
                    reporter.on_known(Some(revision), reports);
                }
                _ => reporter.on_store_error(now),
            }
        }
        Step::Send(window) => {
            let counts = reporter.stored_counts(window).cloned().unwrap_or_default();
            if random.chance(trouble) {
                services.late_reports.push((window, counts));
                return reporter.on_sent(window, SendOutcome::Unknown, now..now);
            }
            services.report(window, counts);
            reporter.on_sent(window, SendOutcome::Accepted, now..now);
        }
        Step::Wait(_) | Step::Stop => {}
    }
}

/// Two reports of a window differ after some order of lost answers, late calls and changes of the
/// holder, while an earlier holder that was frozen goes on.
#[test]
fn random_troubles_never_give_two_counts_for_a_window() {
    for seed in 1..400 {
        let mut random = Random(seed * 7919);
        let clock = Rc::new(Cell::new(WINDOW * FIRST_WINDOW as u32));
        let meters: Vec<_> = (0..3)
            .map(|source| {
                let clock = clock.clone();
                UsageMeter::new(source, || Some(WINDOW), move || clock.get())
            })
            .collect();
        let mut services =
            Services { revision: 1, stored: earlier_reports(), ..Default::default() };
        let mut holders = vec![(0, UsageReporter::new(options()))];
        let mut truth: BTreeMap<WindowNumber, u64> = BTreeMap::new();
        for step in 0..600 {
            let is_calm = step > 400;
            let trouble = if is_calm { 0 } else { 30 };
            let now = clock.get() + Duration::from_millis(150);
            clock.set(now);
            if random.chance(40) && step < 500 {
                let meter = &meters[step % 3];
                if let Some(mut attempt) = meter.start(&"o".to_owned()) {
                    attempt.set_end(AttemptEnd::Answered(Duration::ZERO));
                    let window = (now.as_millis() / WINDOW.as_millis()) as WindowNumber;
                    *truth.entry(window).or_default() += 1;
                }
            }
            if random.chance(trouble / 10) {
                holders.push((step % 3, UsageReporter::new(options())));
            }
            if is_calm || random.chance(trouble) {
                services.execute_late();
            }
            // The last one holds the lease; earlier ones act as if they were thawed.
            let last = holders.len() - 1;
            for (index, (holder, reporter)) in holders.iter_mut().enumerate() {
                if index == last || random.chance(trouble / 3) {
                    act(reporter, &meters, *holder, &mut services, now, &mut random, trouble);
                }
            }
        }
        let reported: BTreeSet<_> = services.accepted.keys().copied().collect();
        let expected: BTreeSet<_> = (FIRST_WINDOW..FIRST_WINDOW + 17).collect();
        assert!(reported.is_superset(&expected), "seed {seed}: {reported:?}");
        for (window, total) in truth.range(FIRST_WINDOW + 13..FIRST_WINDOW + 17) {
            let reported: u64 = services.accepted[window].values().sum();
            assert_eq!(reported, *total, "seed {seed} window {window}");
        }
    }
}
