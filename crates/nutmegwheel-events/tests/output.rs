//! Logging never waits: a slow, blocked or closed output costs lines and nothing else.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        atomic::Ordering,
        mpsc::{Receiver, channel},
    },
    time::{Duration, Instant},
};

use nutmegwheel_events::{Clock, Event, Journal, Options, Output, SystemTime};

#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Blocks until it is let go.
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
    let end = Instant::now() + Duration::from_secs(5);
    while !is_true() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn lines_arrive_whole_and_in_order() {
    let kept = Kept::default();
    let (mut output, dropped) = Output::open(kept.clone()).unwrap();
    for number in 0..100 {
        write!(output, "line ").unwrap();
        writeln!(output, "{number}").unwrap();
    }
    let expected = (0..100).map(|n| format!("line {n}\n"));
    let expected = expected.collect::<Vec<_>>().concat();
    wait_until("all lines", || {
        *kept.0.lock().unwrap() == expected.as_bytes()
    });
    assert_eq!(dropped.load(Ordering::Relaxed), 0);
}

#[test]
fn a_blocked_output_holds_up_nobody_and_its_losses_are_counted() {
    let (let_go, gate) = channel();
    let (mut output, dropped) = Output::open(Blocked(gate)).unwrap();
    let began = Instant::now();
    for number in 0..100_000 {
        writeln!(output, "{number}").unwrap();
    }
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "{:?}",
        began.elapsed()
    );
    assert!(dropped.load(Ordering::Relaxed) > 90_000);
    drop(let_go);
}

#[test]
fn a_closed_output_is_counted_and_the_process_goes_on() {
    let (mut output, dropped) = Output::open(Closed).unwrap();
    for number in 0..10 {
        writeln!(output, "{number}").unwrap();
    }
    wait_until("the count", || dropped.load(Ordering::Relaxed) == 10);
}

#[test]
fn decisions_under_load_are_told_as_a_count() {
    let opts = Options {
        process: "n1".into(),
        capacity: 10_000,
    };
    let journal = Journal::open(opts, Clock::open(SystemTime));
    for number in 0..10_000 {
        journal.decide(Event::RequestFailed, &[("id", &number)]);
    }
    let told = journal.after(0).len();
    assert!(told < 500, "{told} of 10,000 told one by one");
    std::thread::sleep(Duration::from_millis(1100));
    journal.decide(Event::RequestFailed, &[("id", &"last")]);
    let records = journal.after(0);
    let untold: usize = records
        .iter()
        .filter_map(|record| record.fields.get("untold")?.parse::<usize>().ok())
        .sum();
    assert_eq!(untold + records.len(), 10_001, "none is forgotten");
}
