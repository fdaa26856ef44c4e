//! Durable storage of a replica's hard state, log and snapshot.

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

/// Durable storage of a replica.
pub trait Storage: Send {
    /// Returns the stored state, or `None` if no store was ever created here.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be read or is corrupt. A corrupt store is never loaded in part.
    fn load(&mut self) -> Result<Option<Stored>, StorageError>;

    /// Creates and syncs an empty store for a new incarnation.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be written or synced.
    fn create(&mut self, id: &ReplicaId) -> Result<(), StorageError>;

    /// Applies `writes` in order and syncs them.
    ///
    /// # Errors
    ///
    /// Fails if any of the writes could not be written or synced. The caller may retry the same
    /// writes, and must not send any message that depends on them before they succeed.
    fn write(&mut self, writes: &[Write]) -> Result<(), StorageError>;
}

plain! {
    /// A change of the stored state.
    #[derive(Hash)]
    pub enum Write {
        /// Replaces the cluster, term and vote.
        HardState(HardState),
        /// Appends entries, after removing any entries from the index of the first one on.
        Append(Vec<Entry>),
        /// Stores a snapshot and removes the entries that it includes.
        Snapshot(Arc<Snapshot>),
    }

    /// The state that a store keeps.
    #[derive(Hash)]
    pub struct Stored {
        /// The replica's name and incarnation.
        pub id: ReplicaId,
        /// The cluster, term and vote.
        pub hard_state: HardState,
        /// The newest snapshot, or `None` before the first.
        pub snapshot: Option<Arc<Snapshot>>,
        /// The entries after the snapshot.
        pub log: Log,
    }
}

impl Stored {
    /// Returns the content of an empty store.
    #[must_use]
    pub fn new(id: ReplicaId) -> Self {
        Self {
            id,
            hard_state: HardState::default(),
            snapshot: None,
            log: Log::default(),
        }
    }

    /// Applies `writes` in order.
    pub fn apply_all(&mut self, writes: &[Write]) {
        for write in writes {
            self.apply(write);
        }
    }

    /// Applies `write`.
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
