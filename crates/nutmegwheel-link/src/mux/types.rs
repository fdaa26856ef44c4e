use std::time::Instant;

use bytes::Bytes;
use nutmegwheel_types::{plain, plain_copy};
use slotmap::new_key_type;
use thiserror::Error;

use crate::{Refusal, Reply, Request, Step, Topic};

/// The id of a stream on the wire, unique within one link.
pub type StreamId = u32;

new_key_type! {
    /// Identifies a call that this side made, also before it has a stream id.
    pub struct CallKey;
}

plain_copy! {
    /// A side of a link. Only the dialler sends requests.
    pub enum Side {
        /// The side that opened the connection.
        Dialler,
        /// The side that accepted the connection.
        Acceptor,
    }

    /// Why a call ended without a reply.
    pub enum Failure {
        /// The last byte of the request was never handed to the socket, so it cannot have run.
        NotSent(Step),
        /// The peer reported that it did not start the request.
        Refused(Refusal),
        /// The peer may have started the request.
        Lost(Step),
    }

    /// Why a link did not accept a call.
    pub enum Rejection {
        /// The open calls, or their bytes, have reached the limits.
        Busy,
        /// The message exceeds the limits on its head or body.
        TooLarge,
        /// The link accepts no more calls: the peer is going away, or the ids are used up.
        Draining,
    }
}

plain! {
    /// An event of a link that the process on this side has to handle.
    pub enum Event {
        /// A complete reply arrived.
        Replied {
            /// The call that the reply is for.
            call: CallKey,
            /// The complete reply of the peer.
            reply: Reply,
        },
        /// A call ended without a reply.
        Failed {
            /// The call that failed.
            call: CallKey,
            /// Why it failed, and whether the peer may have started it.
            failure: Failure,
        },
        /// A complete request arrived. [`Mux::answer`](super::Mux::answer) sends the reply.
        Requested {
            /// The stream on which to send the reply.
            stream: StreamId,
            /// The complete request of the peer.
            req: Request,
            /// When the caller stops waiting, if it named a time.
            deadline: Option<Instant>,
        },
        /// The peer cancelled a request.
        Cancelled {
            /// The stream on which the request arrived.
            stream: StreamId,
        },
        /// A complete one-way message arrived.
        Notification {
            /// The topic that selects the handler.
            topic: Topic,
            /// The payload of the message.
            body: Bytes,
        },
    }
}

/// A violation of the protocol by the peer, after which the link must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// The peer sent a frame that only the other side of a link may send.
    #[error("a frame from the wrong side")]
    WrongSide,
    /// A frame names a stream that was never started.
    #[error("stream {0} was never begun")]
    UnknownStream(StreamId),
    /// A request starts a stream whose id is not above all earlier ones.
    #[error("stream {0} was begun before")]
    ReusedStream(StreamId),
    /// The peer sent more bytes than its credit allows, or data after the end of a message.
    #[error("stream {0} overran its credit")]
    Overrun(StreamId),
    /// The peer replied to a request that is still being sent.
    #[error("stream {0} was answered before it was sent")]
    EarlyReply(StreamId),
}

/// The peer did not answer pings within [`Limits::silence_timeout`](crate::Limits).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the far side is silent")]
pub struct PeerTimeout;
