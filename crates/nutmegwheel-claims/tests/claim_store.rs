//! Tests of a seed's claim store together with the ingress node's state machine of a claim.

use std::time::{Duration, Instant};

use bytes::Bytes;
use nutmegwheel_claims::{
    AttemptId, MAX_STORED_ANSWER_BYTES, Phase, Target,
    claim::{CLAIM_TIMEOUT, Claim, ClaimRefusal, Options, State},
    home,
    messages::{ClaimRequest, Update},
    store::{self, Bounds, ClaimStore, MAX_ATTEMPTS, RETENTION},
};

fn attempt(number: u64) -> AttemptId {
    AttemptId {
        ingress: "d1".into(),
        incarnation: 1,
        number,
    }
}

fn target() -> Target {
    Target {
        node: "x".into(),
        incarnation: 1,
    }
}

fn bounds(max_requests: usize, max_answer_bytes: usize) -> Bounds {
    Bounds {
        max_requests,
        max_answer_bytes,
        retention: RETENTION,
    }
}

fn restarted(name: &str, incarnation: u64, bounds: Bounds, now: Instant) -> ClaimStore {
    let seeds = ["s1", "s2", "s3"].map(Into::into).to_vec();
    let name = name.into();
    ClaimStore::open(store::Options {
        name,
        incarnation,
        seeds,
        generation: 1,
        bounds,
        now,
    })
}

fn fresh(name: &str, bounds: Bounds, now: Instant) -> ClaimStore {
    let mut seed = restarted(name, 1, bounds, now);
    seed.skip_recovery();
    seed
}

fn open(id: u8, number: u64, now: Instant) -> (Claim, ClaimRequest) {
    Claim::open(Options {
        id: [id; 32],
        attempt: attempt(number),
        target: target(),
        replaces: None,
        seeds: ["s1", "s2", "s3"].map(Into::into).into(),
        generation: 1,
        now,
    })
}

/// Makes a claim at the given seeds, and returns it with its state after the timeout.
fn claim(seeds: &mut [(&str, ClaimStore)], id: u8, number: u64, now: Instant) -> (Claim, State) {
    let (mut claim, req) = open(id, number, now);
    for (name, seed) in seeds {
        claim.handle_reply(&(*name).into(), seed.claim(&req, now), now);
    }
    let state = claim.tick(now + CLAIM_TIMEOUT).clone();
    (claim, state)
}

fn update_all(seeds: &mut [(&str, ClaimStore)], update: &Update, now: Instant) {
    for (_, seed) in seeds {
        seed.update(update.clone(), now);
    }
}

fn fresh_seeds(bounds: Bounds, now: Instant) -> Vec<(&'static str, ClaimStore)> {
    ["s1", "s2", "s3"]
        .map(|name| (name, fresh(name, bounds, now)))
        .into()
}

#[test]
fn resend_outcome_follows_phase_of_first_attempt() {
    let now = Instant::now();
    let answer = Bytes::from_static(b"crew 7");
    let busy = State::Refused(ClaimRefusal::InProgress(attempt(1), target()));
    let cases = [
        (Phase::Running(target()), busy),
        (
            Phase::Done(Some(answer.clone())),
            State::Refused(ClaimRefusal::Replay(answer)),
        ),
        (Phase::Done(None), State::Refused(ClaimRefusal::AlreadyRun)),
        (Phase::Released, State::Held),
    ];
    for (phase, expected) in cases {
        let mut seeds = fresh_seeds(Bounds::default(), now);
        let (_, first) = claim(&mut seeds, 1, 1, now);
        assert_eq!(first, State::Held);
        let update = Update {
            id: [1; 32],
            attempt: attempt(1),
            phase,
        };
        update_all(&mut seeds, &update, now);
        assert_eq!(claim(&mut seeds, 1, 2, now).1, expected, "{update:?}");
    }
}

#[test]
fn refuses_claim_without_majority() {
    let now = Instant::now();
    let mut seeds = fresh_seeds(Bounds::default(), now);
    assert_eq!(
        claim(&mut seeds[..1], 1, 1, now).1,
        State::Refused(ClaimRefusal::Unavailable)
    );
    let mut recovering = vec![
        ("s1", restarted("s1", 2, Bounds::default(), now)),
        seeds.remove(1),
    ];
    assert_eq!(
        claim(&mut recovering, 2, 2, now).1,
        State::Refused(ClaimRefusal::Unavailable)
    );
}

#[test]
fn refusal_is_final_despite_late_majority() {
    let now = Instant::now();
    let mut seeds = fresh_seeds(Bounds::default(), now);
    let (mut claim, req) = open(1, 1, now);
    claim.tick(now + CLAIM_TIMEOUT);
    for (name, seed) in &mut seeds {
        claim.handle_reply(&(*name).into(), seed.claim(&req, now), now);
    }
    assert_eq!(*claim.state(), State::Refused(ClaimRefusal::Unavailable));
}

#[test]
fn full_store_refuses_new_claims_and_keeps_existing_ones() {
    let now = Instant::now();
    let mut seeds = fresh_seeds(bounds(1, 0), now);
    assert_eq!(claim(&mut seeds, 1, 1, now).1, State::Held);
    assert_eq!(
        claim(&mut seeds, 2, 2, now).1,
        State::Refused(ClaimRefusal::Full)
    );
    let busy = State::Refused(ClaimRefusal::InProgress(attempt(1), target()));
    assert_eq!(claim(&mut seeds, 1, 3, now).1, busy);
    let later = now + RETENTION;
    assert_eq!(claim(&mut seeds, 2, 4, later).1, State::Held);
}

#[test]
fn stores_answers_within_bounds() {
    let now = Instant::now();
    let mut seeds = fresh_seeds(bounds(9, 100), now);
    for (id, len, expected) in [(1, 60, 60), (2, 60, 60), (3, 40, 100)] {
        let (claim, _) = claim(&mut seeds, id, u64::from(id), now);
        update_all(
            &mut seeds,
            &claim.done_update(Some(vec![0; len].into())),
            now,
        );
        assert_eq!(seeds[0].1.answer_bytes(), expected);
    }
    let (claim, _) = open(4, 4, now);
    let large = Some(vec![0; MAX_STORED_ANSWER_BYTES + 1].into());
    assert_eq!(claim.done_update(large).phase, Phase::Done(None));
    seeds[0].1.tick(now + RETENTION);
    assert_eq!(
        (seeds[0].1.request_count(), seeds[0].1.answer_bytes()),
        (0, 0)
    );
}

#[test]
fn limits_attempts_of_resent_request() {
    let now = Instant::now();
    let mut seeds = fresh_seeds(Bounds::default(), now);
    assert_eq!(claim(&mut seeds, 1, 1, now).1, State::Held);
    for number in 2..50 {
        let (claim, _) = claim(&mut seeds, 1, number, now);
        update_all(&mut seeds, &claim.released_update(), now);
    }
    let mut other = restarted("s3", 2, Bounds::default(), now);
    let requests = other.recover_requests();
    let reply = seeds[0].1.serve_recovery(&requests[0].1, now).unwrap();
    assert!(reply.claims[0].attempts.len() <= MAX_ATTEMPTS);
    assert!(reply.claims[0].attempts.contains_key(&attempt(1)));
    other.handle_recovery_page(&"s1".into(), reply, now);
    assert!(other.is_recovering(), "pages of one seed are no majority");
}

#[test]
fn restarted_seed_recovers_by_pages_or_after_retention() {
    let now = Instant::now();
    let mut seeds = fresh_seeds(Bounds::default(), now);
    for id in 0..=255 {
        for (high, number) in (0..3).zip(1..) {
            let mut req = open(id, number, now).1;
            req.id[0] = high;
            for (_, seed) in &mut seeds {
                assert_eq!(seed.claim(&req, now).incarnation, 1);
            }
        }
    }
    let mut restarted_seed = restarted("s1", 2, Bounds::default(), now);
    let mut rounds = 0;
    while restarted_seed.is_recovering() {
        rounds += 1;
        for (name, req) in restarted_seed.recover_requests() {
            let other = seeds.iter_mut().find(|(n, _)| *n == &*name).unwrap();
            let reply = other.1.serve_recovery(&req, now).unwrap();
            restarted_seed.handle_recovery_page(&name, reply.clone(), now);
            restarted_seed.handle_recovery_page(&name, reply, now);
        }
    }
    assert_eq!(
        (rounds, restarted_seed.request_count()),
        (2, seeds[1].1.request_count())
    );

    let mut isolated = restarted("s1", 3, Bounds::default(), now);
    isolated.tick(now + RETENTION);
    assert!(
        isolated.is_recovering(),
        "the clock drift margin has not passed"
    );
    isolated.tick(now + RETENTION + RETENTION / 20);
    assert!(!isolated.is_recovering());
}

#[test]
fn different_generations_refuse_claims_and_recovery() {
    let now = Instant::now();
    let mut seeds = fresh_seeds(Bounds::default(), now);
    for (_, seed) in &mut seeds {
        seed.set_generation(2);
    }
    assert_eq!(
        claim(&mut seeds, 1, 1, now).1,
        State::Refused(ClaimRefusal::Unavailable)
    );
    let restarted_seed = restarted("s1", 2, Bounds::default(), now);
    assert_eq!(
        seeds[1]
            .1
            .serve_recovery(&restarted_seed.recover_requests()[0].1, now),
        None
    );
}

#[test]
fn home_is_named_data_centre_or_chosen_by_hash() {
    let data_centres = ["riga1", "riga2", "riga3"].map(Into::into).into();
    let home = |id: u8, key| {
        home::choose(&home::Options {
            id: &[id; 32],
            key,
            data_centres: &data_centres,
        })
        .unwrap()
    };
    assert_eq!(&*home(1, "riga2/order-7"), "riga2");
    assert_eq!(home(1, "nowhere/order-7"), home(1, "order-7"));
    let homes: std::collections::BTreeSet<_> = (0..50).map(|id| home(id, "order")).collect();
    assert_eq!(homes.len(), 3);
    let none = [].into();
    let options = home::Options {
        id: &[1; 32],
        key: "riga2/x",
        data_centres: &none,
    };
    assert_eq!(home::choose(&options), None);
    assert!(CLAIM_TIMEOUT < Duration::from_secs(1));
}
