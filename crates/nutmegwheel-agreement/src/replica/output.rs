//! What goes into a replica and what comes out.

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

/// Something that was refused without having had any effect.
pub type Refusal = Refused;

plain! {
    /// What happens to a replica.
    pub enum Input {
        /// Time has passed; wanted at [`Replica::next_tick`](super::Replica::next_tick) at the
        /// latest.
        Tick,
        /// A message came from another replica.
        Message(Message),
        /// The application proposes a command.
        Propose {
            /// The caller's number for it.
            id: ProposalId,
            /// The command.
            command: Command,
        },
        /// The application wants to read its state linearizably.
        Read {
            /// The caller's number for it.
            id: ReadId,
        },
        /// An operator changes the membership.
        Change(Change),
        /// The application's state as of [`Output::SnapshotRequested`].
        Snapshot {
            /// The index that was asked for.
            index: LogIndex,
            /// The state.
            data: Command,
        },
    }

    /// What a replica knows of itself and its cluster.
    pub struct Status {
        /// Its name and incarnation.
        pub id: ReplicaId,
        /// The founding that it belongs to.
        pub cluster: Option<ClusterId>,
        /// What it does.
        pub role: RoleName,
        /// The newest term that it has seen.
        pub term: Term,
        /// The leader of that term, if known.
        pub leader: Option<ReplicaId>,
        /// The newest membership in its log, committed or not.
        pub membership: Membership,
        /// The last entry of its log.
        pub last: Position,
        /// The index up to which the log is known to be committed.
        pub commit: LogIndex,
        /// The last entry that its newest snapshot includes.
        pub snapshot: Position,
        /// The size of the entries after the snapshot in bytes.
        pub log_bytes: usize,
        /// Whether the store refuses writes now.
        pub storage_failed: bool,
    }
}

/// What follows from an input; to be acted upon in the order in which it is returned.
#[derive(Debug)]
pub enum Output {
    /// Send this message; it may be lost.
    Send(Message),
    /// Replace the application's state by this snapshot.
    Restore(Arc<Snapshot>),
    /// Apply this command, which never reverts.
    Committed(Committed),
    /// Answer the read from a state that includes this index.
    ReadReady {
        /// The caller's number.
        id: ReadId,
        /// The index.
        index: LogIndex,
    },
    /// This was refused and had no effect.
    Refused(Refusal),
    /// Whether this proposal will be committed is not known here; ask again under the same content.
    OutcomeUnknown(ProposalId),
    /// Hand in the application's state with [`Input::Snapshot`], as it is after all outputs before
    /// this one and before all later ones.
    SnapshotRequested {
        /// The index as of which the state is.
        index: LogIndex,
    },
    /// Something that an operator may want to know.
    Notice(Notice),
    /// The store refuses writes; nothing is promised or taken until it recovers.
    StorageFailed(StorageError),
    /// The store takes writes again, and everything held back has been written.
    StorageRecovered,
}

/// Appends the outputs that stand for `effects`, in the order in which they must be acted upon.
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
