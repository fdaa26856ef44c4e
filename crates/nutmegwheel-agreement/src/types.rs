//! The ids and plain data that messages, log and storage share.

use std::{collections::BTreeSet, fmt, sync::Arc};

use nutmegwheel_types::{Incarnation, ProcessName, plain, plain_copy};

/// The number of a leader's reign; at most one replica leads in a term.
pub type Term = u64;
/// The place of an entry in the log; the first entry has index 1.
pub type LogIndex = u64;
/// The id of one founding of a cluster, so that messages of another founding are never mixed in.
pub type ClusterId = u64;
/// The name of a replica, unique in the fleet and kept over all its disks.
pub type ReplicaName = ProcessName;
/// The number of a leader's heartbeat round within its term.
pub type Round = u64;
/// The caller's number for a proposal, unique within one life of the process.
pub type ProposalId = u64;
/// The caller's number for a read, unique within one life of the process.
pub type ReadId = u64;
/// One opaque command of the application.
pub type Command = Arc<[u8]>;

plain! {
    /// One life of a replica's disk.
    ///
    /// Votes and acknowledgements count for this pair only, so that a replica that lost its disk
    /// can't break a promise that it no longer remembers.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct ReplicaId {
        /// The replica's name.
        pub name: ReplicaName,
        /// The number of the disk's life, chosen when the store was created.
        pub incarnation: Incarnation,
    }

    /// What one entry of the log holds.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum Payload {
        /// Nothing; a new leader commits it to learn what earlier terms committed.
        Noop,
        /// A command of the application.
        Command(Command),
        /// The members from this entry on, in force as soon as it is in the log.
        Membership(Membership),
    }

    /// One entry of the log.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct Entry {
        /// Its term and index.
        pub position: Position,
        /// What it holds.
        pub payload: Payload,
    }

    /// Who takes part in the agreement.
    #[derive(Default, Hash, PartialOrd, Ord)]
    pub struct Membership {
        /// The replicas whose votes and acknowledgements count.
        pub voters: BTreeSet<ReplicaId>,
        /// The replicas that are sent the log until they have caught up and become voters.
        pub learners: BTreeSet<ReplicaId>,
    }

    /// What a replica must remember besides its log.
    #[derive(Default, Hash)]
    pub struct HardState {
        /// The founding that the replica belongs to, or `None` while it is fresh.
        pub cluster: Option<ClusterId>,
        /// The newest term that it has seen.
        pub term: Term,
        /// The replica that it voted for in this term.
        pub vote: Option<ReplicaId>,
    }

    /// The application's state in place of the entries that led to it.
    #[derive(Hash)]
    pub struct Snapshot {
        /// The last entry that the state includes.
        pub position: Position,
        /// The members as of that entry.
        pub membership: Membership,
        /// The application's state.
        pub data: Command,
    }
}

plain_copy! {
    /// The term and index of an entry; the ordering is the one that votes compare logs by.
    #[derive(Default)]
    pub struct Position {
        /// The term in which the entry was proposed.
        pub term: Term,
        /// Its place in the log.
        pub index: LogIndex,
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.name, self.incarnation)
    }
}

impl Membership {
    /// Returns whether `id` is a voter or a learner.
    #[must_use]
    pub fn contains(&self, id: &ReplicaId) -> bool {
        self.voters.contains(id) || self.learners.contains(id)
    }

    /// Returns all members, voters first.
    pub fn members(&self) -> impl Iterator<Item = &ReplicaId> {
        self.voters.iter().chain(&self.learners)
    }

    /// Returns the number of voters that makes a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the voter of this name that is not `id`: an earlier life of the same replica.
    pub(crate) fn previous_incarnation(&self, id: &ReplicaId) -> Option<&ReplicaId> {
        self.voters.iter().find(|v| v.name == id.name && *v != id)
    }
}

impl Entry {
    /// The bytes that an entry counts for against every limit, besides its payload.
    const OVERHEAD_BYTES: usize = 32;
    /// The bytes that each member of a membership entry counts for.
    const MEMBER_BYTES: usize = 64;

    /// Returns the bytes that this entry counts for in batches and in the log.
    #[must_use]
    pub fn size(&self) -> usize {
        let payload = match &self.payload {
            Payload::Noop => 0,
            Payload::Command(command) => command.len(),
            Payload::Membership(m) => m.members().count() * Self::MEMBER_BYTES,
        };
        payload + Self::OVERHEAD_BYTES
    }
}
