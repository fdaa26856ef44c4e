use std::collections::BTreeSet;

use nutmegwheel_types::{DataCentreId, WorkspaceId};

/// The minimum number of tokens of the burst per data centre that gets a share. With fewer, tokens
/// would remain unused in one data centre while another refuses requests.
const MIN_BURST_TOKENS: u64 = 8;

/// Chooses the data centres that get a share of a workspace's limit. Every process computes the
/// same choice.
///
/// If the burst, in tokens, is too small to be divided among all data centres, only some of them
/// get a share, and the ingress nodes of the others request tokens from the first of those.
#[must_use]
pub fn placement(
    workspace: &WorkspaceId,
    burst: u64,
    data_centres: &BTreeSet<DataCentreId>,
) -> Vec<DataCentreId> {
    let mut order: Vec<_> = data_centres.iter().cloned().collect();
    let parts = usize::try_from(burst / MIN_BURST_TOKENS).unwrap_or(usize::MAX);
    if parts < order.len() {
        order.sort_by_key(|data_centre| weight(workspace, data_centre));
        order.truncate(parts.max(1));
    }
    order
}

/// The weight for rendezvous hashing, which moves few workspaces when a data centre is added or
/// removed.
///
/// FNV-1a needs a finalizer here: without it, names that differ only in their last letter would
/// rank in the same order for every workspace.
fn weight(workspace: &str, data_centre: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = workspace.bytes().chain([0]).chain(data_centre.bytes());
    let hash = bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    let mixed = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
