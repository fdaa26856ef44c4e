use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use nutmegwheel_types::{ProcessName, plain};

use super::{
    Candidate, LEASE_TERM, LeaseRelease, LeaseReply, LeaseRequest, RENEW_INTERVAL, Round, Vote,
};
use crate::{share::ShareVersion, shorten_for_drift};

plain! {
    /// The parameters of a [`Holder`].
    #[derive(Hash)]
    pub struct Options {
        /// This incarnation of the process.
        pub candidate: Candidate,
        /// The number of seeds of the data centre.
        pub seeds: usize,
        /// The time at which the process starts.
        pub now: Instant,
    }

    /// The token server lease, as seen by its holder or by a candidate for it.
    #[derive(Hash)]
    pub struct Holder {
        candidate: Candidate,
        majority: usize,
        round: Round,
        sent: Instant,
        sent_shares: ShareVersion,
        granted: BTreeSet<ProcessName>,
        expires_at: Option<Instant>,
        newest_seen_shares: ShareVersion,
        quorum_shares: ShareVersion,
        next_round_at: Instant,
    }

    /// The state of the current round after a seed's reply.
    pub enum RoundOutcome {
        /// The round has no majority yet, or reached it too late.
        Pending,
        /// The candidate acquired the lease; its token server starts with empty buckets.
        Acquired,
        /// The holder renewed the lease.
        Renewed,
    }
}

impl Holder {
    /// Creates a candidate that does not hold the lease.
    #[must_use]
    pub fn open(options: Options) -> Self {
        Holder {
            candidate: options.candidate,
            majority: options.seeds / 2 + 1,
            round: 0,
            sent: options.now,
            sent_shares: 0,
            granted: BTreeSet::new(),
            expires_at: None,
            newest_seen_shares: 0,
            quorum_shares: 0,
            next_round_at: options.now,
        }
    }

    /// Starts a round and returns its request, which must be sent to every seed of the data centre.
    pub fn begin_round(&mut self, shares: ShareVersion, now: Instant) -> LeaseRequest {
        self.round += 1;
        self.sent = now;
        self.sent_shares = shares;
        self.granted.clear();
        self.next_round_at = now + RENEW_INTERVAL;
        LeaseRequest {
            candidate: self.candidate.clone(),
            round: self.round,
            shares,
        }
    }

    /// Handles a seed's reply. Replies to earlier rounds are ignored.
    pub fn on_reply(
        &mut self,
        seed: &ProcessName,
        reply: &LeaseReply,
        now: Instant,
    ) -> RoundOutcome {
        if reply.round != self.round {
            return RoundOutcome::Pending;
        }
        match reply.vote {
            Vote::Granted => self.count_grant(seed, now),
            Vote::StaleShares(newest) => {
                self.newest_seen_shares = self.newest_seen_shares.max(newest);
                RoundOutcome::Pending
            }
            Vote::Held(wait) if !self.is_valid(now) && !wait.is_zero() => {
                self.next_round_at = self.next_round_at.min(now + wait);
                RoundOutcome::Pending
            }
            Vote::Held(_) | Vote::Recovering(_) => RoundOutcome::Pending,
        }
    }

    /// Abandons the current round and the lease, and returns the message for every seed.
    ///
    /// A candidate sends it after a split vote, so that its grants do not block other candidates
    /// for a whole term. A holder sends it only when none of its batches is valid any more.
    pub fn release(&mut self) -> LeaseRelease {
        let release = LeaseRelease {
            candidate: self.candidate.clone(),
            round: self.round,
        };
        self.round += 1;
        self.granted.clear();
        self.expires_at = None;
        release
    }

    /// Postpones the next round by `jitter`, so that competing candidates do not split the vote
    /// again.
    pub fn delay(&mut self, jitter: Duration) {
        self.next_round_at += jitter;
    }

    fn count_grant(&mut self, seed: &ProcessName, now: Instant) -> RoundOutcome {
        self.granted.insert(seed.clone());
        if self.granted.len() < self.majority {
            return RoundOutcome::Pending;
        }
        let expires_at = self.sent + shorten_for_drift(LEASE_TERM);
        if now >= expires_at {
            return RoundOutcome::Pending;
        }
        let renewed = self.is_valid(now);
        self.expires_at = Some(expires_at);
        self.quorum_shares = self.sent_shares;
        if renewed {
            RoundOutcome::Renewed
        } else {
            RoundOutcome::Acquired
        }
    }
}

impl Holder {
    /// Whether the lease is held now.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|until| now < until)
    }

    /// The time until the lease expires.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Duration {
        self.expires_at
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// When the next round is due, to renew the lease or to acquire it.
    #[must_use]
    pub fn next_round_at(&self) -> Instant {
        self.next_round_at
    }

    /// Whether the current round has some grants but no majority, so that they should be released.
    #[must_use]
    pub fn is_split(&self, now: Instant) -> bool {
        !self.is_valid(now) && !self.granted.is_empty() && self.granted.len() < self.majority
    }

    /// The newest version of the shares that a seed has reported in [`Vote::StaleShares`].
    #[must_use]
    pub fn newest_seen_shares(&self) -> ShareVersion {
        self.newest_seen_shares
    }

    /// The version of the shares that a majority of the seeds has recorded.
    ///
    /// Only this version may be confirmed to the control leader, because the seeds grant the lease
    /// to no later token server with older shares.
    #[must_use]
    pub fn quorum_shares(&self) -> ShareVersion {
        self.quorum_shares
    }
}
