//! The state of a leader: replication progress and pending requests.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use nutmegwheel_types::plain;

use super::{Core, Notice, RefusalReason, Refused, Role};
use crate::{
    storage::Write,
    types::{Command, Entry, LogIndex, Payload, Position, ProposalId, ReadId, ReplicaId, Round},
};

plain! {
    /// The volatile state of a leader.
    #[derive(Hash)]
    pub(crate) struct Leader {
        /// The index of the no-op entry at the start of the leader's term. Until it is committed,
        /// the leader does not know which earlier entries are committed.
        pub(super) term_start: LogIndex,
        pub(super) round: Round,
        pub(super) confirmed_round: Round,
        pub(super) progress: BTreeMap<ReplicaId, Progress>,
        pub(super) proposals: BTreeMap<LogIndex, ProposalId>,
        pub(super) reads: VecDeque<PendingRead>,
        pub(super) pending_joins: BTreeSet<ReplicaId>,
    }

    /// The replication progress of one member.
    #[derive(Hash)]
    pub(super) struct Progress {
        /// The index up to which the member's synced log matches the leader's.
        pub(super) matched: LogIndex,
        /// The index of the next entry to send.
        pub(super) next: LogIndex,
        /// The newest heartbeat round that the member has answered.
        pub(super) round: Round,
        pub(super) state: ProgressState,
    }

    /// How the leader sends entries to one member.
    #[derive(Hash)]
    pub(super) enum ProgressState {
        /// Sends one message at a time, until it has found the index up to which the logs match.
        Probe { waiting: bool },
        /// Sends messages without waiting for replies, up to `max_inflight`; `inflight` has the
        /// last index of each unacknowledged message.
        Pipeline { inflight: VecDeque<LogIndex> },
        /// Sends the snapshot with this index, one chunk at a time.
        Snapshot { index: LogIndex, offset: u64 },
    }

    /// A read that is answered once a quorum confirms the leader in `round` and `index` is
    /// committed.
    #[derive(Hash)]
    pub(super) struct PendingRead {
        pub(super) id: ReadId,
        pub(super) index: LogIndex,
        pub(super) round: Round,
    }
}

impl Progress {
    pub(super) fn new(next: LogIndex) -> Self {
        Self {
            matched: 0,
            next,
            round: 0,
            state: ProgressState::Probe { waiting: false },
        }
    }
}

impl Core {
    pub(super) fn become_leader(&mut self) {
        let first = self.last().index + 1;
        self.role = Role::Leader(Leader {
            term_start: first,
            round: 0,
            confirmed_round: 0,
            progress: BTreeMap::new(),
            proposals: BTreeMap::new(),
            reads: VecDeque::new(),
            pending_joins: BTreeSet::new(),
        });
        self.track_members(first);
        self.effects
            .notices
            .push(Notice::Leading(self.hard_state.term));
        self.append_leader_entry(Payload::Noop);
        self.start_round();
    }

    /// Reports that the outcome of the pending proposals is unknown and refuses the pending reads,
    /// after this replica lost leadership.
    pub(super) fn fail_pending(&mut self, old: Leader) {
        self.effects
            .outcome_unknown
            .extend(old.proposals.into_values());
        let reason = RefusalReason::NotLeader(None);
        for read in old.reads {
            self.refuse_read(read.id, reason.clone());
        }
        self.notify_step_down();
    }

    pub(super) fn on_propose(&mut self, id: ProposalId, command: Command) {
        if let Err(reason) = self.check_proposal(&command) {
            let refused = Refused::Proposal { id, reason };
            self.effects.refused.push(refused);
            return;
        }
        let index = self.last().index + 1;
        if let Role::Leader(leader) = &mut self.role {
            leader.proposals.insert(index, id);
        }
        self.append_leader_entry(Payload::Command(command));
        self.send_to_all(false);
    }

    fn check_proposal(&self, command: &Command) -> Result<(), RefusalReason> {
        let limits = &self.setup.limits;
        let Role::Leader(leader) = &self.role else {
            return Err(self.not_leader());
        };
        if command.len() > limits.max_command_bytes {
            return Err(RefusalReason::TooLarge(limits.max_command_bytes));
        }
        let full = leader.proposals.len() >= limits.max_uncommitted;
        if full || self.log.bytes() >= limits.max_log_bytes {
            return Err(RefusalReason::Overloaded);
        }
        Ok(())
    }

    pub(super) fn not_leader(&self) -> RefusalReason {
        RefusalReason::NotLeader(self.leader().cloned())
    }

    /// Appends an entry in this leader's term. The leader's own copy counts towards the commit
    /// immediately, because it is synced before any other effect is carried out.
    pub(super) fn append_leader_entry(&mut self, payload: Payload) {
        let position = Position {
            term: self.hard_state.term,
            index: self.last().index + 1,
        };
        let entry = Entry { position, payload };
        self.append_entries(vec![entry]);
        self.track_members(position.index);
        self.advance_commit();
    }

    pub(super) fn append_entries(&mut self, entries: Vec<Entry>) {
        self.log.append(&entries);
        self.effects.writes.push(Write::Append(entries));
        let before = self.membership_index;
        self.load_membership();
        if self.membership_index != before {
            let notice = Notice::MembershipChanged(self.membership.clone());
            self.effects.notices.push(notice);
        }
    }

    /// Starts to track the progress of new members, probing their logs from `next` on, and drops
    /// members that were removed.
    fn track_members(&mut self, next: LogIndex) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let membership = &self.membership;
        let own = &self.setup.id;
        leader.progress.retain(|id, _| membership.contains(id));
        for id in membership.members().filter(|id| *id != own) {
            let new = || Progress::new(next);
            leader.progress.entry(id.clone()).or_insert_with(new);
        }
    }
}
