//! Replacement of failed voters in a cluster that maintains its number of voters.

mod sim;

use std::time::Duration;

use nutmegwheel_agreement::{ReplicaName, raft::RoleName};
use sim::{LOSSY, Network, RELIABLE, Sim, name, propose_many};

const SECOND: Duration = Duration::from_secs(1);

fn start_cluster(seed: u64, network: Network) -> (Sim, ReplicaName) {
    let mut sim = Sim::start_with(seed, &["a", "b", "c"], network, |options| {
        options.target_voters = Some(3);
        options.lease_reads = false;
    });
    let leader = sim.wait_for_leader();
    (sim, leader)
}

fn any_follower(sim: &Sim, leader: &ReplicaName) -> ReplicaName {
    let mut others = sim.names().into_iter().filter(|name| name != leader);
    others.next().expect("a follower")
}

/// Returns whether every replica has applied every committed command. [`Sim::all_applied`] cannot
/// be used, since it requires a stable cluster, which has no learners.
fn all_applied_everywhere(sim: &Sim) -> bool {
    sim.leader().is_some() && sim.vms.values().all(|vm| vm.applied == sim.committed)
}

#[test]
fn fourth_replica_stays_learner() {
    let (mut sim, _) = start_cluster(1, RELIABLE);
    sim.add(&name("d"));
    propose_many(&mut sim, 5);
    sim.run(10 * SECOND);
    assert_eq!(sim.role(&name("d")), Some(RoleName::Learner));
}

// Guards against a cluster that is not repaired: a new VM whose contacts did not include the leader was
// never let in.
#[test]
fn replica_that_knows_only_follower_joins() {
    for seed in 0..10 {
        let (mut sim, leader) = start_cluster(seed, LOSSY);
        let follower = any_follower(&sim, &leader);
        sim.add_with_peers(&name("d"), &[follower]);
        sim.run_until("the new replica is let in", |sim| {
            sim.role(&name("d")) == Some(RoleName::Learner)
        });
    }
}

#[test]
fn learner_replaces_failed_voter() {
    let (mut sim, leader) = start_cluster(2, RELIABLE);
    propose_many(&mut sim, 5);
    let failed = any_follower(&sim, &leader);
    sim.stop(&failed);
    sim.add(&name("d"));
    sim.run_until("the replacement", |sim| {
        sim.role(&name("d")) == Some(RoleName::Follower)
    });
    // The cluster again tolerates the loss of a voter.
    let (stopped, leader) = (failed, sim.leader().expect("a leader"));
    let mut rest = sim.names().into_iter();
    let next = rest.find(|name| *name != leader && *name != stopped);
    sim.stop(&next.expect("another voter"));
    let before = sim.committed.len();
    propose_many(&mut sim, 5);
    sim.run(SECOND);
    assert_eq!(sim.committed.len(), before + 5);
}

#[test]
fn replaced_voter_returns_as_learner_and_catches_up() {
    let (mut sim, leader) = start_cluster(3, RELIABLE);
    propose_many(&mut sim, 5);
    let replaced = any_follower(&sim, &leader);
    sim.partitioned.insert(replaced.clone());
    sim.add(&name("d"));
    sim.run_until("the replacement", |sim| {
        sim.role(&name("d")) == Some(RoleName::Follower)
    });
    propose_many(&mut sim, 5);
    sim.partitioned.clear();
    let returning = replaced.clone();
    sim.run_until("the return as a learner", move |sim| {
        sim.role(&returning) == Some(RoleName::Learner)
    });
    sim.run(SECOND);
    assert!(all_applied_everywhere(&sim));
}

#[test]
fn keeps_unreachable_voter_without_learner() {
    let (mut sim, leader) = start_cluster(4, RELIABLE);
    let failed = any_follower(&sim, &leader);
    sim.stop(&failed);
    sim.run(20 * SECOND);
    sim.restart(&failed);
    sim.run(SECOND);
    assert_eq!(sim.role(&failed), Some(RoleName::Follower));
}

#[test]
fn replacements_on_lossy_network_lose_nothing() {
    for seed in 0..12_usize {
        let (mut sim, _) = start_cluster(100 + seed as u64, LOSSY);
        sim.add(&name("d"));
        let names = [name("a"), name("b"), name("c"), name("d")];
        for round in 0..8 {
            propose_many(&mut sim, 10);
            let victim = &names[(seed + round) % names.len()];
            sim.partitioned.insert(victim.clone());
            sim.run(5 * SECOND);
            propose_many(&mut sim, 10);
            sim.partitioned.clear();
            sim.run(5 * SECOND);
        }
        sim.network = RELIABLE;
        sim.run_until("all applied", all_applied_everywhere);
    }
}
