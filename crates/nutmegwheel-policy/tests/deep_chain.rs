//! One service at the end of every chain is short of room, and each chain needs several of its
//! answers, one after the other.
//!
//! Doors, senders and queues decide with the code of the system, on a virtual clock: many doors that
//! each see few requests, senders that choose among backend servers of unequal speed, requests whose
//! calls come in sequence, callers that come back once.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use nutmegwheel_policy::{
    admission::{self, Completion, Event, Offer, Queue, Ticket},
    concurrency::Fixed,
    routing::{self, Announcement, BackendKey, Outcome, ServerState, Table},
    shed::{self, Decision, ShedLevels},
};
use nutmegwheel_types::{Priority, ProcessName, ServiceId};
use rand::{Rng, SeedableRng, rngs::StdRng};

const DOORS: usize = 60;
const SENDERS: usize = 8;
const SLOTS: u16 = 100;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.4];
/// The time of a call at a backend server of speed 1.
const WORK: Duration = Duration::from_millis(30);
/// The time that a call further down may take at most.
const CALL_LIMIT: Duration = Duration::from_millis(700);
/// The part of the time left up to which callers heed a time to come back.
const HEEDED: u32 = 3;
/// The time that a caller has in all.
const CALLER_TIME: Duration = Duration::from_secs(5);
const RUN: Duration = Duration::from_secs(8);
/// The time in which levels settle, left out.
const SETTLING: Duration = Duration::from_secs(2);
/// The time at the end in which requests may be under way still, left out.
const ENDING: Duration = Duration::from_secs(2);
/// The part of the best possible worth that must be reached, as in `admission_surge.rs`.
const GOODPUT: f64 = 0.9;

/// A kind of request.
struct Kind {
    name: &'static str,
    per_second: f64,
    rank: u8,
    calls: u32,
    /// The time until its first call.
    before: Duration,
    limit: Duration,
    worth: f64,
}

const KINDS: [Kind; 2] = [
    Kind {
        name: "order",
        per_second: 362.0,
        rank: 16,
        calls: 8,
        before: Duration::from_millis(175),
        limit: Duration::from_millis(1200),
        worth: 3.0,
    },
    Kind {
        name: "read",
        per_second: 753.0,
        rank: 18,
        calls: 4,
        before: Duration::from_millis(150),
        limit: Duration::from_millis(800),
        worth: 1.0,
    },
];

struct Chain {
    kind: usize,
    door: usize,
    sender: usize,
    priority: Priority,
    began: Instant,
    /// When its caller sent it first.
    asked: Instant,
    is_second: bool,
    done: u32,
    tried: Vec<usize>,
}

enum Due {
    Arrives(usize),
    Returns(Chain),
    Calls(usize),
    Ends { server: usize, ticket: Ticket },
    Wakes(usize),
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: u32,
    served: u32,
    refused: u32,
    failed: u32,
    /// Calls that ran for requests that failed.
    wasted: u32,
}

struct World {
    rng: StdRng,
    load: f64,
    start: Instant,
    now: Instant,
    service: ServiceId,
    nodes: Vec<ProcessName>,
    queues: Vec<Queue>,
    levels: Vec<ShedLevels>,
    tables: Vec<(Table, Vec<BackendKey>)>,
    chains: HashMap<usize, Chain>,
    waiting: HashMap<(usize, Ticket), usize>,
    /// When each queue is looked at next for requests that wait too long.
    wakes: [Option<Instant>; 3],
    next: usize,
    due: BinaryHeap<Reverse<(Instant, usize)>>,
    what: HashMap<usize, Due>,
    tallies: [Tally; 2],
}

impl World {
    fn open(seed: u64, load: f64) -> Self {
        let start = Instant::now();
        let nodes: Vec<ProcessName> = (0..SPEEDS.len())
            .map(|n| Arc::from(format!("n{n}")))
            .collect();
        let tables = (0..SENDERS).map(|sender| {
            let zone = format!("zone{}", sender % SPEEDS.len());
            let mut table = Table::open(Arc::from(zone), routing::Options::default());
            let keys = nodes.iter().enumerate().map(|(n, node)| {
                table.announce(
                    start,
                    Announcement {
                        node: node.clone(),
                        data_centre: Arc::from(format!("zone{n}")),
                        incarnation: 1,
                        slots: SLOTS.into(),
                        state: ServerState::Ready,
                    },
                )
            });
            let keys = keys.collect();
            (table, keys)
        });
        let queue = |_| {
            let limiter = Box::new(Fixed::open(SLOTS.into()));
            Queue::open(start, limiter, admission::Options::default())
        };
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            load,
            start,
            now: start,
            service: Arc::from("intake"),
            queues: (0..SPEEDS.len()).map(queue).collect(),
            levels: (0..DOORS)
                .map(|_| ShedLevels::open(shed::Options::default()))
                .collect(),
            tables: tables.collect(),
            nodes,
            chains: HashMap::new(),
            waiting: HashMap::new(),
            wakes: [None; 3],
            next: 0,
            due: BinaryHeap::new(),
            what: HashMap::new(),
            tallies: [Tally::default(); 2],
        };
        for kind in 0..KINDS.len() {
            world.plan(start, Due::Arrives(kind));
        }
        world
    }

    fn plan(&mut self, at: Instant, due: Due) {
        self.next += 1;
        self.due.push(Reverse((at, self.next)));
        self.what.insert(self.next, due);
    }

    fn run(&mut self) {
        while let Some(Reverse((at, id))) = self.due.pop() {
            if at > self.start + RUN {
                return;
            }
            self.now = at;
            match self.what.remove(&id).unwrap() {
                Due::Arrives(kind) => self.arrive(kind),
                Due::Returns(chain) => self.enter(chain),
                Due::Calls(chain) => self.call(chain),
                Due::Ends { server, ticket } => self.end(server, ticket),
                Due::Wakes(server) => {
                    self.wakes[server] = None;
                    self.pump(server);
                }
            }
        }
    }

    fn tally(&mut self, chain: &Chain) -> Option<&mut Tally> {
        let counted = self.start + SETTLING..self.start + RUN.saturating_sub(ENDING);
        let counts = counted.contains(&chain.asked);
        counts.then(|| &mut self.tallies[chain.kind])
    }

    fn arrive(&mut self, kind: usize) {
        let mean = 1.0 / (KINDS[kind].per_second * self.load);
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let pause = Duration::from_secs_f64(-mean * uniform.ln());
        self.plan(self.now + pause, Due::Arrives(kind));
        let chain = Chain {
            kind,
            door: 0,
            sender: 0,
            priority: Priority {
                rank: KINDS[kind].rank,
                over_share: 0,
                root_hash: 0,
            },
            began: self.now,
            asked: self.now,
            is_second: false,
            done: 0,
            tried: Vec::new(),
        };
        if let Some(tally) = self.tally(&chain) {
            tally.asked += 1;
        }
        self.enter(chain);
    }

    /// A request at a door, the first time or again.
    fn enter(&mut self, mut chain: Chain) {
        chain.door = self.rng.random_range(0..DOORS);
        chain.sender = self.rng.random_range(0..SENDERS);
        chain.priority.root_hash = self.rng.random();
        chain.began = self.now;
        let req = shed::Request {
            service: self.service.clone(),
            priority: chain.priority,
            is_nested: false,
            available: SPEEDS.len(),
        };
        match self.levels[chain.door].decide(self.now, &req, &mut self.rng) {
            Decision::Pass => {
                let at = self.now + KINDS[chain.kind].before;
                self.next += 1;
                let id = self.next;
                self.chains.insert(id, chain);
                self.plan(at, Due::Calls(id));
            }
            Decision::Refuse { retry_after } => self.refuse(chain, Some(retry_after)),
        }
    }

    /// Sends a request back to its caller, who comes again once if it is told when.
    fn refuse(&mut self, mut chain: Chain, retry_after: Option<Duration>) {
        let left = CALLER_TIME.saturating_sub(self.now - chain.asked);
        let again = retry_after.map(|after| after.min(left / HEEDED));
        if let Some(after) = again.filter(|_| !chain.is_second) {
            chain.is_second = true;
            chain.done = 0;
            chain.tried.clear();
            self.plan(self.now + after, Due::Returns(chain));
        } else if let Some(tally) = self.tally(&chain) {
            tally.refused += u32::from(retry_after.is_some());
            tally.failed += u32::from(retry_after.is_none());
        }
    }

    fn call(&mut self, id: usize) {
        let chain = &self.chains[&id];
        let kind = &KINDS[chain.kind];
        let deadline = (chain.began + kind.limit).min(self.now + CALL_LIMIT);
        let (table, keys) = &mut self.tables[chain.sender];
        let tried: Vec<BackendKey> = chain.tried.iter().map(|server| keys[*server]).collect();
        let req = routing::Request {
            priority: chain.priority,
            tried: &tried,
        };
        let chosen = table.choose(self.now, &req, &mut self.rng).ok();
        let Some(key) = chosen.filter(|_| self.now < deadline) else {
            return self.fail(id);
        };
        let server = keys.iter().position(|known| *known == key).unwrap();
        self.chains.get_mut(&id).unwrap().tried.push(server);
        let offer = self.queues[server].offer(
            self.now,
            admission::Request {
                priority: self.chains[&id].priority,
                is_nested: true,
                endpoint: Arc::from("catalogue"),
                deadline,
            },
            &mut self.rng,
        );
        match offer {
            Offer::Started(ticket) => self.start_run(server, ticket, id),
            Offer::Waiting(ticket) => {
                self.waiting.insert((server, ticket), id);
            }
            Offer::Refused(_) => self.refused(server, id),
        }
        self.pump(server);
    }

    fn start_run(&mut self, server: usize, ticket: Ticket, id: usize) {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let factor = (0.5 - 0.5 * uniform.ln()) / SPEEDS[server];
        self.waiting.insert((server, ticket), id);
        self.plan(
            self.now + WORK.mul_f64(factor),
            Due::Ends { server, ticket },
        );
    }

    fn pump(&mut self, server: usize) {
        while let Some(event) = self.queues[server].poll(self.now, &mut self.rng) {
            match event {
                Event::Started(ticket) => {
                    let id = self.waiting[&(server, ticket)];
                    self.start_run(server, ticket, id);
                }
                Event::Refused(ticket, _) => {
                    let id = self.waiting.remove(&(server, ticket)).unwrap();
                    self.refused(server, id);
                }
            }
        }
        if let Some(at) = self.queues[server].next_wakeup() {
            let at = at.max(self.now) + Duration::from_millis(1);
            if self.wakes[server].is_none_or(|planned| at < planned) {
                self.wakes[server] = Some(at);
                self.plan(at, Due::Wakes(server));
            }
        }
    }

    /// A call that was turned away goes on to the next backend server.
    fn refused(&mut self, server: usize, id: usize) {
        self.report(server, id, Outcome::Refused);
        self.plan(self.now, Due::Calls(id));
    }

    fn end(&mut self, server: usize, ticket: Ticket) {
        self.queues[server].finish(self.now, ticket, Completion::Answered);
        let id = self.waiting.remove(&(server, ticket)).unwrap();
        self.report(server, id, Outcome::Answered);
        let chain = self.chains.get_mut(&id).unwrap();
        let kind = &KINDS[chain.kind];
        chain.done += 1;
        chain.tried.clear();
        if self.now > chain.began + kind.limit {
            self.fail(id);
        } else if chain.done == kind.calls {
            let chain = self.chains.remove(&id).unwrap();
            self.learn(&chain);
            if let Some(tally) = self.tally(&chain) {
                tally.served += 1;
            }
        } else {
            self.plan(self.now, Due::Calls(id));
        }
        self.pump(server);
    }

    fn report(&mut self, server: usize, id: usize, outcome: Outcome) {
        let (table, keys) = &mut self.tables[self.chains[&id].sender];
        let report = self.queues[server].report();
        table.finish(self.now, keys[server], outcome, Some(report));
    }

    /// The door learns the levels with the answer, whatever it is.
    fn learn(&mut self, chain: &Chain) {
        for (queue, node) in self.queues.iter().zip(&self.nodes) {
            let level = queue.report().shed_level;
            self.levels[chain.door].observe(self.now, &self.service, node, level);
        }
    }

    /// The backend server above answers with an error; only what may be repeated comes again.
    fn fail(&mut self, id: usize) {
        let chain = self.chains.remove(&id).unwrap();
        self.learn(&chain);
        let done = chain.done;
        if let Some(tally) = self.tally(&chain) {
            tally.wasted += done;
        }
        self.refuse(chain, None);
    }
}

/// The worth that the room of the service allows for, in parts of what is asked: the most urgent
/// first, and nothing wasted.
fn best(load: f64) -> f64 {
    let speed: f64 = SPEEDS.iter().sum();
    let mut room = speed * f64::from(SLOTS) / WORK.as_secs_f64();
    let (mut worth, mut asked) = (0.0, 0.0);
    for kind in &KINDS {
        let rate = kind.per_second * load;
        let served = rate.min(room / f64::from(kind.calls));
        room -= served * f64::from(kind.calls);
        worth += served * kind.worth;
        asked += rate * kind.worth;
    }
    worth / asked
}

fn play(seed: u64, load: f64) -> f64 {
    let mut world = World::open(seed, load);
    world.run();
    let (mut worth, mut asked) = (0.0, 0.0);
    for (kind, tally) in KINDS.iter().zip(&world.tallies) {
        println!("load {load}, {}: {tally:?}", kind.name);
        worth += f64::from(tally.served) * kind.worth;
        asked += f64::from(tally.asked) * kind.worth;
    }
    println!(
        "load {load}: worth {:.3}, at best {:.3}",
        worth / asked,
        best(load)
    );
    worth / asked
}

#[test]
fn most_of_the_room_serves_whole_chains() {
    // Just enough room, too little for the less urgent kind, too little for the urgent one.
    for load in [1.6, 2.2, 3.3] {
        let worth = play(1, load);
        assert!(worth >= GOODPUT * best(load), "load {load}: {worth}");
    }
}
