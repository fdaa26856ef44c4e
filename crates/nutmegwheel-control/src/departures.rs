//! The departures of backend servers that this control VM remembers for restarting nodes, on its
//! disk; see docs/DESIGN.md, "Departures of backend servers".

use std::{
    fs::{self, File},
    io::{self, Write as _},
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use nutmegwheel_events::{Event, Journal};
use nutmegwheel_spread::DepartureService;
use nutmegwheel_wire as wire;
use prost::Message as _;
use tokio::sync::Mutex;

const FILE_NAME: &str = "departures";
const TEMPORARY_NAME: &str = "departures.new";

/// Remembers departures over a restart of this process and a loss of power.
pub(crate) struct Departures {
    service: DepartureService,
    folder: PathBuf,
    journal: Arc<Journal>,
    /// The number of reports with news.
    reported: AtomicU64,
    /// How many of them are in the file.
    written: AtomicU64,
    /// Held while the file is written, so that reports which arrive meanwhile are written together.
    writing: Mutex<()>,
}

impl Departures {
    /// Reads the file in the data folder. If it is missing or damaged, nothing is remembered, and a
    /// new file is written.
    pub(crate) fn open(folder: &Path, is_first_start: bool, journal: Arc<Journal>) -> Self {
        let path = folder.join(FILE_NAME);
        let restored = match read(&path) {
            Ok(restored) => restored.map(DepartureService::restore),
            Err(e) => {
                journal_failure(&journal, &e);
                None
            }
        };
        let is_restored = restored.is_some();
        let departures = Self {
            service: restored.unwrap_or_else(|| DepartureService::open(is_first_start)),
            folder: folder.to_owned(),
            journal,
            reported: AtomicU64::new(u64::from(!is_restored)),
            written: AtomicU64::new(0),
            writing: Mutex::default(),
        };
        if !is_restored {
            let file = encode(&departures.service.to_file());
            departures.finish_write(1, write(folder, &file));
        }
        departures
    }

    /// Answers a request on the topic `DEPARTURES`, or returns `None` if it is malformed. What is
    /// reported as stored is on the disk.
    pub(crate) async fn serve(&self, head: Bytes) -> Option<Bytes> {
        let mut reply = self.service.exchange(head)?;
        if reply.has_news {
            self.reported.fetch_add(1, Ordering::SeqCst);
        }
        let reported = self.reported.load(Ordering::SeqCst);
        reply.answer.is_stored = self.persist(reported).await;
        Some(reply.answer.encode_to_vec().into())
    }

    /// Writes the file unless it holds the first `reported` reports, and returns whether it holds
    /// them now.
    async fn persist(&self, reported: u64) -> bool {
        if self.written.load(Ordering::SeqCst) >= reported {
            return true;
        }
        let _writing = self.writing.lock().await;
        if self.written.load(Ordering::SeqCst) < reported {
            let newest = self.reported.load(Ordering::SeqCst);
            let file = encode(&self.service.to_file());
            let folder = self.folder.clone();
            let written = tokio::task::spawn_blocking(move || write(&folder, &file)).await;
            self.finish_write(newest, written.unwrap_or_else(|e| Err(io::Error::other(e))));
        }
        self.written.load(Ordering::SeqCst) >= reported
    }

    fn finish_write(&self, reported: u64, result: io::Result<()>) {
        match result {
            Ok(()) => self.written.store(reported, Ordering::SeqCst),
            Err(e) => journal_failure(&self.journal, &e),
        }
    }
}

fn journal_failure(journal: &Journal, e: &io::Error) {
    let error = format!("{FILE_NAME}: {e}");
    journal.emit_rate_limited(Event::StorageFailed, &[("error", &error)]);
}

/// Reads the file, or returns `None` if there is none.
fn read(path: &Path) -> io::Result<Option<wire::DepartureFile>> {
    let bytes = match fs::read(path) {
        Ok(bytes) => Bytes::from(bytes),
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e),
    };
    let (checksum, payload) = bytes
        .split_first_chunk()
        .ok_or_else(|| io::Error::other("the file is too short"))?;
    if u32::from_be_bytes(*checksum) != crc32c::crc32c(payload) {
        return Err(io::Error::other("the checksum does not match"));
    }
    let file = wire::DepartureFile::decode(payload).map_err(io::Error::other)?;
    Ok(Some(file))
}

fn encode(file: &wire::DepartureFile) -> Vec<u8> {
    let payload = file.encode_to_vec();
    let mut bytes = crc32c::crc32c(&payload).to_be_bytes().to_vec();
    bytes.extend(payload);
    bytes
}

/// Replaces the file atomically.
fn write(folder: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary = folder.join(TEMPORARY_NAME);
    let mut f = File::create(&temporary)?;
    f.write_all(bytes)?;
    f.sync_all()?;
    fs::rename(&temporary, folder.join(FILE_NAME))?;
    File::open(folder)?.sync_all()
}
