//! The state machine of an ingress node that claims a request at the seeds.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use bytes::Bytes;
use nutmegwheel_types::{Incarnation, ProcessName, RequestId, plain};

use crate::{
    AttemptId, Phase, SeedGeneration, Target,
    messages::{ClaimReply, ClaimRequest, Update, Vote},
};

/// How long an ingress node waits for the grants of a majority of the seeds.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);

plain! {
    /// The parameters of a claim.
    #[derive(Hash)]
    pub struct Options {
        /// The id of the request to be run.
        pub id: RequestId,
        /// The attempt for which the request is claimed.
        pub attempt: AttemptId,
        /// The node at which the attempt would run.
        pub target: Target,
        /// An earlier attempt of this ingress node, if any, that is known not to have run.
        pub replaces: Option<AttemptId>,
        /// The seeds of the home data centre.
        pub seeds: BTreeSet<ProcessName>,
        /// The generation of the list in `seeds`.
        pub generation: SeedGeneration,
        /// The time at which the claim begins; it times out [`CLAIM_TIMEOUT`] later.
        pub now: Instant,
    }

    /// A claim of one attempt. Once it is decided, the decision is final.
    #[derive(Hash)]
    pub struct Claim {
        options: Options,
        replies: BTreeMap<ProcessName, ClaimReply>,
        state: State,
    }

    /// The state of a claim.
    #[derive(Hash)]
    pub enum State {
        /// The seeds have not decided yet.
        Pending,
        /// A majority granted the claim: the attempt may be sent to its target, and only there.
        Held,
        /// The attempt must not run. Send [`Claim::released_update`] to every seed, since some may
        /// have granted the claim.
        Refused(ClaimRefusal),
    }

    /// Why an attempt must not run.
    #[derive(Hash)]
    pub enum ClaimRefusal {
        /// This other attempt may be running; the caller may ask its target to fence it.
        InProgress(AttemptId, Target),
        /// The request has run; contains its stored answer.
        Replay(Bytes),
        /// The request has run, but its answer is not stored.
        AlreadyRun,
        /// No majority of the seeds decided: some did not reply, are recovering, or use another
        /// seed list.
        Unavailable,
        /// The seeds have no room for another claim.
        Full,
    }
}

impl Claim {
    /// Begins a claim, and returns it with the request to send to every seed of the home data
    /// centre.
    #[must_use]
    pub fn open(options: Options) -> (Self, ClaimRequest) {
        let req = ClaimRequest {
            generation: options.generation,
            id: options.id,
            attempt: options.attempt.clone(),
            target: options.target.clone(),
            replaces: options.replaces.clone(),
        };
        (
            Claim {
                options,
                replies: BTreeMap::new(),
                state: State::Pending,
            },
            req,
        )
    }

    /// Handles a seed's reply, and returns the resulting state. Replies after the decision, about
    /// other attempts or from unknown seeds are ignored.
    pub fn handle_reply(&mut self, seed: &ProcessName, reply: ClaimReply, now: Instant) -> &State {
        let is_own = reply.attempt == self.options.attempt && self.options.seeds.contains(seed);
        if self.state == State::Pending && is_own {
            self.replies.insert(seed.clone(), reply);
            self.decide(now);
        }
        &self.state
    }

    /// Refuses the claim if its [`deadline`](Self::deadline) has passed without a decision.
    pub fn tick(&mut self, now: Instant) -> &State {
        if self.state == State::Pending {
            self.decide(now);
        }
        &self.state
    }

    fn decide(&mut self, now: Instant) {
        let majority = self.options.seeds.len() / 2 + 1;
        let is_complete = self.replies.len() == self.options.seeds.len();
        let is_done = self.votes().any(|v| matches!(v, Vote::Done(_)));
        if let Some(answer) = self.replies.values().find_map(stored_answer) {
            self.state = State::Refused(ClaimRefusal::Replay(answer));
        } else if now >= self.deadline() || is_complete && is_done {
            self.state = State::Refused(self.refusal());
        } else if is_done {
            // Another seed may still return the stored answer.
        } else if self.valid_grants() >= majority {
            self.state = State::Held;
        } else if is_complete || self.rejections() >= majority {
            self.state = State::Refused(self.refusal());
        }
    }

    /// Returns the most specific reason that the replies give for refusing the claim.
    fn refusal(&self) -> ClaimRefusal {
        if self.votes().any(|v| matches!(v, Vote::Done(_))) {
            return ClaimRefusal::AlreadyRun;
        }
        let busy = self.votes().find_map(|v| match v {
            Vote::Busy(attempt, target) => Some((attempt.clone(), target.clone())),
            _ => None,
        });
        match busy {
            Some((attempt, target)) => ClaimRefusal::InProgress(attempt, target),
            None if self.votes().any(|v| *v == Vote::Full) => ClaimRefusal::Full,
            None => ClaimRefusal::Unavailable,
        }
    }
}

impl Claim {
    /// The current state of the claim.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The time from which on [`Self::tick`] refuses the claim if it is still pending.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.options.now + CLAIM_TIMEOUT
    }

    /// Builds the update that reports to every seed that the attempt was sent to its target.
    #[must_use]
    pub fn running_update(&self) -> Update {
        self.update(Phase::Running(self.options.target.clone()))
    }

    /// Builds the update that reports to every seed that the attempt ran. It omits an answer larger
    /// than [`crate::MAX_STORED_ANSWER_BYTES`].
    #[must_use]
    pub fn done_update(&self, answer: Option<Bytes>) -> Update {
        self.update(Phase::Done(
            answer.filter(|a| a.len() <= crate::MAX_STORED_ANSWER_BYTES),
        ))
    }

    /// Builds the update that reports to every seed that the attempt did not run and never will.
    ///
    /// It may be sent only in one of these cases: the claim was refused, the attempt was not sent,
    /// the target refused it before starting it, or the target fenced it and replied that it did
    /// not run.
    #[must_use]
    pub fn released_update(&self) -> Update {
        self.update(Phase::Released)
    }

    fn update(&self, phase: Phase) -> Update {
        Update {
            id: self.options.id,
            attempt: self.options.attempt.clone(),
            phase,
        }
    }

    /// Counts the grants, except those of seeds that, according to other replies, have restarted
    /// since.
    fn valid_grants(&self) -> usize {
        let granted = self.replies.iter().filter(|(_, r)| r.vote == Vote::Granted);
        granted
            .filter(|(seed, r)| self.newest_incarnation(seed) == r.incarnation)
            .count()
    }

    fn votes(&self) -> impl Iterator<Item = &Vote> {
        self.replies.values().map(|r| &r.vote)
    }

    fn rejections(&self) -> usize {
        self.replies
            .values()
            .filter(|r| r.vote != Vote::Granted)
            .count()
    }

    fn newest_incarnation(&self, seed: &ProcessName) -> Incarnation {
        let own = self.replies.get(seed).map(|r| r.incarnation);
        let reported = self
            .replies
            .values()
            .filter_map(|r| r.peers.get(seed).copied());
        reported.chain(own).max().unwrap_or_default()
    }
}

fn stored_answer(reply: &ClaimReply) -> Option<Bytes> {
    match &reply.vote {
        Vote::Done(answer) => answer.clone(),
        _ => None,
    }
}
