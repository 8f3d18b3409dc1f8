//! Records, tickets and claim rate: no key may run twice because of a bound or a race.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use deck_call::{
    execution_record::{
        BeginResult, ExecutionRecords, ExecutionState, LookupResult, Reclaim, RecordedResponse,
    },
    options::OnceOptions,
    ticket::{Ticket, TicketIssuer},
};

const KEY: u128 = 7;
const REQUEST: u128 = 70;

fn answer(memory_bytes: usize) -> Rc<RecordedResponse> {
    let body = vec![b'x'; memory_bytes];
    Rc::new(RecordedResponse { status: 200, headers: Vec::new(), body, target: "t".to_owned() })
}

fn records(options: OnceOptions) -> (ExecutionRecords, Instant) {
    (ExecutionRecords::new(options), Instant::now())
}

/// Guards against a repeat that runs while or after the first try runs.
#[test]
fn repeat_waits_and_gets_the_recorded_answer() {
    let (mut records, now) = records(OnceOptions::default());
    assert!(matches!(records.begin_attempt(KEY, REQUEST, now), BeginResult::New));
    assert!(matches!(records.begin_attempt(KEY, REQUEST, now), BeginResult::InProgress(_)));
    records.end_attempt(KEY, ExecutionState::Completed(answer(3)), now);
    let BeginResult::Completed(recorded) = records.begin_attempt(KEY, REQUEST, now) else {
        panic!("not recorded")
    };
    assert_eq!(recorded.body, b"xxx");
}

/// Guards against a key that answers for another request.
#[test]
fn another_request_under_the_same_key_is_refused() {
    let (mut records, now) = records(OnceOptions::default());
    assert!(matches!(records.begin_attempt(KEY, REQUEST, now), BeginResult::New));
    assert!(matches!(records.begin_attempt(KEY, REQUEST + 1, now), BeginResult::KeyReused));
}

/// Guards against a second run after the first one's answer was lost.
#[test]
fn lost_outcome_never_runs_again() {
    let (mut records, now) = records(OnceOptions::default());
    assert!(matches!(records.begin_attempt(KEY, REQUEST, now), BeginResult::New));
    records.end_attempt(KEY, ExecutionState::OutcomeUnknown, now);
    assert!(matches!(records.begin_attempt(KEY, REQUEST, now), BeginResult::OutcomeUnknown));
}

/// Guards against two owners: an abandoned claim that was given to another VM must be taken again
/// through the store.
#[test]
fn released_claim_is_not_run_from_memory() {
    let (mut records, now) = records(OnceOptions::default());
    assert!(matches!(records.begin_attempt(KEY, REQUEST, now), BeginResult::New));
    records.set_claim_nonce(KEY, "first");
    records.confirm_claim(KEY);
    records.end_attempt(KEY, ExecutionState::NotExecuted, now);
    assert!(matches!(records.begin_attempt(KEY, REQUEST, now), BeginResult::ClaimHeld));
    records.end_attempt(KEY, ExecutionState::NotExecuted, now);

    assert_eq!(records.lookup(KEY, "first", now), LookupResult::NotExecuted);
    let BeginResult::Reclaim(reclaim) = records.begin_attempt(KEY, REQUEST, now) else {
        panic!("ran at once")
    };
    let released_nonce = Some("first".to_owned());
    assert_eq!(reclaim, Reclaim { unconfirmed_nonce: None, released_nonce });
    // The other VM may ask again while this one tries to take the key back.
    records.set_claim_nonce(KEY, "second");
    assert_eq!(records.lookup(KEY, "first", now), LookupResult::NotExecuted);
    assert_eq!(records.lookup(KEY, "second", now), LookupResult::Running);
}

/// Guards against a claim whose write was lost and that is then run without asking the store.
#[test]
fn unconfirmed_claim_is_taken_again_under_its_nonce() {
    let (mut records, now) = records(OnceOptions::default());
    assert!(matches!(records.begin_attempt(KEY, REQUEST, now), BeginResult::New));
    records.set_claim_nonce(KEY, "lost");
    records.end_attempt(KEY, ExecutionState::NotExecuted, now);
    let BeginResult::Reclaim(reclaim) = records.begin_attempt(KEY, REQUEST, now) else {
        panic!("ran at once")
    };
    assert_eq!(reclaim.unconfirmed_nonce.as_deref(), Some("lost"));
}

/// Guards against a key that runs from memory after its claim was deleted, while another VM claims
/// it anew.
#[test]
fn deletion_waits_for_its_time_and_gives_the_claim_up() {
    let keep = Duration::from_secs(10);
    let (mut records, now) = records(OnceOptions::default());
    assert!(matches!(records.begin_attempt(KEY, REQUEST, now), BeginResult::New));
    records.set_claim_nonce(KEY, "first");
    records.confirm_claim(KEY);
    let later = now + keep * 2;
    assert_eq!(records.release_for_deletion(KEY, keep, later), Err(later + keep), "it runs");
    records.end_attempt(KEY, ExecutionState::NotExecuted, later);
    assert_eq!(records.release_for_deletion(KEY, keep, later), Err(later + keep), "it just ended");
    assert_eq!(records.release_for_deletion(KEY, keep, later + keep), Ok(()));
    assert!(matches!(records.begin_attempt(KEY, REQUEST, later + keep), BeginResult::Reclaim(_)));
}

/// Guards against a process that thaws after its claims were swept and runs a key from memory.
#[test]
fn old_claim_is_not_run_from_memory() {
    let options = OnceOptions::default();
    let (mut records, now) = records(options.clone());
    assert!(matches!(records.begin_attempt(KEY, REQUEST, now), BeginResult::New));
    records.set_claim_nonce(KEY, "first");
    records.confirm_claim(KEY);
    records.end_attempt(KEY, ExecutionState::NotExecuted, now);
    let BeginResult::Reclaim(reclaim) =
        records.begin_attempt(KEY, REQUEST, now + options.claim_keep)
    else {
        panic!("ran at once")
    };
    assert_eq!(reclaim.released_nonce.as_deref(), Some("first"));
}

/// Guards against memory without bound, and against an answer that is dropped and run again.
#[test]
fn answers_are_bounded_in_size_and_dropped_ones_stay_lost() {
    let options = OnceOptions { max_record_bytes: 2500, ..OnceOptions::default() };
    let (mut records, now) = records(options);
    for key in 0..4 {
        assert!(matches!(records.begin_attempt(key, REQUEST, now), BeginResult::New));
        records.end_attempt(key, ExecutionState::Completed(answer(1000)), now);
    }
    assert!(records.response_bytes() <= 2500);
    assert!(matches!(records.begin_attempt(0, REQUEST, now), BeginResult::OutcomeUnknown));
    assert!(matches!(records.begin_attempt(3, REQUEST, now), BeginResult::Completed(_)));
}

/// Guards against an answer that stays in memory because an older, newer or refused key hides it.
#[test]
fn answers_are_dropped_in_order_of_age_among_other_records() {
    let options = OnceOptions { max_record_bytes: 1500, ..OnceOptions::default() };
    let (mut records, now) = records(options);
    for key in 0..3000 {
        assert!(matches!(records.begin_attempt(key, REQUEST, now), BeginResult::New));
        let state =
            if key % 2 == 0 { ExecutionState::NotExecuted } else { ExecutionState::OutcomeUnknown };
        records.end_attempt(key, state, now);
        assert!(!matches!(records.begin_attempt(key, REQUEST, now), BeginResult::New));
    }
    for key in [5001, 5002] {
        assert!(matches!(records.begin_attempt(key, REQUEST, now), BeginResult::New));
        records.end_attempt(key, ExecutionState::Completed(answer(1000)), now);
    }
    assert!(records.response_bytes() <= 1500);
    assert!(matches!(records.begin_attempt(5001, REQUEST, now), BeginResult::OutcomeUnknown));
    assert!(matches!(records.begin_attempt(5002, REQUEST, now), BeginResult::Completed(_)));
}

/// Guards against memory without bound by the number of keys; running ones are never dropped.
#[test]
fn records_are_bounded_in_number() {
    let options = OnceOptions { max_records: 2, ..OnceOptions::default() };
    let (mut records, now) = records(options);
    assert!(matches!(records.begin_attempt(1, REQUEST, now), BeginResult::New));
    assert!(matches!(records.begin_attempt(2, REQUEST, now), BeginResult::New));
    assert!(matches!(records.begin_attempt(3, REQUEST, now), BeginResult::AtCapacity));
    records.end_attempt(1, ExecutionState::OutcomeUnknown, now);
    assert!(matches!(records.begin_attempt(3, REQUEST, now), BeginResult::New));
    assert_eq!(records.len(), 2);
}

/// Guards against records that are kept for ever, and against running ones that are dropped.
#[test]
fn records_expire_but_not_while_they_run() {
    let keep = Duration::from_secs(5);
    let options = OnceOptions { record_keep: keep, ..OnceOptions::default() };
    let (mut records, now) = records(options);
    assert!(matches!(records.begin_attempt(1, REQUEST, now), BeginResult::New));
    assert!(matches!(records.begin_attempt(2, REQUEST, now), BeginResult::New));
    records.end_attempt(2, ExecutionState::Completed(answer(1)), now);
    assert!(matches!(
        records.begin_attempt(1, REQUEST, now + keep * 3),
        BeginResult::InProgress(_)
    ));
    assert_eq!(records.len(), 1);
    assert_eq!(records.response_bytes(), 0);
}

/// Guards against a ticket that runs twice, for another organisation or after its time.
#[test]
fn ticket_is_taken_once_by_its_organisation_in_time() {
    let options = OnceOptions {
        ticket_keep: Duration::from_secs(5),
        max_tickets: 2,
        ..OnceOptions::default()
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

    let late = tickets.issue("sofia", now).expect("ticket");
    assert!(!tickets.redeem(&late, "sofia", now + Duration::from_secs(5)));
}

/// Guards against memory without bound by tickets that nobody uses.
#[test]
fn unused_tickets_are_bounded() {
    let options = OnceOptions { max_tickets: 2, ..OnceOptions::default() };
    let now = Instant::now();
    let mut tickets = TicketIssuer::new("vm".to_owned(), 3, options);
    let first = tickets.issue("sofia", now).expect("ticket");
    assert!(tickets.issue("sofia", now).is_some());
    assert!(tickets.issue("sofia", now).is_none());
    assert!(tickets.redeem(&first, "sofia", now));
    assert!(tickets.issue("sofia", now).is_some());
}

/// Guards against a ticket of an earlier process of the same VM that runs again.
#[test]
fn ticket_of_another_process_is_not_own() {
    let now = Instant::now();
    let mut old = TicketIssuer::new("vm".to_owned(), 3, OnceOptions::default());
    let new = TicketIssuer::new("vm".to_owned(), 4, OnceOptions::default());
    let ticket = old.issue("sofia", now).expect("ticket");
    assert!(!new.is_issued_here(&ticket));
}
