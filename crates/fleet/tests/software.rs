//! Which software versions a node can say that the targets of a service have had.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_fleet::{FleetView, KnownVersions, ObjectFollowerOptions, Target, TargetState};
use deck_route::{Router, RouterOptions};
use test_case::test_case;

const PERIOD: Duration = Duration::from_secs(30);

fn target(id: &str, service: &str, version: &str) -> Target {
    Target {
        id: id.to_owned(),
        service: service.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "a".to_owned(),
        state: TargetState::Ready,
        software_version: Some(version.to_owned()),
        slots: 8,
        models: Vec::new(),
        started_at_ms: 1,
        lifetime: Default::default(),
    }
}

/// Returns a view whose target list was current every second from `first_s` to `last_s` seconds
/// after `start`.
fn view_followed(start: Instant, first_s: u64, last_s: u64) -> FleetView {
    let view = FleetView::new(Router::new(RouterOptions::default()));
    view.set_targets(vec![target("a", "s", "v1"), target("b", "s", "v1")], start);
    follow(&view, start, first_s, last_s);
    view
}

fn follow(view: &FleetView, start: Instant, first_s: u64, last_s: u64) {
    for second in first_s..=last_s {
        view.set_up_to_date_at(start + Duration::from_secs(second));
    }
}

fn single(version: &str) -> KnownVersions {
    KnownVersions::Single(Some(version.to_owned()))
}

/// Guards against a node that claims to know all versions although it has only just started, its
/// list is old, or it has not followed the list for a while.
#[test_case(0, 31, 31, single("v1"); "followed for longer than the period")]
#[test_case(0, 30, 30, KnownVersions::Unknown; "followed for just the period")]
#[test_case(0, 31, 35, KnownVersions::Unknown; "list is old")]
#[test_case(20, 31, 31, KnownVersions::Unknown; "just started")]
fn version_is_known_if_the_list_was_followed(
    first_s: u64,
    last_s: u64,
    now_s: u64,
    expected: KnownVersions,
) {
    let start = Instant::now();
    let view = view_followed(start, first_s, last_s);
    let now = start + Duration::from_secs(now_s);
    assert_eq!(view.software_versions(&["s"], PERIOD, now), expected);
}

/// Guards against versions that came and went during an interruption and are taken for unused.
#[test]
fn long_interruption_starts_the_period_again() {
    let start = Instant::now();
    let view = view_followed(start, 0, 40);
    follow(&view, start, 60, 80);
    let at = |second| start + Duration::from_secs(second);
    assert_eq!(view.software_versions(&["s"], PERIOD, at(80)), KnownVersions::Unknown);
    follow(&view, start, 81, 91);
    assert_eq!(view.software_versions(&["s"], PERIOD, at(91)), single("v1"));
}

/// Guards against forgetting the version of a target that was removed or became another version
/// while its streams may still be resumed.
#[test_case(false; "removed")]
#[test_case(true; "started again as another version")]
fn version_of_a_former_target_counts_within_the_period(starts_again: bool) {
    let start = Instant::now();
    let view = view_followed(start, 0, 31);
    let at = |second| start + Duration::from_secs(second);
    view.set_target(target("c", "s", "v2"));
    assert_eq!(view.software_versions(&["s"], PERIOD, at(31)), KnownVersions::Several);
    if starts_again {
        view.set_target(Target { started_at_ms: 2, ..target("c", "s", "v1") });
    } else {
        view.remove_target("c", Instant::now());
    }
    // The change is recorded with the current time, which is close to `start`.
    assert_eq!(view.software_versions(&["s"], PERIOD, at(29)), KnownVersions::Several);
    follow(&view, start, 32, 40);
    assert_eq!(view.software_versions(&["s"], PERIOD, at(40)), single("v1"));
}

/// Guards against mixing up services: each has its own versions, and a route with several services
/// has one version only if all of them have the same.
#[test]
fn services_have_their_own_versions() {
    let start = Instant::now();
    let view = view_followed(start, 0, 31);
    view.set_target(target("c", "other", "v2"));
    view.set_target(target("d", "same", "v1"));
    let now = start + Duration::from_secs(31);
    assert_eq!(view.software_versions(&["s"], PERIOD, now), single("v1"));
    assert_eq!(view.software_versions(&["s", "same"], PERIOD, now), single("v1"));
    assert_eq!(view.software_versions(&["s", "other"], PERIOD, now), KnownVersions::Several);
    assert_eq!(view.software_versions(&["empty"], PERIOD, now), KnownVersions::Unknown);
}

/// Pattern: a fleet of at most ten nodes, all of which follow the object API themselves, and a
/// configuration that does not change: each watch of it returns after its full timeout and a round
/// trip. Guards against a node that takes the time between two watches for an interruption, or the
/// list for old, and so never knows that a service has had a single version.
#[test]
fn quiet_watches_are_no_interruption() {
    let start = Instant::now();
    let view = FleetView::new(Router::new(RouterOptions::default()));
    view.set_targets(vec![target("a", "s", "v1"), target("b", "s", "v1")], start);
    let round = ObjectFollowerOptions::default().watch_timeout + Duration::from_millis(20);
    let mut up_to_date_at = start;
    while up_to_date_at < start + 4 * PERIOD {
        view.set_targets_watched_at(up_to_date_at);
        up_to_date_at += round;
    }
    // Just before and just after the next watch returns.
    let before = up_to_date_at - Duration::from_millis(1);
    assert_eq!(view.software_versions(&["s"], PERIOD, before), single("v1"));
    view.set_targets_watched_at(up_to_date_at);
    assert_eq!(view.software_versions(&["s"], PERIOD, up_to_date_at), single("v1"));
}

/// Pattern: the watch of the targets fails, and a new version serves and leaves before it works again.
/// Guards against a node that takes the list for current, or the time for seen, without a watch.
#[test]
fn failed_watch_is_an_interruption() {
    let start = Instant::now();
    let view = FleetView::new(Router::new(RouterOptions::default()));
    view.set_targets(vec![target("a", "s", "v1")], start);
    view.set_targets_watched_at(start);
    let failed_at = start + 2 * PERIOD;
    assert_eq!(view.software_versions(&["s"], PERIOD, failed_at), single("v1"));
    view.set_targets_unwatched();
    assert_eq!(view.software_versions(&["s"], PERIOD, failed_at), KnownVersions::Unknown);
    let back_at = failed_at + PERIOD;
    view.set_targets_watched_at(back_at);
    assert_eq!(view.software_versions(&["s"], PERIOD, back_at), KnownVersions::Unknown);
}

/// Guards against an entry whose start time, written by anybody, overflows the comparison with the
/// time of a request, and against a start within the difference of the clocks that counts as known.
#[test_case(1_000, Some("v2"); "started long before")]
#[test_case(99_900, None; "started about then")]
#[test_case(200_000, Some("v1"); "started later")]
#[test_case(u64::MAX, Some("v1"); "largest start time")]
fn answer_is_attributed_by_the_start_of_the_process(
    started_at_ms: u64,
    expected: Option<&'static str>,
) {
    const SENT_AT_MS: u64 = 100_000;
    let view = FleetView::new(Router::new(RouterOptions::default()));
    let entry = target("a", "s", "v1");
    view.set_target(Target { started_at_ms, ..target("a", "s", "v2") });
    let version = view.answering_version(&entry, SENT_AT_MS);
    assert_eq!(version, expected.map(|version| Some(version.to_owned())));
}
