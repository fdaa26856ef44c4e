use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use nutmegwheel_types::{ProcessName, plain};

use super::{Candidate, LEASE_TERM, LeaseRelease, LeaseReply, LeaseRequest, Round, Vote};
use crate::share::ShareVersion;

plain! {
    /// The parameters of a [`Voter`].
    #[derive(Hash)]
    pub struct Options {
        /// The number of seeds of the data centre, this one included.
        pub seeds: usize,
        /// The time at which the process started.
        pub now: Instant,
    }

    /// The state by which a seed votes on the token server lease. It is kept in memory only.
    ///
    /// After a restart, a seed grants nothing until every lease that it may have granted before has
    /// expired, and until it knows the newest version of the shares that its data centre may have
    /// confirmed with its vote.
    #[derive(Hash)]
    pub struct Voter {
        majority: usize,
        earliest_grant_at: Instant,
        grant: Option<Grant>,
        shares: ShareVersion,
        reporting_peers: BTreeSet<ProcessName>,
        knows_shares: bool,
    }

    #[derive(Hash)]
    struct Grant {
        candidate: Candidate,
        round: Round,
        expiry: Instant,
    }
}

impl Voter {
    /// Creates the voter of a seed that has just started.
    #[must_use]
    pub fn open(options: &Options) -> Self {
        Voter {
            majority: options.seeds / 2 + 1,
            earliest_grant_at: options.now + LEASE_TERM,
            grant: None,
            shares: 0,
            reporting_peers: BTreeSet::new(),
            knows_shares: false,
        }
    }

    /// Records the newest version of the shares that another seed reported. That seed must not be
    /// recovering itself.
    ///
    /// This seed knows the newest version when a majority of the seeds, not counting this one, has
    /// reported: that majority intersects every majority that this seed was ever part of.
    pub fn record_peer_shares(&mut self, peer: &ProcessName, shares: ShareVersion) {
        self.shares = self.shares.max(shares);
        self.reporting_peers.insert(peer.clone());
        self.knows_shares |= self.reporting_peers.len() >= self.majority;
    }

    /// Records the version of the shares in a renewal, which the control leader sends under its
    /// lease.
    ///
    /// It is at least as new as any version that this data centre has confirmed. A seed that
    /// already knows a version ignores it, so that a token server that control cannot reach keeps
    /// its lease.
    pub fn record_control_shares(&mut self, shares: ShareVersion) {
        if self.knows_shares {
            return;
        }
        self.shares = self.shares.max(shares);
        self.knows_shares = true;
    }
}

impl Voter {
    /// The version of the shares to report to a recovering seed, or `None` while this seed does not
    /// know it.
    #[must_use]
    pub fn known_shares(&self) -> Option<ShareVersion> {
        self.knows_shares.then_some(self.shares)
    }

    /// Whether the seed grants nothing yet, since it may have forgotten a lease or the version of
    /// the shares.
    #[must_use]
    pub fn is_recovering(&self, now: Instant) -> bool {
        now < self.earliest_grant_at || !self.knows_shares
    }

    /// The candidate that holds this seed's grant.
    #[must_use]
    pub fn holder(&self, now: Instant) -> Option<&Candidate> {
        self.grant
            .as_ref()
            .filter(|g| now < g.expiry)
            .map(|g| &g.candidate)
    }
}

impl Voter {
    /// Handles a request for the lease or its renewal.
    pub fn on_request(&mut self, req: &LeaseRequest, now: Instant) -> LeaseReply {
        let vote = self.vote(req, now);
        if vote == Vote::Granted {
            self.shares = req.shares;
            self.grant = Some(Grant {
                candidate: req.candidate.clone(),
                round: req.round,
                expiry: now + LEASE_TERM,
            });
        }
        LeaseReply {
            round: req.round,
            vote,
        }
    }

    /// Releases a grant before it expires, unless a later round of the same candidate renewed it.
    pub fn release(&mut self, release: &LeaseRelease) {
        self.grant
            .take_if(|g| g.candidate == release.candidate && g.round <= release.round);
    }

    fn vote(&self, req: &LeaseRequest, now: Instant) -> Vote {
        if self.is_recovering(now) {
            return Vote::Recovering(self.earliest_grant_at.saturating_duration_since(now));
        }
        if req.shares < self.shares {
            return Vote::StaleShares(self.shares);
        }
        match &self.grant {
            Some(g) if g.candidate != req.candidate && now < g.expiry => Vote::Held(g.expiry - now),
            Some(g) if g.candidate == req.candidate && req.round < g.round => {
                Vote::Held(Duration::ZERO)
            }
            _ => Vote::Granted,
        }
    }
}
