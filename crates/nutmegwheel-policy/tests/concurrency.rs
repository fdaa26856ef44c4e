//! The adaptive concurrency limit against a model of a backend server.

use std::time::{Duration, Instant};

use nutmegwheel_policy::concurrency::{Gradient, Limiter, Options, Outcome, Sample};

const SLOTS: u32 = 60;
/// The latency of a request without queueing.
const BASE_LATENCY: Duration = Duration::from_millis(20);

/// Keeps the backend server at its limit for `time`, with the latency that `latency` computes from
/// the number of running requests.
fn saturate(
    limiter: &mut Gradient,
    now: &mut Instant,
    time: Duration,
    outcome: Outcome,
    latency: impl Fn(u32) -> Duration,
) {
    let end = *now + time;
    while *now < end {
        let running = limiter.limit();
        let latency = latency(running);
        *now += latency / running;
        limiter.observe(
            *now,
            Sample {
                latency,
                running,
                outcome,
            },
        );
    }
}

/// The latency of a backend server with this many workers, in which further requests queue.
fn workers(workers: u32) -> impl Fn(u32) -> Duration {
    move |running| BASE_LATENCY * running.max(workers) / workers
}

fn open(now: Instant) -> Gradient {
    Gradient::open(now, SLOTS, Options::default())
}

#[test]
fn keeps_limit_at_announced_slots() {
    let mut now = Instant::now();
    let mut limiter = open(now);
    assert_eq!(limiter.limit(), SLOTS);
    saturate(
        &mut limiter,
        &mut now,
        Duration::from_secs(9),
        Outcome::Answered,
        workers(SLOTS),
    );
    assert_eq!(limiter.limit(), SLOTS);
}

#[test]
fn finds_capacity_below_slots() {
    let mut now = Instant::now();
    let mut limiter = open(now);
    saturate(
        &mut limiter,
        &mut now,
        Duration::from_mins(1),
        Outcome::Answered,
        workers(15),
    );
    let limit = limiter.limit();
    println!("15 workers, {SLOTS} slots: limit {limit}");
    assert!((11..=25).contains(&limit), "{limit}");
}

#[test]
fn slow_downstream_service_keeps_limit() {
    let mut now = Instant::now();
    let mut limiter = open(now);
    saturate(
        &mut limiter,
        &mut now,
        Duration::from_secs(5),
        Outcome::Answered,
        workers(SLOTS),
    );
    let slow = |_| BASE_LATENCY * 10;
    saturate(
        &mut limiter,
        &mut now,
        Duration::from_secs(5),
        Outcome::Answered,
        slow,
    );
    assert!(limiter.limit() >= SLOTS * 3 / 4, "{}", limiter.limit());
    let timing_out = |_| BASE_LATENCY * 20;
    saturate(
        &mut limiter,
        &mut now,
        Duration::from_secs(10),
        Outcome::TimedOut,
        timing_out,
    );
    assert!(limiter.limit() >= SLOTS * 3 / 4, "{}", limiter.limit());
}

#[test]
fn refusals_lower_limit_and_answers_raise_it() {
    let mut now = Instant::now();
    let mut limiter = open(now);
    saturate(
        &mut limiter,
        &mut now,
        Duration::from_secs(5),
        Outcome::Refused,
        workers(SLOTS),
    );
    assert_eq!(limiter.limit(), SLOTS / 10);
    saturate(
        &mut limiter,
        &mut now,
        Duration::from_secs(5),
        Outcome::Answered,
        workers(SLOTS),
    );
    assert_eq!(limiter.limit(), SLOTS);
}

#[test]
fn fast_failures_keep_limit() {
    let mut now = Instant::now();
    let mut limiter = open(now);
    let fast = |_| Duration::from_micros(10);
    saturate(
        &mut limiter,
        &mut now,
        Duration::from_secs(1),
        Outcome::Uninformative,
        fast,
    );
    assert_eq!((limiter.limit(), limiter.baseline()), (SLOTS, None));
}

#[test]
fn cold_start_grows_limit_up_to_slots() {
    let mut now = Instant::now();
    let mut limiter = open(now);
    limiter.cold_start(now);
    assert_eq!(limiter.limit(), SLOTS / 10);
    saturate(
        &mut limiter,
        &mut now,
        Duration::from_secs(3),
        Outcome::Answered,
        workers(SLOTS),
    );
    assert_eq!(limiter.limit(), SLOTS);
    limiter.set_slots(7);
    assert_eq!(limiter.limit(), 7);
    limiter.set_slots(0);
    assert_eq!(limiter.limit(), 1);
}
