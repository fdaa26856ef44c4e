//! The time left of a request over its hops.

use std::time::{Duration, Instant};

use nutmegwheel_policy::deadline::{Deadline, Error, Options};

#[test]
fn hops_keep_the_way_back() {
    let now = Instant::now();
    let ms = Duration::from_millis;
    for (name, remaining, round_trip, expected) in [
        ("the round trip goes off", ms(100), ms(8), ms(92)),
        ("a little always goes off", ms(100), ms(0), ms(99)),
        ("never more than a fifth", ms(10), ms(80), ms(8)),
    ] {
        let next =
            Deadline::open(now, remaining).for_next_hop(now, round_trip, &Options::default());
        assert_eq!(next, Ok(expected), "{name}");
    }
}

#[test]
fn an_expired_request_is_not_sent_on() {
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
fn the_time_left_only_shrinks_over_a_deep_chain() {
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
