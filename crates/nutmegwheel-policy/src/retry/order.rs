use std::collections::BTreeMap;

use nutmegwheel_types::Priority;

/// The number of intervals for which a root counts after it wanted a retry, which is about as long
/// as a chain of calls takes.
const MEMORY_INTERVALS: u64 = 4;
/// The part of the unused ratio that may be spent in [`MEMORY_INTERVALS`], so that an overload is
/// not left without retries by its first second.
const QUOTA_DIVISOR: u64 = 3;
/// The number of retries wanted in [`MEMORY_INTERVALS`] up to which they are not put in order, so
/// that the requests of a backend server that crashed can all be repeated at once.
const MIN_ORDERED: u64 = 32;
/// The maximum number of roots that are remembered.
const MAX_ROOTS: usize = 4096;

/// Chooses which retries are made while more are wanted than the ratio allows.
///
/// A request is whole only if each call of its chain succeeds. Retries that go to whoever asks
/// first are spread over all roots, and few of these become whole. So new roots are admitted in the
/// order of their [`Priority`], whose hash is the same on every node, and one that was admitted
/// keeps its turn: what it has spent would be lost otherwise.
#[derive(Debug, Default)]
pub(crate) struct RetryOrder {
    interval: u64,
    roots: BTreeMap<Priority, Root>,
    admitted_in_interval: u64,
    quota: u64,
    /// The least important root that is admitted, or `None` if all are.
    threshold: Option<Priority>,
}

#[derive(Debug)]
struct Root {
    wanted: u64,
    is_admitted: bool,
    last_interval: u64,
}

impl RetryOrder {
    /// Records that a root wants a retry, and returns whether it is its turn. `unused` is the
    /// number of retries that the ratio allows beyond those made.
    pub(crate) fn admits(&mut self, interval: u64, unused: u64, priority: Priority) -> bool {
        if interval != self.interval {
            self.advance(interval, unused);
        }
        if self.roots.len() >= MAX_ROOTS && !self.roots.contains_key(&priority) {
            return self.threshold.is_none_or(|threshold| priority <= threshold);
        }
        let root = self.roots.entry(priority).or_insert(Root {
            wanted: 0,
            is_admitted: false,
            last_interval: interval,
        });
        root.wanted += 1;
        root.last_interval = interval;
        if !root.is_admitted {
            root.is_admitted = match self.threshold {
                Some(threshold) => priority <= threshold,
                None => self.admitted_in_interval < self.quota.max(MIN_ORDERED),
            };
        }
        self.admitted_in_interval += u64::from(root.is_admitted);
        root.is_admitted
    }

    /// The least important root that is admitted, or `None` if all are.
    pub(crate) fn threshold(&self) -> Option<Priority> {
        self.threshold
    }

    fn advance(&mut self, interval: u64, unused: u64) {
        self.interval = interval;
        self.admitted_in_interval = 0;
        self.roots
            .retain(|_, root| root.last_interval + MEMORY_INTERVALS >= interval);
        let quota = unused / QUOTA_DIVISOR;
        self.threshold = self.threshold_for(quota);
        self.quota = quota / MEMORY_INTERVALS;
    }

    /// The threshold at which the remembered roots would keep to the quota.
    fn threshold_for(&self, quota: u64) -> Option<Priority> {
        let total: u64 = self.roots.values().map(|root| root.wanted).sum();
        if total <= quota.max(MIN_ORDERED) {
            return None;
        }
        let mean = self.mean_of_admitted();
        let mut cost = 0;
        let mut threshold = None;
        for (priority, root) in &self.roots {
            // A root that was turned away stopped at its first retry, but would have wanted more.
            cost += if root.is_admitted {
                root.wanted
            } else {
                root.wanted.max(mean)
            };
            if cost > quota && threshold.is_some() {
                break;
            }
            threshold = Some(*priority);
        }
        threshold
    }

    /// The mean number of retries that an admitted root wanted, rounded up.
    fn mean_of_admitted(&self) -> u64 {
        let admitted = self.roots.values().filter(|root| root.is_admitted);
        let (roots, retries) = admitted.fold((0, 0), |(roots, retries), root| {
            (roots + 1, retries + root.wanted)
        });
        u64::div_ceil(retries, u64::max(roots, 1))
    }
}
