//! The leader lease: the time during which no other leader can be elected.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::Options;
use crate::types::{Round, Term};

/// The maximum number of rounds that await a quorum. Beyond it, the oldest round is dropped and can
/// no longer extend the lease.
const MAX_ROUNDS: usize = 64;

/// The lease during which this leader is known to be the only one.
///
/// A follower that answers a round grants no vote to another replica for one election timeout on
/// its clock, which starts after the round did. The lease is therefore valid from the start of the
/// newest round that a quorum has answered, for an election timeout shortened by the maximum clock
/// drift.
pub(super) struct Lease {
    duration: Duration,
    term: Term,
    rounds: VecDeque<(Round, Instant)>,
    expires_at: Option<Instant>,
}

impl Lease {
    pub(super) fn new(options: &Options) -> Self {
        let drift = f64::from(options.max_drift_percent) / 100.0;
        let shortened = (1.0 - drift) / (1.0 + drift);
        Self {
            duration: options.election_timeout.mul_f64(shortened),
            term: 0,
            rounds: VecDeque::new(),
            expires_at: None,
        }
    }

    pub(super) fn is_valid(&self, term: Term, now: Instant) -> bool {
        self.term == term && self.expires_at.is_some_and(|at| now < at)
    }

    pub(super) fn start_round(&mut self, term: Term, round: Round, now: Instant) {
        if self.term != term {
            self.term = term;
            self.rounds.clear();
            self.expires_at = None;
        }
        if self.rounds.len() == MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back((round, now));
    }

    /// Extends the lease after a quorum has answered `round`, and returns when that round started.
    pub(super) fn confirm_round(&mut self, term: Term, round: Round) -> Option<Instant> {
        if self.term != term {
            return None;
        }
        let mut started_at = None;
        while let Some((_, at)) = self.rounds.pop_front_if(|(r, _)| *r <= round) {
            started_at = Some(at);
        }
        let started_at = started_at?;
        self.expires_at = self.expires_at.max(Some(started_at + self.duration));
        Some(started_at)
    }
}
