//! The messages between ingress nodes and seeds, and among seeds.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use nutmegwheel_types::{Incarnation, ProcessName, RequestId, plain};

use crate::{AttemptId, Phase, SeedGeneration, Target};

plain! {
    /// Asks a seed to grant a claim.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct ClaimRequest {
        /// The generation of the seed list that the ingress node uses.
        pub generation: SeedGeneration,
        /// The request.
        pub id: RequestId,
        /// The attempt that is to run it.
        pub attempt: AttemptId,
        /// Where the attempt would run.
        pub target: Target,
        /// An earlier attempt that is known not to have run; this message releases it.
        pub replaces: Option<AttemptId>,
    }

    /// A seed's answer to a [`ClaimRequest`].
    #[derive(Hash)]
    pub struct ClaimReply {
        /// The attempt that this reply is about.
        pub attempt: AttemptId,
        /// The incarnation of the seed.
        pub incarnation: Incarnation,
        /// The newest incarnations of other seeds that have recovered from this one.
        ///
        /// A grant by an earlier incarnation is void, because the restarted seed has lost it.
        pub peers: BTreeMap<ProcessName, Incarnation>,
        /// The seed's decision.
        pub vote: Vote,
    }

    /// A seed's decision on a claim.
    #[derive(Hash)]
    pub enum Vote {
        /// The seed granted the claim to the attempt.
        Granted,
        /// Another attempt holds the claim and may be running, or may still run, at its target.
        Busy(AttemptId, Target),
        /// The request has run; this is its answer, if it was stored.
        Done(Option<Bytes>),
        /// The attempt was released before this claim request arrived.
        AlreadyReleased,
        /// The seed has no room for another claim.
        Full,
        /// The seed has restarted and has not yet recovered the claims that it may have lost.
        Recovering,
        /// The seed uses a seed list of this other generation.
        OtherGeneration(SeedGeneration),
    }

    /// Reports the progress of an attempt to a seed. Applying it twice has no further effect.
    #[derive(Hash)]
    pub struct Update {
        /// The request.
        pub id: RequestId,
        /// The attempt.
        pub attempt: AttemptId,
        /// The progress of the attempt.
        pub phase: Phase,
    }

    /// A restarted seed's request for the next page of another seed's claims.
    #[derive(Hash)]
    pub struct RecoverRequest {
        /// The seed that is recovering.
        pub seed: ProcessName,
        /// Its new incarnation.
        pub incarnation: Incarnation,
        /// The generation of the seed list that it uses.
        pub generation: SeedGeneration,
        /// The last request id of the previous page.
        pub after: Option<RequestId>,
    }

    /// One page of a seed's claims, ordered by request id.
    #[derive(Hash)]
    pub struct RecoverReply {
        /// The incarnation of the recovering seed, as in the request.
        pub incarnation: Incarnation,
        /// The last request id of the previous page, as in the request.
        pub after: Option<RequestId>,
        /// The claims of this page.
        pub claims: Vec<ClaimCopy>,
        /// Whether this is the last page.
        pub is_last: bool,
    }

    /// A copy of a seed's record of one request, without the stored answer.
    #[derive(Hash)]
    pub struct ClaimCopy {
        /// The request.
        pub id: RequestId,
        /// The attempts of the request.
        pub attempts: BTreeMap<AttemptId, Phase>,
        /// The time since the seed's last update of the request.
        pub age: Duration,
    }
}
