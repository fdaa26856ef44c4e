use std::{collections::BTreeMap, time::Instant};

use nutmegwheel_types::{DataCentreId, WorkspaceId, plain};

use super::{Renewal, RenewalRequest, SHARE_LEASE_TERM, Share, ShareVersion};
use crate::{Limit, MicroTokens, shorten_for_drift, token_server::BATCH_TERM};

plain! {
    /// What one process of a data centre knows of its shares.
    ///
    /// Every process that may become the steward renews for itself, so that a new steward of a data
    /// centre that is cut off knows by its own clock how long the whole share lasts.
    #[derive(Hash)]
    pub struct LeasedShares {
        data_centre: DataCentreId,
        version: ShareVersion,
        shares: BTreeMap<WorkspaceId, Share>,
        lease_expires_at: Option<Instant>,
        request: Option<(u64, Instant)>,
        next_number: u64,
    }
}

/// Lifecycle.
impl LeasedShares {
    /// Knows nothing, which lets nothing pass.
    #[must_use]
    pub fn open(data_centre: DataCentreId) -> Self {
        LeasedShares {
            data_centre,
            version: 0,
            shares: BTreeMap::new(),
            lease_expires_at: None,
            request: None,
            next_number: 1,
        }
    }

    /// Asks for a renewal; an answer to an earlier request will be ignored.
    pub fn begin_renewal(
        &mut self,
        confirmed: ShareVersion,
        demand: BTreeMap<WorkspaceId, MicroTokens>,
        now: Instant,
    ) -> RenewalRequest {
        let number = self.next_number;
        self.next_number += 1;
        self.request = Some((number, now));
        RenewalRequest {
            data_centre: self.data_centre.clone(),
            number,
            confirmed,
            demand,
        }
    }

    /// Takes in an answer, and says whether it was of use.
    ///
    /// The term counts from the request. It ends early by the life of a batch, so that no token of the
    /// part that expires is left at a door when the leader gives that part to another data centre.
    pub fn apply_renewal(&mut self, renewal: &Renewal) -> bool {
        let Some((_, sent)) = self
            .request
            .take_if(|(number, _)| *number == renewal.number)
        else {
            return false;
        };
        if renewal.version < self.version {
            return false;
        }
        self.version = renewal.version;
        self.shares.clone_from(&renewal.shares);
        self.lease_expires_at =
            Some(sent + shorten_for_drift(SHARE_LEASE_TERM).saturating_sub(BATCH_TERM));
        true
    }
}

/// Access.
impl LeasedShares {
    /// The version of the shares, or 0 while none are known.
    #[must_use]
    pub fn version(&self) -> ShareVersion {
        self.version
    }

    /// The workspaces in which the data centre has a share.
    pub fn workspaces(&self) -> impl Iterator<Item = &WorkspaceId> {
        self.shares.keys()
    }

    /// The limit in force for a workspace at a time.
    #[must_use]
    pub fn limit(&self, workspace: &WorkspaceId, now: Instant) -> Limit {
        let Some(share) = self.shares.get(workspace) else {
            return Limit::ZERO;
        };
        if self.lease_expires_at.is_some_and(|until| now < until) {
            share.whole
        } else {
            share.floor
        }
    }

    /// The time at which the limits fall to the floors.
    #[must_use]
    pub fn lease_expires_at(&self) -> Option<Instant> {
        self.lease_expires_at
    }
}
