//! The messages between doors and stewards, as plain data for the wire.

use std::time::Duration;

use nutmegwheel_types::{Incarnation, ProcessName, WorkspaceId, plain};

/// The number of a message of one door, which also names the batches granted in answer to it.
pub type RequestSeq = u64;

plain! {
    /// One life of a door; its batches are lost with it.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct IngressId {
        /// The name of the node.
        pub name: ProcessName,
        /// The life of the node.
        pub incarnation: Incarnation,
    }

    /// What a door sends to the steward: reports on its batches and asks for more.
    #[derive(Hash)]
    pub struct TokenRequest {
        /// The door that asks.
        pub ingress: IngressId,
        /// The number of this message.
        pub seq: RequestSeq,
        /// One entry per workspace.
        pub items: Vec<TokenRequestItem>,
    }

    /// The part of an [`TokenRequest`] for one workspace.
    #[derive(Hash)]
    pub struct TokenRequestItem {
        /// The workspace whose tokens are meant.
        pub workspace: WorkspaceId,
        /// Tokens for requests that wait at the door at this moment.
        pub waiting: u32,
        /// Tokens for requests to come.
        pub prefetch: u32,
        /// Requests refused at the door since its last message without asking for them.
        pub refused: u32,
        /// What became of earlier batches.
        pub reports: Vec<BatchReport>,
    }

    /// What became of a batch; repeating it changes nothing.
    #[derive(Hash)]
    pub struct BatchReport {
        /// The batch.
        pub batch: RequestSeq,
        /// The tokens spent so far, counted from the beginning of the batch.
        pub spent: u32,
        /// Whether the door has given up the rest, which it then never spends.
        pub closed: bool,
    }

    /// The steward's answer to an [`TokenRequest`].
    #[derive(Hash)]
    pub struct Grant {
        /// The number of the message answered.
        pub seq: RequestSeq,
        /// One entry per workspace that asked for tokens.
        pub items: Vec<GrantItem>,
    }

    /// The part of a [`Grant`] for one workspace.
    #[derive(Hash)]
    pub struct GrantItem {
        /// The workspace whose tokens are meant.
        pub workspace: WorkspaceId,
        /// The tokens granted, under the number of the message as the name of the batch.
        pub tokens: u32,
        /// How long the batch lasts, counted by the door from the moment it sent its message.
        pub term: Duration,
        /// Whether unreported spending holds up the refill, so that it is to be reported at once.
        pub report_immediately: bool,
        /// How long there will be no token unless a door gives one back.
        pub empty_for: Duration,
        /// When to come back, if fewer tokens than waiting requests were granted.
        pub retry_after: Duration,
    }
}

impl IngressId {
    /// Names one life of a door.
    pub fn new(name: impl Into<ProcessName>, incarnation: Incarnation) -> Self {
        IngressId {
            name: name.into(),
            incarnation,
        }
    }
}
