//! Linearizable reads (ReadIndex): a read is answered at the index that was committed when it
//! arrived, once a quorum has confirmed that no newer leader existed at that time.

use super::{Core, RefusalReason, Refused, Role, leader::PendingRead};
use crate::types::{LogIndex, ReadId};

impl Core {
    /// Returns the index at which a read can be answered without a heartbeat round, provided that
    /// the caller holds a valid leader lease.
    ///
    /// Returns `None` if this replica is not the leader or has not yet committed an entry of its
    /// term.
    #[must_use]
    pub fn lease_read_index(&self) -> Option<LogIndex> {
        match &self.role {
            Role::Leader(leader) if self.commit >= leader.term_start => Some(self.commit),
            _ => None,
        }
    }

    pub(super) fn on_read(&mut self, id: ReadId) {
        let limit = self.setup.limits.max_uncommitted;
        let reason = match &self.role {
            Role::Leader(leader) if leader.reads.len() < limit => None,
            Role::Leader(_) => Some(RefusalReason::Overloaded),
            _ => Some(self.not_leader()),
        };
        match reason {
            Some(reason) => self.refuse_read(id, reason),
            None => self.queue_read(id),
        }
    }

    fn queue_read(&mut self, id: ReadId) {
        let commit = self.commit;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.reads.push_back(PendingRead {
            id,
            index: commit.max(leader.term_start),
            round: leader.round + 1,
        });
        self.start_round();
    }

    /// Updates the newest heartbeat round that a quorum has answered, and releases the reads that
    /// this round confirms.
    pub(super) fn confirm_rounds(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let of = |id: &_| leader.progress.get(id).map_or(0, |p| p.round);
        let round = self.quorum_value(leader.round, of);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if round > leader.confirmed_round {
            leader.confirmed_round = round;
            self.effects.round_confirmed = Some(round);
        }
        self.release_reads();
    }

    pub(super) fn release_reads(&mut self) {
        let commit = self.commit;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let ready = |r: &PendingRead| r.round <= leader.confirmed_round && r.index <= commit;
        while leader.reads.front().is_some_and(ready) {
            let read = leader.reads.pop_front();
            self.effects.reads.extend(read.map(|r| (r.id, r.index)));
        }
    }

    pub(super) fn refuse_read(&mut self, id: ReadId, reason: RefusalReason) {
        self.effects.refused.push(Refused::Read { id, reason });
    }
}
