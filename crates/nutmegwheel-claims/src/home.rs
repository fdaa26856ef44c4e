//! Selection of the home data centre of a request, whose seeds alone grant the request's claims.

use std::collections::BTreeSet;

use nutmegwheel_types::{DataCentreId, RequestId};
use sha2::{Digest, Sha256};

/// The parameters of [`choose`].
#[derive(Clone, Copy, Debug)]
pub struct Options<'a> {
    /// The id of the request.
    pub id: &'a RequestId,
    /// The idempotency key as sent by the caller.
    pub key: &'a str,
    /// All data centres of the fleet, reachable or not.
    pub data_centres: &'a BTreeSet<DataCentreId>,
}

/// Chooses the data centre that the key names in its prefix `DC/`; without such a prefix, chooses a
/// data centre by rendezvous hashing of the request id.
///
/// All ingress nodes choose the same data centre whenever the request is resent. Returns `None` if
/// `data_centres` is empty.
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
