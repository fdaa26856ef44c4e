//! The target's record of log attempts and its fence, fault by fault.

use std::time::{Duration, Instant};

use nutmegwheel_claims::{
    AttemptId,
    attempt_log::{AttemptLog, FenceOutcome, Options, StartOutcome, StartRefusal},
};

fn attempt(incarnation: u64, number: u64) -> AttemptId {
    AttemptId {
        ingress: "d1".into(),
        incarnation,
        number,
    }
}

fn record(capacity: usize) -> AttemptLog {
    AttemptLog::open(Options {
        incarnation: 2,
        capacity,
        retention: Duration::from_mins(1),
    })
}

#[test]
fn an_attempt_runs_once_and_its_copy_is_refused() {
    let (mut log, now) = (record(9), Instant::now());
    assert_eq!(log.try_start(&attempt(1, 1), 2, now), StartOutcome::Run);
    assert_eq!(
        log.try_start(&attempt(1, 1), 2, now),
        StartOutcome::Refused(StartRefusal::Duplicate)
    );
    assert_eq!(log.fence(&attempt(1, 1), 2, now), FenceOutcome::Started);
}

#[test]
fn a_fenced_attempt_that_arrives_later_is_refused() {
    let (mut log, now) = (record(9), Instant::now());
    assert_eq!(log.fence(&attempt(1, 1), 2, now), FenceOutcome::NotRun);
    assert_eq!(log.fence(&attempt(1, 1), 2, now), FenceOutcome::NotRun);
    assert_eq!(
        log.try_start(&attempt(1, 1), 2, now),
        StartOutcome::Refused(StartRefusal::Fenced)
    );
}

#[test]
fn a_restarted_target_refuses_earlier_addresses_and_knows_nothing_of_them() {
    let (mut log, now) = (record(9), Instant::now());
    for incarnation in [1, 3] {
        let refused = StartOutcome::Refused(StartRefusal::OtherIncarnation);
        assert_eq!(log.try_start(&attempt(1, 1), incarnation, now), refused);
        assert_eq!(
            log.fence(&attempt(1, 1), incarnation, now),
            FenceOutcome::Unknown
        );
    }
    assert!(log.is_empty());
}

#[test]
fn a_full_record_starts_nothing_and_promises_nothing() {
    let (mut log, now) = (record(1), Instant::now());
    assert_eq!(log.try_start(&attempt(1, 1), 2, now), StartOutcome::Run);
    assert_eq!(
        log.try_start(&attempt(1, 2), 2, now),
        StartOutcome::Refused(StartRefusal::Full)
    );
    assert_eq!(log.fence(&attempt(1, 3), 2, now), FenceOutcome::Unknown);
    assert_eq!(log.len(), 1);
}

#[test]
fn what_is_forgotten_stays_refused_and_unknown() {
    let (mut log, now) = (record(9), Instant::now());
    assert_eq!(log.fence(&attempt(1, 5), 2, now), FenceOutcome::NotRun);
    let later = now + Duration::from_mins(1);
    for number in [4, 5] {
        let refused = StartOutcome::Refused(StartRefusal::TooOld);
        assert_eq!(log.try_start(&attempt(1, number), 2, later), refused);
        assert_eq!(
            log.fence(&attempt(1, number), 2, later),
            FenceOutcome::Unknown
        );
    }
    assert_eq!(log.try_start(&attempt(1, 6), 2, later), StartOutcome::Run);
    assert_eq!(log.try_start(&attempt(2, 1), 2, later), StartOutcome::Run);
}
