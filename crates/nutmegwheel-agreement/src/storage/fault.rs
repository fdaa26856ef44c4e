//! Fault injection for tests.

use std::io;

use nutmegwheel_types::plain_copy;

use super::StorageStep;

plain_copy! {
    /// How a storage operation fails.
    pub enum Fault {
        /// Nothing is written, as on a full disk.
        Refused,
        /// Only this many bytes are written.
        Torn(usize),
        /// Everything is written, but the operation returns an error.
        Unacknowledged,
    }
}

/// A function that the store calls before each operation; returns the fault to inject, if any.
pub type FaultHook = Box<dyn FnMut(StorageStep) -> Option<Fault> + Send>;

pub(super) fn disk_full() -> io::Error {
    io::Error::from(io::ErrorKind::StorageFull)
}
