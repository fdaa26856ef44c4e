//! The messages between ingress nodes and token servers, independent of their encoding.

use std::time::Duration;

use nutmegwheel_types::{Incarnation, ProcessName, WorkspaceId, plain};

/// The sequence number of a request of one ingress node, which also identifies the batches granted
/// in reply to it.
pub type RequestSeq = u64;

plain! {
    /// One incarnation of an ingress node; its batches are lost when it ends.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct IngressId {
        /// The name of the node.
        pub name: ProcessName,
        /// The incarnation of the node.
        pub incarnation: Incarnation,
    }

    /// A message of an ingress node to the token server: it reports on batches and requests tokens.
    #[derive(Hash)]
    pub struct TokenRequest {
        /// The requesting ingress node.
        pub ingress: IngressId,
        /// The sequence number of this request.
        pub seq: RequestSeq,
        /// The reports and requests, with one entry per workspace.
        pub items: Vec<TokenRequestItem>,
    }

    /// The part of a [`TokenRequest`] for one workspace.
    #[derive(Hash)]
    pub struct TokenRequestItem {
        /// The workspace whose tokens are requested.
        pub workspace: WorkspaceId,
        /// The number of tokens for requests that wait at the ingress node.
        pub waiting: u32,
        /// The number of tokens for expected requests.
        pub prefetch: u32,
        /// The number of requests that the node refused by itself since its last message.
        pub refused: u32,
        /// The state of earlier batches from which tokens were spent or returned.
        pub reports: Vec<BatchReport>,
    }

    /// The state of a batch. Reports are idempotent, since they count from the start of the batch.
    #[derive(Hash)]
    pub struct BatchReport {
        /// The number of the request that the batch was granted for.
        pub batch: RequestSeq,
        /// The number of tokens spent since the batch was granted.
        pub spent: u32,
        /// Whether the node returns the remaining tokens, which it then never spends.
        pub closed: bool,
    }

    /// The token server's reply to a [`TokenRequest`].
    #[derive(Hash)]
    pub struct Grant {
        /// The sequence number of the request.
        pub seq: RequestSeq,
        /// One entry per workspace for which tokens were requested.
        pub items: Vec<GrantItem>,
    }

    /// The part of a [`Grant`] for one workspace.
    #[derive(Hash)]
    pub struct GrantItem {
        /// The workspace whose tokens are granted.
        pub workspace: WorkspaceId,
        /// The number of tokens in the granted batch. The request's number identifies the batch.
        pub tokens: u32,
        /// The lifetime of the batch, counted from when the node sent the request.
        pub term: Duration,
        /// Whether to report spent tokens immediately, because unreported ones may delay the refill
        /// of the bucket.
        pub report_immediately: bool,
        /// The time until the next token is available, unless an ingress node returns one earlier.
        pub empty_for: Duration,
        /// The time after which refused requests should be retried; zero if there was a token for
        /// each waiting request.
        pub retry_after: Duration,
    }
}

impl IngressId {
    /// Creates the identity of one incarnation of an ingress node.
    pub fn new(name: impl Into<ProcessName>, incarnation: Incarnation) -> Self {
        IngressId {
            name: name.into(),
            incarnation,
        }
    }
}
