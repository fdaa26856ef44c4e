use std::collections::VecDeque;

use nutmegwheel_types::{plain, plain_copy};

/// The position of a request among all requests of its connection.
pub type Sequence = u64;

plain_copy! {
    /// How much may be in progress on one connection at a time.
    pub struct Bounds {
        /// The maximum number of requests whose response has not been sent.
        pub requests: usize,
        /// The size of request bodies and waiting responses, in bytes, from which on no further
        /// request is begun. The responses to requests in progress may exceed it.
        pub bytes: usize,
    }
}

plain! {
    /// A response whose turn to be sent has come.
    pub struct Next<A> {
        /// The response.
        pub answer: A,
        /// Whether the connection is closed after this response.
        pub is_last: bool,
    }
}

/// The requests of one connection whose responses have not been sent, in the order of their
/// arrival.
///
/// A request that must not overlap with others is begun only while no response is outstanding, and
/// none is begun behind it before its response. A caller sends requests behind the end of a
/// connection once more, whatever their kind, so these must not have been started.
#[derive(Debug)]
pub struct Pipeline<A> {
    bounds: Bounds,
    first: Sequence,
    slots: VecDeque<Slot<A>>,
    bytes: usize,
    is_closing: bool,
}

#[derive(Debug)]
struct Slot<A> {
    may_overlap: bool,
    bytes: usize,
    answer: Option<A>,
}

impl<A> Pipeline<A> {
    /// Opens a pipeline without requests.
    #[must_use]
    pub fn open(bounds: Bounds) -> Self {
        Self {
            bounds,
            first: 0,
            slots: VecDeque::new(),
            bytes: 0,
            is_closing: false,
        }
    }

    /// Whether a further request may be read. One request is always allowed.
    #[must_use]
    pub fn has_room(&self) -> bool {
        let is_below = self.slots.len() < self.bounds.requests && self.bytes < self.bounds.bytes;
        !self.is_closing && (self.slots.is_empty() || is_below)
    }

    /// Whether a request may be begun now.
    #[must_use]
    pub fn admits(&self, may_overlap: bool) -> bool {
        let mut outstanding = self.slots.iter().filter(|slot| slot.answer.is_none());
        self.has_room() && outstanding.all(|slot| may_overlap && slot.may_overlap)
    }

    /// Begins the next request, whose body has the given size in bytes.
    pub fn begin(&mut self, may_overlap: bool, bytes: usize) -> Sequence {
        let sequence = self.first + self.slots.len() as Sequence;
        self.bytes += bytes;
        self.slots.push_back(Slot {
            may_overlap,
            bytes,
            answer: None,
        });
        sequence
    }

    /// Records the response to a request, whose size is given in bytes. A request that has a
    /// response already keeps it.
    pub fn complete(&mut self, sequence: Sequence, answer: A, bytes: usize) {
        let index = sequence.checked_sub(self.first);
        let index = index.and_then(|index| usize::try_from(index).ok());
        let slot = index.and_then(|index| self.slots.get_mut(index));
        if let Some(slot) = slot.filter(|slot| slot.answer.is_none()) {
            self.bytes = self.bytes - slot.bytes + bytes;
            slot.bytes = bytes;
            slot.answer = Some(answer);
        }
    }

    /// Begins no further requests. The connection is closed after the responses to those in
    /// progress.
    pub fn close(&mut self) {
        self.is_closing = true;
    }

    /// Takes the next response in the order of the requests, if it is there.
    pub fn take_next(&mut self) -> Option<Next<A>> {
        let front = self.slots.front_mut()?;
        let answer = front.answer.take()?;
        self.bytes -= front.bytes;
        self.slots.pop_front();
        self.first += 1;
        Some(Next {
            answer,
            is_last: self.is_closing && self.slots.is_empty(),
        })
    }

    /// The size of the waiting responses, in bytes.
    #[must_use]
    pub fn waiting_bytes(&self) -> usize {
        let waiting = self.slots.iter().filter(|slot| slot.answer.is_some());
        waiting.map(|slot| slot.bytes).sum()
    }

    /// Whether no response is outstanding.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Whether no further requests are begun.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.is_closing
    }
}
