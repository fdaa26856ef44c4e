//! Whom a process asks that found the fleet at a contact which knew nobody else yet.

mod sim;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegwheel_membership::{
    Body, Gossip, Message, Options, Outgoing, PartitionPolicy, Record, Role, Seed, TICK,
};
use sim::{address, control_record, data_centre};

/// The control VM in the data centre of the process, and those in two others.
const CONTROL: [usize; 3] = [1, 2, 3];
/// The time within which a process takes a new version over, see docs/CAPACITY.md.
const IN_FORCE: Duration = Duration::from_secs(5);
/// A time long enough for the pauses of a settled process to show.
const LONG: Duration = Duration::from_secs(30);

/// A node that is the only seed of its data centre, beside one control VM there.
fn process(needs_lease: bool, data_centres: &[usize]) -> Gossip {
    Gossip::open(Options {
        name: Arc::from("node"),
        data_centre: data_centre(1),
        role: Role::Node,
        link: address(0),
        callers: None,
        platform: None,
        incarnation: 1,
        nonce: 5,
        seeds: vec![Seed {
            name: Arc::from("node"),
            link: address(0),
        }],
        contacts: CONTROL.map(address).to_vec(),
        data_centres: data_centres.iter().copied().map(data_centre).collect(),
        partition_policy: PartitionPolicy::Serve,
        needs_lease,
    })
}

fn control(host: usize) -> Record {
    control_record(host, data_centre(host))
}

/// Lets the process learn of these control VMs from the first of them, then run alone, and returns
/// the comparisons that it asks of others.
fn compared(mut gossip: Gossip, known: &[usize], time: Duration) -> Vec<SocketAddr> {
    let start = Instant::now();
    gossip.tick(start);
    let records = known.iter().map(|host| control(*host)).collect();
    let message = Message {
        version: 0,
        body: Body::Records(records),
    };
    gossip.receive(start, address(known[0]), message);
    let mut now = start;
    let mut compared = Vec::new();
    while now < start + time {
        now += TICK;
        let sent: Vec<Outgoing> = gossip.tick(now);
        let digests = sent
            .into_iter()
            .filter(|out| matches!(out.message.body, Body::Digest(_)));
        compared.extend(digests.map(|out| out.to));
    }
    compared
}

#[test]
fn one_that_knows_only_its_own_data_centre_looks_for_the_others_at_once() {
    for needs_lease in [true, false] {
        let compared = compared(process(needs_lease, &CONTROL), &[1], IN_FORCE);
        let others = [address(2), address(3)];
        assert!(
            compared.iter().any(|to| others.contains(to)),
            "with leases {needs_lease}: {compared:?}"
        );
    }
}

#[test]
fn one_that_knows_others_leaves_the_contacts_alone() {
    let compared = compared(process(true, &CONTROL), &[1, 2, 3], LONG);
    let contacted = compared.iter().filter(|to| **to == address(3)).count();
    let most = usize::try_from(LONG.as_secs() / 2).unwrap();
    assert!(
        contacted <= most,
        "{contacted} comparisons with one contact"
    );
}

#[test]
fn one_in_the_only_data_centre_does_not_look_for_others() {
    let compared = compared(process(false, &[1]), &[1], LONG);
    let contacted = compared.iter().filter(|to| **to != address(1)).count();
    let most = usize::try_from(LONG.as_secs() / 2).unwrap();
    assert!(contacted <= most, "{contacted} comparisons with contacts");
}
