//! Replicas on in-memory stores and a virtual clock.

mod sim;

use std::time::Duration;

use nutmegwheel_agreement::{
    Fault, ReplicaName,
    raft::{Change, RoleName},
};
use rand::Rng;
use sim::{LOSSY, RELIABLE, Sim, name, propose_many};

const THREE: [&str; 3] = ["a", "b", "c"];
const FIVE: [&str; 5] = ["a", "b", "c", "d", "e"];
const SECOND: Duration = Duration::from_secs(1);

fn start_cluster(seed: u64, names: &[&str]) -> (Sim, ReplicaName) {
    let mut sim = Sim::start(seed, names, RELIABLE);
    let leader = sim.wait_for_leader();
    (sim, leader)
}

#[test]
fn replicates_commits_to_all_replicas() {
    let (mut sim, _) = start_cluster(1, &THREE);
    propose_many(&mut sim, 20);
    sim.run_until("all applied", Sim::all_applied);
    assert_eq!(sim.committed.len(), 20);
}

#[test]
fn single_replica_bootstraps_and_commits() {
    let (mut sim, leader) = start_cluster(2, &["a"]);
    sim.propose(&leader);
    assert_eq!(sim.committed.len(), 1);
}

#[test]
fn waits_for_all_bootstrap_members() {
    let mut sim = Sim::start(3, &THREE, RELIABLE);
    sim.stop(&name("c"));
    sim.run(20 * SECOND);
    assert_eq!(sim.leader(), None);
    sim.restart(&name("c"));
    sim.run_until("a first leader", Sim::is_stable);
}

#[test]
fn member_does_not_bootstrap_again_after_disk_loss() {
    let (mut sim, _) = start_cluster(4, &THREE);
    propose_many(&mut sim, 5);
    sim.lose_disk(&name("a"));
    sim.restart(&name("a"));
    sim.run_until("the repair", Sim::all_applied);
    assert_eq!(sim.committed.len(), 5);
}

#[test]
fn cluster_does_not_bootstrap_again_with_one_disk_left() {
    let (mut sim, _) = start_cluster(5, &THREE);
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
fn five_replicas_survive_second_disk_loss_after_repair() {
    let (mut sim, leader) = start_cluster(6, &FIVE);
    propose_many(&mut sim, 50);
    let others: Vec<_> = sim.names().into_iter().filter(|n| *n != leader).collect();
    sim.lose_disk(&others[0]);
    propose_many(&mut sim, 50);
    sim.restart(&others[0]);
    let repaired = others[0].clone();
    sim.run_until("the repair", |s| {
        s.is_stable() && s.role(&repaired) == Some(RoleName::Follower)
    });
    sim.lose_disk(&leader);
    sim.run_until("another leader", |s| s.leader().is_some());
    propose_many(&mut sim, 50);
    sim.run_until("all applied", Sim::all_applied);
    assert!(sim.committed.len() >= 100);
}

#[test]
fn replica_does_not_vote_between_disk_loss_and_repair() {
    let (mut sim, leader) = start_cluster(7, &THREE);
    propose_many(&mut sim, 5);
    let others: Vec<_> = sim.names().into_iter().filter(|n| *n != leader).collect();
    sim.stop(&others[0]);
    propose_many(&mut sim, 5);
    sim.run(SECOND);
    // Only the leader and `others[1]` have the last commands now, and `others[1]` loses its disk.
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
fn unknown_replica_is_added_only_by_operator() {
    let (mut sim, leader) = start_cluster(8, &THREE);
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
fn partitioned_leader_steps_down_and_refuses_reads() {
    let (mut sim, leader) = start_cluster(9, &THREE);
    sim.partitioned.insert(leader.clone());
    sim.run(2 * SECOND);
    assert_ne!(sim.role(&leader), Some(RoleName::Leader));
    let refusals = sim.vm(&leader).refusals;
    sim.read(&leader);
    assert_eq!(sim.vm(&leader).refusals, refusals + 1);
    sim.run_until("another leader", |s| s.leader().is_some());
}

#[test]
fn rejoining_replica_does_not_depose_leader() {
    let (mut sim, leader) = start_cluster(10, &THREE);
    let other = sim.names().into_iter().find(|n| *n != leader).expect("one");
    sim.partitioned.insert(other.clone());
    sim.run(20 * SECOND);
    sim.partitioned.clear();
    sim.run(5 * SECOND);
    assert_eq!(sim.leader(), Some(leader));
    assert_eq!(sim.leaders.len(), 1);
}

#[test]
fn snapshots_bound_log_and_update_stopped_replica() {
    let mut sim = Sim::start_with(11, &THREE, RELIABLE, |options| {
        options.limits.snapshot_log_bytes = 2_000;
        options.limits.max_chunk_bytes = 100;
    });
    sim.run_until("a first leader", Sim::is_stable);
    let leader = sim.leader().expect("a leader");
    let stopped = sim.names().into_iter().find(|n| *n != leader).expect("one");
    sim.stop(&stopped);
    propose_many(&mut sim, 300);
    sim.restart(&stopped);
    sim.run_until("all applied", Sim::all_applied);
    assert_eq!(sim.committed.len(), 300);
    for vm in sim.vms.values() {
        let status = vm.replica.as_ref().expect("runs").status();
        assert!(status.log_bytes < 3_000, "{} bytes", status.log_bytes);
    }
}

#[test]
fn failed_write_acknowledges_nothing_and_recovers() {
    for fault in [Fault::Refused, Fault::Torn(1), Fault::Unacknowledged] {
        let (mut sim, leader) = start_cluster(12, &THREE);
        sim.fail_writes(&leader, &[fault; 2]);
        sim.propose(&leader);
        assert_eq!(sim.acknowledged, 0);
        assert_eq!(sim.vm(&leader).storage_failures, 1);
        let refusals = sim.vm(&leader).refusals;
        sim.propose(&leader);
        assert_eq!(sim.vm(&leader).refusals, refusals + 1);
        sim.run_until("recovery", Sim::all_applied);
        propose_many(&mut sim, 5);
        sim.run_until("all applied", Sim::all_applied);
    }
}

/// The counts of a run with faults, which show that it exercised commits, reads and disk losses.
struct ChaosRun {
    committed: usize,
    reads: usize,
    lost_disks: usize,
}

/// Runs a cluster under random faults, then repairs them and checks that every replica has applied
/// every committed command.
fn run_with_faults(seed: u64, names: &[&str]) -> ChaosRun {
    let mut sim = Sim::start_with(seed, names, LOSSY, |options| {
        options.limits.snapshot_log_bytes = 4_000;
        options.limits.max_chunk_bytes = 300;
    });
    let mut reads = Vec::new();
    sim.run_until("a first leader", Sim::is_stable);
    for _ in 0..6_000 {
        inject_fault(&mut sim);
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
    repair_all(&mut sim);
    sim.run_until("all applied after the repair", Sim::all_applied);
    for name in sim.names() {
        sim.assert_complete(&name);
    }
    ChaosRun {
        committed: sim.committed.len(),
        reads: sim.reads_checked,
        lost_disks: sim.lost_disks,
    }
}

fn inject_fault(sim: &mut Sim) {
    let names = sim.names();
    let any = names[sim.rng.random_range(0..names.len())].clone();
    match sim.rng.random_range(0..1_000) {
        0..3 => sim.restart(&any),
        3..6 if sim.partitioned.len() * 2 < names.len() => {
            sim.partitioned.insert(any);
        }
        6..12 => sim.partitioned.clear(),
        12 if sim.is_stable() => {
            sim.lose_disk(&any);
            sim.restart(&any);
        }
        13..16 => sim.fail_writes(&any, &[Fault::Refused, Fault::Unacknowledged]),
        _ => {}
    }
}

fn repair_all(sim: &mut Sim) {
    sim.partitioned.clear();
    sim.network = RELIABLE;
    for name in sim.names() {
        if sim.vm(&name).replica.is_none() {
            sim.restart(&name);
        }
    }
}

/// Checks that each answered read includes all commands acknowledged before it was requested.
fn check_reads(sim: &mut Sim, reads: &mut Vec<(ReplicaName, (u64, u64))>) {
    reads.retain(|(name, (id, bound))| match sim.vm(name).reads.remove(id) {
        Some(index) => {
            sim.reads_checked += 1;
            assert!(
                index >= *bound,
                "a read of {name} at {index} misses {bound}"
            );
            false
        }
        None => true,
    });
}

fn run_seeds(seeds: std::ops::Range<u64>, names: &[&str]) {
    let runs: Vec<ChaosRun> = seeds.map(|seed| run_with_faults(seed, names)).collect();
    let sum = |of: fn(&ChaosRun) -> usize| runs.iter().map(of).sum::<usize>();
    let [committed, reads, lost_disks] = [
        sum(|s| s.committed),
        sum(|s| s.reads),
        sum(|s| s.lost_disks),
    ];
    let count = runs.len();
    println!("{count} runs: {committed} commits, {reads} reads, {lost_disks} lost disks");
    assert!(committed > 0 && reads > 0 && lost_disks > 0);
}

#[test]
fn three_replicas_lose_nothing_under_random_faults() {
    run_seeds(0..12, &THREE);
}

#[test]
fn five_replicas_lose_nothing_under_random_faults() {
    run_seeds(100..108, &FIVE);
}
