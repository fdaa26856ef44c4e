//! The token server lease under late and duplicate replies, split votes and restarts.

mod support;

use std::time::{Duration, Instant};

use nutmegwheel_limits::{
    lease::{Holder, HolderOptions, LEASE_TERM, LeaseReply, RoundOutcome, Vote},
    shorten_for_drift,
};
use support::{candidate, ms, voter};

fn holder(name: &str, now: Instant) -> Holder {
    Holder::open(HolderOptions {
        candidate: candidate(name, 1),
        seeds: 3,
        now,
    })
}

#[test]
fn lease_expires_before_grants() {
    let now = Instant::now();
    let mut holder = holder("a", now);
    let req = holder.begin_round(1, now);
    let granted = LeaseReply {
        round: req.round,
        vote: Vote::Granted,
    };
    let later = now + ms(100);
    assert_eq!(
        holder.on_reply(&"s1".into(), &granted, later),
        RoundOutcome::Pending
    );
    assert_eq!(
        holder.on_reply(&"s1".into(), &granted, later),
        RoundOutcome::Pending,
        "a duplicate reply"
    );
    assert_eq!(
        holder.on_reply(&"s2".into(), &granted, later),
        RoundOutcome::Acquired
    );
    let end = now + shorten_for_drift(LEASE_TERM);
    assert!(holder.is_valid(end.checked_sub(ms(1)).unwrap()) && !holder.is_valid(end));
    let req = holder.begin_round(1, later);
    let granted = LeaseReply {
        round: req.round,
        vote: Vote::Granted,
    };
    holder.on_reply(&"s1".into(), &granted, later);
    assert_eq!(
        holder.on_reply(&"s3".into(), &granted, later),
        RoundOutcome::Renewed
    );
    let late = LeaseReply {
        round: req.round - 1,
        vote: Vote::Granted,
    };
    holder.release();
    assert_eq!(
        holder.on_reply(&"s2".into(), &late, later),
        RoundOutcome::Pending
    );
    assert!(!holder.is_valid(later));
}

#[test]
fn ignores_majority_after_term() {
    let now = Instant::now();
    let mut holder = holder("a", now);
    let round = holder.begin_round(1, now).round;
    let granted = LeaseReply {
        round,
        vote: Vote::Granted,
    };
    for voter in ["s1", "s2", "s3"] {
        let outcome = holder.on_reply(&voter.into(), &granted, now + LEASE_TERM);
        assert_eq!(outcome, RoundOutcome::Pending);
    }
}

#[test]
fn seed_grants_to_one_candidate() {
    let start = Instant::now();
    let mut voter = voter(start);
    voter.record_control_shares(1);
    let now = start + LEASE_TERM;
    let (mut a, mut b) = (holder("a", now), holder("b", now));
    let first = a.begin_round(1, now);
    assert_eq!(voter.on_request(&first, now).vote, Vote::Granted);
    let other = b.begin_round(1, now);
    assert_eq!(
        voter.on_request(&other, now + ms(1)).vote,
        Vote::Held(LEASE_TERM.saturating_sub(ms(1)))
    );
    let renewal = a.begin_round(1, now);
    assert_eq!(voter.on_request(&renewal, now + ms(2)).vote, Vote::Granted);
    assert_eq!(
        voter.on_request(&first, now + ms(3)).vote,
        Vote::Held(Duration::ZERO),
        "an earlier round"
    );
    assert_eq!(
        voter.on_request(&other, now + ms(2) + LEASE_TERM).vote,
        Vote::Granted
    );
}

#[test]
fn release_keeps_grant_of_later_round() {
    let start = Instant::now();
    let mut voter = voter(start);
    voter.record_control_shares(1);
    let now = start + LEASE_TERM;
    let mut a = holder("a", now);
    voter.on_request(&a.begin_round(1, now), now);
    let release = a.release();
    voter.on_request(&a.begin_round(1, now), now);
    voter.release(&release);
    assert!(voter.holder(now).is_some(), "a late release");
    voter.release(&a.release());
    assert_eq!(voter.holder(now), None);
}

#[test]
fn restarted_seed_waits_for_term_and_shares() {
    let start = Instant::now();
    let mut voter = voter(start);
    let mut a = holder("a", start);
    let mut request = |voter: &mut nutmegwheel_limits::lease::Voter, shares, at| {
        voter.on_request(&a.begin_round(shares, at), at).vote
    };
    assert_eq!(request(&mut voter, 9, start), Vote::Recovering(LEASE_TERM));
    voter.record_peer_shares(&"s2".into(), 4);
    voter.record_peer_shares(&"s2".into(), 4);
    assert_eq!(
        request(&mut voter, 9, start + LEASE_TERM),
        Vote::Recovering(Duration::ZERO)
    );
    assert_eq!(voter.known_shares(), None);
    voter.record_peer_shares(&"s3".into(), 7);
    assert_eq!(
        request(&mut voter, 6, start + LEASE_TERM),
        Vote::StaleShares(7)
    );
    assert_eq!(request(&mut voter, 7, start + LEASE_TERM), Vote::Granted);
    voter.record_control_shares(99);
    assert_eq!(voter.known_shares(), Some(7));
}
