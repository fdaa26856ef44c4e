use std::collections::BTreeSet;

use nutmegwheel_types::{DataCentreId, WorkspaceId};

/// The least part of a burst, in tokens, that is worth a share of its own; a smaller one would lie
/// unused in one data centre while another refuses.
const MIN_BURST_TOKENS: u64 = 8;

/// Chooses the data centres that share a workspace's limit, the same ones at every process.
///
/// A burst that gives not every data centre a part worth having stays with some of them, and the
/// doors of the others ask the first of those.
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

/// Rendezvous hashing, so that a data centre that comes or goes moves few workspaces: FNV-1a with a
/// finishing mix, without which names that differ in their last letter would rank alike everywhere.
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
