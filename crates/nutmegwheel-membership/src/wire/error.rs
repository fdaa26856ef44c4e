use thiserror::Error;

use crate::LinkAddress;

/// Why an encoded message was refused.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Error {
    /// It is longer than [`super::MAX_MESSAGE_BYTES`].
    #[error("gossip from {from} is {length} bytes long, above the limit")]
    TooLong {
        /// The peer that sent it.
        from: LinkAddress,
        /// Its length in bytes.
        length: usize,
    },
    /// It is not an encoded message.
    #[error("gossip from {from} cannot be decoded")]
    Malformed {
        /// The peer that sent it.
        from: LinkAddress,
        /// What the decoder found.
        source: prost::DecodeError,
    },
    /// A field is missing or out of range.
    #[error("gossip from {from} has a missing or wrong field: {field}")]
    Field {
        /// The peer that sent it.
        from: LinkAddress,
        /// The name of the field.
        field: &'static str,
    },
}
