//! Routing by expected time in single cases: what it learns, when it crosses, and what it does
//! when reports are missing or false.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use nutmegwheel_policy::{
    routing::{
        Announcement, BackendKey, LoadReport, Options, Outcome, Request, ServerState, Table,
    },
    work::WorkReport,
};
use nutmegwheel_types::{EndpointId, Priority};
use rand::{SeedableRng, rngs::StdRng};

const SLOTS: u32 = 10;
const MS: Duration = Duration::from_millis(1);
const TOP: Priority = Priority {
    rank: 0,
    over_share: 0,
    root_hash: 0,
};

fn announcement(n: usize, data_centre: &str, incarnation: u64) -> Announcement {
    Announcement {
        node: Arc::from(format!("n{n}")),
        data_centre: Arc::from(data_centre),
        incarnation,
        slots: SLOTS,
        state: ServerState::Ready,
    }
}

fn table(now: Instant, local: usize, remote: usize) -> (Table, Vec<BackendKey>) {
    let mut table = Table::open(Arc::from("riga1"), Options::default());
    let keys = (0..local + remote)
        .map(|n| {
            let data_centre = if n < local { "riga1" } else { "riga2" };
            table.announce(now, announcement(n, data_centre, 1))
        })
        .collect();
    (table, keys)
}

/// Reports `requests` requests at a server, and `service` for requests of the kind "order".
fn report(table: &mut Table, now: Instant, key: BackendKey, requests: u32, service: Duration) {
    let load = LoadReport {
        running: requests.min(SLOTS),
        waiting: requests.saturating_sub(SLOTS),
        limit: SLOTS,
        shed_level: None,
    };
    let work = WorkReport {
        left: service * requests,
        service: Some(service),
    };
    table.finish(now, key, Outcome::Answered, Some(load));
    table.observe_work(now, key, &EndpointId::from("order"), Some(work));
}

/// The number of `keys` that get a request when each of 200 ends at once.
fn chosen(table: &mut Table, now: Instant, keys: &[BackendKey]) -> Vec<usize> {
    let req = Request {
        priority: TOP,
        tried: &[],
    };
    let mut counts = vec![0; keys.len()];
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let key = table.choose_by_time(now, &req, "order", &mut rng).unwrap();
        table.finish(now, key, Outcome::Cancelled, None);
        counts[keys.iter().position(|k| *k == key).unwrap()] += 1;
    }
    counts
}

#[test]
fn prefers_fast_server_until_it_is_full() {
    let now = Instant::now();
    for (name, busy, fast_wins) in [("idle", 0, true), ("busy", 6, true), ("queue", 40, false)] {
        let (mut table, keys) = table(now, 2, 0);
        report(&mut table, now, keys[0], 0, MS * 200);
        for _ in 0..4 {
            report(&mut table, now, keys[0], 0, MS * 200);
            report(&mut table, now, keys[1], busy, MS * 100);
        }
        let counts = chosen(&mut table, now, &keys);
        assert_eq!(counts[1] == 200, fast_wins, "{name}: {counts:?}");
    }
}

#[test]
fn crosses_for_queue_and_slow_server_but_not_for_faster_one() {
    let now = Instant::now();
    for (name, requests, service, crosses) in [
        ("faster server elsewhere", 0, MS * 80, false),
        ("half of the slots", SLOTS / 2, MS * 40, false),
        ("all slots", SLOTS, MS * 40, true),
        ("queue", SLOTS * 6, MS * 40, true),
        ("slow server", 0, MS * 400, true),
    ] {
        let (mut table, keys) = table(now, 1, 1);
        for _ in 0..4 {
            report(&mut table, now, keys[1], 0, MS * 40);
        }
        report(&mut table, now, keys[0], requests, service);
        report(&mut table, now, keys[0], requests, service);
        let counts = chosen(&mut table, now, &keys);
        assert_eq!(counts[1] > 0, crosses, "{name}: {counts:?}");
        assert_eq!(table.take_spill_change().is_some(), crosses, "{name}");
    }
}

#[test]
fn crossing_neither_begins_nor_ends_in_between() {
    let now = Instant::now();
    let (mut table, keys) = table(now, 1, 1);
    let mut crossed = Vec::new();
    for _ in 0..8 {
        report(&mut table, now, keys[1], 0, MS * 40);
        report(&mut table, now, keys[0], 0, MS * 40);
    }
    // At seven of ten slots the queue is worth less than a service time, with sixty waiting far more.
    for requests in [7, 70, 7, 0] {
        report(&mut table, now, keys[0], requests, MS * 40);
        crossed.push(chosen(&mut table, now, &keys)[1] == 200);
    }
    assert_eq!(crossed, [false, true, true, false]);
}

/// A name, what is known of two servers, the time that passes then, and whether each of the servers
/// gets requests afterwards.
type Case = (&'static str, Prepare, Duration, [bool; 2]);
type Prepare = fn(&mut Table, Instant, &[BackendKey]);

#[test]
fn missing_and_false_reports() {
    let begin = Instant::now();
    let first_is_slow: Prepare = |table, begin, keys| {
        report(table, begin, keys[1], 0, MS * 40);
        report(table, begin, keys[0], 0, MS * 400);
    };
    let cases: [Case; 7] = [
        ("nothing known", |_, _, _| {}, MS, [true, true]),
        ("slow", first_is_slow, MS * 4000, [false, true]),
        ("recovered?", first_is_slow, MS * 6000, [true, true]),
        (
            "earlier version, so by counts",
            |table, begin, keys| {
                report(table, begin, keys[0], 0, MS * 500);
                report(table, begin, keys[1], 5, MS * 10);
                table.observe_work(begin, keys[1], &"order".into(), None);
            },
            MS,
            [true, false],
        ),
        (
            "queue in an old report",
            |table, begin, keys| {
                report(table, begin, keys[0], 60, MS * 40);
                report(table, begin, keys[1], 0, MS * 40);
            },
            MS * 1500,
            [true, true],
        ),
        (
            "huge figures",
            |table, begin, keys| {
                report(table, begin, keys[1], 0, MS * 40);
                let absurd = WorkReport::from_micros(u64::MAX, u64::MAX);
                table.observe_work(begin, keys[0], &"order".into(), absurd);
            },
            MS,
            [false, true],
        ),
        (
            "slow server restarted",
            |table, begin, keys| {
                report(table, begin, keys[1], 0, MS * 40);
                report(table, begin, keys[0], 0, MS * 400);
                table.announce(begin, announcement(1, "riga1", 2));
                table.announce(begin, announcement(0, "riga1", 2));
            },
            MS * 10_000,
            [true, true],
        ),
    ];
    for (name, prepare, later, want) in cases {
        let (mut table, keys) = table(begin, 2, 0);
        prepare(&mut table, begin, &keys);
        let keys = ["n0", "n1"].map(|node| table.find(node).unwrap());
        let counts = chosen(&mut table, begin + later, &keys);
        assert_eq!([counts[0] > 0, counts[1] > 0], want, "{name}: {counts:?}");
    }
}

#[test]
fn single_server_and_slow_fleet_are_used() {
    let now = Instant::now();
    for servers in [1, 4] {
        let (mut table, keys) = table(now, servers, 0);
        for _ in 0..20 {
            for key in &keys {
                report(&mut table, now, *key, 5, MS * 4000);
            }
        }
        let counts = chosen(&mut table, now, &keys);
        assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
    }
}
