//! A threefold surge with callers that retry, against the queue and against plain FIFO.

mod sim;

use std::time::{Duration, Instant};

use nutmegwheel_policy::concurrency::{self, Fixed, Gradient};
use sim::{Front, RANKS, Report, Scenario, run};

/// Announced by the backend server, which really works on 20 at a time.
const ANNOUNCED_SLOTS: u32 = 55;
/// The seconds of the surge that are left out while the levels settle.
const SETTLING: usize = 1;

fn queue(start: Instant) -> Front {
    let limiter = Gradient::open(start, ANNOUNCED_SLOTS, concurrency::Options::default());
    Front::admission(start, Box::new(limiter))
}

fn fixed_queue(start: Instant) -> Front {
    Front::admission(start, Box::new(Fixed::open(ANNOUNCED_SLOTS)))
}

fn fifo(_start: Instant) -> Front {
    Front::fifo(ANNOUNCED_SLOTS)
}

fn seconds(from: Duration, to: Duration) -> std::ops::Range<usize> {
    usize::try_from(from.as_secs()).unwrap()..usize::try_from(to.as_secs()).unwrap()
}

/// Requests finished in time during the surge, in parts of the capacity.
fn goodput(scenario: &Scenario, report: &Report) -> f64 {
    let surge = seconds(scenario.surge_from, scenario.surge_to);
    let surge = surge.start + SETTLING..surge.end;
    let length = u32::try_from(surge.len()).unwrap();
    let in_time: u32 = report[surge]
        .iter()
        .map(|second| second.in_time.iter().sum::<u32>())
        .sum();
    f64::from(in_time) / (scenario.capacity() * f64::from(length))
}

/// The seconds after the surge until 95 % of the first tries finish again in every second.
fn recovery(scenario: &Scenario, report: &Report) -> usize {
    let rest = seconds(scenario.surge_to, scenario.end);
    let bad = report[rest].iter().rposition(|second| {
        let first_tries: u32 = second.first_tries.iter().sum();
        let in_time: u32 = second.in_time.iter().sum();
        in_time * 100 < first_tries * 95
    });
    bad.map_or(0, |last| last + 1)
}

fn sums(report: &Report) -> ([u32; RANKS], [u32; RANKS]) {
    let mut refused = [0; RANKS];
    let mut lost = [0; RANKS];
    for second in report {
        for rank in 0..RANKS {
            refused[rank] += second.refused[rank];
            lost[rank] += second.lost[rank];
        }
    }
    (refused, lost)
}

fn print(name: &str, scenario: &Scenario, report: &Report) {
    let (refused, lost) = sums(report);
    println!(
        "{name}: goodput {:.3} of capacity, recovery {} s, refused {refused:?}, lost {lost:?}",
        goodput(scenario, report),
        recovery(scenario, report)
    );
}

#[test]
fn threefold_surge_keeps_goodput_and_recovers() {
    for heeds in [true, false] {
        for seed in 1..=5 {
            let scenario = Scenario {
                seed,
                heeds,
                ..Scenario::default()
            };
            let report = run(scenario.clone(), queue);
            print(
                &format!("queue seed {seed} heeds {heeds}"),
                &scenario,
                &report,
            );
            let (refused, lost) = sums(&report);
            assert!(goodput(&scenario, &report) >= 0.9, "seed {seed}");
            assert!(recovery(&scenario, &report) <= 5, "seed {seed}");
            assert_eq!((refused[0], lost[0]), (0, 0), "seed {seed}");
        }
    }
}

#[test]
fn plain_fifo_collapses_in_the_same_surge() {
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
