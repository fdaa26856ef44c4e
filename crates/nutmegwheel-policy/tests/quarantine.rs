//! Quarantine of requests that crash backend servers, and clearing of those that run at the same
//! time.

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
fn second_crash_quarantines_temporarily() {
    let now = Instant::now();
    let mut quarantine = open();
    quarantine.record_crash(now, &crash("a"), [POISON, POISON, BYSTANDER]);
    assert_eq!(
        quarantine.verdict(now, POISON),
        Verdict::Suspect,
        "one crash counts once per fingerprint"
    );
    quarantine.record_completion(now, BYSTANDER);
    quarantine.record_crash(now, &crash("b"), [POISON, BYSTANDER]);
    assert!(is_quarantined(&quarantine, now, POISON));
    assert_eq!(
        quarantine.verdict(now, BYSTANDER),
        Verdict::Suspect,
        "it was cleared of the first crash"
    );
    let later = now + Options::default().quarantine_time;
    assert_eq!(quarantine.verdict(later, POISON), Verdict::Suspect);
    let much_later = now + Options::default().suspicion_ttl;
    quarantine.expire(much_later);
    assert!(quarantine.is_empty());
}

#[test]
fn runs_one_suspect_at_a_time() {
    let now = Instant::now();
    let mut quarantine = open();
    quarantine.record_crash(now, &crash("a"), [POISON, BYSTANDER]);
    assert!(quarantine.try_begin_run(now, POISON));
    assert!(!quarantine.try_begin_run(now, BYSTANDER));
    assert!(
        !quarantine.try_begin_run(now, POISON),
        "a second run of the same suspect is refused as well"
    );
    assert!(
        quarantine.try_begin_run(now, 3),
        "a request without suspicion may run at the same time"
    );
    quarantine.end_run(POISON);
    assert!(quarantine.try_begin_run(now, BYSTANDER));
    quarantine.record_completion(now, BYSTANDER);
    assert_eq!(quarantine.verdict(now, BYSTANDER), Verdict::Clear);
}

#[test]
fn merges_updates_once_in_any_order() {
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
        "a repeated update is not new"
    );
    let mut c = open();
    let later = now + Duration::from_mins(1);
    for suspicion in b.export(later) {
        c.merge(later, &suspicion);
    }
    assert_eq!(
        c.verdict(later, POISON),
        b.verdict(later, POISON),
        "the age is part of the update"
    );
}

#[test]
fn eviction_keeps_quarantined_fingerprints() {
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
