//! Detection of a backend server that fails part of its requests but passes its health checks.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use nutmegwheel_policy::{
    failure_rate::{FailureRate, Options},
    routing::{Announcement, BackendKey, Options as Routing, Outcome, Request, ServerState, Table},
};
use nutmegwheel_types::Priority;
use rand::{Rng, SeedableRng, rngs::StdRng};

const SLOTS: u16 = 64;
const SERVERS: usize = 8;
/// The number of senders, each with its own routing table.
const SENDERS: usize = 20;
/// The time between two requests, over all senders.
const REQUEST_INTERVAL: Duration = Duration::from_millis(2);
/// The service time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// The time until an announcement reaches every sender.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(300);
const PRIORITY: Priority = Priority {
    rank: 0,
    over_share: 0,
    root_hash: 0,
};

fn record_requests(
    rng: &mut StdRng,
    failure_rate: &mut FailureRate,
    requests: u32,
    failure_probability: f64,
) {
    for _ in 0..requests {
        failure_rate.record(Instant::now(), rng.random_bool(failure_probability));
    }
}

#[test]
fn detects_40_percent_failures_but_not_1_percent() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut failing_server = FailureRate::open(Options::default());
        let mut was_failing = false;
        for _ in 0..60 {
            record_requests(&mut rng, &mut failing_server, 1, 0.4);
            was_failing |= failing_server.is_failing();
        }
        assert!(was_failing, "seed {seed}");
        let mut healthy_server = FailureRate::open(Options::default());
        for _ in 0..1000 {
            record_requests(&mut rng, &mut healthy_server, 1, 0.01);
            assert!(!healthy_server.is_failing(), "seed {seed}");
        }
    }
}

#[test]
fn failing_server_reduces_slots_until_recovery() {
    let now = Instant::now();
    let mut failure_rate = FailureRate::open(Options::default());
    assert_eq!(failure_rate.announced_slots(SLOTS), SLOTS);
    let changes: Vec<bool> = (0..20).map(|_| failure_rate.record(now, true)).collect();
    assert_eq!(changes.iter().filter(|changed| **changed).count(), 1);
    assert_eq!(failure_rate.announced_slots(SLOTS), 6);
    assert_eq!(
        failure_rate.announced_slots(1),
        1,
        "at least one slot remains"
    );
    let mut successes = 0;
    while !failure_rate.record(now, false) {
        successes += 1;
        assert!(successes < 60, "it does not recover");
    }
    assert_eq!(failure_rate.announced_slots(SLOTS), SLOTS);
}

#[test]
fn idle_failing_server_becomes_healthy() {
    let now = Instant::now();
    let mut failure_rate = FailureRate::open(Options::default());
    for _ in 0..20 {
        failure_rate.record(now, true);
    }
    let after = Options::default().idle_reset_after;
    assert!(!failure_rate.expire(now + after / 2));
    assert!(failure_rate.is_failing());
    assert!(failure_rate.expire(now + after));
    assert!(!failure_rate.is_failing());
    assert!(
        !failure_rate.expire(now + after),
        "the change is reported once"
    );
}

fn announcement(server: usize, slots: u16) -> Announcement {
    Announcement {
        node: Arc::from(format!("n{server}")),
        data_centre: Arc::from("riga1"),
        incarnation: 1,
        slots: slots.into(),
        state: ServerState::Ready,
    }
}

/// The failures in each second while one of the backend servers fails half of its requests, with
/// or without announcements of its reduced slots.
fn failures(announces: bool) -> Vec<u32> {
    const SECONDS: u32 = 4;
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(11);
    let mut tables: Vec<(Table, Vec<BackendKey>)> = (0..SENDERS)
        .map(|_| {
            let mut table = Table::open(Arc::from("riga1"), Routing::default());
            let keys = (0..SERVERS).map(|n| table.announce(start, announcement(n, SLOTS)));
            let keys = keys.collect();
            (table, keys)
        })
        .collect();
    let mut failure_rate = FailureRate::open(Options::default());
    let mut pending_announcements: Vec<(Instant, u16)> = Vec::new();
    let mut running: Vec<(Instant, usize, BackendKey, bool)> = Vec::new();
    let mut failed = vec![0; usize::try_from(SECONDS).unwrap()];
    let mut now = start;
    while now < start + Duration::from_secs(SECONDS.into()) {
        now += REQUEST_INTERVAL;
        while let Some(position) = pending_announcements.iter().position(|(at, _)| *at <= now) {
            let (_, slots) = pending_announcements.remove(position);
            for (table, _) in &mut tables {
                table.announce(now, announcement(0, slots));
            }
        }
        while let Some(position) = running.iter().position(|run| run.0 <= now) {
            let (_, sender, key, is_failure) = running.remove(position);
            let (table, keys) = &mut tables[sender];
            // A failed request is answered as well, for example with status 500.
            table.finish(now, key, Outcome::Answered, None);
            if key == keys[0] && failure_rate.record(now, is_failure) && announces {
                pending_announcements.push((
                    now + ANNOUNCEMENT_DELAY,
                    failure_rate.announced_slots(SLOTS),
                ));
            }
            let second = usize::try_from((now - start).as_secs()).unwrap();
            if is_failure && second < failed.len() {
                failed[second] += 1;
            }
        }
        let sender = rng.random_range(0..SENDERS);
        let (table, keys) = &mut tables[sender];
        let req = Request {
            priority: PRIORITY,
            tried: &[],
        };
        let key = table.choose(now, &req, &mut rng).unwrap();
        let is_failure = key == keys[0] && rng.random_bool(0.5);
        running.push((now + SERVICE_TIME, sender, key, is_failure));
    }
    failed
}

/// Failures must also drop at senders that have never sent a request to the failing server.
#[test]
fn reduced_slots_cut_failures_within_1_s() {
    let (with, without) = (failures(true), failures(false));
    println!("failures per second: {with:?}, without announcements {without:?}");
    for second in 1..with.len() {
        assert!(with[second] * 3 <= without[second], "{with:?}, {without:?}");
    }
}
