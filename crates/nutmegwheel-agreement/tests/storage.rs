//! The file store under injected faults and damaged files.

use std::{
    fs,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
};

use nutmegwheel_agreement::{
    Entry, Fault, FileStore, HardState, Membership, Payload, Position, ReplicaId, Snapshot,
    Storage, StorageError, StorageStep, Stored, Write,
};
use tempfile::TempDir;

/// The size of the header of a record.
const HEADER_BYTES: usize = 24;
const SECTOR_BYTES: usize = 512;

fn id() -> ReplicaId {
    ReplicaId {
        name: "riga1".into(),
        incarnation: 0x1122_3344_5566_7788,
    }
}

fn entry(term: u64, index: u64, len: usize) -> Entry {
    Entry {
        position: Position { term, index },
        payload: Payload::Command(vec![0xa5; len].into()),
    }
}

fn hard_state(term: u64) -> Write {
    Write::HardState(HardState {
        cluster: Some(7),
        term,
        vote: Some(id()),
    })
}

fn snapshot(term: u64, index: u64) -> Write {
    let mut membership = Membership::default();
    membership.voters.insert(id());
    Write::Snapshot(Arc::new(Snapshot {
        position: Position { term, index },
        membership,
        data: vec![0x5a; 2_000].into(),
    }))
}

/// Returns sample synced writes: votes, entries, a conflicting suffix and an entry that spans
/// several sectors.
fn batches() -> Vec<Vec<Write>> {
    vec![
        vec![hard_state(1), Write::Append(vec![entry(1, 1, 30)])],
        vec![Write::Append(vec![entry(1, 2, 30), entry(1, 3, 30)])],
        vec![hard_state(2), Write::Append(vec![entry(2, 2, 30)])],
        vec![Write::Append(vec![entry(2, 3, 1_500)])],
    ]
}

/// Returns a folder with a store that contains `batches`, and the expected states: before the first
/// batch and after each batch.
fn store_with(batches: &[Vec<Write>]) -> (TempDir, Vec<Stored>) {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = FileStore::open(folder.path()).expect("opens");
    store.create(&id()).expect("creates");
    let mut states = vec![Stored::new(id())];
    for batch in batches {
        store.write(batch).expect("writes");
        let mut next = states[states.len() - 1].clone();
        next.apply_all(batch);
        states.push(next);
    }
    (folder, states)
}

fn reopen(folder: &Path) -> Result<Option<Stored>, StorageError> {
    FileStore::open(folder)?.load()
}

fn newest_file(folder: &Path, prefix: &str) -> PathBuf {
    let names = fs::read_dir(folder)
        .expect("lists")
        .map(|e| e.expect("an entry").path());
    let fits = |p: &PathBuf| {
        p.file_name()
            .is_some_and(|n| n.to_string_lossy().starts_with(prefix))
    };
    names.filter(fits).max().expect("a file")
}

/// Returns the offset of each record, followed by the end of the file.
fn records(bytes: &[u8]) -> Vec<usize> {
    let mut starts = vec![0];
    let mut at = 0;
    while at < bytes.len() {
        let len = u32::from_le_bytes(bytes[at + 4..at + 8].try_into().expect("4 bytes"));
        at += HEADER_BYTES + len as usize;
        starts.push(at);
    }
    starts
}

#[test]
fn empty_folder_has_no_store_until_created() {
    let folder = tempfile::tempdir().expect("a folder");
    assert_eq!(reopen(folder.path()).expect("opens"), None);
    FileStore::open(folder.path())
        .expect("opens")
        .create(&id())
        .expect("creates");
    assert_eq!(
        reopen(folder.path()).expect("opens"),
        Some(Stored::new(id()))
    );
}

#[test]
fn reads_back_all_writes() {
    let mut batches = batches();
    batches.push(vec![snapshot(2, 2)]);
    batches.push(vec![Write::Append(vec![entry(2, 4, 30)])]);
    batches.push(vec![snapshot(3, 9), hard_state(3)]);
    for count in 0..=batches.len() {
        let (folder, states) = store_with(&batches[..count]);
        assert_eq!(
            reopen(folder.path()).expect("opens").as_ref(),
            states.last()
        );
    }
}

#[test]
fn locks_folder_against_second_open() {
    let (folder, _) = store_with(&[]);
    let _first = FileStore::open(folder.path()).expect("opens");
    let second = FileStore::open(folder.path()).err();
    assert!(matches!(second, Some(StorageError::InUse { .. })));
}

#[test]
fn truncated_log_keeps_complete_records_and_accepts_writes() {
    let (folder, states) = store_with(&batches());
    let log = newest_file(folder.path(), "log-");
    let intact = fs::read(&log).expect("reads");
    let starts = records(&intact);
    for cut in starts[1]..=intact.len() {
        fs::write(&log, &intact[..cut]).expect("writes");
        let complete = starts.iter().filter(|s| **s <= cut).count() - 2;
        let mut expected = states[complete].clone();
        assert_eq!(
            reopen(folder.path()).expect("opens").as_ref(),
            Some(&expected),
            "{cut}"
        );
        let more = [hard_state(9)];
        FileStore::open(folder.path())
            .expect("opens")
            .write(&more)
            .expect("writes");
        expected.apply_all(&more);
        assert_eq!(
            reopen(folder.path()).expect("opens"),
            Some(expected),
            "{cut}"
        );
    }
}

#[test]
fn truncates_last_record_with_missing_sectors() {
    let (folder, states) = store_with(&batches());
    let log = newest_file(folder.path(), "log-");
    let intact = fs::read(&log).expect("reads");
    let starts = records(&intact);
    let last = starts[starts.len() - 2];
    for sector in last / SECTOR_BYTES..intact.len().div_ceil(SECTOR_BYTES) {
        let from = (sector * SECTOR_BYTES).max(last);
        let to = ((sector + 1) * SECTOR_BYTES).min(intact.len());
        let mut torn = intact.clone();
        torn[from..to].fill(0);
        fs::write(&log, &torn).expect("writes");
        let stored = reopen(folder.path()).expect("opens");
        assert_eq!(
            stored.as_ref(),
            Some(&states[states.len() - 2]),
            "sector {sector}"
        );
    }
}

#[test]
fn reports_file_and_offset_of_flipped_bit() {
    let (folder, _) = store_with(&batches());
    let log = newest_file(folder.path(), "log-");
    let intact = fs::read(&log).expect("reads");
    let starts = records(&intact);
    for byte in 0..intact.len() {
        let mut flipped = intact.clone();
        flipped[byte] ^= 1 << (byte % 8);
        fs::write(&log, &flipped).expect("writes");
        let start = starts
            .iter()
            .rev()
            .find(|s| **s <= byte)
            .copied()
            .expect("a record");
        match reopen(folder.path()) {
            Err(StorageError::Corrupt { path, offset, .. }) => {
                assert_eq!((path, offset), (log.clone(), start as u64), "byte {byte}");
            }
            other => panic!("byte {byte}: {other:?}"),
        }
    }
}

#[test]
fn rejects_corrupt_or_missing_snapshot() {
    let (folder, _) = store_with(&[vec![snapshot(2, 2)]]);
    let path = newest_file(folder.path(), "snapshot-");
    let intact = fs::read(&path).expect("reads");
    for byte in 0..intact.len() {
        let mut flipped = intact.clone();
        flipped[byte] ^= 1;
        fs::write(&path, &flipped).expect("writes");
        let error = reopen(folder.path()).expect_err("damaged");
        assert!(matches!(error, StorageError::Corrupt { .. }), "byte {byte}");
    }
    fs::rename(&path, path.with_extension("new")).expect("renames");
    let error = reopen(folder.path()).expect_err("missing");
    let step = StorageStep::ReadSnapshot;
    assert!(matches!(error, StorageError::Io { step: s, .. } if s == step));
}

/// Opens a store in which the next operation `step` fails, and only that one.
fn open_failing(folder: &Path, step: StorageStep, fault: Fault) -> FileStore {
    let armed = Mutex::new(true);
    let hook = move |s| {
        let mut armed = armed.lock().expect("not poisoned");
        let hit = s == step && std::mem::take(&mut *armed);
        hit.then_some(fault)
    };
    FileStore::open_with(folder, Box::new(hook)).expect("opens")
}

#[test]
fn failed_write_is_atomic_and_can_be_retried() {
    let appended = vec![hard_state(3), Write::Append(vec![entry(3, 4, 900)])];
    let compacted = vec![snapshot(2, 2), hard_state(3)];
    let in_append = [StorageStep::WriteLog, StorageStep::SyncLog];
    let in_rewrite = [
        StorageStep::WriteNew,
        StorageStep::SyncNew,
        StorageStep::Rename,
        StorageStep::SyncFolder,
    ];
    let faults = [
        Fault::Refused,
        Fault::Torn(0),
        Fault::Torn(1),
        Fault::Torn(600),
        Fault::Unacknowledged,
    ];
    let cases = in_append.iter().map(|s| (*s, &appended));
    let cases = cases.chain(in_rewrite.iter().map(|s| (*s, &compacted)));
    for (step, writes) in cases {
        for fault in faults {
            check_failed_step(step, fault, writes);
        }
    }
}

fn check_failed_step(step: StorageStep, fault: Fault, writes: &[Write]) {
    let case = format!("{step:?} {fault:?}");
    let (folder, states) = store_with(&batches());
    let before = states.last().expect("a state");
    let mut after = before.clone();
    after.apply_all(writes);

    let mut store = open_failing(folder.path(), step, fault);
    let error = store.write(writes).expect_err(&case);
    assert!(
        matches!(error, StorageError::Io { step: s, .. } if s == step),
        "{case}"
    );
    assert_eq!(
        store.load().expect("loads").as_ref(),
        Some(before),
        "{case}"
    );
    drop(store);
    let crashed = reopen(folder.path()).expect("opens").expect("a store");
    assert!(
        crashed == *before || crashed == after,
        "{case}: {crashed:?}"
    );

    let (folder, _) = store_with(&batches());
    let mut store = open_failing(folder.path(), step, fault);
    store.write(writes).expect_err(&case);
    store.write(writes).expect(&case);
    let more = [hard_state(9)];
    store.write(&more).expect(&case);
    drop(store);
    after.apply_all(&more);
    assert_eq!(reopen(folder.path()).expect("opens"), Some(after), "{case}");
}

#[test]
fn interrupted_creation_leaves_no_store() {
    for step in [
        StorageStep::WriteNew,
        StorageStep::SyncNew,
        StorageStep::Rename,
    ] {
        let folder = tempfile::tempdir().expect("a folder");
        let mut store = open_failing(folder.path(), step, Fault::Refused);
        store.create(&id()).expect_err("fails");
        drop(store);
        assert_eq!(reopen(folder.path()).expect("opens"), None, "{step:?}");
    }
}

#[test]
fn removes_obsolete_files() {
    let mut batches = batches();
    batches.push(vec![snapshot(2, 2)]);
    batches.push(vec![snapshot(2, 3)]);
    let (folder, _) = store_with(&batches);
    fs::write(
        folder.path().join("log-00000000000000000009.new"),
        b"left over",
    )
    .expect("writes");
    reopen(folder.path()).expect("opens");
    let names = fs::read_dir(folder.path()).expect("lists").count();
    assert_eq!(names, 3, "the lock file, one log and one snapshot");
}
