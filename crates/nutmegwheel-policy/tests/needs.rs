//! A service counts as needed when nearly all requests of an endpoint call it.

use nutmegwheel_policy::needs::{Needs, Options};
use nutmegwheel_types::ServiceId;

fn learn(needs: &mut Needs, times: usize, called: &[&str]) {
    for _ in 0..times {
        let called = called.iter().map(|name| ServiceId::from(*name));
        needs.learn(&"portal".into(), &"count".into(), called);
    }
}

fn needed(needs: &Needs) -> Vec<ServiceId> {
    needs.of(&"portal".into(), &"count".into())
}

#[test]
fn little_is_not_concluded_from() {
    let mut needs = Needs::open(Options::default());
    learn(&mut needs, 7, &["dispatch"]);
    assert!(needed(&needs).is_empty());
    learn(&mut needs, 1, &["dispatch"]);
    assert_eq!(needed(&needs), ["dispatch".into()]);
}

#[test]
fn a_service_that_only_some_requests_call_is_not_needed() {
    let mut needs = Needs::open(Options::default());
    learn(&mut needs, 20, &["dispatch"]);
    learn(&mut needs, 10, &[]);
    assert!(needed(&needs).is_empty());
}

#[test]
fn a_chain_that_changes_is_learnt_anew() {
    let mut needs = Needs::open(Options::default());
    learn(&mut needs, 10_000, &["dispatch"]);
    learn(&mut needs, 2000, &["shiftbook"]);
    assert_eq!(needed(&needs), ["shiftbook".into()]);
}

#[test]
fn memory_is_bounded() {
    let mut needs = Needs::open(Options {
        max_endpoints: 2,
        max_services: 2,
        ..Options::default()
    });
    learn(&mut needs, 10, &["a", "b", "c"]);
    assert_eq!(needed(&needs).len(), 2);
    for endpoint in ["x", "y"] {
        for _ in 0..10 {
            let called = ["a".into()];
            needs.learn(&"portal".into(), &endpoint.into(), called);
        }
    }
    assert_eq!(needs.of(&"portal".into(), &"x".into()).len(), 1);
    assert!(needs.of(&"portal".into(), &"y".into()).is_empty());
}
