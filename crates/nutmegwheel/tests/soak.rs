//! A short soak on fixed seeds, and the seeds that ever failed; see docs/DEVELOPERS.md, "The soak".

use std::time::Duration;

use nutmegwheel_soak::{FleetShape, Options};

/// How long the faults of a seed go on; the plan that a seed draws depends on it.
const TIME: Duration = Duration::from_secs(15);
/// Seeds that found a fault, with the cause that was mended.
const FAILED: [(u64, &str); 1] = [(
    3,
    "a read whose first try may have run was refused as not run when the next one was turned away",
)];
/// Two more for each run of the tests.
const FIXED: [u64; 2] = [101, 102];

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_under_the_faults_of_fixed_seeds() {
    let failed = FAILED.map(|(seed, _)| seed);
    for seed in failed.into_iter().chain(FIXED) {
        let outcome = nutmegwheel_soak::run(&Options {
            program: env!("CARGO_BIN_EXE_nutmegwheel").into(),
            shape: FleetShape {
                data_centres: vec!["riga1", "riga2", "riga3"],
                nodes: 3,
                control_vms: 3,
            },
            seed,
            time: TIME,
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
