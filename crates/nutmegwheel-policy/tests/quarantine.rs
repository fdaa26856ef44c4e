//! Requests that crash backend servers, and innocents beside them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use nutmegwheel_policy::quarantine::{Death, Options, Quarantine, Suspicion, Verdict};

const GUILTY: u128 = 1;
const INNOCENT: u128 = 2;

fn death(node: &str) -> Death {
    Death {
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
    quarantine.record_death(now, &death("a"), [GUILTY, GUILTY, INNOCENT]);
    assert_eq!(
        quarantine.verdict(now, GUILTY),
        Verdict::Suspect,
        "one death counts once"
    );
    quarantine.record_completion(now, INNOCENT);
    quarantine.record_death(now, &death("b"), [GUILTY, INNOCENT]);
    assert!(is_quarantined(&quarantine, now, GUILTY));
    assert_eq!(
        quarantine.verdict(now, INNOCENT),
        Verdict::Suspect,
        "cleared of the first"
    );
    let later = now + Options::default().quarantine;
    assert_eq!(quarantine.verdict(later, GUILTY), Verdict::Suspect);
    let much_later = now + Options::default().suspicion;
    quarantine.expire(much_later);
    assert!(quarantine.is_empty());
}

#[test]
fn suspects_run_one_at_a_time() {
    let now = Instant::now();
    let mut quarantine = open();
    quarantine.record_death(now, &death("a"), [GUILTY, INNOCENT]);
    assert!(quarantine.begin_run(now, GUILTY));
    assert!(!quarantine.begin_run(now, INNOCENT));
    assert!(
        !quarantine.begin_run(now, GUILTY),
        "two of the same are not alone either"
    );
    assert!(
        quarantine.begin_run(now, 3),
        "one without suspicion runs beside it"
    );
    quarantine.end_run(GUILTY);
    assert!(quarantine.begin_run(now, INNOCENT));
    quarantine.record_completion(now, INNOCENT);
    assert_eq!(quarantine.verdict(now, INNOCENT), Verdict::Clear);
}

#[test]
fn reports_merge_in_any_order_and_count_once() {
    let now = Instant::now();
    let (mut a, mut b) = (open(), open());
    let mut news: Vec<Suspicion> = a.record_death(now, &death("a"), [GUILTY, INNOCENT]);
    news.extend(a.record_death(now, &death("b"), [GUILTY]));
    news.extend(a.record_completion(now, INNOCENT));
    for suspicion in news.iter().rev().chain(&news) {
        b.merge(now, suspicion);
    }
    assert!(is_quarantined(&b, now, GUILTY));
    assert_eq!(b.verdict(now, INNOCENT), Verdict::Clear);
    assert!(
        news.iter().all(|suspicion| !b.merge(now, suspicion)),
        "nothing is news twice"
    );
    let mut c = open();
    let later = now + Duration::from_mins(1);
    for suspicion in b.export(later) {
        c.merge(later, &suspicion);
    }
    assert_eq!(
        c.verdict(later, GUILTY),
        b.verdict(later, GUILTY),
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
    quarantine.record_death(now, &death("a"), [GUILTY]);
    quarantine.record_death(now, &death("b"), [GUILTY]);
    quarantine.record_death(now + Duration::from_secs(1), &death("c"), 10..1000);
    assert_eq!(quarantine.len(), 100);
    assert!(is_quarantined(
        &quarantine,
        now + Duration::from_secs(1),
        GUILTY
    ));
}
