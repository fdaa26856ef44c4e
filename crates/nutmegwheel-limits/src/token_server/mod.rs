//! The token server of a data centre: the one process that grants its tokens to the ingress nodes.
//!
//! Every process that may be elected runs a [`TokenServer`], which competes for the lease and
//! grants tokens only while it holds it. A new token server starts with empty buckets after the
//! previous lease has expired, and no batch outlives the lease under which it was granted; see
//! docs/spec/SHARES.md.

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

/// The longest term of a batch of tokens.
pub const BATCH_TERM: Duration = Duration::from_secs(2);
/// The interval at which the shares are renewed at the control leader.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

plain! {
    /// The parameters of a [`TokenServer`].
    #[derive(Hash)]
    pub struct Options {
        /// This incarnation of the process.
        pub candidate: Candidate,
        /// The data centre of the process.
        pub data_centre: DataCentreId,
        /// The number of seeds of the data centre.
        pub seeds: usize,
        /// The time at which the process starts.
        pub now: Instant,
    }

    /// The token server of a data centre, or a candidate for that role.
    #[derive(Hash)]
    pub struct TokenServer {
        holder: Holder,
        shares: LeasedShares,
        ledgers: BTreeMap<WorkspaceId, Ledger>,
        last_seq: BTreeMap<IngressId, RequestSeq>,
        next_renewal_at: Instant,
        is_stopping: bool,
    }

    /// A message that [`TokenServer::poll`] returns for sending.
    pub enum Output {
        /// A lease request to every seed of the data centre, this process included.
        Lease(LeaseRequest),
        /// A release of the lease to every seed of the data centre.
        Release(LeaseRelease),
        /// A renewal request to the control leader.
        Renewal(RenewalRequest),
    }
}

/// Why a token request was not answered.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The process does not hold the lease, or holds it with shares that are out of date.
    #[error("answer token request {seq} of {ingress}: this process is not the token server")]
    NotTokenServer {
        /// The ingress node that sent the request.
        ingress: ProcessName,
        /// The sequence number of the request.
        seq: RequestSeq,
    },
}

impl TokenServer {
    /// Creates a token server that holds no lease and knows no shares.
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

    /// Stops granting tokens. The lease is released when no batch is outstanding any more.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }
}

impl TokenServer {
    /// Whether this process holds the lease, even if it is stopping or its shares are outdated.
    #[must_use]
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.holder.is_valid(now)
    }

    /// Whether this process answers token requests: it holds the lease, knows the newest shares
    /// that the seeds reported and is not stopping.
    #[must_use]
    pub fn is_serving(&self, now: Instant) -> bool {
        let knows_newest =
            self.shares.version() > 0 && self.shares.version() >= self.holder.newest_seen_shares();
        self.holder.is_valid(now) && knows_newest && !self.is_stopping
    }

    /// The state of the lease at this process.
    #[must_use]
    pub fn lease(&self) -> &Holder {
        &self.holder
    }

    /// This process's copy of the shares.
    #[must_use]
    pub fn shares(&self) -> &LeasedShares {
        &self.shares
    }
}
