use bytes::Bytes;
use nutmegwheel_types::{plain, plain_copy};
use slotmap::new_key_type;
use thiserror::Error;

use crate::{Refusal, Reply, Request, Step, Topic};

/// The number of a stream on the wire, unique within one link.
pub type StreamId = u32;

new_key_type! {
    /// A call that this side made, from the moment it was queued.
    pub struct CallKey;
}

plain_copy! {
    /// The side of a link. Requests flow from the dialler to the acceptor only.
    pub enum Side {
        /// The side that made the connection.
        Dialler,
        /// The side that accepted the connection.
        Acceptor,
    }

    /// Why a call ended without a reply.
    pub enum Failure {
        /// The last byte of the request was never handed to the socket, so it cannot have begun.
        NotSent(Step),
        /// The far side said that it did not begin the request.
        Refused(Refusal),
        /// The far side may have begun the request.
        Lost(Step),
    }

    /// Why a call was not taken by a link.
    pub enum Rejection {
        /// As many calls, or bytes of them, are open as the limits allow.
        Busy,
        /// The message is longer than the limits allow.
        TooLarge,
        /// The link takes no more calls: the far side is going away, or the ids are used up.
        Draining,
    }
}

plain! {
    /// What a link has to tell the process that it belongs to.
    pub enum Event {
        /// A whole reply came.
        Replied {
            /// The call that it answers.
            call: CallKey,
            /// The reply.
            reply: Reply,
        },
        /// A call ended without a reply.
        Failed {
            /// The call.
            call: CallKey,
            /// What is known about it.
            failure: Failure,
        },
        /// A whole request came, to be answered.
        Requested {
            /// The stream to answer on.
            stream: StreamId,
            /// The request.
            req: Request,
        },
        /// The reply to a request is no longer wanted.
        Cancelled {
            /// The stream of the request.
            stream: StreamId,
        },
        /// A whole one-way message came.
        Notification {
            /// What it is about.
            topic: Topic,
            /// The payload.
            body: Bytes,
        },
    }
}

/// A breach of the protocol, after which nothing on the link can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// A frame that only the other side of a link may send.
    #[error("a frame from the wrong side")]
    WrongSide,
    /// A stream that was never begun.
    #[error("stream {0} was never begun")]
    UnknownStream(StreamId),
    /// The id of a stream that was begun before.
    #[error("stream {0} was begun before")]
    ReusedStream(StreamId),
    /// More bytes than were permitted.
    #[error("stream {0} overran its credit")]
    Overrun(StreamId),
    /// A reply to a request that is still being sent.
    #[error("stream {0} was answered before it was sent")]
    EarlyReply(StreamId),
}

/// The far side has been silent for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the far side is silent")]
pub struct PeerTimeout;
