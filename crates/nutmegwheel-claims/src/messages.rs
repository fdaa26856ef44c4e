//! The messages between ingress nodes and seeds, and among seeds.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use nutmegwheel_types::{Incarnation, ProcessName, RequestId, plain};

use crate::{AttemptId, Phase, SeedGeneration, Target};

plain! {
    /// Asks a seed to grant a claim.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct ClaimRequest {
        /// The generation of the seed list according to the ingress node.
        pub generation: SeedGeneration,
        /// The id of the request to be run, which all its attempts share.
        pub id: RequestId,
        /// The attempt for which the ingress node claims the request.
        pub attempt: AttemptId,
        /// The node at which the attempt would run.
        pub target: Target,
        /// An earlier attempt, if any, that is known not to have run; the seed marks it as
        /// released.
        pub replaces: Option<AttemptId>,
    }

    /// A seed's answer to a [`ClaimRequest`].
    #[derive(Hash)]
    pub struct ClaimReply {
        /// The attempt in the claim request.
        pub attempt: AttemptId,
        /// The incarnation of the seed.
        pub incarnation: Incarnation,
        /// The newest incarnations of other seeds that have recovered from this one.
        ///
        /// A grant by an earlier incarnation of such a seed does not count, because the restarted
        /// seed has lost it.
        pub peers: BTreeMap<ProcessName, Incarnation>,
        /// Whether the seed granted the claim, and if not, why.
        pub vote: Vote,
    }

    /// A seed's decision on a claim.
    #[derive(Hash)]
    pub enum Vote {
        /// The seed granted the claim to the attempt.
        Granted,
        /// This other attempt holds the claim, and may be running or may yet run at this target.
        Busy(AttemptId, Target),
        /// The request has run; contains its answer, or `None` if the answer was not stored.
        Done(Option<Bytes>),
        /// The attempt was released before this claim request arrived.
        AlreadyReleased,
        /// The seed has no room for another claim.
        Full,
        /// The seed has restarted and has not yet recovered the claims that it may have lost.
        Recovering,
        /// The seed uses a seed list of another generation, which is given.
        OtherGeneration(SeedGeneration),
    }

    /// Reports the progress of an attempt to a seed. A duplicate has no effect.
    #[derive(Hash)]
    pub struct Update {
        /// The id of the request that the attempt belongs to.
        pub id: RequestId,
        /// The attempt whose progress is reported.
        pub attempt: AttemptId,
        /// The phase that the attempt has reached.
        pub phase: Phase,
    }

    /// A restarted seed's request for the next page of another seed's claims.
    #[derive(Hash)]
    pub struct RecoverRequest {
        /// The name of the recovering seed.
        pub seed: ProcessName,
        /// The incarnation of the recovering seed since its restart.
        pub incarnation: Incarnation,
        /// The generation of the seed list according to the recovering seed.
        pub generation: SeedGeneration,
        /// The last request id of the previous page, or `None` to request the first page.
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
        /// The id of the request.
        pub id: RequestId,
        /// The phase of each attempt of the request.
        pub attempts: BTreeMap<AttemptId, Phase>,
        /// The time since the seed last updated its record of the request.
        pub age: Duration,
    }
}
