//! The lease that makes one process of a data centre its steward, granted by a majority of its seeds.
//!
//! No wall clock takes part: a seed counts the term from the moment it grants, the holder a shortened
//! term from the moment it asked. See docs/spec/SHARES.md.

mod holder;
mod voter;

use std::time::Duration;

use nutmegwheel_types::{Incarnation, ProcessName, plain};

use crate::share::ShareVersion;

pub use holder::{Holder, Options as HolderOptions, RoundOutcome};
pub use voter::{Options as VoterOptions, Voter};

/// How long a seed keeps a grant.
pub const LEASE_TERM: Duration = Duration::from_secs(3);
/// How often the holder renews, and how often a candidate tries again at the earliest.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// The number of a request of one candidate, so that a late answer is told from a current one.
pub type Round = u64;

plain! {
    /// One life of a process that may be the steward.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Candidate {
        /// The name of the process.
        pub name: ProcessName,
        /// Its life; a restarted steward has to wait out its own earlier lease.
        pub incarnation: Incarnation,
    }

    /// Asks a seed for a lease or its renewal.
    #[derive(Hash)]
    pub struct LeaseRequest {
        /// Who asks.
        pub candidate: Candidate,
        /// The number of the request.
        pub round: Round,
        /// The version of the shares that the candidate would hand out from.
        pub shares: ShareVersion,
    }

    /// Gives back what one round got, because it came to nothing or the steward stops.
    #[derive(Hash)]
    pub struct LeaseRelease {
        /// Who gives back.
        pub candidate: Candidate,
        /// The last round given back.
        pub round: Round,
    }

    /// A seed's answer.
    #[derive(Hash)]
    pub struct LeaseReply {
        /// The round answered.
        pub round: Round,
        /// What the seed decided.
        pub vote: Vote,
    }

    /// What a seed decided on a request.
    #[derive(Hash)]
    pub enum Vote {
        /// The lease is the candidate's for [`LEASE_TERM`].
        Granted,
        /// Another holds it; there is no use in asking earlier than after this time.
        Held(Duration),
        /// The candidate's shares are older than these, which the data centre has confirmed.
        StaleShares(ShareVersion),
        /// The seed restarted and has not yet learnt what it may have forgotten.
        Recovering(Duration),
    }
}

impl Candidate {
    /// Names one life of a process that may be the steward.
    pub fn new(name: impl Into<ProcessName>, incarnation: Incarnation) -> Self {
        Candidate {
            name: name.into(),
            incarnation,
        }
    }
}
