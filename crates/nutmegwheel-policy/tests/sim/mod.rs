//! A simulation on a virtual clock of one backend server, its queue and retrying callers.
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

/// The number of classes of requests. Class 0 is the most important one.
pub(crate) const RANKS: usize = 3;

/// The load and the backend server of one simulation.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    /// The requests that the backend server runs at full speed; more requests share its workers.
    pub(crate) workers: u32,
    /// The mean service time of a request that has a worker to itself.
    pub(crate) service: Duration,
    /// The deadline of each attempt.
    pub(crate) timeout: Duration,
    /// The number of first attempts per second outside the surge.
    pub(crate) rate: f64,
    /// The fraction of first attempts in each class.
    pub(crate) shares: [f64; RANKS],
    /// The factor by which the surge multiplies `rate`.
    pub(crate) surge_factor: f64,
    pub(crate) surge_from: Duration,
    pub(crate) surge_to: Duration,
    pub(crate) end: Duration,
    /// The maximum number of attempts of one caller.
    pub(crate) max_attempts: u32,
    /// Whether callers wait for `retry_after`; otherwise they retry after 10 ms.
    pub(crate) honors_retry_after: bool,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            workers: 20,
            service: Duration::from_millis(20),
            timeout: Duration::from_millis(400),
            rate: 700.0,
            shares: [0.2, 0.4, 0.4],
            surge_factor: 3.0,
            surge_from: Duration::from_secs(10),
            surge_to: Duration::from_secs(30),
            end: Duration::from_secs(45),
            max_attempts: 4,
            honors_retry_after: true,
        }
    }
}

impl Scenario {
    pub(crate) fn capacity(&self) -> f64 {
        f64::from(self.workers) / self.service.as_secs_f64()
    }
}

/// The numbers of attempts, answers and refusals in one second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SecondStats {
    pub(crate) first_attempts: [u32; RANKS],
    /// Callers whose request finished in time, by the second of its finish.
    pub(crate) in_time: [u32; RANKS],
    /// Callers that gave up after their last attempt, by the second of that attempt's end.
    pub(crate) gave_up: [u32; RANKS],
    /// Answers to attempts for which the caller no longer waits.
    pub(crate) late: u32,
    /// Attempts that were refused.
    pub(crate) refused: [u32; RANKS],
    pub(crate) attempts: u32,
}

pub(crate) type Report = Vec<SecondStats>;

/// The queue in front of the backend server.
pub(crate) enum QueueModel {
    Admission(Box<Queue>),
    /// The baseline: first in, first out up to the announced slots, ignoring deadlines.
    Fifo {
        slots: u32,
        running: u32,
        waiting: VecDeque<(usize, u32)>,
    },
}

impl QueueModel {
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
    Attempt { caller: usize },
    Finish { run: usize, finish_id: u64 },
    TimedOut { caller: usize, attempt: u32 },
    Poll,
}

struct Caller {
    rank: u8,
    root_hash: u16,
    attempts: u32,
    deadline: Instant,
    is_done: bool,
    /// Whether the last attempt is still unanswered.
    is_pending: bool,
}

struct Run {
    caller: usize,
    attempt: u32,
    ticket: Option<Ticket>,
    /// The remaining work, in seconds of one worker.
    work: f64,
}

/// One run of a scenario. The backend server shares its workers evenly among its requests.
pub(crate) struct Simulation {
    pub(crate) scenario: Scenario,
    start: Instant,
    now: Instant,
    rng: StdRng,
    queue_model: QueueModel,
    steps: BinaryHeap<Reverse<(Instant, u64, Step)>>,
    sequence: u64,
    callers: Vec<Caller>,
    runs: HashMap<usize, Run>,
    next_run: usize,
    progressed_until: Instant,
    finish_id: u64,
    next_poll_at: Option<Instant>,
    tickets: HashMap<Ticket, (usize, u32)>,
    report: Report,
}

pub(crate) fn run(scenario: Scenario, queue_model: impl FnOnce(Instant) -> QueueModel) -> Report {
    let start = Instant::now();
    let seconds = usize::try_from(scenario.end.as_secs()).unwrap() + 1;
    let mut simulation = Simulation {
        start,
        now: start,
        rng: StdRng::seed_from_u64(scenario.seed),
        queue_model: queue_model(start),
        steps: BinaryHeap::new(),
        sequence: 0,
        callers: Vec::new(),
        runs: HashMap::new(),
        next_run: 0,
        progressed_until: start,
        finish_id: 0,
        next_poll_at: None,
        tickets: HashMap::new(),
        report: vec![SecondStats::default(); seconds],
        scenario,
    };
    simulation.run();
    simulation.report
}

impl Simulation {
    fn run(&mut self) {
        self.schedule(self.start, Step::Arrival);
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

    fn schedule(&mut self, at: Instant, step: Step) {
        self.sequence += 1;
        self.steps.push(Reverse((at, self.sequence, step)));
    }

    fn current_second(&mut self) -> &mut SecondStats {
        let second = usize::try_from((self.now - self.start).as_secs()).unwrap();
        &mut self.report[second]
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrival => self.arrive(),
            Step::Attempt { caller } => self.send(caller),
            Step::Finish { run, .. } => self.finish(run),
            Step::TimedOut { caller, attempt } => self.time_out(caller, attempt),
            Step::Poll => {}
        }
    }

    fn arrive(&mut self) {
        let since = self.now - self.start;
        let is_surge = since >= self.scenario.surge_from && since < self.scenario.surge_to;
        let rate = self.scenario.rate
            * if is_surge {
                self.scenario.surge_factor
            } else {
                1.0
            };
        let interval = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule(self.now + Duration::from_secs_f64(interval), Step::Arrival);
        let draw: f64 = self.rng.random();
        let shares = self.scenario.shares;
        let rank = if draw < shares[0] {
            0
        } else {
            1 + u8::from(draw >= shares[0] + shares[1])
        };
        let root_hash = self.rng.random();
        let caller = self.callers.len();
        self.callers.push(Caller {
            rank,
            root_hash,
            attempts: 0,
            deadline: self.now,
            is_done: false,
            is_pending: false,
        });
        self.current_second().first_attempts[usize::from(rank)] += 1;
        self.send(caller);
    }

    fn send(&mut self, caller: usize) {
        let deadline = self.now + self.scenario.timeout;
        let state = &mut self.callers[caller];
        state.attempts += 1;
        state.is_pending = true;
        state.deadline = deadline;
        let attempt = state.attempts;
        let priority = Priority {
            rank: state.rank,
            over_share: 0,
            root_hash: state.root_hash,
        };
        self.current_second().attempts += 1;
        self.schedule(deadline, Step::TimedOut { caller, attempt });
        let is_queued = match &mut self.queue_model {
            QueueModel::Fifo { waiting, .. } => {
                waiting.push_back((caller, attempt));
                true
            }
            QueueModel::Admission(_) => false,
        };
        if !is_queued {
            self.offer(caller, attempt, priority, deadline);
        }
    }

    fn offer(&mut self, caller: usize, attempt: u32, priority: Priority, deadline: Instant) {
        let QueueModel::Admission(queue) = &mut self.queue_model else {
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
                self.tickets.insert(ticket, (caller, attempt));
                self.start_run(caller, attempt, Some(ticket));
            }
            Offer::Waiting(ticket) => {
                self.tickets.insert(ticket, (caller, attempt));
            }
            Offer::Refused(refusal) => self.handle_refusal(caller, refusal.retry_after),
        }
    }

    fn poll(&mut self) {
        loop {
            let event = match &mut self.queue_model {
                QueueModel::Admission(queue) => queue.poll(self.now, &mut self.rng),
                QueueModel::Fifo { .. } => return self.poll_fifo(),
            };
            match event {
                Some(Event::Started(ticket)) => {
                    let (caller, attempt) = self.tickets[&ticket];
                    self.start_run(caller, attempt, Some(ticket));
                }
                Some(Event::Refused(ticket, refusal)) => {
                    if let Some((caller, _)) = self.tickets.remove(&ticket) {
                        self.handle_refusal(caller, refusal.retry_after);
                    }
                }
                None => break,
            }
        }
        let QueueModel::Admission(queue) = &self.queue_model else {
            return;
        };
        let Some(wakeup) = queue.next_wakeup() else {
            return;
        };
        let at = wakeup.max(self.now) + Duration::from_micros(1);
        if self
            .next_poll_at
            .is_none_or(|scheduled| scheduled <= self.now || at < scheduled)
        {
            self.next_poll_at = Some(at);
            self.schedule(at, Step::Poll);
        }
    }

    fn poll_fifo(&mut self) {
        loop {
            let QueueModel::Fifo {
                slots,
                running,
                waiting,
            } = &mut self.queue_model
            else {
                return;
            };
            if *running >= *slots {
                return;
            }
            let Some((caller, attempt)) = waiting.pop_front() else {
                return;
            };
            *running += 1;
            self.start_run(caller, attempt, None);
        }
    }

    fn start_run(&mut self, caller: usize, attempt: u32, ticket: Option<Ticket>) {
        let mean = self.scenario.service.as_secs_f64();
        let work = mean * self.rng.random_range(0.5..1.5);
        let run = self.next_run;
        self.next_run += 1;
        self.runs.insert(
            run,
            Run {
                caller,
                attempt,
                ticket,
                work,
            },
        );
    }

    /// The fraction of a worker that each running request gets.
    fn speed(&self) -> f64 {
        let running = u32::try_from(self.runs.len()).unwrap().max(1);
        (f64::from(self.scenario.workers) / f64::from(running)).min(1.0)
    }

    fn progress(&mut self, to: Instant) {
        let done = (to - self.progressed_until).as_secs_f64() * self.speed();
        for run in self.runs.values_mut() {
            run.work -= done;
        }
        self.progressed_until = to;
    }

    /// Schedules the next finish. It replaces earlier ones, because the speed may have changed.
    fn schedule_finish(&mut self) {
        let by_work = |a: &(&usize, &Run), b: &(&usize, &Run)| a.1.work.total_cmp(&b.1.work);
        let next = self
            .runs
            .iter()
            .min_by(|a, b| by_work(a, b).then(a.0.cmp(b.0)));
        self.finish_id += 1;
        let Some((&run, state)) = next else { return };
        let wait = Duration::from_secs_f64(state.work.max(0.0) / self.speed());
        let finish_id = self.finish_id;
        self.schedule(self.now + wait, Step::Finish { run, finish_id });
    }

    /// Whether a step is a finish that has been rescheduled.
    fn is_stale(&self, step: Step) -> bool {
        matches!(step, Step::Finish { finish_id, .. } if finish_id != self.finish_id)
    }

    fn finish(&mut self, run: usize) {
        let Run {
            caller,
            attempt,
            ticket,
            ..
        } = self.runs.remove(&run).unwrap();
        match &mut self.queue_model {
            QueueModel::Admission(queue) => {
                queue.finish(self.now, ticket.unwrap(), Completion::Answered);
            }
            QueueModel::Fifo { running, .. } => *running -= 1,
        }
        if let Some(ticket) = ticket {
            self.tickets.remove(&ticket);
        }
        self.handle_answer(caller, attempt);
    }

    fn handle_answer(&mut self, caller: usize, attempt: u32) {
        let state = &mut self.callers[caller];
        if !state.is_pending || state.attempts != attempt || state.deadline < self.now {
            self.current_second().late += 1;
            return;
        }
        state.is_done = true;
        state.is_pending = false;
        let rank = usize::from(state.rank);
        let second = self.current_second();
        second.in_time[rank] += 1;
    }

    fn handle_refusal(&mut self, caller: usize, retry_after: Duration) {
        let rank = usize::from(self.callers[caller].rank);
        self.current_second().refused[rank] += 1;
        let delay = if self.scenario.honors_retry_after {
            retry_after
        } else {
            Duration::from_millis(10)
        };
        self.retry(caller, delay);
    }

    fn time_out(&mut self, caller: usize, attempt: u32) {
        let state = &self.callers[caller];
        if !state.is_pending || state.attempts != attempt {
            return;
        }
        self.cancel(caller, attempt);
        self.retry(caller, Duration::from_millis(10));
    }

    /// Cancels the attempt after its caller has disconnected; a FIFO does not notice that.
    fn cancel(&mut self, caller: usize, attempt: u32) {
        let QueueModel::Admission(queue) = &mut self.queue_model else {
            return;
        };
        let wanted = (caller, attempt);
        let found = self
            .tickets
            .iter()
            .find(|(_, owner)| **owner == wanted)
            .map(|(key, _)| *key);
        let Some(ticket) = found else { return };
        queue.cancel(self.now, ticket);
        self.tickets.remove(&ticket);
        self.runs.retain(|_, run| run.ticket != Some(ticket));
    }

    fn retry(&mut self, caller: usize, delay: Duration) {
        let state = &mut self.callers[caller];
        state.is_pending = false;
        if state.attempts >= self.scenario.max_attempts {
            state.is_done = true;
            let rank = usize::from(state.rank);
            self.current_second().gave_up[rank] += 1;
            return;
        }
        self.schedule(self.now + delay, Step::Attempt { caller });
    }
}
