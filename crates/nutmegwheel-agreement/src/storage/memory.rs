//! An in-memory store with fault injection, for tests and model checks.

use std::{
    collections::VecDeque,
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use super::{Fault, Storage, StorageError, StorageStep, Stored, Write, fault::disk_full};
use crate::types::ReplicaId;

/// An in-memory store. Clones share one disk, so that a test can restart a replica on it.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    disk: Arc<Mutex<Disk>>,
}

#[derive(Debug, Default)]
struct Disk {
    stored: Option<Stored>,
    faults: VecDeque<Fault>,
    writes: u64,
}

impl MemoryStore {
    /// Returns the stored state, or `None` if no store was created.
    #[must_use]
    pub fn stored(&self) -> Option<Stored> {
        self.disk().stored.clone()
    }

    /// Returns the number of successful synced writes.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.disk().writes
    }

    fn disk(&self) -> MutexGuard<'_, Disk> {
        self.disk.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MemoryStore {
    /// Injects `faults` into the next writes, one into each.
    pub fn fail_next(&self, faults: impl IntoIterator<Item = Fault>) {
        self.disk().faults.extend(faults);
    }

    /// Clears the disk, which simulates its replacement.
    pub fn wipe(&self) {
        *self.disk() = Disk::default();
    }
}

impl Storage for MemoryStore {
    fn load(&mut self) -> Result<Option<Stored>, StorageError> {
        Ok(self.stored())
    }

    fn create(&mut self, id: &ReplicaId) -> Result<(), StorageError> {
        self.disk().stored = Some(Stored::new(id.clone()));
        Ok(())
    }

    fn write(&mut self, writes: &[Write]) -> Result<(), StorageError> {
        let mut disk = self.disk();
        let fault = disk.faults.pop_front();
        let stored = disk.stored.as_mut().ok_or(StorageError::NotCreated)?;
        if matches!(fault, None | Some(Fault::Unacknowledged)) {
            stored.apply_all(writes);
        }
        if fault.is_some() {
            return Err(StorageError::Io {
                step: StorageStep::WriteLog,
                path: PathBuf::new(),
                source: disk_full(),
            });
        }
        disk.writes += 1;
        Ok(())
    }
}
