//! The leader's lease: the time in which no other leader can have been elected.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::Options;
use crate::types::{Round, Term};

/// The rounds that may wait for their quorum; older ones extend the lease no more.
const MAX_ROUNDS: usize = 64;

/// Until when this leader is known to be the only one.
///
/// A follower that answered a round does not help to elect another leader for an election timeout
/// by its own clock, counted from a moment after the round began. So the lease counts from the
/// beginning of the newest round that a quorum has answered, and is shorter by the clock drift.
pub(super) struct Lease {
    length: Duration,
    term: Term,
    rounds: VecDeque<(Round, Instant)>,
    until: Option<Instant>,
}

impl Lease {
    pub(super) fn new(options: &Options) -> Self {
        let drift = f64::from(options.max_drift_percent) / 100.0;
        let shortened = (1.0 - drift) / (1.0 + drift);
        Self {
            length: options.election_timeout.mul_f64(shortened),
            term: 0,
            rounds: VecDeque::new(),
            until: None,
        }
    }

    pub(super) fn holds(&self, term: Term, now: Instant) -> bool {
        self.term == term && self.until.is_some_and(|until| now < until)
    }

    pub(super) fn begin_round(&mut self, term: Term, round: Round, now: Instant) {
        if self.term != term {
            self.term = term;
            self.rounds.clear();
            self.until = None;
        }
        if self.rounds.len() == MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back((round, now));
    }

    /// Extends the lease and returns when the confirmed round began.
    pub(super) fn confirm_round(&mut self, term: Term, round: Round) -> Option<Instant> {
        if self.term != term {
            return None;
        }
        let mut begun = None;
        while let Some((_, at)) = self.rounds.pop_front_if(|(r, _)| *r <= round) {
            begun = Some(at);
        }
        let begun = begun?;
        self.until = self.until.max(Some(begun + self.length));
        Some(begun)
    }
}
