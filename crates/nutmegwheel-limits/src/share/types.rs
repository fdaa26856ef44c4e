use std::{collections::BTreeMap, time::Duration};

use nutmegwheel_types::{DataCentreId, WorkspaceId, plain, plain_copy};
use serde::{Deserialize, Serialize};

use crate::{Limit, MicroTokens};

/// The version of the table of shares, which increases with every change of a share.
pub type ShareVersion = u64;

/// The term of the lease on the part of a share above its floor.
///
/// A data centre that control cannot reach may use that part for this long, and the leader waits as
/// long before it gives the part to another data centre.
pub const SHARE_LEASE_TERM: Duration = Duration::from_mins(10);

plain_copy! {
    /// The part of a workspace's limit that one data centre may use.
    #[derive(Serialize, Deserialize)]
    pub struct Share {
        /// The limit while the lease from the control leader is valid.
        pub whole: Limit,
        /// The part that never expires; at most `whole`.
        pub floor: Limit,
    }

    /// The state of one data centre's share of one workspace in the replicated log.
    #[derive(Serialize, Deserialize)]
    pub struct Entry {
        /// The share that the leader assigned to the data centre.
        pub share: Share,
        /// The upper bound of what the data centre may be using, since it may not have received
        /// `share` yet.
        pub bound: Share,
        /// The version of the table that last changed `share`.
        pub version: ShareVersion,
    }
}

impl Share {
    /// The share that admits nothing.
    pub const ZERO: Share = Share {
        whole: Limit::ZERO,
        floor: Limit::ZERO,
    };

    /// Creates a share that never expires, such as that of a fleet with one data centre.
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
    /// A command of the replicated log that changes the table of shares.
    #[derive(Serialize, Deserialize)]
    pub struct ChangeSet {
        /// The version of the table from which the changes were computed.
        pub based_on: ShareVersion,
        /// The changes, which are applied atomically.
        pub changes: Vec<Change>,
    }

    /// One change of the table of shares.
    #[derive(Serialize, Deserialize)]
    pub enum Change {
        /// The leader assigned a share to the data centre, which may not have received it yet.
        Told {
            /// The workspace whose limit is divided.
            workspace: WorkspaceId,
            /// The data centre to which the share is assigned.
            data_centre: DataCentreId,
            /// The new share, which replaces the previous one.
            share: Share,
        },
        /// The data centre uses no shares older than this version.
        Confirmed {
            /// The data centre that confirmed the version.
            data_centre: DataCentreId,
            /// The confirmed version of the table.
            version: ShareVersion,
        },
        /// The data centre's lease on everything above its floors expired.
        Expired {
            /// The data centre whose lease expired.
            data_centre: DataCentreId,
        },
        /// An operator confirmed that no process of the data centre runs any more.
        Removed {
            /// The data centre whose entries are removed.
            data_centre: DataCentreId,
        },
    }

    /// A request to the control leader for the shares of a data centre and a renewed lease on them.
    pub struct RenewalRequest {
        /// The data centre of the requesting process.
        pub data_centre: DataCentreId,
        /// The number of the process's request, which the answer repeats.
        pub number: u64,
        /// The version of the shares that the data centre's token server confirms, or 0 for none.
        pub confirmed: ShareVersion,
        /// The demand by workspace, in millionths of a token per second. Only the token server
        /// fills it in.
        pub demand: BTreeMap<WorkspaceId, MicroTokens>,
    }

    /// The control leader's answer, which it gives only under its leader lease.
    pub struct Renewal {
        /// The number of the request that is answered.
        pub number: u64,
        /// The version of the table of shares.
        pub version: ShareVersion,
        /// The shares of the data centre, by workspace.
        pub shares: BTreeMap<WorkspaceId, Share>,
    }
}
