//! The bytes that are waiting to be written to a connection.

use std::{
    collections::VecDeque,
    io::{self, IoSlice},
};

use bytes::{Buf as _, Bytes, BytesMut};
use tokio::net::TcpStream;

/// The number of waiting bytes from which on no further response is added.
const FULL_BYTES: usize = 64 * 1024;
/// The size of a body, in bytes, up to which it is copied behind its head.
const COPIED_BODY_BYTES: usize = 8 * 1024;
/// The room for the head of a response, in bytes.
const HEAD_BYTES: usize = 512;
/// The number of parts that are written at a time.
const PARTS_PER_WRITE: usize = 16;

#[derive(Debug, Default)]
pub(crate) struct Output {
    parts: VecDeque<Bytes>,
    bytes: usize,
    /// The bytes that the peer took since they were last asked for.
    taken: usize,
}

impl Output {
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of bytes that the peer took since the last call.
    pub(crate) fn take_taken(&mut self) -> usize {
        std::mem::take(&mut self.taken)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.bytes >= FULL_BYTES
    }

    pub(crate) fn push(&mut self, part: impl Into<Bytes>) {
        let part = part.into();
        if !part.is_empty() {
            self.bytes += part.len();
            self.parts.push_back(part);
        }
    }

    /// Adds a response. `encode` writes its head to a buffer and returns its body.
    pub(crate) fn push_with(&mut self, encode: impl FnOnce(&mut BytesMut) -> Bytes) {
        let mut head = BytesMut::with_capacity(HEAD_BYTES);
        let body = encode(&mut head);
        if body.len() <= COPIED_BODY_BYTES {
            head.extend_from_slice(&body);
            self.push(head);
        } else {
            self.push(head);
            self.push(body);
        }
    }

    /// Writes bytes without waiting.
    ///
    /// # Errors
    ///
    /// Fails with `WouldBlock` if the peer takes no bytes now.
    pub(crate) fn write_to(&mut self, stream: &TcpStream) -> io::Result<()> {
        let slices: Vec<IoSlice<'_>> = self
            .parts
            .iter()
            .take(PARTS_PER_WRITE)
            .map(|part| IoSlice::new(part))
            .collect();
        let written = stream.try_write_vectored(&slices)?;
        self.advance(written);
        Ok(())
    }

    fn advance(&mut self, mut written: usize) {
        self.bytes -= written;
        self.taken += written;
        while let Some(part) = self.parts.front_mut() {
            if written < part.len() {
                part.advance(written);
                return;
            }
            written -= part.len();
            self.parts.pop_front();
        }
    }
}
