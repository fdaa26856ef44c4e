//! Routing by expected time against routing by counts: many senders, few servers of unlike speed,
//! requests of unlike cost.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use nutmegwheel_policy::{
    routing::{
        Announcement, BackendKey, LoadReport, Options, Outcome, Request, ServerState, Table,
    },
    work::{Ledger, Ticket},
};
use nutmegwheel_types::{EndpointId, Priority};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SENDERS: usize = 90;
const SLOTS: u32 = 16;
const SPEEDS: [f64; 4] = [0.55, 1.2, 1.2, 1.2];
const LENGTH: Duration = Duration::from_secs(12);
/// One in this many arrivals samples the spread.
const SAMPLED: usize = 20;
const WARM_UP: Duration = Duration::from_secs(4);
const TOP: Priority = Priority {
    rank: 0,
    over_share: 0,
    root_hash: 0,
};

/// A kind of request: its name, its mean work in seconds at speed 1, and its share.
const KINDS: [(&str, f64, f64); 2] = [("short", 0.015, 0.6), ("dear", 0.170, 0.4)];

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Finish(usize, usize),
}

struct Job {
    sender: usize,
    server: usize,
    key: BackendKey,
    kind: EndpointId,
    work: f64,
    ticket: Ticket,
    arrived: Instant,
    ends: Option<Instant>,
}

struct Server {
    speed: f64,
    ledger: Ledger,
    running: u32,
    waiting: VecDeque<usize>,
}

#[derive(Debug)]
struct Outcomes {
    p99_wait: f64,
    mean_time: f64,
    /// The mean over time of the difference between the most and the least work that a server has
    /// left in parts of its speed, in seconds for each slot.
    spread: f64,
}

/// Senders and servers with the requests between them.
struct Model {
    by_time: bool,
    rate: f64,
    rng: StdRng,
    keys: Vec<BackendKey>,
    tables: Vec<Table>,
    servers: Vec<Server>,
    jobs: Vec<Job>,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    waits: Vec<f64>,
    times: Vec<f64>,
    spreads: Vec<f64>,
}

impl Model {
    fn open(now: Instant, by_time: bool, utilization: f64, seed: u64) -> Self {
        let mut keys = Vec::new();
        let mut open_table = || {
            let mut table = Table::open(Arc::from("riga1"), Options::default());
            let servers = 0..SPEEDS.len();
            keys = servers
                .map(|n| table.announce(now, announcement(n)))
                .collect();
            table
        };
        let tables = (0..SENDERS).map(|_| open_table()).collect();
        let server = |speed: &f64| Server {
            speed: *speed,
            ledger: Ledger::default(),
            running: 0,
            waiting: VecDeque::new(),
        };
        let kinds = KINDS.iter();
        let mean_work: f64 = kinds.map(|(_, mean, share)| mean * share * 1.18).sum();
        let room: f64 = SPEEDS.iter().sum::<f64>() * f64::from(SLOTS);
        Self {
            by_time,
            rate: utilization * room / mean_work,
            rng: StdRng::seed_from_u64(seed),
            keys,
            tables,
            servers: SPEEDS.iter().map(server).collect(),
            jobs: Vec::new(),
            events: BinaryHeap::from([Reverse((now, Event::Arrival))]),
            waits: Vec::new(),
            times: Vec::new(),
            spreads: Vec::new(),
        }
    }

    fn play(mut self, begin: Instant) -> Outcomes {
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now > begin + LENGTH {
                break;
            }
            let is_warm = now > begin + WARM_UP;
            match event {
                Event::Arrival => {
                    self.arrive(now);
                    if is_warm && self.jobs.len().is_multiple_of(SAMPLED) {
                        self.spreads.push(self.spread(now));
                    }
                }
                Event::Finish(server, job) => {
                    self.finish(now, server, job);
                    if is_warm {
                        let time = now - self.jobs[job].arrived;
                        self.times.push(time.as_secs_f64());
                    }
                }
            }
        }
        Outcomes {
            p99_wait: p99(&mut self.waits),
            mean_time: mean(&self.times),
            spread: mean(&self.spreads),
        }
    }

    fn arrive(&mut self, now: Instant) {
        let gap = -self.rng.random::<f64>().max(1e-9).ln() / self.rate;
        let next = now + Duration::from_secs_f64(gap);
        self.events.push(Reverse((next, Event::Arrival)));
        let (name, mean, _) = KINDS[usize::from(self.rng.random_bool(KINDS[1].2))];
        let kind: EndpointId = name.into();
        let sender = self.rng.random_range(0..SENDERS);
        let req = Request {
            priority: TOP,
            tried: &[],
        };
        let table = &mut self.tables[sender];
        let key = if self.by_time {
            table.choose_by_time(now, &req, &kind, &mut self.rng)
        } else {
            table.choose(now, &req, &mut self.rng)
        };
        let key = key.unwrap();
        let server = self.keys.iter().position(|k| *k == key).unwrap();
        self.jobs.push(Job {
            sender,
            server,
            key,
            work: draw_work(mean, &mut self.rng),
            ticket: self.servers[server].ledger.enter(&kind),
            kind,
            arrived: now,
            ends: None,
        });
        let job = self.jobs.len() - 1;
        self.servers[server].waiting.push_back(job);
        self.start(now, server);
    }

    fn finish(&mut self, now: Instant, server: usize, job: usize) {
        let state = &mut self.servers[server];
        let job = &self.jobs[job];
        state.running -= 1;
        state.ledger.finish(now, job.ticket, Duration::ZERO);
        let load = LoadReport {
            running: state.running,
            waiting: u32::try_from(state.waiting.len()).unwrap(),
            limit: SLOTS,
            shed_level: None,
        };
        let work = state.ledger.report(now, &job.kind);
        let table = &mut self.tables[job.sender];
        table.finish(now, job.key, Outcome::Answered, Some(load));
        if self.by_time {
            table.observe_work(now, job.key, &job.kind, Some(work));
        }
        self.start(now, server);
    }

    fn start(&mut self, now: Instant, server: usize) {
        let state = &mut self.servers[server];
        while state.running < SLOTS {
            let Some(index) = state.waiting.pop_front() else {
                return;
            };
            let job = &mut self.jobs[index];
            state.running += 1;
            state.ledger.start(now, job.ticket);
            self.waits.push((now - job.arrived).as_secs_f64());
            let ends = now + Duration::from_secs_f64(job.work / state.speed);
            job.ends = Some(ends);
            self.events
                .push(Reverse((ends, Event::Finish(server, index))));
        }
    }

    fn spread(&self, now: Instant) -> f64 {
        let mut left = vec![0.0; self.servers.len()];
        for job in &self.jobs {
            let seconds = match job.ends {
                Some(ends) => ends.saturating_duration_since(now).as_secs_f64(),
                None => job.work / self.servers[job.server].speed,
            };
            left[job.server] += seconds / f64::from(SLOTS);
        }
        let most = left.iter().copied().fold(0.0, f64::max);
        let least = left.iter().copied().fold(f64::MAX, f64::min);
        most - least
    }
}

fn announcement(n: usize) -> Announcement {
    Announcement {
        node: Arc::from(format!("n{n}")),
        data_centre: Arc::from("riga1"),
        incarnation: 1,
        slots: SLOTS,
        state: ServerState::Ready,
    }
}

/// Lognormal work with a tail: 3 in 100 take seven times as long.
fn draw_work(mean: f64, rng: &mut impl Rng) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    let body = mean * (0.5 * normal - 0.125).exp();
    if rng.random_bool(0.03) {
        body * 7.0
    } else {
        body
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / f64::from(u32::try_from(values.len()).unwrap())
}

fn p99(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() * 99 / 100]
}

#[test]
fn expected_time_spreads_work_better_than_counts() {
    for (utilization, seed) in [(0.5, 1), (0.7, 2), (0.9, 3)] {
        let now = Instant::now();
        let play = |by_time| Model::open(now, by_time, utilization, seed).play(now);
        let (count, time) = (play(false), play(true));
        println!("{utilization}\n  count {count:?}\n  time  {time:?}");
        assert!(time.p99_wait <= count.p99_wait, "{utilization}");
        assert!(time.mean_time < count.mean_time, "{utilization}");
        // Below that hardly anything waits, and the fast servers are given more on purpose.
        if utilization >= 0.7 {
            assert!(time.spread < count.spread, "{utilization}");
        }
    }
}
