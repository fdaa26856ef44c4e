//! The answers that a caller has not taken yet.

use std::time::Instant;

use nutmegwheel_policy::{
    readers::{Reader, WINDOW},
    senders::Progress,
};

/// The progress of a caller on the answers that are ready for it.
#[derive(Debug)]
pub(crate) struct Reading {
    held: usize,
    is_ordered: bool,
    progress: Progress,
}

impl Reading {
    pub(crate) fn open(now: Instant) -> Self {
        Self {
            held: 0,
            is_ordered: false,
            progress: Progress::open(now, WINDOW),
        }
    }

    /// Records the bytes that the answers hold, whether they wait for an earlier one, and the bytes
    /// that the caller has taken.
    pub(crate) fn update(&mut self, now: Instant, held: usize, is_ordered: bool, taken: usize) {
        self.held = held;
        self.is_ordered = is_ordered;
        if taken > 0 {
            self.progress.record(now, taken);
        }
    }

    pub(crate) fn reader<K>(&self, key: K, now: Instant) -> Reader<K> {
        Reader {
            key,
            held: self.held,
            rate: self.progress.rate(now),
            is_ordered: self.is_ordered,
        }
    }
}
