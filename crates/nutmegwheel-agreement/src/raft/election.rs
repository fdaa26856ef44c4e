//! Pre-votes and votes.

use super::{Core, Notice, Role};
use crate::{
    message::Body,
    types::{Position, ReplicaId, Term},
};

impl Core {
    pub(super) fn on_election_timeout(&mut self) {
        self.effects.restart_timer = true;
        if self.is_leader() {
            return;
        }
        if !self.is_voter() {
            self.request_join();
            return;
        }
        if self.setup.target_voters.is_some() {
            // A voter that was replaced while it was partitioned learns of its removal only from
            // the leader, so it sends join requests in addition to campaigning.
            self.request_join();
        }
        self.role = Role::PreCandidate {
            granted: Vec::new(),
        };
        let body = Body::PreVote { last: self.last() };
        self.send_to_voters(self.hard_state.term + 1, &body);
        self.on_pre_vote_reply(self.id().clone(), self.hard_state.term + 1, true);
    }

    pub(super) fn campaign(&mut self) {
        self.effects.restart_timer = true;
        if self.is_leader() || !self.is_voter() {
            return;
        }
        self.hard_state.term += 1;
        self.hard_state.vote = Some(self.id().clone());
        self.hard_state_changed = true;
        self.role = Role::Candidate {
            granted: Vec::new(),
        };
        let body = Body::Vote { last: self.last() };
        self.send_to_voters(self.hard_state.term, &body);
        self.on_vote_reply(self.id().clone(), true);
    }

    pub(super) fn on_pre_vote(&mut self, from: &ReplicaId, term: Term, last: Position) {
        let granted = term > self.hard_state.term && last >= self.last();
        let answer_term = if granted { term } else { self.hard_state.term };
        self.send_in_term(from, answer_term, Body::PreVoteReply { granted });
    }

    pub(super) fn on_pre_vote_reply(&mut self, from: ReplicaId, term: Term, granted: bool) {
        if !granted || term != self.hard_state.term + 1 {
            return;
        }
        let Role::PreCandidate { granted } = &mut self.role else {
            return;
        };
        insert_sorted(granted, from);
        let granted = granted.clone();
        if self.is_quorum(&granted) {
            self.campaign();
        }
    }

    pub(super) fn on_vote(&mut self, from: &ReplicaId, last: Position) {
        let free = self.hard_state.vote.as_ref().is_none_or(|v| v == from);
        let granted = free && last >= self.last() && !self.is_leader();
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from.clone());
            self.hard_state_changed = true;
        }
        self.effects.restart_timer |= granted;
        self.send(from, Body::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(&mut self, from: ReplicaId, granted: bool) {
        let Role::Candidate { granted: votes } = &mut self.role else {
            return;
        };
        if !granted {
            return;
        }
        insert_sorted(votes, from);
        let votes = votes.clone();
        if self.is_quorum(&votes) {
            self.become_leader();
        }
    }

    /// Steps down because no quorum has answered, so that callers look for another leader.
    pub(super) fn on_quorum_lost(&mut self) {
        if self.is_leader() {
            self.become_follower(self.hard_state.term, None);
            self.effects.restart_timer = true;
        }
    }

    pub(super) fn notify_step_down(&mut self) {
        let notice = Notice::SteppedDown(self.hard_state.term);
        self.effects.notices.push(notice);
    }

    fn send_to_voters(&mut self, term: Term, body: &Body) {
        let own = self.id().clone();
        let voters: Vec<_> = self.membership.voters.iter().cloned().collect();
        for voter in voters.iter().filter(|v| **v != own) {
            self.send_in_term(voter, term, body.clone());
        }
    }

    /// Returns whether a quorum granted its vote. Counts only voters of the newest membership,
    /// matched by name and incarnation.
    fn is_quorum(&self, granted: &[ReplicaId]) -> bool {
        let voters = &self.membership.voters;
        let count = granted.iter().filter(|g| voters.contains(g)).count();
        count >= self.membership.quorum()
    }
}

fn insert_sorted(ids: &mut Vec<ReplicaId>, id: ReplicaId) {
    if let Err(at) = ids.binary_search(&id) {
        ids.insert(at, id);
    }
}
