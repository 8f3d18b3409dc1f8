//! Admission on one VM.

mod common;

use std::time::{Duration, Instant};

use common::{POOL, admission, fill, request};
use deck_core::{error::ErrorKind, priority::Priority};
use deck_limit::AdmitRequest;
use test_case::test_case;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against an unused share staying idle, and against the owner waiting for it when it comes
/// back: it has its whole share at once, also while borrowed slots are still in use.
#[test]
fn unused_share_is_lent_and_reclaimed() {
    let admission = admission("vm", 100, &[("a", 60), ("b", 40)]);
    let now = Instant::now();
    let borrowed = fill(&admission, "b", Priority::Interactive, now);
    assert_eq!(borrowed.len(), 100);
    let later = now + SECOND;
    let owned = fill(&admission, "a", Priority::Interactive, later);
    assert_eq!(owned.len(), 60);
    // The borrower gets nothing back before it is within its own share again.
    let mut borrowed = borrowed;
    for left in (40..100).rev() {
        borrowed.pop().unwrap().release(later);
        let admitted = admission.admit(&request("b", Priority::Interactive, later));
        assert!(admitted.is_err(), "{left} calls of the borrower in flight");
    }
    borrowed.pop().unwrap().release(later);
    assert!(admission.admit(&request("b", Priority::Interactive, later)).is_ok());
}

/// Guards against rollouts that hold lent slots for minutes overfilling the pool when the owner
/// returns: at most half of the slots are lent to them.
#[test]
fn long_loans_are_bounded() {
    let admission = admission("vm", 100, &[("a", 90), ("b", 10)]);
    let now = Instant::now();
    let rollouts = fill(&admission, "b", Priority::Rollout, now);
    assert_eq!(rollouts.len(), 60);
    let short = fill(&admission, "b", Priority::Interactive, now);
    assert_eq!(short.len(), 40);
    assert_eq!(fill(&admission, "a", Priority::Interactive, now + SECOND).len(), 90);
}

/// Guards against a refusal that does not tell apart the organisation's share from the pool.
#[test_case("a", ErrorKind::ShareExhausted; "has a share")]
#[test_case("stranger", ErrorKind::Overloaded; "has none")]
fn refusal_names_its_cause(organisation: &str, kind: ErrorKind) {
    let admission = admission("vm", 10, &[("a", 50), ("b", 50)]);
    let now = Instant::now();
    let _a = fill(&admission, "a", Priority::Interactive, now);
    let _b = fill(&admission, "b", Priority::Interactive, now);
    let error = admission.admit(&request(organisation, Priority::Interactive, now)).unwrap_err();
    assert_eq!(error.kind, kind);
    assert!(error.retry_after.is_some());
}

/// Guards against work being started that will be thrown away at its deadline.
#[test_case(100, 900, false; "short call in time")]
#[test_case(100, 400, true; "short call with too little time left")]
#[test_case(1000, 900, true; "long call with the same time left")]
fn hopeless_deadlines_are_refused(cost_tokens: u64, left_ms: u64, refused: bool) {
    let admission = admission("vm", 10, &[("a", 100)]);
    let now = Instant::now();
    for _ in 0..20 {
        let permit = admission.admit(&request("a", Priority::Batch, now)).unwrap();
        permit.release(now + SECOND);
    }
    let now = now + SECOND;
    let deadline = now + Duration::from_millis(left_ms);
    let request = AdmitRequest { cost_tokens, deadline, ..request("a", Priority::Batch, now) };
    let kind = admission.admit(&request).map(|_| ()).map_err(|error| error.kind);
    assert_eq!(kind, if refused { Err(ErrorKind::DeadlineBeforeRun) } else { Ok(()) });
}

/// Guards against a retry time that is a guess: callers that come back at the told time are
/// admitted, and later than necessary by no more than half of the time.
#[test]
fn retry_time_is_true() {
    let admission = admission("vm", 10, &[("a", 100)]);
    let start = Instant::now();
    let hold = Duration::from_millis(1000);
    // Ten slots whose calls end 100 ms apart from each other, for ever.
    let mut running: Vec<_> = (0..10)
        .map(|i| {
            let now = start + Duration::from_millis(i * 100);
            (now + hold, admission.admit(&request("a", Priority::Batch, now)).unwrap())
        })
        .collect();
    for _ in 0..100 {
        let (end, permit) = running.remove(0);
        permit.release(end);
        running.push((end + hold, admission.admit(&request("a", Priority::Batch, end)).unwrap()));
    }
    let now = running[9].0 - hold + Duration::from_millis(1);
    let told: Vec<_> = (0..8)
        .map(|_| admission.admit(&request("a", Priority::Batch, now)).unwrap_err())
        .map(|error| now + error.retry_after.unwrap())
        .collect();
    let (mut early, mut idle) = (0, Duration::ZERO);
    for back in told {
        while running.first().is_some_and(|(end, _)| *end <= back) {
            let (end, permit) = running.remove(0);
            permit.release(end);
            idle += back - end;
        }
        match admission.admit(&request("a", Priority::Batch, back)) {
            Ok(permit) => running.push((back + hold, permit)),
            Err(_) => early += 1,
        }
    }
    assert!(early <= 1, "{early} of 8 callers came back too early");
    // A caller that is sent away for too long leaves the slot idle for more than the 100 ms between
    // two ends.
    assert!(idle <= 8 * Duration::from_millis(100), "slots were idle for {idle:?}");
}

/// Guards against memory growing with organisation names that callers make up.
#[test]
fn unknown_organisations_are_forgotten() {
    let admission = admission("vm", 10, &[("a", 100)]);
    let mut now = Instant::now();
    for number in 0..2000 {
        now += Duration::from_millis(20);
        drop(admission.admit(&request(&format!("made-up-{number}"), Priority::Batch, now)));
    }
    let now = now + 10 * SECOND;
    drop(admission.admit(&request("a", Priority::Batch, now)));
    let text = format!("{admission:?}");
    assert!(!text.contains("made-up-1000"));
}

/// Guards against a removed pool still admitting calls, and permits of it breaking when dropped.
#[test]
fn removed_pool_refuses() {
    let admission = admission("vm", 10, &[("a", 100)]);
    let now = Instant::now();
    let permit = admission.admit(&request("a", Priority::Batch, now)).unwrap();
    admission.remove_pool(POOL);
    let error = admission.admit(&request("a", Priority::Batch, now)).unwrap_err();
    assert_eq!(error.kind, ErrorKind::UnknownPool);
    drop(permit);
}
