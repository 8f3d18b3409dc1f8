//! Small parts: bitmap, spans, window, forecast and redirect.

use std::time::{Duration, Instant};

use deck_core::object::{LeaseRecord, VersionSpan};
use deck_roll::{
    bitmap::{BitmapError, GroupBitmap},
    forecast::Forecast,
    length::LengthModel,
    locate::redirect_target,
    mix::EngineMix,
    sample::SampleText,
    targets::TargetVersions,
    window::{Window, WindowOptions},
};
use test_case::test_case;

/// Guards against a bit order that differs from the trainer's.
#[test_case("", &[]; "empty")]
#[test_case("01", &[0]; "lowest bit first")]
#[test_case("8002", &[7, 9]; "two bytes")]
fn bitmap_is_read(text: &str, expected: &[u32]) {
    let bitmap = GroupBitmap::try_parse(text, 16).expect("bitmap");
    assert_eq!(bitmap.iter().collect::<Vec<_>>(), expected);
    assert_eq!(bitmap.to_string(), text);
}

/// Guards against a malformed bitmap that is taken for an empty one.
#[test_case("0", &BitmapError::NotHex("0".to_owned()); "half a byte")]
#[test_case("zz", &BitmapError::NotHex("zz".to_owned()); "no digits")]
#[test_case("+1", &BitmapError::NotHex("+1".to_owned()); "sign")]
#[test_case("é", &BitmapError::NotHex("é".to_owned()); "not ascii")]
#[test_case("10", &BitmapError::OutOfRange(4, 4); "beyond the step")]
fn bitmap_is_refused(text: &str, expected: &BitmapError) {
    assert_eq!(GroupBitmap::try_parse(text, 4).as_ref(), Err(expected));
}

/// Guards against tokens that are attributed to another version than the engine reported.
#[test]
fn spans_follow_the_chunks() {
    let mut text = SampleText::default();
    for (tokens, version) in [(3, 7), (2, 7), (0, 9), (4, 8), (1, 7)] {
        text.push("x", tokens, version);
    }
    let spans = [(7, 5), (8, 4), (7, 1)];
    let spans =
        spans.map(|(weight_version, token_count)| VersionSpan { weight_version, token_count });
    assert_eq!(text.spans, spans);
    assert_eq!((text.token_count, text.oldest_version()), (10, Some(7)));
    assert!(text.is_fresh(7) && !text.is_fresh(8));
}

/// Guards against a retry time of the pool that is ignored, and against a window that never falls or
/// never grows.
#[test]
fn window_follows_the_pool() {
    let now = Instant::now();
    let options = WindowOptions { initial: 10, max: 12, ..WindowOptions::default() };
    let mut window = Window::new(options);
    window.refused(Duration::from_secs(2), now);
    window.refused(Duration::from_secs(1), now);
    assert_eq!(window.limit(), 7, "refusals of one burst count once");
    assert!(!window.has_room(now + Duration::from_millis(1999)));
    let later = now + Duration::from_secs(2);
    for _ in 0..7 {
        assert!(window.has_room(later));
        window.start();
    }
    assert!(!window.has_room(later));
    (0..200).for_each(|_| window.accepted());
    assert_eq!(window.limit(), 12);
    for _ in 0..100 {
        window.refused(Duration::ZERO, later + Duration::from_secs(60));
    }
    assert!(window.limit() >= 1);
}

/// Guards against a forecast that assumes one version a step although the trainer publishes more, or
/// versions that come while a step is collected.
#[test]
fn forecast_follows_the_trainer() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut forecast = Forecast::default();
    assert_eq!(forecast.trainer_version(0, start), None);
    forecast.observe(0, 10, start);
    assert_eq!(forecast.trainer_version(2, start), Some(12), "one version a step at first");
    forecast.observe(1, 12, at(10));
    forecast.observe(2, 14, at(20));
    assert_eq!(forecast.trainer_version(0, at(20)), Some(14));
    assert_eq!(forecast.trainer_version(2, at(20)), Some(18));

    let mut forecast = Forecast::default();
    for step in 0..6 {
        forecast.observe(step, 2 * step, at(10 * step));
        forecast.observe(step, 2 * step + 2, at(10 * step + 5));
    }
    assert_eq!(forecast.trainer_version(0, at(55)), Some(13), "half a step is left");
}

/// Guards against a forecast that stays on the old pace after the trainer went back.
#[test]
fn forecast_restarts_from_a_checkpoint() {
    let now = Instant::now();
    let mut forecast = Forecast::default();
    forecast.observe(9, 30, now);
    forecast.observe(3, 11, now);
    assert_eq!(forecast.trainer_version(0, now), Some(11));
}

/// Guards against a stop of all work because one engine restarted with an older version, and against
/// a belief in new weights that all engines have lost.
#[test]
fn mix_forgets_versions_that_no_engine_reports() {
    let start = Instant::now();
    let mut mix = EngineMix::default();
    assert_eq!((mix.newest(), mix.fresh_share(0)), (None, None));
    mix.observe(5, 30, start);
    mix.observe(4, 10, start + Duration::from_millis(1100));
    assert_eq!((mix.newest(), mix.fresh_share(5)), (Some(5), Some(0.75)));
    mix.observe(4, 10, start + Duration::from_secs(60));
    assert_eq!((mix.newest(), mix.fresh_share(5)), (Some(4), Some(0.0)));
}

/// Guards against work that goes again and again to a target with old weights, and against one that
/// is avoided for ever.
#[test]
fn lagging_targets_are_avoided_for_a_while() {
    let now = Instant::now();
    let mut targets = TargetVersions::default();
    targets.observe("engine-0", 4, now);
    targets.observe("engine-1", 5, now);
    assert_eq!(targets.older_than(5, now), ["engine-0"]);
    assert!(targets.older_than(4, now).is_empty());
    assert!(targets.older_than(5, now + Duration::from_secs(10)).is_empty());
}

/// Guards against a prediction from another prompt.
#[test]
fn lengths_are_kept_by_prompt() {
    let mut lengths = LengthModel::new(2);
    lengths.record(1, 100);
    lengths.record(1, 200);
    lengths.record(7, 5);
    assert_eq!(lengths.predict(0), None);
    assert_eq!(lengths.predict(1), Some(125.0));
}

/// Guards against redirects to this VM itself, to a lease that was released, or to an owner that the
/// trainer knows to be replaced.
#[test_case("vm-2", 4, true; "other owner")]
#[test_case("vm-1", 4, false; "itself")]
#[test_case("", 4, false; "released")]
#[test_case("vm-2", 6, false; "replaced owner")]
fn redirect_needs_a_usable_owner(holder: &str, seen: u64, expected: bool) {
    let record = LeaseRecord {
        holder: holder.to_owned(),
        address: "127.0.0.1:7201".to_owned(),
        fencing: 5,
        duration_ms: 9000,
        renewal: 0,
        nonce: String::new(),
    };
    assert_eq!(redirect_target(&record, &"vm-1".to_owned(), seen).is_some(), expected);
}
