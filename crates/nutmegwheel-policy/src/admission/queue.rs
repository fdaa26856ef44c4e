use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use nutmegwheel_types::{EndpointId, Priority, plain_copy};
use rand::Rng;
use slotmap::SlotMap;

use super::{
    Completion, Event, Offer, Options, Reason, Refusal, Request, Ticket,
    level::LevelController,
    rank::{Rank, sheds},
    service_time::ServiceTimes,
    waiting::{QueuePosition, WaitingRequests},
};
use crate::{
    concurrency::{Limiter, Outcome, Sample},
    routing::LoadReport,
};

plain_copy! {
    /// The state of a request when it was cancelled.
    pub enum Cancelled {
        /// The request was waiting and will not run.
        Waiting,
        /// The request was running; its slot is free again.
        Running,
        /// The request had already ended.
        Ended,
    }
}

#[derive(Debug)]
enum State {
    Waiting(QueuePosition),
    Running { started_at: Instant },
}

#[derive(Debug)]
struct Entry {
    endpoint: EndpointId,
    priority: Priority,
    deadline: Instant,
    state: State,
}

/// The queue in front of one backend server.
///
/// After each call that changes the queue, and at [`next_wakeup`](Queue::next_wakeup), call
/// [`poll`](Queue::poll) until it returns `None`.
#[derive(Debug)]
pub struct Queue {
    pub(crate) options: Options,
    pub(crate) limiter: Box<dyn Limiter>,
    pub(crate) service_times: ServiceTimes,
    pub(crate) level: LevelController,
    pub(crate) waiting: WaitingRequests,
    entries: SlotMap<Ticket, Entry>,
    events: VecDeque<Event>,
    running: u32,
    arrivals: u64,
}

impl Queue {
    /// Creates an empty queue whose concurrency is limited by `limiter`.
    #[must_use]
    pub fn open(now: Instant, limiter: Box<dyn Limiter>, options: Options) -> Self {
        Self {
            limiter,
            service_times: ServiceTimes::new(options.initial_service_time),
            level: LevelController::new(now, &options),
            waiting: WaitingRequests::default(),
            entries: SlotMap::with_key(),
            events: VecDeque::new(),
            running: 0,
            arrivals: 0,
            options,
        }
    }

    /// Offers a request to the queue, which starts it, enqueues it or refuses it.
    pub fn offer(&mut self, now: Instant, req: Request, rng: &mut impl Rng) -> Offer {
        self.level.end_window_if_due(now, self.waiting.len());
        self.level.count_arrival(now, req.priority);
        let priority = req.priority;
        match self.try_offer(now, req, rng) {
            Ok(offer) => offer,
            Err(reason) => Offer::Refused(self.refusal(now, reason, priority, rng)),
        }
    }

    /// Records the end of a started request and frees its slot.
    pub fn finish(&mut self, now: Instant, ticket: Ticket, completion: Completion) {
        let Some(Entry {
            state: State::Running { started_at },
            ..
        }) = self.entries.get(ticket)
        else {
            return;
        };
        let latency = now.saturating_duration_since(*started_at);
        let entry = self.entries.remove(ticket);
        self.record_completion(now, latency, completion, entry.map(|entry| entry.endpoint));
        self.running -= 1;
        self.level.end_window_if_due(now, self.waiting.len());
    }

    /// Cancels a request whose caller has disconnected.
    pub fn cancel(&mut self, now: Instant, ticket: Ticket) -> Cancelled {
        match self.entries.get(ticket).map(|entry| &entry.state) {
            Some(State::Waiting(position)) => {
                let position = *position;
                self.waiting.remove(&position);
                self.entries.remove(ticket);
                self.level.observe_waiting(self.waiting.len());
                Cancelled::Waiting
            }
            Some(State::Running { .. }) => {
                self.finish(now, ticket, Completion::Uninformative);
                Cancelled::Running
            }
            None => Cancelled::Ended,
        }
    }

    /// Returns the next start or refusal of a waiting request.
    pub fn poll(&mut self, now: Instant, rng: &mut impl Rng) -> Option<Event> {
        self.level.end_window_if_due(now, self.waiting.len());
        if let Some(event) = self.events.pop_front() {
            return Some(event);
        }
        if let Some(position) = self.waiting.pop_overdue(now) {
            return Some(self.refuse_late(now, position, rng));
        }
        if let Some(position) = self.pop_overtaken(now) {
            return Some(self.refuse_late(now, position, rng));
        }
        self.start_next(now)
    }

    /// Removes the least important request if so many others are ahead of it that it cannot start
    /// in time. Its caller is then refused now rather than when its time runs out.
    fn pop_overtaken(&mut self, now: Instant) -> Option<QueuePosition> {
        let last = *self.waiting.least_important()?;
        let ahead = self.waiting.len() - 1;
        let cannot_finish = now + self.time_to_start(now, ahead) > last.latest_start;
        if !cannot_finish || ahead == 0 {
            return None;
        }
        self.waiting.remove(&last);
        Some(last)
    }

    /// Refuses all waiting requests as not run, because the backend server is gone or leaving.
    pub fn refuse_waiting(&mut self, now: Instant, rng: &mut impl Rng) {
        while let Some(position) = self.waiting.pop_least_important() {
            self.push_refusal(now, position, Reason::NotServing, rng);
        }
        self.level.observe_waiting(0);
    }

    /// Sets the announced maximum of concurrent requests.
    pub fn set_slots(&mut self, slots: u32) {
        self.limiter.set_slots(slots);
    }

    /// Begins a slow start after the backend server has restarted.
    pub fn cold_start(&mut self, now: Instant) {
        self.limiter.cold_start(now);
    }
}

impl Queue {
    /// The load to report with every response.
    #[must_use]
    pub fn report(&self) -> LoadReport {
        LoadReport {
            running: self.running,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            limit: self.limiter.limit(),
            shed_level: self.level.level(),
        }
    }

    /// A lower bound of the service time of an endpoint, which few requests undercut.
    #[must_use]
    pub fn service_time_lower_bound(&self, now: Instant, endpoint: &EndpointId) -> Duration {
        self.service_times.lower_bound(now, endpoint)
    }

    /// The instant after which the next waiting request is overdue unless it has started.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.waiting.next_latest_start()
    }

    fn has_free_slot(&self) -> bool {
        self.running < self.limiter.limit()
    }
}

impl Queue {
    fn try_offer(
        &mut self,
        now: Instant,
        req: Request,
        rng: &mut impl Rng,
    ) -> Result<Offer, Reason> {
        if req.deadline <= now {
            return Err(Reason::Expired);
        }
        if self.has_free_slot() && self.waiting.is_empty() {
            return self.start_now(now, req);
        }
        let latest_start = self.latest_start(now, &req);
        self.check_level(&req)?;
        let rank = Rank::of(&req);
        self.check_queueing_delay(now, rank, latest_start)?;
        self.displace_for(now, rank, rng)?;
        Ok(Offer::Waiting(self.enqueue(req, rank, latest_start)))
    }

    /// The last instant at which the request can start and is still likely to finish in time, or
    /// `None` if it has passed.
    fn latest_start(&self, now: Instant, req: &Request) -> Option<Instant> {
        let service = self.service_times.upper_bound(now, &req.endpoint);
        let remaining = req.deadline.saturating_duration_since(now);
        remaining.checked_sub(service).map(|slack| now + slack)
    }

    /// Starts a request in a free slot unless it cannot finish even at the lower bound of the
    /// service time.
    ///
    /// The upper bound is not used here, because it includes requests that timed out: after a slow
    /// period it would keep refusing requests while slots are idle. If nothing is running, the
    /// request starts whatever the estimate, since a wrong one would otherwise never be corrected.
    fn start_now(&mut self, now: Instant, req: Request) -> Result<Offer, Reason> {
        let remaining = req.deadline.saturating_duration_since(now);
        let cannot_finish = remaining < self.service_times.lower_bound(now, &req.endpoint);
        if cannot_finish && self.running > 0 {
            return Err(Reason::CannotFinish);
        }
        self.running += 1;
        let ticket = self.entries.insert(Entry {
            endpoint: req.endpoint,
            priority: req.priority,
            deadline: req.deadline,
            state: State::Running { started_at: now },
        });
        Ok(Offer::Started(ticket))
    }

    fn check_level(&self, req: &Request) -> Result<(), Reason> {
        match self.level.level() {
            Some(level) if sheds(level, req.priority, req.is_nested) => Err(Reason::BelowShedLevel),
            _ => Ok(()),
        }
    }

    fn check_queueing_delay(
        &self,
        now: Instant,
        rank: Rank,
        latest_start: Option<Instant>,
    ) -> Result<(), Reason> {
        let latest_start = latest_start.ok_or(Reason::CannotFinish)?;
        let ahead = self.waiting.count_ahead(rank, self.options.max_waiting);
        if now + self.time_to_start(now, ahead) > latest_start {
            return Err(Reason::CannotFinish);
        }
        Ok(())
    }

    /// Makes room in a full queue by displacing the least important request if it ranks below
    /// `rank`.
    fn displace_for(&mut self, now: Instant, rank: Rank, rng: &mut impl Rng) -> Result<(), Reason> {
        if self.waiting.len() < self.options.max_waiting {
            return Ok(());
        }
        if self
            .waiting
            .least_important()
            .is_none_or(|least| least.rank <= rank)
        {
            return Err(Reason::QueueFull);
        }
        if let Some(position) = self.waiting.pop_least_important() {
            self.push_refusal(now, position, Reason::Displaced, rng);
        }
        Ok(())
    }

    fn enqueue(&mut self, req: Request, rank: Rank, latest_start: Option<Instant>) -> Ticket {
        let arrival = self.arrivals;
        self.arrivals += 1;
        let latest_start = latest_start.unwrap_or(req.deadline);
        let ticket = self.entries.insert_with_key(|ticket| Entry {
            endpoint: req.endpoint,
            priority: req.priority,
            deadline: req.deadline,
            state: State::Waiting(QueuePosition {
                rank,
                arrival,
                latest_start,
                ticket,
            }),
        });
        self.waiting.insert(QueuePosition {
            rank,
            arrival,
            latest_start,
            ticket,
        });
        ticket
    }

    fn start_next(&mut self, now: Instant) -> Option<Event> {
        if !self.has_free_slot() {
            return None;
        }
        let position = self.waiting.pop_most_important()?;
        self.level.observe_waiting(self.waiting.len());
        self.entries[position.ticket].state = State::Running { started_at: now };
        self.running += 1;
        Some(Event::Started(position.ticket))
    }

    fn refuse_late(&mut self, now: Instant, position: QueuePosition, rng: &mut impl Rng) -> Event {
        let deadline = self
            .entries
            .get(position.ticket)
            .map(|entry| entry.deadline);
        let reason = if deadline.is_some_and(|deadline| deadline <= now) {
            // `refusal` does not count `Expired` as overload, but a deadline that passed in the
            // queue shows a lack of capacity.
            self.level.count_refusal();
            Reason::Expired
        } else {
            Reason::CannotFinish
        };
        let refusal = self.remove_waiting(now, position, reason, rng);
        Event::Refused(position.ticket, refusal)
    }

    fn push_refusal(
        &mut self,
        now: Instant,
        position: QueuePosition,
        reason: Reason,
        rng: &mut impl Rng,
    ) {
        let refusal = self.remove_waiting(now, position, reason, rng);
        self.events
            .push_back(Event::Refused(position.ticket, refusal));
    }

    fn remove_waiting(
        &mut self,
        now: Instant,
        position: QueuePosition,
        reason: Reason,
        rng: &mut impl Rng,
    ) -> Refusal {
        let entry = self.entries.remove(position.ticket);
        self.level.observe_waiting(self.waiting.len());
        let priority = entry.map_or(LOWEST_PRIORITY, |entry| entry.priority);
        self.refusal(now, reason, priority, rng)
    }

    fn record_completion(
        &mut self,
        now: Instant,
        latency: Duration,
        completion: Completion,
        endpoint: Option<EndpointId>,
    ) {
        let outcome = match completion {
            Completion::Answered => Outcome::Answered,
            Completion::TimedOut => Outcome::TimedOut,
            Completion::Refused => Outcome::Refused,
            Completion::Uninformative => Outcome::Uninformative,
        };
        self.limiter.observe(
            now,
            Sample {
                latency,
                running: self.running,
                outcome,
            },
        );
        if matches!(completion, Completion::Answered | Completion::TimedOut) {
            self.level.count_completion();
            if let Some(endpoint) = endpoint {
                self.service_times.add(now, &endpoint, latency);
            }
        }
    }
}

/// The priority that is assumed for a request without an entry.
const LOWEST_PRIORITY: Priority = Priority {
    rank: u8::MAX,
    over_share: u8::MAX,
    root_hash: u16::MAX,
};
