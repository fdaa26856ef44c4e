//! Late heartbeats never revive what ended, and a backend server that comes back is taken.

use std::sync::Arc;

use nutmegwheel_policy::registration::{Life, Registration, Verdict};

fn life(id: &str, born: u64) -> Life {
    Life {
        id: Arc::from(id),
        born,
    }
}

#[test]
fn only_newer_heartbeats_of_a_life_count() {
    let mut registration = Registration::default();
    assert_eq!(registration.heartbeat(&life("a", 10), 1), Verdict::NewLife);
    assert_eq!(registration.heartbeat(&life("a", 10), 3), Verdict::Renewed);
    for late in [2, 3] {
        let verdict = registration.heartbeat(&life("a", 10), late);
        assert_eq!(verdict, Verdict::Outdated, "{late}");
    }
}

#[test]
fn the_same_id_with_a_newer_birth_is_a_new_life_whose_count_starts_anew() {
    let mut registration = Registration::default();
    registration.heartbeat(&life("a", 10), 500);
    assert_eq!(registration.heartbeat(&life("a", 20), 1), Verdict::NewLife);
    assert_eq!(
        registration.heartbeat(&life("a", 10), 501),
        Verdict::Outdated
    );
}

#[test]
fn a_late_heartbeat_does_not_revive_what_said_farewell() {
    let mut registration = Registration::default();
    registration.heartbeat(&life("a", 10), 1);
    assert!(registration.gone("a", Some(10)));
    assert_eq!(registration.heartbeat(&life("a", 10), 9), Verdict::Outdated);
}

#[test]
fn a_farewell_of_an_earlier_life_ends_nothing() {
    let mut registration = Registration::default();
    registration.heartbeat(&life("a", 10), 1);
    registration.heartbeat(&life("b", 20), 1);
    assert!(!registration.gone("a", Some(10)));
    assert!(!registration.gone("b", Some(19)));
    assert_eq!(registration.heartbeat(&life("b", 20), 2), Verdict::Renewed);
    assert!(
        registration.gone("b", None),
        "without a birth it is the current one"
    );
}

#[test]
fn after_silence_the_same_life_may_speak_again() {
    let mut registration = Registration::default();
    registration.heartbeat(&life("a", 10), 1);
    registration.lapse();
    assert_eq!(registration.heartbeat(&life("a", 10), 2), Verdict::Renewed);
}

#[test]
fn after_a_death_a_life_is_taken_although_the_wall_clock_was_set_back() {
    let mut registration = Registration::default();
    registration.heartbeat(&life("a", 2000), 1);
    let earlier = life("b", 1000);
    assert_eq!(registration.heartbeat(&earlier, 1), Verdict::Outdated);
    registration.lapse();
    assert_eq!(registration.heartbeat(&earlier, 1), Verdict::NewLife);
}
