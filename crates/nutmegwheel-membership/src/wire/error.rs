use thiserror::Error;

use crate::LinkAddress;

/// An error in decoding a message.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Error {
    /// The message is longer than [`super::MAX_MESSAGE_BYTES`].
    #[error("gossip message from {from} is too long: {length} bytes")]
    TooLong {
        /// The peer that sent the message.
        from: LinkAddress,
        /// Its length in bytes.
        length: usize,
    },
    /// The bytes are not a valid encoding.
    #[error("malformed gossip message from {from}")]
    Malformed {
        /// The peer that sent the message.
        from: LinkAddress,
        /// The error of the protobuf decoder.
        source: prost::DecodeError,
    },
    /// A field is missing or out of range.
    #[error("gossip message from {from} has a missing or invalid field: {field}")]
    Field {
        /// The peer that sent the message.
        from: LinkAddress,
        /// The name of the field.
        field: &'static str,
    },
}
