//! Messages between replicas.

use nutmegwheel_types::{Incarnation, plain};

use crate::types::{
    ClusterId, Command, Entry, LogIndex, Membership, Position, ReplicaId, ReplicaName, Round, Term,
};

plain! {
    /// A message between replicas, which may be lost, duplicated, delayed or reordered.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct Message {
        /// The cluster that the sender belongs to.
        pub cluster: Option<ClusterId>,
        /// The name and incarnation of the sender.
        pub from: ReplicaId,
        /// The name of the receiver, used to route the message.
        pub to: ReplicaName,
        /// The incarnation of the receiver, or `None` if the sender does not know it.
        pub to_incarnation: Option<Incarnation>,
        /// The sender's term; in a pre-vote, the term that it would campaign in.
        pub term: Term,
        /// The kind of request or reply, with its fields.
        pub body: Body,
    }

    /// The request or reply that a message carries.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum Body {
        /// Asks the receiver to add the sender to the cluster.
        Join {
            /// The sender's configured bootstrap members, in order.
            bootstrap_members: Vec<ReplicaName>,
        },
        /// Reports to a bootstrap member that nothing was ever written to the sender's store.
        Fresh {
            /// The sender's configured bootstrap members, in order.
            bootstrap_members: Vec<ReplicaName>,
        },
        /// Asks whether the receiver would vote for the sender in this term.
        PreVote {
            /// The last entry of the sender's log.
            last: Position,
        },
        /// The reply to a pre-vote, which is not binding: the replier may still vote for others.
        PreVoteReply {
            /// Whether the replier would grant the vote.
            granted: bool,
        },
        /// Requests the receiver's vote for this term.
        Vote {
            /// The last entry of the sender's log.
            last: Position,
        },
        /// The reply to a vote request, sent once the vote is synced to storage.
        VoteReply {
            /// Whether the vote was granted.
            granted: bool,
        },
        /// Entries from the leader; a heartbeat may carry none.
        Append {
            /// The position of the entry that precedes `entries`.
            prev: Position,
            /// The entries, with consecutive indexes.
            entries: Vec<Entry>,
            /// The leader's commit index.
            commit: LogIndex,
            /// The heartbeat round that the message belongs to.
            round: Round,
        },
        /// The reply to entries, sent once they are synced to storage.
        AppendReply {
            /// The round of the message that this replies to.
            round: Round,
            /// Whether the entries were accepted.
            result: AppendResult,
        },
        /// One chunk of the leader's snapshot.
        Install {
            /// The position of the last entry that the snapshot includes.
            position: Position,
            /// The membership as of that entry.
            membership: Membership,
            /// The size of the whole snapshot in bytes.
            total: u64,
            /// The offset of this chunk in the snapshot, in bytes.
            offset: u64,
            /// The bytes of this chunk.
            data: Command,
            /// The heartbeat round that the message belongs to.
            round: Round,
        },
        /// The reply to a chunk of a snapshot.
        InstallReply {
            /// The round of the message that this replies to.
            round: Round,
            /// The index of the last entry that the snapshot includes.
            index: LogIndex,
            /// The number of contiguous bytes received so far, from the start of the snapshot.
            received: u64,
        },
    }

    /// Whether a follower accepted the entries of an append.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum AppendResult {
        /// The receiver's log matches the leader's up to this index and is synced to storage.
        Matched(LogIndex),
        /// The receiver's log lacks the entry that precedes the ones sent.
        Rejected {
            /// The index of the missing entry.
            prev: LogIndex,
            /// The index to try next as the preceding entry.
            hint: LogIndex,
        },
    }
}
