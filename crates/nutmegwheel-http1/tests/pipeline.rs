//! The order and the bounds of the requests of one connection.

use nutmegwheel_http1::{Bounds, Next, Pipeline, Sequence};
use proptest::prelude::*;

const BOUNDS: Bounds = Bounds {
    requests: 4,
    bytes: 100,
};

fn next(pipeline: &mut Pipeline<char>) -> Option<(char, bool)> {
    let next = pipeline.take_next();
    next.map(|Next { answer, is_last }| (answer, is_last))
}

#[test]
fn responses_leave_in_order_of_requests() {
    let mut pipeline = Pipeline::open(BOUNDS);
    let [a, b, c] = [0; 3].map(|bytes| pipeline.begin(true, bytes));
    pipeline.complete(c, 'c', 1);
    pipeline.complete(b, 'b', 1);
    assert_eq!(next(&mut pipeline), None);
    pipeline.complete(a, 'a', 1);
    assert_eq!(next(&mut pipeline), Some(('a', false)));
    assert_eq!(next(&mut pipeline), Some(('b', false)));
    assert_eq!(next(&mut pipeline), Some(('c', false)));
    assert!(pipeline.is_empty());
}

#[test]
fn second_response_to_same_request_is_dropped() {
    let mut pipeline = Pipeline::open(BOUNDS);
    let [a, b] = [0; 2].map(|bytes| pipeline.begin(true, bytes));
    pipeline.complete(b, 'b', 1);
    pipeline.complete(b, 'x', 1);
    pipeline.complete(a, 'a', 1);
    assert_eq!(next(&mut pipeline), Some(('a', false)));
    pipeline.complete(a, 'x', 1);
    assert_eq!(next(&mut pipeline), Some(('b', false)));
    assert_eq!(next(&mut pipeline), None);
}

#[test]
fn overlap_is_allowed_only_among_requests_that_all_allow_it() {
    for (first, second, admitted) in [
        (true, true, true),
        (true, false, false),
        (false, true, false),
        (false, false, false),
    ] {
        let mut pipeline = Pipeline::open(BOUNDS);
        assert!(pipeline.admits(first));
        let sequence = pipeline.begin(first, 0);
        assert_eq!(pipeline.admits(second), admitted, "{first} {second}");
        pipeline.complete(sequence, 'a', 0);
        assert!(pipeline.admits(second), "{first} {second}");
    }
}

#[test]
fn requests_are_bounded_by_number() {
    let mut pipeline = Pipeline::open(BOUNDS);
    for _ in 0..BOUNDS.requests {
        assert!(pipeline.admits(true));
        pipeline.begin(true, 0);
    }
    assert!(!pipeline.has_room() && !pipeline.admits(true));
    pipeline.complete(0, 'a', 0);
    assert!(!pipeline.has_room(), "a response that is not sent counts");
    pipeline.take_next();
    assert!(pipeline.has_room() && pipeline.admits(true));
}

#[test]
fn requests_are_bounded_by_bytes_of_bodies_and_waiting_responses() {
    let mut pipeline = Pipeline::open(BOUNDS);
    pipeline.begin(true, 40);
    pipeline.begin(true, 40);
    assert!(pipeline.admits(true));
    pipeline.complete(1, 'b', 120);
    assert!(!pipeline.admits(true));
    pipeline.complete(0, 'a', 0);
    assert!(!pipeline.admits(true), "the second response waits");
    pipeline.take_next();
    pipeline.take_next();
    assert!(pipeline.admits(true));
}

#[test]
fn one_request_is_allowed_whatever_its_size() {
    let mut pipeline = Pipeline::open(BOUNDS);
    assert!(pipeline.admits(true));
    pipeline.begin(true, 10 * BOUNDS.bytes);
    assert!(!pipeline.admits(true));
    pipeline.complete(0, 'a', 0);
    pipeline.take_next();
    assert!(pipeline.admits(true));
}

#[test]
fn close_is_told_with_last_response_and_admits_no_request() {
    let mut pipeline = Pipeline::open(BOUNDS);
    let [a, b] = [0; 2].map(|bytes| pipeline.begin(true, bytes));
    pipeline.complete(a, 'a', 0);
    pipeline.close();
    assert!(pipeline.is_closing() && !pipeline.has_room() && !pipeline.admits(true));
    assert_eq!(next(&mut pipeline), Some(('a', false)));
    pipeline.complete(b, 'b', 0);
    assert_eq!(next(&mut pipeline), Some(('b', true)));
    assert!(!pipeline.admits(true));
}

proptest! {
    /// Whatever the order of completions, each request gets its own response in its turn, the
    /// bounds hold, and requests that must not overlap never do.
    #[test]
    fn order_and_bounds_hold_for_random_completions(
        requests in prop::collection::vec((any::<bool>(), 0_usize..60, 0_usize..60), 1..60),
        choices in prop::collection::vec(any::<prop::sample::Index>(), 400),
        closes_at in 0_usize..120,
    ) {
        let mut pipeline: Pipeline<Sequence> = Pipeline::open(BOUNDS);
        let (mut begun, mut sent) = (0, 0);
        let mut running: Vec<(Sequence, bool)> = Vec::new();
        for choice in choices {
            let (may_overlap, body, size) = requests[begun % requests.len()];
            if pipeline.admits(may_overlap) && choice.index(2) == 0 {
                prop_assert!(running.is_empty() || running.iter().all(|(_, other)| *other && may_overlap));
                let sequence = pipeline.begin(may_overlap, body);
                prop_assert_eq!(sequence, begun as Sequence);
                running.push((sequence, may_overlap));
                begun += 1;
            } else if !running.is_empty() {
                let (sequence, _) = running.remove(choice.index(running.len()));
                pipeline.complete(sequence, sequence, size);
            }
            if begun == closes_at {
                pipeline.close();
            }
            while choice.index(3) == 0 && let Some(next) = pipeline.take_next() {
                prop_assert_eq!(next.answer, sent);
                sent += 1;
                prop_assert_eq!(next.is_last, pipeline.is_closing() && sent == begun as Sequence);
            }
            prop_assert!(begun as Sequence - sent <= BOUNDS.requests as Sequence);
            prop_assert!(begun <= closes_at.max(1) || closes_at == 0 && begun == 0 || !pipeline.is_closing());
        }
    }
}
