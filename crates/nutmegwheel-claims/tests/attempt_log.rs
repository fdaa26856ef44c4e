//! Tests of the target's attempt log: duplicates, late arrivals, restarts, capacity and expiry.

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

fn attempt_log(capacity: usize) -> AttemptLog {
    AttemptLog::open(Options {
        incarnation: 2,
        capacity,
        retention: Duration::from_mins(1),
    })
}

#[test]
fn refuses_duplicate_of_started_attempt() {
    let (mut log, now) = (attempt_log(9), Instant::now());
    assert_eq!(log.try_start(&attempt(1, 1), 2, now), StartOutcome::Run);
    assert_eq!(
        log.try_start(&attempt(1, 1), 2, now),
        StartOutcome::Refused(StartRefusal::Duplicate)
    );
    assert_eq!(log.fence(&attempt(1, 1), 2, now), FenceOutcome::Started);
}

#[test]
fn refuses_fenced_attempt_that_arrives_later() {
    let (mut log, now) = (attempt_log(9), Instant::now());
    assert_eq!(log.fence(&attempt(1, 1), 2, now), FenceOutcome::NotRun);
    assert_eq!(log.fence(&attempt(1, 1), 2, now), FenceOutcome::NotRun);
    assert_eq!(
        log.try_start(&attempt(1, 1), 2, now),
        StartOutcome::Refused(StartRefusal::Fenced)
    );
}

#[test]
fn refuses_attempt_for_other_incarnation() {
    let (mut log, now) = (attempt_log(9), Instant::now());
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
fn full_log_refuses_attempts_and_fences_none() {
    let (mut log, now) = (attempt_log(1), Instant::now());
    assert_eq!(log.try_start(&attempt(1, 1), 2, now), StartOutcome::Run);
    assert_eq!(
        log.try_start(&attempt(1, 2), 2, now),
        StartOutcome::Refused(StartRefusal::Full)
    );
    assert_eq!(log.fence(&attempt(1, 3), 2, now), FenceOutcome::Unknown);
    assert_eq!(log.len(), 1);
}

#[test]
fn evicted_attempts_stay_refused_and_unknown() {
    let (mut log, now) = (attempt_log(9), Instant::now());
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
