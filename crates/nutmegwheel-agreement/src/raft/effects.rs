//! The effects of an event on storage, peers and the application.

use std::sync::Arc;

use nutmegwheel_types::plain;

use crate::{
    message::Message,
    storage::Write,
    types::{Command, LogIndex, Membership, ProposalId, ReadId, ReplicaId, Round, Snapshot, Term},
};

plain! {
    /// The effects of an event, which the caller must carry out in the order of the fields.
    #[derive(Default, Hash)]
    pub struct Effects {
        /// The writes to sync to storage before any other effect is carried out.
        pub writes: Vec<Write>,
        /// The messages to send.
        pub messages: Vec<Message>,
        /// A snapshot to load into the application before it applies `committed`.
        pub restored: Option<Arc<Snapshot>>,
        /// The commands to apply, in log order.
        pub committed: Vec<Committed>,
        /// The reads that can be answered once the application has applied their index.
        pub reads: Vec<(ReadId, LogIndex)>,
        /// The requests that were refused and had no effect.
        pub refused: Vec<Refused>,
        /// The proposals whose outcome is unknown because this replica lost leadership.
        pub outcome_unknown: Vec<ProposalId>,
        /// The index at which the application must take a snapshot of its state.
        pub snapshot_requested: Option<LogIndex>,
        /// Whether a message from the leader of the current term was accepted.
        pub leader_contact: bool,
        /// Whether to restart the election timer, after a vote or a change of role.
        pub restart_timer: bool,
        /// The heartbeat round that this leader has just started.
        pub round_started: Option<Round>,
        /// The newest heartbeat round that a quorum has answered.
        pub round_confirmed: Option<Round>,
        /// Events to report to the operator.
        pub notices: Vec<Notice>,
    }

    /// A committed command, to be applied by the application.
    #[derive(Hash)]
    pub struct Committed {
        /// The index of the command's entry in the log.
        pub index: LogIndex,
        /// The term in which the command was proposed.
        pub term: Term,
        /// The command as it was proposed.
        pub command: Command,
        /// The caller's id for the proposal, if it was made at this replica in its current term.
        pub proposal: Option<ProposalId>,
    }

    /// A request that was refused and had no effect.
    #[derive(Hash)]
    pub enum Refused {
        /// A proposal was refused.
        Proposal {
            /// The caller's id.
            id: ProposalId,
            /// The reason for the refusal.
            reason: RefusalReason,
        },
        /// A read was refused.
        Read {
            /// The caller's id.
            id: ReadId,
            /// The reason for the refusal.
            reason: RefusalReason,
        },
        /// A membership change was refused.
        Change {
            /// The reason for the refusal.
            reason: RefusalReason,
        },
    }

    /// The reason why a request was refused.
    #[derive(Hash)]
    pub enum RefusalReason {
        /// This replica is not the leader; contains the leader if known.
        NotLeader(Option<ReplicaId>),
        /// Too many proposals or reads are pending, or the log is full until a snapshot compacts
        /// it.
        Overloaded,
        /// The command is larger than this limit in bytes.
        TooLarge(usize),
        /// A membership change, or the first entry of the leader's term, is not yet committed.
        ChangePending,
        /// The replica to add has not asked to join, or is already a member.
        NotJoining(ReplicaId),
        /// The name belongs to no member, or its removal would leave no voter or remove more than
        /// one.
        NotRemovable,
        /// The last write to storage failed; requests are refused until it succeeds.
        StorageFailed,
    }

    /// An event to report to the operator.
    #[derive(Hash)]
    pub enum Notice {
        /// This replica bootstrapped a cluster.
        Bootstrapped(Membership),
        /// This replica became the leader of a term.
        Leading(Term),
        /// This replica stopped leading; contains its current term.
        SteppedDown(Term),
        /// The newest membership in the log changed.
        MembershipChanged(Membership),
        /// A replica asks to join and needs an operator's approval.
        JoinRequested(ReplicaId),
    }
}
