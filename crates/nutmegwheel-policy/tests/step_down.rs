//! A step down of the concurrency limit leaves at least three quarters of it.

use std::time::{Duration, Instant};

use nutmegwheel_policy::concurrency::{Gradient, Limiter, Options, Outcome, Sample};

/// The usual service time of the backend server.
const SERVICE_TIME: Duration = Duration::from_millis(16);
/// The samples of a phase, enough for several windows.
const SAMPLES: u32 = 64;

fn observe(limiter: &mut Gradient, now: &mut Instant, latency: Duration) -> u32 {
    let mut least = limiter.limit();
    for _ in 0..SAMPLES {
        *now += latency / limiter.limit();
        let sample = Sample {
            latency,
            running: limiter.limit(),
            outcome: Outcome::Answered,
        };
        limiter.observe(*now, sample);
        least = least.min(limiter.limit());
    }
    least
}

#[test]
fn step_down_keeps_three_quarters_of_limit() {
    for (slots, least_allowed) in [(2, 2), (3, 3), (4, 3), (8, 6)] {
        let mut now = Instant::now();
        let options = Options {
            // Baseline probes step down several times in a row by design, so they are disabled.
            probe_interval: Duration::from_hours(1),
            ..Options::default()
        };
        let mut limiter = Gradient::open(now, slots, options);
        observe(&mut limiter, &mut now, SERVICE_TIME);
        let least = observe(&mut limiter, &mut now, SERVICE_TIME * 4);
        assert!(least >= least_allowed, "{slots} slots: down to {least}");
    }
}
