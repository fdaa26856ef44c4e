//! Exhaustive check of docs/spec/CLAIMS.md with the real decision code: three seeds, racing attempts,
//! a seed's restart, lost, late and doubled messages, the fence and a retry run a request at most once.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    hash::{Hash, Hasher},
    time::{Duration, Instant},
};

use nutmegwheel_claims::{
    AttemptId, Phase, Target,
    claim::{CLAIM_TIMEOUT, Claim, Options, State},
    messages::{ClaimReply, ClaimRequest, RecoverReply, RecoverRequest, Update},
    seed::{self, Bounds, Seed},
    started::{self, Arrival, Fence, Started},
};
use nutmegwheel_types::ProcessName;
use pathfinding::prelude::{bfs, bfs_reach};

const SEEDS: [&str; 3] = ["s1", "s2", "s3"];
/// The first two attempts race; the third is the first one's retry at the second one's target.
const TARGETS: [usize; 3] = [0, 1, 1];

/// What the check should find fault with.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The restarted seed grants at once.
    NoRecovery,
    /// Doors do not hear of the restart of other seeds.
    NoLives,
    /// The door believes "not run" without a fence.
    NoFence,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Message {
    Request(usize, ClaimRequest),
    Reply(usize, usize, ClaimReply),
    Run(usize),
    Released(usize, Update),
    Recover(usize, RecoverRequest),
    Recovered(usize, RecoverReply),
}

#[derive(Clone, Debug)]
struct World {
    depth: usize,
    step: String,
    seeds: Vec<Seed>,
    nodes: Vec<Started>,
    claims: BTreeMap<usize, Claim>,
    messages: Vec<Message>,
    sent: BTreeSet<usize>,
    over: BTreeSet<usize>,
    runs: usize,
    restarts: usize,
    doubles: usize,
}

impl World {
    #[expect(
        clippy::type_complexity,
        reason = "the parts that make up the state, in one place"
    )]
    fn parts(
        &self,
    ) -> (
        (&[Seed], &[Started], &BTreeMap<usize, Claim>, &[Message]),
        (&BTreeSet<usize>, &BTreeSet<usize>, usize, usize, usize),
    ) {
        (
            (&self.seeds, &self.nodes, &self.claims, &self.messages),
            (
                &self.sent,
                &self.over,
                self.runs,
                self.restarts,
                self.doubles,
            ),
        )
    }
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.parts() == other.parts()
    }
}
impl Eq for World {}
impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.parts().hash(state);
    }
}

struct Check {
    now: Instant,
    fault: Fault,
}

fn attempt(index: usize) -> AttemptId {
    let door: ProcessName = if index == 1 { "d2" } else { "d1" }.into();
    AttemptId {
        door,
        incarnation: 1,
        number: index as u64 + 1,
    }
}

impl Check {
    fn new(fault: Fault) -> Self {
        Check {
            now: Instant::now() + Duration::from_hours(1),
            fault,
        }
    }

    fn seed(&self, index: usize, incarnation: u64) -> Seed {
        let seeds = SEEDS.map(ProcessName::from).to_vec();
        let (name, bounds) = (SEEDS[index].into(), Bounds::default());
        Seed::open(seed::Options {
            name,
            incarnation,
            seeds,
            generation: 1,
            bounds,
            now: self.now,
        })
    }

    fn start(&self) -> World {
        let mut seeds: Vec<_> = (0..SEEDS.len()).map(|i| self.seed(i, 1)).collect();
        for seed in &mut seeds {
            seed.first_start();
        }
        let retention = started::RETENTION;
        let node = Started::open(started::Options {
            incarnation: 1,
            capacity: 9,
            retention,
        });
        let mut world = World {
            depth: 0,
            step: "start".into(),
            seeds,
            nodes: vec![node.clone(), node],
            claims: BTreeMap::new(),
            messages: Vec::new(),
            sent: BTreeSet::new(),
            over: BTreeSet::new(),
            runs: 0,
            restarts: 1,
            doubles: 1,
        };
        self.open(&mut world, 0, None);
        self.open(&mut world, 1, None);
        world.settle();
        world
    }

    fn open(&self, world: &mut World, index: usize, replaces: Option<AttemptId>) {
        let (claim, req) = Claim::open(Options {
            id: [7; 32],
            attempt: attempt(index),
            target: target(index),
            replaces,
            seeds: SEEDS.map(ProcessName::from).into(),
            generation: 1,
            now: self.now,
        });
        world.claims.insert(index, claim);
        world
            .messages
            .extend((0..SEEDS.len()).map(|s| Message::Request(s, req.clone())));
    }

    fn next(&self, world: &World) -> Vec<World> {
        let mut next = Vec::new();
        for (i, message) in world.messages.iter().enumerate() {
            let mut to = world.clone();
            to.messages.remove(i);
            self.deliver(&mut to, message.clone());
            if world.doubles > 0 && is_request(message) {
                let mut doubled = to.clone();
                doubled.doubles -= 1;
                doubled.messages.push(message.clone());
                push(
                    &mut next,
                    doubled,
                    format!("deliver {message:?}, a copy is under way"),
                );
            }
            push(&mut next, to, format!("deliver {message:?}"));
        }
        if world.restarts > 0 {
            push(&mut next, self.restart(world), "seed s1 restarts".into());
        }
        for index in world.claims.keys() {
            if !world.over.contains(index) {
                self.give_up(world, *index, &mut next);
            }
        }
        next
    }

    fn deliver(&self, world: &mut World, message: Message) {
        match message {
            Message::Request(seed, req) => {
                let index = usize::try_from(req.attempt.number - 1).unwrap();
                let mut reply = world.seeds[seed].claim(&req, self.now);
                if self.fault == Fault::NoLives {
                    reply.peers.clear();
                }
                world.messages.push(Message::Reply(index, seed, reply));
            }
            Message::Reply(index, seed, reply) => {
                let claim = world.claims.get_mut(&index).unwrap();
                let is_pending = *claim.state() == State::Pending;
                let state = claim.reply(&SEEDS[seed].into(), reply, self.now).clone();
                if is_pending && state == State::Held {
                    world.sent.insert(index);
                    world.messages.push(Message::Run(index));
                } else if is_pending && state != State::Pending {
                    release(world, index);
                }
            }
            Message::Run(index) => {
                let node = &mut world.nodes[TARGETS[index]];
                world.runs +=
                    usize::from(node.arrive(&attempt(index), 1, self.now) == Arrival::Run);
            }
            Message::Released(seed, update) => world.seeds[seed].update(update, self.now),
            Message::Recover(seed, req) => {
                if let Some(reply) = world.seeds[seed].recover(&req, self.now) {
                    world.messages.push(Message::Recovered(seed, reply));
                }
            }
            Message::Recovered(seed, reply) => {
                world.seeds[0].recovered(&SEEDS[seed].into(), reply, self.now);
            }
        }
    }

    fn restart(&self, world: &World) -> World {
        let mut to = world.clone();
        to.restarts -= 1;
        to.seeds[0] = self.seed(0, 2);
        if self.fault == Fault::NoRecovery {
            to.seeds[0].first_start();
        }
        for (name, req) in to.seeds[0].recover_requests() {
            let seed = SEEDS.iter().position(|s| **s == *name).unwrap();
            to.messages.push(Message::Recover(seed, req));
        }
        to
    }

    /// The door waits no longer: for the seeds, or for the target, which it then asks for a fence.
    fn give_up(&self, world: &World, index: usize, next: &mut Vec<World>) {
        let mut to = world.clone();
        if to.sent.contains(&index) {
            let node = &mut to.nodes[TARGETS[index]];
            let fence = if self.fault == Fault::NoFence {
                Fence::NotRun
            } else {
                node.fence(&attempt(index), 1, self.now)
            };
            if fence != Fence::NotRun {
                return;
            }
            release(&mut to, index);
            if index == 0 {
                self.open(&mut to, 2, Some(attempt(0)));
            }
        } else {
            to.claims
                .get_mut(&index)
                .unwrap()
                .tick(self.now + CLAIM_TIMEOUT);
            release(&mut to, index);
        }
        push(next, to, format!("attempt {} gives up", index + 1));
    }

    fn check(&self) -> (usize, usize) {
        let mut depth = 0;
        let states = bfs_reach(self.start(), |w| self.next(w));
        let count = states.inspect(|w| {
            assert!(w.runs <= 1, "{}", w.step);
            depth = depth.max(w.depth);
        });
        (count.count(), depth)
    }

    fn counterexample(&self) -> Vec<World> {
        bfs(&self.start(), |w| self.next(w), |w| w.runs > 1).expect("the fault was not found")
    }
}

impl World {
    /// Messages have no order, so that two orders of sending are one state.
    fn settle(&mut self) {
        // Nobody listens any more to answers for an attempt that is decided.
        let claims = &self.claims;
        self.messages.retain(|m| match m {
            Message::Reply(index, ..) => *claims[index].state() == State::Pending,
            _ => true,
        });
        self.messages.sort_by_cached_key(|m| format!("{m:?}"));
    }
}

fn target(index: usize) -> Target {
    Target {
        node: ["x", "y"][TARGETS[index]].into(),
        incarnation: 1,
    }
}

fn is_request(message: &Message) -> bool {
    matches!(message, Message::Request(..) | Message::Run(_))
}

fn release(world: &mut World, index: usize) {
    world.over.insert(index);
    let update = Update {
        id: [7; 32],
        attempt: attempt(index),
        phase: Phase::Released,
    };
    world
        .messages
        .extend((0..SEEDS.len()).map(|s| Message::Released(s, update.clone())));
}

fn push(next: &mut Vec<World>, mut world: World, step: String) {
    world.depth += 1;
    world.step = step;
    world.settle();
    next.push(world);
}

fn shortest_trace(fault: Fault, steps: usize) {
    let trace: VecDeque<_> = Check::new(fault).counterexample().into();
    for world in &trace {
        println!("{:2} {}", world.depth, world.step);
    }
    assert_eq!(trace.len() - 1, steps);
}

#[test]
fn a_request_runs_at_most_once() {
    let (states, depth) = Check::new(Fault::None).check();
    println!("claims: {states} states, depth {depth}");
}

#[test]
fn a_seed_that_forgets_its_claims_is_caught() {
    shortest_trace(Fault::NoRecovery, 0);
}

#[test]
fn a_grant_of_an_earlier_life_is_caught() {
    shortest_trace(Fault::NoLives, 0);
}

#[test]
fn a_missing_fence_is_caught() {
    shortest_trace(Fault::NoFence, 0);
}
