//! Whole replicas over the in-memory store, on a virtual clock.

mod sim;

use std::time::Duration;

use nutmegwheel_agreement::{
    Fault, ReplicaName,
    raft::{Change, RoleName},
};
use rand::Rng;
use sim::{HARSH, KIND, Sim, name, propose_many};

const THREE: [&str; 3] = ["a", "b", "c"];
const FIVE: [&str; 5] = ["a", "b", "c", "d", "e"];
const SECOND: Duration = Duration::from_secs(1);

fn settled(seed: u64, names: &[&str]) -> (Sim, ReplicaName) {
    let mut sim = Sim::start(seed, names, KIND);
    let leader = sim.settle();
    (sim, leader)
}

#[test]
fn commits_reach_every_replica() {
    let (mut sim, _) = settled(1, &THREE);
    propose_many(&mut sim, 20);
    sim.run_until("all applied", Sim::all_applied);
    assert_eq!(sim.committed.len(), 20);
}

#[test]
fn a_single_replica_founds_and_commits() {
    let (mut sim, leader) = settled(2, &["a"]);
    sim.propose(&leader);
    assert_eq!(sim.committed.len(), 1);
}

#[test]
fn nothing_is_founded_before_all_founding_members_are_there() {
    let mut sim = Sim::start(3, &THREE, KIND);
    sim.stop(&name("c"));
    sim.run(20 * SECOND);
    assert_eq!(sim.leader(), None);
    sim.restart(&name("c"));
    sim.run_until("a first leader", Sim::is_settled);
}

#[test]
fn a_founder_that_lost_its_disk_founds_no_second_cluster() {
    let (mut sim, _) = settled(4, &THREE);
    propose_many(&mut sim, 5);
    sim.lose_disk(&name("a"));
    sim.restart(&name("a"));
    sim.run_until("the repair", Sim::all_applied);
    assert_eq!(sim.committed.len(), 5);
}

#[test]
fn with_all_but_one_disk_lost_nothing_is_founded_anew() {
    let (mut sim, _) = settled(5, &THREE);
    propose_many(&mut sim, 5);
    sim.run_until("all applied", Sim::all_applied);
    for lost in ["a", "b"] {
        sim.lose_disk(&name(lost));
        sim.restart(&name(lost));
    }
    sim.run(30 * SECOND);
    assert_eq!(sim.leader(), None);
}

#[test]
fn a_second_vm_lost_right_after_a_repair_of_five_loses_nothing() {
    let (mut sim, leader) = settled(6, &FIVE);
    propose_many(&mut sim, 50);
    let others: Vec<_> = sim.names().into_iter().filter(|n| *n != leader).collect();
    sim.lose_disk(&others[0]);
    propose_many(&mut sim, 50);
    sim.restart(&others[0]);
    let repaired = others[0].clone();
    sim.run_until("the repair", |s| {
        s.is_settled() && s.role(&repaired) == Some(RoleName::Follower)
    });
    sim.lose_disk(&leader);
    sim.run_until("another leader", |s| s.leader().is_some());
    propose_many(&mut sim, 50);
    sim.run_until("all applied", Sim::all_applied);
    assert!(sim.committed.len() >= 100);
}

#[test]
fn a_replica_that_lost_its_disk_does_not_vote_until_it_has_caught_up() {
    let (mut sim, leader) = settled(7, &THREE);
    propose_many(&mut sim, 5);
    let others: Vec<_> = sim.names().into_iter().filter(|n| *n != leader).collect();
    sim.stop(&others[0]);
    propose_many(&mut sim, 5);
    sim.run(SECOND);
    // Only the leader and the other one hold the last commands now; one of them loses its disk.
    sim.stop(&leader);
    sim.lose_disk(&others[1]);
    sim.restart(&others[0]);
    sim.restart(&others[1]);
    sim.run(30 * SECOND);
    assert_eq!(sim.leader(), None);
    sim.restart(&leader);
    sim.run_until("the repair", Sim::all_applied);
    assert_eq!(sim.committed.len(), 10);
}

#[test]
fn a_new_name_waits_for_an_operator() {
    let (mut sim, leader) = settled(8, &THREE);
    propose_many(&mut sim, 5);
    let new = name("d");
    sim.add(&new);
    sim.run(10 * SECOND);
    assert_eq!(sim.role(&new), Some(RoleName::Outsider));
    let id = sim.vm(&new).replica.as_ref().expect("runs").status().id;
    sim.step(
        &leader,
        nutmegwheel_agreement::Input::Change(Change::AddLearner(id)),
    );
    sim.run_until("the admission", |s| {
        s.role(&new) == Some(RoleName::Follower)
    });
    sim.run_until("all applied", Sim::all_applied);
    sim.step(
        &leader,
        nutmegwheel_agreement::Input::Change(Change::Remove(leader.clone())),
    );
    sim.run_until("another leader", |s| {
        s.leader().is_some_and(|l| l != leader)
    });
}

#[test]
fn an_isolated_leader_steps_down_and_its_reads_wait() {
    let (mut sim, leader) = settled(9, &THREE);
    sim.cut.insert(leader.clone());
    sim.run(2 * SECOND);
    assert_ne!(sim.role(&leader), Some(RoleName::Leader));
    let refused = sim.vm(&leader).refused;
    sim.read(&leader);
    assert_eq!(sim.vm(&leader).refused, refused + 1);
    sim.run_until("another leader", |s| s.leader().is_some());
}

#[test]
fn a_replica_that_was_cut_off_does_not_depose_the_leader() {
    let (mut sim, leader) = settled(10, &THREE);
    let other = sim.names().into_iter().find(|n| *n != leader).expect("one");
    sim.cut.insert(other.clone());
    sim.run(20 * SECOND);
    sim.cut.clear();
    sim.run(5 * SECOND);
    assert_eq!(sim.leader(), Some(leader));
    assert_eq!(sim.leaders.len(), 1);
}

#[test]
fn snapshots_bound_the_log_and_bring_up_who_was_away() {
    let mut sim = Sim::start_with(11, &THREE, KIND, |options| {
        options.limits.snapshot_log_bytes = 2_000;
        options.limits.max_chunk_bytes = 100;
    });
    sim.run_until("a first leader", Sim::is_settled);
    let leader = sim.leader().expect("a leader");
    let away = sim.names().into_iter().find(|n| *n != leader).expect("one");
    sim.stop(&away);
    propose_many(&mut sim, 300);
    sim.restart(&away);
    sim.run_until("all applied", Sim::all_applied);
    assert_eq!(sim.committed.len(), 300);
    for vm in sim.vms.values() {
        let status = vm.replica.as_ref().expect("runs").status();
        assert!(status.log_bytes < 3_000, "{} bytes", status.log_bytes);
    }
}

#[test]
fn a_store_that_refuses_writes_promises_nothing_and_recovers() {
    for fault in [Fault::Refused, Fault::Torn(1), Fault::Unacknowledged] {
        let (mut sim, leader) = settled(12, &THREE);
        sim.fail_writes(&leader, &[fault; 2]);
        sim.propose(&leader);
        assert_eq!(sim.acknowledged, 0);
        assert_eq!(sim.vm(&leader).storage_failures, 1);
        let refused = sim.vm(&leader).refused;
        sim.propose(&leader);
        assert_eq!(sim.vm(&leader).refused, refused + 1);
        sim.run_until("recovery", Sim::all_applied);
        propose_many(&mut sim, 5);
        sim.run_until("all applied", Sim::all_applied);
    }
}

/// What happened in a seeded run.
struct Storm {
    committed: usize,
    reads: usize,
    disks: usize,
}

/// One seeded run with everything that fails, then healing and a whole state everywhere.
fn storm(seed: u64, names: &[&str]) -> Storm {
    let mut sim = Sim::start_with(seed, names, HARSH, |options| {
        options.limits.snapshot_log_bytes = 4_000;
        options.limits.max_chunk_bytes = 300;
    });
    let mut reads = Vec::new();
    sim.run_until("a first leader", Sim::is_settled);
    for _ in 0..6_000 {
        disturb(&mut sim);
        let all = sim.names();
        let any = all[sim.rng.random_range(0..all.len())].clone();
        match sim.rng.random_range(0..10) {
            0..3 => {
                sim.propose(&any);
            }
            3 => reads.push((any.clone(), sim.read(&any))),
            _ => {}
        }
        sim.tick();
        check_reads(&mut sim, &mut reads);
    }
    heal(&mut sim);
    sim.run_until("healing", Sim::all_applied);
    for name in sim.names() {
        sim.assert_complete(&name);
    }
    Storm {
        committed: sim.committed.len(),
        reads: sim.reads_checked,
        disks: sim.lost_disks,
    }
}

fn disturb(sim: &mut Sim) {
    let names = sim.names();
    let any = names[sim.rng.random_range(0..names.len())].clone();
    match sim.rng.random_range(0..1_000) {
        0..3 => sim.restart(&any),
        3..6 if sim.cut.len() * 2 < names.len() => {
            sim.cut.insert(any);
        }
        6..12 => sim.cut.clear(),
        12 if sim.is_settled() => {
            sim.lose_disk(&any);
            sim.restart(&any);
        }
        13..16 => sim.fail_writes(&any, &[Fault::Refused, Fault::Unacknowledged]),
        _ => {}
    }
}

fn heal(sim: &mut Sim) {
    sim.cut.clear();
    sim.network = KIND;
    for name in sim.names() {
        if sim.vm(&name).replica.is_none() {
            sim.restart(&name);
        }
    }
}

/// A read must include everything acknowledged before it was asked.
fn check_reads(sim: &mut Sim, reads: &mut Vec<(ReplicaName, (u64, u64))>) {
    reads.retain(|(name, (id, floor))| match sim.vm(name).reads.remove(id) {
        Some(index) => {
            sim.reads_checked += 1;
            assert!(
                index >= *floor,
                "a read of {name} at {index} misses {floor}"
            );
            false
        }
        None => true,
    });
}

fn storms(seeds: std::ops::Range<u64>, names: &[&str]) {
    let runs: Vec<Storm> = seeds.map(|seed| storm(seed, names)).collect();
    let sum = |of: fn(&Storm) -> usize| runs.iter().map(of).sum::<usize>();
    let [committed, reads, disks] = [sum(|s| s.committed), sum(|s| s.reads), sum(|s| s.disks)];
    let count = runs.len();
    println!("{count} runs: {committed} commits, {reads} reads, {disks} lost disks");
    assert!(committed > 0 && reads > 0 && disks > 0);
}

#[test]
fn seeded_storms_of_three_lose_nothing() {
    storms(0..12, &THREE);
}

#[test]
fn seeded_storms_of_five_lose_nothing() {
    storms(100..108, &FIVE);
}
