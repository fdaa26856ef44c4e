//! Membership changes, which add or remove one voter at a time.

use super::{Change, Core, Notice, RefusalReason, Refused, Role, leader::Leader};
use crate::types::{Membership, Payload, ReplicaId, ReplicaName};

/// The maximum number of join requests that a leader keeps. It ignores further ones; the replicas
/// ask again.
const MAX_PENDING_JOINS: usize = 16;

impl Core {
    pub(super) fn on_change(&mut self, change: &Change) {
        let result = match change {
            Change::AddLearner(id) => self.add_learner(id),
            Change::Remove(name) => self.remove(name),
        };
        if let Err(reason) = result {
            self.effects.refused.push(Refused::Change { reason });
        }
    }

    /// Records a join request. The leader adds a known member with a new incarnation as a learner
    /// if `auto_repair` is set, and adds any replica if it maintains the number of voters. Other
    /// requests wait for an operator.
    pub(super) fn register_join(&mut self, from: &ReplicaId) {
        let known = self.membership.members().any(|m| m.name == from.name);
        let member = self.membership.contains(from);
        let own_name = from.name == self.id().name;
        let auto = self.setup.auto_repair && known || self.setup.target_voters.is_some();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if member || own_name || leader.pending_joins.len() >= MAX_PENDING_JOINS {
            return;
        }
        let new = leader.pending_joins.insert(from.clone());
        if auto {
            // A refusal is not reported: the replica repeats its request.
            let _ = self.add_learner(from);
        } else if new {
            let notice = Notice::JoinRequested(from.clone());
            self.effects.notices.push(notice);
        }
    }

    fn add_learner(&mut self, id: &ReplicaId) -> Result<(), RefusalReason> {
        let leader = self.leader_ready_for_change()?;
        if !leader.pending_joins.contains(id) {
            return Err(RefusalReason::NotJoining(id.clone()));
        }
        let mut next = self.membership.clone();
        next.learners.retain(|l| l.name != id.name);
        next.learners.insert(id.clone());
        self.propose_membership(next);
        Ok(())
    }

    fn remove(&mut self, name: &ReplicaName) -> Result<(), RefusalReason> {
        self.leader_ready_for_change()?;
        let mut next = self.membership.clone();
        next.learners.retain(|l| l.name != *name);
        next.voters.retain(|v| v.name != *name);
        let removed = self.membership.voters.len() - next.voters.len();
        if next == self.membership || next.voters.is_empty() || removed > 1 {
            return Err(RefusalReason::NotRemovable);
        }
        self.propose_membership(next);
        Ok(())
    }
}

impl Core {
    /// Proposes the next membership change that promotes a learner which has caught up. The first
    /// change removes the learner's previous incarnation if that is a voter; the next one makes the
    /// learner a voter.
    pub(super) fn advance_membership(&mut self) {
        self.step_down_if_removed();
        let Ok(leader) = self.leader_ready_for_change() else {
            return;
        };
        let commit = self.commit;
        let caught_up = |id: &&ReplicaId| {
            leader
                .progress
                .get(*id)
                .is_some_and(|p| p.matched >= commit)
        };
        let members = &self.membership;
        let is_wanted = self
            .setup
            .target_voters
            .is_none_or(|n| members.voters.len() < n);
        let can_be_promoted =
            |id: &&ReplicaId| is_wanted || members.previous_incarnation(id).is_some();
        let mut caught_up = members.learners.iter().filter(caught_up);
        let Some(learner) = caught_up.find(can_be_promoted) else {
            return;
        };
        let learner = learner.clone();
        let mut next = self.membership.clone();
        if let Some(earlier) = self.membership.previous_incarnation(&learner) {
            next.voters.remove(earlier);
        } else {
            next.learners.remove(&learner);
            next.voters.insert(learner);
        }
        self.propose_membership(next);
    }

    /// Returns whether some learner can replace a voter: `is_alive` returns true for it, and it has
    /// every committed entry. Returns false if this replica cannot change the membership now.
    #[must_use]
    pub fn has_caught_up_learner(&self, is_alive: impl Fn(&ReplicaId) -> bool) -> bool {
        let Ok(leader) = self.leader_ready_for_change() else {
            return false;
        };
        self.membership.learners.iter().any(|id| {
            let progress = leader.progress.get(id);
            is_alive(id) && progress.is_some_and(|p| p.matched >= self.commit)
        })
    }

    /// Returns the leader's state if it may change the membership: the first entry of its term and
    /// the previous membership change must be committed.
    fn leader_ready_for_change(&self) -> Result<&Leader, RefusalReason> {
        let Role::Leader(leader) = &self.role else {
            return Err(self.not_leader());
        };
        let pending = self.membership_index > self.commit || leader.term_start > self.commit;
        if pending {
            return Err(RefusalReason::ChangePending);
        }
        Ok(leader)
    }

    fn propose_membership(&mut self, next: Membership) {
        self.append_leader_entry(Payload::Membership(next));
        let members = &self.membership;
        if let Role::Leader(leader) = &mut self.role {
            leader.pending_joins.retain(|j| !members.contains(j));
        }
        self.send_to_all(false);
    }

    /// Steps down if this leader was removed from the membership. It leads until the removal is
    /// committed, and sends the commit index to all members before it steps down.
    fn step_down_if_removed(&mut self) {
        let removed = self.is_leader() && !self.is_voter();
        if removed && self.membership_index <= self.commit {
            self.send_to_all(true);
            self.become_follower(self.hard_state.term, None);
        }
    }
}
