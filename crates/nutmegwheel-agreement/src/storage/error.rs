use std::{io, path::PathBuf};

use nutmegwheel_types::plain_copy;

plain_copy! {
    /// The step at which a store failed.
    pub enum StorageStep {
        /// Taking the lock of the data folder.
        Lock,
        /// Listing the data folder.
        ReadFolder,
        /// Reading the log.
        ReadLog,
        /// Reading a snapshot.
        ReadSnapshot,
        /// Cutting a torn tail off the log.
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
        /// Removing a file that is no longer needed.
        Remove,
    }
}

/// Why a store failed.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The platform refused a step.
    #[error("{step:?} of {}", path.display())]
    Io {
        /// The step.
        step: StorageStep,
        /// The file or folder.
        path: PathBuf,
        /// The platform's reason.
        source: io::Error,
    },
    /// A file holds something else than what was synced to it.
    #[error("{} is corrupt at byte {offset}: {detail}", path.display())]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// The byte at which the damaged record begins.
        offset: u64,
        /// What is wrong with it.
        detail: &'static str,
    },
    /// Another process has the data folder open.
    #[error("{} is in use by another process", path.display())]
    InUse {
        /// The data folder.
        path: PathBuf,
    },
    /// The store was written to before it was created.
    #[error("the store was never created")]
    NotCreated,
}
