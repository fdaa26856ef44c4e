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

/// The maximum time for which a new coordinator changes no fractions and only records those that
/// the ingress nodes report. Nodes that cannot reach it have fallen back to equal fractions by
/// then.
const REPORT_COLLECTION_PERIOD: Duration = Duration::from_millis(2500);
/// A new coordinator fills its reserve as if it had started this much earlier. Its predecessor has
/// lent nothing for at least an election timeout, which is no shorter than this.
const RESERVE_PREFILL: Duration = Duration::from_millis(500);
/// The part of the allocated fractions that is divided equally, in percent. The rest is divided by
/// demand.
const EQUAL_PERCENT: u64 = 15;
/// The smallest average burst of the nodes' fractions, in millionths of a token. Smaller limits are
/// not divided but only lent, token by token.
const MIN_BURST_PER_INGRESS: u64 = 2 * TOKEN;
/// The time after which to retry if the limit admits nothing at all.
const RETRY_AFTER_ZERO_LIMIT: Duration = Duration::from_secs(5);

/// Divides the limits of workspaces among the ingress nodes.
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

impl Coordinator {
    /// Creates a coordinator that knows no ingress node yet.
    #[must_use]
    pub fn open(now: Instant) -> Self {
        Self {
            opened_at: now,
            ingress_nodes: BTreeMap::new(),
            reserves: HashMap::new(),
        }
    }
}

impl Coordinator {
    /// Handles a report and returns the node's new fractions.
    ///
    /// `limit` returns the limit of a workspace, and `node_count` is the number of all ingress
    /// nodes, unreachable ones included.
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
                Some(_) if self.is_collecting_reports(now, node_count) => item.fraction,
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

    /// Lends a token from the reserve.
    pub fn borrow(
        &mut self,
        now: Instant,
        workspace: &WorkspaceId,
        limit: Limit,
        node_count: usize,
    ) -> BorrowOutcome {
        self.remove_unreachable(now);
        let reserve_fraction = if self.is_collecting_reports(now, node_count) {
            // Which nodes are reachable is known only after their reports. The fractions of all
            // nodes take at most the remaining part of the limit in any case.
            FULL / 100 * RESERVE_PERCENT
        } else {
            self.reachable_fraction(node_count)
                .saturating_sub(self.allocated(workspace))
        };
        let reserve = fraction_of(limit, reserve_fraction);
        let bucket = self.reserves.entry(workspace.clone());
        // No coordinator lent tokens in the time before this one started.
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

    /// Whether ingress nodes may hold fractions that this coordinator does not know yet.
    fn is_collecting_reports(&self, now: Instant, node_count: usize) -> bool {
        now < self.opened_at + REPORT_COLLECTION_PERIOD && self.ingress_nodes.len() < node_count
    }

    /// Forgets unreachable nodes. They use their equal fractions, which the fractions of the others
    /// leave free.
    fn remove_unreachable(&mut self, now: Instant) {
        self.ingress_nodes
            .retain(|_, node| now.saturating_duration_since(node.last_report_at) < CONTACT_TIMEOUT);
    }

    /// The sum of the fractions that the reachable nodes hold.
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

    /// The fraction that all reachable nodes together may use, reserve included.
    fn reachable_fraction(&self, node_count: usize) -> Fraction {
        let reachable = self.ingress_nodes.len();
        let each = equal_fraction(node_count.max(reachable));
        let reachable = u32::try_from(reachable).unwrap_or(u32::MAX);
        each.saturating_mul(reachable).min(FULL)
    }

    /// The part of [`Self::reachable_fraction`] to allocate, or 0 if the nodes' fractions would
    /// hold less than [`MIN_BURST_PER_INGRESS`].
    fn allocatable(&self, limit: Limit, node_count: usize) -> Fraction {
        let all = self.reachable_fraction(node_count);
        let allocatable = all / 100 * (100 - RESERVE_PERCENT);
        let reachable = u64::try_from(self.ingress_nodes.len().max(1)).unwrap_or(u64::MAX);
        if fraction_of(limit, allocatable).burst / reachable < MIN_BURST_PER_INGRESS {
            return 0;
        }
        allocatable
    }

    /// Computes the new fraction of a node from its demand. The fraction takes only what the last
    /// reports of the other nodes leave free.
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
