//! Model check of counting the holders of a withdrawn key with five seeds and one node.
//!
//! The model runs the real [`Lease`], [`SeedState`] and [`WithdrawnSet`]. Its steps are coarse:
//! in a single step, a restarted seed syncs, or a majority confirms the node, or some seeds answer
//! the counting seed. docs/spec/SPREAD.md, "Model", lists what that leaves out.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use nutmegwheel_membership::freshness::{
    ConfirmOutcome, Decision, Lease, LeaseOptions, SeedState, SeedStatus, majority,
};
use nutmegwheel_membership::{
    Confirmation, PartitionPolicy, Pull, Withdraw, WithdrawAck, WithdrawnPart, WithdrawnSet,
};
use pathfinding::directed::bfs::bfs;

const TICK: Duration = Duration::from_secs(1);
const TICKS: u32 = 4;
const RESTARTS: u8 = 1;
const KEY: [u8; 32] = [7; 32];
const VERSION: u64 = 1;
const SEEDS: u16 = 5;
/// The seed that received the operator's committed withdrawal and counts its holders.
const COUNTING_SEED: usize = 0;
/// The seed that restarts. Checking one is enough, since the other seeds differ only in name.
const RESTARTED_SEED: usize = 1;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// The algorithm that counts the holders.
#[derive(Clone, Copy, PartialEq)]
enum CountMode {
    /// The algorithm as implemented in [`SeedState`].
    TwoPasses,
    /// A faulty algorithm that reuses the answers of the first pass in the second, even if seeds
    /// have restarted since.
    OnePass,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    ticks: u32,
    restarts: u8,
    lists: Vec<Rc<WithdrawnSet>>,
    /// The list ids in the answers of the seeds to the first pass.
    first_pass_logs: Vec<Option<u64>>,
    counting_seed: Rc<SeedState>,
    node: Rc<Lease>,
    node_holds: bool,
}

fn address(seed: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(seed).unwrap()))
}

fn seeds() -> Vec<SocketAddr> {
    (0..usize::from(SEEDS)).map(address).collect()
}

fn lease(first_sequence: u64) -> Lease {
    Lease::open(LeaseOptions {
        seeds: seeds(),
        first_sequence,
        interval: TICK,
        retry: TICK,
    })
}

/// Returns all smallest majorities of the seeds, except those that contain `without`.
fn majorities(without: Option<usize>) -> Vec<Vec<usize>> {
    let needed = majority(usize::from(SEEDS));
    (0..1_u32 << SEEDS)
        .map(|set| {
            let is_in = |seed: &usize| set & (1 << seed) != 0;
            (0..usize::from(SEEDS)).filter(is_in).collect::<Vec<_>>()
        })
        .filter(|set| set.len() == needed && without.is_none_or(|seed| !set.contains(&seed)))
        .collect()
}

impl State {
    fn initial() -> Self {
        let lists = (0..u64::from(SEEDS)).map(WithdrawnSet::open);
        let mut lists: Vec<Rc<WithdrawnSet>> = lists.map(Rc::new).collect();
        Rc::make_mut(&mut lists[COUNTING_SEED]).add(KEY);
        let mut seed_state = SeedState::open(address(COUNTING_SEED), &seeds(), 1);
        seed_state.track_committed(*START, &[KEY]);
        Self {
            ticks: 0,
            restarts: 0,
            first_pass_logs: vec![None; lists.len()],
            lists,
            counting_seed: Rc::new(seed_state),
            node: Rc::new(lease(1)),
            node_holds: false,
        }
    }

    fn now(&self) -> Instant {
        *START + TICK * self.ticks
    }

    fn is_violated(&self) -> bool {
        let decision = Decision::at(
            self.now(),
            VERSION,
            &self.node,
            None,
            PartitionPolicy::Serve,
        );
        decision == Decision::Serve && !self.node_holds && self.counting_seed.is_in_force(&KEY)
    }

    fn successors(&self, mode: CountMode) -> Vec<Self> {
        if self.is_violated() || self.node_holds {
            return Vec::new();
        }
        let mut next: Vec<Self> = self.advance_time().into_iter().collect();
        next.extend(self.deliver_requests(mode));
        for set in majorities(None) {
            next.extend(self.confirm_node(&set));
        }
        for set in majorities(Some(RESTARTED_SEED)) {
            next.extend(self.restart(RESTARTED_SEED, &set));
        }
        next
    }

    fn advance_time(&self) -> Option<Self> {
        let mut next = self.clone();
        next.ticks += 1;
        let now = next.now();
        Rc::make_mut(&mut next.counting_seed).advance_in_force(now);
        (next.ticks <= TICKS).then_some(next)
    }

    /// Delivers any subset of the counting seed's requests, and the answers to them.
    ///
    /// Lost answers are left out: a holder that is not counted does not make a violation possible.
    fn deliver_requests(&self, mode: CountMode) -> Vec<Self> {
        let mut requested = self.clone();
        let requests = Rc::make_mut(&mut requested.counting_seed).due_requests(self.now());
        let mut next = Vec::new();
        for set in 1..1_u32 << requests.len() {
            let arrived = requests.iter().enumerate();
            let arrived = arrived.filter(|(position, _)| set & (1 << position) != 0);
            let arrived: Vec<&(SocketAddr, Withdraw)> = arrived.map(|(_, r)| r).collect();
            if self.is_symmetric(&arrived) {
                continue;
            }
            let mut answered = requested.clone();
            for (to, request) in &arrived {
                answered.answer(usize::from(to.port()), request.sequence);
            }
            if mode == CountMode::OnePass {
                answered.verify_from_first_pass();
            }
            next.push(answered);
        }
        next
    }

    /// Whether this step equals another one up to the numbering of interchangeable seeds, none of
    /// which holds the key yet; it is skipped to reduce the state space.
    fn is_symmetric(&self, arrived: &[&(SocketAddr, Withdraw)]) -> bool {
        let interchangeable = RESTARTED_SEED + 1..usize::from(SEEDS);
        let reaches = |seed: usize| arrived.iter().any(|(to, _)| *to == address(seed));
        let mut pairs = interchangeable.clone().zip(interchangeable.clone().skip(1));
        let is_gap = pairs.any(|(lower, higher)| reaches(higher) && !reaches(lower));
        is_gap
            && !interchangeable
                .clone()
                .any(|seed| self.lists[seed].contains(&KEY))
    }

    /// Stores the key at a seed, which answers with the id of its current list.
    fn answer(&mut self, seed: usize, sequence: u64) {
        Rc::make_mut(&mut self.lists[seed]).add(KEY);
        let log_id = self.lists[seed].log_id();
        self.first_pass_logs[seed] = Some(log_id);
        self.count(seed, sequence, log_id);
    }

    /// Answers the second pass from the answers of the first, without asking the seeds.
    fn verify_from_first_pass(&mut self) {
        let now = self.now();
        for (to, request) in Rc::make_mut(&mut self.counting_seed).due_requests(now) {
            let seed = usize::from(to.port());
            if let Some(log_id) = self.first_pass_logs[seed] {
                self.count(seed, request.sequence, log_id);
            }
        }
    }

    fn count(&mut self, from: usize, sequence: u64, log_id: u64) {
        let answer = WithdrawAck {
            sequence,
            log_id,
            held: vec![KEY],
            in_force: Vec::new(),
        };
        let now = self.now();
        Rc::make_mut(&mut self.counting_seed).record_ack(now, address(from), &answer);
    }

    /// Confirms the node's view by a majority; if one of these seeds holds the key, the node reads
    /// it.
    fn confirm_node(&self, set: &[usize]) -> Option<Self> {
        let mut next = self.clone();
        let held = Rc::make_mut(&mut next.node);
        let mut own = WithdrawnSet::open(u64::MAX);
        catch_up(held, &mut own, self.now(), set, &self.lists);
        next.node_holds = own.contains(&KEY);
        (!next.node_holds && next != *self).then_some(next)
    }

    /// Restarts a seed, which loses its list and then catches up with the seeds in `set`, as many
    /// as form a majority.
    fn restart(&self, seed: usize, set: &[usize]) -> Option<Self> {
        if self.restarts == RESTARTS || !self.lists[seed].contains(&KEY) {
            return None;
        }
        let mut next = self.clone();
        next.restarts += 1;
        let incarnation = u64::from(next.restarts) * u64::from(SEEDS);
        let mut list = WithdrawnSet::open(self.lists[seed].log_id() + incarnation);
        let mut own = lease(1);
        catch_up(&mut own, &mut list, self.now(), set, &self.lists);
        assert_eq!(own.synced_seed_count(address(seed)), set.len());
        next.lists[seed] = Rc::new(list);
        Some(next)
    }
}

/// Renews a lease with some of the seeds, reading their lists to catch up.
fn catch_up(
    lease: &mut Lease,
    own: &mut WithdrawnSet,
    now: Instant,
    from: &[usize],
    lists: &[Rc<WithdrawnSet>],
) {
    let status = SeedStatus {
        synced: true,
        authority: false,
        heartbeat: None,
    };
    for (to, renew) in lease.renew(now, true) {
        let seed = usize::from(to.port());
        if !from.contains(&seed) {
            continue;
        }
        let confirmation = Confirmation::of(renew, status, VERSION, &lists[seed]);
        let outcome = lease.confirm(to, &confirmation, VERSION, own);
        let ConfirmOutcome::Behind {
            pull: Some(Pull { log_id, from }),
            ..
        } = outcome
        else {
            continue;
        };
        let list = &lists[seed];
        let hashes = list.since(from, 8).to_vec();
        for key in &hashes {
            own.add(*key);
        }
        let count = list.count();
        lease.record_read(
            to,
            &WithdrawnPart {
                log_id,
                from,
                count,
                hashes,
            },
        );
        lease.apply_pending(VERSION, own);
    }
}

/// Time and memory limit the depth to the number of steps in which counting in one pass fails.
#[test]
fn two_passes_count_only_simultaneous_holders() {
    const STEPS: u32 = 8;
    let mut states = 0;
    let mut in_force = 0;
    let mut level = HashSet::from([State::initial()]);
    let mut known = level.clone();
    for _ in 0..STEPS {
        let next = level
            .iter()
            .flat_map(|state| state.successors(CountMode::TwoPasses));
        level = next.filter(|state| known.insert(state.clone())).collect();
    }
    for state in &known {
        states += 1;
        assert!(!state.is_violated(), "{state:#?}");
        in_force += usize::from(state.counting_seed.is_in_force(&KEY));
    }
    assert!(in_force > 0, "no run reached a withdrawal in force");
    println!("{states} states, {in_force} of them in force, {STEPS} steps deep");
}

#[test]
fn model_detects_restart_in_one_pass_count() {
    let first = State::initial();
    let trace = bfs(
        &first,
        |state| state.successors(CountMode::OnePass),
        State::is_violated,
    );
    let trace = trace.expect("the counterexample must be found");
    println!("shortest trace: {} steps", trace.len() - 1);
}
