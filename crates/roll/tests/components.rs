//! Tests of the bitmap, version spans, concurrency limiter, forecasts and owner redirect.

use std::time::{Duration, Instant};

use deck_core::object::{LeaseRecord, VersionSpan};
use deck_roll::{
    bitmap::{BitmapError, GroupBitmap},
    concurrency::{ConcurrencyLimiter, ConcurrencyLimiterOptions},
    forecast::TrainerVersionForecast,
    length::LengthPredictor,
    owner_lookup::redirect_address,
    sample::SampleText,
    target_versions::TargetVersions,
    version_distribution::VersionDistribution,
};
use test_case::test_case;

/// The bitmap uses the same bit order as the trainer.
#[test_case("", &[]; "empty")]
#[test_case("01", &[0]; "lowest bit first")]
#[test_case("8002", &[7, 9]; "two bytes")]
fn bitmap_is_parsed(text: &str, expected: &[u32]) {
    let bitmap = GroupBitmap::try_parse(text, 16).expect("bitmap");
    assert_eq!(bitmap.iter().collect::<Vec<_>>(), expected);
    assert_eq!(bitmap.to_string(), text);
}

/// A malformed bitmap is an error and is not read as an empty one.
#[test_case("0", &BitmapError::NotHex("0".to_owned()); "half a byte")]
#[test_case("zz", &BitmapError::NotHex("zz".to_owned()); "no digits")]
#[test_case("+1", &BitmapError::NotHex("+1".to_owned()); "sign")]
#[test_case("é", &BitmapError::NotHex("é".to_owned()); "not ascii")]
#[test_case("10", &BitmapError::OutOfRange(4, 4); "beyond the step")]
fn malformed_bitmap_is_rejected(text: &str, expected: &BitmapError) {
    assert_eq!(GroupBitmap::try_parse(text, 4).as_ref(), Err(expected));
}

/// Tokens are attributed to the weight version that the engine reported for their chunk.
#[test]
fn spans_match_chunk_versions() {
    let mut text = SampleText::default();
    for (tokens, version) in [(3, 7), (2, 7), (0, 9), (4, 8), (1, 7)] {
        text.append("x", tokens, version);
    }
    let spans = [(7, 5), (8, 4), (7, 1)];
    let spans =
        spans.map(|(weight_version, token_count)| VersionSpan { weight_version, token_count });
    assert_eq!(text.spans, spans);
    assert_eq!((text.token_count, text.oldest_version()), (10, Some(7)));
    assert!(text.is_fresh(7) && !text.is_fresh(8));
}

/// The limiter waits for the retry time of a refusal, falls once per burst of refusals, grows on
/// success and never drops below one.
#[test]
fn limiter_adapts_to_pool_responses() {
    let now = Instant::now();
    let options = ConcurrencyLimiterOptions {
        initial_limit: 10,
        max_limit: 12,
        ..ConcurrencyLimiterOptions::default()
    };
    let mut concurrency_limiter = ConcurrencyLimiter::new(options);
    concurrency_limiter.record_refused(Duration::from_secs(2), now);
    concurrency_limiter.record_refused(Duration::from_secs(1), now);
    assert_eq!(concurrency_limiter.limit(), 7, "refusals of one burst count once");
    assert!(!concurrency_limiter.can_start(now + Duration::from_millis(1999)));
    let after_retry_time = now + Duration::from_secs(2);
    for _ in 0..7 {
        assert!(concurrency_limiter.can_start(after_retry_time));
        concurrency_limiter.record_start();
    }
    assert!(!concurrency_limiter.can_start(after_retry_time));
    (0..200).for_each(|_| concurrency_limiter.record_accepted());
    assert_eq!(concurrency_limiter.limit(), 12);
    for _ in 0..100 {
        concurrency_limiter
            .record_refused(Duration::ZERO, after_retry_time + Duration::from_secs(60));
    }
    assert!(concurrency_limiter.limit() >= 1);
}

/// The forecast follows the observed versions per step, including versions published while a step
/// is collected.
#[test]
fn forecast_tracks_trainer_versions() {
    let started_at = Instant::now();
    let at = |seconds| started_at + Duration::from_secs(seconds);
    let mut forecast = TrainerVersionForecast::default();
    assert_eq!(forecast.predict_version(0, started_at), None);
    forecast.record_pull(0, 10, started_at);
    assert_eq!(forecast.predict_version(2, started_at), Some(12), "one version a step at first");
    forecast.record_pull(1, 12, at(10));
    forecast.record_pull(2, 14, at(20));
    assert_eq!(forecast.predict_version(0, at(20)), Some(14));
    assert_eq!(forecast.predict_version(2, at(20)), Some(18));

    let mut forecast = TrainerVersionForecast::default();
    for step in 0..6 {
        forecast.record_pull(step, 2 * step, at(10 * step));
        forecast.record_pull(step, 2 * step + 2, at(10 * step + 5));
    }
    assert_eq!(forecast.predict_version(0, at(55)), Some(13), "half a step is left");
}

/// The forecast starts again when the trainer was restored from a checkpoint.
#[test]
fn version_forecast_restarts_after_trainer_restore() {
    let now = Instant::now();
    let mut forecast = TrainerVersionForecast::default();
    forecast.record_pull(9, 30, now);
    forecast.record_pull(3, 11, now);
    assert_eq!(forecast.predict_version(0, now), Some(11));
}

/// Versions that no engine reports any more are forgotten. One restarted engine with an older
/// version does not hide the newer version of the others.
#[test]
fn distribution_forgets_unreported_versions() {
    let started_at = Instant::now();
    let mut distribution = VersionDistribution::default();
    assert_eq!((distribution.newest_version(), distribution.fresh_token_share(0)), (None, None));
    distribution.record_tokens(5, 30, started_at);
    distribution.record_tokens(4, 10, started_at + Duration::from_millis(1100));
    assert_eq!(
        (distribution.newest_version(), distribution.fresh_token_share(5)),
        (Some(5), Some(0.75))
    );
    distribution.record_tokens(4, 10, started_at + Duration::from_secs(60));
    assert_eq!(
        (distribution.newest_version(), distribution.fresh_token_share(5)),
        (Some(4), Some(0.0))
    );
}

/// A target with old weights is avoided, but only until its report expires.
#[test]
fn outdated_targets_are_avoided_temporarily() {
    let now = Instant::now();
    let mut targets = TargetVersions::default();
    targets.record_version("engine-0", 4, now);
    targets.record_version("engine-1", 5, now);
    assert_eq!(targets.targets_older_than(5, now), ["engine-0"]);
    assert!(targets.targets_older_than(4, now).is_empty());
    assert!(targets.targets_older_than(5, now + Duration::from_secs(10)).is_empty());
}

/// Lengths are predicted separately for each prompt.
#[test]
fn lengths_are_predicted_per_prompt() {
    let mut length_predictor = LengthPredictor::new(2);
    length_predictor.record_length(1, 100);
    length_predictor.record_length(1, 200);
    length_predictor.record_length(7, 5);
    assert_eq!(length_predictor.predict(0), None);
    assert_eq!(length_predictor.predict(1), Some(125.0));
}

/// A trainer is not redirected to this VM itself, to the holder of a released lease or to an owner
/// that the trainer knows was replaced.
#[test_case("vm-2", 4, true; "other owner")]
#[test_case("vm-1", 4, false; "itself")]
#[test_case("", 4, false; "released")]
#[test_case("vm-2", 6, false; "replaced owner")]
fn redirect_requires_usable_owner(holder: &str, min_fencing: u64, expected: bool) {
    let record = LeaseRecord {
        holder: holder.to_owned(),
        address: "127.0.0.1:7201".to_owned(),
        fencing: 5,
        duration_ms: 9000,
        renewal: 0,
        nonce: String::new(),
    };
    assert_eq!(redirect_address(&record, &"vm-1".to_owned(), min_fencing).is_some(), expected);
}
