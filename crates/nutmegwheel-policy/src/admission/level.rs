use std::{
    collections::BTreeMap,
    ops::Bound::{Excluded, Unbounded},
    time::{Duration, Instant},
};

use nutmegwheel_types::{ClassRank, Priority, plain_copy};

use super::Options;

/// The bits of the root hash that a bucket leaves out, so that each class has 16 buckets.
const HASH_SHIFT: u32 = 12;
/// The most buckets that are remembered.
const MAX_BUCKETS: usize = 4096;
/// The time after which a bucket without arrivals is forgotten.
const BUCKET_LIFETIME: Duration = Duration::from_secs(10);
/// The completions that end a window early.
const ENOUGH_COMPLETIONS: u32 = 16;
/// The longest window, in windows of the options.
const LONGEST_WINDOW: u32 = 5;
/// The arrivals that are let in, in percent of the completions, so that the queue never idles.
const ARRIVALS_PERCENT: u64 = 110;
/// The buckets that a calm window lets in again.
const RELAX_STEP: usize = 2;

plain_copy! {
    /// Requests that are shed together.
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

    fn least_important(self) -> Priority {
        let below = (1_u16 << HASH_SHIFT) - 1;
        Priority {
            rank: self.class,
            over_share: self.over_share,
            root_hash: (self.hash << HASH_SHIFT) | below,
        }
    }
}

#[derive(Debug)]
struct Seen {
    arrivals: u32,
    at: Instant,
}

/// Moves the shed level: down at once to what the backend server completes, up again in steps.
///
/// Only a standing queue together with refusals lowers it and only a queue that ran empty raises
/// it; the span between the two is the hysteresis.
#[derive(Debug)]
pub(crate) struct LevelControl {
    window: Duration,
    calm_to_clear: Duration,
    buckets: BTreeMap<Bucket, Seen>,
    level: Option<Bucket>,
    began: Instant,
    calm_since: Option<Instant>,
    completions: u32,
    refusals: u32,
    fewest_waiting: usize,
}

/// Lifecycle
impl LevelControl {
    pub(crate) fn new(now: Instant, options: &Options) -> Self {
        Self {
            window: options.level_window,
            calm_to_clear: options.calm_to_clear,
            buckets: BTreeMap::new(),
            level: None,
            began: now,
            calm_since: Some(now),
            completions: 0,
            refusals: 0,
            fewest_waiting: 0,
        }
    }

    /// Counts an arrival. Deep work counts where its root stands, although it is kept to the end of
    /// its class, since it is at the doors that a level inside a class takes load off.
    pub(crate) fn count_arrival(&mut self, now: Instant, priority: Priority) {
        let bucket = Bucket::of(priority);
        if let Some(seen) = self.buckets.get_mut(&bucket) {
            seen.arrivals = seen.arrivals.saturating_add(1);
            seen.at = now;
        } else if self.buckets.len() < MAX_BUCKETS {
            self.buckets.insert(
                bucket,
                Seen {
                    arrivals: 1,
                    at: now,
                },
            );
        }
    }

    pub(crate) fn count_completion(&mut self) {
        self.completions = self.completions.saturating_add(1);
    }

    /// Counts a request that was given up for lack of capacity.
    pub(crate) fn count_refusal(&mut self) {
        self.refusals = self.refusals.saturating_add(1);
    }

    pub(crate) fn note_waiting(&mut self, waiting: usize) {
        self.fewest_waiting = self.fewest_waiting.min(waiting);
    }

    /// Ends the window when it is due, and moves the level by what it showed.
    pub(crate) fn roll(&mut self, now: Instant, waiting: usize) {
        let elapsed = now.saturating_duration_since(self.began);
        let is_long = elapsed >= self.window * LONGEST_WINDOW;
        if elapsed < self.window || (self.completions < ENOUGH_COMPLETIONS && !is_long) {
            return;
        }
        self.decide(now);
        self.begin(now, waiting);
    }

    fn begin(&mut self, now: Instant, waiting: usize) {
        self.began = now;
        self.completions = 0;
        self.refusals = 0;
        self.fewest_waiting = waiting;
        self.buckets.retain(|_, seen| {
            seen.arrivals = 0;
            now.saturating_duration_since(seen.at) < BUCKET_LIFETIME
        });
    }
}

/// Decisions
impl LevelControl {
    fn decide(&mut self, now: Instant) {
        if self.fewest_waiting > 0 {
            self.calm_since = None;
            if self.refusals > 0 {
                self.tighten();
            }
            return;
        }
        let calm_since = *self.calm_since.get_or_insert(self.began);
        if now.saturating_duration_since(calm_since) >= self.calm_to_clear {
            self.level = None;
        } else {
            self.relax();
        }
    }

    /// Lowers the level to the most arrivals that the completions of the window can carry.
    fn tighten(&mut self) {
        let capacity = u64::from(self.completions) * ARRIVALS_PERCENT / 100;
        let mut arrivals = 0;
        let mut kept = None;
        for (bucket, seen) in &self.buckets {
            arrivals += u64::from(seen.arrivals);
            if kept.is_some() && arrivals > capacity {
                break;
            }
            kept = Some(*bucket);
        }
        self.level = match (self.level, kept) {
            (Some(level), Some(kept)) => Some(level.min(kept)),
            (level, kept) => kept.or(level),
        };
    }

    /// Lets in the next buckets that had arrivals lately, or all when there is none.
    fn relax(&mut self) {
        let Some(level) = self.level else { return };
        let above = (Excluded(level), Unbounded);
        self.level = self
            .buckets
            .range(above)
            .map(|(bucket, _)| *bucket)
            .nth(RELAX_STEP - 1);
    }
}

/// Access
impl LevelControl {
    /// The least important priority that is still taken, or `None` when all are.
    pub(crate) fn level(&self) -> Option<Priority> {
        self.level.map(Bucket::least_important)
    }

    /// The time after which calm windows would let a priority in again.
    pub(crate) fn time_to_relax(&self, priority: Priority) -> Duration {
        let Some(level) = self.level else {
            return Duration::ZERO;
        };
        let bucket = Bucket::of(priority);
        if bucket <= level {
            return Duration::ZERO;
        }
        let between = (Excluded(level), Excluded(bucket));
        let steps = self.buckets.range(between).count() / RELAX_STEP + 1;
        let windows = u32::try_from(steps).unwrap_or(u32::MAX);
        self.window.saturating_mul(windows).min(self.calm_to_clear)
    }
}
