//! Choice of a backend server, in single cases and in random runs.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use nutmegwheel_policy::{
    retry::{RatioOptions, RetryRatios},
    routing::{
        Announcement, BackendKey, Error, LoadReport, Options, Outcome, Request, ServerState, Table,
    },
};
use nutmegwheel_types::Priority;
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{SeedableRng, rngs::StdRng};

const SLOTS: u32 = 10;
const TOP: Priority = Priority {
    rank: 0,
    over_share: 0,
    root_hash: 0,
};

fn announcement(node: &str, data_centre: &str, state: ServerState) -> Announcement {
    Announcement {
        node: Arc::from(node),
        data_centre: Arc::from(data_centre),
        incarnation: 1,
        slots: SLOTS,
        state,
    }
}

fn table(now: Instant, local: usize, remote: usize) -> (Table, Vec<BackendKey>) {
    let mut table = Table::open(Arc::from("riga1"), Options::default());
    let keys = (0..local + remote)
        .map(|n| {
            let data_centre = if n < local { "riga1" } else { "riga2" };
            table.announce(
                now,
                announcement(&format!("n{n}"), data_centre, ServerState::Ready),
            )
        })
        .collect();
    (table, keys)
}

fn choose(
    table: &mut Table,
    now: Instant,
    tried: &[BackendKey],
    seed: u64,
) -> Result<BackendKey, Error> {
    let mut rng = StdRng::seed_from_u64(seed);
    table.choose(
        now,
        &Request {
            priority: TOP,
            tried,
        },
        &mut rng,
    )
}

/// Chooses a backend server for a request that ends at once.
fn choose_once(table: &mut Table, now: Instant, seed: u64) -> BackendKey {
    let chosen = choose(table, now, &[], seed).unwrap();
    table.finish(now, chosen, Outcome::Cancelled, None);
    chosen
}

fn fail(table: &mut Table, now: Instant, key: BackendKey, times: u32) {
    for _ in 0..times {
        table.finish(now, key, Outcome::Failed, None);
    }
}

#[test]
fn never_chooses_unavailable_server() {
    let now = Instant::now();
    for (name, state, is_unresponsive) in [
        ("leaving", ServerState::Leaving, false),
        ("starting", ServerState::Starting, false),
        ("unresponsive", ServerState::Ready, true),
    ] {
        let (mut table, keys) = table(now, 3, 0);
        table.announce(now, announcement("n0", "riga1", state));
        table.set_unresponsive(now, keys[0], is_unresponsive);
        for seed in 0..200 {
            assert_ne!(choose(&mut table, now, &[], seed), Ok(keys[0]), "{name}");
        }
    }
}

#[test]
fn reports_why_no_server_is_chosen() {
    let now = Instant::now();
    let (mut none, _) = table(now, 0, 0);
    assert!(matches!(
        choose(&mut none, now, &[], 1),
        Err(Error::NoneReady { known: 0, .. })
    ));
    let (mut two, keys) = table(now, 1, 1);
    assert_eq!(
        choose(&mut two, now, &keys[..1], 1),
        Ok(keys[1]),
        "the other one has not been tried"
    );
    assert!(matches!(
        choose(&mut two, now, &keys, 1),
        Err(Error::AllTried { tried: 2, .. })
    ));
}

#[test]
fn work_stays_local_until_spill_over() {
    let now = Instant::now();
    let (mut table, keys) = table(now, 2, 2);
    let chosen: Vec<_> = (0..40)
        .map(|seed| choose(&mut table, now, &[], seed).unwrap())
        .collect();
    let local = |key: &BackendKey| keys[..2].contains(key);
    assert!(
        chosen[..16].iter().all(local),
        "the first 16 fit into 90 % of 20 slots"
    );
    assert!(!chosen.iter().all(local), "40 do not");
    assert!(keys.iter().all(|key| table.outstanding(*key) <= SLOTS + 3));
}

#[test]
fn avoids_loaded_server_until_report_expires() {
    let now = Instant::now();
    let (mut table, keys) = table(now, 2, 0);
    let report = LoadReport {
        running: 9,
        waiting: 9,
        limit: SLOTS,
        shed_level: None,
    };
    table.finish(now, keys[0], Outcome::Answered, Some(report));
    assert_eq!(choose(&mut table, now, &[], 1), Ok(keys[1]));
    assert_eq!(choose(&mut table, now, &[], 2), Ok(keys[1]));
    let later = now + Options::default().report_lifetime;
    assert_eq!(
        choose(&mut table, later, &[], 3),
        Ok(keys[0]),
        "the report has expired"
    );
}

#[test]
fn avoids_refusing_and_shedding_servers() {
    let now = Instant::now();
    let level = Priority {
        rank: 0,
        over_share: 0,
        root_hash: 10,
    };
    let shedding = LoadReport {
        running: 0,
        waiting: 0,
        limit: SLOTS,
        shed_level: Some(level),
    };
    for (outcome, report) in [
        (Outcome::Refused, None),
        (Outcome::Answered, Some(shedding)),
    ] {
        let (mut table, keys) = table(now, 2, 0);
        table.finish(now, keys[0], outcome, report);
        let mut rng = StdRng::seed_from_u64(1);
        let low = Priority { rank: 1, ..TOP };
        let req = Request {
            priority: low,
            tried: &[],
        };
        for _ in 0..5 {
            assert_eq!(table.choose(now, &req, &mut rng), Ok(keys[1]));
        }
    }
}

// Guards against 503 in place of a retry: a node that gets little traffic had spent the retries that
// it may make before it had seen enough failures to eject the backend server that caused them.
#[test]
fn retries_suffice_until_failing_server_is_avoided() {
    const NODES: u32 = 4;
    const INTERVAL: Duration = Duration::from_millis(10);
    for seed in 0..50 {
        let start = Instant::now();
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut table, keys) = table(start, 3, 0);
        let mut ratios = RetryRatios::open(start, RatioOptions::default());
        ratios.set_nodes(NODES);
        for n in 0..100 {
            let now = start + INTERVAL * n;
            let req = Request {
                priority: TOP,
                tried: &[],
            };
            let chosen = table.choose(now, &req, &mut rng).unwrap();
            ratios.record_first_attempt(now, None);
            if chosen == keys[0] {
                table.finish(now, chosen, Outcome::Failed, None);
                assert!(ratios.try_acquire(now, None), "seed {seed}: request {n}");
            } else {
                table.finish(now, chosen, Outcome::Answered, None);
            }
        }
    }
}

#[test]
fn failing_server_is_tried_again_once_it_may_have_recovered() {
    let now = Instant::now();
    let (mut table, keys) = table(now, 3, 0);
    fail(&mut table, now, keys[0], 1);
    let later = now + Options::default().failure_penalty_time;
    let mut is_chosen = |at| (0..100).any(|seed| choose_once(&mut table, at, seed) == keys[0]);
    assert!(!is_chosen(now));
    assert!(is_chosen(later));
}

#[test]
fn ejection_times_double_and_end() {
    let mut now = Instant::now();
    let (mut table, keys) = table(now, 3, 0);
    let options = Options::default();
    for expected in [1, 2, 4] {
        fail(&mut table, now, keys[0], options.failures_to_eject);
        let time = options.base_ejection_time * expected;
        assert!(table.is_ejected(now + time.mul_f64(0.99), keys[0]));
        assert!(!table.is_ejected(now + time, keys[0]));
        now += time;
    }
}

#[test]
fn keeps_only_server_and_uses_ejected_as_last_resort() {
    let now = Instant::now();
    let (mut one, keys) = table(now, 1, 0);
    fail(&mut one, now, keys[0], 50);
    assert!(!one.is_ejected(now, keys[0]));
    let (mut two, keys) = table(now, 2, 0);
    fail(&mut two, now, keys[0], 50);
    assert!(two.is_ejected(now, keys[0]));
    assert_eq!(choose(&mut two, now, &keys[1..], 1), Ok(keys[0]));
    two.remove(now, keys[1]);
    assert!(!two.is_ejected(now, keys[0]), "it is the only one left");
}

#[test]
fn new_server_starts_slowly() {
    let now = Instant::now();
    let (mut table, _) = table(now, 1, 0);
    let new = table.announce(now, announcement("new", "riga1", ServerState::Starting));
    table.announce(now, announcement("new", "riga1", ServerState::Ready));
    for seed in 0..10 {
        choose(&mut table, now, &[], seed).unwrap();
    }
    assert!(
        table.outstanding(new) <= 1,
        "its limit starts at a tenth of its slots"
    );
}

#[test]
fn new_incarnation_gets_new_key() {
    let now = Instant::now();
    let (mut table, keys) = table(now, 2, 0);
    let next = Announcement {
        incarnation: 2,
        ..announcement("n0", "riga1", ServerState::Ready)
    };
    let new = table.announce(now, next);
    assert_ne!(new, keys[0]);
    fail(&mut table, now, keys[0], 50);
    assert!(!table.is_ejected(now, new));
    let old = announcement("n0", "riga1", ServerState::Leaving);
    assert_eq!(table.announce(now, old), new);
    assert_eq!(table.announcement(new).unwrap().state, ServerState::Ready);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn bounds_ejected_servers(steps in prop::collection::vec((0..20_usize, 0..5_u8, 0..2000_u64), 1..200)) {
        let mut now = Instant::now();
        let (mut table, keys) = table(now, 12, 8);
        for (n, kind, millis) in steps {
            now += Duration::from_millis(millis / 4);
            match kind {
                0 | 1 => fail(&mut table, now, keys[n], 5),
                2 => table.set_unresponsive(now, keys[n], millis % 2 == 0),
                3 => table.remove(now, keys[n]),
                _ => drop(choose(&mut table, now, &[], millis)),
            }
            prop_assert!(table.ejected(now) <= table.max_ejected());
            prop_assert!(table.available() == 0 || table.ejected(now) < table.available());
        }
    }
}

/// With so little load that nearly every request finds all backend servers idle, ties must not
/// always go to the same one.
#[test]
fn idle_servers_share_requests_evenly() {
    for count in 2..6 {
        let now = Instant::now();
        let mut rng = StdRng::seed_from_u64(count as u64);
        let (mut table, keys) = table(now, 0, count);
        let mut chosen = vec![0; count];
        for _ in 0..count * 100 {
            let req = Request {
                priority: TOP,
                tried: &[],
            };
            let key = table.choose(now, &req, &mut rng).expect("a choice");
            let index = keys.iter().position(|k| *k == key);
            chosen[index.expect("a known key")] += 1;
            table.finish(now, key, Outcome::Answered, None);
        }
        assert!(chosen.iter().all(|n| (60..=140).contains(n)), "{chosen:?}");
    }
}

/// A partitioned data centre makes two of the three backend servers of a service unreachable.
/// Outlier ejection is limited to one of three, but unreachable ones must get no requests beyond an
/// occasional attempt.
#[test]
fn rarely_tries_unreachable_servers() {
    let mut now = Instant::now();
    let mut rng = StdRng::seed_from_u64(5);
    let (mut table, keys) = table(now, 1, 2);
    let mut lost = 0;
    for _ in 0..1000 {
        now += Duration::from_millis(5);
        let mut tried = Vec::new();
        loop {
            let req = Request {
                priority: TOP,
                tried: &tried,
            };
            let key = table.choose(now, &req, &mut rng).expect("a choice");
            if key == keys[0] {
                table.finish(now, key, Outcome::Answered, None);
                break;
            }
            lost += 1;
            table.finish(now, key, Outcome::Unreachable, None);
            tried.push(key);
        }
    }
    assert!(
        lost <= 2 * 11,
        "{lost} attempts at unreachable nodes in 5 s"
    );
}

#[test]
fn tries_unreachable_server_as_last_resort() {
    let now = Instant::now();
    let (mut table, keys) = table(now, 0, 2);
    for key in &keys {
        choose(&mut table, now, &[], 1).expect("a choice");
        table.finish(now, *key, Outcome::Unreachable, None);
    }
    assert!(choose(&mut table, now, &[], 2).is_ok());
}
