//! The inputs and outputs of a replica.

use std::{collections::VecDeque, sync::Arc};

use nutmegwheel_types::plain;

use crate::{
    message::Message,
    raft::{Change, Committed, Effects, Notice, Refused, RoleName},
    storage::StorageError,
    types::{
        ClusterId, Command, LogIndex, Membership, Position, ProposalId, ReadId, ReplicaId,
        Snapshot, Term,
    },
};

/// A request that was refused and had no effect.
pub type Refusal = Refused;

plain! {
    /// An input of a replica.
    pub enum Input {
        /// Timers may be due. The caller must pass this at
        /// [`Replica::next_tick`](super::Replica::next_tick) at the latest.
        Tick,
        /// A message arrived from another replica.
        Message(Message),
        /// The application proposes a command.
        Propose {
            /// The caller's id for the proposal.
            id: ProposalId,
            /// The command to append to the log.
            command: Command,
        },
        /// The application requests a linearizable read.
        Read {
            /// The caller's id for the read.
            id: ReadId,
        },
        /// A membership change is requested.
        Change(Change),
        /// The application provides the snapshot that [`Output::SnapshotRequested`] asked for.
        Snapshot {
            /// The index in that output.
            index: LogIndex,
            /// The encoded application state.
            data: Command,
        },
    }

    /// The status of a replica and its view of the cluster.
    pub struct Status {
        /// The replica's name and incarnation.
        pub id: ReplicaId,
        /// The cluster that the replica belongs to, if any.
        pub cluster: Option<ClusterId>,
        /// The role of the replica in its term.
        pub role: RoleName,
        /// The highest term seen.
        pub term: Term,
        /// The leader of that term, if known.
        pub leader: Option<ReplicaId>,
        /// The newest membership in the log, committed or not.
        pub membership: Membership,
        /// The position of the last log entry.
        pub last: Position,
        /// The index up to which the log is known to be committed.
        pub commit: LogIndex,
        /// The position of the last entry that the newest snapshot includes.
        pub snapshot: Position,
        /// The size in bytes of the entries after the snapshot.
        pub log_bytes: usize,
        /// Whether a write to storage has failed and its retry has not succeeded yet.
        pub storage_failed: bool,
    }
}

/// An output of a replica. The caller must process outputs in the order in which they are returned.
#[derive(Debug)]
pub enum Output {
    /// Send this message. Delivery need not be reliable.
    Send(Message),
    /// Replace the application state with this snapshot.
    Restore(Arc<Snapshot>),
    /// Apply this committed command.
    Committed(Committed),
    /// Answer the read from a state that includes the entry at this index.
    ReadReady {
        /// The caller's id for the read.
        id: ReadId,
        /// The index that the state must include.
        index: LogIndex,
    },
    /// A request was refused and had no effect.
    Refused(Refusal),
    /// It is unknown whether this proposal will be committed. The caller should retry it with the
    /// same content.
    OutcomeUnknown(ProposalId),
    /// Provide the application state with [`Input::Snapshot`], as it is after all previous outputs
    /// and before any later one.
    SnapshotRequested {
        /// The index at which the snapshot is taken.
        index: LogIndex,
    },
    /// An event to report to the operator.
    Notice(Notice),
    /// A write to storage failed. The replica withholds its outputs and refuses requests until
    /// storage recovers.
    StorageFailed(StorageError),
    /// Storage accepts writes again, and all pending writes have succeeded.
    StorageRecovered,
}

/// Appends the outputs for `effects`, in the order in which they must be processed.
pub(super) fn push_effects(outputs: &mut VecDeque<Output>, effects: Effects) {
    outputs.extend(effects.messages.into_iter().map(Output::Send));
    outputs.extend(effects.restored.map(Output::Restore));
    outputs.extend(effects.committed.into_iter().map(Output::Committed));
    let ready = |(id, index)| Output::ReadReady { id, index };
    outputs.extend(effects.reads.into_iter().map(ready));
    outputs.extend(effects.refused.into_iter().map(Output::Refused));
    outputs.extend(
        effects
            .outcome_unknown
            .into_iter()
            .map(Output::OutcomeUnknown),
    );
    let request = |index| Output::SnapshotRequested { index };
    outputs.extend(effects.snapshot_requested.map(request));
    outputs.extend(effects.notices.into_iter().map(Output::Notice));
}
