//! The requests that a cold backend server gets while a crowd asks.

use std::time::{Duration, Instant};

use nutmegwheel_limits::cold_start::{ColdLimit, ColdStart, Reason};
use proptest::prelude::*;

const RATE: f64 = 7.2;
const BOUND: usize = 18;
const COLD: Duration = Duration::from_secs(3);
const HEARTBEAT: Duration = Duration::from_millis(1500);
const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(5);

/// The times and the remaining times of heartbeats, in ms.
type Heartbeats = &'static [(u64, u64)];

fn limit() -> ColdLimit {
    ColdLimit::new(RATE, COLD, 1.5, 8.0)
}

fn cold(now: Instant) -> ColdStart {
    let mut cold_start = ColdStart::default();
    cold_start.record_heartbeat(now, COLD);
    cold_start
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Offers a request at each step and returns the starts.
fn crowd(cold_start: &mut ColdStart, from: Instant, time: Duration) -> Vec<Instant> {
    let mut starts = Vec::new();
    let mut now = from;
    while now < from + time {
        if cold_start.try_start(now, &limit()).is_ok() {
            starts.push(now);
        }
        now += STEP;
    }
    starts
}

fn most_in_second(arrivals: &[Instant]) -> usize {
    let count = |from: &Instant| {
        let within = |at: &&Instant| **at >= *from && **at <= *from + SECOND;
        arrivals.iter().filter(within).count()
    };
    arrivals.iter().map(count).max().unwrap_or(0)
}

#[test]
fn cold_server_serves_its_rate() {
    let now = Instant::now();
    let starts = crowd(&mut cold(now), now, COLD);
    assert!((20..=27).contains(&starts.len()), "{} starts", starts.len());
}

#[test]
fn warm_server_gets_all_requests() {
    let now = Instant::now();
    let mut cold_start = ColdStart::default();
    cold_start.record_heartbeat(now, Duration::ZERO);
    assert_eq!(crowd(&mut cold_start, now, SECOND).len(), 200);
    assert_eq!(limit().slots(36, Some(millis(420))), 5);
}

// Guards against FAILBACK after a restart of the node, which has forgotten what it sent.
#[test]
fn bound_holds_over_restart_of_node() {
    let now = Instant::now();
    for at in (3000..6000).step_by(50) {
        // The bucket of the first process is full when the crowd comes.
        let mut first = cold(now);
        first.record_heartbeat(now, millis(60_000));
        let mut arrivals = crowd(&mut first, now + COLD, SECOND);
        let restart = now + millis(at);
        arrivals.retain(|at| *at < restart);
        arrivals.extend(crowd(&mut cold(restart), restart, SECOND));
        assert!(most_in_second(&arrivals) <= BOUND, "restart after {at} ms");
    }
}

// Guards against FAILBACK after a stall of the process: requests that were let through before it
// arrive together with those after it.
#[test]
fn bound_holds_over_stall() {
    let now = Instant::now();
    let mut cold_start = cold(now);
    cold_start.record_heartbeat(now, millis(60_000));
    let full_at = now + millis(5000);
    let end = full_at + millis(4000);
    let late = crowd(&mut cold_start, full_at, millis(20)).len();
    let mut arrivals = vec![end; late];
    arrivals.extend(crowd(&mut cold_start, end, SECOND));
    assert!(most_in_second(&arrivals) <= BOUND);
}

#[test]
fn late_heartbeat_does_not_end_cold_start_early() {
    let sent = Instant::now();
    let mut cold_start = ColdStart::default();
    cold_start.record_heartbeat(sent + millis(800), COLD);
    let reason = |cold_start: &ColdStart, at| cold_start.reason(sent + millis(at), &limit());
    assert_eq!(reason(&cold_start, 3799), Some(Reason::Reported));
    // No heartbeat follows.
    assert_eq!(reason(&cold_start, 3900), Some(Reason::Silent));
    cold_start.record_heartbeat(sent + millis(4000), Duration::ZERO);
    assert_eq!(reason(&cold_start, 4000), None);
    cold_start.record_heartbeat(sent + millis(5500), millis(2000));
    assert_eq!(reason(&cold_start, 7400), Some(Reason::Reported));
}

#[test]
fn expected_cold_start_ends_with_second_denial() {
    let now = Instant::now();
    let table: &[(Heartbeats, u64, Option<Reason>)] = &[
        (&[], 1000, Some(Reason::Expected)),
        (&[(100, 0)], 1000, Some(Reason::Expected)),
        (&[(100, 0), (300, 0)], 1000, Some(Reason::Expected)),
        (&[(100, 0), (300, 0), (700, 0)], 1000, None),
        (&[(100, 0), (1600, 0)], 1600, None),
        (&[(100, 900)], 999, Some(Reason::Reported)),
        (&[(100, 900)], 1000, None),
        (&[(2500, 0)], 3000, None),
        (&[], 3000, Some(Reason::Silent)),
    ];
    for (heartbeats, at, expected) in table {
        let mut cold_start = ColdStart::default();
        cold_start.record_heartbeat(now, Duration::ZERO);
        cold_start.expect_cold(now);
        for (at, remaining) in *heartbeats {
            cold_start.record_heartbeat(now + millis(*at), millis(*remaining));
        }
        let reason = cold_start.reason(now + millis(*at), &limit());
        assert_eq!(reason, *expected, "{heartbeats:?} at {at}");
    }
}

#[test]
fn new_instance_owes_nothing() {
    let now = Instant::now();
    let mut cold_start = ColdStart::default();
    crowd(&mut cold_start, now, SECOND);
    cold_start.reset();
    cold_start.record_heartbeat(now + SECOND, COLD);
    let starts = crowd(&mut cold_start, now + SECOND, SECOND);
    assert!(starts.len() >= 6, "{} starts", starts.len());
}

proptest! {
    // Guards against FAILBACK with any order of heartbeats, pauses and delays on the way: no second
    // that ends with a start at a cold server has more arrivals than the bound.
    #[test]
    fn any_second_is_bounded(
        rate in 0.1..200.0_f64,
        overage in 1.0..3.0_f64,
        slack in 0.0..40.0_f64,
        events in prop::collection::vec((0_u64..900, 0_u64..4, 0_u64..250), 1..400),
    ) {
        let limit = ColdLimit::new(rate, COLD, overage, slack);
        let bound = (rate * overage + slack).max(1.0);
        let mut now = Instant::now();
        let mut cold_start = cold(now);
        let mut arrivals: Vec<Instant> = Vec::new();
        for (pause, kind, delay) in events {
            now += millis(if pause < 700 { pause % 7 } else { pause });
            match kind {
                0 if pause % 11 == 0 => cold_start.record_heartbeat(now, millis(pause)),
                0 if pause % 13 == 0 => cold_start.expect_cold(now),
                _ => {
                    let is_cold = cold_start.reason(now, &limit).is_some();
                    if cold_start.try_start(now, &limit).is_err() {
                        continue;
                    }
                    arrivals.push(now + millis(delay));
                    if is_cold {
                        let arrival = now + millis(delay);
                        let within = |at: &&Instant| **at + SECOND >= arrival;
                        let count = arrivals.iter().filter(within).count();
                        #[allow(clippy::cast_precision_loss, reason = "the counts are small")]
                        let is_within = count as f64 <= bound;
                        prop_assert!(is_within, "{count} of {bound}");
                    }
                }
            }
        }
    }

    #[test]
    fn wait_is_enough(pauses in prop::collection::vec(0_u64..400, 1..60)) {
        let mut now = Instant::now();
        let mut cold_start = cold(now);
        cold_start.record_heartbeat(now, millis(600_000));
        for pause in pauses {
            now += millis(pause);
            if let Err(wait) = cold_start.try_start(now, &limit()) {
                prop_assert!(wait <= SECOND * 2);
                now += wait;
                prop_assert!(cold_start.try_start(now, &limit()).is_ok());
            }
        }
    }
}

#[test]
fn becomes_cold_again_under_load() {
    let now = Instant::now();
    let mut cold_start = ColdStart::default();
    cold_start.record_heartbeat(now, Duration::ZERO);
    crowd(&mut cold_start, now, HEARTBEAT);
    let cold_at = now + HEARTBEAT;
    cold_start.record_heartbeat(cold_at, COLD);
    let starts = crowd(&mut cold_start, cold_at, COLD);
    assert!(
        starts.iter().all(|at| *at >= cold_at + SECOND),
        "{starts:?}"
    );
    assert!(most_in_second(&starts) <= BOUND);
}
