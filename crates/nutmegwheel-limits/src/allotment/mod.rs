//! Division of workspaces' limits among ingress nodes, where there are no token servers.
//!
//! One process, the [`Coordinator`], divides each limit. It allocates a part as fractions that
//! follow the demand of the ingress nodes, and keeps the rest as a reserve, from which it lends
//! single tokens. An [`Ingress`] spends from its own fraction without a round trip and borrows when
//! that is used up.
//!
//! After [`CONTACT_TIMEOUT`] without contact, an ingress node falls back to an equal fraction,
//! which the coordinator leaves free for it. Both sides of a network partition therefore continue
//! to admit requests, and together they admit no more than the limit. See docs/POLICY.md, "Limits
//! without token servers".

mod coordinator;
mod ingress;

use std::time::Duration;

use nutmegwheel_types::{ProcessName, WorkspaceId, plain, plain_copy};

pub use coordinator::Coordinator;
pub use ingress::{Ingress, Spend};

use crate::Limit;

/// A fraction of a limit, in millionths.
pub type Fraction = u32;

/// The fraction that is the whole limit.
pub const FULL: Fraction = 1_000_000;
/// The reserve for lending, in percent of what the reachable ingress nodes may use.
const RESERVE_PERCENT: Fraction = 50;
/// The time without contact after which an ingress node and the coordinator consider each other
/// unreachable.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval of an ingress node's reports, short enough that several may be lost before
/// [`CONTACT_TIMEOUT`].
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

plain! {
    /// A report of an ingress node to the coordinator, which answers it with new fractions.
    pub struct Report {
        /// The reporting ingress node.
        pub ingress: ProcessName,
        /// The workspaces from which the node gets requests, or of which it holds a fraction.
        pub items: Vec<Item>,
    }

    /// The state of one workspace at one ingress node.
    pub struct Item {
        /// The workspace that the state belongs to.
        pub workspace: WorkspaceId,
        /// The smoothed rate of arriving requests, in thousandths of a request per second.
        pub demand: u64,
        /// The fraction of the workspace's limit that the node holds.
        pub fraction: Fraction,
    }

    /// The coordinator's answer to a report: the fractions that the node holds from now on.
    pub struct Answer {
        /// The fraction of each workspace in the report.
        pub fractions: Vec<(WorkspaceId, Fraction)>,
    }
}

plain_copy! {
    /// The coordinator's answer to a request to borrow a token.
    pub enum BorrowOutcome {
        /// The token is lent, for one request.
        Granted,
        /// The limit is used up.
        Denied {
            /// The time until a token is available.
            retry_after: Duration,
        },
    }
}

/// Scales a limit by a fraction.
fn fraction_of(limit: Limit, fraction: Fraction) -> Limit {
    let scale = |amount: u64| {
        let scaled = u128::from(amount) * u128::from(fraction) / u128::from(FULL);
        u64::try_from(scaled).unwrap_or(u64::MAX)
    };
    Limit {
        rate: scale(limit.rate),
        burst: scale(limit.burst),
    }
}

/// The fraction of each ingress node if the limit is divided equally.
fn equal_fraction(ingress_count: usize) -> Fraction {
    let ingress_count = u32::try_from(ingress_count.max(1)).unwrap_or(u32::MAX);
    FULL / ingress_count
}
