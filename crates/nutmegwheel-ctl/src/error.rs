use std::net::SocketAddr;

use thiserror::Error;

/// The reason why an operation failed or its outcome is unknown.
#[derive(Debug, Error)]
pub enum Error {
    /// The request was refused; repeating it does not help.
    #[error("{peer} refused ({status}): {document}")]
    Refused {
        /// The address of the process that answered.
        peer: SocketAddr,
        /// The HTTP status code of the response.
        status: u16,
        /// The body of the response, as received.
        document: String,
    },
    /// No process gave a definite answer. The request may still take effect, so it must be resent
    /// under the same number.
    #[error("not certain, resend under the same number: {}", .attempts.join("; "))]
    NotCertain {
        /// One text for each attempt, with the address of the process and its answer or error.
        attempts: Vec<String>,
    },
    /// The body of an answer does not have the form that docs/INTERFACES.md describes.
    #[error("{peer}: {step}: the answer is malformed: {detail}")]
    Malformed {
        /// The address of the process that answered.
        peer: SocketAddr,
        /// The step of the client that failed, such as reading the configuration.
        step: &'static str,
        /// The parse error.
        detail: String,
    },
}
