//! Exhaustive model check of docs/spec/SHARES.md that runs the real decision code: two candidates
//! for the token server lease, three seeds of which one restarts, one ingress node, a clock, and
//! messages that are lost, late or duplicated.

mod support;

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    rc::Rc,
    time::{Duration, Instant},
};

use nutmegwheel_limits::{
    Limit, TOKEN,
    lease::{LEASE_TERM, LeaseReply, Voter},
    messages::{Grant, TokenRequest},
    share::Renewal,
    token_cache::{Spend, TokenCache},
    token_server::{Output, TokenServer},
};
use nutmegwheel_types::WorkspaceId;
use pathfinding::prelude::{bfs, bfs_reach};

/// One tick of the clock. A batch lasts one tick, a holder's lease two and a seed's grant three.
const TICK: Duration = Duration::from_secs(1);
const TICKS: u8 = 4;
/// The maximum number of lease rounds.
const ROUNDS: u8 = 3;
/// The maximum number of token requests.
const REQUESTS: u8 = 2;
/// The bucket fills within one tick.
const LIMIT: Limit = Limit {
    rate: TOKEN,
    burst: TOKEN,
};

/// A fault injected into the model, which the check must detect.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// A restarted seed does not wait until the lease that it may have granted has expired.
    NoRecoveryWait,
    /// Ingress nodes keep batches for twice their term.
    LongBatches,
}

/// Identifies a part of a state by two hashes of it, with different salts.
type Key = (u64, u64);

/// A part of a state that many states share, with its precomputed key.
#[derive(Clone)]
struct Shared<T> {
    key: Key,
    value: Rc<T>,
}

/// A part of a state that has a key. The key of a token cache is that of its `Debug` output, since
/// its maps don't implement `Hash`.
trait Keyed: Clone {
    fn key(&self) -> Key;
}
impl Keyed for Voter {
    fn key(&self) -> Key {
        key(self)
    }
}
impl Keyed for TokenServer {
    fn key(&self) -> Key {
        key(self)
    }
}
impl Keyed for TokenCache {
    fn key(&self) -> Key {
        key(&format!("{self:?}"))
    }
}

fn key(part: &impl Hash) -> Key {
    let of = |salt: u64| {
        let mut hasher = DefaultHasher::new();
        (salt, part).hash(&mut hasher);
        hasher.finish()
    };
    (of(1), of(2))
}

impl<T: Keyed> Shared<T> {
    fn new(value: T) -> Self {
        Shared {
            key: value.key(),
            value: Rc::new(value),
        }
    }

    fn change<R>(&mut self, change: impl FnOnce(&mut T) -> R) -> R {
        let mut value = T::clone(&self.value);
        let result = change(&mut value);
        *self = Shared::new(value);
        result
    }
}

#[derive(Clone)]
struct World {
    tick: u8,
    voters: [Shared<Voter>; 3],
    token_servers: [Shared<TokenServer>; 2],
    ingress: Shared<TokenCache>,
    grants: Vec<Grant>,
    spent: Vec<u8>,
    restarts: u8,
    requests: u8,
    rounds: u8,
}

#[derive(Clone)]
struct Node {
    world: World,
    key: Key,
    step: String,
    depth: usize,
}

impl PartialEq for Node {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}
impl Eq for Node {}
impl Hash for Node {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}

struct Check {
    start: Instant,
    fault: Fault,
}

impl Check {
    fn new(fault: Fault) -> Self {
        Check {
            start: Instant::now() + Duration::from_hours(1),
            fault,
        }
    }

    fn now(&self, world: &World) -> Instant {
        self.start + TICK * u32::from(world.tick)
    }

    fn voter(started: Instant) -> Shared<Voter> {
        let mut voter = support::voter(started);
        voter.record_control_shares(1);
        Shared::new(voter)
    }

    fn initial(&self) -> Node {
        let voter = Self::voter(self.start.checked_sub(LEASE_TERM).unwrap());
        let token_servers = ["a", "b"].map(|name| Shared::new(self.token_server(name)));
        let ingress = Shared::new(TokenCache::open(support::ingress(0)));
        let world = World {
            tick: 0,
            voters: [voter.clone(), voter.clone(), voter],
            token_servers,
            ingress,
            grants: Vec::new(),
            spent: Vec::new(),
            restarts: 1,
            requests: REQUESTS,
            rounds: ROUNDS,
        };
        node(world, "start".into(), 0)
    }

    fn token_server(&self, name: &str) -> TokenServer {
        let mut token_server = support::token_server(name, self.start);
        for output in token_server.poll(self.start, Duration::ZERO) {
            if let Output::Renewal(req) = output {
                let shares = [(workspace(), support::share_without_floor(LIMIT))].into();
                let renewal = Renewal {
                    number: req.number,
                    version: 1,
                    shares,
                };
                assert!(token_server.on_renewal(&renewal, self.start));
            }
        }
        token_server
    }
}

impl Check {
    fn next(&self, node_: &Node) -> Vec<Node> {
        let world = &node_.world;
        let mut next = Vec::new();
        if !is_within_limit(&world.spent) {
            return Vec::new();
        }
        if world.tick < TICKS {
            let mut to = world.clone();
            to.tick += 1;
            next.push((to, "the clock advances".into()));
        }
        if world.restarts > 0 && world.voters[0].value.holder(self.now(world)).is_some() {
            next.push((self.restart(world), "seed s1 restarts".into()));
        }
        (0..2).for_each(|i| self.lease_round(world, i, &mut next));
        self.spend_or_request(world, &mut next);
        (0..world.grants.len()).for_each(|i| next.push(self.late_grant(world, i)));
        let depth = node_.depth + 1;
        next.into_iter()
            .map(|(world, step)| node(world, step, depth))
            .collect()
    }

    fn restart(&self, world: &World) -> World {
        let mut to = world.clone();
        to.restarts -= 1;
        let now = self.now(world);
        let waits = self.fault != Fault::NoRecoveryWait;
        let started = if waits {
            now
        } else {
            now.checked_sub(LEASE_TERM).unwrap()
        };
        to.voters[0] = Self::voter(started);
        to
    }

    /// A candidate or holder starts a lease round, whose request does not reach one of the seeds.
    fn lease_round(&self, world: &World, index: usize, next: &mut Vec<(World, String)>) {
        // Until the first round, both candidates are equivalent, and so are the seeds that do not
        // restart.
        let is_first = world.rounds == ROUNDS;
        if world.rounds == 0 || is_first && index == 1 {
            return;
        }
        let now = self.now(world);
        let mut to = world.clone();
        to.rounds -= 1;
        let outputs = to.token_servers[index].change(|s| s.poll(now, Duration::ZERO));
        let is_request = |o: &Output| matches!(o, Output::Lease(_));
        let Some(Output::Lease(req)) = outputs.into_iter().find(is_request) else {
            return;
        };
        for left_out in (0..3).filter(|s| !is_first || *s != 1) {
            let mut to = to.clone();
            let asked: Vec<_> = (0..3).filter(|s| *s != left_out).collect();
            let replies: Vec<_> = asked
                .iter()
                .map(|s| (*s, to.voters[*s].change(|x| x.on_request(&req, now))))
                .collect();
            self.vote(&mut to, index, &replies[0]);
            self.vote(&mut to, index, &replies[1]);
            next.push((
                to,
                format!("candidate {index} asks all seeds but {left_out}"),
            ));
        }
    }

    fn vote(&self, to: &mut World, index: usize, (voter, reply): &(usize, LeaseReply)) {
        let now = self.now(to);
        let voter = support::SEEDS[*voter].into();
        to.token_servers[index].change(|s| s.on_lease_reply(&voter, reply, now));
    }

    /// The ingress node spends a cached token, or requests one and cancels the waiting request.
    fn spend_or_request(&self, world: &World, next: &mut Vec<(World, String)>) {
        let now = self.now(world);
        let mut to = world.clone();
        let (spend, req) = to.ingress.change(|ingress| {
            let slot = ingress.workspace_slot(&workspace(), now);
            let spend = ingress.spend(slot, 1, now);
            let req = if spend == Spend::Waiting {
                ingress.poll(now).request
            } else {
                None
            };
            ingress.cancel(slot, 1);
            (spend, req)
        });
        if spend == Spend::Spent {
            to.spent.push(world.tick);
            next.push((to, "the ingress node spends a token".into()));
        } else if let (Some(req), 1..) = (req, world.requests) {
            to.requests -= 1;
            (0..2).for_each(|token_server| self.request(&to, &req, token_server, next));
        }
    }

    /// A token server replies in time or late, once or twice.
    fn request(
        &self,
        world: &World,
        req: &TokenRequest,
        token_server: usize,
        next: &mut Vec<(World, String)>,
    ) {
        let now = self.now(world);
        let mut to = world.clone();
        let Ok(grant) = to.token_servers[token_server].change(|s| s.on_request(req, now)) else {
            return;
        };
        let mut late = to.clone();
        late.grants.push(grant.clone());
        next.push((late, format!("token server {token_server} replies late")));
        self.apply_grant(&mut to, grant);
        let mut duplicate = to.clone();
        let copy = duplicate.token_servers[token_server]
            .change(|s| s.on_request(req, now))
            .unwrap();
        self.apply_grant(&mut duplicate, copy);
        next.push((
            duplicate,
            format!("token server {token_server} replies twice"),
        ));
        next.push((to, format!("token server {token_server} replies")));
    }

    fn apply_grant(&self, to: &mut World, mut grant: Grant) {
        let now = self.now(to);
        if self.fault == Fault::LongBatches {
            grant.items.iter_mut().for_each(|item| item.term *= 2);
        }
        to.ingress.change(|d| d.apply_grant(&grant, now));
    }

    fn late_grant(&self, world: &World, i: usize) -> (World, String) {
        let mut to = world.clone();
        let grant = to.grants.remove(i);
        self.apply_grant(&mut to, grant);
        (to, "the ingress node gets a late reply".into())
    }
}

fn workspace() -> WorkspaceId {
    "w".into()
}

fn node(world: World, step: String, depth: usize) -> Node {
    let w = &world;
    let voters = w.voters.each_ref().map(|s| s.key);
    let token_servers = w.token_servers.each_ref().map(|s| s.key);
    let messages = &w.grants;
    let counts = (w.tick, &w.spent, w.restarts, w.requests, w.rounds);
    let key = key(&(voters, token_servers, w.ingress.key, messages, counts));
    Node {
        world,
        key,
        step,
        depth,
    }
}

/// Whether in every period of time at most one token was spent, plus one for each tick.
fn is_within_limit(spent: &[u8]) -> bool {
    let periods = (0..spent.len()).flat_map(|from| (from..spent.len()).map(move |to| (from, to)));
    periods
        .into_iter()
        .all(|(from, to)| to - from <= usize::from(spent[to] - spent[from]))
}

#[test]
fn spent_tokens_never_exceed_rate_and_burst() {
    let check = Check::new(Fault::None);
    let (mut states, mut depth) = (0, 0);
    for node in bfs_reach(check.initial(), |n| check.next(n)) {
        assert!(
            is_within_limit(&node.world.spent),
            "depth {}: {}",
            node.depth,
            node.step
        );
        states += 1;
        depth = depth.max(node.depth);
    }
    println!("shares: {states} states, depth {depth}");
}

fn assert_shortest_trace(fault: Fault, steps: usize) {
    let check = Check::new(fault);
    let trace = bfs(
        &check.initial(),
        |n| check.next(n),
        |n| !is_within_limit(&n.world.spent),
    );
    let trace = trace.expect("the check detects the fault");
    for node in &trace {
        println!("{:2} {} s {}", node.depth, node.world.tick, node.step);
    }
    assert_eq!(trace.len() - 1, steps);
}

#[test]
fn detects_forgotten_grant() {
    assert_shortest_trace(Fault::NoRecoveryWait, 8);
}

#[test]
fn detects_overlong_batches() {
    assert_shortest_trace(Fault::LongBatches, 10);
}
