use std::{collections::BTreeMap, time::Instant};

use nutmegwheel_types::{DataCentreId, WorkspaceId, plain};

use super::{Renewal, RenewalRequest, SHARE_LEASE_TERM, Share, ShareVersion};
use crate::{Limit, MicroTokens, shorten_for_drift, token_server::BATCH_TERM};

plain! {
    /// One process's copy of the shares of its data centre, leased from the control leader.
    ///
    /// Every process that may become the token server renews its own copy. When control becomes
    /// unreachable, a new token server therefore knows by its own clock when the lease on the whole
    /// shares expires.
    #[derive(Hash)]
    pub struct LeasedShares {
        data_centre: DataCentreId,
        version: ShareVersion,
        shares: BTreeMap<WorkspaceId, Share>,
        lease_expires_at: Option<Instant>,
        pending: Option<(u64, Instant)>,
        next_number: u64,
    }
}

impl LeasedShares {
    /// Starts without any share, which admits nothing.
    #[must_use]
    pub fn open(data_centre: DataCentreId) -> Self {
        LeasedShares {
            data_centre,
            version: 0,
            shares: BTreeMap::new(),
            lease_expires_at: None,
            pending: None,
            next_number: 1,
        }
    }

    /// Starts a renewal and returns its request. Answers to earlier requests are ignored from now
    /// on.
    pub fn begin_renewal(
        &mut self,
        confirmed: ShareVersion,
        demand: BTreeMap<WorkspaceId, MicroTokens>,
        now: Instant,
    ) -> RenewalRequest {
        let number = self.next_number;
        self.next_number += 1;
        self.pending = Some((number, now));
        RenewalRequest {
            data_centre: self.data_centre.clone(),
            number,
            confirmed,
            demand,
        }
    }

    /// Applies a renewal. Returns false if it is outdated and was ignored.
    ///
    /// The lease counts from the request. It expires earlier than at the leader by the term of a
    /// batch, so that no ingress node still holds tokens of the expired part when the leader gives
    /// that part to another data centre.
    pub fn apply_renewal(&mut self, renewal: &Renewal) -> bool {
        let Some((_, sent)) = self
            .pending
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

impl LeasedShares {
    /// The version of the shares, or 0 before the first renewal.
    #[must_use]
    pub fn version(&self) -> ShareVersion {
        self.version
    }

    /// The workspaces in which the data centre has a share.
    pub fn workspaces(&self) -> impl Iterator<Item = &WorkspaceId> {
        self.shares.keys()
    }

    /// The limit of a workspace at `now`: the whole share, or its floor once the lease has expired.
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

    /// When the lease on the part above the floors expires, or `None` before the first renewal.
    #[must_use]
    pub fn lease_expires_at(&self) -> Option<Instant> {
        self.lease_expires_at
    }
}
