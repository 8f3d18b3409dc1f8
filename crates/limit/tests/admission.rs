//! Admission control on one VM.

mod common;

use std::time::{Duration, Instant};

use common::{POOL, admission, fill, request};
use deck_core::{error::ErrorKind, priority::Priority};
use deck_limit::AdmitRequest;
use test_case::test_case;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against leaving an unused share idle, and against making its owner wait when it needs the
/// share again: the owner gets its whole share at once, even while others still use borrowed slots.
#[test]
fn unused_share_is_lent_and_reclaimed() {
    let admission = admission("vm", 100, &[("a", 60), ("b", 40)]);
    let now = Instant::now();
    let borrower_calls = fill(&admission, "b", Priority::Interactive, now);
    assert_eq!(borrower_calls.len(), 100);
    let later = now + SECOND;
    let owner_calls = fill(&admission, "a", Priority::Interactive, later);
    assert_eq!(owner_calls.len(), 60);
    // The borrower gets no further slot until it uses less than its own share.
    let mut borrower_calls = borrower_calls;
    for borrower_calls_in_flight in (40..100).rev() {
        borrower_calls.pop().unwrap().release(later);
        let admitted = admission.admit(&request("b", Priority::Interactive, later));
        assert!(admitted.is_err(), "{borrower_calls_in_flight} calls of the borrower in flight");
    }
    borrower_calls.pop().unwrap().release(later);
    assert!(admission.admit(&request("b", Priority::Interactive, later)).is_ok());
}

/// Guards against rollouts, which hold borrowed slots for minutes, overloading the pool when the owner
/// needs its share again: at most half of the slots are lent to rollouts.
#[test]
fn slots_lent_to_rollouts_are_limited() {
    let admission = admission("vm", 100, &[("a", 90), ("b", 10)]);
    let now = Instant::now();
    let rollouts = fill(&admission, "b", Priority::Rollout, now);
    assert_eq!(rollouts.len(), 60);
    let interactive = fill(&admission, "b", Priority::Interactive, now);
    assert_eq!(interactive.len(), 40);
    assert_eq!(fill(&admission, "a", Priority::Interactive, now + SECOND).len(), 90);
}

/// Guards against a refusal that does not distinguish an exhausted share from a full pool.
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

/// Guards against starting a call that cannot finish before its deadline.
#[test_case(100, 900, false; "short call in time")]
#[test_case(100, 400, true; "short call with too little time left")]
#[test_case(1000, 900, true; "long call with the same time left")]
fn calls_that_cannot_meet_their_deadline_are_refused(
    cost_tokens: u64,
    time_to_deadline_ms: u64,
    refused: bool,
) {
    let admission = admission("vm", 10, &[("a", 100)]);
    let now = Instant::now();
    for _ in 0..20 {
        let permit = admission.admit(&request("a", Priority::Batch, now)).unwrap();
        permit.release(now + SECOND);
    }
    let now = now + SECOND;
    let deadline = now + Duration::from_millis(time_to_deadline_ms);
    let request = AdmitRequest { cost_tokens, deadline, ..request("a", Priority::Batch, now) };
    let kind = admission.admit(&request).map(|_| ()).map_err(|error| error.kind);
    assert_eq!(kind, if refused { Err(ErrorKind::DeadlineBeforeRun) } else { Ok(()) });
}

/// Guards against a Retry-After value that does not match the slots that become free: callers that
/// retry at the given time are admitted, and the slots are not left idle for long before that.
#[test]
fn callers_that_wait_for_retry_after_are_admitted() {
    let admission = admission("vm", 10, &[("a", 100)]);
    let first_admitted_at = Instant::now();
    let hold_time = Duration::from_millis(1000);
    // Ten slots whose calls end 100 ms after one another; each ended call is replaced by a new one.
    let mut running: Vec<_> = (0..10)
        .map(|i| {
            let now = first_admitted_at + Duration::from_millis(i * 100);
            (now + hold_time, admission.admit(&request("a", Priority::Batch, now)).unwrap())
        })
        .collect();
    for _ in 0..100 {
        let (ends_at, permit) = running.remove(0);
        permit.release(ends_at);
        running.push((
            ends_at + hold_time,
            admission.admit(&request("a", Priority::Batch, ends_at)).unwrap(),
        ));
    }
    let now = running[9].0 - hold_time + Duration::from_millis(1);
    let retry_times: Vec<_> = (0..8)
        .map(|_| admission.admit(&request("a", Priority::Batch, now)).unwrap_err())
        .map(|error| now + error.retry_after.unwrap())
        .collect();
    let (mut refused_again, mut idle_time) = (0, Duration::ZERO);
    for retry_at in retry_times {
        while running.first().is_some_and(|(ends_at, _)| *ends_at <= retry_at) {
            let (ends_at, permit) = running.remove(0);
            permit.release(ends_at);
            idle_time += retry_at - ends_at;
        }
        match admission.admit(&request("a", Priority::Batch, retry_at)) {
            Ok(permit) => running.push((retry_at + hold_time, permit)),
            Err(_) => refused_again += 1,
        }
    }
    assert!(refused_again <= 1, "{refused_again} of 8 callers were refused again");
    // If a Retry-After value is too long, the slot stays idle for more than the 100 ms between the ends
    // of two calls.
    assert!(idle_time <= 8 * Duration::from_millis(100), "slots were idle for {idle_time:?}");
}

/// Guards against memory that grows with the organisation names that callers invent.
#[test]
fn idle_unknown_organisations_are_removed() {
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

/// Guards against a removed pool that still admits calls, and against a panic when one of its permits
/// is dropped.
#[test]
fn removed_pool_refuses_calls() {
    let admission = admission("vm", 10, &[("a", 100)]);
    let now = Instant::now();
    let permit = admission.admit(&request("a", Priority::Batch, now)).unwrap();
    admission.remove_pool(POOL);
    let error = admission.admit(&request("a", Priority::Batch, now)).unwrap_err();
    assert_eq!(error.kind, ErrorKind::UnknownPool);
    drop(permit);
}
