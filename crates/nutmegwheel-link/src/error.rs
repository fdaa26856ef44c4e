use std::{io, net::SocketAddr};

use nutmegwheel_types::{Incarnation, plain_copy};
use thiserror::Error;

plain_copy! {
    /// The step of a call at which it failed.
    pub enum Step {
        /// Making the connection.
        Connect,
        /// Proving the fleet secret to each other.
        Handshake,
        /// Taking a place among the open calls of a link.
        Admit,
        /// Waiting on a link for the first frame to be written.
        Queue,
        /// Sending the request.
        Send,
        /// Waiting for the reply.
        Wait,
        /// Taking in the reply.
        Receive,
    }

    /// Why the far side refused to begin a request.
    pub enum Refusal {
        /// It is shutting down and takes nothing new.
        GoingAway,
        /// It has as many requests open, or as many bytes of them, as it may hold.
        Busy,
        /// The request did not arrive whole.
        Incomplete,
        /// The request is larger than it takes.
        TooLarge,
    }
}

impl Step {
    /// Whether the step is one of a link that is lost or takes no more calls, so that another link
    /// may do.
    pub(crate) fn is_on_link(self) -> bool {
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
        })
    }
}

/// Why an endpoint could not be bound.
#[derive(Debug, Error)]
pub enum BindError {
    /// The listening socket could not be opened.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address that was asked for.
        address: SocketAddr,
        /// What the operating system answered.
        source: io::Error,
    },
    /// The fleet secret is too short to protect anything.
    #[error("the fleet secret has {length} bytes, at least {min} are needed")]
    WeakSecret {
        /// The length of the secret that was given, in bytes.
        length: usize,
        /// The least length, in bytes.
        min: usize,
    },
}

/// Why a call has no reply; [`CallError::proves_not_run`] is what a retry may rest on.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// Proved: the far side cannot have begun the request, since it was never whole on the wire.
    #[error("{peer}: {step}: not sent: {reason}")]
    NotSent {
        /// The address that was called.
        peer: SocketAddr,
        /// The step that failed.
        step: Step,
        /// What went wrong, for a log.
        reason: String,
    },
    /// The far side said that it has not begun the request and will not.
    #[error("{peer}: refused: {reason}")]
    Refused {
        /// The address that was called.
        peer: SocketAddr,
        /// Why it was refused.
        reason: Refusal,
    },
    /// The link was lost or the reply was not whole; the far side may have begun the request.
    #[error("{peer} (incarnation {incarnation}): {step}: lost: {reason}")]
    Lost {
        /// The address that was called.
        peer: SocketAddr,
        /// The step that failed.
        step: Step,
        /// The life of the far side that may have begun the request.
        incarnation: Incarnation,
        /// What went wrong, for a log.
        reason: String,
    },
    /// The deadline passed.
    #[error("{peer}: the deadline passed, sent: {sent}")]
    Expired {
        /// The address that was called.
        peer: SocketAddr,
        /// Whether the far side may have begun the request.
        sent: bool,
        /// The life of the far side, once a link was chosen.
        incarnation: Option<Incarnation>,
    },
    /// The message is longer than the limits allow; nothing of it was sent.
    #[error("{peer}: the message is too large")]
    TooLarge {
        /// The address that was called.
        peer: SocketAddr,
    },
    /// This endpoint is shutting down; nothing of the message was sent.
    #[error("{peer}: this endpoint is shut down")]
    ShutDown {
        /// The address that was called.
        peer: SocketAddr,
    },
}

impl CallError {
    /// Tells whether it is proved that the far side has not begun the request and never will.
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

    /// The life of the far side that may have begun the request, which is the one to ask about it.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        match self {
            Self::Lost { incarnation, .. } => Some(*incarnation),
            Self::Expired { incarnation, .. } => *incarnation,
            _ => None,
        }
    }
}
