use std::{
    collections::BTreeMap,
    ops::Bound::{Excluded, Unbounded},
    time::{Duration, Instant},
};

use nutmegwheel_types::{ClassRank, Priority, plain_copy};

use super::Options;

/// The low bits of the root hash that a bucket ignores, which leaves 16 buckets per class.
const HASH_SHIFT: u32 = 12;
/// The maximum number of buckets.
const MAX_BUCKETS: usize = 4096;
/// The time after which a bucket without arrivals is removed.
const BUCKET_LIFETIME: Duration = Duration::from_secs(10);
/// The number of completions that a window waits for, up to its maximum duration.
const MIN_COMPLETIONS: u32 = 16;
/// The maximum duration of a window, as a multiple of [`Options::level_window`].
const MAX_WINDOW_FACTOR: u32 = 5;
/// The arrivals to admit, in percent of the completions. The surplus keeps the queue from running
/// empty.
const ADMITTED_PERCENT: u64 = 110;
/// The number of buckets that are admitted again after a window in which the queue drained.
const RELAX_BUCKETS: usize = 2;

plain_copy! {
    /// A group of requests that are shed together.
    struct Bucket {
        class: ClassRank,
        over_share: u8,
        hash: u16,
    }
}

impl Bucket {
    fn of(priority: Priority) -> Self {
        Self {
            class: priority.rank,
            over_share: priority.over_share,
            hash: priority.root_hash >> HASH_SHIFT,
        }
    }

    fn lowest_priority(self) -> Priority {
        let hash_mask = (1_u16 << HASH_SHIFT) - 1;
        Priority {
            rank: self.class,
            over_share: self.over_share,
            root_hash: (self.hash << HASH_SHIFT) | hash_mask,
        }
    }
}

#[derive(Debug)]
struct ArrivalCount {
    arrivals: u32,
    last_arrival: Instant,
}

/// Adjusts the shed level: lowers it at once to the throughput of the backend server and raises it
/// in steps.
///
/// The level is lowered only if the queue never drained in a window and requests were refused. It
/// is raised only if the queue drained. Otherwise it stays, which provides hysteresis.
#[derive(Debug)]
pub(crate) struct LevelController {
    window: Duration,
    clear_after: Duration,
    buckets: BTreeMap<Bucket, ArrivalCount>,
    level: Option<Bucket>,
    window_started: Instant,
    drained_since: Option<Instant>,
    completions: u32,
    refusals: u32,
    min_waiting: usize,
}

impl LevelController {
    pub(crate) fn new(now: Instant, options: &Options) -> Self {
        Self {
            window: options.level_window,
            clear_after: options.clear_level_after,
            buckets: BTreeMap::new(),
            level: None,
            window_started: now,
            drained_since: Some(now),
            completions: 0,
            refusals: 0,
            min_waiting: 0,
        }
    }

    /// Counts an arrival by the priority of its root request.
    ///
    /// Nested calls are counted in this way as well, although the queue sheds them last within
    /// their class. The level is enforced at the ingress nodes, where it sheds root requests by
    /// this priority.
    pub(crate) fn count_arrival(&mut self, now: Instant, priority: Priority) {
        let bucket = Bucket::of(priority);
        if let Some(count) = self.buckets.get_mut(&bucket) {
            count.arrivals = count.arrivals.saturating_add(1);
            count.last_arrival = now;
        } else if self.buckets.len() < MAX_BUCKETS {
            self.buckets.insert(
                bucket,
                ArrivalCount {
                    arrivals: 1,
                    last_arrival: now,
                },
            );
        }
    }

    pub(crate) fn count_completion(&mut self) {
        self.completions = self.completions.saturating_add(1);
    }

    /// Counts a request that was refused for lack of capacity.
    pub(crate) fn count_refusal(&mut self) {
        self.refusals = self.refusals.saturating_add(1);
    }

    pub(crate) fn observe_waiting(&mut self, waiting: usize) {
        self.min_waiting = self.min_waiting.min(waiting);
    }

    /// Ends the window if it is due and adjusts the level.
    pub(crate) fn end_window_if_due(&mut self, now: Instant, waiting: usize) {
        let elapsed = now.saturating_duration_since(self.window_started);
        let is_long = elapsed >= self.window * MAX_WINDOW_FACTOR;
        if elapsed < self.window || (self.completions < MIN_COMPLETIONS && !is_long) {
            return;
        }
        self.decide(now);
        self.start_window(now, waiting);
    }

    fn start_window(&mut self, now: Instant, waiting: usize) {
        self.window_started = now;
        self.completions = 0;
        self.refusals = 0;
        self.min_waiting = waiting;
        self.buckets.retain(|_, count| {
            count.arrivals = 0;
            now.saturating_duration_since(count.last_arrival) < BUCKET_LIFETIME
        });
    }
}

impl LevelController {
    fn decide(&mut self, now: Instant) {
        if self.min_waiting > 0 {
            self.drained_since = None;
            if self.refusals > 0 {
                self.tighten();
            }
            return;
        }
        let drained_since = *self.drained_since.get_or_insert(self.window_started);
        if now.saturating_duration_since(drained_since) >= self.clear_after {
            self.level = None;
        } else {
            self.relax();
        }
    }

    /// Lowers the level so that the arrivals of the window would not exceed [`ADMITTED_PERCENT`] of
    /// its completions. At least one bucket stays admitted.
    fn tighten(&mut self) {
        let capacity = u64::from(self.completions) * ADMITTED_PERCENT / 100;
        let mut arrivals = 0;
        let mut new_level = None;
        for (bucket, count) in &self.buckets {
            arrivals += u64::from(count.arrivals);
            if new_level.is_some() && arrivals > capacity {
                break;
            }
            new_level = Some(*bucket);
        }
        self.level = match (self.level, new_level) {
            (Some(level), Some(new_level)) => Some(level.min(new_level)),
            (level, new_level) => new_level.or(level),
        };
    }

    /// Admits the next buckets with recent arrivals, or all requests if there are none.
    fn relax(&mut self) {
        let Some(level) = self.level else { return };
        let above = (Excluded(level), Unbounded);
        self.level = self
            .buckets
            .range(above)
            .map(|(bucket, _)| *bucket)
            .nth(RELAX_BUCKETS - 1);
    }
}

impl LevelController {
    /// The lowest priority that is still admitted, or `None` when all are.
    pub(crate) fn level(&self) -> Option<Priority> {
        self.level.map(Bucket::lowest_priority)
    }

    /// The time until a priority would be admitted again if the queue stayed drained.
    pub(crate) fn time_to_relax(&self, priority: Priority) -> Duration {
        let Some(level) = self.level else {
            return Duration::ZERO;
        };
        let bucket = Bucket::of(priority);
        if bucket <= level {
            return Duration::ZERO;
        }
        let between = (Excluded(level), Excluded(bucket));
        let steps = self.buckets.range(between).count() / RELAX_BUCKETS + 1;
        let windows = u32::try_from(steps).unwrap_or(u32::MAX);
        self.window.saturating_mul(windows).min(self.clear_after)
    }
}
