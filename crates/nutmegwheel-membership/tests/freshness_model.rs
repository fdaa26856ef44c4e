//! Model check of withdrawal and freshness with three seeds and one node.
//!
//! The model runs the real [`Lease`], [`SeedState`] and [`WithdrawnSet`]; docs/spec/SPREAD.md,
//! "Model", lists what it leaves out. A request arrives immediately or never, and the one answer in
//! flight arrives at any later time or never, which covers loss, delay and partitions. A process
//! that takes no step while time advances models a paused process.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use nutmegwheel_membership::freshness::{
    ConfirmOutcome, Decision, LEASE_DRAIN, Lease, LeaseOptions, SeedState, SeedStatus, SyncProgress,
};
use nutmegwheel_membership::{
    Confirmation, PartitionPolicy, Pull, Renew, Withdraw, WithdrawAck, WithdrawnPart, WithdrawnSet,
};
use pathfinding::directed::bfs::{bfs, bfs_reach};

const TICK: Duration = Duration::from_secs(1);
const KEY: [u8; 32] = [7; 32];
const VERSION: u64 = 1;
const SEEDS: usize = 3;
/// The index of the node among the processes.
const NODE: usize = SEEDS;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// The bounds of the state space, and the injected fault, if any.
#[derive(Clone, Copy)]
struct Bounds {
    ticks: u32,
    in_flight: usize,
    restarts: u8,
    fault: Fault,
}

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The confirmations of a restarted seed count before it has synced.
    SyncedOnRestart,
    /// A withdrawal is reported in force as soon as a majority holds it.
    NoLeaseDrain,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Payload {
    Confirmation(Confirmation),
    WithdrawAck(u64, u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Envelope {
    from: usize,
    to: usize,
    payload: Payload,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    withdrawn: WithdrawnSet,
    lease: Lease,
    seed_state: Option<SeedState>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    ticks: u32,
    restarts: u8,
    processes: Vec<Rc<Process>>,
    /// Whether a seed reported the withdrawal in force; stays set when that seed restarts.
    reported_in_force: bool,
    in_flight: BTreeSet<Envelope>,
}

fn address(process: usize) -> SocketAddr {
    let port = u16::try_from(process).unwrap();
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn index(address: SocketAddr) -> usize {
    usize::from(address.port())
}

fn seeds() -> Vec<SocketAddr> {
    (0..SEEDS).map(address).collect()
}

impl Process {
    fn open(process: usize, incarnation: u64) -> Self {
        // The node prefers seeds 1 and 2, the majority without the seed that reports.
        let first_sequence = u64::try_from(process).unwrap() * 1000 + incarnation * 99 + 1;
        let options = LeaseOptions {
            seeds: seeds(),
            first_sequence,
            interval: TICK,
            retry: TICK,
        };
        let seed_state = SeedState::open(address(process), &seeds(), first_sequence + 50);
        Self {
            withdrawn: WithdrawnSet::open(first_sequence),
            lease: Lease::open(options),
            seed_state: (process != NODE).then_some(seed_state),
        }
    }

    fn update_synced(&mut self, authority: bool, process: usize) {
        let seeds = self.lease.synced_seed_count(address(process));
        if let Some(seed_state) = &mut self.seed_state {
            seed_state.update_synced(SyncProgress { seeds, authority });
        }
    }
}

impl State {
    /// The initial state: all seeds are synced, and an operator's committed withdrawal has reached
    /// seed 0.
    fn initial() -> Self {
        let mut processes: Vec<Process> = (0..=NODE).map(|p| Process::open(p, 0)).collect();
        for (index, process) in processes.iter_mut().enumerate() {
            process.update_synced(true, index);
        }
        processes[0].withdrawn.add(KEY);
        let seed_state = processes[0].seed_state.as_mut().unwrap();
        seed_state.track_committed(*START, &[KEY]);
        Self {
            ticks: 0,
            restarts: 0,
            processes: processes.into_iter().map(Rc::new).collect(),
            reported_in_force: false,
            in_flight: BTreeSet::new(),
        }
    }

    fn process_mut(&mut self, process: usize) -> &mut Process {
        Rc::make_mut(&mut self.processes[process])
    }

    fn now(&self) -> Instant {
        *START + TICK * self.ticks
    }

    /// Whether a request with the withdrawn key could start although the withdrawal was reported in
    /// force.
    fn is_violated(&self) -> bool {
        let node = &self.processes[NODE];
        let decision = Decision::at(
            self.now(),
            VERSION,
            &node.lease,
            None,
            PartitionPolicy::Serve,
        );
        let may_start = decision == Decision::Serve && !node.withdrawn.contains(&KEY);
        may_start && self.reported_in_force
    }

    fn successors(&self, bounds: Bounds) -> Vec<Self> {
        let mut next = Vec::new();
        // A node that holds the key never starts a request with it again: its set only grows.
        if self.is_violated() || self.processes[NODE].withdrawn.contains(&KEY) {
            return next;
        }
        next.extend(self.advance_time(bounds));
        for envelope in &self.in_flight {
            next.extend(self.deliver(envelope));
        }
        for process in 0..=NODE {
            next.extend(self.renew(process));
            next.extend(self.deliver_request(process));
            next.extend(self.restart(process, bounds));
        }
        next.retain(|state| state.in_flight.len() <= bounds.in_flight);
        next
    }

    fn advance_time(&self, bounds: Bounds) -> Option<Self> {
        if self.ticks == bounds.ticks {
            return None;
        }
        let mut next = self.clone();
        next.ticks += 1;
        let mut now = next.now();
        if bounds.fault == Fault::NoLeaseDrain {
            now += LEASE_DRAIN;
        }
        for process in &mut next.processes {
            let Some(seed_state) = &mut Rc::make_mut(process).seed_state else {
                continue;
            };
            seed_state.advance_in_force(now);
            next.reported_in_force |= seed_state.is_in_force(&KEY);
        }
        Some(next)
    }

    /// Renews the lease of the node, or of a seed that is not synced yet.
    ///
    /// Any subset of the requests arrives, except the empty one, which equals sending no request.
    fn renew(&self, process: usize) -> Vec<Self> {
        let seed_state = self.processes[process].seed_state.as_ref();
        if seed_state.is_some_and(SeedState::is_synced) {
            return Vec::new();
        }
        let mut requested = self.clone();
        let now = requested.now();
        let requests = requested
            .process_mut(process)
            .lease
            .renew(now, seed_state.is_some());
        let nothing_arrived = requested.clone();
        let mut next = vec![requested];
        for (to, renew) in requests {
            let mut arrived = next.clone();
            for state in &mut arrived {
                state.answer_renew(process, index(to), renew);
            }
            next.extend(arrived);
        }
        next.retain(|state| *state != nothing_arrived);
        next
    }

    /// Delivers one of the withdrawal requests that the seed sends.
    fn deliver_request(&self, process: usize) -> Vec<Self> {
        let mut requested = self.clone();
        let now = requested.now();
        let Some(seed_state) = requested.process_mut(process).seed_state.as_mut() else {
            return Vec::new();
        };
        let requests = seed_state.due_requests(now);
        let arrived = requests.into_iter().map(|(to, Withdraw { sequence, .. })| {
            let mut next = requested.clone();
            next.deliver_withdraw(process, index(to), sequence);
            next
        });
        arrived.collect()
    }

    fn restart(&self, process: usize, bounds: Bounds) -> Option<Self> {
        // A restart of a seed without the key loses nothing and only stops its confirmations from
        // counting.
        let is_lossless = !self.processes[process].withdrawn.contains(&KEY);
        if self.restarts == bounds.restarts || process == NODE || is_lossless {
            return None;
        }
        let mut next = self.clone();
        next.restarts += 1;
        *next.process_mut(process) = Process::open(process, u64::from(next.restarts));
        if bounds.fault == Fault::SyncedOnRestart {
            next.process_mut(process).update_synced(true, process);
        }
        Some(next)
    }

    fn send(&mut self, from: usize, to: usize, payload: Payload) {
        if from != to {
            self.in_flight.insert(Envelope { from, to, payload });
        }
    }

    /// Delivers an answer or, where that makes a difference, loses it.
    fn deliver(&self, envelope: &Envelope) -> Vec<Self> {
        let mut lost = self.clone();
        lost.in_flight.remove(envelope);
        let mut next = lost.clone();
        let Envelope { from, to, payload } = envelope.clone();
        match payload {
            Payload::Confirmation(confirmation) => next
                .deliver_confirmation(from, to, &confirmation)
                .into_iter()
                .collect(),
            Payload::WithdrawAck(sequence, log_id) => {
                next.receive_ack(from, to, sequence, log_id);
                vec![lost, next]
            }
        }
    }

    fn answer_renew(&mut self, from: usize, to: usize, renew: Renew) {
        let seed = &self.processes[to];
        let status = SeedStatus {
            synced: seed.seed_state.as_ref().is_some_and(SeedState::is_synced),
            authority: false,
            heartbeat: None,
        };
        let confirmation = Confirmation::of(renew, status, VERSION, &seed.withdrawn);
        self.send(to, from, Payload::Confirmation(confirmation));
    }

    /// Delivers a confirmation. Returns `None` if the process ignores it or does not read the list
    /// that it needs: the model leaves such a confirmation out, as it does a lost one, because it
    /// has no more effect than sending no request.
    fn deliver_confirmation(
        mut self,
        from: usize,
        to: usize,
        confirmation: &Confirmation,
    ) -> Option<Self> {
        let process = self.process_mut(to);
        let withdrawn = &process.withdrawn;
        let outcome = process
            .lease
            .confirm(address(from), confirmation, VERSION, withdrawn);
        process.update_synced(false, to);
        match outcome {
            ConfirmOutcome::Behind {
                pull: Some(pull), ..
            } => self.read(from, to, pull),
            ConfirmOutcome::Renewed => Some(self),
            ConfirmOutcome::Behind { pull: None, .. } | ConfirmOutcome::Ignored => None,
        }
    }

    /// Reads the list of a seed, unless the seed has restarted since the pull was created.
    fn read(&self, from: usize, to: usize, pull: Pull) -> Option<Self> {
        let list = &self.processes[from].withdrawn;
        if list.log_id() != pull.log_id {
            return None;
        }
        let part = WithdrawnPart {
            log_id: pull.log_id,
            from: pull.from,
            count: list.count(),
            hashes: list.since(pull.from, 8).to_vec(),
        };
        let mut next = self.clone();
        let process = next.process_mut(to);
        for key in &part.hashes {
            process.withdrawn.add(*key);
        }
        process.lease.record_read(address(from), &part);
        process.lease.apply_pending(VERSION, &process.withdrawn);
        process.update_synced(false, to);
        Some(next)
    }

    fn deliver_withdraw(&mut self, from: usize, to: usize, sequence: u64) {
        let process = self.process_mut(to);
        process.withdrawn.add(KEY);
        let log_id = process.withdrawn.log_id();
        self.send(to, from, Payload::WithdrawAck(sequence, log_id));
    }

    fn receive_ack(&mut self, from: usize, to: usize, sequence: u64, log_id: u64) {
        let now = self.now();
        let answer = WithdrawAck {
            sequence,
            log_id,
            held: vec![KEY],
            in_force: Vec::new(),
        };
        if let Some(seed_state) = &mut self.process_mut(to).seed_state {
            seed_state.record_ack(now, address(from), &answer);
        }
    }
}

/// A state with the number of steps to it, which is not part of its identity.
#[derive(Clone)]
struct Reached(State, usize);

impl PartialEq for Reached {
    fn eq(&self, other: &Self) -> bool {
        self.0 == other.0
    }
}

impl Eq for Reached {}

impl Hash for Reached {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.0.hash(hasher);
    }
}

/// Explores all states up to a number of steps, and returns their number and the depth reached.
fn check(bounds: Bounds, steps_limit: usize) -> (usize, usize) {
    let mut states = 0;
    let mut depth = 0;
    let mut seen_in_force = 0;
    let successors = |reached: &Reached| -> Vec<Reached> {
        if reached.1 == steps_limit {
            return Vec::new();
        }
        let next = reached.0.successors(bounds).into_iter();
        next.map(|state| Reached(state, reached.1 + 1)).collect()
    };
    for Reached(state, steps) in bfs_reach(Reached(State::initial(), 0), successors) {
        states += 1;
        depth = depth.max(steps);
        assert!(!state.is_violated(), "{state:#?}");
        seen_in_force += usize::from(state.reported_in_force);
    }
    assert!(seen_in_force > 0, "no run reached a withdrawal in force");
    (states, depth)
}

fn shortest_violation(bounds: Bounds) -> usize {
    let trace = bfs(
        &State::initial(),
        |state| state.successors(bounds),
        State::is_violated,
    );
    trace.expect("the injected fault must be found").len() - 1
}

const BOUNDS: Bounds = Bounds {
    ticks: 3,
    in_flight: 1,
    restarts: 1,
    fault: Fault::None,
};

#[test]
fn withdrawal_in_force_stops_requests() {
    let bounds = Bounds {
        restarts: 0,
        ..BOUNDS
    };
    let (states, depth) = check(bounds, usize::MAX);
    println!("without restarts: {states} states, {depth} steps deep");
}

/// Time and memory bound the depth; it exceeds the 12 steps that the injected fault with a restart
/// needs for a violation.
#[test]
fn withdrawal_in_force_stops_requests_despite_seed_restart() {
    let (states, depth) = check(BOUNDS, 14);
    println!("with a restart: {states} states, {depth} steps deep");
}

#[test]
fn model_detects_unsynced_confirmation() {
    let steps = shortest_violation(Bounds {
        fault: Fault::SyncedOnRestart,
        ..BOUNDS
    });
    println!("shortest trace: {steps} steps");
}

#[test]
fn model_detects_missing_lease_drain() {
    let steps = shortest_violation(Bounds {
        fault: Fault::NoLeaseDrain,
        ..BOUNDS
    });
    println!("shortest trace: {steps} steps");
}
