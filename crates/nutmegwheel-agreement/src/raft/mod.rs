//! The Raft state machine of one replica, without clocks, randomness or I/O. The caller supplies
//! timers and storage, passes in events and carries out the returned effects.
//!
//! The whole state can be cloned, compared and hashed, so that a model checker can run this code
//! itself. The caller must sync [`Effects::writes`] before it carries out any other effect; see
//! docs/spec/AGREEMENT.md.

mod bootstrap;
mod effects;
mod election;
mod event;
mod leader;
mod membership;
mod reads;
mod replication;
mod snapshot;

use std::{collections::BTreeMap, sync::Arc};

use nutmegwheel_types::{Incarnation, plain};

pub use self::{
    effects::{Committed, Effects, Notice, RefusalReason, Refused},
    event::{Change, Event, Limits, Setup},
};
use self::{leader::Leader, snapshot::PartialSnapshot};
use crate::{
    log::Log,
    message::{Body, Message},
    storage::{Stored, Write},
    types::{
        ClusterId, HardState, LogIndex, Membership, Payload, Position, ReplicaId, ReplicaName,
        Snapshot, Term,
    },
};

plain! {
    /// The role of a replica in its term, with the state of that role.
    #[derive(Hash)]
    pub(crate) enum Role {
        /// Follows the leader of its term, if it knows one.
        Follower { leader: Option<ReplicaId> },
        /// Sends pre-votes to find out whether it could win an election, without raising its term.
        PreCandidate { granted: Vec<ReplicaId> },
        /// Requests votes in its term.
        Candidate { granted: Vec<ReplicaId> },
        /// Leads its term.
        Leader(Leader),
    }

    /// The role of a replica as shown in status and events.
    #[derive(Copy, Hash)]
    pub enum RoleName {
        /// The replica is not a member in any membership that it knows.
        Outsider,
        /// The replica receives the log and does not vote.
        Learner,
        /// The replica follows a leader or waits until one is elected.
        Follower,
        /// The replica sends pre-votes to find out whether it could win an election.
        PreCandidate,
        /// The replica requests votes.
        Candidate,
        /// The replica is the leader of its term.
        Leader,
    }

    /// The Raft state machine of one replica.
    #[derive(Hash)]
    pub struct Core {
        setup: Setup,
        hard_state: HardState,
        hard_state_changed: bool,
        log: Log,
        snapshot: Option<Arc<Snapshot>>,
        snapshot_requested: bool,
        commit: LogIndex,
        membership: Membership,
        membership_index: LogIndex,
        role: Role,
        fresh_peers: BTreeMap<ReplicaName, Incarnation>,
        incoming_snapshot: Option<PartialSnapshot>,
        effects: Effects,
    }
}

impl Core {
    /// Returns the replica's name and incarnation.
    #[must_use]
    pub fn id(&self) -> &ReplicaId {
        &self.setup.id
    }

    /// Returns the highest term seen.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the cluster that the replica belongs to, if it has joined or bootstrapped one.
    #[must_use]
    pub fn cluster(&self) -> Option<ClusterId> {
        self.hard_state.cluster
    }

    /// Returns the index up to which the log is known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Returns the entries after the last snapshot.
    #[must_use]
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the newest snapshot.
    #[must_use]
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Returns the newest membership in the log, committed or not.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns whether this replica leads its term.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the leader of the current term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<&ReplicaId> {
        match &self.role {
            Role::Follower { leader } => leader.as_ref(),
            Role::Leader(_) => Some(self.id()),
            Role::PreCandidate { .. } | Role::Candidate { .. } => None,
        }
    }

    /// Returns the current role.
    #[must_use]
    pub fn role(&self) -> RoleName {
        match &self.role {
            Role::Leader(_) => RoleName::Leader,
            Role::PreCandidate { .. } => RoleName::PreCandidate,
            Role::Candidate { .. } => RoleName::Candidate,
            Role::Follower { .. } if self.is_voter() => RoleName::Follower,
            Role::Follower { .. } if self.membership.contains(self.id()) => RoleName::Learner,
            Role::Follower { .. } => RoleName::Outsider,
        }
    }

    fn is_voter(&self) -> bool {
        self.membership.voters.contains(self.id())
    }
}

impl Core {
    /// Creates a follower from its stored state, without a known leader.
    #[must_use]
    pub fn open(setup: Setup, stored: Stored) -> Self {
        let base = stored.log.base().index;
        let mut core = Self {
            setup,
            hard_state: stored.hard_state,
            hard_state_changed: false,
            log: stored.log,
            snapshot: stored.snapshot,
            snapshot_requested: false,
            commit: base,
            membership: Membership::default(),
            membership_index: 0,
            role: Role::Follower { leader: None },
            fresh_peers: BTreeMap::new(),
            incoming_snapshot: None,
            effects: Effects::default(),
        };
        core.load_membership();
        core
    }

    /// Handles an event and returns its effects.
    pub fn step(&mut self, event: Event) -> Effects {
        match event {
            Event::ElectionTimeout => self.on_election_timeout(),
            Event::Campaign => self.campaign(),
            Event::Heartbeat => self.on_heartbeat(),
            Event::QuorumLost => self.on_quorum_lost(),
            Event::Propose { id, command } => self.on_propose(id, command),
            Event::Read { id } => self.on_read(id),
            Event::Change(change) => self.on_change(&change),
            Event::Snapshot { index, data } => self.on_snapshot(index, data),
            Event::Message {
                message,
                leader_alive,
            } => self.on_message(message, leader_alive),
        }
        self.advance_membership();
        self.request_snapshot();
        self.take_effects()
    }

    fn take_effects(&mut self) -> Effects {
        if std::mem::take(&mut self.hard_state_changed) {
            let hard_state = Write::HardState(self.hard_state.clone());
            self.effects.writes.insert(0, hard_state);
        }
        std::mem::take(&mut self.effects)
    }
}

impl Core {
    fn on_message(&mut self, message: Message, leader_alive: bool) {
        if !self.is_addressee(&message) {
            return;
        }
        if self.on_bootstrap_message(&message) {
            return;
        }
        if !self.is_same_cluster(&message) || self.is_disruptive(&message, leader_alive) {
            return;
        }
        self.adopt_cluster(&message);
        self.update_term(&message);
        if message.term < self.hard_state.term {
            self.reply_to_stale(&message);
            return;
        }
        self.dispatch(message);
    }

    fn dispatch(&mut self, message: Message) {
        let Message {
            from, term, body, ..
        } = message;
        match body {
            Body::PreVote { last } => self.on_pre_vote(&from, term, last),
            Body::PreVoteReply { granted } => self.on_pre_vote_reply(from, term, granted),
            Body::Vote { last } => self.on_vote(&from, last),
            Body::VoteReply { granted } => self.on_vote_reply(from, granted),
            Body::AppendReply { round, result } => self.on_append_reply(&from, round, &result),
            Body::InstallReply {
                round,
                index,
                received,
            } => self.on_install_reply(&from, round, index, received),
            body @ Body::Append { .. } => self.on_append(&from, body),
            body @ Body::Install { .. } => self.on_install(&from, body),
            Body::Join { .. } | Body::Fresh { .. } => {}
        }
    }

    fn is_addressee(&self, message: &Message) -> bool {
        let id = self.id();
        let incarnation_fits = message.to_incarnation.is_none_or(|i| i == id.incarnation);
        message.to == id.name && incarnation_fits && message.from != *id
    }

    fn is_same_cluster(&self, message: &Message) -> bool {
        message.cluster.is_some()
            && self
                .hard_state
                .cluster
                .is_none_or(|c| Some(c) == message.cluster)
    }

    /// Returns whether to ignore a vote request: granting a vote while a leader is alive would
    /// violate the leader's lease and disrupt its followers.
    fn is_disruptive(&self, message: &Message, leader_alive: bool) -> bool {
        let asks_for_vote = matches!(message.body, Body::Vote { .. } | Body::PreVote { .. });
        asks_for_vote && (leader_alive || self.is_leader())
    }

    /// Joins the cluster of the first message addressed to this incarnation, if the replica belongs
    /// to none yet.
    fn adopt_cluster(&mut self, message: &Message) {
        if self.hard_state.cluster.is_none() {
            self.hard_state.cluster = message.cluster;
            self.hard_state_changed = true;
        }
    }

    fn update_term(&mut self, message: &Message) {
        let speculative = match message.body {
            Body::PreVote { .. } => true,
            Body::PreVoteReply { granted } => granted,
            _ => false,
        };
        if message.term > self.hard_state.term && !speculative {
            self.become_follower(message.term, None);
        }
    }

    /// Replies to a message of an older term with the current one, so that a deposed leader steps
    /// down.
    fn reply_to_stale(&mut self, message: &Message) {
        let body = match &message.body {
            Body::PreVote { .. } => Body::PreVoteReply { granted: false },
            Body::Append { prev, round, .. } => Body::AppendReply {
                round: *round,
                result: crate::message::AppendResult::Rejected {
                    prev: prev.index,
                    hint: self.commit,
                },
            },
            _ => return,
        };
        self.send(&message.from, body);
    }

    fn send(&mut self, to: &ReplicaId, body: Body) {
        self.send_in_term(to, self.hard_state.term, body);
    }

    fn send_in_term(&mut self, to: &ReplicaId, term: Term, body: Body) {
        let message = Message {
            cluster: self.hard_state.cluster,
            from: self.id().clone(),
            to: to.name.clone(),
            to_incarnation: Some(to.incarnation),
            term,
            body,
        };
        self.effects.messages.push(message);
    }
}

impl Core {
    /// Becomes a follower in `term`. The vote is cleared only if the term is new, so that a replica
    /// votes once per term.
    fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.hard_state_changed = true;
        }
        let old = std::mem::replace(&mut self.role, Role::Follower { leader });
        if let Role::Leader(old) = old {
            self.fail_pending(old);
        }
    }

    fn load_membership(&mut self) {
        let entry = self.log.membership_entry(LogIndex::MAX);
        let (index, membership) = match entry.map(|e| (e.position.index, &e.payload)) {
            Some((index, Payload::Membership(m))) => (index, m.clone()),
            _ => self.snapshot_membership(),
        };
        self.membership_index = index;
        self.membership = membership;
    }

    fn snapshot_membership(&self) -> (LogIndex, Membership) {
        match &self.snapshot {
            Some(s) => (s.position.index, s.membership.clone()),
            None => (0, Membership::default()),
        }
    }

    fn last(&self) -> Position {
        self.log.last()
    }
}
