//! Detection of crashing requests: a request is blocked after three crashes, while other requests
//! still run.

use std::time::Instant;

use deck_limit::crash::{
    CrashCounts, CrashOptions, CrashTracker, FingerprintCrashes, TargetKey, fingerprint,
    targets_for_suspects,
};

const CRASHING: u128 = 1;
const HARMLESS: u128 = 2;

fn target(name: &str) -> TargetKey {
    TargetKey { pool: "rank".to_owned(), target: name.to_owned() }
}

/// Records a crash of a target on which the request is the only suspect.
fn crash_sole_suspect(tracker: &mut CrashTracker, request: u128, name: &str, now: Instant) {
    let key = target(name);
    tracker.record_suspect_start(&key);
    tracker.record_crash(request, &key, true, now);
    tracker.record_suspect_end(&key);
}

/// Guards against a request that crashes one target after the other.
#[test]
fn third_crash_blocks_the_request() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashOptions::default());
    assert!(!tracker.is_suspect(CRASHING));
    tracker.record_crash(CRASHING, &target("a"), false, now);
    assert!(tracker.is_suspect(CRASHING) && !tracker.is_blocked(CRASHING));
    crash_sole_suspect(&mut tracker, CRASHING, "b", now);
    assert!(!tracker.is_blocked(CRASHING));
    crash_sole_suspect(&mut tracker, CRASHING, "c", now);
    assert!(tracker.is_blocked(CRASHING));
}

/// Guards against blocking a harmless request that is often in flight beside a crashing one.
#[test]
fn ambiguous_crashes_never_block_a_request() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashOptions::default());
    for name in ["a", "b", "c", "d", "e"] {
        tracker.record_crash(HARMLESS, &target(name), false, now);
    }
    assert!(tracker.is_suspect(HARMLESS) && !tracker.is_blocked(HARMLESS));
    tracker.record_success(HARMLESS);
    assert!(!tracker.is_suspect(HARMLESS));
}

/// Guards against counting the crash of a target that runs two suspects as caused by each of them.
#[test]
fn crash_with_two_suspects_is_ambiguous() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashOptions::default());
    let key = target("a");
    tracker.record_suspect_start(&key);
    tracker.record_suspect_start(&key);
    assert_eq!(tracker.targets_with_suspects("rank"), ["a"]);
    tracker.record_crash(CRASHING, &key, true, now);
    assert_eq!(tracker.counts(CRASHING), CrashCounts { ambiguous: 1, sole_suspect: 0 });
    tracker.record_suspect_end(&key);
    tracker.record_suspect_end(&key);
    assert!(tracker.targets_with_suspects("rank").is_empty());
}

/// Guards against suspects of two VMs on one target, where each VM takes its own for the only one.
#[test]
fn suspects_of_two_vms_have_different_targets() {
    let [a, b, c, stranger] = ["a", "b", "c", "d"].map(str::to_owned);
    let vms = [c.clone(), a.clone(), b.clone()];
    let targets = ["t0", "t1", "t2", "t3", "t4"].map(str::to_owned);
    let assigned = |vm| targets_for_suspects(vm, &vms, &targets);
    assert_eq!(assigned(&a), ["t0", "t3"]);
    assert_eq!(assigned(&b), ["t1", "t4"]);
    assert_eq!(assigned(&c), ["t2"]);
    assert!(assigned(&stranger).is_empty(), "its view of the VMs differs from that of the others");
    assert!(targets_for_suspects(&c, &vms, &targets[..2]).is_empty());
}

/// Guards against counting the crashes of a request separately at each VM.
#[test]
fn crashes_observed_by_other_vms_count() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashOptions::default());
    tracker.record_crash(CRASHING, &target("a"), false, now);
    let counts = CrashCounts { ambiguous: 0, sole_suspect: 1 };
    let published = FingerprintCrashes { fingerprint: CRASHING, counts };
    tracker.set_remote_crashes([published]);
    assert!(!tracker.is_blocked(CRASHING));
    tracker.set_remote_crashes([published, published]);
    assert!(tracker.is_blocked(CRASHING));
    assert!(!tracker.is_blocked(HARMLESS));
}

/// Guards against unbounded memory and messages, and against crashes that are never forgotten.
#[test]
fn fingerprints_are_bounded_and_expire() {
    let options = CrashOptions { max_fingerprints: 8, ..CrashOptions::default() };
    let now = Instant::now();
    let mut tracker = CrashTracker::new(options.clone());
    for _ in 0..2 {
        crash_sole_suspect(&mut tracker, CRASHING, "a", now);
    }
    for request in 100..200 {
        tracker.record_crash(request, &target("a"), false, now);
    }
    let published = tracker.local_crashes(now);
    assert_eq!(published.len(), 8);
    assert_eq!(published[0].fingerprint, CRASHING, "the request with the most crashes is kept");
    assert!(tracker.local_crashes(now + options.retention).is_empty());
    assert!(!tracker.is_suspect(CRASHING));
}

/// Guards against different requests with the same fingerprint.
#[test]
fn fingerprint_separates_its_fields() {
    let request_fingerprint = fingerprint("rank", "POST", "/a", b"b");
    assert_eq!(request_fingerprint, fingerprint("rank", "POST", "/a", b"b"));
    for other_fingerprint in [
        fingerprint("ran", "kPOST", "/a", b"b"),
        fingerprint("rank", "POST", "/ab", b""),
        fingerprint("rank", "PUT", "/a", b"b"),
    ] {
        assert_ne!(request_fingerprint, other_fingerprint);
    }
}
