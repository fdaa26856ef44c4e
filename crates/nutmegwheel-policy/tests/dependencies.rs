//! A service counts as required if nearly all requests of an endpoint call it.

use nutmegwheel_policy::dependencies::{Dependencies, Options};
use nutmegwheel_types::ServiceId;

fn record(dependencies: &mut Dependencies, responses: usize, called: &[&str]) {
    for _ in 0..responses {
        let called = called.iter().map(|name| ServiceId::from(*name));
        dependencies.record(&"portal".into(), &"count".into(), called);
    }
}

fn required(dependencies: &Dependencies) -> Vec<ServiceId> {
    dependencies.required_by(&"portal".into(), &"count".into())
}

#[test]
fn requires_min_responses() {
    let mut dependencies = Dependencies::open(Options::default());
    record(&mut dependencies, 7, &["dispatch"]);
    assert!(required(&dependencies).is_empty());
    record(&mut dependencies, 1, &["dispatch"]);
    assert_eq!(required(&dependencies), ["dispatch".into()]);
}

#[test]
fn ignores_service_called_by_some_requests() {
    let mut dependencies = Dependencies::open(Options::default());
    record(&mut dependencies, 20, &["dispatch"]);
    record(&mut dependencies, 10, &[]);
    assert!(required(&dependencies).is_empty());
}

#[test]
fn follows_changed_call_chain() {
    let mut dependencies = Dependencies::open(Options::default());
    record(&mut dependencies, 10_000, &["dispatch"]);
    record(&mut dependencies, 2000, &["shiftbook"]);
    assert_eq!(required(&dependencies), ["shiftbook".into()]);
}

#[test]
fn bounds_endpoints_and_services() {
    let mut dependencies = Dependencies::open(Options {
        max_endpoints: 2,
        max_services: 2,
        ..Options::default()
    });
    record(&mut dependencies, 10, &["a", "b", "c"]);
    assert_eq!(required(&dependencies).len(), 2);
    for endpoint in ["x", "y"] {
        for _ in 0..10 {
            let called = ["a".into()];
            dependencies.record(&"portal".into(), &endpoint.into(), called);
        }
    }
    assert_eq!(
        dependencies
            .required_by(&"portal".into(), &"x".into())
            .len(),
        1
    );
    assert!(
        dependencies
            .required_by(&"portal".into(), &"y".into())
            .is_empty()
    );
}
