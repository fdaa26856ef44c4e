//! Model check of counting the holders of a withdrawn key with five seeds and one node.
//!
//! The real [`Lease`], [`SeedState`] and [`WithdrawnSet`] decide. The steps are coarse: a restarted
//! seed settles, a node is confirmed, and some seeds answer the counting one, in one step each.
//! docs/spec/SPREAD.md, "Model", says what that leaves out.

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
/// The seed to which the operator's committed withdrawal came, which counts.
const COUNTING: usize = 0;
/// The seed that restarts; it stands for any of the others, which differ in nothing but their name.
const RESTARTED: usize = 1;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// How the holders are counted.
#[derive(Clone, Copy, PartialEq)]
enum Counting {
    /// As in the product.
    TwoPasses,
    /// The answers of the first pass are taken for those of the second, whatever restarted since.
    OnePass,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    ticks: u32,
    restarts: u8,
    lists: Vec<Rc<WithdrawnSet>>,
    /// The lists of which the counting seed heard in the first pass.
    heard: Vec<Option<u64>>,
    seed_state: Rc<SeedState>,
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

/// All sets of a majority of the seeds, but for those with `without`.
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
    fn first() -> Self {
        let lists = (0..u64::from(SEEDS)).map(WithdrawnSet::open);
        let mut lists: Vec<Rc<WithdrawnSet>> = lists.map(Rc::new).collect();
        Rc::make_mut(&mut lists[COUNTING]).add(KEY);
        let mut seed_state = SeedState::open(address(COUNTING), &seeds(), 1);
        seed_state.track_committed(*START, &[KEY]);
        Self {
            ticks: 0,
            restarts: 0,
            heard: vec![None; lists.len()],
            lists,
            seed_state: Rc::new(seed_state),
            node: Rc::new(lease(1)),
            node_holds: false,
        }
    }

    fn now(&self) -> Instant {
        *START + TICK * self.ticks
    }

    fn is_broken(&self) -> bool {
        let decision = Decision::at(
            self.now(),
            VERSION,
            &self.node,
            None,
            PartitionPolicy::Serve,
        );
        decision == Decision::Serve && !self.node_holds && self.seed_state.is_in_force(&KEY)
    }

    fn next(&self, counting: Counting) -> Vec<Self> {
        if self.is_broken() || self.node_holds {
            return Vec::new();
        }
        let mut next: Vec<Self> = self.pass_time().into_iter().collect();
        next.extend(self.ask(counting));
        for set in majorities(None) {
            next.extend(self.confirm_node(&set));
        }
        for set in majorities(Some(RESTARTED)) {
            next.extend(self.restart(RESTARTED, &set));
        }
        next
    }

    fn pass_time(&self) -> Option<Self> {
        let mut next = self.clone();
        next.ticks += 1;
        let now = next.now();
        Rc::make_mut(&mut next.seed_state).advance_in_force(now);
        (next.ticks <= TICKS).then_some(next)
    }

    /// Some of the counting seed's requests arrive, and their answers too.
    ///
    /// A lost answer is left out: one more holder that is not counted makes nothing less safe.
    fn ask(&self, counting: Counting) -> Vec<Self> {
        let mut asked = self.clone();
        let requests = Rc::make_mut(&mut asked.seed_state).due_requests(self.now());
        let mut next = Vec::new();
        for set in 1..1_u32 << requests.len() {
            let arrived = requests.iter().enumerate();
            let arrived = arrived.filter(|(place, _)| set & (1 << place) != 0);
            let arrived: Vec<&(SocketAddr, Withdraw)> = arrived.map(|(_, r)| r).collect();
            if self.is_mirrored(&arrived) {
                continue;
            }
            let mut answered = asked.clone();
            for (to, request) in &arrived {
                answered.answer(usize::from(to.port()), request.sequence);
            }
            if counting == Counting::OnePass {
                answered.verify_as_heard();
            }
            next.push(answered);
        }
        next
    }

    /// Whether the seeds that the key reaches first, of those that are alike, could be numbered
    /// lower, so that another run shows the same.
    fn is_mirrored(&self, arrived: &[&(SocketAddr, Withdraw)]) -> bool {
        let alike = RESTARTED + 1..usize::from(SEEDS);
        let reaches = |seed: usize| arrived.iter().any(|(to, _)| *to == address(seed));
        let mut pairs = alike.clone().zip(alike.clone().skip(1));
        let is_gap = pairs.any(|(lower, higher)| reaches(higher) && !reaches(lower));
        is_gap && !alike.clone().any(|seed| self.lists[seed].contains(&KEY))
    }

    /// A seed answers with the list that it has now.
    fn answer(&mut self, seed: usize, sequence: u64) {
        Rc::make_mut(&mut self.lists[seed]).add(KEY);
        let log_id = self.lists[seed].log_id();
        self.heard[seed] = Some(log_id);
        self.count(seed, sequence, log_id);
    }

    /// Answers the second pass by what was heard in the first, without asking the seeds.
    fn verify_as_heard(&mut self) {
        let now = self.now();
        for (to, request) in Rc::make_mut(&mut self.seed_state).due_requests(now) {
            let seed = usize::from(to.port());
            if let Some(log_id) = self.heard[seed] {
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
        Rc::make_mut(&mut self.seed_state).record_ack(now, address(from), &answer);
    }

    /// A majority confirms the node's view, which reads the key where one of it holds it.
    fn confirm_node(&self, set: &[usize]) -> Option<Self> {
        let mut next = self.clone();
        let held = Rc::make_mut(&mut next.node);
        let mut own = WithdrawnSet::open(u64::MAX);
        catch_up(held, &mut own, self.now(), set, &self.lists);
        next.node_holds = own.contains(&KEY);
        (!next.node_holds && next != *self).then_some(next)
    }

    /// A seed loses its list and catches up with a majority of the others.
    fn restart(&self, seed: usize, set: &[usize]) -> Option<Self> {
        if self.restarts == RESTARTS || !self.lists[seed].contains(&KEY) {
            return None;
        }
        let mut next = self.clone();
        next.restarts += 1;
        let life = u64::from(next.restarts) * u64::from(SEEDS);
        let mut list = WithdrawnSet::open(self.lists[seed].log_id() + life);
        let mut own = lease(1);
        catch_up(&mut own, &mut list, self.now(), set, &self.lists);
        assert_eq!(own.synced_seed_count(address(seed)), set.len());
        next.lists[seed] = Rc::new(list);
        Some(next)
    }
}

/// Lets the owner of a lease be confirmed by some seeds, and read their lists for that.
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

/// Bounded by time and memory to the steps that the counterexample of one pass takes.
#[test]
fn two_passes_count_only_holders_that_held_the_key_at_once() {
    const STEPS: u32 = 8;
    let mut states = 0;
    let mut in_force = 0;
    let mut level = HashSet::from([State::first()]);
    let mut known = level.clone();
    for _ in 0..STEPS {
        let next = level
            .iter()
            .flat_map(|state| state.next(Counting::TwoPasses));
        level = next.filter(|state| known.insert(state.clone())).collect();
    }
    for state in &known {
        states += 1;
        assert!(!state.is_broken(), "{state:#?}");
        in_force += usize::from(state.seed_state.is_in_force(&KEY));
    }
    assert!(in_force > 0, "no run got as far as an answer in force");
    println!("{states} states, {in_force} of them in force, {STEPS} steps deep");
}

#[test]
fn one_pass_counts_a_seed_that_restarted_since() {
    let first = State::first();
    let trace = bfs(
        &first,
        |state| state.next(Counting::OnePass),
        State::is_broken,
    );
    let trace = trace.expect("the counterexample must be found");
    println!("shortest trace: {} steps", trace.len() - 1);
}
