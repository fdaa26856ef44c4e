//! Routing while data centres are evacuated, and after they are readmitted.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use nutmegwheel_policy::routing::{
    Announcement, BackendKey, Error, Options, Outcome, Request, ServerState, Table,
};
use nutmegwheel_types::{DataCentreId, Priority};
use rand::{SeedableRng, rngs::StdRng};

const SLOTS: u32 = 10;
const PRIORITY: Priority = Priority {
    rank: 0,
    over_share: 0,
    root_hash: 0,
};

fn announce(table: &mut Table, now: Instant, node: &str, data_centre: &str) -> BackendKey {
    let announcement = Announcement {
        node: Arc::from(node),
        data_centre: Arc::from(data_centre),
        incarnation: 1,
        slots: SLOTS,
        state: ServerState::Ready,
    };
    table.announce(now, announcement)
}

/// Two backend servers in each of the three data centres; the sender is in `riga1`.
fn table(now: Instant) -> Table {
    let mut table = Table::open(Arc::from("riga1"), Options::default());
    for data_centre in ["riga1", "riga2", "riga3"] {
        for number in 0..2 {
            announce(
                &mut table,
                now,
                &format!("{data_centre}-{number}"),
                data_centre,
            );
        }
    }
    table
}

fn names(data_centres: &[&str]) -> BTreeSet<DataCentreId> {
    data_centres.iter().map(|name| Arc::from(*name)).collect()
}

fn choose(table: &mut Table, now: Instant, rng: &mut StdRng) -> Result<BackendKey, Error> {
    let req = Request {
        priority: PRIORITY,
        tried: &[],
    };
    table.choose(now, &req, rng)
}

/// The data centres that get `count` requests, of which none ends.
fn chosen(table: &mut Table, now: Instant, count: usize) -> Vec<DataCentreId> {
    let mut rng = StdRng::seed_from_u64(1);
    let mut chosen = Vec::new();
    for _ in 0..count {
        let key = choose(table, now, &mut rng).expect("a backend server");
        chosen.push(
            table
                .announcement(key)
                .expect("it is known")
                .data_centre
                .clone(),
        );
    }
    chosen
}

#[test]
fn sends_nothing_to_evacuated_data_centres() {
    let now = Instant::now();
    for (evacuated, available) in [
        (&["riga1"][..], 4),
        (&["riga2"], 4),
        (&["riga1", "riga3"], 2),
        (&["unused"], 6),
    ] {
        let mut table = table(now);
        table.set_evacuated(now, &names(evacuated));
        assert_eq!(table.available(), available, "{evacuated:?}");
        // Far more than the others have room for.
        for data_centre in chosen(&mut table, now, 200) {
            assert!(!evacuated.contains(&&*data_centre), "{evacuated:?}");
        }
    }
}

#[test]
fn suspicions_against_others_do_not_bring_evacuated_servers_back() {
    let now = Instant::now();
    let mut table = table(now);
    table.set_evacuated(now, &names(&["riga1"]));
    let others: Vec<_> = ["riga2-0", "riga2-1", "riga3-0", "riga3-1"]
        .iter()
        .filter_map(|node| table.find(node))
        .collect();
    for key in &others {
        for _ in 0..5 {
            table.finish(now, *key, Outcome::Failed, None);
        }
        table.finish(now, *key, Outcome::Unreachable, None);
    }
    for data_centre in chosen(&mut table, now, 50) {
        assert_ne!(&*data_centre, "riga1");
    }
}

#[test]
fn server_that_is_announced_later_is_evacuated_too() {
    let now = Instant::now();
    let mut table = table(now);
    table.set_evacuated(now, &names(&["riga2"]));
    let key = announce(&mut table, now, "riga2-9", "riga2");
    assert_eq!(table.available(), 4);
    table.set_evacuated(now, &names(&[]));
    assert_eq!(table.available(), 7);
    assert_eq!(table.outstanding(key), 0);
}

#[test]
fn refuses_at_once_if_every_server_is_evacuated() {
    let now = Instant::now();
    let mut table = table(now);
    table.set_evacuated(now, &names(&["riga1", "riga2", "riga3"]));
    let refused = choose(&mut table, now, &mut StdRng::seed_from_u64(1));
    assert!(
        matches!(refused, Err(Error::NoneReady { known: 6, .. })),
        "{refused:?}"
    );
}

// Guards against a surge on servers that were idle, and may be cold, when a data centre is
// readmitted.
#[test]
fn load_returns_gradually_after_readmission() {
    let start = Instant::now();
    let mut table = table(start);
    table.set_evacuated(start, &names(&["riga1"]));
    table.set_evacuated(start, &names(&[]));
    let share_at = |table: &mut Table, after: Duration| {
        let now = start + after;
        let mut rng = StdRng::seed_from_u64(7);
        let mut keys = Vec::new();
        let mut local = 0;
        for _ in 0..30 {
            let key = choose(table, now, &mut rng).expect("a backend server");
            let announcement = table.announcement(key).expect("it is known");
            local += usize::from(&*announcement.data_centre == "riga1");
            keys.push(key);
        }
        for key in keys {
            table.finish(now, key, Outcome::Cancelled, None);
        }
        local
    };
    let slow_start = Options::default().slow_start;
    let first = share_at(&mut table, Duration::ZERO);
    let middle = share_at(&mut table, slow_start / 2);
    let last = share_at(&mut table, slow_start);
    assert!(first < middle && middle < last, "{first} {middle} {last}");
    assert!(first <= 4, "{first} of 30 for 2 servers in 6 at a tenth");
}

// Guards against a request that waits for its next attempt, or is refused, although another backend
// server is free: the one that it was tried at is evacuated by now and does not count as available.
#[test]
fn request_refused_by_evacuated_server_can_go_to_another() {
    let now = Instant::now();
    let mut table = Table::open(Arc::from("riga1"), Options::default());
    let refused = announce(&mut table, now, "riga1-0", "riga1");
    let other = announce(&mut table, now, "riga2-0", "riga2");
    assert!(table.has_untried(&[refused]));
    table.set_evacuated(now, &names(&["riga1"]));
    assert!(table.has_untried(&[refused]));
    assert!(!table.has_untried(&[refused, other]));
    assert!(!table.has_untried(&[other]));
}
