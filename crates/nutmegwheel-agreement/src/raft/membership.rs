//! Changes of the membership, one voter at a time.

use super::{Change, Core, Notice, RefusalReason, Refused, Role, leader::Leader};
use crate::types::{Membership, Payload, ReplicaId, ReplicaName};

/// The joiners that a leader remembers; more are ignored until they ask again.
const MAX_JOINERS: usize = 16;

/// Requests.
impl Core {
    pub(super) fn on_change(&mut self, change: &Change) {
        let result = match change {
            Change::Admit(id) => self.admit(id),
            Change::Remove(name) => self.remove(name),
        };
        if let Err(reason) = result {
            self.effects.refused.push(Refused::Change { reason });
        }
    }

    /// A new life of a known member is let in as a learner; a new name waits for an operator.
    pub(super) fn on_join(&mut self, from: &ReplicaId) {
        let known = self.membership.members().any(|m| m.name == from.name);
        let member = self.membership.contains(from);
        let own_name = from.name == self.id().name;
        let auto = self.setup.auto_repair && known || self.setup.voters.is_some();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if member || own_name || leader.joiners.len() >= MAX_JOINERS {
            return;
        }
        let new = leader.joiners.insert(from.clone());
        if auto {
            // A refusal needs no answer here: the joiner asks again.
            let _ = self.admit(from);
        } else if new {
            let notice = Notice::JoinRequested(from.clone());
            self.effects.notices.push(notice);
        }
    }

    fn admit(&mut self, id: &ReplicaId) -> Result<(), RefusalReason> {
        let leader = self.ready_leader()?;
        if !leader.joiners.contains(id) {
            return Err(RefusalReason::NotJoining(id.clone()));
        }
        let mut next = self.membership.clone();
        next.learners.retain(|l| l.name != id.name);
        next.learners.insert(id.clone());
        self.change_to(next);
        Ok(())
    }

    fn remove(&mut self, name: &ReplicaName) -> Result<(), RefusalReason> {
        self.ready_leader()?;
        let mut next = self.membership.clone();
        next.learners.retain(|l| l.name != *name);
        next.voters.retain(|v| v.name != *name);
        let removed = self.membership.voters.len() - next.voters.len();
        if next == self.membership || next.voters.is_empty() || removed > 1 {
            return Err(RefusalReason::NotRemovable);
        }
        self.change_to(next);
        Ok(())
    }
}

/// Steps.
impl Core {
    /// Takes the next step of a repair: a learner that has caught up replaces the voter that was
    /// its earlier life, which leaves first, and becomes a voter itself.
    pub(super) fn advance_membership(&mut self) {
        self.leave_if_removed();
        let Ok(leader) = self.ready_leader() else {
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
        let is_wanted = self.setup.voters.is_none_or(|n| members.voters.len() < n);
        let steps_up = |id: &&ReplicaId| is_wanted || members.earlier_voter(id).is_some();
        let mut caught_up = members.learners.iter().filter(caught_up);
        let Some(learner) = caught_up.find(steps_up) else {
            return;
        };
        let learner = learner.clone();
        let mut next = self.membership.clone();
        if let Some(earlier) = self.membership.earlier_voter(&learner) {
            next.voters.remove(earlier);
        } else {
            next.learners.remove(&learner);
            next.voters.insert(learner);
        }
        self.change_to(next);
    }

    /// Whether a learner holds all that is committed, so that it could stand in for a voter.
    #[must_use]
    pub fn has_standby(&self, is_alive: impl Fn(&ReplicaId) -> bool) -> bool {
        let Ok(leader) = self.ready_leader() else {
            return false;
        };
        self.membership.learners.iter().any(|id| {
            let progress = leader.progress.get(id);
            is_alive(id) && progress.is_some_and(|p| p.matched >= self.commit)
        })
    }

    /// Returns the leader's state when it may change the membership: its term has committed an
    /// entry, and so has the change before.
    fn ready_leader(&self) -> Result<&Leader, RefusalReason> {
        let Role::Leader(leader) = &self.role else {
            return Err(self.not_leader());
        };
        let pending = self.membership_index > self.commit || leader.first > self.commit;
        if pending {
            return Err(RefusalReason::ChangePending);
        }
        Ok(leader)
    }

    fn change_to(&mut self, next: Membership) {
        self.append_own(Payload::Membership(next));
        let members = &self.membership;
        if let Role::Leader(leader) = &mut self.role {
            leader.joiners.retain(|j| !members.contains(j));
        }
        self.send_to_all(false);
    }

    /// A leader that was removed leads until its removal is committed.
    fn leave_if_removed(&mut self) {
        let removed = self.is_leader() && !self.is_voter();
        if removed && self.membership_index <= self.commit {
            self.send_to_all(true);
            self.follow(self.hard.term, None);
        }
    }
}
