//! A seed switches to another control VM when the heartbeat stalls, and a partitioned data centre
//! refuses keyed work if configured to.

mod sim;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegwheel_membership::freshness::{Decision, FenceReason};
use nutmegwheel_membership::{
    AgedHeartbeat, Body, Confirmation, ControlHeartbeat, Gossip, Message, Options, Outgoing,
    PartitionPolicy, Record, Renew, Role, Seed, TICK,
};
use sim::{Sim, Topology, address, control_record};

/// The time within which a seed must switch to another control VM after the heartbeat stalled.
const SWITCH_TIMEOUT: Duration = Duration::from_secs(2);

/// A fault of a control VM.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// It answers with the heartbeat from before the fault.
    Stalled,
    /// It does not answer.
    Silent,
}

fn control(host: usize) -> Record {
    control_record(host, Arc::from("dc1"))
}

fn seed(nonce: u64) -> Gossip {
    let own = Seed {
        name: Arc::from("seed"),
        link: address(1),
    };
    Gossip::open(Options {
        name: own.name.clone(),
        data_centre: Arc::from("dc0"),
        role: Role::Node,
        link: own.link,
        callers: None,
        platform: None,
        incarnation: 1,
        nonce,
        seeds: vec![own],
        contacts: Vec::new(),
        data_centres: Vec::new(),
        partition_policy: PartitionPolicy::Serve,
        needs_lease: true,
    })
}

/// A seed with the control VMs that it knows, one of which may be faulty.
struct Fixture {
    gossip: Gossip,
    now: Instant,
    sequence: u64,
    faulty: Option<(SocketAddr, Fault, u64)>,
}

impl Fixture {
    fn open(nonce: u64) -> Self {
        let mut gossip = seed(nonce);
        let now = Instant::now();
        let records = [2, 3, 4].map(control).to_vec();
        let body = Body::Records(records);
        gossip.receive(now, address(2), Message { version: 0, body });
        Self {
            gossip,
            now,
            sequence: 0,
            faulty: None,
        }
    }

    fn attached(&self) -> Option<SocketAddr> {
        self.gossip.freshness(self.now).attached
    }

    /// Runs one tick, with a newer heartbeat of the control VMs.
    fn step(&mut self) {
        self.now += TICK;
        self.sequence += 1;
        for Outgoing { to, message } in self.gossip.tick(self.now) {
            if let Body::Renew(renew) = message.body
                && let Some(answer) = self.answer(to, renew)
            {
                self.gossip.receive(self.now, to, answer);
            }
        }
    }

    fn answer(&self, from: SocketAddr, renew: Renew) -> Option<Message> {
        let sequence = match self.faulty {
            Some((address, Fault::Silent, _)) if address == from => return None,
            Some((address, Fault::Stalled, last)) if address == from => last,
            _ => self.sequence,
        };
        let heartbeat = ControlHeartbeat { term: 1, sequence };
        let body = Body::Confirmation(Confirmation {
            sequence: renew.sequence,
            synced: true,
            authority: true,
            version: 0,
            log_id: u64::from(from.port()),
            count: 0,
            digest: 0,
            heartbeat: Some(AgedHeartbeat {
                heartbeat,
                age_ms: 0,
            }),
        });
        Some(Message { version: 0, body })
    }
}

#[test]
fn switches_control_vm_when_heartbeat_stalls() {
    for fault in [Fault::Stalled, Fault::Silent] {
        for nonce in 0..20 {
            let mut fixture = Fixture::open(nonce);
            for _ in 0..50 {
                fixture.step();
            }
            let first = fixture.attached().expect("a control VM is attached");
            fixture.faulty = Some((first, fault, fixture.sequence));
            let since = fixture.now;
            while fixture.attached() == Some(first) {
                fixture.step();
                let passed = fixture.now - since;
                assert!(passed <= SWITCH_TIMEOUT, "{fault:?}, nonce {nonce}");
            }
            for _ in 0..50 {
                fixture.step();
                assert_ne!(fixture.attached(), Some(first), "{fault:?}, nonce {nonce}");
            }
        }
    }
}

#[test]
fn stays_attached_while_heartbeat_advances() {
    let mut fixture = Fixture::open(7);
    fixture.step();
    let first = fixture.attached();
    for _ in 0..200 {
        fixture.step();
        assert_eq!(fixture.attached(), first);
    }
}

#[test]
fn partitioned_data_centre_refuses_if_configured() {
    const DATA_CENTRE: usize = 2;
    const LIMIT: Duration = Duration::from_secs(5);
    let mut sim = Sim::open(Topology {
        members: 24,
        data_centres: 3,
        control: 2,
        seed: 7,
    });
    for process in &mut sim.processes {
        process
            .gossip
            .set_partition_policy(PartitionPolicy::RefuseAfter(LIMIT));
    }
    sim.run_for(Duration::from_secs(20));
    assert_eq!(sim.count_serving(DATA_CENTRE), (8, 8));
    sim.partition(DATA_CENTRE);
    sim.run_for(LIMIT.checked_sub(Duration::from_secs(2)).unwrap());
    assert_eq!(sim.count_serving(DATA_CENTRE), (8, 8));
    sim.run_for(Duration::from_secs(3));
    assert_eq!(sim.count_serving(DATA_CENTRE), (0, 8));
    let now = sim.instant();
    for process in sim.running() {
        let decision = process.gossip.decide(now);
        if process.data_centre == DATA_CENTRE {
            assert_eq!(decision, Decision::Fenced(FenceReason::CutOff));
        } else {
            assert_eq!(decision, Decision::Serve);
        }
    }
    sim.heal();
    sim.run_for(Duration::from_secs(5));
    assert_eq!(sim.count_serving(DATA_CENTRE), (8, 8));
}
