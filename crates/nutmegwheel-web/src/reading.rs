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
    progress: Progress,
}

impl Reading {
    pub(crate) fn open(now: Instant) -> Self {
        Self {
            held: 0,
            progress: Progress::open(now, WINDOW),
        }
    }

    /// Records the bytes that the answers hold, and those that the caller has taken of them.
    pub(crate) fn update(&mut self, now: Instant, held: usize, taken: usize) {
        self.held = held;
        if taken > 0 {
            self.progress.record(now, taken);
        }
    }

    pub(crate) fn reader<K>(&self, key: K, now: Instant) -> Reader<K> {
        Reader {
            key,
            held: self.held,
            rate: self.progress.rate(now),
        }
    }
}
