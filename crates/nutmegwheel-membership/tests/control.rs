//! A seed leaves a control VM whose stamp stands still, and a cut-off data centre that is set to
//! refuse does so.

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

/// How soon a seed must have left a control VM whose stamp stands still.
const LEFT_WITHIN: Duration = Duration::from_secs(2);

/// What is wrong with a control VM.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// It answers, with the stamp that it had.
    StandsStill,
    /// It answers nothing.
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

/// A seed and the control VMs that it knows, of which one may be faulty.
struct Scene {
    gossip: Gossip,
    now: Instant,
    sequence: u64,
    faulty: Option<(SocketAddr, Fault, u64)>,
}

impl Scene {
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

    /// Lets a tick pass; the stamp of the control VMs moves on with each.
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
            Some((address, Fault::StandsStill, last)) if address == from => last,
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
fn a_control_vm_whose_stamp_stands_still_is_left() {
    for fault in [Fault::StandsStill, Fault::Silent] {
        for nonce in 0..20 {
            let mut scene = Scene::open(nonce);
            for _ in 0..50 {
                scene.step();
            }
            let first = scene.attached().expect("a control VM is attached");
            scene.faulty = Some((first, fault, scene.sequence));
            let since = scene.now;
            while scene.attached() == Some(first) {
                scene.step();
                let passed = scene.now - since;
                assert!(passed <= LEFT_WITHIN, "{fault:?}, nonce {nonce}");
            }
            for _ in 0..50 {
                scene.step();
                assert_ne!(scene.attached(), Some(first), "{fault:?}, nonce {nonce}");
            }
        }
    }
}

#[test]
fn a_control_vm_whose_stamp_goes_on_is_kept() {
    let mut scene = Scene::open(7);
    scene.step();
    let first = scene.attached();
    for _ in 0..200 {
        scene.step();
        assert_eq!(scene.attached(), first);
    }
}

#[test]
fn a_data_centre_that_is_set_to_refuse_does_so_when_cut_off() {
    const CENTRE: usize = 2;
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
    assert_eq!(sim.serving(CENTRE), (8, 8));
    sim.partition(CENTRE);
    sim.run_for(LIMIT.checked_sub(Duration::from_secs(2)).unwrap());
    assert_eq!(sim.serving(CENTRE), (8, 8));
    sim.run_for(Duration::from_secs(3));
    assert_eq!(sim.serving(CENTRE), (0, 8));
    let now = sim.instant();
    for process in sim.running() {
        let decision = process.gossip.decide(now);
        if process.data_centre == CENTRE {
            assert_eq!(decision, Decision::Fenced(FenceReason::CutOff));
        } else {
            assert_eq!(decision, Decision::Serve);
        }
    }
    sim.heal();
    sim.run_for(Duration::from_secs(5));
    assert_eq!(sim.serving(CENTRE), (8, 8));
}
