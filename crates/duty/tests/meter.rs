//! Counts of a node, and their exchange as data.

use std::{cell::Cell, collections::BTreeMap, rc::Rc, time::Duration};

use deck_duty::usage::{
    AttemptEnd, SourceCounts, SteadyClock, UsageLedger, UsageMeter, copy_delay,
};

const WINDOW: Duration = Duration::from_secs(5);

/// Returns a meter and its clock, at the start of window 100.
fn meter() -> (UsageMeter, Rc<Cell<Duration>>) {
    let clock = Rc::new(Cell::new(WINDOW * 100));
    let meter_clock = clock.clone();
    (UsageMeter::new(1, || Some(WINDOW), move || meter_clock.get()), clock)
}

/// A window counts as complete while a target may still answer a request that began in it, or a
/// request counts in the window of its end.
#[test]
fn open_attempts_keep_their_window_open() {
    let (meter, clock) = meter();
    let mut attempt = meter.start(&"o".to_owned()).expect("use is reported");
    clock.set(WINDOW * 102);
    assert_eq!(meter.first_open_window(), 100);
    attempt.set_end(AttemptEnd::Answered(Duration::from_secs(9)));
    drop(attempt);
    assert_eq!(meter.first_open_window(), 102);
    assert_eq!(meter.totals(100), BTreeMap::from([("o".to_owned(), 1)]));
}

/// Requests that targets refused are reported as use.
#[test]
fn counts_what_targets_began() {
    let (meter, _clock) = meter();
    let ends = [AttemptEnd::NotRun, AttemptEnd::Broken, AttemptEnd::Answered(Duration::ZERO)];
    for end in ends {
        let mut attempt = meter.start(&"o".to_owned()).expect("use is reported");
        attempt.set_end(end);
    }
    assert_eq!((meter.counted(), meter.totals(100)["o"]), (2, 2));
}

/// Copies that arrive twice, or older ones that arrive later, change the counts.
#[test]
fn merging_is_idempotent_and_never_lowers_counts() {
    let entry = |source, count| {
        let counts = BTreeMap::from([("o".to_owned(), count)]);
        SourceCounts { window: 100, source, counts }
    };
    let mut ledger = UsageLedger::default();
    ledger.merge(&[entry(1, 4), entry(2, 1)]);
    ledger.merge(&[entry(1, 3), entry(1, 4)]);
    assert_eq!(ledger.totals(100)["o"], 5);
}

/// The ledger grows without bounds with the time, or with names that come and go.
#[test]
fn ledger_is_bounded() {
    let mut ledger = UsageLedger::default();
    for window in 0..100 {
        ledger.add(window, 1, "o");
    }
    assert_eq!(ledger.entries(0, None).len(), 8);
    ledger.add(3, 1, "o");
    assert_eq!(ledger.entries(0, None)[0].window, 92);
    for number in 0..60_000 {
        ledger.add(99, 1, &format!("o{number}"));
    }
    assert_eq!(ledger.totals(99).len(), 50_000);
    assert!(ledger.dropped_count() > 0);
}

/// A clock that jumps for a while moves requests into other windows, or one that was set is never
/// followed.
#[test]
fn steps_of_the_clock_are_followed_only_if_they_last() {
    let seconds = Duration::from_secs;
    let clock = SteadyClock::new(seconds(1000));
    let drifted = seconds(1001) + Duration::from_millis(20);
    assert_eq!(clock.now(drifted, seconds(1)), drifted);
    for since_start in 2..12 {
        let stepped = drifted + seconds(since_start - 1 + 3);
        assert_eq!(clock.now(stepped, seconds(since_start)), stepped - seconds(3));
    }
    assert_eq!(clock.now(seconds(1012), seconds(12)), seconds(1012));
    assert_eq!(clock.now(seconds(998), seconds(13)), seconds(1013));
    assert_eq!(clock.now(seconds(1058), seconds(73)), seconds(1058));
    assert_eq!(clock.now(seconds(1059), seconds(74)), seconds(1059));
}

/// A node with a request now and then keeps its count to itself for long, or many nodes with many
/// requests fill the CPU of the holder of the lease.
#[test]
fn copies_are_sent_at_once_unless_there_are_many() {
    let millis = Duration::from_millis;
    for idle in [None, Some(millis(5_000))] {
        assert_eq!(copy_delay(62, idle), millis(20));
    }
    assert_eq!(copy_delay(62, Some(millis(100))), millis(148));
    for node_count in [1, 12, 62, 400] {
        let interval = copy_delay(node_count, Some(Duration::ZERO));
        assert!(node_count as f64 / interval.as_secs_f64() <= 251.0, "{node_count} nodes");
    }
}
