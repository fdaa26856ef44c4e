//! Traffic splits keep to their weights in small samples, and each ingress node starts at its own
//! offset.

use std::sync::Arc;

use nutmegwheel_policy::split::TrafficSplits;
use nutmegwheel_types::RouteId;
use rand::{SeedableRng as _, rngs::StdRng};

fn counts(weights: &[u32], requests: usize, seed: u64) -> Vec<usize> {
    let mut rng = StdRng::seed_from_u64(seed);
    let route: RouteId = Arc::from("reports");
    let mut splits = TrafficSplits::default();
    let mut counts = vec![0; weights.len()];
    for _ in 0..requests {
        let index = splits.choose(&route, weights, &mut rng);
        counts[index.expect("an index")] += 1;
    }
    counts
}

#[test]
fn keeps_weights_in_few_requests() {
    for seed in 0..50 {
        let counts = counts(&[90, 10], 30, seed);
        assert!((26..=28).contains(&counts[0]), "{seed}: {counts:?}");
    }
}

#[test]
fn keeps_weights_across_ingress_nodes() {
    let light: usize = (0..200)
        .map(|ingress| counts(&[90, 10], 3, ingress)[1])
        .sum();
    assert!(
        (40..=80).contains(&light),
        "{light} of 600 at a weight of 0.1"
    );
}

#[test]
fn skips_service_with_zero_weight() {
    assert_eq!(counts(&[0, 7], 20, 1), [0, 20]);
    let mut rng = StdRng::seed_from_u64(1);
    let none = TrafficSplits::default().choose(&Arc::from("r"), &[0, 0], &mut rng);
    assert_eq!(none, None);
}

#[test]
fn applies_changed_weights_at_once() {
    let mut rng = StdRng::seed_from_u64(3);
    let route: RouteId = Arc::from("reports");
    let mut splits = TrafficSplits::default();
    for _ in 0..10 {
        splits.choose(&route, &[1, 1], &mut rng);
    }
    let after: Vec<_> = (0..10)
        .map(|_| splits.choose(&route, &[0, 1], &mut rng))
        .collect();
    assert!(after.iter().all(|index| *index == Some(1)));
}
