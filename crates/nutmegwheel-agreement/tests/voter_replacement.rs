//! A control group that keeps up its number of voters by itself.

mod sim;

use std::time::Duration;

use nutmegwheel_agreement::{ReplicaName, raft::RoleName};
use sim::{HARSH, KIND, Network, Sim, name, propose_many};

const SECOND: Duration = Duration::from_secs(1);

fn settled(seed: u64, network: Network) -> (Sim, ReplicaName) {
    let mut sim = Sim::start_with(seed, &["a", "b", "c"], network, |options| {
        options.target_voters = Some(3);
        options.lease_reads = false;
    });
    let leader = sim.settle();
    (sim, leader)
}

fn a_follower(sim: &Sim, leader: &ReplicaName) -> ReplicaName {
    let mut others = sim.names().into_iter().filter(|name| name != leader);
    others.next().expect("a follower")
}

/// Learners stay in such a group, so that it never counts as settled in the other tests' sense.
fn is_applied_everywhere(sim: &Sim) -> bool {
    sim.leader().is_some() && sim.vms.values().all(|vm| vm.applied == sim.committed)
}

#[test]
fn a_fourth_replica_waits_as_a_learner() {
    let (mut sim, _) = settled(1, KIND);
    sim.add(&name("d"));
    propose_many(&mut sim, 5);
    sim.run(10 * SECOND);
    assert_eq!(sim.role(&name("d")), Some(RoleName::Learner));
}

#[test]
fn a_learner_replaces_a_voter_that_is_gone_for_good() {
    let (mut sim, leader) = settled(2, KIND);
    propose_many(&mut sim, 5);
    let gone = a_follower(&sim, &leader);
    sim.stop(&gone);
    sim.add(&name("d"));
    sim.run_until("the replacement", |sim| {
        sim.role(&name("d")) == Some(RoleName::Follower)
    });
    // Now another one may be lost.
    let (stopped, leader) = (gone, sim.leader().expect("a leader"));
    let mut rest = sim.names().into_iter();
    let next = rest.find(|name| *name != leader && *name != stopped);
    sim.stop(&next.expect("another voter"));
    let before = sim.committed.len();
    propose_many(&mut sim, 5);
    sim.run(SECOND);
    assert_eq!(sim.committed.len(), before + 5);
}

#[test]
fn a_replaced_voter_that_comes_back_is_a_learner_and_holds_everything() {
    let (mut sim, leader) = settled(3, KIND);
    propose_many(&mut sim, 5);
    let cut = a_follower(&sim, &leader);
    sim.cut.insert(cut.clone());
    sim.add(&name("d"));
    sim.run_until("the replacement", |sim| {
        sim.role(&name("d")) == Some(RoleName::Follower)
    });
    propose_many(&mut sim, 5);
    sim.cut.clear();
    let back = cut.clone();
    sim.run_until("the way back", move |sim| {
        sim.role(&back) == Some(RoleName::Learner)
    });
    sim.run(SECOND);
    assert!(is_applied_everywhere(&sim));
}

#[test]
fn without_a_learner_nobody_is_removed() {
    let (mut sim, leader) = settled(4, KIND);
    let gone = a_follower(&sim, &leader);
    sim.stop(&gone);
    sim.run(20 * SECOND);
    sim.restart(&gone);
    sim.run(SECOND);
    assert_eq!(sim.role(&gone), Some(RoleName::Follower));
}

#[test]
fn replacements_under_loss_and_lost_disks_forget_nothing() {
    for seed in 0..12_usize {
        let (mut sim, _) = settled(100 + seed as u64, HARSH);
        sim.add(&name("d"));
        let names = [name("a"), name("b"), name("c"), name("d")];
        for round in 0..8 {
            propose_many(&mut sim, 10);
            let victim = &names[(seed + round) % names.len()];
            sim.cut.insert(victim.clone());
            sim.run(5 * SECOND);
            propose_many(&mut sim, 10);
            sim.cut.clear();
            sim.run(5 * SECOND);
        }
        sim.network = KIND;
        sim.run_until("all applied", is_applied_everywhere);
    }
}
