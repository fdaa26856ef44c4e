use std::{io, path::PathBuf};

use nutmegwheel_types::plain_copy;

plain_copy! {
    /// The storage operation that failed.
    pub enum StorageStep {
        /// Locking the data folder.
        Lock,
        /// Listing the data folder.
        ReadFolder,
        /// Reading the log.
        ReadLog,
        /// Reading a snapshot.
        ReadSnapshot,
        /// Truncating a torn frame at the end of the log.
        CutTail,
        /// Appending to the log.
        WriteLog,
        /// Syncing the log.
        SyncLog,
        /// Writing a new file under a temporary name.
        WriteNew,
        /// Syncing a new file.
        SyncNew,
        /// Renaming a new file to its final name.
        Rename,
        /// Syncing the data folder.
        SyncFolder,
        /// Removing an obsolete file.
        Remove,
    }
}

/// An error of a store.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// An I/O operation failed.
    #[error("{step:?} of {}", path.display())]
    Io {
        /// The operation that failed.
        step: StorageStep,
        /// The file or folder on which it failed.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The content of a file differs from what was synced to it.
    #[error("{} is corrupt at byte {offset}: {detail}", path.display())]
    Corrupt {
        /// The damaged file.
        path: PathBuf,
        /// The byte offset at which the damaged frame starts.
        offset: u64,
        /// What is wrong with that frame or its content.
        detail: &'static str,
    },
    /// Another process has the data folder open.
    #[error("{} is in use by another process", path.display())]
    InUse {
        /// The data folder that is locked.
        path: PathBuf,
    },
    /// A write was attempted before the store was created.
    #[error("the store was never created")]
    NotCreated,
}
