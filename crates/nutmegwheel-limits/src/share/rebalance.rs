use std::collections::{BTreeMap, BTreeSet};

use nutmegwheel_types::{DataCentreId, WorkspaceId, plain};

use super::{Change, ChangeSet, Entry, Share, Table};
use crate::{Limit, MicroTokens, TOKEN};

/// A share is decreased only if it exceeds its target by more than the workspace's limit divided by
/// this.
///
/// The hysteresis keeps small changes of demand out of the log.
const HYSTERESIS_DIVISOR: u64 = 8;

/// The input of [`rebalance`].
#[derive(Clone, Copy, Debug)]
pub struct RebalanceOptions<'a> {
    /// The committed shares of all data centres.
    pub table: &'a Table,
    /// The workspace whose shares to rebalance.
    pub workspace: &'a WorkspaceId,
    /// The configured limit, or [`Limit::ZERO`] if the workspace is no longer configured.
    pub configured: Limit,
    /// The data centres among which to divide the limit.
    pub data_centres: &'a BTreeSet<DataCentreId>,
    /// The demand by data centre, in millionths of a token per second. A data centre that is
    /// missing is weighted by the rate of its present share.
    pub demand: &'a BTreeMap<DataCentreId, MicroTokens>,
}

plain! {
    /// The result of [`rebalance`].
    pub struct RebalanceOutcome {
        /// The command for the log, or `None` if no share changes.
        pub change: Option<ChangeSet>,
    }
}

/// Divides the limit of one workspace among the data centres by demand.
///
/// Shares are decreased immediately. They are increased only by what no data centre may be using,
/// so an increase waits until the matching decrease is confirmed or has expired.
#[must_use]
pub fn rebalance(options: &RebalanceOptions) -> RebalanceOutcome {
    let current = current_entries(options);
    let targets = targets(options, &current);
    let mut shares = apply_decreases(options, &current, &targets);
    apply_increases(options, &current, &targets, &mut shares);
    let changes: Vec<_> = shares
        .into_iter()
        .filter(|(dc, share)| current[dc].share != *share)
        .map(|(data_centre, share)| Change::Told {
            workspace: options.workspace.clone(),
            data_centre,
            share,
        })
        .collect();
    let based_on = options.table.version();
    RebalanceOutcome {
        change: (!changes.is_empty()).then_some(ChangeSet { based_on, changes }),
    }
}

fn current_entries(options: &RebalanceOptions) -> BTreeMap<DataCentreId, Entry> {
    let none = Entry {
        share: Share::ZERO,
        bound: Share::ZERO,
        version: 0,
    };
    let fleet = options.data_centres.iter().map(|dc| (dc.clone(), none));
    let known = options
        .table
        .entries(options.workspace)
        .map(|(dc, e)| (dc.clone(), *e));
    fleet.chain(known).collect()
}

/// The target shares: a floor for each recipient, and the rest by demand.
fn targets(
    options: &RebalanceOptions,
    current: &BTreeMap<DataCentreId, Entry>,
) -> BTreeMap<DataCentreId, Share> {
    let weights = recipients(options, current);
    let mut targets: BTreeMap<_, _> = current.keys().map(|dc| (dc.clone(), Share::ZERO)).collect();
    let floor = floor(options.configured, weights.len() as u64);
    let total: u128 = weights.iter().map(|(_, w)| u128::from(*w)).sum();
    let mut left = options.configured;
    for (dc, weight) in &weights {
        let extra = Limit {
            rate: proportion(
                remainder(options.configured.rate, floor.rate, weights.len()),
                *weight,
                total,
            ),
            burst: whole_tokens(proportion(
                remainder(options.configured.burst, floor.burst, weights.len()),
                *weight,
                total,
            )),
        };
        let whole = floor.plus(extra);
        left = left.minus(whole);
        targets.insert(dc.clone(), Share { whole, floor });
    }
    if let Some(first) = weights.first().and_then(|(dc, _)| targets.get_mut(dc)) {
        first.whole = first.whole.plus(left);
    }
    targets
}

/// The data centres that get a share and their weights, the heaviest first.
///
/// Each recipient needs a whole token of the burst, so there are at most as many recipients as
/// tokens. For the order, the weight of a data centre that may already be using a whole token is
/// doubled.
fn recipients(
    options: &RebalanceOptions,
    current: &BTreeMap<DataCentreId, Entry>,
) -> Vec<(DataCentreId, MicroTokens)> {
    let weight = |dc: &DataCentreId| {
        let kept = current[dc].share.whole.rate;
        options.demand.get(dc).copied().unwrap_or(kept).max(1)
    };
    let holds = |dc: &DataCentreId| current[dc].bound.whole.burst >= TOKEN;
    let mut all: Vec<_> = options
        .data_centres
        .iter()
        .map(|dc| (dc.clone(), weight(dc)))
        .collect();
    all.sort_by_key(|(dc, w)| {
        let favoured = if holds(dc) { w.saturating_mul(2) } else { *w };
        (std::cmp::Reverse(favoured), dc.clone())
    });
    let tokens = usize::try_from(options.configured.burst / TOKEN).unwrap_or(usize::MAX);
    all.truncate(tokens);
    all
}

fn floor(configured: Limit, recipients: u64) -> Limit {
    if recipients == 0 {
        return Limit::ZERO;
    }
    let burst = whole_tokens(configured.burst / (2 * recipients)).max(TOKEN);
    Limit {
        rate: configured.rate / (2 * recipients),
        burst,
    }
}

fn remainder(whole: u64, floor: u64, recipients: usize) -> u64 {
    whole.saturating_sub(floor.saturating_mul(recipients as u64))
}

fn proportion(amount: u64, weight: u64, total: u128) -> u64 {
    let proportion = u128::from(amount) * u128::from(weight) / total.max(1);
    u64::try_from(proportion).unwrap_or(amount)
}

fn whole_tokens(amount: MicroTokens) -> MicroTokens {
    amount - amount % TOKEN
}

fn apply_decreases(
    options: &RebalanceOptions,
    current: &BTreeMap<DataCentreId, Entry>,
    targets: &BTreeMap<DataCentreId, Share>,
) -> BTreeMap<DataCentreId, Share> {
    let sum = current
        .values()
        .fold(Limit::ZERO, |sum, e| sum.plus(e.share.whole));
    let is_forced = !sum.fits_in(options.configured);
    let mut shares = BTreeMap::new();
    for (dc, entry) in current {
        let target = targets[dc];
        let is_unused = target == Share::ZERO;
        let bound_matches_share = entry.bound == entry.share;
        let moves = bound_matches_share
            && exceeds_hysteresis(entry.share.whole, target.whole, options.configured);
        let mut share = entry.share;
        if is_forced || is_unused || moves {
            share.whole = share.whole.min(target.whole);
        }
        share.floor = target.floor.min(share.whole);
        shares.insert(dc.clone(), share);
    }
    shares
}

fn exceeds_hysteresis(share: Limit, target: Limit, configured: Limit) -> bool {
    share.rate
        > target
            .rate
            .saturating_add(configured.rate / HYSTERESIS_DIVISOR)
        || share.burst
            > target
                .burst
                .saturating_add(configured.burst / HYSTERESIS_DIVISOR)
}

fn apply_increases(
    options: &RebalanceOptions,
    current: &BTreeMap<DataCentreId, Entry>,
    targets: &BTreeMap<DataCentreId, Share>,
    shares: &mut BTreeMap<DataCentreId, Share>,
) {
    let in_use = |dc: &DataCentreId, share: &Share| share.whole.max(current[dc].bound.whole);
    let used = shares
        .iter()
        .fold(Limit::ZERO, |sum, (dc, s)| sum.plus(in_use(dc, s)));
    let mut free = options.configured.minus(used);
    for (dc, share) in shares.iter_mut() {
        let own = current[dc].bound.whole.minus(share.whole);
        let wanted = targets[dc].whole.minus(share.whole);
        let granted = wanted.min(own.plus(free));
        free = free.minus(granted.minus(own));
        share.whole = share.whole.plus(granted);
        share.floor = targets[dc].floor.min(share.whole);
    }
}
