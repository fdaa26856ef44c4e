//! After a cold start the limit grows as soon as there is one sample per slot.

use std::time::{Duration, Instant};

use nutmegwheel_policy::concurrency::{Gradient, Limiter, Options, Outcome, Sample};

/// The service time of the backend server.
const SERVICE_TIME: Duration = Duration::from_millis(80);

/// Keeps the limit saturated and returns the time until it reaches `wanted`.
fn time_to(limiter: &mut Gradient, mut now: Instant, wanted: u32) -> Duration {
    let began = now;
    while limiter.limit() < wanted {
        assert!(
            now - began < Duration::from_secs(10),
            "limit {}",
            limiter.limit()
        );
        now += SERVICE_TIME;
        let running = limiter.limit();
        for _ in 0..running {
            limiter.observe(
                now,
                Sample {
                    latency: SERVICE_TIME,
                    running,
                    outcome: Outcome::Answered,
                },
            );
        }
    }
    now - began
}

#[test]
fn slow_start_doubles_limit_per_round() {
    let now = Instant::now();
    for slots in [6, 17, 64] {
        let mut limiter = Gradient::open(now, slots, Options::default());
        limiter.cold_start(now);
        let first = limiter.limit();
        let doublings = slots.div_ceil(first).next_power_of_two().ilog2();
        let time = time_to(&mut limiter, now, slots);
        assert!(
            time <= SERVICE_TIME * (doublings + 1),
            "{slots} slots: {time:?} for {doublings} doublings"
        );
    }
}

#[test]
fn refusal_prevents_early_growth() {
    let now = Instant::now();
    let mut limiter = Gradient::open(now, 6, Options::default());
    limiter.cold_start(now);
    let before = limiter.limit();
    for outcome in [Outcome::Refused, Outcome::Answered] {
        limiter.observe(
            now + SERVICE_TIME,
            Sample {
                latency: SERVICE_TIME,
                running: before,
                outcome,
            },
        );
    }
    assert_eq!(limiter.limit(), before);
}
