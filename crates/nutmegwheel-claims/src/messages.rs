//! The messages between doors and seeds and between seeds, as plain data for the wire.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use nutmegwheel_types::{Incarnation, ProcessName, RequestId, plain};

use crate::{AttemptId, Phase, SeedGeneration, Target};

plain! {
    /// Asks a seed to hold a claim.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct ClaimRequest {
        /// The list of seeds that the door goes by.
        pub generation: SeedGeneration,
        /// The request.
        pub id: RequestId,
        /// The attempt that wants to run it.
        pub attempt: AttemptId,
        /// Where it would run.
        pub target: Target,
        /// An earlier attempt of which it is proved that it did not run, released by this message.
        pub replaces: Option<AttemptId>,
    }

    /// A seed's answer to a [`ClaimRequest`].
    #[derive(Hash)]
    pub struct ClaimReply {
        /// The attempt answered.
        pub attempt: AttemptId,
        /// The life of the seed.
        pub incarnation: Incarnation,
        /// The newest lives of other seeds that have recovered through this one.
        ///
        /// A grant of an earlier life is void, since the seed has forgotten it.
        pub peers: BTreeMap<ProcessName, Incarnation>,
        /// The decision.
        pub vote: Vote,
    }

    /// A seed's decision on a claim.
    #[derive(Hash)]
    pub enum Vote {
        /// The seed holds the claim for the attempt.
        Granted,
        /// It holds the request for another attempt, which may run or be running at its target.
        Busy(AttemptId, Target),
        /// The request has run; the answer is there if it was kept.
        Done(Option<Bytes>),
        /// The attempt was released before its claim came.
        AlreadyReleased,
        /// There is no room for another claim.
        Full,
        /// The seed restarted and has not yet learnt what it may have forgotten.
        Recovering,
        /// The seed goes by another list of seeds.
        OtherGeneration(SeedGeneration),
    }

    /// Tells every seed how an attempt went on; repeating it changes nothing.
    #[derive(Hash)]
    pub struct Update {
        /// The request.
        pub id: RequestId,
        /// The attempt.
        pub attempt: AttemptId,
        /// How far it got.
        pub phase: Phase,
    }

    /// A restarted seed asks another one for its claims, page by page.
    #[derive(Hash)]
    pub struct RecoverRequest {
        /// The seed that recovers.
        pub seed: ProcessName,
        /// Its new life.
        pub incarnation: Incarnation,
        /// The list of seeds that it goes by.
        pub generation: SeedGeneration,
        /// The last request id of the page before.
        pub after: Option<RequestId>,
    }

    /// One page of a seed's claims, in the order of their request ids.
    #[derive(Hash)]
    pub struct RecoverReply {
        /// The life of the seed that asked.
        pub incarnation: Incarnation,
        /// The last request id of the page before, as in the request.
        pub after: Option<RequestId>,
        /// The claims.
        pub claims: Vec<ClaimCopy>,
        /// Whether there are none after these.
        pub is_last: bool,
    }

    /// What a seed knows of one request, without its answer.
    #[derive(Hash)]
    pub struct ClaimCopy {
        /// The request.
        pub id: RequestId,
        /// Its attempts.
        pub attempts: BTreeMap<AttemptId, Phase>,
        /// The time since the seed last heard of it.
        pub age: Duration,
    }
}
