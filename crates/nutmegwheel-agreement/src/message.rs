//! What replicas send to each other.

use nutmegwheel_types::{Incarnation, plain};

use crate::types::{
    ClusterId, Command, Entry, LogIndex, Membership, Position, ReplicaId, ReplicaName, Round, Term,
};

plain! {
    /// One message between replicas; it may be lost, doubled, delayed and reordered.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct Message {
        /// The founding that the sender belongs to.
        pub cluster: Option<ClusterId>,
        /// The sender.
        pub from: ReplicaId,
        /// The name of the receiver, by which the message is routed.
        pub to: ReplicaName,
        /// The life that it is meant for; `None` when the sender does not know it.
        pub to_incarnation: Option<Incarnation>,
        /// The sender's term, or the term that it asks for in a pre-vote.
        pub term: Term,
        /// What is asked or answered.
        pub body: Body,
    }

    /// What a message asks or answers.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum Body {
        /// A replica outside of every membership that it knows asks to be let in.
        Join {
            /// The names that its settings give for a first founding, in order.
            bootstrap_members: Vec<ReplicaName>,
        },
        /// A fresh replica tells a founder that its store has never held anything.
        Fresh {
            /// The names that its settings give for a first founding, in order.
            bootstrap_members: Vec<ReplicaName>,
        },
        /// Would the receiver vote for the sender in this term?
        PreVote {
            /// The last entry of the sender's log.
            last: Position,
        },
        /// The answer to a pre-vote; nothing is promised by it.
        PreVoteReply {
            /// Whether it would.
            granted: bool,
        },
        /// The receiver's vote for this term is asked for.
        Vote {
            /// The last entry of the sender's log.
            last: Position,
        },
        /// The answer to a vote request, sent once the vote is synced.
        VoteReply {
            /// Whether the vote was given.
            granted: bool,
        },
        /// The leader's entries, or none in a heartbeat.
        Append {
            /// The entry before the first one sent.
            prev: Position,
            /// The entries, in order and without a gap.
            entries: Vec<Entry>,
            /// The leader's commit index.
            commit: LogIndex,
            /// The heartbeat round that the message belongs to.
            round: Round,
        },
        /// The answer to entries, sent once they are synced.
        AppendReply {
            /// The round of the message answered.
            round: Round,
            /// Whether the entries follow the receiver's log.
            result: AppendResult,
        },
        /// One piece of the leader's snapshot.
        Install {
            /// The last entry that the snapshot includes.
            position: Position,
            /// The members as of that entry.
            membership: Membership,
            /// The size of the whole snapshot in bytes.
            total: u64,
            /// Where this piece begins, in bytes.
            offset: u64,
            /// The piece.
            data: Command,
            /// The heartbeat round that the message belongs to.
            round: Round,
        },
        /// The answer to a piece of a snapshot.
        InstallReply {
            /// The round of the message answered.
            round: Round,
            /// The index of the snapshot.
            index: LogIndex,
            /// The bytes held so far, from the start and without a gap.
            received: u64,
        },
    }

    /// How an append went.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum AppendResult {
        /// The receiver's log equals the leader's up to this index, and is synced.
        Matched(LogIndex),
        /// The receiver does not hold the entry before the ones sent.
        Rejected {
            /// The index of the entry that it does not hold.
            prev: LogIndex,
            /// The index that the leader should try in its place.
            hint: LogIndex,
        },
    }
}
