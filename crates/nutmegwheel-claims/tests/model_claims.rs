//! Exhaustive model check of docs/spec/CLAIMS.md with the production code.
//!
//! The model has three seeds and up to three attempts of one request. It explores races, a restart
//! of a seed, lost, late and duplicate messages, a fence and a retry, and checks that the request
//! runs at most once.

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
/// The target of each attempt. The first two race; the third retries the first at the second's
/// target.
const TARGETS: [usize; 3] = [0, 1, 1];

/// A fault injected into the protocol, which the check must detect.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// A restarted seed grants claims without recovering.
    NoRecovery,
    /// Replies to ingress nodes carry no incarnations of other seeds.
    NoPeerIncarnations,
    /// The ingress node assumes "not run" without fencing.
    NoFence,
}

/// Which attempts and faults the model has. The check explores each scenario exhaustively.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Scenario {
    /// Two ingress nodes race for the request.
    Race,
    /// One ingress node gives up on an attempt that it has sent, and retries at another target.
    Retry,
    /// Like `Retry`, but with a late reply and a duplicate message instead of a restart.
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

/// A component that many states share, with its hash computed once.
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

    /// Replaces the component by a modified copy.
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

/// The progress of an attempt, in addition to the state of its claim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Progress {
    is_sent: bool,
    is_finished: bool,
    has_run: bool,
}

/// A state of the model, with its components shared between states. `runs` counts how
/// often the request ran; the `_left` counters limit the faults that may still occur.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Model {
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

/// A state and the step that led to it, which does not count when states are compared.
#[derive(Clone)]
struct SearchNode {
    model: Model,
    step: Step,
    depth: usize,
}

#[derive(Clone, Debug)]
#[expect(dead_code, reason = "printed in traces")]
enum Step {
    Start,
    Deliver(Shared<Message>),
    DeliverAndDuplicate(Shared<Message>),
    DelayReply(Shared<Message>),
    Restart,
    GiveUp(usize),
}

impl PartialEq for SearchNode {
    fn eq(&self, other: &Self) -> bool {
        self.model == other.model
    }
}
impl Eq for SearchNode {}
impl Hash for SearchNode {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.model.hash(state);
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

    fn start(&self) -> SearchNode {
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
        let mut model = Model {
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
        self.open_claim(&mut model, 0, None);
        if self.scenario == Scenario::Race {
            self.open_claim(&mut model, 1, None);
        }
        model.normalize();
        SearchNode {
            model,
            step: Step::Start,
            depth: 0,
        }
    }

    fn open_claim(&self, model: &mut Model, index: usize, replaces: Option<AttemptId>) {
        let (claim, req) = Claim::open(Options {
            id: [7; 32],
            attempt: attempt(index),
            target: target(index),
            replaces,
            seeds: SEEDS.map(ProcessName::from).into(),
            generation: 1,
            now: self.now,
        });
        model.claims[index] = Some(Shared::new(claim));
        (0..SEEDS.len()).for_each(|s| model.send(Message::Request(s, req.clone())));
    }
}

impl Check {
    fn successors(&self, node: &SearchNode) -> Vec<SearchNode> {
        let model = &node.model;
        let mut next = Vec::new();
        if model.possible_runs(self.scenario) < 2 || model.runs > 1 {
            return Vec::new();
        }
        for i in 0..model.messages.len() {
            self.deliveries(model, i, &mut next);
        }
        if model.restarts_left > 0 {
            next.push((self.restart(model), Step::Restart));
        }
        for index in 0..model.claims.len() {
            if model.claims[index].is_some() && !model.progress[index].is_finished {
                next.extend(self.give_up(model, index).map(|m| (m, Step::GiveUp(index))));
            }
        }
        let depth = node.depth + 1;
        next.into_iter()
            .map(|(mut model, step)| {
                model.normalize();
                SearchNode { model, step, depth }
            })
            .collect()
    }

    fn deliveries(&self, model: &Model, i: usize, next: &mut Vec<(Model, Step)>) {
        let message = &model.messages[i];
        let mut to = model.clone();
        to.messages.remove(i);
        if let (Message::Request(seed, req), 1..) = (&*message.value, model.delays_left) {
            let delayed = self.delay_reply(to.clone(), *seed, req);
            next.push((delayed, Step::DelayReply(message.clone())));
        }
        self.deliver(&mut to, &message.value);
        if matches!(
            (&*message.value, model.duplicates_left),
            (Message::Run(_), 1..)
        ) {
            let mut duplicated = to.clone();
            duplicated.duplicates_left -= 1;
            duplicated.messages.push(message.clone());
            next.push((duplicated, Step::DeliverAndDuplicate(message.clone())));
        }
        next.push((to, Step::Deliver(message.clone())));
    }

    /// Delivers a request to a seed, and leaves the reply in flight.
    fn delay_reply(&self, mut to: Model, seed: usize, req: &ClaimRequest) -> Model {
        to.delays_left -= 1;
        let index = usize::try_from(req.attempt.number - 1).unwrap();
        let reply = to.seeds[seed].change(|s| s.claim(req, self.now));
        to.send(Message::Reply(index, seed, reply));
        to
    }

    fn deliver(&self, model: &mut Model, message: &Message) {
        match message {
            Message::Request(seed, req) => {
                let index = usize::try_from(req.attempt.number - 1).unwrap();
                let reply = model.seeds[*seed].change(|s| s.claim(req, self.now));
                self.reply(model, index, *seed, reply);
            }
            Message::Reply(index, seed, reply) => self.reply(model, *index, *seed, reply.clone()),
            Message::Run(index) => {
                let node = &mut model.nodes[TARGETS[*index]];
                let outcome = node.change(|n| n.try_start(&attempt(*index), 1, self.now));
                if outcome == StartOutcome::Run {
                    model.runs += 1;
                    model.progress[*index].has_run = true;
                }
            }
            Message::Released(seed, update) => {
                model.seeds[*seed].change(|s| s.update(update.clone(), self.now));
            }
            Message::Recover(seed, req) => {
                if let Some(reply) = model.seeds[*seed].change(|s| s.serve_recovery(req, self.now))
                {
                    model.send(Message::Recovered(*seed, reply));
                }
            }
            Message::Recovered(seed, reply) => {
                let other = SEEDS[*seed].into();
                model.seeds[0].change(|s| s.handle_recovery_page(&other, reply.clone(), self.now));
            }
        }
    }

    fn reply(&self, model: &mut Model, index: usize, seed: usize, mut reply: ClaimReply) {
        if self.fault == Fault::NoPeerIncarnations {
            reply.peers.clear();
        }
        let Some(claim) = &mut model.claims[index] else {
            return;
        };
        if *claim.value.state() != State::Pending {
            return;
        }
        let seed = SEEDS[seed].into();
        match claim.change(|c| c.handle_reply(&seed, reply, self.now).clone()) {
            State::Pending => {}
            State::Held => {
                model.progress[index].is_sent = true;
                model.send(Message::Run(index));
            }
            State::Refused(_) => model.release(index),
        }
    }

    fn restart(&self, model: &Model) -> Model {
        let mut to = model.clone();
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

    /// Makes the ingress node stop waiting for the seeds, or fence an attempt that it has sent.
    fn give_up(&self, model: &Model, index: usize) -> Option<Model> {
        let mut to = model.clone();
        if !to.progress[index].is_sent {
            let claim = to.claims[index].as_mut()?;
            claim.change(|c| c.tick(self.now + CLAIM_TIMEOUT).clone());
            to.release(index);
            return Some(to);
        }
        let node = &mut to.nodes[TARGETS[index]];
        let fence = |n: &mut AttemptLog| n.fence(&attempt(index), 1, self.now);
        let skips_fence = self.fault == Fault::NoFence;
        if !skips_fence && node.change(fence) != FenceOutcome::NotRun {
            return None;
        }
        to.release(index);
        if index == 0 && self.scenario != Scenario::Race {
            self.open_claim(&mut to, 2, Some(attempt(0)));
        }
        Some(to)
    }
}

impl Model {
    fn send(&mut self, message: Message) {
        self.messages.push(Shared::new(message));
    }

    fn release(&mut self, index: usize) {
        self.progress[index].is_finished = true;
        let update = Update {
            id: [7; 32],
            attempt: attempt(index),
            phase: Phase::Released,
        };
        (0..SEEDS.len()).for_each(|s| self.send(Message::Released(s, update.clone())));
    }

    /// Returns the maximum number of runs that any path from here can reach, including those so
    /// far.
    ///
    /// An attempt can run only if it was sent or its claim is pending. States that cannot reach a
    /// second run need no exploring.
    fn possible_runs(&self, scenario: Scenario) -> usize {
        let is_in_flight = |i: usize| self.messages.iter().any(|m| *m.value == Message::Run(i));
        let is_open = |i: usize| {
            let progress = self.progress[i];
            self.claims[i].is_some() && !progress.is_finished && !progress.has_run
        };
        let open = (0..self.claims.len())
            .filter(|i| is_open(*i) || is_in_flight(*i))
            .count();
        let may_retry = scenario != Scenario::Race && self.claims[2].is_none();
        open + usize::from(self.runs) + usize::from(may_retry)
    }

    /// Sorts the messages, since their order doesn't matter, and drops those that can't lead to a
    /// second run, so that equivalent states are equal.
    fn normalize(&mut self) {
        let (claims, progress) = (&self.claims, &self.progress);
        let is_pending = |c: &Shared<Claim>| *c.value.state() == State::Pending;
        self.messages.retain(|m| match &*m.value {
            Message::Reply(i, ..) => claims[*i].as_ref().is_some_and(is_pending),
            // A claim whose ingress node has given up can only prevent other claims.
            Message::Request(_, req) => {
                !progress[usize::try_from(req.attempt.number - 1).unwrap()].is_finished
            }
            _ => true,
        });
        self.messages.sort_by_key(|m| m.hash);
    }
}

/// Explores all reachable states, and prints their number and depth.
fn explore(name: &str, scenario: Scenario) {
    let check = Check::new(scenario, Fault::None);
    let (mut states, mut depth) = (0, 0);
    for node in bfs_reach(check.start(), |n| check.successors(n)) {
        assert!(
            node.model.runs <= 1,
            "depth {}: {:?}",
            node.depth,
            node.step
        );
        states += 1;
        depth = depth.max(node.depth);
    }
    println!("claims, {name}: {states} states, depth {depth}");
}

/// Finds the shortest trace to two runs, and checks its length.
fn shortest_trace(scenario: Scenario, fault: Fault, steps: usize) {
    let check = Check::new(scenario, fault);
    let trace = bfs(
        &check.start(),
        |n| check.successors(n),
        |n| n.model.runs > 1,
    );
    let trace = trace.expect("the fault leads to two runs");
    for node in &trace {
        println!("{:2} {:?}", node.depth, node.step);
    }
    assert_eq!(trace.len() - 1, steps);
}

#[test]
fn at_most_one_of_two_racing_attempts_runs() {
    explore("race", Scenario::Race);
}

#[test]
fn at_most_one_of_attempt_and_retry_runs() {
    explore("retry", Scenario::Retry);
}

#[test]
fn duplicate_and_late_messages_cause_no_second_run() {
    explore("copies", Scenario::Duplicate);
}

#[test]
fn detects_restart_without_recovery() {
    shortest_trace(Scenario::Race, Fault::NoRecovery, 7);
}

#[test]
fn detects_lost_grant_of_earlier_incarnation() {
    shortest_trace(Scenario::Race, Fault::NoPeerIncarnations, 11);
}

#[test]
fn detects_missing_fence() {
    shortest_trace(Scenario::Retry, Fault::NoFence, 7);
}
