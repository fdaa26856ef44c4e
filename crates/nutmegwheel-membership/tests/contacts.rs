//! Anti-entropy of a process that joined through a contact which knew no other data centre yet.

mod sim;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegwheel_membership::{
    Body, Gossip, Message, Options, Outgoing, PartitionPolicy, Record, Role, Seed, TICK,
};
use sim::{address, control_record, data_centre};

/// The hosts of three control VMs; the first is in the data centre of the process.
const CONTROL: [usize; 3] = [1, 2, 3];
/// The maximum time until a process receives a new version, see docs/CAPACITY.md.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(5);
/// Long enough to distinguish the contact interval of a converged process from that of an isolated
/// one.
const OBSERVATION_TIME: Duration = Duration::from_secs(30);

/// A node that is the only seed of its data centre, with one control VM there.
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

/// Sends the records of the `known` control VMs to the process, which answer its probes and nothing
/// else, and returns the peers to which it sent digests.
fn anti_entropy_targets(mut gossip: Gossip, known: &[usize], time: Duration) -> Vec<SocketAddr> {
    let start = Instant::now();
    gossip.tick(start);
    let records = known.iter().map(|host| control(*host)).collect();
    let message = Message {
        version: 0,
        body: Body::Records(records),
    };
    gossip.receive(start, address(known[0]), message);
    let mut now = start;
    let mut targets = Vec::new();
    while now < start + time {
        now += TICK;
        for Outgoing { to, message } in gossip.tick(now) {
            match message.body {
                Body::Digest(_) => targets.push(to),
                Body::Ping { sequence, .. } => {
                    let records = Vec::new();
                    let body = Body::Ack { sequence, records };
                    gossip.receive(now, to, Message { version: 0, body });
                }
                _ => {}
            }
        }
    }
    targets
}

#[test]
fn contacts_other_data_centres_while_none_is_known() {
    for needs_lease in [true, false] {
        let targets = anti_entropy_targets(process(needs_lease, &CONTROL), &[1], PROPAGATION_LIMIT);
        let others = [address(2), address(3)];
        assert!(
            targets.iter().any(|to| others.contains(to)),
            "with leases {needs_lease}: {targets:?}"
        );
    }
}

#[test]
fn rarely_contacts_known_data_centres() {
    let targets = anti_entropy_targets(process(true, &CONTROL), &[1, 2, 3], OBSERVATION_TIME);
    let contacted = targets.iter().filter(|to| **to == address(3)).count();
    let max_contacts = usize::try_from(OBSERVATION_TIME.as_secs() / 2).unwrap();
    assert!(
        contacted <= max_contacts,
        "{contacted} digests to one contact"
    );
}

#[test]
fn rarely_contacts_others_in_single_data_centre() {
    let targets = anti_entropy_targets(process(false, &[1]), &[1], OBSERVATION_TIME);
    let contacted = targets.iter().filter(|to| **to != address(1)).count();
    let max_contacts = usize::try_from(OBSERVATION_TIME.as_secs() / 2).unwrap();
    assert!(contacted <= max_contacts, "{contacted} digests to contacts");
}

// Guards against failed connections at the start of a fleet, which delay the first calls to peers
// that start at the same time.
#[test]
fn contacts_one_process_at_a_time_before_it_has_joined() {
    for needs_lease in [true, false] {
        let mut gossip = process(needs_lease, &CONTROL);
        let start = Instant::now();
        let mut now = start;
        let mut digests = 0;
        while now < start + PROPAGATION_LIMIT {
            let sent = gossip.tick(now).into_iter();
            digests += sent
                .filter(|out| matches!(out.message.body, Body::Digest(_)))
                .count();
            now += TICK;
        }
        let seconds = usize::try_from(PROPAGATION_LIMIT.as_secs()).unwrap();
        assert!(digests <= seconds, "with leases {needs_lease}: {digests}");
    }
}
