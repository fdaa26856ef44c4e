//! The target's record of started attempts and its fence, fault by fault.

use std::time::{Duration, Instant};

use nutmegwheel_claims::{
    AttemptId,
    started::{Arrival, Fence, Options, Reason, Started},
};

fn attempt(incarnation: u64, number: u64) -> AttemptId {
    AttemptId {
        door: "d1".into(),
        incarnation,
        number,
    }
}

fn record(capacity: usize) -> Started {
    Started::open(Options {
        incarnation: 2,
        capacity,
        retention: Duration::from_mins(1),
    })
}

#[test]
fn an_attempt_runs_once_and_its_copy_is_refused() {
    let (mut started, now) = (record(9), Instant::now());
    assert_eq!(started.arrive(&attempt(1, 1), 2, now), Arrival::Run);
    assert_eq!(
        started.arrive(&attempt(1, 1), 2, now),
        Arrival::Refused(Reason::Doubled)
    );
    assert_eq!(started.fence(&attempt(1, 1), 2, now), Fence::Started);
}

#[test]
fn a_fenced_attempt_that_arrives_later_is_refused() {
    let (mut started, now) = (record(9), Instant::now());
    assert_eq!(started.fence(&attempt(1, 1), 2, now), Fence::NotRun);
    assert_eq!(started.fence(&attempt(1, 1), 2, now), Fence::NotRun);
    assert_eq!(
        started.arrive(&attempt(1, 1), 2, now),
        Arrival::Refused(Reason::Fenced)
    );
}

#[test]
fn a_restarted_target_refuses_earlier_addresses_and_knows_nothing_of_them() {
    let (mut started, now) = (record(9), Instant::now());
    for incarnation in [1, 3] {
        let refused = Arrival::Refused(Reason::OtherIncarnation);
        assert_eq!(started.arrive(&attempt(1, 1), incarnation, now), refused);
        assert_eq!(
            started.fence(&attempt(1, 1), incarnation, now),
            Fence::Unknown
        );
    }
    assert!(started.is_empty());
}

#[test]
fn a_full_record_starts_nothing_and_promises_nothing() {
    let (mut started, now) = (record(1), Instant::now());
    assert_eq!(started.arrive(&attempt(1, 1), 2, now), Arrival::Run);
    assert_eq!(
        started.arrive(&attempt(1, 2), 2, now),
        Arrival::Refused(Reason::Full)
    );
    assert_eq!(started.fence(&attempt(1, 3), 2, now), Fence::Unknown);
    assert_eq!(started.len(), 1);
}

#[test]
fn what_is_forgotten_stays_refused_and_unknown() {
    let (mut started, now) = (record(9), Instant::now());
    assert_eq!(started.fence(&attempt(1, 5), 2, now), Fence::NotRun);
    let later = now + Duration::from_mins(1);
    for number in [4, 5] {
        let refused = Arrival::Refused(Reason::TooOld);
        assert_eq!(started.arrive(&attempt(1, number), 2, later), refused);
        assert_eq!(started.fence(&attempt(1, number), 2, later), Fence::Unknown);
    }
    assert_eq!(started.arrive(&attempt(1, 6), 2, later), Arrival::Run);
    assert_eq!(started.arrive(&attempt(2, 1), 2, later), Arrival::Run);
}
