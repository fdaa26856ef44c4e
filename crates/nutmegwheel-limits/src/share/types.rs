use std::{collections::BTreeMap, time::Duration};

use nutmegwheel_types::{DataCentreId, WorkspaceId, plain, plain_copy};
use serde::{Deserialize, Serialize};

use crate::{Limit, MicroTokens};

/// The version of the table of shares, which goes up with every change of a share.
pub type ShareVersion = u64;

/// How long a data centre that control cannot reach keeps what it has above its floor.
///
/// The leader waits as long before it gives that part to another data centre.
pub const SHARE_LEASE_TERM: Duration = Duration::from_mins(10);

plain_copy! {
    /// What one data centre may hand out for one workspace.
    #[derive(Serialize, Deserialize)]
    pub struct Share {
        /// The limit while its lease from the control leader lasts.
        pub whole: Limit,
        /// The part that never expires, never above `whole`.
        pub floor: Limit,
    }

    /// What the log holds on one data centre's share.
    #[derive(Serialize, Deserialize)]
    pub struct Entry {
        /// What the data centre is told to use.
        pub share: Share,
        /// The most that it may be using, since it need not have heard of `share` yet.
        pub bound: Share,
        /// The version of the table in which `share` was last changed.
        pub version: ShareVersion,
    }
}

impl Share {
    /// The share that lets nothing pass.
    pub const ZERO: Share = Share {
        whole: Limit::ZERO,
        floor: Limit::ZERO,
    };

    /// A share that never expires, such as that of a fleet with one data centre.
    #[must_use]
    pub fn lasting(limit: Limit) -> Self {
        Share {
            whole: limit,
            floor: limit,
        }
    }

    pub(crate) fn max(self, other: Self) -> Self {
        Share {
            whole: self.whole.max(other.whole),
            floor: self.floor.max(other.floor),
        }
    }
}

plain! {
    /// One command of the replicated log.
    #[derive(Serialize, Deserialize)]
    pub struct ChangeSet {
        /// The version of the table that the changes were computed from.
        pub based_on: ShareVersion,
        /// The changes, taken all or none.
        pub changes: Vec<Change>,
    }

    /// One change of the table of shares.
    #[derive(Serialize, Deserialize)]
    pub enum Change {
        /// The data centre is to use this share from now on.
        Told {
            /// The workspace.
            workspace: WorkspaceId,
            /// The data centre.
            data_centre: DataCentreId,
            /// Its new share.
            share: Share,
        },
        /// The data centre uses none but the shares of this version or later ones.
        Confirmed {
            /// The data centre.
            data_centre: DataCentreId,
            /// The version it confirmed.
            version: ShareVersion,
        },
        /// The data centre's lease on everything above its floors is over.
        Expired {
            /// The data centre.
            data_centre: DataCentreId,
        },
        /// An operator vouches that no process of the data centre runs any more.
        Removed {
            /// The data centre.
            data_centre: DataCentreId,
        },
    }

    /// Asks the control leader for the shares of a data centre.
    pub struct RenewalRequest {
        /// The data centre.
        pub data_centre: DataCentreId,
        /// The number of the request of this process, which the answer repeats.
        pub number: u64,
        /// The version that the data centre's steward confirms, or 0.
        pub confirmed: ShareVersion,
        /// What was asked for per second, in millionths of a token; only the steward fills it in.
        pub demand: BTreeMap<WorkspaceId, MicroTokens>,
    }

    /// The control leader's answer, given only under its own leader lease.
    pub struct Renewal {
        /// The number of the request.
        pub number: u64,
        /// The version of the table.
        pub version: ShareVersion,
        /// The shares of the data centre.
        pub shares: BTreeMap<WorkspaceId, Share>,
    }
}
