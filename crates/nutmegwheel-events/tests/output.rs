//! Writing a log line never blocks: a slow, blocked or closed output only loses lines, and the
//! losses are counted.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
        mpsc::{Receiver, channel},
    },
    time::{Duration, Instant},
};

use nutmegwheel_events::{Clock, Event, Journal, Options, Output, SystemTime};

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Blocks until the sender is dropped.
struct Blocked(Receiver<()>);

impl Write for Blocked {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Takes a moment for each write and records the longest one.
struct Slow(Arc<AtomicUsize>);

impl Write for Slow {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.fetch_max(buf.len(), Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(1));
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Closed;

impl Write for Closed {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn wait_until(what: &str, is_true: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(5);
    while !is_true() {
        assert!(Instant::now() < deadline, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn writes_complete_lines_in_order() {
    let buffer = SharedBuffer::default();
    let (mut output, dropped) = Output::open(buffer.clone()).unwrap();
    for number in 0..100 {
        write!(output, "line ").unwrap();
        writeln!(output, "{number}").unwrap();
    }
    let expected = (0..100).map(|n| format!("line {n}\n"));
    let expected = expected.collect::<Vec<_>>().concat();
    wait_until("all lines", || {
        *buffer.0.lock().unwrap() == expected.as_bytes()
    });
    assert_eq!(dropped.load(Ordering::Relaxed), 0);
}

#[test]
fn drops_and_counts_lines_when_output_blocks() {
    let (unblock, blocked_until) = channel();
    let (mut output, dropped) = Output::open(Blocked(blocked_until)).unwrap();
    let started_at = Instant::now();
    for number in 0..100_000 {
        writeln!(output, "{number}").unwrap();
    }
    assert!(
        started_at.elapsed() < Duration::from_secs(2),
        "{:?}",
        started_at.elapsed()
    );
    assert!(dropped.load(Ordering::Relaxed) > 90_000);
    drop(unblock);
}

// Guards against memory that grows with the log: a batch took lines for as long as new ones came.
#[test]
fn bounds_what_is_written_at_once() {
    let longest = Arc::new(AtomicUsize::new(0));
    let (mut output, _) = Output::open(Slow(longest.clone())).unwrap();
    let line = "x".repeat(1000);
    for _ in 0..20_000 {
        writeln!(output, "{line}").unwrap();
    }
    wait_until("a write", || longest.load(Ordering::Relaxed) > 0);
    assert!(longest.load(Ordering::Relaxed) <= 64 * 1024 + 1001);
}

#[test]
fn counts_lines_lost_to_closed_output() {
    let (mut output, dropped) = Output::open(Closed).unwrap();
    for number in 0..10 {
        writeln!(output, "{number}").unwrap();
    }
    wait_until("the count", || dropped.load(Ordering::Relaxed) == 10);
}

#[test]
fn rate_limits_events_and_counts_suppressed() {
    let opts = Options {
        process: "n1".into(),
        capacity: 10_000,
    };
    let journal = Journal::open(opts, Clock::open(SystemTime));
    for number in 0..10_000 {
        journal.emit_rate_limited(Event::RequestFailed, &[("id", &number)]);
    }
    let emitted = journal.after(0).len();
    assert!(emitted < 500, "{emitted} of 10,000 emitted one by one");
    std::thread::sleep(Duration::from_millis(1100));
    journal.emit_rate_limited(Event::RequestFailed, &[("id", &"last")]);
    let records = journal.after(0);
    let suppressed: usize = records
        .iter()
        .filter_map(|record| record.fields.get("untold")?.parse::<usize>().ok())
        .sum();
    assert_eq!(
        suppressed + records.len(),
        10_001,
        "every event is emitted or counted"
    );
}
