//! The token bucket: exact refill, and no token is available twice.

mod support;

use std::time::{Duration, Instant};

use nutmegwheel_limits::{Limit, TOKEN, bucket::Bucket};
use support::{limit, ms};

#[test]
fn full_bucket_yields_burst_then_rate() {
    let now = Instant::now();
    let mut bucket = Bucket::full(limit(2.0, 3), now);
    assert_eq!((0..5).filter(|_| bucket.take(TOKEN, now)).count(), 3);
    assert!(!bucket.take(TOKEN, now + ms(499)));
    assert!(bucket.take(TOKEN, now + ms(500)));
    assert!(!bucket.take(TOKEN, now + ms(999)));
    assert!(bucket.take(TOKEN, now + ms(1000)));
}

#[test]
fn small_refills_add_up_exactly() {
    let start = Instant::now();
    let limit = Limit {
        rate: 333_333,
        burst: 1000 * TOKEN,
    };
    let mut bucket = Bucket::empty(limit, start);
    for step in 1..=1_000_003_u64 {
        bucket.refill(start + Duration::from_nanos(step * 2999));
    }
    let expected = u128::from(1_000_003_u64 * 2999) * 333_333 / 1_000_000_000;
    assert_eq!(u128::from(bucket.level()), expected);
}

#[test]
fn ignores_earlier_times_and_caps_at_burst() {
    let now = Instant::now() + Duration::from_hours(1);
    let mut bucket = Bucket::empty(limit(1e6, 7), now);
    bucket.refill(now.checked_sub(ms(1000)).unwrap());
    assert_eq!(bucket.level(), 0);
    bucket.refill(now + Duration::from_hours(100 * 365 * 24));
    assert_eq!(bucket.level(), 7 * TOKEN);
}

#[test]
fn reserved_tokens_occupy_capacity() {
    let now = Instant::now();
    let mut bucket = Bucket::full(limit(1.0, 2), now);
    assert!(bucket.reserve(2 * TOKEN, now));
    bucket.refill(now + ms(60_000));
    assert_eq!((bucket.level(), bucket.reserved()), (0, 2 * TOKEN));
    bucket.return_reserved(TOKEN, now + ms(60_000));
    assert_eq!((bucket.level(), bucket.reserved()), (TOKEN, TOKEN));
    bucket.consume_reserved(TOKEN, now + ms(60_000));
    assert_eq!(
        bucket.level(),
        TOKEN,
        "spending frees capacity but adds no token"
    );
    bucket.refill(now + ms(61_000));
    assert_eq!(bucket.level(), 2 * TOKEN);
}

#[test]
fn lowered_limit_drops_excess_tokens() {
    let now = Instant::now();
    let mut bucket = Bucket::full(limit(1.0, 8), now);
    assert!(bucket.reserve(4 * TOKEN, now));
    bucket.set_limit(limit(1.0, 3), now);
    assert_eq!((bucket.level(), bucket.reserved()), (0, 4 * TOKEN));
    bucket.set_limit(limit(1.0, 8), now);
    assert_eq!(bucket.level(), 0);
}

#[test]
fn computes_exact_wait_or_none() {
    let now = Instant::now();
    let cases = [
        (limit(0.5, 1), TOKEN, Some(ms(2000))),
        (
            limit(3.0, 1),
            TOKEN,
            Some(Duration::from_nanos(333_333_334)),
        ),
        (limit(0.5, 1), 2 * TOKEN, None),
        (
            Limit {
                rate: 0,
                burst: TOKEN,
            },
            TOKEN,
            None,
        ),
        (limit(0.5, 1), 0, Some(Duration::ZERO)),
    ];
    for (limit, amount, wait) in cases {
        assert_eq!(
            Bucket::empty(limit, now).wait_for(amount),
            wait,
            "{limit:?} {amount}"
        );
    }
}
