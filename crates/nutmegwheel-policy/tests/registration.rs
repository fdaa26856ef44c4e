//! Registration of backend server instances: delayed heartbeats never revive an ended instance, and
//! a returning backend server is accepted.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use nutmegwheel_policy::registration::{Beat, HeartbeatStatus, Instance, Registration};

const WALL_CLOCK_MS: u64 = 100_000;

fn instance(id: &str, started_at_ms: u64) -> Instance {
    Instance {
        id: Arc::from(id),
        started_at_ms,
    }
}

fn open() -> Registration {
    Registration::open(true)
}

/// Delivers a heartbeat that says that the instance accepts new requests.
fn ready(to: &mut Registration, instance: &Instance, sequence: u64) -> HeartbeatStatus {
    let beat = Beat {
        instance,
        sequence,
        is_ready: true,
    };
    to.heartbeat(Instant::now(), &beat)
}

fn deregister(at: &mut Registration, id: &str, started_at_ms: Option<u64>) -> bool {
    at.deregister(Instant::now(), WALL_CLOCK_MS, id, started_at_ms)
}

#[test]
fn ignores_older_heartbeats() {
    let mut registration = open();
    assert_eq!(
        ready(&mut registration, &instance("a", 10), 1),
        HeartbeatStatus::NewInstance
    );
    assert_eq!(
        ready(&mut registration, &instance("a", 10), 3),
        HeartbeatStatus::Renewed
    );
    for sequence in [2, 3] {
        let status = ready(&mut registration, &instance("a", 10), sequence);
        assert_eq!(status, HeartbeatStatus::Stale, "{sequence}");
    }
}

#[test]
fn later_start_makes_new_instance() {
    let mut registration = open();
    ready(&mut registration, &instance("a", 10), 500);
    assert_eq!(
        ready(&mut registration, &instance("a", 20), 1),
        HeartbeatStatus::NewInstance
    );
    assert_eq!(
        ready(&mut registration, &instance("a", 10), 501),
        HeartbeatStatus::Stale
    );
}

#[test]
fn ignores_heartbeat_of_deregistered_instance() {
    let mut registration = open();
    ready(&mut registration, &instance("a", 10), 1);
    assert!(deregister(&mut registration, "a", Some(10)));
    assert_eq!(
        ready(&mut registration, &instance("a", 10), 9),
        HeartbeatStatus::Stale
    );
}

#[test]
fn deregistering_earlier_instance_keeps_current() {
    let mut registration = open();
    ready(&mut registration, &instance("a", 10), 1);
    ready(&mut registration, &instance("b", 20), 1);
    assert!(!deregister(&mut registration, "a", Some(10)));
    assert!(!deregister(&mut registration, "b", Some(19)));
    assert_eq!(
        ready(&mut registration, &instance("b", 20), 2),
        HeartbeatStatus::Renewed
    );
    assert!(
        deregister(&mut registration, "b", None),
        "without a start time the current instance is meant"
    );
}

#[test]
fn accepts_instance_after_mark_down() {
    let mut registration = open();
    ready(&mut registration, &instance("a", 10), 1);
    registration.mark_down();
    assert_eq!(
        ready(&mut registration, &instance("a", 10), 2),
        HeartbeatStatus::Renewed
    );
}

#[test]
fn accepts_earlier_start_after_mark_down() {
    let mut registration = open();
    ready(&mut registration, &instance("a", 2000), 1);
    let earlier = instance("b", 1000);
    assert_eq!(
        ready(&mut registration, &earlier, 1),
        HeartbeatStatus::Stale
    );
    registration.mark_down();
    assert_eq!(
        ready(&mut registration, &earlier, 1),
        HeartbeatStatus::NewInstance
    );
}

// Guards against DRAIN: a heartbeat that was sent before the instance said that it leaves arrives
// after that and revives it.
#[test]
fn leaving_instance_stays_leaving_until_another_one_runs() {
    let mut registration = open();
    ready(&mut registration, &instance("a", 10), 1);
    assert!(
        !registration.record_leaving(Instant::now(), "b"),
        "an earlier instance"
    );
    assert!(!registration.is_leaving());
    assert!(registration.record_leaving(Instant::now(), "a"));
    assert!(
        !registration.record_leaving(Instant::now(), "a"),
        "it has said so before"
    );
    ready(&mut registration, &instance("a", 10), 2);
    assert!(registration.is_leaving());
    registration.mark_down();
    ready(&mut registration, &instance("a", 10), 3);
    assert!(registration.is_leaving());
    ready(&mut registration, &instance("a", 20), 1);
    assert!(!registration.is_leaving(), "it started again under its id");
}

// Guards against a backend server that is not followed any more because another writer once named a
// number beyond those that it reaches.
#[test]
fn instance_is_followed_again_after_absurd_number() {
    let mut registration = open();
    let now = Instant::now();
    let a = instance("a", 10);
    let mut beat = |sequence, after_ms| {
        let beat = Beat {
            instance: &a,
            sequence,
            is_ready: true,
        };
        let at = now + Duration::from_millis(after_ms);
        if after_ms == 5000 {
            registration.mark_down();
        }
        registration.heartbeat(at, &beat)
    };
    beat(1, 0);
    assert_eq!(beat(1 << 50, 100), HeartbeatStatus::Renewed);
    assert_eq!(beat(2, 1500), HeartbeatStatus::Stale);
    assert_eq!(
        beat(3, 5000),
        HeartbeatStatus::Unconfirmed,
        "it was marked down"
    );
    assert_eq!(beat(4, 6500), HeartbeatStatus::Renewed);
    assert_eq!(beat(5, 8000), HeartbeatStatus::Renewed);
}

#[test]
fn late_heartbeats_of_crashed_instance_do_not_count() {
    let mut registration = open();
    let a = instance("a", 10);
    ready(&mut registration, &a, 5);
    registration.mark_down();
    assert_eq!(
        ready(&mut registration, &a, 3),
        HeartbeatStatus::Unconfirmed
    );
    assert_eq!(
        ready(&mut registration, &a, 4),
        HeartbeatStatus::Unconfirmed
    );
}

// The same for an entry of another writer that looked like a new instance at the address.
#[test]
fn replaced_instance_that_runs_on_is_followed_again() {
    let mut registration = open();
    let now = Instant::now();
    let (a, other) = (instance("a", 10), instance("other", 1 << 50));
    let beat = |registration: &mut Registration, instance, sequence, after_ms| {
        let beat = Beat {
            instance,
            sequence,
            is_ready: true,
        };
        registration.heartbeat(now + Duration::from_millis(after_ms), &beat)
    };
    beat(&mut registration, &a, 1, 0);
    let status = beat(&mut registration, &other, 1, 100);
    assert_eq!(status, HeartbeatStatus::NewInstance);
    let status = beat(&mut registration, &a, 2, 1500);
    assert_eq!(status, HeartbeatStatus::Stale, "the other one is newer");
    registration.mark_down();
    let status = beat(&mut registration, &a, 3, 6000);
    assert_eq!(status, HeartbeatStatus::Unconfirmed);
    let status = beat(&mut registration, &a, 4, 7500);
    assert_eq!(status, HeartbeatStatus::NewInstance);
    assert_eq!(
        beat(&mut registration, &other, 2, 7600),
        HeartbeatStatus::Unconfirmed,
        "a late one of the other instance"
    );
    assert_eq!(
        beat(&mut registration, &a, 5, 9000),
        HeartbeatStatus::Renewed
    );
}
