//! A threefold load surge with retrying callers, with the admission queue and with a plain FIFO.

mod sim;

use std::time::{Duration, Instant};

use nutmegwheel_policy::concurrency::{self, Fixed, Gradient};
use sim::{QueueModel, RANKS, Report, Scenario, run};

/// The announced slots of the backend server, which can run only 20 requests at full speed.
const ANNOUNCED_SLOTS: u32 = 55;
/// The initial seconds of the surge that are not measured, while the shed level stabilizes.
const WARM_UP_SECONDS: usize = 1;

fn queue(start: Instant) -> QueueModel {
    let limiter = Gradient::open(start, ANNOUNCED_SLOTS, concurrency::Options::default());
    QueueModel::admission(start, Box::new(limiter))
}

fn fixed_queue(start: Instant) -> QueueModel {
    QueueModel::admission(start, Box::new(Fixed::open(ANNOUNCED_SLOTS)))
}

fn fifo(_start: Instant) -> QueueModel {
    QueueModel::fifo(ANNOUNCED_SLOTS)
}

fn seconds(from: Duration, to: Duration) -> std::ops::Range<usize> {
    usize::try_from(from.as_secs()).unwrap()..usize::try_from(to.as_secs()).unwrap()
}

/// The requests finished in time during the surge, as a fraction of the capacity.
fn goodput(scenario: &Scenario, report: &Report) -> f64 {
    let surge = seconds(scenario.surge_from, scenario.surge_to);
    let surge = surge.start + WARM_UP_SECONDS..surge.end;
    let length = u32::try_from(surge.len()).unwrap();
    let in_time: u32 = report[surge]
        .iter()
        .map(|second| second.in_time.iter().sum::<u32>())
        .sum();
    f64::from(in_time) / (scenario.capacity() * f64::from(length))
}

/// The seconds after the surge until 95 % of the first attempts finish in time in every second.
fn recovery(scenario: &Scenario, report: &Report) -> usize {
    let rest = seconds(scenario.surge_to, scenario.end);
    let bad = report[rest].iter().rposition(|second| {
        let first_attempts: u32 = second.first_attempts.iter().sum();
        let in_time: u32 = second.in_time.iter().sum();
        in_time * 100 < first_attempts * 95
    });
    bad.map_or(0, |last| last + 1)
}

fn sums(report: &Report) -> ([u32; RANKS], [u32; RANKS]) {
    let mut refused = [0; RANKS];
    let mut gave_up = [0; RANKS];
    for second in report {
        for rank in 0..RANKS {
            refused[rank] += second.refused[rank];
            gave_up[rank] += second.gave_up[rank];
        }
    }
    (refused, gave_up)
}

fn print(name: &str, scenario: &Scenario, report: &Report) {
    let (refused, gave_up) = sums(report);
    println!(
        "{name}: goodput {:.3} of capacity, recovery {} s, refused {refused:?}, gave up {gave_up:?}",
        goodput(scenario, report),
        recovery(scenario, report)
    );
}

#[test]
fn keeps_goodput_in_surge_and_recovers() {
    for honors_retry_after in [true, false] {
        for seed in 1..=5 {
            let scenario = Scenario {
                seed,
                honors_retry_after,
                ..Scenario::default()
            };
            let report = run(scenario.clone(), queue);
            print(
                &format!("queue seed {seed}, callers honor retry_after: {honors_retry_after}"),
                &scenario,
                &report,
            );
            let (refused, gave_up) = sums(&report);
            assert!(goodput(&scenario, &report) >= 0.9, "seed {seed}");
            assert!(recovery(&scenario, &report) <= 5, "seed {seed}");
            assert_eq!((refused[0], gave_up[0]), (0, 0), "seed {seed}");
        }
    }
}

#[test]
fn fifo_collapses_in_surge() {
    let scenario = Scenario::default();
    let report = run(scenario.clone(), fifo);
    print("fifo", &scenario, &report);
    print(
        "queue, fixed limit",
        &scenario,
        &run(scenario.clone(), fixed_queue),
    );
    assert!(goodput(&scenario, &report) < 0.5);
    assert!(recovery(&scenario, &report) > 5);
}
