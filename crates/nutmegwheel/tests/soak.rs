//! A short soak with fixed random seeds, including every seed that has exposed a fault; see
//! docs/DEVELOPERS.md, "The soak".

use std::time::Duration;

use nutmegwheel_soak::{FleetShape, Options};

/// The time for which faults are injected. The plan that is drawn from a seed depends on it.
const FAULT_TIME: Duration = Duration::from_secs(15);
/// Seeds that have exposed a fault. The faults are fixed; the text after each seed is the cause.
const REGRESSION_SEEDS: [(u64, &str); 1] = [(
    3,
    "a read whose first attempt may have run was refused as not-run after the second was refused",
)];
/// Arbitrary seeds that each run of the tests uses too.
const EXTRA_SEEDS: [u64; 2] = [101, 102];

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_faults_of_fixed_seeds() {
    let regressions = REGRESSION_SEEDS.map(|(seed, _)| seed);
    for seed in regressions.into_iter().chain(EXTRA_SEEDS) {
        let outcome = nutmegwheel_soak::run(&Options {
            program: env!("CARGO_BIN_EXE_nutmegwheel").into(),
            shape: FleetShape {
                data_centres: vec!["riga1", "riga2", "riga3"],
                nodes: 3,
                control_vms: 3,
            },
            seed,
            time: FAULT_TIME,
        })
        .await
        .expect("the fleet runs");
        assert!(outcome.served > 0, "seed {seed}: nothing was served");
        assert!(
            outcome.findings.is_empty(),
            "seed {seed}: {:#?}\n{:#?}",
            outcome.findings,
            outcome.plan
        );
    }
}
