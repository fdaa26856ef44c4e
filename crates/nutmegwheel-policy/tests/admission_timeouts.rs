//! Admission after time-outs and in the order of priority.
//!
//! A slow period of a downstream service makes requests time out. The service times measured with
//! these requests must not keep slots idle after the period has ended.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use nutmegwheel_policy::{
    admission::{Completion, Offer, Options, Queue, Request},
    concurrency::Fixed,
};
use nutmegwheel_types::Priority;
use rand::{SeedableRng as _, rngs::StdRng};

/// The deadline of the callers.
const TIMEOUT: Duration = Duration::from_millis(800);
const SLOTS: u32 = 64;

fn request(now: Instant, rank: u8, root_hash: u16, is_nested: bool) -> Request {
    Request {
        priority: Priority {
            rank,
            over_share: 0,
            root_hash,
        },
        is_nested,
        endpoint: Arc::from("tally"),
        deadline: now + TIMEOUT,
    }
}

#[test]
fn uses_free_slots_after_time_outs() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut now = Instant::now();
    let mut queue = Queue::open(now, Box::new(Fixed::open(SLOTS)), Options::default());
    for _ in 0..40 {
        let offer = queue.offer(now, request(now, 0, 0, false), &mut rng);
        now += TIMEOUT;
        if let Offer::Started(ticket) = offer {
            queue.finish(now, ticket, Completion::TimedOut);
        }
    }
    let started = (0..SLOTS)
        .filter(|_| {
            let offer = queue.offer(now, request(now, 0, 0, false), &mut rng);
            matches!(offer, Offer::Started(_))
        })
        .count();
    assert_eq!(started, SLOTS as usize);
}

#[test]
fn refuses_request_below_min_service_time() {
    let mut rng = StdRng::seed_from_u64(2);
    let mut now = Instant::now();
    let mut queue = Queue::open(now, Box::new(Fixed::open(SLOTS)), Options::default());
    for _ in 0..40 {
        let offer = queue.offer(now, request(now, 0, 0, false), &mut rng);
        now += Duration::from_millis(200);
        if let Offer::Started(ticket) = offer {
            queue.finish(now, ticket, Completion::Answered);
        }
    }
    queue.offer(now, request(now, 0, 0, false), &mut rng);
    let mut late = request(now, 0, 0, false);
    late.deadline = now + Duration::from_millis(20);
    let offer = queue.offer(now, late, &mut rng);
    assert!(matches!(offer, Offer::Refused(_)), "{offer:?}");
}

/// A downstream service gets calls of a single class, 20 % more than its capacity. Its shed level
/// must lie within that class, or else ingress nodes refuse the whole class.
#[test]
fn shed_level_splits_class_of_nested_calls() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut now = Instant::now();
    let mut queue = Queue::open(now, Box::new(Fixed::open(8)), Options::default());
    let mut running = std::collections::VecDeque::new();
    let mut levels = Vec::new();
    for step in 0_u32..4000 {
        now += Duration::from_micros(1042);
        let hash = u16::try_from(step.wrapping_mul(40_503) % 65_536).expect("16 bits");
        if let Offer::Started(ticket) = queue.offer(now, request(now, 2, hash, true), &mut rng) {
            running.push_back((now, ticket));
        }
        while let Some((since, ticket)) = running.front().copied() {
            if now < since + Duration::from_millis(10) {
                break;
            }
            running.pop_front();
            queue.finish(now, ticket, Completion::Answered);
        }
        while let Some(event) = queue.poll(now, &mut rng) {
            if let nutmegwheel_policy::admission::Event::Started(ticket) = event {
                running.push_back((now, ticket));
            }
        }
        levels.extend(queue.report().shed_level);
    }
    let inside = levels
        .iter()
        .filter(|l| l.rank == 2 && l.root_hash > 0x0fff);
    let share = inside.count() * 100 / levels.len().max(1);
    assert!(!levels.is_empty(), "the overload sets a shed level");
    assert!(
        share > 50,
        "{share} % of the levels admit a part of the class"
    );
}

/// More urgent requests keep overtaking a waiting one. Once it can no longer start in time it must
/// be refused at once, not when its time has run out.
#[test]
fn refuses_overtaken_request_at_once() {
    let mut rng = StdRng::seed_from_u64(4);
    let mut now = Instant::now();
    let mut queue = Queue::open(now, Box::new(Fixed::open(1)), Options::default());
    for _ in 0..8 {
        let offer = queue.offer(now, request(now, 0, 0, false), &mut rng);
        now += Duration::from_millis(100);
        if let Offer::Started(ticket) = offer {
            queue.finish(now, ticket, Completion::Answered);
        }
    }
    queue.offer(now, request(now, 0, 0, false), &mut rng);
    let Offer::Waiting(last) = queue.offer(now, request(now, 2, 0, false), &mut rng) else {
        panic!("the request does not wait")
    };
    let mut refused_after = None;
    for overtakes in 1..12 {
        queue.offer(now, request(now, 0, 0, false), &mut rng);
        while let Some(event) = queue.poll(now, &mut rng) {
            if matches!(event, nutmegwheel_policy::admission::Event::Refused(t, _) if t == last) {
                refused_after = Some(overtakes);
            }
        }
        if refused_after.is_some() {
            break;
        }
    }
    let overtakes = refused_after.expect("the request is refused without any time passing");
    assert!(
        overtakes >= 4,
        "refused after {overtakes} requests although it could still start in time"
    );
}
