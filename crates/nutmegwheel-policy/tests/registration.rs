//! Late heartbeats never revive what ended, and a backend server that comes back is taken.

use std::sync::Arc;

use nutmegwheel_policy::registration::{HeartbeatStatus, Instance, Registration};

fn instance(id: &str, started_at_ms: u64) -> Instance {
    Instance {
        id: Arc::from(id),
        started_at_ms,
    }
}

#[test]
fn only_newer_heartbeats_of_a_life_count() {
    let mut registration = Registration::default();
    assert_eq!(
        registration.heartbeat(&instance("a", 10), 1),
        HeartbeatStatus::NewInstance
    );
    assert_eq!(
        registration.heartbeat(&instance("a", 10), 3),
        HeartbeatStatus::Renewed
    );
    for late in [2, 3] {
        let status = registration.heartbeat(&instance("a", 10), late);
        assert_eq!(status, HeartbeatStatus::Stale, "{late}");
    }
}

#[test]
fn the_same_id_with_a_newer_birth_is_a_new_life_whose_count_starts_anew() {
    let mut registration = Registration::default();
    registration.heartbeat(&instance("a", 10), 500);
    assert_eq!(
        registration.heartbeat(&instance("a", 20), 1),
        HeartbeatStatus::NewInstance
    );
    assert_eq!(
        registration.heartbeat(&instance("a", 10), 501),
        HeartbeatStatus::Stale
    );
}

#[test]
fn a_late_heartbeat_does_not_revive_what_said_farewell() {
    let mut registration = Registration::default();
    registration.heartbeat(&instance("a", 10), 1);
    assert!(registration.deregister("a", Some(10)));
    assert_eq!(
        registration.heartbeat(&instance("a", 10), 9),
        HeartbeatStatus::Stale
    );
}

#[test]
fn a_farewell_of_an_earlier_life_ends_nothing() {
    let mut registration = Registration::default();
    registration.heartbeat(&instance("a", 10), 1);
    registration.heartbeat(&instance("b", 20), 1);
    assert!(!registration.deregister("a", Some(10)));
    assert!(!registration.deregister("b", Some(19)));
    assert_eq!(
        registration.heartbeat(&instance("b", 20), 2),
        HeartbeatStatus::Renewed
    );
    assert!(
        registration.deregister("b", None),
        "without a birth it is the current one"
    );
}

#[test]
fn after_silence_the_same_life_may_speak_again() {
    let mut registration = Registration::default();
    registration.heartbeat(&instance("a", 10), 1);
    registration.mark_down();
    assert_eq!(
        registration.heartbeat(&instance("a", 10), 2),
        HeartbeatStatus::Renewed
    );
}

#[test]
fn after_a_death_a_life_is_taken_although_the_wall_clock_was_set_back() {
    let mut registration = Registration::default();
    registration.heartbeat(&instance("a", 2000), 1);
    let earlier = instance("b", 1000);
    assert_eq!(registration.heartbeat(&earlier, 1), HeartbeatStatus::Stale);
    registration.mark_down();
    assert_eq!(
        registration.heartbeat(&earlier, 1),
        HeartbeatStatus::NewInstance
    );
}
