//! The token cache of an ingress node: local spending, prefetching, returns and refusals.

mod support;

use nutmegwheel_limits::{
    token_cache::{REPORT_INTERVAL, RefusalCause, Spend},
    token_server::BATCH_TERM,
};
use support::{DataCentre, assert_within, limit, ms};

#[test]
fn most_requests_spend_cached_tokens() {
    let mut dc = DataCentre::serving(limit(200.0, 400), 4);
    dc.advance(2000);
    let mut local = 0;
    for request in 0..400_u64 {
        let spend = dc.spend(usize::try_from(request % 4).unwrap(), request);
        local += usize::from(request >= 100 && spend == Spend::Spent);
        dc.advance(10);
    }
    assert_eq!(dc.spent.len(), 400);
    assert!(local >= 290, "only {local} of 300 were local");
    assert_within(&dc.spent, limit(200.0, 400));
}

#[test]
fn uses_up_small_rate_over_many_nodes() {
    let limit = limit(0.5, 1);
    let mut dc = DataCentre::serving(limit, 20);
    for request in 0..6000_u64 {
        let ingress = usize::try_from(request * 7 % 20).unwrap();
        dc.spend(ingress, request);
        dc.advance(20);
    }
    // 120 s at 0.5 tokens/s.
    assert!(
        (57..=60).contains(&dc.spent.len()),
        "{} spent",
        dc.spent.len()
    );
    assert_within(&dc.spent, limit);
}

#[test]
fn admits_request_at_any_node_at_small_rate() {
    let mut dc = DataCentre::serving(limit(0.5, 1), 20);
    for request in 0..40_u64 {
        dc.advance(2100);
        let ingress = usize::try_from(request % 20).unwrap();
        assert_eq!(dc.spend(ingress, request), Spend::Waiting);
        assert_eq!(dc.spent.len() as u64, request + 1);
    }
}

#[test]
fn small_burst_keeps_high_rate() {
    let limit = limit(100.0, 1);
    let mut dc = DataCentre::serving(limit, 3);
    for request in 0..5000_u64 {
        dc.spend(usize::try_from(request % 3).unwrap(), request);
        dc.advance(1);
    }
    assert!(dc.spent.len() > 400, "{} of 500 spent", dc.spent.len());
    assert_within(&dc.spent, limit);
}

#[test]
fn reuses_refusal_without_request() {
    let mut dc = DataCentre::serving(limit(0.5, 1), 1);
    assert_eq!(dc.spend(0, 1), Spend::Waiting);
    let Spend::Refused(refusal) = dc.decisions[0].spend else {
        panic!("{:?}", dc.decisions)
    };
    assert_eq!(refusal.cause, RefusalCause::OverRate);
    assert_eq!(refusal.retry_after, ms(2000));
    let requests = dc.requests;
    assert!(matches!(dc.spend(0, 2), Spend::Refused(r) if r.retry_after <= ms(2000)));
    assert_eq!(dc.requests, requests);
}

#[test]
fn refuses_without_token_server() {
    let mut dc = DataCentre::serving(limit(5.0, 5), 1);
    dc.token_server = support::token_server("b", dc.now);
    assert_eq!(dc.spend(0, 1), Spend::Waiting);
    dc.advance(150);
    let Spend::Refused(refusal) = dc.decisions[0].spend else {
        panic!("{:?}", dc.decisions)
    };
    assert_eq!(refusal.cause, RefusalCause::NoTokenServer);
}

#[test]
fn returns_unused_tokens_before_expiry() {
    let limit = limit(50.0, 100);
    let mut dc = DataCentre::serving(limit, 2);
    dc.advance(2000);
    for request in 0..100 {
        dc.spend(0, request);
        dc.advance(20);
    }
    let slot = dc.slot(0);
    assert!(dc.ingress_nodes[0].available(slot, dc.now) > 10);
    // The recent demand decays, then the last batch expires.
    dc.advance(6000);
    assert_eq!(dc.ingress_nodes[0].available(slot, dc.now), 0);
    let before = dc.spent.len();
    for request in 0..150 {
        dc.spend(1, request);
    }
    assert_eq!(
        dc.spent.len() - before,
        100,
        "the other ingress node gets the whole burst"
    );
    assert_within(&dc.spent, limit);
}

#[test]
fn cancelled_request_spends_no_token() {
    let mut dc = DataCentre::serving(limit(5.0, 5), 1);
    let slot = dc.slot(0);
    assert_eq!(dc.ingress_nodes[0].spend(slot, 1, dc.now), Spend::Waiting);
    dc.ingress_nodes[0].cancel(slot, 1);
    dc.advance(500);
    assert!(dc.decisions.is_empty() && dc.spent.is_empty());
}

#[test]
fn late_or_duplicate_grant_adds_no_tokens() {
    let mut dc = DataCentre::serving(limit(10.0, 10), 1);
    dc.advance(1000);
    let slot = dc.slot(0);
    dc.ingress_nodes[0].spend(slot, 1, dc.now);
    let req = dc.ingress_nodes[0].poll(dc.now).request.unwrap();
    let grant = dc.token_server.on_request(&req, dc.now).unwrap();
    let duplicate = dc.token_server.on_request(&req, dc.now).unwrap();
    assert_eq!(grant, duplicate);
    assert_eq!(dc.ingress_nodes[0].apply_grant(&grant, dc.now).len(), 1);
    let tokens = dc.ingress_nodes[0].available(slot, dc.now);
    assert_eq!(dc.ingress_nodes[0].apply_grant(&duplicate, dc.now), []);
    assert_eq!(dc.ingress_nodes[0].available(slot, dc.now), tokens);
    let mut late = dc.ingress_nodes[0].clone();
    assert_eq!(late.available(slot, dc.now + BATCH_TERM), 0);
    assert_eq!(late.spend(slot, 9, dc.now + BATCH_TERM), Spend::Waiting);
}

// Guards against requests that wait for a new token server until their callers are refused: one
// that stops ignored the reports of spent tokens, and so kept its lease until the last batch expired.
#[test]
fn stopping_token_server_releases_lease_once_tokens_are_spent() {
    let mut dc = DataCentre::serving(limit(100.0, 100), 1);
    dc.advance(500);
    let slot = dc.slot(0);
    for waiter in 0..20 {
        dc.spend(0, waiter);
        dc.advance(10);
    }
    dc.token_server.stop();
    let mut waiter = 20;
    while dc.ingress_nodes[0].available(slot, dc.now) > 0 {
        dc.spend(0, waiter);
        waiter += 1;
    }
    let reported = u64::try_from(REPORT_INTERVAL.as_millis()).unwrap();
    dc.advance(2 * reported);
    assert!(!dc.token_server.holds_lease(dc.now));
}
