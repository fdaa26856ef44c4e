//! Names of the files in the data folder of a store.

use std::path::{Path, PathBuf};

use crate::types::Position;

const LOG_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const TEMPORARY_SUFFIX: &str = ".new";

pub(super) fn log_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{LOG_PREFIX}{number:020}"))
}

pub(super) fn snapshot_path(folder: &Path, position: Position) -> PathBuf {
    let Position { term, index } = position;
    folder.join(format!("{SNAPSHOT_PREFIX}{index:020}-{term:020}"))
}

/// Returns the temporary path that a file is written to before it is renamed to `path`.
pub(super) fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(TEMPORARY_SUFFIX);
    name.into()
}

/// Returns the number of a log file, or `None` if `name` is not that of a log file.
pub(super) fn log_number(name: &str) -> Option<u64> {
    name.strip_prefix(LOG_PREFIX)?.parse().ok()
}

/// Returns whether the store writes files with such a name.
pub(super) fn is_store_file(name: &str) -> bool {
    name.starts_with(LOG_PREFIX) || name.starts_with(SNAPSHOT_PREFIX)
}
