use bytes::Bytes;
use nutmegwheel_types::{Incarnation, ProcessName, plain};

/// The largest answer that a claim keeps for resends, in bytes.
pub const MAX_ANSWER: usize = 64 * 1024;

/// The number of a data centre's list of seeds, which goes up when one is replaced.
pub type SeedGeneration = u64;

plain! {
    /// One attempt to run a request at one target; another try or another target is another attempt.
    ///
    /// The fields are in the order in which a door numbers its attempts.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct AttemptId {
        /// The door that makes the attempt.
        pub ingress: ProcessName,
        /// The life of the door.
        pub incarnation: Incarnation,
        /// The number of the attempt, which only goes up within a life.
        pub number: u64,
    }

    /// The one node, and the one life of it, at which an attempt may run.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Target {
        /// The node.
        pub node: ProcessName,
        /// The life of the node.
        pub incarnation: Incarnation,
    }

    /// How far an attempt got.
    #[derive(Hash)]
    pub enum Phase {
        /// It may be sent to its target.
        Claimed(Target),
        /// It was sent to its target.
        Running(Target),
        /// It is proved that it did not run and never will.
        Released,
        /// It ran. The answer is kept when it is small enough and there is room.
        Done(Option<Bytes>),
    }
}

impl Phase {
    /// Later news about an attempt has a higher rank. Done ranks highest, because to forget that a
    /// request ran is what must never happen.
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
