//! The token server lease, which a majority of a data centre's seeds grants to one process.
//!
//! Only monotonic clocks are used: a seed counts the term from when it grants, the holder counts a
//! shortened term from when it sent the request. See docs/spec/SHARES.md.

mod holder;
mod voter;

use std::time::Duration;

use nutmegwheel_types::{Incarnation, ProcessName, plain};

use crate::share::ShareVersion;

pub use holder::{Holder, Options as HolderOptions, RoundOutcome};
pub use voter::{Options as VoterOptions, Voter};

/// The term for which a seed grants the lease.
pub const LEASE_TERM: Duration = Duration::from_secs(3);
/// The interval of the holder's renewals, and the shortest interval of a candidate's requests.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// The number of a candidate's request, by which replies to earlier requests are recognized.
pub type Round = u64;

plain! {
    /// One incarnation of a process that may hold the lease.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Candidate {
        /// The name of the process.
        pub name: ProcessName,
        /// The incarnation. A restarted process is another candidate, which has to wait until the
        /// lease of its earlier incarnation has expired.
        pub incarnation: Incarnation,
    }

    /// A request to a seed for the lease or its renewal.
    #[derive(Hash)]
    pub struct LeaseRequest {
        /// The requesting candidate.
        pub candidate: Candidate,
        /// The number of the request.
        pub round: Round,
        /// The version of the shares from which the candidate would grant tokens.
        pub shares: ShareVersion,
    }

    /// A message that releases the grants of a round without a majority, or of a holder that stops.
    #[derive(Hash)]
    pub struct LeaseRelease {
        /// The candidate that releases its grants.
        pub candidate: Candidate,
        /// The last released round; grants of later rounds stay.
        pub round: Round,
    }

    /// A seed's reply to a [`LeaseRequest`].
    #[derive(Hash)]
    pub struct LeaseReply {
        /// The number of the request that the seed replies to.
        pub round: Round,
        /// The seed's decision.
        pub vote: Vote,
    }

    /// A seed's decision on a [`LeaseRequest`].
    #[derive(Hash)]
    pub enum Vote {
        /// The seed grants the lease for [`LEASE_TERM`].
        Granted,
        /// Another candidate holds the lease, or a later round of this one does. The next request
        /// can succeed after this time at the earliest.
        Held(Duration),
        /// The candidate's shares are older than this version, which the data centre may have
        /// confirmed.
        StaleShares(ShareVersion),
        /// The seed restarted and grants nothing yet, since it may have forgotten a lease or the
        /// version of the shares. This is the time left until no forgotten lease is valid.
        Recovering(Duration),
    }
}

impl Candidate {
    /// Creates the identity of one incarnation of a process that may hold the lease.
    pub fn new(name: impl Into<ProcessName>, incarnation: Incarnation) -> Self {
        Candidate {
            name: name.into(),
            incarnation,
        }
    }
}
