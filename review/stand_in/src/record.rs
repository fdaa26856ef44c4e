//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write as _,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Opens `record.txt` in the folder of the case.
    pub fn open(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        })
    }

    /// The time since the start, in milliseconds.
    pub fn ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.ms(), text.as_ref());
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
