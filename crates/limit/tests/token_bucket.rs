//! Token bucket: the rate limit holds, and the retries of refused callers are spread out.

use std::time::{Duration, Instant};

use deck_limit::TokenBucket;

/// Guards against exceeding a rate limit, such as the limit on claims at the object API.
#[test]
fn rate_is_kept_over_time() {
    let mut now = Instant::now();
    let mut bucket = TokenBucket::new(20.0, now);
    let mut taken = 0;
    for _ in 0..1000 {
        if bucket.try_take(now).is_ok() {
            taken += 1;
        }
        now += Duration::from_millis(10);
    }
    assert!((200..=220).contains(&taken), "{taken} in 10 s at 20 per second");
    let wait = loop {
        if let Err(wait) = bucket.try_take(now) {
            break wait;
        }
    };
    assert!(bucket.try_take(now + wait + Duration::from_micros(1)).is_ok());
}

/// Guards against refused callers that all retry for the same token.
#[test]
fn refused_callers_retry_one_after_the_other() {
    let now = Instant::now();
    let mut bucket = TokenBucket::new(10.0, now);
    while bucket.try_take(now).is_ok() {}
    let mut waits: Vec<_> = (0..20).filter_map(|_| bucket.try_take(now).err()).collect();
    for pair in waits.windows(2) {
        assert!(pair[1] >= pair[0] + Duration::from_millis(99), "{waits:?}");
    }
    waits.insert(0, Duration::from_millis(100));
    for wait in waits {
        let at = now + wait + Duration::from_micros(10);
        assert!(bucket.try_take(at).is_ok(), "no token after {wait:?}");
    }
    let longest_wait = (0..10_000).filter_map(|_| bucket.try_take(now).err()).max();
    assert!(longest_wait.is_some_and(|wait| wait <= Duration::from_secs(10)), "{longest_wait:?}");
}

/// Guards against a debt that does not delay later takes, and against refusing to take more tokens than
/// the bucket holds although it is full.
#[test]
fn debt_delays_later_takes() {
    let now = Instant::now();
    let mut bucket = TokenBucket::new(100.0, now);
    assert!(bucket.try_take_with_debt(400.0, now));
    assert!(!bucket.try_take_with_debt(1.0, now + Duration::from_millis(2900)));
    assert!(bucket.try_take_with_debt(1.0, now + Duration::from_millis(3100)));
}
