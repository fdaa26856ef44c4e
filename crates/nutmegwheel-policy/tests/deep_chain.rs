//! Goodput of call chains that all depend on one overloaded service, which each of them calls
//! several times in sequence.
//!
//! Load shedding, routing and admission run the real code on a virtual clock. There are many
//! ingress nodes that each see few requests, senders that choose among backend servers of different
//! speed, and callers that retry once. The failure to guard against is that calls are refused late,
//! so that the capacity of the service goes into chains that fail.

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

const INGRESS_NODES: usize = 60;
const SENDERS: usize = 8;
const SLOTS: u16 = 100;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.4];
/// The service time of a call at a backend server of speed 1.
const SERVICE_TIME: Duration = Duration::from_millis(30);
/// The maximum time of a nested call.
const MAX_CALL_TIME: Duration = Duration::from_millis(700);
/// Callers wait for `retry_after`, but at most for their remaining time divided by this.
const RETRY_AFTER_DIVISOR: u32 = 3;
/// The total time that a caller waits.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);
const RUN_TIME: Duration = Duration::from_secs(8);
/// The initial time that is not measured, while the shed levels stabilize.
const WARM_UP_TIME: Duration = Duration::from_secs(2);
/// The final time that is not measured, because requests may still be running.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// The fraction of the optimal value that must be reached, as in `admission_surge.rs`.
const MIN_GOODPUT: f64 = 0.9;

/// A type of request.
struct RequestType {
    name: &'static str,
    per_second: f64,
    rank: u8,
    calls: u32,
    /// The time before its first call.
    delay: Duration,
    timeout: Duration,
    value: f64,
}

const REQUEST_TYPES: [RequestType; 2] = [
    RequestType {
        name: "order",
        per_second: 362.0,
        rank: 16,
        calls: 8,
        delay: Duration::from_millis(175),
        timeout: Duration::from_millis(1200),
        value: 3.0,
    },
    RequestType {
        name: "read",
        per_second: 753.0,
        rank: 18,
        calls: 4,
        delay: Duration::from_millis(150),
        timeout: Duration::from_millis(800),
        value: 1.0,
    },
];

struct CallChain {
    request_type: usize,
    ingress: usize,
    sender: usize,
    priority: Priority,
    started_at: Instant,
    /// When the caller sent its first attempt.
    first_sent_at: Instant,
    is_retry: bool,
    completed_calls: u32,
    tried: Vec<usize>,
}

enum Step {
    Arrival(usize),
    Retry(CallChain),
    Call(usize),
    EndCall { server: usize, ticket: Ticket },
    Poll(usize),
}

#[derive(Clone, Copy, Debug, Default)]
struct Stats {
    requests: u32,
    served: u32,
    refused: u32,
    failed: u32,
    /// Completed calls of requests that failed.
    wasted_calls: u32,
}

struct Simulation {
    rng: StdRng,
    load: f64,
    start: Instant,
    now: Instant,
    service: ServiceId,
    nodes: Vec<ProcessName>,
    queues: Vec<Queue>,
    levels: Vec<ShedLevels>,
    tables: Vec<(Table, Vec<BackendKey>)>,
    chains: HashMap<usize, CallChain>,
    waiting: HashMap<(usize, Ticket), usize>,
    /// When each queue is polled next for overdue requests.
    next_polls: [Option<Instant>; 3],
    next_id: usize,
    timeline: BinaryHeap<Reverse<(Instant, usize)>>,
    steps: HashMap<usize, Step>,
    stats_by_type: [Stats; 2],
}

impl Simulation {
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
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            load,
            start,
            now: start,
            service: Arc::from("intake"),
            queues: (0..SPEEDS.len()).map(queue).collect(),
            levels: (0..INGRESS_NODES)
                .map(|_| ShedLevels::open(shed::Options::default()))
                .collect(),
            tables: tables.collect(),
            nodes,
            chains: HashMap::new(),
            waiting: HashMap::new(),
            next_polls: [None; 3],
            next_id: 0,
            timeline: BinaryHeap::new(),
            steps: HashMap::new(),
            stats_by_type: [Stats::default(); 2],
        };
        for request_type in 0..REQUEST_TYPES.len() {
            simulation.schedule(start, Step::Arrival(request_type));
        }
        simulation
    }

    fn schedule(&mut self, at: Instant, step: Step) {
        self.next_id += 1;
        self.timeline.push(Reverse((at, self.next_id)));
        self.steps.insert(self.next_id, step);
    }

    fn run(&mut self) {
        while let Some(Reverse((at, id))) = self.timeline.pop() {
            if at > self.start + RUN_TIME {
                return;
            }
            self.now = at;
            match self.steps.remove(&id).unwrap() {
                Step::Arrival(request_type) => self.arrive(request_type),
                Step::Retry(chain) => self.arrive_at_ingress(chain),
                Step::Call(chain) => self.call(chain),
                Step::EndCall { server, ticket } => self.end(server, ticket),
                Step::Poll(server) => {
                    self.next_polls[server] = None;
                    self.poll_queue(server);
                }
            }
        }
    }

    fn stats(&mut self, chain: &CallChain) -> Option<&mut Stats> {
        let measured = self.start + WARM_UP_TIME..self.start + RUN_TIME.saturating_sub(DRAIN_TIME);
        let is_measured = measured.contains(&chain.first_sent_at);
        is_measured.then(|| &mut self.stats_by_type[chain.request_type])
    }

    fn arrive(&mut self, request_type: usize) {
        let mean = 1.0 / (REQUEST_TYPES[request_type].per_second * self.load);
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let interval = Duration::from_secs_f64(-mean * uniform.ln());
        self.schedule(self.now + interval, Step::Arrival(request_type));
        let chain = CallChain {
            request_type,
            ingress: 0,
            sender: 0,
            priority: Priority {
                rank: REQUEST_TYPES[request_type].rank,
                over_share: 0,
                root_hash: 0,
            },
            started_at: self.now,
            first_sent_at: self.now,
            is_retry: false,
            completed_calls: 0,
            tried: Vec::new(),
        };
        if let Some(stats) = self.stats(&chain) {
            stats.requests += 1;
        }
        self.arrive_at_ingress(chain);
    }

    /// Handles a request at an ingress node, either a first attempt or a retry.
    fn arrive_at_ingress(&mut self, mut chain: CallChain) {
        chain.ingress = self.rng.random_range(0..INGRESS_NODES);
        chain.sender = self.rng.random_range(0..SENDERS);
        chain.priority.root_hash = self.rng.random();
        chain.started_at = self.now;
        let req = shed::Request {
            service: self.service.clone(),
            priority: chain.priority,
            is_nested: false,
            available: SPEEDS.len(),
        };
        match self.levels[chain.ingress].decide(self.now, &req, &mut self.rng) {
            Decision::Pass => {
                let at = self.now + REQUEST_TYPES[chain.request_type].delay;
                self.next_id += 1;
                let id = self.next_id;
                self.chains.insert(id, chain);
                self.schedule(at, Step::Call(id));
            }
            Decision::Refuse { retry_after } => self.refuse(chain, Some(retry_after)),
        }
    }

    /// Refuses a request. Its caller retries once if the refusal has a `retry_after`.
    fn refuse(&mut self, mut chain: CallChain, retry_after: Option<Duration>) {
        let remaining = CALLER_TIMEOUT.saturating_sub(self.now - chain.first_sent_at);
        let retry_delay = retry_after.map(|after| after.min(remaining / RETRY_AFTER_DIVISOR));
        if let Some(after) = retry_delay.filter(|_| !chain.is_retry) {
            chain.is_retry = true;
            chain.completed_calls = 0;
            chain.tried.clear();
            self.schedule(self.now + after, Step::Retry(chain));
        } else if let Some(stats) = self.stats(&chain) {
            stats.refused += u32::from(retry_after.is_some());
            stats.failed += u32::from(retry_after.is_none());
        }
    }

    fn call(&mut self, id: usize) {
        let chain = &self.chains[&id];
        let request_type = &REQUEST_TYPES[chain.request_type];
        let deadline = (chain.started_at + request_type.timeout).min(self.now + MAX_CALL_TIME);
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
        let server = keys.iter().position(|candidate| *candidate == key).unwrap();
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
            Offer::Refused(_) => self.retry_elsewhere(server, id),
        }
        self.poll_queue(server);
    }

    fn start_run(&mut self, server: usize, ticket: Ticket, id: usize) {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let factor = (0.5 - 0.5 * uniform.ln()) / SPEEDS[server];
        self.waiting.insert((server, ticket), id);
        self.schedule(
            self.now + SERVICE_TIME.mul_f64(factor),
            Step::EndCall { server, ticket },
        );
    }

    fn poll_queue(&mut self, server: usize) {
        while let Some(event) = self.queues[server].poll(self.now, &mut self.rng) {
            match event {
                Event::Started(ticket) => {
                    let id = self.waiting[&(server, ticket)];
                    self.start_run(server, ticket, id);
                }
                Event::Refused(ticket, _) => {
                    let id = self.waiting.remove(&(server, ticket)).unwrap();
                    self.retry_elsewhere(server, id);
                }
            }
        }
        if let Some(at) = self.queues[server].next_wakeup() {
            let at = at.max(self.now) + Duration::from_millis(1);
            if self.next_polls[server].is_none_or(|scheduled| at < scheduled) {
                self.next_polls[server] = Some(at);
                self.schedule(at, Step::Poll(server));
            }
        }
    }

    /// Sends a refused call to the next backend server.
    fn retry_elsewhere(&mut self, server: usize, id: usize) {
        self.report(server, id, Outcome::Refused);
        self.schedule(self.now, Step::Call(id));
    }

    fn end(&mut self, server: usize, ticket: Ticket) {
        self.queues[server].finish(self.now, ticket, Completion::Answered);
        let id = self.waiting.remove(&(server, ticket)).unwrap();
        self.report(server, id, Outcome::Answered);
        let chain = self.chains.get_mut(&id).unwrap();
        let request_type = &REQUEST_TYPES[chain.request_type];
        chain.completed_calls += 1;
        chain.tried.clear();
        if self.now > chain.started_at + request_type.timeout {
            self.fail(id);
        } else if chain.completed_calls == request_type.calls {
            let chain = self.chains.remove(&id).unwrap();
            self.record_levels(&chain);
            if let Some(stats) = self.stats(&chain) {
                stats.served += 1;
            }
        } else {
            self.schedule(self.now, Step::Call(id));
        }
        self.poll_queue(server);
    }

    fn report(&mut self, server: usize, id: usize, outcome: Outcome) {
        let (table, keys) = &mut self.tables[self.chains[&id].sender];
        let report = self.queues[server].report();
        table.finish(self.now, keys[server], outcome, Some(report));
    }

    /// Records the shed levels at the ingress node. Every response carries them, even an error.
    fn record_levels(&mut self, chain: &CallChain) {
        for (queue, node) in self.queues.iter().zip(&self.nodes) {
            let level = queue.report().shed_level;
            self.levels[chain.ingress].observe(self.now, &self.service, node, level);
        }
    }

    /// The calling backend server responds with an error, which its caller does not retry.
    fn fail(&mut self, id: usize) {
        let chain = self.chains.remove(&id).unwrap();
        self.record_levels(&chain);
        let completed_calls = chain.completed_calls;
        if let Some(stats) = self.stats(&chain) {
            stats.wasted_calls += completed_calls;
        }
        self.refuse(chain, None);
    }
}

/// The greatest fraction of the requested value that the capacity of the service allows: the most
/// important requests come first, and no call is wasted.
fn optimal_value(load: f64) -> f64 {
    let speed: f64 = SPEEDS.iter().sum();
    let mut capacity = speed * f64::from(SLOTS) / SERVICE_TIME.as_secs_f64();
    let (mut value, mut requested) = (0.0, 0.0);
    for request_type in &REQUEST_TYPES {
        let rate = request_type.per_second * load;
        let served = rate.min(capacity / f64::from(request_type.calls));
        capacity -= served * f64::from(request_type.calls);
        value += served * request_type.value;
        requested += rate * request_type.value;
    }
    value / requested
}

fn run_with_load(seed: u64, load: f64) -> f64 {
    let mut simulation = Simulation::open(seed, load);
    simulation.run();
    let (mut value, mut requested) = (0.0, 0.0);
    for (request_type, stats) in REQUEST_TYPES.iter().zip(&simulation.stats_by_type) {
        println!("load {load}, {}: {stats:?}", request_type.name);
        value += f64::from(stats.served) * request_type.value;
        requested += f64::from(stats.requests) * request_type.value;
    }
    println!(
        "load {load}: value {:.3}, optimum {:.3}",
        value / requested,
        optimal_value(load)
    );
    value / requested
}

#[test]
fn completes_chains_under_overload() {
    // Loads that the service can just handle, that exceed its capacity for the less important type,
    // and that exceed it even for the more important type.
    for load in [1.6, 2.2, 3.3] {
        let value = run_with_load(1, load);
        assert!(
            value >= MIN_GOODPUT * optimal_value(load),
            "load {load}: {value}"
        );
    }
}
