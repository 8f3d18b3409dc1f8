//! Decisions of the ledger of connections, without a network.

use std::time::{Duration, Instant};

use deck_net::{
    ClientTimeouts, LedgerLimits,
    json_size::decoded_json_bytes,
    ledger::{HoldError, Ledger, Phase},
};

const MIB: usize = 1024 * 1024;
const SERVER: u64 = 0;

fn ledger() -> (Ledger, Instant) {
    let limits = LedgerLimits { capacity_bytes: 10 * MIB, reserved_bytes: 2 * MIB };
    (Ledger::new(limits), Instant::now())
}

/// Opens a connection that receives a body of which `bytes` have arrived.
fn open_body(ledger: &mut Ledger, bytes: usize, now: Instant) -> u64 {
    let id = ledger.open(SERVER, now);
    ledger.set_phase(id, Phase::Body, now);
    assert_eq!(ledger.hold(id, bytes, now), Ok(()));
    id
}

/// Guards against bodies that stop half-way and keep others from being received.
#[test]
fn largest_stalled_body_makes_room() {
    let (mut ledger, now) = ledger();
    let small = open_body(&mut ledger, 2 * MIB, now);
    let large = open_body(&mut ledger, 5 * MIB, now);
    let later = now + Duration::from_secs(2);
    let new = ledger.open(SERVER, later);
    ledger.set_phase(new, Phase::Body, later);
    assert_eq!(ledger.hold(new, 3 * MIB, later), Err(HoldError::Wait(vec![large])));
    // The memory is used again only after the connection has been closed.
    assert_eq!(ledger.hold(new, 3 * MIB, later), Err(HoldError::Wait(vec![])));
    ledger.close(large);
    assert_eq!(ledger.hold(new, 3 * MIB, later), Ok(()));
    assert_eq!(ledger.held_bytes(), 5 * MIB);
    ledger.close(small);
    assert_eq!(ledger.held_bytes(), 3 * MIB);
}

/// Guards against closing clients that send at a good rate in favour of new ones, and against large
/// bodies that take the part of small requests.
#[test]
fn large_body_is_refused_while_all_make_progress_and_small_one_is_not() {
    let (mut ledger, now) = ledger();
    let first = open_body(&mut ledger, 7 * MIB, now);
    let later = now + Duration::from_secs(2);
    ledger.record_moved(first, 8192, later);
    let new = ledger.open(SERVER, later);
    assert_eq!(ledger.hold(new, 2 * MIB, later), Err(HoldError::OutOfMemory));
    assert_eq!(ledger.hold(new, 1000, later), Ok(()));
}

/// Guards against requests that lose their memory while a target may run them.
#[test]
fn request_in_its_handler_is_not_closed() {
    let (mut ledger, now) = ledger();
    let running = open_body(&mut ledger, 7 * MIB, now);
    ledger.set_phase(running, Phase::Running, now);
    let later = now + Duration::from_secs(100);
    let new = ledger.open(SERVER, later);
    assert_eq!(ledger.hold(new, 2 * MIB, later), Err(HoldError::OutOfMemory));
    ledger.set_phase(new, Phase::Running, later);
    assert_eq!(ledger.choose_least_progress(SERVER, later), None);
}

/// Guards against a sender of a byte now and then that counts as making progress.
#[test]
fn trickling_sender_is_stalled_and_expires() {
    let (mut ledger, now) = ledger();
    let slow = open_body(&mut ledger, 7 * MIB, now);
    for second in 1..30 {
        ledger.record_moved(slow, 1, now + Duration::from_secs(second));
    }
    let timeouts = ClientTimeouts::default();
    let at = |seconds| now + Duration::from_secs(seconds);
    assert!(ledger.choose_expired(SERVER, &timeouts, at(29)).is_empty());
    assert_eq!(ledger.choose_expired(SERVER, &timeouts, at(30)), [slow]);
}

/// Guards against callers that lose their connections to a crowd with half heads.
#[test]
fn half_head_goes_before_idle_connection() {
    let (mut ledger, now) = ledger();
    let idle = ledger.open(SERVER, now);
    ledger.set_phase(idle, Phase::Running, now);
    ledger.set_phase(idle, Phase::Idle, now);
    let half_head = ledger.open(SERVER, now + Duration::from_secs(1));
    ledger.set_phase(half_head, Phase::Head, now + Duration::from_secs(1));
    let other_server = ledger.open(SERVER + 1, now);
    let later = now + Duration::from_secs(3);
    let fresh = ledger.open(SERVER, later);
    assert_eq!(ledger.choose_least_progress(SERVER, later), Some(half_head));
    assert_eq!(ledger.choose_least_progress(SERVER, later), Some(idle));
    assert_eq!(ledger.choose_least_progress(SERVER, later), Some(fresh));
    assert_eq!(ledger.choose_least_progress(SERVER, later), None);
    assert_eq!(ledger.choose_least_progress(SERVER + 1, later), Some(other_server));
}

/// Guards against bodies of many short fields that count as little as their text.
#[test]
fn short_fields_count_as_their_decoded_size() {
    let objects = "{\"a\":0},".repeat(1000);
    assert!(decoded_json_bytes(objects.as_bytes()) > 600_000);
    let string = format!("\"{}\\\"{{[,\"", "{[,".repeat(1000));
    assert!(decoded_json_bytes(string.as_bytes()) < 2 * string.len());
}
