//! Identifiers and data types shared by messages, log and storage.

use std::{collections::BTreeSet, fmt, sync::Arc};

use nutmegwheel_types::{Incarnation, ProcessName, plain, plain_copy};

/// A Raft term; at most one replica leads in each.
pub type Term = u64;
/// The index of a log entry; the first entry has index 1.
pub type LogIndex = u64;
/// The id of a cluster, chosen when it is bootstrapped, so that replicas reject messages of a
/// cluster that was bootstrapped separately.
pub type ClusterId = u64;
/// The name of a replica, unique in the fleet and unchanged when its disk is replaced.
pub type ReplicaName = ProcessName;
/// The sequence number of a heartbeat round within the leader's term.
pub type Round = u64;
/// The caller's id for a proposal, unique until the process restarts.
pub type ProposalId = u64;
/// The caller's id for a read, unique until the process restarts.
pub type ReadId = u64;
/// An opaque application command.
pub type Command = Arc<[u8]>;

plain! {
    /// A replica together with the incarnation of its disk.
    ///
    /// Votes and acknowledgements count for this pair only: a replica that lost its disk no longer
    /// knows how it voted or what it acknowledged, so it gets a new incarnation.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct ReplicaId {
        /// The replica's name.
        pub name: ReplicaName,
        /// A random number that is drawn when the store is created.
        pub incarnation: Incarnation,
    }

    /// The content of a log entry.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum Payload {
        /// An empty entry. Once it is committed, a new leader knows that all entries before it,
        /// from earlier terms, are committed too.
        Noop,
        /// An application command.
        Command(Command),
        /// The membership from this entry on. A replica uses it as soon as the entry is in its log,
        /// even before the entry is committed.
        Membership(Membership),
    }

    /// An entry of the replicated log.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct Entry {
        /// The term and index of the entry.
        pub position: Position,
        /// The content of the entry.
        pub payload: Payload,
    }

    /// The members of the cluster.
    #[derive(Default, Hash, PartialOrd, Ord)]
    pub struct Membership {
        /// The replicas whose votes and acknowledgements count towards a quorum.
        pub voters: BTreeSet<ReplicaId>,
        /// The replicas that receive the log but do not vote until they have caught up and are
        /// promoted.
        pub learners: BTreeSet<ReplicaId>,
    }

    /// Raft hard state: what a replica must persist besides its log.
    #[derive(Default, Hash)]
    pub struct HardState {
        /// The cluster that the replica belongs to, or `None` until it has joined or bootstrapped
        /// one.
        pub cluster: Option<ClusterId>,
        /// The highest term seen.
        pub term: Term,
        /// The replica that received this replica's vote in `term`.
        pub vote: Option<ReplicaId>,
    }

    /// Application state that replaces the entries up to its position.
    #[derive(Hash)]
    pub struct Snapshot {
        /// The position of the last log entry that the snapshot includes.
        pub position: Position,
        /// The membership as of that entry.
        pub membership: Membership,
        /// The encoded application state.
        pub data: Command,
    }
}

plain_copy! {
    /// The term and index of an entry, ordered the way elections compare logs: by term, then by
    /// index.
    #[derive(Default)]
    pub struct Position {
        /// The term in which the entry was proposed.
        pub term: Term,
        /// The index of the entry in the log.
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

    /// Returns the number of voters that form a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the voter with the name of `id` and another incarnation: the same replica before it
    /// lost its disk.
    pub(crate) fn previous_incarnation(&self, id: &ReplicaId) -> Option<&ReplicaId> {
        self.voters.iter().find(|v| v.name == id.name && *v != id)
    }
}

impl Entry {
    /// The bytes counted for each entry in addition to its payload, so that empty entries count
    /// against the limits too.
    const OVERHEAD_BYTES: usize = 32;
    /// The bytes counted for each member of a membership entry.
    const MEMBER_BYTES: usize = 64;

    /// Returns the size in bytes that counts against the limits on batches and on the log.
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
