//! A store that keeps its state in the files of a data folder.
//!
//! One log file is active. Its first frame is a base record with the state at the start of the
//! file; each later frame is one synced write. After every snapshot and after every failed write, a
//! new log file replaces it by a rename, so that nothing is ever appended after a frame that may
//! not have reached the disk. See docs/spec/AGREEMENT.md, "Files".

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write as _},
    path::{Path, PathBuf},
    sync::Arc,
};

use super::{
    Fault, FaultHook, Storage, StorageError, StorageStep as Step, Stored, Write,
    fault::disk_full,
    frame,
    paths::{is_store_file, log_number, log_path, snapshot_path, temporary_path},
};
use crate::{
    types::{ReplicaId, Snapshot},
    wire,
};

const LOCK_NAME: &str = "lock";

type Result<T> = std::result::Result<T, StorageError>;

/// A store in the files of a data folder. The folder stays locked until the store is dropped.
pub struct FileStore {
    folder: PathBuf,
    _lock: File,
    active: Option<ActiveLog>,
    hook: FaultHook,
}

/// The active log file and the state read from or written to it.
struct ActiveLog {
    number: u64,
    file: File,
    /// The number of the next frame.
    next_frame: u64,
    /// Whether a write has failed, so that the content at the end of the file is unknown.
    tail_unknown: bool,
    stored: Stored,
}

impl FileStore {
    /// Opens the store in a data folder, which is created if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the folder is in use by another process, can't be read, or contains a record with
    /// damage that an interrupted write does not explain.
    pub fn open(folder: impl Into<PathBuf>) -> std::result::Result<Self, StorageError> {
        Self::open_with(folder, Box::new(|_| None))
    }

    /// Opens the store with a hook that injects faults, for tests.
    ///
    /// # Errors
    ///
    /// Fails in the same cases as [`FileStore::open`], and with the faults that the hook injects.
    pub fn open_with(
        folder: impl Into<PathBuf>,
        hook: FaultHook,
    ) -> std::result::Result<Self, StorageError> {
        let folder = folder.into();
        fs::create_dir_all(&folder).map_err(io_error(Step::ReadFolder, &folder))?;
        let mut store = Self {
            _lock: lock(&folder)?,
            active: None,
            folder,
            hook,
        };
        store.active = store.recover()?;
        Ok(store)
    }
}

impl Storage for FileStore {
    fn load(&mut self) -> Result<Option<Stored>> {
        Ok(self.active.as_ref().map(|active| active.stored.clone()))
    }

    fn create(&mut self, id: &ReplicaId) -> Result<()> {
        let number = self.active.as_ref().map_or(1, |active| active.number + 1);
        self.create_log(number, Stored::new(id.clone()))
    }

    fn write(&mut self, writes: &[Write]) -> Result<()> {
        let active = self.active.as_ref().ok_or(StorageError::NotCreated)?;
        let needs_rewrite =
            active.tail_unknown || writes.iter().any(|w| matches!(w, Write::Snapshot(_)));
        if needs_rewrite {
            self.rewrite(writes)
        } else {
            self.append(writes)
        }
    }
}

impl FileStore {
    fn append(&mut self, writes: &[Write]) -> Result<()> {
        let active = self.active.as_mut().ok_or(StorageError::NotCreated)?;
        let path = log_path(&self.folder, active.number);
        let bytes = frame::encode(active.next_frame, &wire::encode_batch(writes));
        active.tail_unknown = true;
        let hook = &mut self.hook;
        run_step(hook, Step::WriteLog, &path, &bytes, |b| {
            active.file.write_all(b)
        })?;
        run_step(hook, Step::SyncLog, &path, &[], |_| active.file.sync_data())?;
        active.tail_unknown = false;
        active.next_frame += 1;
        active.stored.apply_all(writes);
        Ok(())
    }

    /// Writes the snapshot in `writes`, if any, and then a new log file that starts from the state
    /// after `writes`.
    fn rewrite(&mut self, writes: &[Write]) -> Result<()> {
        let active = self.active.as_mut().ok_or(StorageError::NotCreated)?;
        // The new file may be renamed into place before a later operation fails.
        active.tail_unknown = true;
        let number = active.number + 1;
        let mut stored = active.stored.clone();
        stored.apply_all(writes);
        if stored.snapshot != active.stored.snapshot
            && let Some(snapshot) = &stored.snapshot
        {
            let path = snapshot_path(&self.folder, snapshot.position);
            let bytes = frame::encode(0, &wire::encode_snapshot(snapshot));
            self.write_new(&path, &bytes)?;
        }
        self.create_log(number, stored)
    }

    fn create_log(&mut self, number: u64, stored: Stored) -> Result<()> {
        let path = log_path(&self.folder, number);
        let bytes = frame::encode(0, &wire::encode_base(&stored));
        let file = self.write_new(&path, &bytes)?;
        self.active = Some(ActiveLog {
            number,
            file,
            next_frame: 1,
            tail_unknown: false,
            stored,
        });
        // Files that could not be removed only take up space; the next start tries again.
        let _ = self.remove_obsolete();
        Ok(())
    }

    /// Writes a file atomically: it appears under its name complete and synced, or not at all.
    fn write_new(&mut self, path: &Path, bytes: &[u8]) -> Result<File> {
        let temporary = temporary_path(path);
        let mut file = File::create(&temporary).map_err(io_error(Step::WriteNew, path))?;
        let hook = &mut self.hook;
        run_step(hook, Step::WriteNew, path, bytes, |b| file.write_all(b))?;
        run_step(hook, Step::SyncNew, path, &[], |_| file.sync_all())?;
        run_step(hook, Step::Rename, path, &[], |_| {
            fs::rename(&temporary, path)
        })?;
        let folder = &self.folder;
        run_step(hook, Step::SyncFolder, folder, &[], |_| sync_folder(folder))?;
        Ok(file)
    }

    fn remove_obsolete(&mut self) -> Result<()> {
        for name in store_files(&self.folder)? {
            let path = self.folder.join(&name);
            if !self.is_needed(&path) {
                run_step(&mut self.hook, Step::Remove, &path, &[], |_| {
                    fs::remove_file(&path)
                })?;
            }
        }
        Ok(())
    }

    fn is_needed(&self, path: &Path) -> bool {
        let Some(active) = &self.active else {
            return false;
        };
        let snapshot = active.stored.snapshot.as_ref();
        let snapshot = snapshot.map(|s| snapshot_path(&self.folder, s.position));
        path == log_path(&self.folder, active.number) || Some(path) == snapshot.as_deref()
    }
}

impl FileStore {
    /// Reads the newest log file, and removes the older files that it replaced.
    fn recover(&mut self) -> Result<Option<ActiveLog>> {
        let numbers = store_files(&self.folder)?;
        let Some(number) = numbers.iter().filter_map(|n| log_number(n)).max() else {
            return Ok(None);
        };
        let active = self.read_log(number)?;
        self.active = Some(active);
        // As in `create_log`: files that could not be removed only take up space.
        let _ = self.remove_obsolete();
        Ok(self.active.take())
    }

    fn read_log(&mut self, number: u64) -> Result<ActiveLog> {
        let path = log_path(&self.folder, number);
        let bytes = fs::read(&path).map_err(io_error(Step::ReadLog, &path))?;
        let (mut stored, mut end) = read_base(&path, &bytes)?;
        stored.snapshot = self.read_snapshot(&stored)?;
        let mut next_frame = 1;
        loop {
            match frame::read(&bytes, end, next_frame) {
                frame::Read::Frame { payload, end: next } => {
                    let writes = wire::decode_batch(payload);
                    let writes = writes.map_err(|_| corrupt(&path, end, "undecodable record"))?;
                    apply_checked(&mut stored, &writes)
                        .ok_or_else(|| corrupt(&path, end, "entries do not follow the log"))?;
                    end = next;
                    next_frame += 1;
                }
                frame::Read::End | frame::Read::Torn => break,
                frame::Read::Damaged(detail) => return Err(corrupt(&path, end, detail)),
            }
        }
        let file = self.open_log(&path, end, bytes.len())?;
        Ok(ActiveLog {
            number,
            file,
            next_frame,
            tail_unknown: false,
            stored,
        })
    }

    /// Opens a log for appending and truncates a frame that a crash left incomplete at its end.
    fn open_log(&mut self, path: &Path, end: usize, len: usize) -> Result<File> {
        let file = OpenOptions::new().append(true).open(path);
        let file = file.map_err(io_error(Step::ReadLog, path))?;
        if end < len {
            let hook = &mut self.hook;
            run_step(hook, Step::CutTail, path, &[], |_| file.set_len(end as u64))?;
            run_step(hook, Step::SyncLog, path, &[], |_| file.sync_all())?;
        }
        Ok(file)
    }

    fn read_snapshot(&self, stored: &Stored) -> Result<Option<Arc<Snapshot>>> {
        let position = stored.log.base();
        if position.index == 0 {
            return Ok(None);
        }
        let path = snapshot_path(&self.folder, position);
        let bytes = fs::read(&path).map_err(io_error(Step::ReadSnapshot, &path))?;
        let frame::Read::Frame { payload, .. } = frame::read(&bytes, 0, 0) else {
            return Err(corrupt(&path, 0, "invalid snapshot frame"));
        };
        let snapshot = wire::decode_snapshot(payload);
        let snapshot = snapshot.map_err(|_| corrupt(&path, 0, "undecodable record"))?;
        if snapshot.position != position {
            return Err(corrupt(&path, 0, "snapshot does not match the log"));
        }
        Ok(Some(Arc::new(snapshot)))
    }
}

fn read_base(path: &Path, bytes: &[u8]) -> Result<(Stored, usize)> {
    let frame::Read::Frame { payload, end } = frame::read(bytes, 0, 0) else {
        return Err(corrupt(path, 0, "invalid base record"));
    };
    let stored = wire::decode_base(payload);
    let stored = stored.map_err(|_| corrupt(path, 0, "undecodable record"))?;
    Ok((stored, end))
}

/// Applies writes, or returns `None` if entries do not follow the log.
fn apply_checked(stored: &mut Stored, writes: &[Write]) -> Option<()> {
    for write in writes {
        if let Write::Append(entries) = write {
            let first = entries.first()?.position.index;
            let fits = first > stored.log.base().index && first <= stored.log.last().index + 1;
            fits.then_some(())?;
        }
        stored.apply(write);
    }
    Some(())
}

fn store_files(folder: &Path) -> Result<Vec<String>> {
    let entries = fs::read_dir(folder).map_err(io_error(Step::ReadFolder, folder))?;
    let mut names = Vec::new();
    for entry in entries {
        let entry = entry.map_err(io_error(Step::ReadFolder, folder))?;
        let name = entry.file_name().to_string_lossy().into_owned();
        if is_store_file(&name) {
            names.push(name);
        }
    }
    Ok(names)
}

fn lock(folder: &Path) -> Result<File> {
    let path = folder.join(LOCK_NAME);
    let file = File::create(&path).map_err(io_error(Step::Lock, &path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StorageError::InUse {
            path: folder.to_owned(),
        }),
        Err(TryLockError::Error(e)) => Err(io_error(Step::Lock, &path)(e)),
    }
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Runs one storage operation, or fails with the fault that the hook returns.
fn run_step(
    hook: &mut FaultHook,
    step: Step,
    path: &Path,
    bytes: &[u8],
    action: impl FnOnce(&[u8]) -> io::Result<()>,
) -> Result<()> {
    let result = match hook(step) {
        None => action(bytes),
        Some(Fault::Refused) => Err(disk_full()),
        Some(Fault::Torn(len)) => {
            action(&bytes[..len.min(bytes.len())]).and_then(|()| Err(disk_full()))
        }
        Some(Fault::Unacknowledged) => action(bytes).and_then(|()| Err(disk_full())),
    };
    result.map_err(io_error(step, path))
}

fn io_error(step: Step, path: &Path) -> impl FnOnce(io::Error) -> StorageError {
    let path = path.to_owned();
    move |source| StorageError::Io { step, path, source }
}

fn corrupt(path: &Path, offset: usize, detail: &'static str) -> StorageError {
    StorageError::Corrupt {
        path: path.to_owned(),
        offset: offset as u64,
        detail,
    }
}
