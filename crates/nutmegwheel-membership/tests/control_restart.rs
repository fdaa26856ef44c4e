//! Nodes and control VMs find each other again after the control VMs were gone for so long that
//! they were declared dead.

mod sim;

use std::time::Duration;

use sim::{Sim, Topology};

const CONTROL: usize = 3;
/// Longer than suspicion and declaration of death take.
const OUTAGE: Duration = Duration::from_secs(5);
/// The time within which a confirmed version is in force on nodes in touch, docs/PLATFORM.md.
const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// The time within which news reaches every process of a fleet, docs/CAPACITY.md.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(5);
/// The time within which a node that has just started joins once its contacts run,
/// not counting the time to connect; see docs/OPERATORS.md, "First start".
const JOIN_LIMIT: Duration = Duration::from_millis(600);

/// How the processes of a fleet find each other.
#[derive(Clone, Copy, Debug)]
enum Discovery {
    /// The settings name only contacts.
    Contacts,
    /// The settings name the control VM of each data centre as its only seed.
    ControlSeeds,
}

fn converged(discovery: Discovery, seed: u64) -> Sim {
    let mut sim = Sim::open(Topology {
        members: 18,
        data_centres: 3,
        control: CONTROL,
        seed,
    });
    match discovery {
        Discovery::Contacts => sim.reopen_without_leases(),
        Discovery::ControlSeeds => sim.reopen_with_control_seeds(),
    }
    sim.run_for(Duration::from_secs(20));
    assert!(sim.all_know_all_members(), "seed {seed}");
    sim
}

fn restart_after_outage(sim: &mut Sim, hosts: impl Iterator<Item = usize> + Clone) {
    hosts.clone().for_each(|host| sim.crash(host));
    sim.run_for(OUTAGE);
    hosts.for_each(|host| sim.restart(host));
}

// Guards against CONFIG: control VMs that all restarted knew no node and no node polled them, so
// confirmed versions reached no node for up to 10 s.
#[test]
fn version_of_restarted_control_vms_is_in_force_in_time() {
    for seed in 0..20 {
        let mut sim = converged(Discovery::Contacts, seed);
        // Outages at different phases of the periodic exchanges.
        sim.run_for(Duration::from_millis(470) * u32::try_from(seed).unwrap());
        restart_after_outage(&mut sim, 0..CONTROL);
        sim.publish(0, 2);
        let applied = sim.run_until(APPLY_LIMIT, |sim| sim.all_have_version(2));
        assert!(applied.is_some(), "seed {seed}");
    }
}

// Guards against CONFIG: a node that knows only a control VM without the newest version does not
// look for the others.
#[test]
fn version_of_restarted_majority_is_in_force_beside_stale_control_vm() {
    for seed in 0..20 {
        let mut sim = converged(Discovery::Contacts, seed);
        let stale = CONTROL - 1;
        (0..stale).for_each(|host| sim.cut_pair(host, stale));
        restart_after_outage(&mut sim, 0..stale);
        sim.publish(0, 2);
        let nodes = CONTROL..sim.processes.len();
        let applied = sim.run_until(APPLY_LIMIT, |sim| {
            nodes.clone().all(|node| sim.has_version(node, 2))
        });
        assert!(applied.is_some(), "seed {seed}");
    }
}

// Guards against a fleet that stays split into nodes and restarted control VMs for good.
#[test]
fn restarted_control_vms_know_all_members_in_time() {
    for discovery in [Discovery::Contacts, Discovery::ControlSeeds] {
        for seed in 0..20 {
            let mut sim = converged(discovery, seed);
            restart_after_outage(&mut sim, 0..CONTROL);
            let known = sim.run_until(PROPAGATION_LIMIT, Sim::all_know_all_members);
            assert!(known.is_some(), "{discovery:?}, seed {seed}");
        }
    }
}

// Guards against requests that are refused for a second after a loss of power, since nodes started a
// moment before the control VMs and asked again only after a fixed interval.
#[test]
fn nodes_that_start_before_control_vms_join_soon_after_them() {
    for seed in 0..20 {
        let mut sim = converged(Discovery::Contacts, seed);
        let nodes = CONTROL..sim.processes.len();
        (0..nodes.end).for_each(|host| sim.crash(host));
        sim.run_for(Duration::from_secs(1));
        nodes.for_each(|node| sim.restart(node));
        sim.run_for(Duration::from_millis(280 + 10 * seed));
        (0..CONTROL).for_each(|host| sim.restart(host));
        (0..CONTROL).for_each(|host| sim.publish(host, 2));
        let joined = sim.run_until(JOIN_LIMIT, |sim| sim.all_have_version(2));
        assert!(joined.is_some(), "seed {seed}");
    }
}
