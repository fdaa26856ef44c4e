use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use nutmegwheel_types::{ProcessName, WorkspaceId};

use super::{
    Answer, BorrowOutcome, CONTACT_TIMEOUT, FULL, Fraction, RESERVE_PERCENT, Report,
    equal_fraction, fraction_of,
};
use crate::{Limit, TOKEN, bucket::Bucket};

/// The longest time in which a new hub only learns what the doors hold: those out of touch with it
/// have fallen back to their equal parts by then.
const LEARNING_PERIOD: Duration = Duration::from_millis(2500);
/// The time for which a new hub takes the reserve to have filled already; its predecessor has been
/// silent for longer, an election timeout at least.
const RESERVE_PREFILL: Duration = Duration::from_millis(500);
/// What is dealt out in equal parts, in percent of what is dealt out.
const EQUAL_PERCENT: u64 = 15;
/// The least tokens that each door's part has to hold; smaller limits are lent as a whole.
const MIN_BURST_PER_INGRESS: u64 = 2 * TOKEN;
/// When to come back where the limit allows nothing at all.
const RETRY_AFTER_ZERO_LIMIT: Duration = Duration::from_secs(5);

/// Divides the limits of workspaces among doors.
#[derive(Debug)]
pub struct Coordinator {
    opened_at: Instant,
    ingress_nodes: BTreeMap<ProcessName, IngressState>,
    reserves: HashMap<WorkspaceId, Bucket>,
}

#[derive(Debug)]
struct IngressState {
    last_report_at: Instant,
    items: HashMap<WorkspaceId, WorkspaceState>,
}

#[derive(Clone, Copy, Debug, Default)]
struct WorkspaceState {
    demand: u64,
    fraction: Fraction,
}

/// Lifecycle.
impl Coordinator {
    /// Opens a hub that knows no door yet.
    #[must_use]
    pub fn open(now: Instant) -> Self {
        Self {
            opened_at: now,
            ingress_nodes: BTreeMap::new(),
            reserves: HashMap::new(),
        }
    }
}

/// Dividing.
impl Coordinator {
    /// Takes a report in and answers it. `limit` tells the limits of workspaces, and `doors` how many
    /// doors there are, those out of touch included.
    pub fn on_report(
        &mut self,
        now: Instant,
        report: &Report,
        node_count: usize,
        limit: impl Fn(&WorkspaceId) -> Option<Limit>,
    ) -> Answer {
        self.remove_unreachable(now);
        let items = report.items.iter().map(|item| {
            let state = WorkspaceState {
                demand: item.demand,
                fraction: item.fraction,
            };
            (item.workspace.clone(), state)
        });
        let node = IngressState {
            last_report_at: now,
            items: items.collect(),
        };
        self.ingress_nodes.insert(report.ingress.clone(), node);
        let mut fractions = Vec::new();
        for item in &report.items {
            let fraction = match limit(&item.workspace) {
                None => 0,
                Some(_) if self.is_learning(now, node_count) => item.fraction,
                Some(limit) => self.fraction(&report.ingress, &item.workspace, limit, node_count),
            };
            fractions.push((item.workspace.clone(), fraction));
        }
        if let Some(node) = self.ingress_nodes.get_mut(&report.ingress) {
            for (workspace, fraction) in &fractions {
                node.items.entry(workspace.clone()).or_default().fraction = *fraction;
            }
        }
        Answer { fractions }
    }

    /// Lends a token out of what is kept back.
    pub fn borrow(
        &mut self,
        now: Instant,
        workspace: &WorkspaceId,
        limit: Limit,
        node_count: usize,
    ) -> BorrowOutcome {
        self.remove_unreachable(now);
        let reserve_fraction = if self.is_learning(now, node_count) {
            // Which doors are in touch shows only by their reports, and parts take no more than
            // the rest.
            FULL / 100 * RESERVE_PERCENT
        } else {
            self.reachable_fraction(node_count)
                .saturating_sub(self.allocated(workspace))
        };
        let reserve = fraction_of(limit, reserve_fraction);
        let bucket = self.reserves.entry(workspace.clone());
        // Nobody lent in the time before this hub was opened.
        let since = self
            .opened_at
            .checked_sub(RESERVE_PREFILL)
            .unwrap_or(self.opened_at);
        let bucket = bucket.or_insert_with(|| Bucket::empty(reserve, since));
        bucket.set_limit(reserve, now);
        if bucket.take(TOKEN, now) {
            return BorrowOutcome::Granted;
        }
        let retry_after = bucket.wait_for(TOKEN).unwrap_or(RETRY_AFTER_ZERO_LIMIT);
        BorrowOutcome::Denied { retry_after }
    }

    /// Whether doors may hold parts that this hub has not heard of.
    fn is_learning(&self, now: Instant, node_count: usize) -> bool {
        now < self.opened_at + LEARNING_PERIOD && self.ingress_nodes.len() < node_count
    }

    /// Those out of touch use their equal parts, which the others' parts leave free.
    fn remove_unreachable(&mut self, now: Instant) {
        self.ingress_nodes
            .retain(|_, node| now.saturating_duration_since(node.last_report_at) < CONTACT_TIMEOUT);
    }

    /// What the doors in touch hold in standing parts.
    fn allocated(&self, workspace: &WorkspaceId) -> Fraction {
        let items = self
            .ingress_nodes
            .values()
            .map(|node| node.items.get(workspace));
        items
            .flatten()
            .map(|state| state.fraction)
            .sum::<Fraction>()
            .min(FULL)
    }

    /// What all doors in touch may use together.
    fn reachable_fraction(&self, node_count: usize) -> Fraction {
        let reachable = self.ingress_nodes.len();
        let each = equal_fraction(node_count.max(reachable));
        let reachable = u32::try_from(reachable).unwrap_or(u32::MAX);
        each.saturating_mul(reachable).min(FULL)
    }

    /// What is dealt out to them in standing parts: nothing where the parts could not even hold a
    /// few tokens.
    fn allocatable(&self, limit: Limit, node_count: usize) -> Fraction {
        let all = self.reachable_fraction(node_count);
        let allocatable = all / 100 * (100 - RESERVE_PERCENT);
        let reachable = u64::try_from(self.ingress_nodes.len().max(1)).unwrap_or(u64::MAX);
        if fraction_of(limit, allocatable).burst / reachable < MIN_BURST_PER_INGRESS {
            return 0;
        }
        allocatable
    }

    /// A part grows only into what the others have given up by their own reports.
    fn fraction(
        &self,
        ingress: &ProcessName,
        workspace: &WorkspaceId,
        limit: Limit,
        node_count: usize,
    ) -> Fraction {
        let allocatable = u64::from(self.allocatable(limit, node_count));
        let mut demand = 0;
        let mut own = 0;
        let mut taken = 0;
        for (name, node) in &self.ingress_nodes {
            let state = node.items.get(workspace).copied().unwrap_or_default();
            demand += state.demand;
            if name == ingress {
                own = state.demand;
            } else {
                taken += u64::from(state.fraction);
            }
        }
        let reachable = u64::try_from(self.ingress_nodes.len().max(1)).unwrap_or(u64::MAX);
        let equal = allocatable * EQUAL_PERCENT / 100 / reachable;
        let by_demand = match demand {
            0 => (allocatable - allocatable * EQUAL_PERCENT / 100) / reachable,
            demand => (allocatable - allocatable * EQUAL_PERCENT / 100) * own / demand,
        };
        let fraction = (equal + by_demand).min(allocatable.saturating_sub(taken));
        Fraction::try_from(fraction).unwrap_or(FULL)
    }
}
