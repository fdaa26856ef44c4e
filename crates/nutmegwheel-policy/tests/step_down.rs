//! A step down of the concurrency limit leaves at least three quarters of it, also of a small limit,
//! which rounding down would halve.

use std::time::{Duration, Instant};

use nutmegwheel_policy::concurrency::{Gradient, Limiter, Options, Outcome, Sample};

/// The usual service time of the backend server.
const SERVICE_TIME: Duration = Duration::from_millis(16);
/// The samples of a phase, enough for several windows.
const SAMPLES: u32 = 64;

fn observe(limiter: &mut Gradient, now: &mut Instant, latency: Duration) -> u32 {
    let mut min_limit = limiter.limit();
    for _ in 0..SAMPLES {
        *now += latency / limiter.limit();
        let sample = Sample {
            latency,
            running: limiter.limit(),
            outcome: Outcome::Answered,
        };
        limiter.observe(*now, sample);
        min_limit = min_limit.min(limiter.limit());
    }
    min_limit
}

#[test]
fn step_down_keeps_three_quarters_of_limit() {
    for (slots, min_allowed) in [(2, 2), (3, 3), (4, 3), (8, 6)] {
        let mut now = Instant::now();
        let options = Options {
            // Baseline probes step down several times in a row by design, so they are disabled.
            probe_interval: Duration::from_hours(1),
            ..Options::default()
        };
        let mut limiter = Gradient::open(now, slots, options);
        observe(&mut limiter, &mut now, SERVICE_TIME);
        let min_limit = observe(&mut limiter, &mut now, SERVICE_TIME * 4);
        assert!(
            min_limit >= min_allowed,
            "{slots} slots: down to {min_limit}"
        );
    }
}
