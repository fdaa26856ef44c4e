//! Faults that tests put into a store.

use std::io;

use nutmegwheel_types::plain_copy;

use super::StorageStep;

plain_copy! {
    /// How a step of a store fails.
    pub enum Fault {
        /// Nothing is done, as on a full disk.
        Refused,
        /// Only so many bytes are written.
        Torn(usize),
        /// It is done, but reported as failed.
        Unacknowledged,
    }
}

/// Asked before each step whether it fails.
pub type FaultHook = Box<dyn FnMut(StorageStep) -> Option<Fault> + Send>;

pub(super) fn disk_full() -> io::Error {
    io::Error::from(io::ErrorKind::StorageFull)
}
