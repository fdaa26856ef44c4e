//! Load: many callers at once whose requests stop short of their end, while ordinary ones arrive.

use std::time::{Duration, Instant};

use nutmegwheel_policy::senders::{
    Asker, MAX_PAUSE, MAX_WAIT, MIN_RATE, Progress, SMALL_BYTES, Sender, choose,
};

const LARGE: usize = 10 * SMALL_BYTES;
const SMALL_ASKER: Asker = Asker {
    held: 0,
    paused: Duration::ZERO,
};

fn sender(key: u32, held: usize, age_ms: u64, rate: impl Into<Option<u64>>) -> Sender<u32> {
    Sender {
        key,
        held,
        age: Duration::from_millis(age_ms),
        rate: rate.into(),
        is_paused: false,
    }
}

fn large_asker(paused: Duration) -> Asker {
    Asker {
        held: LARGE,
        paused,
    }
}

#[test]
fn largest_slow_body_gives_way_first() {
    let senders = [
        sender(1, LARGE, 5000, 0),
        sender(2, LARGE + 1, 5000, MIN_RATE - 1),
        sender(3, 2 * LARGE, 5000, MIN_RATE),
        sender(4, SMALL_BYTES, 9000, 0),
    ];
    assert_eq!(choose(large_asker(Duration::ZERO), &senders), [2]);
    assert_eq!(choose(SMALL_ASKER, &senders), [2]);
}

#[test]
fn body_that_cannot_be_read_is_not_slow() {
    let mut paused = sender(1, LARGE, 5000, 0);
    paused.is_paused = true;
    assert!(choose(large_asker(Duration::ZERO), &[paused]).is_empty());
}

#[test]
fn large_body_waits_before_newest_gives_way_to_it() {
    let senders = [sender(1, LARGE, 2000, 1 << 20), sender(2, LARGE, 10, None)];
    let just_before = MAX_PAUSE.saturating_sub(Duration::from_millis(1));
    assert!(choose(large_asker(just_before), &senders).is_empty());
    assert_eq!(choose(large_asker(MAX_PAUSE), &senders), [2]);
    assert!(large_asker(MAX_WAIT).must_be_evicted() && !large_asker(MAX_PAUSE).must_be_evicted());
}

#[test]
fn small_requests_are_evicted_only_when_slow() {
    let arriving = [
        sender(1, SMALL_BYTES, 10, None),
        sender(2, 0, 900, MIN_RATE),
    ];
    assert!(choose(SMALL_ASKER, &arriving).is_empty());
    let slow = [sender(1, 9, 3000, 0), sender(2, 1, 9000, 0), arriving[0]];
    assert_eq!(choose(SMALL_ASKER, &slow), [2]);
}

#[test]
fn part_of_many_candidates_gives_way() {
    let senders: Vec<_> = (0..64).map(|n| sender(n, LARGE, u64::from(n), 0)).collect();
    assert_eq!(choose(SMALL_ASKER, &senders).len(), 2);
}

#[test]
fn progress_is_measured_over_whole_windows() {
    let (start, window) = (Instant::now(), Duration::from_secs(2));
    let at = |ms| start + Duration::from_millis(ms);
    let mut progress = Progress::open(start, window);
    progress.record(at(100), 4000);
    assert_eq!(
        (progress.rate(at(1999)), progress.rate(at(2000))),
        (None, Some(2000))
    );
    assert_eq!(progress.deadline(at(100)), at(2000));
    assert_eq!(progress.deadline(at(2000)), at(4000));
    assert!(!progress.is_slow(at(3999)) && progress.is_slow(at(4000)));
    progress.record(at(2500), 1);
    assert_eq!(progress.rate(at(2600)), Some(1600));
    progress.record(at(4500), 1);
    assert!(progress.is_slow(at(4600)));
    progress.restart(at(4700));
    assert_eq!(progress.rate(at(4800)), None);
}
