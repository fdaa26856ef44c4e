//! Requests that crash backend servers, and innocents beside them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use nutmegwheel_policy::quarantine::{Crash, Options, Quarantine, Suspicion, Verdict};

const POISON: u128 = 1;
const BYSTANDER: u128 = 2;

fn crash(node: &str) -> Crash {
    Crash {
        node: Arc::from(node),
        incarnation: 1,
    }
}

fn open() -> Quarantine {
    Quarantine::open(Options::default())
}

fn is_quarantined(quarantine: &Quarantine, now: Instant, fingerprint: u128) -> bool {
    matches!(
        quarantine.verdict(now, fingerprint),
        Verdict::Quarantined { .. }
    )
}

#[test]
fn the_second_death_quarantines_for_a_time() {
    let now = Instant::now();
    let mut quarantine = open();
    quarantine.record_crash(now, &crash("a"), [POISON, POISON, BYSTANDER]);
    assert_eq!(
        quarantine.verdict(now, POISON),
        Verdict::Suspect,
        "one death counts once"
    );
    quarantine.record_completion(now, BYSTANDER);
    quarantine.record_crash(now, &crash("b"), [POISON, BYSTANDER]);
    assert!(is_quarantined(&quarantine, now, POISON));
    assert_eq!(
        quarantine.verdict(now, BYSTANDER),
        Verdict::Suspect,
        "cleared of the first"
    );
    let later = now + Options::default().quarantine_time;
    assert_eq!(quarantine.verdict(later, POISON), Verdict::Suspect);
    let much_later = now + Options::default().suspicion_ttl;
    quarantine.expire(much_later);
    assert!(quarantine.is_empty());
}

#[test]
fn suspects_run_one_at_a_time() {
    let now = Instant::now();
    let mut quarantine = open();
    quarantine.record_crash(now, &crash("a"), [POISON, BYSTANDER]);
    assert!(quarantine.try_begin_run(now, POISON));
    assert!(!quarantine.try_begin_run(now, BYSTANDER));
    assert!(
        !quarantine.try_begin_run(now, POISON),
        "two of the same are not alone either"
    );
    assert!(
        quarantine.try_begin_run(now, 3),
        "one without suspicion runs beside it"
    );
    quarantine.end_run(POISON);
    assert!(quarantine.try_begin_run(now, BYSTANDER));
    quarantine.record_completion(now, BYSTANDER);
    assert_eq!(quarantine.verdict(now, BYSTANDER), Verdict::Clear);
}

#[test]
fn reports_merge_in_any_order_and_count_once() {
    let now = Instant::now();
    let (mut a, mut b) = (open(), open());
    let mut updates: Vec<Suspicion> = a.record_crash(now, &crash("a"), [POISON, BYSTANDER]);
    updates.extend(a.record_crash(now, &crash("b"), [POISON]));
    updates.extend(a.record_completion(now, BYSTANDER));
    for suspicion in updates.iter().rev().chain(&updates) {
        b.merge(now, suspicion);
    }
    assert!(is_quarantined(&b, now, POISON));
    assert_eq!(b.verdict(now, BYSTANDER), Verdict::Clear);
    assert!(
        updates.iter().all(|suspicion| !b.merge(now, suspicion)),
        "nothing is news twice"
    );
    let mut c = open();
    let later = now + Duration::from_mins(1);
    for suspicion in b.export(later) {
        c.merge(later, &suspicion);
    }
    assert_eq!(
        c.verdict(later, POISON),
        b.verdict(later, POISON),
        "ages travel"
    );
}

#[test]
fn memory_is_bounded_and_keeps_the_quarantined() {
    let now = Instant::now();
    let mut quarantine = Quarantine::open(Options {
        max_fingerprints: 100,
        ..Options::default()
    });
    quarantine.record_crash(now, &crash("a"), [POISON]);
    quarantine.record_crash(now, &crash("b"), [POISON]);
    quarantine.record_crash(now + Duration::from_secs(1), &crash("c"), 10..1000);
    assert_eq!(quarantine.len(), 100);
    assert!(is_quarantined(
        &quarantine,
        now + Duration::from_secs(1),
        POISON
    ));
}
