//! A process that froze for long does not use the lease that it held before.

mod sim;

use std::time::Duration;

use nutmegwheel_membership::freshness::{Decision, FenceReason, LEASE_DURATION};
use sim::{Sim, Topology};

const FROZEN: usize = 20;
const KEY: [u8; 32] = [3; 32];
const STEP: Duration = Duration::from_millis(10);

fn converged(seed: u64) -> Sim {
    let mut sim = Sim::open(Topology {
        members: 24,
        data_centres: 3,
        control: 3,
        seed,
    });
    sim.run_for(Duration::from_secs(20));
    let now = sim.instant();
    assert_eq!(
        sim.processes[FROZEN].gossip.decide(now),
        Decision::Serve,
        "seed {seed}"
    );
    sim
}

fn decide(sim: &Sim) -> Decision {
    sim.processes[FROZEN].gossip.decide(sim.instant())
}

#[test]
fn an_old_lease_is_not_used_after_a_freeze() {
    for seed in 0..10 {
        for frozen_for in [LEASE_DURATION, LEASE_DURATION * 5, LEASE_DURATION * 60] {
            let mut sim = converged(seed);
            sim.freeze(FROZEN);
            sim.run_for(frozen_for);
            assert_eq!(decide(&sim), Decision::Fenced(FenceReason::NoMajority));
            // Answers that waited for the frozen process belong to requests from before.
            sim.thaw(FROZEN);
            assert_eq!(decide(&sim), Decision::Fenced(FenceReason::NoMajority));
            let limit = Duration::from_secs(5);
            let serving = sim.run_until(limit, |sim| decide(sim) == Decision::Serve);
            assert!(serving.is_some(), "seed {seed}, {frozen_for:?}");
        }
    }
}

#[test]
fn a_thawed_process_serves_only_once_it_holds_what_was_withdrawn_meanwhile() {
    for seed in 0..10 {
        let mut sim = converged(seed);
        // What is sent to it meanwhile is held back, or lost with its links.
        if seed % 2 == 0 {
            sim.isolate(FROZEN);
        }
        sim.freeze(FROZEN);
        sim.run_for(Duration::from_millis(500));
        sim.withdraw(0, KEY, true);
        sim.run_for(Duration::from_secs(8));
        sim.heal();
        sim.thaw(FROZEN);
        for _ in 0..500 {
            let holds = sim.processes[FROZEN].gossip.is_withdrawn(&KEY);
            assert!(holds || decide(&sim) != Decision::Serve, "seed {seed}");
            sim.run_for(STEP);
        }
        assert_eq!(decide(&sim), Decision::Serve, "seed {seed}");
    }
}
