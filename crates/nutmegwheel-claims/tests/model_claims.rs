//! Exhaustive check of docs/spec/CLAIMS.md with the real decision code: three seeds, racing attempts,
//! a seed's restart, lost, late and doubled messages, the fence and a retry run a request at most once.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    rc::Rc,
    time::{Duration, Instant},
};

use nutmegwheel_claims::{
    AttemptId, Phase, Target,
    attempt_log::{self, AttemptLog, FenceOutcome, StartOutcome},
    claim::{CLAIM_TIMEOUT, Claim, Options, State},
    messages::{ClaimReply, ClaimRequest, RecoverReply, RecoverRequest, Update},
    store::{self, Bounds, ClaimStore},
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
    NoPeerIncarnations,
    /// The door believes "not run" without a fence.
    NoFence,
}

/// Which attempts there are; each scenario is explored whole.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Scenario {
    /// Two doors race for the request.
    Race,
    /// One door gives up an attempt that it has sent, and tries again elsewhere.
    Retry,
    /// The same without a restart, but with an answer that is late and a message that is doubled.
    Duplicate,
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

/// A part of a state that many states share, with its hash worked out once.
#[derive(Debug)]
struct Shared<T> {
    hash: u64,
    value: Rc<T>,
}

impl<T: Hash + Clone> Shared<T> {
    fn new(value: T) -> Self {
        let mut hasher = DefaultHasher::new();
        value.hash(&mut hasher);
        Shared {
            hash: hasher.finish(),
            value: Rc::new(value),
        }
    }

    /// Changes a copy of the part.
    fn change<R>(&mut self, change: impl FnOnce(&mut T) -> R) -> R {
        let mut value = T::clone(&self.value);
        let result = change(&mut value);
        *self = Shared::new(value);
        result
    }
}

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Shared {
            hash: self.hash,
            value: self.value.clone(),
        }
    }
}
impl<T: PartialEq> PartialEq for Shared<T> {
    fn eq(&self, other: &Self) -> bool {
        self.hash == other.hash
            && (Rc::ptr_eq(&self.value, &other.value) || self.value == other.value)
    }
}
impl<T: Eq> Eq for Shared<T> {}
impl<T> Hash for Shared<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u64(self.hash);
    }
}

/// What an attempt has come to, besides the state of its claim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Progress {
    is_sent: bool,
    is_over: bool,
    has_run: bool,
}

/// What is equal in two states of the world makes them one state. Parts are shared between states.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    seeds: [Shared<ClaimStore>; 3],
    nodes: [Shared<AttemptLog>; 2],
    claims: [Option<Shared<Claim>>; 3],
    progress: [Progress; 3],
    messages: Vec<Shared<Message>>,
    runs: u8,
    restarts_left: u8,
    duplicates_left: u8,
    delays_left: u8,
}

/// A state and the way to it, which is no part of its identity.
#[derive(Clone)]
struct Node {
    world: World,
    step: Step,
    depth: usize,
}

#[derive(Clone, Debug)]
#[expect(dead_code, reason = "a trace prints them")]
enum Step {
    Start,
    Deliver(Shared<Message>),
    DeliverAndDuplicate(Shared<Message>),
    DelayReply(Shared<Message>),
    Restart,
    GiveUp(usize),
}

impl PartialEq for Node {
    fn eq(&self, other: &Self) -> bool {
        self.world == other.world
    }
}
impl Eq for Node {}
impl Hash for Node {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.world.hash(state);
    }
}

struct Check {
    now: Instant,
    scenario: Scenario,
    fault: Fault,
}

fn attempt(index: usize) -> AttemptId {
    let ingress: ProcessName = if index == 1 { "d2" } else { "d1" }.into();
    AttemptId {
        ingress,
        incarnation: 1,
        number: index as u64 + 1,
    }
}

fn target(index: usize) -> Target {
    Target {
        node: ["x", "y"][TARGETS[index]].into(),
        incarnation: 1,
    }
}

/// Setting up.
impl Check {
    fn new(scenario: Scenario, fault: Fault) -> Self {
        Check {
            now: Instant::now() + Duration::from_hours(1),
            scenario,
            fault,
        }
    }

    fn seed(&self, index: usize, incarnation: u64) -> ClaimStore {
        let seeds = SEEDS.map(ProcessName::from).to_vec();
        let (name, bounds) = (SEEDS[index].into(), Bounds::default());
        ClaimStore::open(store::Options {
            name,
            incarnation,
            seeds,
            generation: 1,
            bounds,
            now: self.now,
        })
    }

    fn start(&self) -> Node {
        let seeds = [0, 1, 2].map(|i| {
            let mut seed = self.seed(i, 1);
            seed.skip_recovery();
            Shared::new(seed)
        });
        let retention = attempt_log::RETENTION;
        let node = AttemptLog::open(attempt_log::Options {
            incarnation: 1,
            capacity: 9,
            retention,
        });
        let node = Shared::new(node);
        let mut world = World {
            seeds,
            nodes: [node.clone(), node],
            claims: [None, None, None],
            progress: [Progress::default(); 3],
            messages: Vec::new(),
            runs: 0,
            restarts_left: u8::from(self.scenario != Scenario::Duplicate),
            duplicates_left: u8::from(self.scenario == Scenario::Duplicate),
            delays_left: u8::from(self.scenario == Scenario::Duplicate),
        };
        self.open(&mut world, 0, None);
        if self.scenario == Scenario::Race {
            self.open(&mut world, 1, None);
        }
        world.normalize();
        Node {
            world,
            step: Step::Start,
            depth: 0,
        }
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
        world.claims[index] = Some(Shared::new(claim));
        (0..SEEDS.len()).for_each(|s| world.send(Message::Request(s, req.clone())));
    }
}

/// Steps.
impl Check {
    fn next(&self, node: &Node) -> Vec<Node> {
        let world = &node.world;
        let mut next = Vec::new();
        if world.possible_runs(self.scenario) < 2 || world.runs > 1 {
            return Vec::new();
        }
        for i in 0..world.messages.len() {
            self.deliveries(world, i, &mut next);
        }
        if world.restarts_left > 0 {
            next.push((self.restart(world), Step::Restart));
        }
        for index in 0..world.claims.len() {
            if world.claims[index].is_some() && !world.progress[index].is_over {
                next.extend(self.give_up(world, index).map(|w| (w, Step::GiveUp(index))));
            }
        }
        let depth = node.depth + 1;
        next.into_iter()
            .map(|(mut world, step)| {
                world.normalize();
                Node { world, step, depth }
            })
            .collect()
    }

    fn deliveries(&self, world: &World, i: usize, next: &mut Vec<(World, Step)>) {
        let message = &world.messages[i];
        let mut to = world.clone();
        to.messages.remove(i);
        if let (Message::Request(seed, req), 1..) = (&*message.value, world.delays_left) {
            let delayed = self.delay_reply(to.clone(), *seed, req);
            next.push((delayed, Step::DelayReply(message.clone())));
        }
        self.deliver(&mut to, &message.value);
        if matches!(
            (&*message.value, world.duplicates_left),
            (Message::Run(_), 1..)
        ) {
            let mut duplicated = to.clone();
            duplicated.duplicates_left -= 1;
            duplicated.messages.push(message.clone());
            next.push((duplicated, Step::DeliverAndDuplicate(message.clone())));
        }
        next.push((to, Step::Deliver(message.clone())));
    }

    /// A seed takes a request, and its answer stays under way.
    fn delay_reply(&self, mut to: World, seed: usize, req: &ClaimRequest) -> World {
        to.delays_left -= 1;
        let index = usize::try_from(req.attempt.number - 1).unwrap();
        let reply = to.seeds[seed].change(|s| s.claim(req, self.now));
        to.send(Message::Reply(index, seed, reply));
        to
    }

    fn deliver(&self, world: &mut World, message: &Message) {
        match message {
            Message::Request(seed, req) => {
                let index = usize::try_from(req.attempt.number - 1).unwrap();
                let reply = world.seeds[*seed].change(|s| s.claim(req, self.now));
                self.reply(world, index, *seed, reply);
            }
            Message::Reply(index, seed, reply) => self.reply(world, *index, *seed, reply.clone()),
            Message::Run(index) => {
                let node = &mut world.nodes[TARGETS[*index]];
                let outcome = node.change(|n| n.try_start(&attempt(*index), 1, self.now));
                if outcome == StartOutcome::Run {
                    world.runs += 1;
                    world.progress[*index].has_run = true;
                }
            }
            Message::Released(seed, update) => {
                world.seeds[*seed].change(|s| s.update(update.clone(), self.now));
            }
            Message::Recover(seed, req) => {
                if let Some(reply) = world.seeds[*seed].change(|s| s.serve_recovery(req, self.now))
                {
                    world.send(Message::Recovered(*seed, reply));
                }
            }
            Message::Recovered(seed, reply) => {
                let other = SEEDS[*seed].into();
                world.seeds[0].change(|s| s.handle_recovery_page(&other, reply.clone(), self.now));
            }
        }
    }

    fn reply(&self, world: &mut World, index: usize, seed: usize, mut reply: ClaimReply) {
        if self.fault == Fault::NoPeerIncarnations {
            reply.peers.clear();
        }
        let Some(claim) = &mut world.claims[index] else {
            return;
        };
        if *claim.value.state() != State::Pending {
            return;
        }
        let seed = SEEDS[seed].into();
        match claim.change(|c| c.handle_reply(&seed, reply, self.now).clone()) {
            State::Pending => {}
            State::Held => {
                world.progress[index].is_sent = true;
                world.send(Message::Run(index));
            }
            State::Refused(_) => world.release(index),
        }
    }

    fn restart(&self, world: &World) -> World {
        let mut to = world.clone();
        to.restarts_left -= 1;
        let mut seed = self.seed(0, 2);
        if self.fault == Fault::NoRecovery {
            seed.skip_recovery();
        }
        for (name, req) in seed.recover_requests() {
            let other = SEEDS.iter().position(|s| **s == *name).unwrap();
            to.send(Message::Recover(other, req));
        }
        to.seeds[0] = Shared::new(seed);
        to
    }

    /// The door waits no longer: for the seeds, or for the target, which it then asks for a fence.
    fn give_up(&self, world: &World, index: usize) -> Option<World> {
        let mut to = world.clone();
        if !to.progress[index].is_sent {
            let claim = to.claims[index].as_mut()?;
            claim.change(|c| c.tick(self.now + CLAIM_TIMEOUT).clone());
            to.release(index);
            return Some(to);
        }
        let node = &mut to.nodes[TARGETS[index]];
        let ask = |n: &mut AttemptLog| n.fence(&attempt(index), 1, self.now);
        let skips_fence = self.fault == Fault::NoFence;
        if !skips_fence && node.change(ask) != FenceOutcome::NotRun {
            return None;
        }
        to.release(index);
        if index == 0 && self.scenario != Scenario::Race {
            self.open(&mut to, 2, Some(attempt(0)));
        }
        Some(to)
    }
}

impl World {
    fn send(&mut self, message: Message) {
        self.messages.push(Shared::new(message));
    }

    fn release(&mut self, index: usize) {
        self.progress[index].is_over = true;
        let update = Update {
            id: [7; 32],
            attempt: attempt(index),
            phase: Phase::Released,
        };
        (0..SEEDS.len()).for_each(|s| self.send(Message::Released(s, update.clone())));
    }

    /// How many runs there can be at most from here on, those that were included.
    ///
    /// An attempt runs only if it was sent or its claim is still being made; states from which there
    /// can be no second run need no exploring.
    fn possible_runs(&self, scenario: Scenario) -> usize {
        let is_under_way = |i: usize| self.messages.iter().any(|m| *m.value == Message::Run(i));
        let is_open = |i: usize| {
            let progress = self.progress[i];
            self.claims[i].is_some() && !progress.is_over && !progress.has_run
        };
        let open = (0..self.claims.len())
            .filter(|i| is_open(*i) || is_under_way(*i))
            .count();
        let may_retry = scenario != Scenario::Race && self.claims[2].is_none();
        open + usize::from(self.runs) + usize::from(may_retry)
    }

    /// Messages have no order, so that two orders of sending are one state.
    fn normalize(&mut self) {
        let (claims, progress) = (&self.claims, &self.progress);
        let is_pending = |c: &Shared<Claim>| *c.value.state() == State::Pending;
        self.messages.retain(|m| match &*m.value {
            Message::Reply(i, ..) => claims[*i].as_ref().is_some_and(is_pending),
            // A claim that nobody waits for can only keep others from theirs.
            Message::Request(_, req) => {
                !progress[usize::try_from(req.attempt.number - 1).unwrap()].is_over
            }
            _ => true,
        });
        self.messages.sort_by_key(|m| m.hash);
    }
}

/// Explores everything, and prints how much that was.
fn explore(name: &str, scenario: Scenario) {
    let check = Check::new(scenario, Fault::None);
    let (mut states, mut depth) = (0, 0);
    for node in bfs_reach(check.start(), |n| check.next(n)) {
        assert!(
            node.world.runs <= 1,
            "depth {}: {:?}",
            node.depth,
            node.step
        );
        states += 1;
        depth = depth.max(node.depth);
    }
    println!("claims, {name}: {states} states, depth {depth}");
}

/// Finds the shortest way to two runs.
fn shortest_trace(scenario: Scenario, fault: Fault, steps: usize) {
    let check = Check::new(scenario, fault);
    let trace = bfs(&check.start(), |n| check.next(n), |n| n.world.runs > 1);
    let trace = trace.expect("the fault is found");
    for node in &trace {
        println!("{:2} {:?}", node.depth, node.step);
    }
    assert_eq!(trace.len() - 1, steps);
}

#[test]
fn of_two_racing_attempts_at_most_one_runs() {
    explore("race", Scenario::Race);
}

#[test]
fn of_an_attempt_and_its_retry_at_most_one_runs() {
    explore("retry", Scenario::Retry);
}

#[test]
fn doubled_and_late_messages_cause_no_second_run() {
    explore("copies", Scenario::Duplicate);
}

#[test]
fn a_seed_that_forgets_its_claims_is_caught() {
    shortest_trace(Scenario::Race, Fault::NoRecovery, 7);
}

#[test]
fn a_grant_of_an_earlier_life_is_caught() {
    shortest_trace(Scenario::Race, Fault::NoPeerIncarnations, 11);
}

#[test]
fn a_missing_fence_is_caught() {
    shortest_trace(Scenario::Retry, Fault::NoFence, 7);
}
