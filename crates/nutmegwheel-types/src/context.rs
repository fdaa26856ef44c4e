use std::time::Duration;

use crate::{ClassId, ClassRank, RootId, WorkspaceId, plain, plain_copy};

plain! {
    /// What travels with a request over every hop of its call chain; see docs/INTERFACES.md.
    pub struct Context {
        /// The client request at the root of the chain.
        pub root: RootId,
        /// The workspace whose key came with the root request, or `None` on an open route.
        pub workspace: Option<WorkspaceId>,
        /// The class of the root request.
        pub class: ClassId,
        /// Where the chain stands when capacity runs short.
        pub priority: Priority,
        /// The time left until the root request's deadline.
        pub remaining: Duration,
        /// The number of calls above this one; 0 at the door.
        pub depth: u8,
        /// The retries that this branch of the chain may still spend.
        pub retry_tokens: u32,
        /// Whether the call may run at most once.
        pub non_idempotent: bool,
    }
}

plain_copy! {
    /// Where a request stands when capacity runs short; the smaller one is shed later.
    ///
    /// The fields are in order of weight, so that the derived ordering is the ranking.
    pub struct Priority {
        /// The rank of the class, 0 being the most important.
        pub rank: ClassRank,
        /// How far the workspace is over its share, in 1/16 of the share and 0 when inside it.
        pub over_share: u8,
        /// A hash of the root id, the same on every hop, so that a whole chain is shed or kept.
        pub root_hash: u16,
    }
}
