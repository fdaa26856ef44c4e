use std::time::Duration;

use crate::{ClassId, ClassRank, RootId, WorkspaceId, plain, plain_copy};

plain! {
    /// The context that a request carries over every hop of its call chain; see docs/INTERFACES.md.
    pub struct Context {
        /// The id of the client request at the root of the chain.
        pub root: RootId,
        /// The workspace whose key came with the root request, or `None` on an open route.
        pub workspace: Option<WorkspaceId>,
        /// The class of the root request.
        pub class: ClassId,
        /// The priority of the chain under overload.
        pub priority: Priority,
        /// The time left until the root request's deadline.
        pub remaining: Duration,
        /// The number of calls above this one; 0 for the root request at its ingress node.
        pub depth: u8,
        /// The retries that remain for this branch of the chain.
        pub retry_tokens: u32,
        /// Whether the call may run at most once.
        pub non_idempotent: bool,
        /// Whether the call would not be made without a retry of this call or further up its chain.
        pub is_repeat: bool,
    }
}

plain_copy! {
    /// The priority of a request under overload. Greater values are shed first.
    ///
    /// The fields are in order of significance, because the derived ordering is the shedding order.
    pub struct Priority {
        /// The rank of the class; 0 is the highest priority.
        pub rank: ClassRank,
        /// How far the workspace exceeds its share, in 1/16 of the share; 0 within the share.
        pub over_share: u8,
        /// A hash of the root id. It is the same on every hop, so that a chain is shed or kept as a
        /// whole.
        pub root_hash: u16,
    }
}
