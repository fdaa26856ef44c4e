//! The record of a run: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

pub struct Record {
    begin: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn open(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            begin: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    pub fn now(&self) -> Duration {
        self.begin.elapsed()
    }

    /// Adds a line with the time since the begin of the run.
    pub fn add(&self, text: impl AsRef<str>) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A record that cannot be written shows in its length.
        let _ = writeln!(file, "{at:9.3} {}", text.as_ref());
    }
}
