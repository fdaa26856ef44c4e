//! The frames of a link and their encoding.
//!
//! A frame on the wire consists of a 4-byte length, an encoded `Frame` message and the 4-byte
//! CRC-32C of that message; both integers are big endian. The checksum is verified before the frame
//! is decoded, since a corrupt control frame could otherwise end a stream with a wrong outcome.

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

/// The maximum length of a frame, including its checksum but not the length in front of it.
pub const MAX_FRAME_BYTES: usize = 16 * 1024;
/// The maximum length of a chunk of a message in one frame, which leaves room for the other fields.
pub const MAX_CHUNK_BYTES: usize = MAX_FRAME_BYTES - FRAME_OVERHEAD_BYTES;

/// An upper bound on the length of the other fields of a data frame.
const FRAME_OVERHEAD_BYTES: usize = 128;
/// The size of the length in front of a frame.
const LENGTH_BYTES: usize = 4;
/// The size of the checksum at the end of a frame.
const CHECKSUM_BYTES: usize = 4;

/// Why bytes could not be decoded as a frame; the link must be closed.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The length in front of the frame exceeds [`MAX_FRAME_BYTES`].
    #[error("length of a frame: {0}")]
    Length(#[from] io::Error),
    /// The frame was corrupted in transit.
    #[error("checksum of a frame")]
    Checksum,
    /// The frame is not a valid protobuf message.
    #[error("decode a frame: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The frame holds no kind that this version of the protocol defines.
    #[error("unknown kind of frame")]
    UnknownKind,
}

/// Appends one encoded frame to `out`.
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

/// Splits the bytes of a connection into frames and decodes them.
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
