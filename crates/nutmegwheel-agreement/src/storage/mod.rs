//! What a replica must not forget, behind a trait object.

mod error;
mod fault;
mod file;
mod frame;
mod memory;
mod paths;

use std::sync::Arc;

use nutmegwheel_types::plain;

pub use self::{
    error::{StorageError, StorageStep},
    fault::{Fault, FaultHook},
    file::FileStore,
    memory::MemoryStore,
};
use crate::{
    log::Log,
    types::{Entry, HardState, ReplicaId, Snapshot},
};

/// A place where a replica keeps what it must not forget.
pub trait Storage: Send {
    /// Returns what was kept, or `None` when nothing was ever created here.
    ///
    /// # Errors
    ///
    /// Fails when the store can't be read or is damaged; a damaged store is never read in part.
    fn load(&mut self) -> Result<Option<Stored>, StorageError>;

    /// Creates an empty store for a new incarnation, synced.
    ///
    /// # Errors
    ///
    /// Fails when the store can't be written.
    fn create(&mut self, id: &ReplicaId) -> Result<(), StorageError>;

    /// Keeps all of `writes`, synced, in their order.
    ///
    /// # Errors
    ///
    /// Fails when any of it could not be written or synced. The same writes may then be tried again,
    /// and nothing that depends on them may be said to anyone before they have succeeded.
    fn write(&mut self, writes: &[Write]) -> Result<(), StorageError>;
}

plain! {
    /// One thing to keep.
    #[derive(Hash)]
    pub enum Write {
        /// The founding, term and vote.
        HardState(HardState),
        /// Entries, in place of whatever stood from the first one's index on.
        Append(Vec<Entry>),
        /// A snapshot, in place of the entries that it includes.
        Snapshot(Arc<Snapshot>),
    }

    /// All that a store holds.
    #[derive(Hash)]
    pub struct Stored {
        /// The replica and the life of its disk.
        pub id: ReplicaId,
        /// The founding, term and vote.
        pub hard_state: HardState,
        /// The newest snapshot.
        pub snapshot: Option<Arc<Snapshot>>,
        /// The entries after it.
        pub log: Log,
    }
}

impl Stored {
    /// Returns an empty store's content.
    #[must_use]
    pub fn new(id: ReplicaId) -> Self {
        Self {
            id,
            hard_state: HardState::default(),
            snapshot: None,
            log: Log::default(),
        }
    }

    /// Does what `writes` say, in their order.
    pub fn apply_all(&mut self, writes: &[Write]) {
        for write in writes {
            self.apply(write);
        }
    }

    /// Does what `write` says.
    pub fn apply(&mut self, write: &Write) {
        match write {
            Write::HardState(hard_state) => self.hard_state = hard_state.clone(),
            Write::Append(entries) => self.log.append(entries),
            Write::Snapshot(snapshot) => {
                self.log.compact(snapshot.position);
                self.snapshot = Some(snapshot.clone());
            }
        }
    }
}
