//! Metrics computed from the records of the callers and the ledger of the backend servers.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use nutmegwheel_support::Run;

use crate::load::Record;

/// The length of the windows by which recovery is detected.
const WINDOW: Duration = Duration::from_millis(250);
/// The number of consecutive good windows that count as recovery.
const GOOD_WINDOWS: usize = 4;
/// The minimum fraction of requests answered in time in a good window.
const GOOD_FRACTION: f64 = 0.95;

/// Returns the fraction of requests that were answered in time; 1 if there are no requests.
pub(crate) fn fraction_in_time<'a>(records: impl IntoIterator<Item = &'a Record>) -> f64 {
    let (mut all, mut in_time) = (0_u32, 0_u32);
    for record in records {
        all += 1;
        in_time += u32::from(record.latency.is_some());
    }
    if all == 0 {
        1.0
    } else {
        f64::from(in_time) / f64::from(all)
    }
}

/// Returns the number of requests that were answered in time.
pub(crate) fn count_in_time<'a>(records: impl IntoIterator<Item = &'a Record>) -> usize {
    let records = records.into_iter();
    records.filter(|record| record.latency.is_some()).count()
}

/// Returns the time from the end of the trigger to the first of [`GOOD_WINDOWS`] consecutive good
/// windows, or `None` if there are none.
pub(crate) fn recovery(records: &[Record], trigger_end: Instant, end: Instant) -> Option<Duration> {
    let window = |number: u32| {
        let from = trigger_end + WINDOW * number;
        let to = from + WINDOW;
        let inside = |record: &&Record| record.intended_start >= from && record.intended_start < to;
        fraction_in_time(records.iter().filter(inside))
    };
    let count = (end - trigger_end).as_millis() / WINDOW.as_millis();
    let good: Vec<bool> = (0..u32::try_from(count).unwrap_or(0))
        .map(|number| window(number) >= GOOD_FRACTION)
        .collect();
    let first = good
        .windows(GOOD_WINDOWS)
        .position(|windows| windows.iter().all(|good| *good))?;
    u32::try_from(first).ok().map(|first| WINDOW * first)
}

/// Returns the fraction of slot time that was spent on requests not answered in time.
pub(crate) fn wasted_fraction(runs: &[Run], records: &[Record]) -> f64 {
    let roots = records.iter().filter_map(|record| record.root.as_deref());
    let good: HashSet<&str> = roots.collect();
    let (mut all, mut wasted) = (Duration::ZERO, Duration::ZERO);
    for run in runs {
        all += run.processing_time;
        if !good.contains(run.root.as_str()) {
            wasted += run.processing_time;
        }
    }
    if all.is_zero() {
        0.0
    } else {
        wasted.as_secs_f64() / all.as_secs_f64()
    }
}

/// Returns the maximum number of retries that one root request caused at one service of its chain.
pub(crate) fn max_retries(runs: &[Run]) -> usize {
    let mut counts: HashMap<(&str, &str), usize> = HashMap::new();
    for run in runs {
        *counts.entry((&run.root, &run.path)).or_default() += 1;
    }
    counts.values().max().map_or(0, |max| max - 1)
}
