//! What happens to a replica, and the settings that its decisions depend on.

use nutmegwheel_types::{plain, plain_copy};

use crate::{
    message::Message,
    types::{Command, LogIndex, ProposalId, ReadId, ReplicaId, ReplicaName},
};

plain! {
    /// Something that happened; time comes in only as the events that it causes.
    #[derive(Hash)]
    pub enum Event {
        /// Nothing was heard of a leader for an election timeout.
        ElectionTimeout,
        /// Ask for votes at once, without a pre-vote.
        Campaign,
        /// The leader's next heartbeat is due.
        Heartbeat,
        /// A leader has not been confirmed by a quorum for an election timeout.
        QuorumLost,
        /// A message came.
        Message {
            /// The message.
            message: Message,
            /// Whether a leader was heard of within the last election timeout.
            leader_alive: bool,
        },
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
        /// The application hands over its state as of an index that it was asked for.
        Snapshot {
            /// The index of [`Effects::snapshot_requested`](super::Effects::snapshot_requested).
            index: LogIndex,
            /// The state.
            data: Command,
        },
    }

    /// An operator's change of the membership.
    #[derive(Hash)]
    pub enum Change {
        /// Lets in a replica that has asked to join under a name that is not yet known.
        AddLearner(ReplicaId),
        /// Removes every life of the replica with this name.
        Remove(ReplicaName),
    }

    /// Who a replica is and what its decisions depend on.
    #[derive(Hash)]
    pub struct Setup {
        /// The name and incarnation that its store was created with.
        pub id: ReplicaId,
        /// The replicas that a joiner asks, besides the members that it knows.
        pub peers: Vec<ReplicaName>,
        /// The names of all members of a first founding, or none if the cluster exists already.
        pub bootstrap_members: Vec<ReplicaName>,
        /// Whether a new life of a known voter is let in without an operator.
        pub auto_repair: bool,
        /// The number of voters that the leader keeps up by itself: any replica that asks is let in
        /// as a learner, and learners become voters while there are fewer. `None` leaves the
        /// membership to operators.
        pub target_voters: Option<usize>,
        /// The bounds of messages, log and memory.
        pub limits: Limits,
    }
}

plain_copy! {
    /// The bounds of messages, log and memory.
    pub struct Limits {
        /// The largest command in bytes.
        pub max_command_bytes: usize,
        /// The bytes of entries in one message; one larger entry goes alone.
        pub max_batch_bytes: usize,
        /// The messages with entries that may be on their way to one follower.
        pub max_inflight: usize,
        /// The proposals that may wait for their commit.
        pub max_uncommitted: usize,
        /// The size of the log in bytes at which the application is asked for a snapshot.
        pub snapshot_log_bytes: usize,
        /// The size of the log in bytes at which proposals are refused until a snapshot came.
        pub max_log_bytes: usize,
        /// The bytes of a snapshot in one message.
        pub max_chunk_bytes: usize,
        /// The largest snapshot in bytes.
        pub max_snapshot_bytes: usize,
    }
}

impl Default for Limits {
    fn default() -> Self {
        const KIB: usize = 1024;
        const MIB: usize = 1024 * KIB;
        Self {
            max_command_bytes: MIB,
            max_batch_bytes: 256 * KIB,
            max_inflight: 16,
            max_uncommitted: 1024,
            snapshot_log_bytes: 4 * MIB,
            max_log_bytes: 16 * MIB,
            max_chunk_bytes: 256 * KIB,
            max_snapshot_bytes: 64 * MIB,
        }
    }
}
