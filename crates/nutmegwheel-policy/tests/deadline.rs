//! Propagation of deadlines from hop to hop.

use std::time::{Duration, Instant};

use nutmegwheel_policy::deadline::{Deadline, Error, Options};

#[test]
fn reserves_response_time_at_each_hop() {
    let now = Instant::now();
    let ms = Duration::from_millis;
    for (name, remaining, round_trip, expected) in [
        ("deducts the round trip", ms(100), ms(8), ms(92)),
        ("deducts at least the minimum", ms(100), ms(0), ms(99)),
        ("deducts at most a fifth", ms(10), ms(80), ms(8)),
    ] {
        let next =
            Deadline::open(now, remaining).for_next_hop(now, round_trip, &Options::default());
        assert_eq!(next, Ok(expected), "{name}");
    }
}

#[test]
fn refuses_to_forward_expired_request() {
    let now = Instant::now();
    let deadline = Deadline::open(now, Duration::from_millis(5));
    let late = now + Duration::from_millis(7);
    let next = deadline.for_next_hop(late, Duration::ZERO, &Options::default());
    assert_eq!(
        next,
        Err(Error::Expired {
            late: Duration::from_millis(2)
        })
    );
    assert_eq!(deadline.remaining(late), Duration::ZERO);
}

#[test]
fn remaining_time_shrinks_with_each_hop() {
    let now = Instant::now();
    let mut remaining = Duration::from_secs(1);
    for _ in 0..11 {
        let deadline = Deadline::open(now, remaining);
        let next = deadline
            .for_next_hop(now, Duration::from_millis(2), &Options::default())
            .unwrap();
        assert!(next < remaining);
        remaining = next;
    }
    assert_eq!(remaining, Duration::from_millis(978));
}
