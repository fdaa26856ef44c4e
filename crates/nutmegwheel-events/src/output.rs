//! Writes log lines without blocking to an output that may be slow, blocked or closed.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
};

/// The maximum number of lines queued for the output; further ones are dropped and counted.
const QUEUE_CAPACITY: usize = 4096;
/// The maximum length of a line; longer ones are truncated.
const MAX_LINE_BYTES: usize = 16 * 1024;
/// The number of bytes from which on a batch takes no further line.
const BATCH_BYTES: usize = 64 * 1024;
/// The maximum number of lines of a batch.
const BATCH_LINES: u64 = 1024;

/// Queues complete lines without blocking, for a separate thread to write.
pub struct Output {
    lines: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    dropped: Arc<AtomicU64>,
}

impl Output {
    /// Starts the thread that writes to `out`. Returns the output and the counter of the lines that
    /// were dropped because `out` was too slow or failed.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn open(out: impl Write + Send + 'static) -> io::Result<(Self, Arc<AtomicU64>)> {
        let (lines, received) = sync_channel(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let thread_dropped = dropped.clone();
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(out, &received, &thread_dropped))?;
        let output = Self {
            lines,
            line: Vec::new(),
            dropped: dropped.clone(),
        };
        Ok((output, dropped))
    }

    fn finish_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for Output {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        for chunk in buf.split_inclusive(|byte| *byte == b'\n') {
            let is_end = chunk.ends_with(b"\n");
            let room = MAX_LINE_BYTES.saturating_sub(self.line.len());
            self.line.extend_from_slice(&chunk[..chunk.len().min(room)]);
            if is_end {
                if !self.line.ends_with(b"\n") {
                    self.line.push(b'\n');
                }
                self.finish_line();
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines together, to save system calls. A batch is bounded, since lines may be queued
/// as fast as they are taken.
fn write_lines(mut out: impl Write, lines: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    while let Ok(mut batch) = lines.recv() {
        let mut count = 1;
        while count < BATCH_LINES
            && batch.len() < BATCH_BYTES
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
            count += 1;
        }
        // Logging must not stop the process, so lost lines are only counted.
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            dropped.fetch_add(count, Ordering::Relaxed);
        }
    }
}
