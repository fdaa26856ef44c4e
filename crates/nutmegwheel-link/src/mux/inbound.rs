use bytes::{Bytes, BytesMut};
use nutmegwheel_memory::Hold;

use crate::wire::{Data, Start};

/// The bytes of a message that may be sent before the receiver grants more credit.
pub(crate) const INITIAL_WINDOW_BYTES: usize = 32 * 1024;

/// A message that is being received in chunks.
#[derive(Debug)]
pub(crate) struct Inbound {
    head: Part,
    body: Part,
    credit: usize,
    checksum: u32,
    /// The room that the message takes in the account of the process.
    hold: Option<Hold>,
}

/// The state of a message after one more chunk.
#[derive(Debug)]
pub(crate) enum Progress {
    /// The message is incomplete; more chunks are expected.
    Partial,
    /// The head and body of a complete message, whose length and checksum are correct.
    Complete(Bytes, Bytes),
    /// The length, the order or the checksum of the chunks is wrong.
    Damaged,
    /// The sender exceeded its credit.
    Overrun,
}

/// The received bytes of the head or the body, and its full length.
#[derive(Debug)]
struct Part {
    buf: BytesMut,
    length: usize,
}

impl Part {
    fn new(length: usize) -> Self {
        let buf = BytesMut::with_capacity(length.min(INITIAL_WINDOW_BYTES));
        Self { buf, length }
    }

    fn missing(&self) -> usize {
        self.length - self.buf.len()
    }

    fn push(&mut self, chunk: &[u8]) -> bool {
        let fits = chunk.len() <= self.missing();
        if fits {
            self.buf.extend_from_slice(chunk);
        }
        fits
    }
}

impl Inbound {
    pub(crate) fn begin(start: &Start) -> Self {
        Self {
            head: Part::new(start.head_length as usize),
            body: Part::new(start.body_length as usize),
            credit: INITIAL_WINDOW_BYTES,
            checksum: 0,
            hold: None,
        }
    }

    /// Keeps the room that the message takes in the account until its body is dropped.
    pub(crate) fn set_hold(&mut self, hold: Option<Hold>) {
        self.hold = hold;
    }

    /// The bytes of a message beyond the initial window, for which credit has to be granted.
    pub(crate) fn beyond_window(start: &Start) -> usize {
        message_length(start).saturating_sub(INITIAL_WINDOW_BYTES)
    }

    /// Adds credit, and reserves memory for the bytes that the sender may send with it.
    pub(crate) fn grant(&mut self, bytes: usize) {
        self.credit += bytes;
        self.head.buf.reserve(self.head.missing());
        self.body.buf.reserve(self.body.missing());
    }

    pub(crate) fn push(&mut self, data: &Data) -> Progress {
        let Some(credit) = self.credit.checked_sub(data.head.len() + data.body.len()) else {
            return Progress::Overrun;
        };
        self.credit = credit;
        self.checksum = crc32c::crc32c_append(self.checksum, &data.head);
        self.checksum = crc32c::crc32c_append(self.checksum, &data.body);
        let in_order = data.body.is_empty() || self.head.missing() == data.head.len();
        if !in_order || !self.head.push(&data.head) || !self.body.push(&data.body) {
            return Progress::Damaged;
        }
        match &data.end {
            None => Progress::Partial,
            Some(end) if self.is_complete(end.checksum) => self.take(),
            Some(_) => Progress::Damaged,
        }
    }

    fn is_complete(&self, checksum: u32) -> bool {
        self.head.missing() == 0 && self.body.missing() == 0 && self.checksum == checksum
    }

    fn take(&mut self) -> Progress {
        let head = std::mem::take(&mut self.head.buf).freeze();
        let body = std::mem::take(&mut self.body.buf).freeze();
        let body = match self.hold.take() {
            Some(mut hold) => {
                hold.shrink(head.len());
                hold.attach(body)
            }
            None => body,
        };
        Progress::Complete(head, body)
    }
}

/// The length of the head and body of a message in bytes.
pub(crate) fn message_length(start: &Start) -> usize {
    start.head_length as usize + start.body_length as usize
}
