use std::collections::BTreeSet;

use nutmegwheel_types::{DataCentreId, WorkspaceId};

/// Chooses the data centres that share a workspace's limit, the same ones at every process.
///
/// A burst of fewer tokens than there are data centres cannot give each a whole one: some hold a
/// share, and the doors of the others ask the first of those.
#[must_use]
pub fn placement(
    workspace: &WorkspaceId,
    burst: u64,
    data_centres: &BTreeSet<DataCentreId>,
) -> Vec<DataCentreId> {
    let mut order: Vec<_> = data_centres.iter().cloned().collect();
    let tokens = usize::try_from(burst).unwrap_or(usize::MAX);
    if tokens < order.len() {
        order.sort_by_key(|data_centre| weight(workspace, data_centre));
        order.truncate(tokens.max(1));
    }
    order
}

/// Rendezvous hashing (FNV-1a), so that a data centre that comes or goes moves few workspaces.
fn weight(workspace: &str, data_centre: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = workspace.bytes().chain([0]).chain(data_centre.bytes());
    bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
