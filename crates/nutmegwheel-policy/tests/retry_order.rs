//! Retries while a service at the end of all chains rejects requests at random.
//!
//! The pattern: backend servers that reject 55 % of what arrives, whatever their load, and roots
//! that are whole only if each of four or eight calls, one after the other, succeeds. More retries
//! are wanted than the ratio allows. The failure to guard against is that they are spread over all
//! roots, so that hardly any root becomes whole.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use nutmegwheel_policy::retry::{RatioOptions, RetryRatios};
use nutmegwheel_types::Priority;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// The nodes that make the calls, each with its own view of the ratio.
const NODES: usize = 11;
const REJECTED: f64 = 0.55;
const CALL_TIME: Duration = Duration::from_millis(50);
/// The time within which all calls of a root must succeed.
const ROOT_TIME: Duration = Duration::from_millis(1200);
const TICK: Duration = Duration::from_millis(10);
/// The time for which the service rejects, after as long without rejections.
const OVERLOAD: Duration = Duration::from_secs(8);
const CALM: Duration = Duration::from_secs(10);

/// The rank, number of calls and rate of the roots of each kind.
const KINDS: [(u8, u32, f64); 2] = [(16, 8, 340.0), (18, 4, 900.0)];

struct Root {
    node: usize,
    kind: usize,
    priority: Priority,
    calls_left: u32,
    next_call: Instant,
    deadline: Instant,
}

#[derive(Debug, Default)]
struct Stats {
    /// Roots that ended while the service rejected, by kind.
    whole: [u32; 2],
    failed: [u32; 2],
    /// The important roots that became whole in the second half of that time.
    whole_later: u32,
    retries: u32,
}

impl Stats {
    fn whole_share(&self, kind: usize) -> f64 {
        let whole = f64::from(self.whole[kind]);
        whole / (whole + f64::from(self.failed[kind]))
    }
}

/// Plays the pattern and returns what became of the roots that began while the service rejected.
fn run(options: &RatioOptions, seed: u64) -> Stats {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut ratios: Vec<RetryRatios> = (0..NODES)
        .map(|_| RetryRatios::open(start, options.clone()))
        .collect();
    for ratios in &mut ratios {
        ratios.set_nodes(u32::try_from(NODES).unwrap());
    }
    let mut stats = Stats::default();
    let mut roots: HashMap<u64, Root> = HashMap::new();
    let mut next_id = 0;
    let mut now = start;
    while now < start + CALM + OVERLOAD {
        let is_overload = now >= start + CALM;
        for (kind, (rank, calls, rate)) in KINDS.iter().enumerate() {
            let mut arrivals = rate * TICK.as_secs_f64();
            while rng.random_bool(arrivals.clamp(0.0, 1.0)) {
                arrivals -= 1.0;
                let priority = Priority {
                    rank: *rank,
                    over_share: 0,
                    root_hash: rng.random(),
                };
                next_id += 1;
                let root = Root {
                    node: rng.random_range(0..NODES),
                    kind,
                    priority,
                    calls_left: *calls,
                    next_call: now,
                    deadline: now + ROOT_TIME,
                };
                roots.insert(next_id, root);
            }
        }
        roots.retain(|_, root| {
            if root.next_call > now {
                return true;
            }
            if now > root.deadline {
                stats.failed[root.kind] += u32::from(is_overload);
                return false;
            }
            if root.calls_left == 0 {
                let is_later = now >= start + CALM + OVERLOAD / 2;
                stats.whole[root.kind] += u32::from(is_overload);
                stats.whole_later += u32::from(is_later && root.kind == 0);
                return false;
            }
            let ratios = &mut ratios[root.node];
            ratios.record_first_attempt(now, None);
            while is_overload && rng.random_bool(REJECTED) {
                if !ratios.admits(now, None, root.priority) || !ratios.try_acquire(now, None) {
                    stats.failed[root.kind] += 1;
                    return false;
                }
                stats.retries += 1;
            }
            root.calls_left -= 1;
            root.next_call = now + CALL_TIME;
            true
        });
        now += TICK;
    }
    stats
}

#[test]
fn whole_roots_while_service_rejects_at_random() {
    let base = RatioOptions {
        percent: 12,
        base_retries: 36,
        min_base_retries_per_node: 0,
        ..RatioOptions::default()
    };
    for seed in 0..3 {
        let unordered = run(&base, seed);
        let options = RatioOptions {
            counts_earlier_windows: true,
            is_ordered: true,
            ..base.clone()
        };
        let ordered = run(&options, seed);
        println!("seed {seed}: unordered {unordered:?}\nseed {seed}: ordered {ordered:?}");
        let shares = |stats: &Stats| [stats.whole_share(0), stats.whole_share(1)];
        assert!(
            shares(&ordered)[0] > shares(&ordered)[1],
            "important roots come first"
        );
        assert!(shares(&ordered)[0] > shares(&unordered)[0]);
        assert!(
            ordered.whole_later >= 3 * unordered.whole_later,
            "the first second leaves retries for the others"
        );
    }
}

#[test]
fn all_retries_are_made_while_few_are_wanted() {
    let now = Instant::now();
    let options = RatioOptions {
        is_ordered: true,
        base_retries: 100,
        ..RatioOptions::default()
    };
    let mut ratios = RetryRatios::open(now, options);
    let least_important = Priority {
        rank: u8::MAX,
        over_share: u8::MAX,
        root_hash: u16::MAX,
    };
    for step in 0..100 {
        let now = now + Duration::from_millis(50) * step;
        assert!(ratios.admits(now, None, least_important), "retry {step}");
        assert!(ratios.try_acquire(now, None), "retry {step}");
    }
}

#[test]
fn calls_of_repeated_requests_count_as_retries() {
    let now = Instant::now();
    let options = RatioOptions {
        base_retries: 2,
        min_base_retries_per_node: 0,
        ..RatioOptions::default()
    };
    let mut ratios = RetryRatios::open(now, options);
    ratios.record_repeated_call(now, None);
    assert!(ratios.try_acquire(now, None));
    assert!(!ratios.try_acquire(now, None), "two retries are allowed");
}
