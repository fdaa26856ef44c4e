//! What a node learns of the work of its backend server.

use std::time::{Duration, Instant};

use nutmegwheel_policy::work::{Ledger, WorkReport};
use nutmegwheel_types::EndpointId;

const MS: Duration = Duration::from_millis(1);

fn run(ledger: &mut Ledger, at: Instant, endpoint: &EndpointId, held: Duration, waited: Duration) {
    let ticket = ledger.enter(endpoint);
    ledger.start(at, ticket);
    ledger.finish(at + held, ticket, waited);
}

/// The work left of one request that has run for `age`.
fn left_of_one(
    ledger: &mut Ledger,
    now: Instant,
    endpoint: &EndpointId,
    age: Duration,
) -> Duration {
    let ticket = ledger.enter(endpoint);
    ledger.start(now, ticket);
    let left = ledger.left(now + age);
    ledger.cancel(ticket);
    left
}

#[test]
fn learns_time_of_server_without_its_calls() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    let endpoint = EndpointId::from("order");
    for n in 0..4 {
        let service = ledger.report(now, &endpoint).service;
        assert_eq!(service, None, "{n} requests are too few");
        run(&mut ledger, now, &endpoint, MS * 500, MS * 400);
    }
    let service = ledger.report(now, &endpoint).service.unwrap();
    assert!(service.abs_diff(MS * 100) < MS, "{service:?}");
}

#[test]
fn long_running_request_has_more_left() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    let endpoint = EndpointId::from("search");
    for n in 0..100 {
        let held = if n % 33 == 0 { MS * 700 } else { MS * 100 };
        run(&mut ledger, now, &endpoint, held, Duration::ZERO);
    }
    let fresh = left_of_one(&mut ledger, now, &endpoint, Duration::ZERO);
    let old = left_of_one(&mut ledger, now + MS * 10, &endpoint, MS * 300);
    let oldest = left_of_one(&mut ledger, now + MS * 20, &endpoint, MS * 20_000);
    assert!(fresh < MS * 200, "{fresh:?}");
    assert!(old > fresh * 2, "{old:?}");
    assert_eq!(oldest, MS * 20_000, "older than any: as long again");
}

#[test]
fn waiting_and_running_requests_count_and_ended_ones_do_not() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    let endpoint = EndpointId::from("price");
    assert_eq!(ledger.left(now), Duration::ZERO);
    let tickets: Vec<_> = (0..3).map(|_| ledger.enter(&endpoint)).collect();
    ledger.start(now, tickets[0]);
    let three = ledger.left(now + MS * 10);
    ledger.cancel(tickets[1]);
    ledger.finish(now + MS * 11, tickets[2], Duration::ZERO);
    let one = ledger.left(now + MS * 20);
    assert_eq!(three, one * 3);
    ledger.finish(now + MS * 50, tickets[0], Duration::ZERO);
    assert_eq!(ledger.left(now + MS * 60), Duration::ZERO);
    ledger.finish(now, tickets[0], Duration::ZERO);
    ledger.start(now, tickets[0]);
    assert_eq!(ledger.left(now + MS * 70), Duration::ZERO, "stale ticket");
}

#[test]
fn follows_cost_that_changes_tenfold() {
    for (name, gap, within) in [
        ("busy server", MS * 10, MS * 6000),
        ("few requests", MS * 1000, MS * 60_000),
    ] {
        let mut now = Instant::now();
        let mut ledger = Ledger::default();
        let endpoint = EndpointId::from("order");
        for _ in 0..100 {
            run(&mut ledger, now, &endpoint, MS * 20, Duration::ZERO);
            now += gap;
        }
        let changed_at = now;
        let mut told = 0;
        while ledger.report(now, &endpoint).service.unwrap() < MS * 180 {
            let ticket = ledger.enter(&endpoint);
            ledger.start(now, ticket);
            let change = ledger.finish(now + MS * 200, ticket, Duration::ZERO);
            told += usize::from(change.is_some());
            now += gap;
            assert!(now < changed_at + within, "{name}");
        }
        assert!((1..=2).contains(&told), "{name}: told {told} times");
    }
}

#[test]
fn kinds_are_bounded() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    for n in 0..1000 {
        let endpoint = EndpointId::from(format!("e{n}"));
        for _ in 0..4 {
            run(&mut ledger, now, &endpoint, MS * 10, Duration::ZERO);
        }
    }
    assert_eq!(ledger.services().count(), 64);
    let service = ledger.report(now, &EndpointId::from("e999")).service;
    assert!(service.is_some(), "further kinds share an estimate");
}

#[test]
fn absurd_reports_are_clamped() {
    let minute = Duration::from_mins(1);
    for (left, service, want) in [
        (0, 0, None),
        (5, 0, Some((Duration::from_micros(5), None))),
        (
            0,
            1,
            Some((Duration::ZERO, Some(Duration::from_micros(100)))),
        ),
        (u64::MAX, u64::MAX, Some((minute * 65_536, Some(minute)))),
    ] {
        let want = want.map(|(left, service)| WorkReport { left, service });
        assert_eq!(WorkReport::from_micros(left, service), want);
    }
    let report = WorkReport {
        left: MS * 7,
        service: Some(MS * 3),
    };
    let (left, service) = report.to_micros();
    assert_eq!(WorkReport::from_micros(left, service), Some(report));
}
