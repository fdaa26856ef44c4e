//! What follows from an event.

use std::sync::Arc;

use nutmegwheel_types::plain;

use crate::{
    message::Message,
    storage::Write,
    types::{Command, LogIndex, Membership, ProposalId, ReadId, ReplicaId, Round, Snapshot, Term},
};

plain! {
    /// What follows from an event, in the order of the fields.
    #[derive(Default, Hash)]
    pub struct Effects {
        /// What must be synced before anything else here is acted upon.
        pub writes: Vec<Write>,
        /// The messages to send.
        pub messages: Vec<Message>,
        /// A snapshot that replaces the application's state, before the commands below.
        pub restored: Option<Arc<Snapshot>>,
        /// The commands to apply, in the order of the log.
        pub committed: Vec<Committed>,
        /// The reads that may be answered once the application has applied their index.
        pub reads: Vec<(ReadId, LogIndex)>,
        /// What was refused without having had any effect.
        pub refused: Vec<Refused>,
        /// Proposals whose outcome is unknown because this replica leads no longer.
        pub outcome_unknown: Vec<ProposalId>,
        /// The index as of which the application is asked for its state.
        pub snapshot_requested: Option<LogIndex>,
        /// Whether the leader of the current term was heard of.
        pub leader_contact: bool,
        /// Whether the election timer starts anew, after a vote or a new role.
        pub restart_timer: bool,
        /// The round that this leader has just begun.
        pub round_started: Option<Round>,
        /// The newest round that a quorum has answered.
        pub round_confirmed: Option<Round>,
        /// What an operator may want to know.
        pub notices: Vec<Notice>,
    }

    /// A command that is committed and never reverts.
    #[derive(Hash)]
    pub struct Committed {
        /// Its place in the log.
        pub index: LogIndex,
        /// The term in which it was proposed.
        pub term: Term,
        /// The command.
        pub command: Command,
        /// The caller's number, where it was proposed at this replica in this term.
        pub proposal: Option<ProposalId>,
    }

    /// Something that was refused without having had any effect.
    #[derive(Hash)]
    pub enum Refused {
        /// A proposal.
        Proposal {
            /// The caller's number.
            id: ProposalId,
            /// Why.
            reason: RefusalReason,
        },
        /// A read.
        Read {
            /// The caller's number.
            id: ReadId,
            /// Why.
            reason: RefusalReason,
        },
        /// A change of the membership.
        Change {
            /// Why.
            reason: RefusalReason,
        },
    }

    /// Why something was refused.
    #[derive(Hash)]
    pub enum RefusalReason {
        /// This replica does not lead; the leader is named where it is known.
        NotLeader(Option<ReplicaId>),
        /// Too many proposals or reads wait, or the log waits for a snapshot.
        Overloaded,
        /// The command is larger than the limit in bytes.
        TooLarge(usize),
        /// Another change of the membership is not yet committed.
        ChangePending,
        /// The replica to let in has not asked to join, or is a member already.
        NotJoining(ReplicaId),
        /// The name belongs to no member, or to the last voter.
        NotRemovable,
        /// The store refuses writes, so that nothing new is taken.
        StorageFailed,
    }

    /// What an operator may want to know.
    #[derive(Hash)]
    pub enum Notice {
        /// This replica founded a cluster.
        Bootstrapped(Membership),
        /// This replica leads a term from now on.
        Leading(Term),
        /// This replica leads no longer.
        SteppedDown(Term),
        /// The membership in the log changed.
        MembershipChanged(Membership),
        /// A replica asks to join that needs an operator's word.
        JoinRequested(ReplicaId),
    }
}
