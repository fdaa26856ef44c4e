//! The home data centre of a request, whose seeds alone decide on its claims.

use std::collections::BTreeSet;

use nutmegwheel_types::{DataCentreId, RequestId};
use sha2::{Digest, Sha256};

/// What the choice rests on.
#[derive(Clone, Copy, Debug)]
pub struct Options<'a> {
    /// The request.
    pub id: &'a RequestId,
    /// The idempotency key as the caller sent it.
    pub key: &'a str,
    /// The data centres of the fleet, whether they are reachable or not.
    pub data_centres: &'a BTreeSet<DataCentreId>,
}

/// Chooses the data centre that a caller's prefix `DC/` names, else one by rendezvous hash of the id.
///
/// Every door of the fleet chooses the same one for all resends; `None` when the fleet has none.
#[must_use]
pub fn choose(options: &Options) -> Option<DataCentreId> {
    let prefix = options.key.split_once('/').map(|(prefix, _)| prefix);
    let named = prefix.and_then(|prefix| options.data_centres.get(prefix));
    let hashed = || {
        options
            .data_centres
            .iter()
            .max_by_key(|dc| weight(dc, options.id))
    };
    named.or_else(hashed).cloned()
}

fn weight(data_centre: &DataCentreId, id: &RequestId) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(id);
    hash.update(data_centre.as_bytes());
    hash.finalize().into()
}
