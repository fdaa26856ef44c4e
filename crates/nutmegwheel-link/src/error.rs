use std::{io, net::SocketAddr};

use nutmegwheel_types::{Incarnation, plain_copy};
use thiserror::Error;

plain_copy! {
    /// The step at which a call failed.
    pub enum Step {
        /// Opening the connection.
        Connect,
        /// Proving to each other that both sides hold the fleet secret.
        Handshake,
        /// Admitting the call to a link, whose open calls are limited.
        Admit,
        /// Waiting on a link for the first frame of the request to be written.
        Queue,
        /// Sending the request.
        Send,
        /// Waiting for the reply.
        Wait,
        /// Receiving the reply.
        Receive,
    }

    /// Why the peer refused to start a request.
    pub enum Refusal {
        /// The peer is shutting down and accepts no new requests.
        GoingAway,
        /// The peer's open requests, or their bytes, have reached its limits.
        Busy,
        /// The request arrived incomplete or damaged.
        Incomplete,
        /// The request exceeds the peer's limits on its size.
        TooLarge,
        /// The deadline had passed when the request arrived.
        Expired,
    }
}

impl Step {
    /// Whether the call may succeed on another link, because a failure at this step means that the
    /// link was lost or accepts no more calls.
    pub(crate) fn is_link_failure(self) -> bool {
        matches!(self, Self::Queue | Self::Send)
    }
}

impl std::fmt::Display for Step {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Connect => "connect",
            Self::Handshake => "handshake",
            Self::Admit => "admit",
            Self::Queue => "queue",
            Self::Send => "send",
            Self::Wait => "wait",
            Self::Receive => "receive",
        })
    }
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::GoingAway => "it is going away",
            Self::Busy => "it is busy",
            Self::Incomplete => "the request did not arrive whole",
            Self::TooLarge => "the request is too large",
            Self::Expired => "the deadline passed on the way",
        })
    }
}

/// Why an endpoint could not be bound.
#[derive(Debug, Error)]
pub enum BindError {
    /// The listening socket could not be opened.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The fleet secret is too short to be secure.
    #[error("the fleet secret has {length} bytes, at least {min} are needed")]
    WeakSecret {
        /// The length of the configured secret, in bytes.
        length: usize,
        /// The minimum length, in bytes.
        min: usize,
    },
}

/// Why a call has no reply. [`CallError::proves_not_run`] tells whether a retry is safe even for a
/// request that must not run twice.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// The request was never completely sent, so the peer cannot have started it.
    #[error("{peer}: {step}: not sent: {reason}")]
    NotSent {
        /// The address of the peer that was called.
        peer: SocketAddr,
        /// The step at which the call failed.
        step: Step,
        /// A description of the failure for the text of the error.
        reason: String,
    },
    /// The peer reported that it has not started the request and will not.
    #[error("{peer}: refused: {reason}")]
    Refused {
        /// The address of the peer that was called.
        peer: SocketAddr,
        /// Why the peer refused the request.
        reason: Refusal,
    },
    /// The link was lost or the reply was incomplete; the peer may have started the request.
    #[error("{peer} (incarnation {incarnation}): {step}: lost: {reason}")]
    Lost {
        /// The address of the peer that was called.
        peer: SocketAddr,
        /// The step at which the call failed.
        step: Step,
        /// The incarnation of the peer that may have started the request.
        incarnation: Incarnation,
        /// A description of the failure for the text of the error.
        reason: String,
    },
    /// The deadline passed before a reply arrived.
    #[error("{peer}: the deadline passed, sent: {sent}")]
    Expired {
        /// The address of the peer that was called.
        peer: SocketAddr,
        /// Whether the peer may have started the request.
        sent: bool,
        /// The incarnation of the peer, if a link was already chosen.
        incarnation: Option<Incarnation>,
    },
    /// The message exceeds the limits on its size, and no part of it was sent.
    #[error("{peer}: the message is too large")]
    TooLarge {
        /// The address of the peer that was called.
        peer: SocketAddr,
    },
    /// This endpoint is shutting down, and no part of the message was sent.
    #[error("{peer}: this endpoint is shut down")]
    ShutDown {
        /// The address of the peer that was called.
        peer: SocketAddr,
    },
}

impl CallError {
    /// Whether it is certain that the peer has not started the request and never will.
    #[must_use]
    pub fn proves_not_run(&self) -> bool {
        match self {
            Self::NotSent { .. }
            | Self::Refused { .. }
            | Self::TooLarge { .. }
            | Self::ShutDown { .. } => true,
            Self::Lost { .. } => false,
            Self::Expired { sent, .. } => !sent,
        }
    }

    /// The incarnation of the peer that may have started the request, and can be asked about it.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        match self {
            Self::Lost { incarnation, .. } => Some(*incarnation),
            Self::Expired { incarnation, .. } => *incarnation,
            _ => None,
        }
    }
}
