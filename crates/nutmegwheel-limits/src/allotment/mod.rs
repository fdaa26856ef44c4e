//! Parts of workspaces' limits at doors, where no data centre has a steward.
//!
//! One process, the hub, divides each limit: most of it in standing parts by the demand of the
//! doors, the rest kept back to be lent one token at a time. A [`Ingress`] spends from its part without
//! asking anybody and borrows when that is used up. Out of touch for [`CONTACT_TIMEOUT`], a door falls back to
//! an equal part, and the [`Coordinator`] reserves just that for it; so both sides of a cut go on, and what
//! they admit together stays within the limit. docs/POLICY.md, "Limits without stewards".

mod coordinator;
mod ingress;

use std::time::Duration;

use nutmegwheel_types::{ProcessName, WorkspaceId, plain, plain_copy};

pub use coordinator::Coordinator;
pub use ingress::{Ingress, Spend};

use crate::Limit;

/// A part of a limit, in millionths.
pub type Fraction = u32;

/// The whole of a limit.
pub const FULL: Fraction = 1_000_000;
/// What the hub keeps back to be lent, in percent of what the doors in touch may use.
const RESERVE_PERCENT: Fraction = 50;
/// The silence after which door and hub take each other to be out of touch.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a door reports; several reports may be lost before the two are out of touch.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

plain! {
    /// What a door tells the hub, and what it asks for.
    pub struct Report {
        /// The door.
        pub ingress: ProcessName,
        /// The workspaces that it has requests of, or a part of.
        pub items: Vec<Item>,
    }

    /// One workspace at one door.
    pub struct Item {
        /// The workspace.
        pub workspace: WorkspaceId,
        /// What arrives, in thousandths of a request per second.
        pub demand: u64,
        /// The part that the door holds.
        pub fraction: Fraction,
    }

    /// The parts that a door holds from now on.
    pub struct Answer {
        /// The part of each workspace of the report.
        pub fractions: Vec<(WorkspaceId, Fraction)>,
    }
}

plain_copy! {
    /// What became of a door's wish for one more token.
    pub enum BorrowOutcome {
        /// It has one.
        Granted,
        /// The limit is used up.
        Denied {
            /// When there will be one.
            retry_after: Duration,
        },
    }
}

/// A part of a limit.
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

/// An equal part for each of `doors`.
fn equal_fraction(ingress_count: usize) -> Fraction {
    let ingress_count = u32::try_from(ingress_count.max(1)).unwrap_or(u32::MAX);
    FULL / ingress_count
}
