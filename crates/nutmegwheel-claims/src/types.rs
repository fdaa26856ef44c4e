use bytes::Bytes;
use nutmegwheel_types::{Incarnation, ProcessName, plain};

/// The maximum size in bytes of an answer that a seed stores, to replay it when the request is
/// resent.
pub const MAX_STORED_ANSWER_BYTES: usize = 64 * 1024;

/// The version of a data centre's seed list; it increases whenever a seed is replaced.
pub type SeedGeneration = u64;

plain! {
    /// Identifies one attempt to run a request at one target.
    ///
    /// A retry gets a new id, even at the same target. The derived ordering is the order in which
    /// an ingress node makes its attempts.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct AttemptId {
        /// The ingress node that makes the attempt.
        pub ingress: ProcessName,
        /// The incarnation of the ingress node.
        pub incarnation: Incarnation,
        /// The attempt's sequence number, which only increases within an incarnation.
        pub number: u64,
    }

    /// The only node and incarnation at which an attempt may run.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Target {
        /// The name of the node.
        pub node: ProcessName,
        /// The incarnation of the node.
        pub incarnation: Incarnation,
    }

    /// The progress of an attempt.
    #[derive(Hash)]
    pub enum Phase {
        /// The claim is granted, and the attempt may be sent to its target.
        Claimed(Target),
        /// The attempt was sent to its target.
        Running(Target),
        /// The attempt did not run and will never run.
        Released,
        /// The attempt ran. Its answer is stored if it is small enough and the store has room.
        Done(Option<Bytes>),
    }
}

impl Phase {
    /// The rank of the phase: when seeds merge two phases of an attempt, the higher one wins.
    ///
    /// `Done` ranks highest, because a seed must never forget that a request ran.
    pub(crate) fn rank(&self) -> u8 {
        match self {
            Phase::Claimed(_) => 0,
            Phase::Running(_) => 1,
            Phase::Released => 2,
            Phase::Done(None) => 3,
            Phase::Done(Some(_)) => 4,
        }
    }
}
