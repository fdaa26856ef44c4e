//! A small fleet on a virtual clock: propagation, partitions and older versions.

mod sim;

use std::time::Duration;

use nutmegwheel_membership::{Health, MemberStatus, Record, Role, WithdrawalState};
use sim::{Sim, Topology, configuration};

const TOPOLOGY: Topology = Topology {
    members: 24,
    data_centres: 3,
    control: 3,
    seed: 7,
};

fn converged() -> Sim {
    let mut sim = Sim::open(TOPOLOGY);
    sim.run_for(Duration::from_secs(20));
    assert!(sim.all_know_all_members());
    sim
}

#[test]
fn updates_reach_all_members_in_time() {
    let mut sim = converged();
    sim.publish(0, 2);
    let limit = Duration::from_secs(5);
    assert!(
        sim.run_until(limit, |sim| sim.all_have_version(2))
            .is_some()
    );
    sim.leave(20);
    let limit = Duration::from_secs(3);
    assert!(
        sim.run_until(limit, |sim| sim.all_members_see_leaving(20))
            .is_some()
    );
}

#[test]
fn ignores_older_configuration() {
    let mut sim = converged();
    sim.publish(0, 5);
    sim.run_for(Duration::from_secs(5));
    let now = sim.instant();
    sim.processes[9]
        .gossip
        .set_configuration(now, configuration(4));
    assert_eq!(sim.processes[9].gossip.freshness(now).version, 5);
}

#[test]
fn withdrawal_stays_pending_for_partitioned_data_centre() {
    let mut sim = converged();
    let key = [9; 32];
    sim.partition(2);
    sim.withdraw(0, key, true);
    sim.run_for(Duration::from_secs(10));
    let waiting_for = vec!["dc2".into()];
    let pending = WithdrawalState::Pending {
        committed: true,
        waiting_for,
    };
    assert_eq!(sim.processes[0].gossip.withdrawal_state(&key), pending);
    assert_eq!(sim.count_serving(2), (8, 8));
    assert_eq!(sim.counts.false_deaths, 0);
    sim.heal();
    sim.run_for(Duration::from_secs(15));
    let state = sim.processes[0].gossip.withdrawal_state(&key);
    assert_eq!(state, WithdrawalState::InForce);
}

/// Guards against a dead process staying alive on the partitioned side: anti-entropy does not
/// compare dead processes, so that side must learn of the crash in another way.
#[test]
fn crash_during_partition_reaches_both_sides() {
    let mut sim = converged();
    sim.partition(2);
    sim.crash(15);
    sim.run_for(Duration::from_secs(30));
    assert!(!sim.all_members_see_dead(15));
    sim.heal();
    let limit = Duration::from_secs(20);
    assert!(
        sim.run_until(limit, |sim| sim.all_members_see_dead(15))
            .is_some()
    );
    assert_eq!(sim.counts.false_deaths, 0);
}

#[test]
fn joining_process_learns_members_in_time() {
    let mut sim = converged();
    sim.restart(20);
    let limit = Duration::from_secs(1);
    let local = sim.run_until(limit, |sim| sim.knows_own_data_centre(20));
    assert!(local.is_some());
    let limit = Duration::from_secs(4);
    assert!(
        sim.run_until(limit, |sim| sim.knows_all_members(20))
            .is_some()
    );
}

/// Counts the ingress nodes from the records, to compare with the maintained count.
fn count_ingress_nodes(sim: &Sim, index: usize) -> usize {
    let has_left =
        |record: &Record| record.health == Health::Dead && record.status == MemberStatus::Leaving;
    let members = sim.processes[index].gossip.members();
    let nodes = members.filter(|record| record.role == Role::Node);
    nodes.filter(|record| !has_left(record)).count()
}

#[test]
fn ingress_count_excludes_only_left_nodes() {
    const NODES: usize = 21;
    let mut sim = converged();
    assert_eq!(sim.processes[0].gossip.ingress_nodes(), NODES);
    let now = sim.instant();
    let out = sim.processes[20].gossip.stop(now);
    sim.dispatch(20, out);
    sim.crash(20);
    sim.crash(21);
    sim.run_for(Duration::from_secs(10));
    for index in 0..20 {
        assert_eq!(
            sim.processes[index].gossip.ingress_nodes(),
            NODES - 1,
            "{index}"
        );
        assert_eq!(count_ingress_nodes(&sim, index), NODES - 1, "{index}");
    }
    // Longer than records of dead processes are kept.
    sim.run_for(Duration::from_mins(6));
    for index in 0..20 {
        assert_eq!(
            sim.processes[index].gossip.ingress_nodes(),
            count_ingress_nodes(&sim, index)
        );
    }
}
