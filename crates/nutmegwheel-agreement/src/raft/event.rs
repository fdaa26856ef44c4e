//! The events that drive the state machine, and its configuration.

use nutmegwheel_types::{plain, plain_copy};

use crate::{
    message::Message,
    types::{Command, LogIndex, ProposalId, ReadId, ReplicaId, ReplicaName},
};

plain! {
    /// An input of the state machine. The state machine has no clock, so the caller passes
    /// time-outs as events too.
    #[derive(Hash)]
    pub enum Event {
        /// No message from a leader arrived for an election timeout.
        ElectionTimeout,
        /// Start an election immediately, without a pre-vote.
        Campaign,
        /// The leader's next heartbeat round is due.
        Heartbeat,
        /// No quorum has answered this leader's heartbeats for two election timeouts.
        QuorumLost,
        /// A message arrived.
        Message {
            /// The message.
            message: Message,
            /// Whether a message from a leader arrived within the last election timeout.
            leader_alive: bool,
        },
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
        /// The application provides the snapshot that the state machine requested.
        Snapshot {
            /// The index of [`Effects::snapshot_requested`](super::Effects::snapshot_requested).
            index: LogIndex,
            /// The encoded application state.
            data: Command,
        },
    }

    /// A membership change.
    #[derive(Hash)]
    pub enum Change {
        /// Adds, as a learner, a replica that has asked to join. It is promoted to voter once it
        /// has caught up; if `target_voters` is set, only while there are fewer voters or to
        /// replace its previous incarnation.
        AddLearner(ReplicaId),
        /// Removes the replica with this name, whatever its incarnation.
        Remove(ReplicaName),
    }

    /// The identity and configuration of a replica.
    #[derive(Hash)]
    pub struct Setup {
        /// The name and incarnation with which its store was created.
        pub id: ReplicaId,
        /// The replicas that receive join requests, in addition to the members in the log.
        pub peers: Vec<ReplicaName>,
        /// The names of all members that bootstrap the cluster, sorted; empty if the cluster
        /// already exists.
        pub bootstrap_members: Vec<ReplicaName>,
        /// Whether the leader adds a known member that lost its disk again without an operator.
        pub auto_repair: bool,
        /// The number of voters that the leader maintains: any replica that asks is added as a
        /// learner, and learners are promoted while there are fewer voters. `None` leaves the
        /// membership to operators.
        pub target_voters: Option<usize>,
        /// The limits on messages, log and memory.
        pub limits: Limits,
    }
}

plain_copy! {
    /// The limits on messages, log and memory.
    pub struct Limits {
        /// The largest command in bytes.
        pub max_command_bytes: usize,
        /// The maximum bytes of entries in one message; a larger entry is sent on its own.
        pub max_batch_bytes: usize,
        /// The maximum number of unacknowledged messages with entries to one follower.
        pub max_inflight: usize,
        /// The maximum number of uncommitted proposals, and separately of pending reads.
        pub max_uncommitted: usize,
        /// The log size in bytes at which a snapshot is requested from the application.
        pub snapshot_log_bytes: usize,
        /// The log size in bytes at which proposals are refused until a snapshot compacts the log.
        pub max_log_bytes: usize,
        /// The maximum bytes of a snapshot chunk in one message.
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
