//! The requests that start at a backend server which named a limit.

use std::time::{Duration, Instant};

use nutmegwheel_limits::server_limit::ServerLimit;
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(4);

/// Offers a request every `interval` for some time and returns the starts.
fn starts(
    limit: &mut ServerLimit,
    from: Instant,
    time: Duration,
    interval: Duration,
) -> Vec<Instant> {
    let mut starts = Vec::new();
    let mut now = from;
    while now < from + time {
        if limit.try_start(now).is_ok() {
            starts.push(now);
        }
        now += interval;
    }
    starts
}

fn most_in_window(starts: &[Instant]) -> usize {
    let count = |from: &Instant| {
        let within = |at: &&Instant| **at >= *from && **at < *from + WINDOW;
        starts.iter().filter(within).count()
    };
    starts.iter().map(count).max().unwrap_or(0)
}

#[allow(clippy::cast_precision_loss, reason = "the counts are small")]
fn assert_kept(starts: &[Instant], rate: f64) {
    let allowed = rate * WINDOW.as_secs_f64() * 1.5 + 5.0;
    let most = most_in_window(starts);
    assert!(
        most as f64 <= allowed,
        "{most} at {rate} a second, allowed {allowed}"
    );
}

#[test]
fn starts_all_requests_without_limit() {
    let mut limit = ServerLimit::default();
    let now = Instant::now();
    let interval = Duration::from_millis(1);
    assert_eq!(
        starts(&mut limit, now, Duration::from_secs(1), interval).len(),
        1000
    );
    assert_eq!(limit.slots(72), 72);
}

// Guards against a limit that is never lifted, because no request is let through and no answer
// could take it back.
#[test]
fn lets_requests_through_at_limit_of_zero() {
    let mut limit = ServerLimit::default();
    let now = Instant::now();
    assert!(limit.observe(now, Some(0.0)));
    let started = starts(
        &mut limit,
        now,
        Duration::from_secs(20),
        Duration::from_millis(10),
    );
    assert!(!started.is_empty());
    assert_kept(&started, 0.0);
}

#[test]
fn ends_when_answer_names_none() {
    let mut limit = ServerLimit::default();
    let now = Instant::now();
    assert!(limit.observe(now, Some(1.0)));
    assert!(!limit.observe(now, Some(1.0)));
    assert!(limit.observe(now, None));
    assert_eq!(limit.rate(), None);
    assert!((0..100).all(|_| limit.try_start(now).is_ok()));
}

#[test]
fn says_when_next_request_may_start() {
    let mut limit = ServerLimit::default();
    let now = Instant::now();
    limit.observe(now, Some(4.0));
    let wait = limit.try_start(now).unwrap_err();
    assert_eq!(wait, Duration::from_millis(250));
    assert_eq!(limit.try_start(now + wait), Ok(()));
}

#[test]
fn leaves_slots_that_keep_server_busy() {
    let mut limit = ServerLimit::default();
    let now = Instant::now();
    limit.observe(now, Some(11.4));
    assert_eq!(limit.slots(72), 72, "the duration is not known yet");
    limit.record_duration(Duration::from_millis(220));
    assert_eq!(limit.slots(72), 4);
    assert_eq!(limit.slots(2), 2);
    limit.observe(now, Some(10_000.0));
    assert_eq!(limit.slots(72), 72);
}

proptest! {
    #[test]
    fn keeps_to_limit_and_uses_it(rate in 0.0..200.0f64, interval_us in 100..50_000u64) {
        let mut limit = ServerLimit::default();
        let now = Instant::now();
        limit.observe(now, Some(rate));
        let interval = Duration::from_micros(interval_us);
        let time = Duration::from_secs(12);
        let started = starts(&mut limit, now, time, interval);
        assert_kept(&started, rate);
        let offered = time.as_secs_f64() / interval.as_secs_f64();
        let expected = (rate * time.as_secs_f64()).min(offered) * 0.9 - 1.0;
        #[allow(clippy::cast_precision_loss, reason = "the counts are small")]
        let count = started.len() as f64;
        prop_assert!(count >= expected, "{count} started, {expected} expected");
    }

    #[test]
    fn keeps_to_lower_of_two_limits_after_change(high in 20.0..200.0f64, low in 0.0..20.0f64) {
        let mut limit = ServerLimit::default();
        let now = Instant::now();
        let interval = Duration::from_millis(2);
        limit.observe(now, Some(high));
        starts(&mut limit, now, WINDOW, interval);
        let changed_at = now + WINDOW;
        limit.observe(changed_at, Some(low));
        let started = starts(&mut limit, changed_at, WINDOW * 2, interval);
        assert_kept(&started, low);
    }
}

// Guards against LIMIT: a node that restarted let requests through by slots until the first answer
// named the limit again.
#[test]
fn few_requests_run_until_first_answer() {
    let mut limit = ServerLimit::default();
    assert_eq!(limit.concurrency(72), 72, "answers name no limits");
    limit.reset(true);
    assert_eq!(limit.concurrency(72), 4);
    assert_eq!(limit.concurrency(2), 2);
    assert_eq!(limit.slots(72), 72, "others send as before");
    assert!(limit.observe(Instant::now(), None), "there is none");
    assert_eq!(limit.concurrency(72), 72);
    assert!(!limit.observe(Instant::now(), None));
}
