use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use nutmegwheel_types::{WorkspaceId, plain};

/// The slices of the sliding window.
const SLICES: u8 = 10;
/// What one retry costs, in thousandths of a retry.
const MILLI: u64 = 1000;

plain! {
    /// How many retries a workspace may cause.
    pub struct RatioOptions {
        /// The retries allowed, in percent of the first tries in the window.
        pub percent: u32,
        /// The retries allowed in the window besides, over the whole fleet.
        pub floor: u32,
        /// The sliding window.
        pub window: Duration,
        /// The most workspaces that are told apart; further ones share one count.
        pub max_workspaces: usize,
    }
}

impl Default for RatioOptions {
    fn default() -> Self {
        Self {
            percent: 10,
            floor: 10,
            window: Duration::from_secs(10),
            max_workspaces: 1024,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    first_tries: u64,
    retries: u64,
}

#[derive(Debug)]
struct Counts {
    slices: [Slice; SLICES as usize],
    newest: u64,
}

/// The share of retries among the tries of each workspace, as one node sees it.
///
/// Each node keeps to the share of its own first tries and to its part of the floor, so that
/// the sum over the fleet keeps to it without any message.
#[derive(Debug)]
pub struct Ratios {
    options: RatioOptions,
    opened: Instant,
    nodes: u32,
    by_workspace: HashMap<Option<WorkspaceId>, Counts>,
    shared: Counts,
}

/// Lifecycle
impl Ratios {
    /// Opens empty counts.
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

    /// Takes over the number of nodes that share the floor.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes.max(1);
    }

    /// Counts a first try of a call.
    pub fn count_first_try(&mut self, now: Instant, workspace: Option<&WorkspaceId>) {
        self.counts(now, workspace).current().first_tries += 1;
    }

    /// Takes a retry out of the share, or gives `false` when it is used up.
    pub fn take(&mut self, now: Instant, workspace: Option<&WorkspaceId>) -> bool {
        let may_retry = self.may_retry(now, workspace);
        if may_retry {
            self.counts(now, workspace).current().retries += 1;
        }
        may_retry
    }

    /// Whether a retry would still be within the share.
    pub fn may_retry(&mut self, now: Instant, workspace: Option<&WorkspaceId>) -> bool {
        let floor = u64::from(self.options.floor) * MILLI / u64::from(self.nodes);
        let per_first_try = u64::from(self.options.percent) * MILLI / 100;
        let total = self.counts(now, workspace).total();
        (total.retries + 1) * MILLI <= total.first_tries * per_first_try + floor
    }

    /// The counts of a workspace, moved on to the present slice.
    fn counts(&mut self, now: Instant, workspace: Option<&WorkspaceId>) -> &mut Counts {
        let present = self.slice_number(now);
        let workspace = workspace.cloned();
        let is_known = self.by_workspace.contains_key(&workspace);
        if !is_known && self.by_workspace.len() >= self.options.max_workspaces {
            self.by_workspace
                .retain(|_, counts| counts.newest + u64::from(SLICES) > present);
        }
        let is_full = self.by_workspace.len() >= self.options.max_workspaces;
        let counts = if is_known || !is_full {
            self.by_workspace.entry(workspace).or_default()
        } else {
            &mut self.shared
        };
        counts.advance(present);
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
            slices: [Slice::default(); SLICES as usize],
            newest: 0,
        }
    }
}

impl Counts {
    /// Empties the slices between the newest one and the present one.
    fn advance(&mut self, present: u64) {
        let steps = present.saturating_sub(self.newest).min(u64::from(SLICES));
        for step in 0..steps {
            let number = present - step;
            self.slices[slice_index(number)] = Slice::default();
        }
        self.newest = self.newest.max(present);
    }

    fn current(&mut self) -> &mut Slice {
        &mut self.slices[slice_index(self.newest)]
    }

    fn total(&self) -> Slice {
        self.slices
            .iter()
            .fold(Slice::default(), |sum, slice| Slice {
                first_tries: sum.first_tries + slice.first_tries,
                retries: sum.retries + slice.retries,
            })
    }
}

fn slice_index(number: u64) -> usize {
    usize::try_from(number % u64::from(SLICES)).unwrap_or(0)
}
