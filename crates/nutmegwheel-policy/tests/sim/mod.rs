//! A virtual-clock simulation of one backend server, its queue and callers that retry.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use nutmegwheel_policy::{
    admission::{Completion, Event, Offer, Options, Queue, Request, Ticket},
    concurrency::Limiter,
};
use nutmegwheel_types::Priority;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// The classes of work, most important first.
pub(crate) const RANKS: usize = 3;

/// Load and backend server of one run.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    /// Requests that the backend server really works on at a time; further ones share.
    pub(crate) workers: u32,
    /// The mean time of one request alone.
    pub(crate) service: Duration,
    /// The callers' deadline.
    pub(crate) within: Duration,
    /// First tries a second, each class's share of it, and the factor of the surge.
    pub(crate) rate: f64,
    pub(crate) shares: [f64; RANKS],
    pub(crate) surge: f64,
    pub(crate) surge_from: Duration,
    pub(crate) surge_to: Duration,
    pub(crate) end: Duration,
    /// The most tries of one caller.
    pub(crate) tries: u32,
    /// Whether callers heed the time to come back, or else ask again at once.
    pub(crate) heeds: bool,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            workers: 20,
            service: Duration::from_millis(20),
            within: Duration::from_millis(400),
            rate: 700.0,
            shares: [0.2, 0.4, 0.4],
            surge: 3.0,
            surge_from: Duration::from_secs(10),
            surge_to: Duration::from_secs(30),
            end: Duration::from_secs(45),
            tries: 4,
            heeds: true,
        }
    }
}

impl Scenario {
    pub(crate) fn capacity(&self) -> f64 {
        f64::from(self.workers) / self.service.as_secs_f64()
    }
}

/// What happened in one second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Second {
    pub(crate) first_tries: [u32; RANKS],
    /// Callers whose request finished in time, by the second of its finish.
    pub(crate) in_time: [u32; RANKS],
    /// Callers that gave up, by the second of their giving up.
    pub(crate) lost: [u32; RANKS],
    pub(crate) late: u32,
    /// Tries that were refused.
    pub(crate) refused: [u32; RANKS],
    pub(crate) tries: u32,
}

pub(crate) type Report = Vec<Second>;

/// What stands in front of the backend server.
pub(crate) enum Front {
    Admission(Box<Queue>),
    /// The baseline: first come, first served, to the announced slots, without deadlines.
    Fifo {
        slots: u32,
        running: u32,
        waiting: VecDeque<(usize, u32)>,
    },
}

impl Front {
    pub(crate) fn admission(start: Instant, limiter: Box<dyn Limiter>) -> Self {
        Self::Admission(Box::new(Queue::open(start, limiter, Options::default())))
    }

    pub(crate) fn fifo(slots: u32) -> Self {
        Self::Fifo {
            slots,
            running: 0,
            waiting: VecDeque::new(),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrival,
    Try { caller: usize },
    Finish { run: usize, plan: u64 },
    TimedOut { caller: usize, number: u32 },
    Poll,
}

struct Caller {
    rank: u8,
    hash: u16,
    tries: u32,
    deadline: Instant,
    is_done: bool,
    /// Whether the last try is without an answer.
    is_open: bool,
}

struct Run {
    caller: usize,
    number: u32,
    ticket: Option<Ticket>,
    /// Work left, in seconds of one worker.
    work: f64,
}

/// One run of a scenario. The backend server shares its workers evenly among what it runs.
pub(crate) struct Simulation {
    pub(crate) scenario: Scenario,
    start: Instant,
    now: Instant,
    rng: StdRng,
    front: Front,
    steps: BinaryHeap<Reverse<(Instant, u64, Step)>>,
    sequence: u64,
    callers: Vec<Caller>,
    runs: HashMap<usize, Run>,
    next_run: usize,
    progressed: Instant,
    plan: u64,
    poll_at: Option<Instant>,
    tickets: HashMap<Ticket, (usize, u32)>,
    report: Report,
}

pub(crate) fn run(scenario: Scenario, front: impl FnOnce(Instant) -> Front) -> Report {
    let start = Instant::now();
    let seconds = usize::try_from(scenario.end.as_secs()).unwrap() + 1;
    let mut simulation = Simulation {
        start,
        now: start,
        rng: StdRng::seed_from_u64(scenario.seed),
        front: front(start),
        steps: BinaryHeap::new(),
        sequence: 0,
        callers: Vec::new(),
        runs: HashMap::new(),
        next_run: 0,
        progressed: start,
        plan: 0,
        poll_at: None,
        tickets: HashMap::new(),
        report: vec![Second::default(); seconds],
        scenario,
    };
    simulation.run();
    simulation.report
}

impl Simulation {
    fn run(&mut self) {
        self.at(self.start, Step::Arrival);
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            if at >= self.start + self.scenario.end {
                break;
            }
            if self.is_stale(step) {
                continue;
            }
            self.progress(at);
            self.now = at;
            self.step(step);
            self.poll();
            self.schedule_finish();
        }
    }

    fn at(&mut self, at: Instant, step: Step) {
        self.sequence += 1;
        self.steps.push(Reverse((at, self.sequence, step)));
    }

    fn second(&mut self) -> &mut Second {
        let second = usize::try_from((self.now - self.start).as_secs()).unwrap();
        &mut self.report[second]
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrival => self.arrive(),
            Step::Try { caller } => self.send(caller),
            Step::Finish { run, .. } => self.finish(run),
            Step::TimedOut { caller, number } => self.time_out(caller, number),
            Step::Poll => {}
        }
    }

    fn arrive(&mut self) {
        let since = self.now - self.start;
        let is_surge = since >= self.scenario.surge_from && since < self.scenario.surge_to;
        let rate = self.scenario.rate * if is_surge { self.scenario.surge } else { 1.0 };
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.at(self.now + Duration::from_secs_f64(gap), Step::Arrival);
        let draw: f64 = self.rng.random();
        let shares = self.scenario.shares;
        let rank = if draw < shares[0] {
            0
        } else {
            1 + u8::from(draw >= shares[0] + shares[1])
        };
        let hash = self.rng.random();
        let caller = self.callers.len();
        self.callers.push(Caller {
            rank,
            hash,
            tries: 0,
            deadline: self.now,
            is_done: false,
            is_open: false,
        });
        self.second().first_tries[usize::from(rank)] += 1;
        self.send(caller);
    }

    fn send(&mut self, caller: usize) {
        let deadline = self.now + self.scenario.within;
        let state = &mut self.callers[caller];
        state.tries += 1;
        state.is_open = true;
        state.deadline = deadline;
        let number = state.tries;
        let priority = Priority {
            rank: state.rank,
            over_share: 0,
            root_hash: state.hash,
        };
        self.second().tries += 1;
        self.at(deadline, Step::TimedOut { caller, number });
        let is_queued = match &mut self.front {
            Front::Fifo { waiting, .. } => {
                waiting.push_back((caller, number));
                true
            }
            Front::Admission(_) => false,
        };
        if !is_queued {
            self.offer(caller, number, priority, deadline);
        }
    }

    fn offer(&mut self, caller: usize, number: u32, priority: Priority, deadline: Instant) {
        let Front::Admission(queue) = &mut self.front else {
            return;
        };
        let endpoint = Arc::from("count");
        let req = Request {
            priority,
            is_nested: false,
            endpoint,
            deadline,
        };
        match queue.offer(self.now, req, &mut self.rng) {
            Offer::Started(ticket) => {
                self.tickets.insert(ticket, (caller, number));
                self.begin(caller, number, Some(ticket));
            }
            Offer::Waiting(ticket) => {
                self.tickets.insert(ticket, (caller, number));
            }
            Offer::Refused(refusal) => self.refused(caller, refusal.retry_after),
        }
    }

    fn poll(&mut self) {
        loop {
            let event = match &mut self.front {
                Front::Admission(queue) => queue.poll(self.now, &mut self.rng),
                Front::Fifo { .. } => return self.poll_fifo(),
            };
            match event {
                Some(Event::Started(ticket)) => {
                    let (caller, number) = self.tickets[&ticket];
                    self.begin(caller, number, Some(ticket));
                }
                Some(Event::Refused(ticket, refusal)) => {
                    if let Some((caller, _)) = self.tickets.remove(&ticket) {
                        self.refused(caller, refusal.retry_after);
                    }
                }
                None => break,
            }
        }
        let Front::Admission(queue) = &self.front else {
            return;
        };
        let Some(wakeup) = queue.next_wakeup() else {
            return;
        };
        let at = wakeup.max(self.now) + Duration::from_micros(1);
        if self
            .poll_at
            .is_none_or(|planned| planned <= self.now || at < planned)
        {
            self.poll_at = Some(at);
            self.at(at, Step::Poll);
        }
    }

    fn poll_fifo(&mut self) {
        loop {
            let Front::Fifo {
                slots,
                running,
                waiting,
            } = &mut self.front
            else {
                return;
            };
            if *running >= *slots {
                return;
            }
            let Some((caller, number)) = waiting.pop_front() else {
                return;
            };
            *running += 1;
            self.begin(caller, number, None);
        }
    }

    fn begin(&mut self, caller: usize, number: u32, ticket: Option<Ticket>) {
        let mean = self.scenario.service.as_secs_f64();
        let work = mean * self.rng.random_range(0.5..1.5);
        let run = self.next_run;
        self.next_run += 1;
        self.runs.insert(
            run,
            Run {
                caller,
                number,
                ticket,
                work,
            },
        );
    }

    /// The part of a worker that each run gets.
    fn speed(&self) -> f64 {
        let running = u32::try_from(self.runs.len()).unwrap().max(1);
        (f64::from(self.scenario.workers) / f64::from(running)).min(1.0)
    }

    fn progress(&mut self, to: Instant) {
        let done = (to - self.progressed).as_secs_f64() * self.speed();
        for run in self.runs.values_mut() {
            run.work -= done;
        }
        self.progressed = to;
    }

    /// Plans the next finish; earlier plans no longer hold, for the speed may have changed.
    fn schedule_finish(&mut self) {
        let by_work = |a: &(&usize, &Run), b: &(&usize, &Run)| a.1.work.total_cmp(&b.1.work);
        let next = self
            .runs
            .iter()
            .min_by(|a, b| by_work(a, b).then(a.0.cmp(b.0)));
        self.plan += 1;
        let Some((&run, state)) = next else { return };
        let wait = Duration::from_secs_f64(state.work.max(0.0) / self.speed());
        let plan = self.plan;
        self.at(self.now + wait, Step::Finish { run, plan });
    }

    /// Whether a step is a finish that was planned anew since.
    fn is_stale(&self, step: Step) -> bool {
        matches!(step, Step::Finish { plan, .. } if plan != self.plan)
    }

    fn finish(&mut self, run: usize) {
        let Run {
            caller,
            number,
            ticket,
            ..
        } = self.runs.remove(&run).unwrap();
        match &mut self.front {
            Front::Admission(queue) => {
                queue.finish(self.now, ticket.unwrap(), Completion::Answered);
            }
            Front::Fifo { running, .. } => *running -= 1,
        }
        if let Some(ticket) = ticket {
            self.tickets.remove(&ticket);
        }
        self.answered(caller, number);
    }

    fn answered(&mut self, caller: usize, number: u32) {
        let state = &mut self.callers[caller];
        if !state.is_open || state.tries != number || state.deadline < self.now {
            self.second().late += 1;
            return;
        }
        state.is_done = true;
        state.is_open = false;
        let rank = usize::from(state.rank);
        let second = self.second();
        second.in_time[rank] += 1;
    }

    fn refused(&mut self, caller: usize, retry_after: Duration) {
        let rank = usize::from(self.callers[caller].rank);
        self.second().refused[rank] += 1;
        let pause = if self.scenario.heeds {
            retry_after
        } else {
            Duration::from_millis(10)
        };
        self.try_again(caller, pause);
    }

    fn time_out(&mut self, caller: usize, number: u32) {
        let state = &self.callers[caller];
        if !state.is_open || state.tries != number {
            return;
        }
        self.cancel(caller, number);
        self.try_again(caller, Duration::from_millis(10));
    }

    /// The caller hangs up: the run is cancelled where the front knows of it.
    fn cancel(&mut self, caller: usize, number: u32) {
        let Front::Admission(queue) = &mut self.front else {
            return;
        };
        let wanted = (caller, number);
        let found = self
            .tickets
            .iter()
            .find(|(_, who)| **who == wanted)
            .map(|(key, _)| *key);
        let Some(ticket) = found else { return };
        queue.cancel(self.now, ticket);
        self.tickets.remove(&ticket);
        self.runs.retain(|_, run| run.ticket != Some(ticket));
    }

    fn try_again(&mut self, caller: usize, pause: Duration) {
        let state = &mut self.callers[caller];
        state.is_open = false;
        if state.tries >= self.scenario.tries {
            state.is_done = true;
            let rank = usize::from(state.rank);
            self.second().lost[rank] += 1;
            return;
        }
        self.at(self.now + pause, Step::Try { caller });
    }
}
