use std::net::SocketAddr;

use thiserror::Error;

/// Why an operation has no outcome.
#[derive(Debug, Error)]
pub enum Error {
    /// The system refused; asking again does not help.
    #[error("{peer} refused ({status}): {document}")]
    Refused {
        /// The process that answered.
        peer: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// The refusal as it came.
        document: String,
    },
    /// Nobody could say; what was asked for may still come into force, so ask again under the
    /// same number.
    #[error("not certain, resend under the same number: {}", .attempts.join("; "))]
    NotCertain {
        /// What every process that was asked did.
        attempts: Vec<String>,
    },
    /// An answer was not what docs/INTERFACES.md promises.
    #[error("{peer}: {step}: the answer is malformed: {detail}")]
    Malformed {
        /// The process that answered.
        peer: SocketAddr,
        /// The step at which it was read.
        step: &'static str,
        /// What is wrong with it.
        detail: String,
    },
}
