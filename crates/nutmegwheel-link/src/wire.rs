//! The frames of a link and their encoding.
//!
//! A frame on the wire is its length in 4 bytes, a `Frame` message and the CRC-32C of that message
//! in 4 bytes, big endian. The checksum of every frame is checked before it is decoded, since a
//! damaged control frame could otherwise end a stream with a wrong verdict.

use std::io;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;
use thiserror::Error;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

#[allow(missing_docs, unreachable_pub, clippy::all, clippy::pedantic)]
mod generated {
    include!("generated/nutmegwheel.link.rs");
}

pub use frame::Kind;
pub use generated::{
    Cancel, Challenge, Credit, Data, End, Frame, GoAway, Hello, Ping, Pong, Proof, Refuse,
    RefuseReason, Start, frame,
};

/// The longest frame in bytes, its message and checksum counted.
pub const MAX_FRAME_BYTES: usize = 16 * 1024;
/// The most bytes of a message that travel in one frame, which leaves room for the other fields.
pub const MAX_CHUNK_BYTES: usize = MAX_FRAME_BYTES - FRAME_OVERHEAD_BYTES;

/// The bytes that the fields of a data frame take at most, besides the piece of the message.
const FRAME_OVERHEAD_BYTES: usize = 128;
/// The bytes of the length in front of a frame.
const LENGTH_BYTES: usize = 4;
/// The bytes of the checksum at the end of a frame.
const CHECKSUM_BYTES: usize = 4;

/// Why bytes are not a frame; the link that they came on cannot be trusted any longer.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The length in front of the frame is out of range.
    #[error("length of a frame: {0}")]
    Length(#[from] io::Error),
    /// The frame was damaged on its way.
    #[error("checksum of a frame")]
    Checksum,
    /// The bytes are not a message of the schema.
    #[error("decode a frame: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The message holds no kind of frame that this version knows.
    #[error("unknown kind of frame")]
    UnknownKind,
}

/// Appends one frame to `out`.
pub fn encode(kind: Kind, out: &mut BytesMut) {
    let frame = Frame { kind: Some(kind) };
    let len = frame.encoded_len();
    out.reserve(LENGTH_BYTES + len + CHECKSUM_BYTES);
    out.put_u32(u32::try_from(len + CHECKSUM_BYTES).unwrap_or(u32::MAX));
    let begin = out.len();
    frame.encode_raw(out);
    let checksum = crc32c::crc32c(&out[begin..]);
    out.put_u32(checksum);
}

/// Cuts frames out of the bytes of a connection.
#[derive(Debug)]
pub struct FrameDecoder {
    lengths: LengthDelimitedCodec,
}

impl Default for FrameDecoder {
    fn default() -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .length_field_length(LENGTH_BYTES)
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { lengths }
    }
}

impl Decoder for FrameDecoder {
    type Item = Kind;
    type Error = FrameError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Kind>, FrameError> {
        match self.lengths.decode(src)? {
            Some(frame) => decode(frame.freeze()).map(Some),
            None => Ok(None),
        }
    }
}

fn decode(mut frame: Bytes) -> Result<Kind, FrameError> {
    let len = frame
        .len()
        .checked_sub(CHECKSUM_BYTES)
        .ok_or(FrameError::Checksum)?;
    let mut checksum = frame.split_off(len);
    if crc32c::crc32c(&frame) != checksum.get_u32() {
        return Err(FrameError::Checksum);
    }
    Frame::decode(frame)?.kind.ok_or(FrameError::UnknownKind)
}
