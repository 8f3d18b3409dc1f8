//! Execution records and tickets: memory limits and races must not make a call execute twice.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use deck_call::{
    execution_record::{
        BeginResult, ClaimLookupResult, ExecutionRecords, ExecutionState, Reclaim, RecordedResponse,
    },
    options::AtMostOnceOptions,
    ticket::{Ticket, TicketIssuer},
};

const KEY: u128 = 7;
const REQUEST: u128 = 70;

fn response(body_bytes: usize) -> Rc<RecordedResponse> {
    let body = vec![b'x'; body_bytes];
    Rc::new(RecordedResponse { status: 200, headers: Vec::new(), body, target: "t".to_owned() })
}

fn new_records(options: AtMostOnceOptions) -> (ExecutionRecords, Instant) {
    (ExecutionRecords::new(options), Instant::now())
}

/// Guards against a repeat that executes the call while or after the first attempt runs.
#[test]
fn repeat_waits_and_gets_the_recorded_response() {
    let (mut records, now) = new_records(AtMostOnceOptions::default());
    assert!(matches!(records.begin_attempt(KEY, REQUEST, now), BeginResult::New));
    assert!(matches!(records.begin_attempt(KEY, REQUEST, now), BeginResult::InProgress(_)));
    records.end_attempt(KEY, ExecutionState::Completed(response(3)), now);
    let BeginResult::Completed(recorded) = records.begin_attempt(KEY, REQUEST, now) else {
        panic!("response not recorded")
    };
    assert_eq!(recorded.body, b"xxx");
}

/// Guards against a key that returns the response of a different request.
#[test]
fn different_request_with_the_same_key_is_rejected() {
    let (mut records, now) = new_records(AtMostOnceOptions::default());
    assert!(matches!(records.begin_attempt(KEY, REQUEST, now), BeginResult::New));
    assert!(matches!(records.begin_attempt(KEY, REQUEST + 1, now), BeginResult::KeyReused));
}

/// Guards against a second execution after the response of the first one was lost.
#[test]
fn unknown_outcome_is_never_executed_again() {
    let (mut records, now) = new_records(AtMostOnceOptions::default());
    assert!(matches!(records.begin_attempt(KEY, REQUEST, now), BeginResult::New));
    records.end_attempt(KEY, ExecutionState::OutcomeUnknown, now);
    assert!(matches!(records.begin_attempt(KEY, REQUEST, now), BeginResult::OutcomeUnknown));
}

/// Guards against two owners of a key: after a claim was released to another VM, it must be
/// acquired again through the object API.
#[test]
fn released_claim_must_be_acquired_again() {
    let (mut records, now) = new_records(AtMostOnceOptions::default());
    assert!(matches!(records.begin_attempt(KEY, REQUEST, now), BeginResult::New));
    records.set_claim_nonce(KEY, "first");
    records.confirm_claim(KEY);
    records.end_attempt(KEY, ExecutionState::NotExecuted, now);
    assert!(matches!(records.begin_attempt(KEY, REQUEST, now), BeginResult::ClaimHeld));
    records.end_attempt(KEY, ExecutionState::NotExecuted, now);

    assert_eq!(records.lookup(KEY, "first", now), ClaimLookupResult::NotExecuted);
    let BeginResult::Reclaim(reclaim) = records.begin_attempt(KEY, REQUEST, now) else {
        panic!("executed without a claim")
    };
    let released_nonce = Some("first".to_owned());
    assert_eq!(reclaim, Reclaim { unconfirmed_nonce: None, released_nonce });
    // The other VM may repeat its lookup while this VM tries to claim the key again.
    records.set_claim_nonce(KEY, "second");
    assert_eq!(records.lookup(KEY, "first", now), ClaimLookupResult::NotExecuted);
    assert_eq!(records.lookup(KEY, "second", now), ClaimLookupResult::Running);
}

/// Guards against executing a call whose claim write was not confirmed. The claim is acquired again
/// with the same nonce, in case the write took effect.
#[test]
fn unconfirmed_claim_is_acquired_again_with_its_nonce() {
    let (mut records, now) = new_records(AtMostOnceOptions::default());
    assert!(matches!(records.begin_attempt(KEY, REQUEST, now), BeginResult::New));
    records.set_claim_nonce(KEY, "lost");
    records.end_attempt(KEY, ExecutionState::NotExecuted, now);
    let BeginResult::Reclaim(reclaim) = records.begin_attempt(KEY, REQUEST, now) else {
        panic!("executed without a claim")
    };
    assert_eq!(reclaim.unconfirmed_nonce.as_deref(), Some("lost"));
}

/// Guards against executing a call without a claim after its claim was deleted and another VM may
/// have claimed the key.
#[test]
fn deletion_waits_for_retention_and_releases_the_claim() {
    let retention = Duration::from_secs(10);
    let (mut records, now) = new_records(AtMostOnceOptions::default());
    assert!(matches!(records.begin_attempt(KEY, REQUEST, now), BeginResult::New));
    records.set_claim_nonce(KEY, "first");
    records.confirm_claim(KEY);
    let later = now + retention * 2;
    assert_eq!(
        records.release_for_deletion(KEY, retention, later),
        Err(later + retention),
        "call is running"
    );
    records.end_attempt(KEY, ExecutionState::NotExecuted, later);
    assert_eq!(
        records.release_for_deletion(KEY, retention, later),
        Err(later + retention),
        "call has just ended"
    );
    assert_eq!(records.release_for_deletion(KEY, retention, later + retention), Ok(()));
    assert!(matches!(
        records.begin_attempt(KEY, REQUEST, later + retention),
        BeginResult::Reclaim(_)
    ));
}

/// Guards against a process that was suspended while another VM deleted its claims, and then
/// executes a call without a claim.
#[test]
fn expired_claim_must_be_acquired_again() {
    let options = AtMostOnceOptions::default();
    let (mut records, now) = new_records(options.clone());
    assert!(matches!(records.begin_attempt(KEY, REQUEST, now), BeginResult::New));
    records.set_claim_nonce(KEY, "first");
    records.confirm_claim(KEY);
    records.end_attempt(KEY, ExecutionState::NotExecuted, now);
    let BeginResult::Reclaim(reclaim) =
        records.begin_attempt(KEY, REQUEST, now + options.claim_retention)
    else {
        panic!("executed without a claim")
    };
    assert_eq!(reclaim.released_nonce.as_deref(), Some("first"));
}

/// Guards against unbounded memory use for responses, and against executing a call again after its
/// response was evicted.
#[test]
fn response_memory_is_bounded_and_evicted_outcomes_stay_unknown() {
    let options = AtMostOnceOptions { max_record_bytes: 2500, ..AtMostOnceOptions::default() };
    let (mut records, now) = new_records(options);
    for key in 0..4 {
        assert!(matches!(records.begin_attempt(key, REQUEST, now), BeginResult::New));
        records.end_attempt(key, ExecutionState::Completed(response(1000)), now);
    }
    assert!(records.response_bytes() <= 2500);
    assert!(matches!(records.begin_attempt(0, REQUEST, now), BeginResult::OutcomeUnknown));
    assert!(matches!(records.begin_attempt(3, REQUEST, now), BeginResult::Completed(_)));
}

/// Guards against an eviction that stops at stale queue entries or at records without a response,
/// so that responses exceed the memory limit.
#[test]
fn oldest_response_is_evicted_first_among_other_records() {
    let options = AtMostOnceOptions { max_record_bytes: 1500, ..AtMostOnceOptions::default() };
    let (mut records, now) = new_records(options);
    for key in 0..3000 {
        assert!(matches!(records.begin_attempt(key, REQUEST, now), BeginResult::New));
        let state =
            if key % 2 == 0 { ExecutionState::NotExecuted } else { ExecutionState::OutcomeUnknown };
        records.end_attempt(key, state, now);
        assert!(!matches!(records.begin_attempt(key, REQUEST, now), BeginResult::New));
    }
    for key in [5001, 5002] {
        assert!(matches!(records.begin_attempt(key, REQUEST, now), BeginResult::New));
        records.end_attempt(key, ExecutionState::Completed(response(1000)), now);
    }
    assert!(records.response_bytes() <= 1500);
    assert!(matches!(records.begin_attempt(5001, REQUEST, now), BeginResult::OutcomeUnknown));
    assert!(matches!(records.begin_attempt(5002, REQUEST, now), BeginResult::Completed(_)));
}

/// Guards against an unbounded number of records, and against the eviction of running ones.
#[test]
fn number_of_records_is_bounded() {
    let options = AtMostOnceOptions { max_records: 2, ..AtMostOnceOptions::default() };
    let (mut records, now) = new_records(options);
    assert!(matches!(records.begin_attempt(1, REQUEST, now), BeginResult::New));
    assert!(matches!(records.begin_attempt(2, REQUEST, now), BeginResult::New));
    assert!(matches!(records.begin_attempt(3, REQUEST, now), BeginResult::AtCapacity));
    records.end_attempt(1, ExecutionState::OutcomeUnknown, now);
    assert!(matches!(records.begin_attempt(3, REQUEST, now), BeginResult::New));
    assert_eq!(records.len(), 2);
}

/// Guards against records that never expire, and against the expiry of running ones.
#[test]
fn records_expire_but_not_while_running() {
    let retention = Duration::from_secs(5);
    let options = AtMostOnceOptions { record_retention: retention, ..AtMostOnceOptions::default() };
    let (mut records, now) = new_records(options);
    assert!(matches!(records.begin_attempt(1, REQUEST, now), BeginResult::New));
    assert!(matches!(records.begin_attempt(2, REQUEST, now), BeginResult::New));
    records.end_attempt(2, ExecutionState::Completed(response(1)), now);
    assert!(matches!(
        records.begin_attempt(1, REQUEST, now + retention * 3),
        BeginResult::InProgress(_)
    ));
    assert_eq!(records.len(), 1);
    assert_eq!(records.response_bytes(), 0);
}

/// Guards against a ticket that is redeemed twice, by another organisation or after it expired.
#[test]
fn ticket_is_redeemed_once_by_its_organisation_before_it_expires() {
    let options = AtMostOnceOptions {
        ticket_lifetime: Duration::from_secs(5),
        max_unused_tickets: 2,
        ..AtMostOnceOptions::default()
    };
    let now = Instant::now();
    let mut tickets = TicketIssuer::new("vm.a".to_owned(), 3, options);
    let first = tickets.issue("sofia", now).expect("ticket");
    let parsed = Ticket::parse(&first.to_string()).expect("parses");
    assert_eq!(parsed, first);
    assert!(tickets.is_issued_here(&parsed));
    assert!(!tickets.redeem(&parsed, "other", now));
    assert!(tickets.redeem(&parsed, "sofia", now));
    assert!(!tickets.redeem(&parsed, "sofia", now));

    let expired_ticket = tickets.issue("sofia", now).expect("ticket");
    assert!(!tickets.redeem(&expired_ticket, "sofia", now + Duration::from_secs(5)));
}

/// Guards against unbounded memory use for unused tickets.
#[test]
fn number_of_unused_tickets_is_bounded() {
    let options = AtMostOnceOptions { max_unused_tickets: 2, ..AtMostOnceOptions::default() };
    let now = Instant::now();
    let mut tickets = TicketIssuer::new("vm".to_owned(), 3, options);
    let first = tickets.issue("sofia", now).expect("ticket");
    assert!(tickets.issue("sofia", now).is_some());
    assert!(tickets.issue("sofia", now).is_none());
    assert!(tickets.redeem(&first, "sofia", now));
    assert!(tickets.issue("sofia", now).is_some());
}

/// Guards against redeeming a ticket that an earlier process of the same VM issued.
#[test]
fn ticket_of_another_process_is_not_recognised() {
    let now = Instant::now();
    let mut old = TicketIssuer::new("vm".to_owned(), 3, AtMostOnceOptions::default());
    let new = TicketIssuer::new("vm".to_owned(), 4, AtMostOnceOptions::default());
    let ticket = old.issue("sofia", now).expect("ticket");
    assert!(!new.is_issued_here(&ticket));
}
