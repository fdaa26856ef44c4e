//! A process that was paused does not use the lease that it held before.

mod sim;

use std::time::Duration;

use nutmegwheel_membership::freshness::{Decision, FenceReason, LEASE_DURATION};
use sim::{Sim, Topology};

const PAUSED: usize = 20;
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
        sim.processes[PAUSED].gossip.decide(now),
        Decision::Serve,
        "seed {seed}"
    );
    sim
}

fn decide(sim: &Sim) -> Decision {
    sim.processes[PAUSED].gossip.decide(sim.instant())
}

#[test]
fn ignores_old_lease_after_pause() {
    for seed in 0..10 {
        for pause in [LEASE_DURATION, LEASE_DURATION * 5, LEASE_DURATION * 60] {
            let mut sim = converged(seed);
            sim.pause(PAUSED);
            sim.run_for(pause);
            assert_eq!(decide(&sim), Decision::Fenced(FenceReason::NoMajority));
            // Answers delivered after the pause belong to requests from before it.
            sim.resume(PAUSED);
            assert_eq!(decide(&sim), Decision::Fenced(FenceReason::NoMajority));
            let limit = Duration::from_secs(5);
            let serving = sim.run_until(limit, |sim| decide(sim) == Decision::Serve);
            assert!(serving.is_some(), "seed {seed}, {pause:?}");
        }
    }
}

#[test]
fn resumed_process_refuses_until_withdrawals_arrive() {
    for seed in 0..10 {
        let mut sim = converged(seed);
        // Messages sent to it meanwhile are delivered later, or lost if it is isolated.
        if seed % 2 == 0 {
            sim.isolate(PAUSED);
        }
        sim.pause(PAUSED);
        sim.run_for(Duration::from_millis(500));
        sim.withdraw(0, KEY, true);
        sim.run_for(Duration::from_secs(8));
        sim.heal();
        sim.resume(PAUSED);
        for _ in 0..500 {
            let holds = sim.processes[PAUSED].gossip.is_withdrawn(&KEY);
            assert!(holds || decide(&sim) != Decision::Serve, "seed {seed}");
            sim.run_for(STEP);
        }
        assert_eq!(decide(&sim), Decision::Serve, "seed {seed}");
    }
}
