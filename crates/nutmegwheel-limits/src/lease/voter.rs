use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use nutmegwheel_types::{ProcessName, plain};

use super::{Candidate, LEASE_TERM, LeaseRelease, LeaseReply, LeaseRequest, Round, Vote};
use crate::share::ShareVersion;

plain! {
    /// How a seed begins its life.
    #[derive(Hash)]
    pub struct Options {
        /// The number of seeds of the data centre, this one included.
        pub seeds: usize,
        /// The time at which the process started.
        pub now: Instant,
    }

    /// The part of a seed that grants the steward's lease; it lives in memory only.
    ///
    /// A new life grants nothing before the longest lease it may have forgotten is over, and before it
    /// knows the newest shares that its data centre may have confirmed with its help.
    #[derive(Hash)]
    pub struct Voter {
        majority: usize,
        earliest_grant_at: Instant,
        grant: Option<Grant>,
        shares: ShareVersion,
        peers_heard: BTreeSet<ProcessName>,
        knows_shares: bool,
    }

    #[derive(Hash)]
    struct Grant {
        candidate: Candidate,
        round: Round,
        expiry: Instant,
    }
}

/// Lifecycle.
impl Voter {
    /// Starts a seed that has forgotten everything.
    #[must_use]
    pub fn open(options: &Options) -> Self {
        Voter {
            majority: options.seeds / 2 + 1,
            earliest_grant_at: options.now + LEASE_TERM,
            grant: None,
            shares: 0,
            peers_heard: BTreeSet::new(),
            knows_shares: false,
        }
    }

    /// Takes in the newest version that another seed knows, when that seed is not recovering itself.
    ///
    /// A majority counted without this seed meets every majority that it was ever part of.
    pub fn learn_from_peer(&mut self, peer: &ProcessName, shares: ShareVersion) {
        self.shares = self.shares.max(shares);
        self.peers_heard.insert(peer.clone());
        self.knows_shares |= self.peers_heard.len() >= self.majority;
    }

    /// Takes in the version of the shares that the control leader answered with under its own lease.
    ///
    /// It is at least as new as anything that this data centre has confirmed. A seed that has nothing
    /// to recover ignores it, so that a steward that control cannot reach keeps its lease.
    pub fn learn_from_control(&mut self, shares: ShareVersion) {
        if self.knows_shares {
            return;
        }
        self.shares = self.shares.max(shares);
        self.knows_shares = true;
    }
}

/// Access.
impl Voter {
    /// What to tell another seed that recovers, or `None` while this one recovers itself.
    #[must_use]
    pub fn known_shares(&self) -> Option<ShareVersion> {
        self.knows_shares.then_some(self.shares)
    }

    /// Whether this seed still waits out what it may have forgotten, and so grants nothing.
    #[must_use]
    pub fn is_recovering(&self, now: Instant) -> bool {
        now < self.earliest_grant_at || !self.knows_shares
    }

    /// Who holds this seed's grant now.
    #[must_use]
    pub fn holder(&self, now: Instant) -> Option<&Candidate> {
        self.grant
            .as_ref()
            .filter(|g| now < g.expiry)
            .map(|g| &g.candidate)
    }
}

/// Requests.
impl Voter {
    /// Decides on a request for the lease.
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

    /// Ends a grant early, unless a later round of the same candidate renewed it.
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
