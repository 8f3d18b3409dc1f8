//! Crash fingerprints: the guilty request is stopped after three crashes, no other one is.

use std::time::Instant;

use deck_limit::crash::{
    CrashCounts, CrashOptions, CrashTracker, PublishedCrash, TargetKey, fingerprint,
};

const GUILTY: u128 = 1;
const INNOCENT: u128 = 2;

fn target(name: &str) -> TargetKey {
    TargetKey { pool: "rank".to_owned(), target: name.to_owned() }
}

/// Runs a suspect alone on a target that breaks.
fn crash_alone(tracker: &mut CrashTracker, request: u128, name: &str, now: Instant) {
    let key = target(name);
    tracker.suspect_started(&key);
    tracker.crashed(request, &key, true, now);
    tracker.suspect_ended(&key);
}

/// Guards against a request that breaks one target after the other.
#[test]
fn third_crash_condemns() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashOptions::default());
    assert!(!tracker.is_suspect(GUILTY));
    tracker.crashed(GUILTY, &target("a"), false, now);
    assert!(tracker.is_suspect(GUILTY) && !tracker.is_condemned(GUILTY));
    crash_alone(&mut tracker, GUILTY, "b", now);
    assert!(!tracker.is_condemned(GUILTY));
    crash_alone(&mut tracker, GUILTY, "c", now);
    assert!(tracker.is_condemned(GUILTY));
}

/// Guards against a harmless request that is blocked because it often runs beside a guilty one.
#[test]
fn company_of_crashes_never_condemns() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashOptions::default());
    for name in ["a", "b", "c", "d", "e"] {
        tracker.crashed(INNOCENT, &target(name), false, now);
    }
    assert!(tracker.is_suspect(INNOCENT) && !tracker.is_condemned(INNOCENT));
    tracker.succeeded(INNOCENT);
    assert!(!tracker.is_suspect(INNOCENT));
}

/// Guards against two suspects on one target: the crash of one would be held against both.
#[test]
fn suspects_on_one_target_do_not_count_as_alone() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashOptions::default());
    let key = target("a");
    tracker.suspect_started(&key);
    tracker.suspect_started(&key);
    assert_eq!(tracker.targets_with_suspects("rank"), ["a"]);
    tracker.crashed(GUILTY, &key, true, now);
    assert_eq!(tracker.counts(GUILTY), CrashCounts { in_company: 1, alone: 0 });
    tracker.suspect_ended(&key);
    tracker.suspect_ended(&key);
    assert!(tracker.targets_with_suspects("rank").is_empty());
}

/// Guards against a guilty request that is counted anew by each entry VM.
#[test]
fn crashes_seen_by_other_vms_count() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashOptions::default());
    tracker.crashed(GUILTY, &target("a"), false, now);
    let counts = CrashCounts { in_company: 0, alone: 1 };
    let published = PublishedCrash { fingerprint: GUILTY, counts };
    tracker.set_others([published]);
    assert!(!tracker.is_condemned(GUILTY));
    tracker.set_others([published, published]);
    assert!(tracker.is_condemned(GUILTY));
    assert!(!tracker.is_condemned(INNOCENT));
}

/// Guards against memory and messages without bound, and against crashes that are held for ever.
#[test]
fn fingerprints_are_bounded_and_expire() {
    let options = CrashOptions { max_fingerprints: 8, ..CrashOptions::default() };
    let now = Instant::now();
    let mut tracker = CrashTracker::new(options.clone());
    for _ in 0..2 {
        crash_alone(&mut tracker, GUILTY, "a", now);
    }
    for request in 100..200 {
        tracker.crashed(request, &target("a"), false, now);
    }
    let published = tracker.to_publish(now);
    assert_eq!(published.len(), 8);
    assert_eq!(published[0].fingerprint, GUILTY, "the worst one is kept");
    assert!(tracker.to_publish(now + options.keep).is_empty());
    assert!(!tracker.is_suspect(GUILTY));
}

/// Guards against two different requests with the same fingerprint.
#[test]
fn fingerprint_separates_its_parts() {
    let base = fingerprint("rank", "POST", "/a", b"b");
    assert_eq!(base, fingerprint("rank", "POST", "/a", b"b"));
    for other in [
        fingerprint("ran", "kPOST", "/a", b"b"),
        fingerprint("rank", "POST", "/ab", b""),
        fingerprint("rank", "PUT", "/a", b"b"),
    ] {
        assert_ne!(base, other);
    }
}
