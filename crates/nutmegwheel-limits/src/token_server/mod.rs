//! The steward of a data centre: the one process that hands out its tokens to the doors.
//!
//! Every process that may be the steward runs a [`TokenServer`], which takes part in the lease and grants
//! only while it holds it. A new steward starts with empty buckets once the old lease is over, and
//! every batch ends with the lease under which it was granted; see docs/spec/SHARES.md.

mod ledger;
mod protocol;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use nutmegwheel_types::{DataCentreId, ProcessName, WorkspaceId, plain};

use crate::{
    lease::{Candidate, Holder, HolderOptions, LeaseRelease, LeaseRequest},
    messages::{IngressId, RequestSeq},
    share::{LeasedShares, RenewalRequest},
};
use ledger::Ledger;

/// How long a batch of tokens lasts at most.
pub const BATCH_TERM: Duration = Duration::from_secs(2);
/// How often the shares are renewed at the control leader.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

plain! {
    /// How a possible steward begins.
    #[derive(Hash)]
    pub struct Options {
        /// This life of the process.
        pub candidate: Candidate,
        /// Its data centre.
        pub data_centre: DataCentreId,
        /// The number of seeds of the data centre.
        pub seeds: usize,
        /// The time at which it begins.
        pub now: Instant,
    }

    /// A process that is the steward or may become it.
    #[derive(Hash)]
    pub struct TokenServer {
        holder: Holder,
        shares: LeasedShares,
        ledgers: BTreeMap<WorkspaceId, Ledger>,
        last_seq: BTreeMap<IngressId, RequestSeq>,
        next_renewal_at: Instant,
        is_stopping: bool,
    }

    /// What [`TokenServer::poll`] wants to be sent.
    pub enum Output {
        /// To every seed of the data centre, the own process included.
        Lease(LeaseRequest),
        /// To every seed of the data centre.
        Release(LeaseRelease),
        /// To the control leader.
        Renewal(RenewalRequest),
    }
}

/// Why an ask was not answered.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The process does not hold the lease, or holds it with shares that are out of date.
    #[error(
        "token request {seq} from {ingress}: this process does not hold the token server lease"
    )]
    NotTokenServer {
        /// The door that asked.
        ingress: ProcessName,
        /// The number of its message.
        seq: RequestSeq,
    },
}

/// Lifecycle.
impl TokenServer {
    /// A process that holds no lease and knows no shares.
    #[must_use]
    pub fn open(options: Options) -> Self {
        TokenServer {
            holder: Holder::open(HolderOptions {
                candidate: options.candidate,
                seeds: options.seeds,
                now: options.now,
            }),
            shares: LeasedShares::open(options.data_centre),
            ledgers: BTreeMap::new(),
            last_seq: BTreeMap::new(),
            next_renewal_at: options.now,
            is_stopping: false,
        }
    }

    /// Grants nothing more, and releases the lease once no batch is out.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }
}

/// Access.
impl TokenServer {
    /// Whether it holds the lease, be it that it answers asks or stops.
    #[must_use]
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.holder.is_valid(now)
    }

    /// Whether it answers asks now.
    #[must_use]
    pub fn is_serving(&self, now: Instant) -> bool {
        let knows_newest =
            self.shares.version() > 0 && self.shares.version() >= self.holder.newest_seen_shares();
        self.holder.is_valid(now) && knows_newest && !self.is_stopping
    }

    /// The lease as this process sees it.
    #[must_use]
    pub fn lease(&self) -> &Holder {
        &self.holder
    }

    /// The shares as this process knows them.
    #[must_use]
    pub fn shares(&self) -> &LeasedShares {
        &self.shares
    }
}
