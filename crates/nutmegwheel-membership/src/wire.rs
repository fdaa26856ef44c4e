//! The protobuf encoding of [`Message`], for callers that define no wire types themselves.
//!
//! docs/spec/SPREAD.md, "Messages", lists the field numbers.

mod decode;
mod encode;
mod error;
mod proto;

pub use error::Error;

use prost::Message as _;

use crate::{LinkAddress, Message};

/// The maximum size of an encoded message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Encodes a message as protobuf.
#[must_use]
pub fn encode(message: &Message) -> Vec<u8> {
    encode::encode_message(message).encode_to_vec()
}

/// Returns the length of the encoded message in bytes.
#[must_use]
pub fn encoded_len(message: &Message) -> usize {
    encode::encode_message(message).encoded_len()
}

/// Decodes a message from the peer at `from`.
///
/// # Errors
///
/// Returns [`Error::TooLong`] above [`MAX_MESSAGE_BYTES`], [`Error::Malformed`] if the bytes are
/// not a valid encoding, and [`Error::Field`] if a field is missing or out of range.
pub fn decode(from: LinkAddress, bytes: &[u8]) -> Result<Message, Error> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        let length = bytes.len();
        return Err(Error::TooLong { from, length });
    }
    let msg = proto::Message::decode(bytes).map_err(|source| Error::Malformed { from, source })?;
    decode::decode_message(msg).map_err(|field| Error::Field { from, field })
}
