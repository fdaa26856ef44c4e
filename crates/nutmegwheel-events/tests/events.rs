//! Event numbers are unique, docs/EVENTS.md lists every event, and the timeline orders causes
//! before effects.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use nutmegwheel_events::{Clock, Event, Journal, Options, Timestamp, WallTime, merge, render};

struct ManualWallTime(Arc<AtomicU64>);

impl WallTime for ManualWallTime {
    fn millis(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }
}

fn clock(millis: u64) -> (Clock, Arc<AtomicU64>) {
    let wall = Arc::new(AtomicU64::new(millis));
    (Clock::open(ManualWallTime(wall.clone())), wall)
}

fn journal(process: &str, millis: u64) -> (Journal, Arc<AtomicU64>) {
    let (clock, wall) = clock(millis);
    let opts = Options {
        process: process.into(),
        capacity: 4,
    };
    (Journal::open(opts, clock), wall)
}

#[test]
fn event_numbers_are_unique_and_documented() {
    let page = include_str!("../../../docs/EVENTS.md");
    let mut numbers: Vec<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    numbers.sort_unstable();
    numbers.dedup();
    assert_eq!(numbers.len(), Event::ALL.len());
    for event in Event::ALL {
        let row = format!("| {} | `{}` |", event.number(), event.name());
        assert!(page.contains(&row), "docs/EVENTS.md lacks {row}");
    }
    let rows = page
        .lines()
        .filter(|line| line.starts_with("| ") && line.contains("| `"));
    assert_eq!(
        rows.count(),
        Event::ALL.len(),
        "docs/EVENTS.md has rows without an event"
    );
}

#[test]
fn clock_stays_monotonic_when_wall_time_goes_back() {
    let (clock, wall) = clock(1000);
    let first = clock.now();
    wall.store(400, Ordering::SeqCst);
    let second = clock.now();
    assert!(second > first);
    assert_eq!(
        second,
        Timestamp {
            millis: 1000,
            count: 1
        }
    );
}

#[test]
fn advances_past_observed_timestamp_unless_too_far_ahead() {
    let (clock, _) = clock(1000);
    clock.observe(Timestamp {
        millis: 5000,
        count: 7,
    });
    assert_eq!(clock.now().millis, 5000);
    clock.observe(Timestamp {
        millis: u64::MAX,
        count: 0,
    });
    assert_eq!(clock.now().millis, 5000);
}

#[test]
fn timeline_orders_cause_before_effect_despite_clock_lag() {
    let (cause, _) = journal("b-cause", 9000);
    let (effect, _) = journal("a-effect", 2000);
    cause.emit(Event::KeyWithdrawn, &[("key", &"ab12")]);
    effect.clock().observe(cause.after(0)[0].timestamp);
    effect.emit(Event::NodeFenced, &[("why", &"old view")]);
    let merged = merge([effect.after(0), cause.after(0)]);
    insta::assert_snapshot!(render(&merged), @r"
     0.000 b-cause  402 key-withdrawn key=ab12
     0.000 a-effect 403 node-fenced why=old view
    ");
}

#[test]
fn journal_keeps_newest_records() {
    let (journal, _) = journal("p", 1);
    for _ in 0..6 {
        journal.emit(Event::ProcessStarted, &[]);
    }
    let sequences: Vec<u64> = journal.after(0).iter().map(|r| r.sequence).collect();
    assert_eq!(sequences, [3, 4, 5, 6]);
    assert_eq!(journal.after(5).len(), 1);
}
