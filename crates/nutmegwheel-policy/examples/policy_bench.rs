//! Measures the time and memory of single decisions; run it with `--release`.

use std::{
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use nutmegwheel_policy::{
    admission::{self, Completion, Offer, Queue},
    concurrency::Fixed,
    routing::{self, Announcement, Outcome, ServerState, Table},
    work::{Ledger, WorkReport},
};
use nutmegwheel_types::Priority;
use rand::{Rng, SeedableRng, rngs::StdRng};

const ROUNDS: u32 = 1_000_000;
const ENTRIES: u32 = 20_000;

fn main() {
    // Memory is measured first, since memory freed by later steps would hide its growth.
    println!("one waiting request: {} bytes", bytes_per_entry(fill_queue));
    println!("one backend server: {} bytes", bytes_per_entry(fill_table));
    for servers in [30, 1000] {
        for by_time in [false, true] {
            println!(
                "routing among {servers} by {}: {} ns per choice and finish",
                if by_time { "expected time" } else { "counts" },
                routing_ns(servers, by_time)
            );
        }
    }
    for open in [10, 200] {
        println!(
            "work of {open} open requests: {} ns per request and report",
            ledger_ns(open)
        );
    }
    println!(
        "admission, free slot: {} ns per offer and finish",
        admission_ns(0)
    );
    println!(
        "admission, 200 waiting: {} ns per offer and cancel",
        admission_ns(200)
    );
}

fn routing_ns(servers: u32, by_time: bool) -> u128 {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut table = Table::open(Arc::from("riga1"), routing::Options::default());
    let endpoint: Arc<str> = "counts".into();
    let work = WorkReport {
        left: Duration::from_millis(900),
        service: Some(Duration::from_millis(90)),
    };
    for n in 0..servers {
        let key = table.announce(now, announcement(n));
        if by_time {
            table.observe_work(now, key, &endpoint, Some(work));
        }
    }
    let priority = Priority {
        rank: 0,
        over_share: 0,
        root_hash: 0,
    };
    let req = routing::Request {
        priority,
        tried: &[],
    };
    let started_at = Instant::now();
    for _ in 0..ROUNDS {
        let chosen = if by_time {
            table.choose_by_time(now, &req, &endpoint, &mut rng)
        } else {
            table.choose(now, &req, &mut rng)
        };
        if let Ok(key) = black_box(chosen) {
            table.finish(now, key, Outcome::Answered, None);
            if by_time {
                table.observe_work(now, key, &endpoint, Some(work));
            }
        }
    }
    started_at.elapsed().as_nanos() / u128::from(ROUNDS)
}

/// One request in a ledger with `open` others, at one request each 100 us.
fn ledger_ns(open: u32) -> u128 {
    let mut now = Instant::now();
    let mut ledger = Ledger::default();
    let endpoint: Arc<str> = "counts".into();
    for _ in 0..open {
        let ticket = ledger.enter(&endpoint);
        ledger.start(now, ticket);
    }
    let started_at = Instant::now();
    for _ in 0..ROUNDS {
        let ticket = ledger.enter(&endpoint);
        ledger.start(now, ticket);
        now += Duration::from_micros(100);
        black_box(ledger.finish(now, ticket, Duration::ZERO));
        black_box(ledger.report(now, &endpoint));
    }
    started_at.elapsed().as_nanos() / u128::from(ROUNDS)
}

fn admission_ns(waiting: u32) -> u128 {
    let mut now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let slots = 70;
    let mut queue = Queue::open(
        now,
        Box::new(Fixed::open(slots)),
        admission::Options::default(),
    );
    let endpoint: Arc<str> = "counts".into();
    let mut offer = |queue: &mut Queue, now: Instant| {
        let priority = Priority {
            rank: 1,
            over_share: 0,
            root_hash: rng.random(),
        };
        let deadline = now + Duration::from_hours(1);
        let endpoint = endpoint.clone();
        let req = admission::Request {
            priority,
            is_nested: false,
            endpoint,
            deadline,
        };
        queue.offer(now, req, &mut rng)
    };
    let initial_offers = if waiting > 0 { slots + waiting } else { 0 };
    (0..initial_offers).for_each(|_| {
        black_box(offer(&mut queue, now));
    });
    let started_at = Instant::now();
    for _ in 0..ROUNDS {
        now += Duration::from_micros(10);
        match black_box(offer(&mut queue, now)) {
            Offer::Started(ticket) => queue.finish(now, ticket, Completion::Answered),
            Offer::Waiting(ticket) => {
                queue.cancel(now, ticket);
            }
            Offer::Refused(_) => {}
        }
    }
    started_at.elapsed().as_nanos() / u128::from(ROUNDS)
}

/// Returns the growth of the resident memory per entry, over many entries.
fn bytes_per_entry<T>(build: impl FnOnce() -> T) -> u64 {
    let before = resident_bytes();
    let entries = build();
    let after = resident_bytes();
    drop(black_box(entries));
    after.saturating_sub(before) / u64::from(ENTRIES)
}

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or_default() * 1024
}

fn fill_queue() -> Queue {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let options = admission::Options {
        max_waiting: 1 << 20,
        ..admission::Options::default()
    };
    let mut queue = Queue::open(now, Box::new(Fixed::open(1)), options);
    let endpoint: Arc<str> = "counts".into();
    for _ in 0..ENTRIES {
        let priority = Priority {
            rank: 1,
            over_share: 0,
            root_hash: rng.random(),
        };
        let deadline = now + Duration::from_hours(1);
        let endpoint = endpoint.clone();
        let req = admission::Request {
            priority,
            is_nested: false,
            endpoint,
            deadline,
        };
        queue.offer(now, req, &mut rng);
    }
    queue
}

fn fill_table() -> Table {
    let now = Instant::now();
    let mut table = Table::open("riga1".into(), routing::Options::default());
    for n in 0..ENTRIES {
        table.announce(now, announcement(n));
    }
    table
}

fn announcement(n: u32) -> Announcement {
    Announcement {
        node: format!("n{n}").into(),
        data_centre: if n.is_multiple_of(3) {
            "riga2"
        } else {
            "riga1"
        }
        .into(),
        incarnation: 1,
        slots: 70,
        state: ServerState::Ready,
    }
}
