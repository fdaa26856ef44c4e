use std::time::Duration;

use bytes::Bytes;

use super::{StreamId, inbound::INITIAL_WINDOW_BYTES};
use crate::wire::{Data, End, MAX_CHUNK_BYTES, Start};

/// A message that is being sent in chunks, under flow control.
#[derive(Debug)]
pub(crate) struct Outbound {
    start: Option<Start>,
    head: Bytes,
    body: Bytes,
    credit: usize,
    checksum: u32,
    ended: bool,
}

impl Outbound {
    pub(crate) fn new(
        topic: u16,
        one_way: bool,
        deadline: Option<Duration>,
        head: Bytes,
        body: Bytes,
    ) -> Self {
        let deadline_us = deadline.map_or(0, |at| at.as_micros().max(1));
        let start = Start {
            topic: u32::from(topic),
            head_length: wire_length(&head),
            body_length: wire_length(&body),
            one_way,
            deadline_us: u64::try_from(deadline_us).unwrap_or(u64::MAX),
        };
        Self {
            start: Some(start),
            head,
            body,
            credit: INITIAL_WINDOW_BYTES,
            checksum: 0,
            ended: false,
        }
    }

    /// The bytes that have not been sent yet.
    pub(crate) fn remaining(&self) -> usize {
        self.head.len() + self.body.len()
    }

    /// Whether [`Outbound::next`] has returned the last chunk.
    pub(crate) fn is_ended(&self) -> bool {
        self.ended
    }

    /// Whether the message has a chunk to send and the credit for it.
    pub(crate) fn is_ready(&self) -> bool {
        !self.ended && (self.start.is_some() || self.credit > 0)
    }

    /// Adds credit. Returns whether the message became ready because of it.
    pub(crate) fn credit(&mut self, bytes: usize) -> bool {
        let was_ready = self.is_ready();
        self.credit = self.credit.saturating_add(bytes);
        !was_ready && self.is_ready()
    }

    /// Returns the next chunk, at most as long as the credit allows.
    pub(crate) fn next(&mut self, stream: StreamId) -> Data {
        let mut room = self.credit.min(MAX_CHUNK_BYTES);
        let head = take(&mut self.head, &mut room);
        let body = take(&mut self.body, &mut room);
        self.credit -= head.len() + body.len();
        self.checksum = crc32c::crc32c_append(self.checksum, &head);
        self.checksum = crc32c::crc32c_append(self.checksum, &body);
        self.ended = self.remaining() == 0;
        Data {
            stream,
            start: self.start.take(),
            head,
            body,
            end: self.ended.then_some(End {
                checksum: self.checksum,
            }),
        }
    }
}

fn take(from: &mut Bytes, room: &mut usize) -> Bytes {
    let chunk = from.split_to(from.len().min(*room));
    *room -= chunk.len();
    chunk
}

/// Converts a length to the type of the wire field. The limits on messages are far below its range.
fn wire_length(bytes: &Bytes) -> u32 {
    u32::try_from(bytes.len()).unwrap_or(u32::MAX)
}
