use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use nutmegwheel_types::{Priority, WorkspaceId, plain};

use super::order::RetryOrder;

/// The number of slices of the sliding window.
const SLICES: u8 = 10;
/// The number of slices that are remembered, which is two windows.
const KEPT_SLICES: u8 = 2 * SLICES;
/// The cost of one retry in thousandths, the unit in which the ratio is computed.
const RETRY_COST_MILLI: u64 = 1000;
/// The length of the intervals in which retries are put in order.
const ORDER_INTERVAL: Duration = Duration::from_millis(250);

plain! {
    /// The limit on the retries of each workspace.
    pub struct RatioOptions {
        /// The retries that are allowed, in percent of the first attempts in the window.
        pub percent: u32,
        /// The retries that are allowed in the window in addition, over the whole fleet.
        pub base_retries: u32,
        /// The part of `base_retries` that a node gets at least, however many nodes there are.
        pub min_base_retries_per_node: u32,
        /// The length of the sliding window.
        pub window: Duration,
        /// The maximum number of workspaces with counts of their own; further ones share one.
        pub max_workspaces: usize,
        /// Whether the first attempts of earlier windows count if these had more. While calls fail
        /// early, fewer are made, and those that are left would be allowed fewer retries.
        pub counts_earlier_windows: bool,
        /// Whether retries are made in the order of their roots while more are wanted than allowed.
        /// Without it, they go to whoever asks first.
        pub is_ordered: bool,
    }
}

impl Default for RatioOptions {
    fn default() -> Self {
        Self {
            percent: 10,
            base_retries: 10,
            min_base_retries_per_node: 2,
            window: Duration::from_secs(10),
            max_workspaces: 1024,
            counts_earlier_windows: false,
            is_ordered: false,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    first_attempts: u64,
    retries: u64,
}

#[derive(Debug)]
struct Counts {
    slices: [Slice; KEPT_SLICES as usize],
    newest_slice: u64,
    order: RetryOrder,
}

/// The ratio of retries to first attempts of each workspace, as counted by one node.
///
/// Each node applies the ratio to its own first attempts and allows an equal part of
/// [`base_retries`](RatioOptions::base_retries), so that the limit holds for the whole fleet
/// without coordination. In a large fleet that part would be less than one retry, so a node may be
/// given a least one.
#[derive(Debug)]
pub struct RetryRatios {
    options: RatioOptions,
    opened: Instant,
    nodes: u32,
    by_workspace: HashMap<Option<WorkspaceId>, Counts>,
    shared: Counts,
}

impl RetryRatios {
    /// Creates empty counts. This node counts as the only one until [`Self::set_nodes`] is called.
    #[must_use]
    pub fn open(now: Instant, options: RatioOptions) -> Self {
        Self {
            options,
            opened: now,
            nodes: 1,
            by_workspace: HashMap::new(),
            shared: Counts::default(),
        }
    }

    /// Sets the number of nodes among which `base_retries` is divided.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes.max(1);
    }

    /// Counts the first attempt of a call.
    pub fn record_first_attempt(&mut self, now: Instant, workspace: Option<&WorkspaceId>) {
        self.counts(now, workspace).current().first_attempts += 1;
    }

    /// Counts the first attempt of a call that a repeated request makes. It would not have been
    /// made without the retry further up, so it counts as a retry.
    pub fn record_repeated_call(&mut self, now: Instant, workspace: Option<&WorkspaceId>) {
        self.counts(now, workspace).current().retries += 1;
    }

    /// Counts a retry if the ratio allows it, and returns whether it does.
    pub fn try_acquire(&mut self, now: Instant, workspace: Option<&WorkspaceId>) -> bool {
        let can_retry = self.can_retry(now, workspace);
        if can_retry {
            self.counts(now, workspace).current().retries += 1;
        }
        can_retry
    }

    /// Whether the ratio allows another retry.
    pub fn can_retry(&mut self, now: Instant, workspace: Option<&WorkspaceId>) -> bool {
        self.unused(now, workspace) > 0
    }

    /// Whether it is the turn of a root's retry, if retries are made in an order. Each retry that is
    /// wanted must be asked for once.
    pub fn admits(
        &mut self,
        now: Instant,
        workspace: Option<&WorkspaceId>,
        priority: Priority,
    ) -> bool {
        if !self.options.is_ordered {
            return true;
        }
        let unused = self.unused(now, workspace);
        let elapsed = now.saturating_duration_since(self.opened).as_nanos();
        let interval = u64::try_from(elapsed / ORDER_INTERVAL.as_nanos()).unwrap_or(u64::MAX);
        let counts = self.counts(now, workspace);
        counts.order.admits(interval, unused, priority)
    }

    /// The least important root whose retries are made, or `None` if all are.
    pub fn threshold(&mut self, now: Instant, workspace: Option<&WorkspaceId>) -> Option<Priority> {
        self.counts(now, workspace).order.threshold()
    }

    /// The number of retries that the ratio allows beyond those made.
    fn unused(&mut self, now: Instant, workspace: Option<&WorkspaceId>) -> u64 {
        let least = u64::from(self.options.min_base_retries_per_node) * RETRY_COST_MILLI;
        let base_retries =
            u64::from(self.options.base_retries) * RETRY_COST_MILLI / u64::from(self.nodes);
        let base_retries = base_retries.max(least);
        let per_first_attempt = u64::from(self.options.percent) * RETRY_COST_MILLI / 100;
        let counts_earlier = self.options.counts_earlier_windows;
        let counts = self.counts(now, workspace);
        let total = counts.total(0);
        let first_attempts = if counts_earlier {
            counts.most_first_attempts()
        } else {
            total.first_attempts
        };
        let allowed = first_attempts * per_first_attempt + base_retries;
        (allowed / RETRY_COST_MILLI).saturating_sub(total.retries)
    }

    /// The counts of a workspace, advanced to the current slice.
    fn counts(&mut self, now: Instant, workspace: Option<&WorkspaceId>) -> &mut Counts {
        let current_slice = self.slice_number(now);
        let workspace = workspace.cloned();
        let is_known = self.by_workspace.contains_key(&workspace);
        if !is_known && self.by_workspace.len() >= self.options.max_workspaces {
            self.by_workspace
                .retain(|_, counts| counts.newest_slice + u64::from(SLICES) > current_slice);
        }
        let is_full = self.by_workspace.len() >= self.options.max_workspaces;
        let counts = if is_known || !is_full {
            self.by_workspace.entry(workspace).or_default()
        } else {
            &mut self.shared
        };
        counts.advance(current_slice);
        counts
    }

    fn slice_number(&self, now: Instant) -> u64 {
        let slice = (self.options.window / u32::from(SLICES)).as_nanos().max(1);
        let elapsed = now.saturating_duration_since(self.opened).as_nanos();
        u64::try_from(elapsed / slice).unwrap_or(u64::MAX)
    }
}

impl Default for Counts {
    fn default() -> Self {
        Self {
            slices: [Slice::default(); KEPT_SLICES as usize],
            newest_slice: 0,
            order: RetryOrder::default(),
        }
    }
}

impl Counts {
    /// Clears the slices after the newest one up to the current one.
    fn advance(&mut self, current_slice: u64) {
        let steps = current_slice
            .saturating_sub(self.newest_slice)
            .min(u64::from(KEPT_SLICES));
        for step in 0..steps {
            let number = current_slice - step;
            self.slices[slice_index(number)] = Slice::default();
        }
        self.newest_slice = self.newest_slice.max(current_slice);
    }

    fn current(&mut self) -> &mut Slice {
        &mut self.slices[slice_index(self.newest_slice)]
    }

    /// The first attempts and retries in the window that ended `ago` slices before now.
    fn total(&self, ago: u8) -> Slice {
        let newest = self.newest_slice.saturating_sub(u64::from(ago));
        let oldest = (newest + 1).saturating_sub(u64::from(SLICES));
        let slices = (oldest..=newest).map(|number| self.slices[slice_index(number)]);
        slices.fold(Slice::default(), |sum, slice| Slice {
            first_attempts: sum.first_attempts + slice.first_attempts,
            retries: sum.retries + slice.retries,
        })
    }

    /// The first attempts of the window that has most: the current one, the one before it, or the
    /// one half a window before it.
    fn most_first_attempts(&self) -> u64 {
        let windows = [0, SLICES / 2, SLICES];
        let first_attempts = windows.map(|ago| self.total(ago).first_attempts);
        first_attempts.into_iter().max().unwrap_or(0)
    }
}

fn slice_index(number: u64) -> usize {
    usize::try_from(number % u64::from(KEPT_SLICES)).unwrap_or(0)
}
