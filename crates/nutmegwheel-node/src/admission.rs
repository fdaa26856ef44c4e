//! Admission to the local backend server: the queue and the requests that wait in it.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use nutmegwheel_config::Concurrency;
use nutmegwheel_policy::{
    admission::{
        Completion, Event, Offer, Options, Queue, Reason as ShedReason, Refusal as Rejection,
        Request, Ticket,
    },
    concurrency::{self, Fixed, Gradient, Limiter},
    routing::LoadReport,
};
use nutmegwheel_types::EndpointId;
use tokio::sync::{Notify, oneshot};

use crate::refusal::{Reason, Refusal};

/// The slots assumed until the backend server announces its own.
const UNKNOWN_SLOTS: u32 = 1;
/// The percentage of the announced slots that is used. Backend servers slow down from 95 % on
/// according to their deployment's data sheet, and reserve a slot for health checks and new
/// connections.
const ANNOUNCED_SLOTS_PERCENT: u32 = 94;
/// The maximum sleep of [`AdmissionController::run_timers`] when no request waits.
const IDLE_SLEEP: Duration = Duration::from_secs(1);

type Waiter = oneshot::Sender<Result<(), Rejection>>;

/// Admits requests to the backend server.
pub(crate) struct AdmissionController {
    state: Mutex<State>,
    changed: Notify,
}

struct State {
    queue: Queue,
    waiters: HashMap<Ticket, Waiter>,
}

/// Holds a place in the queue or a slot, and releases it when dropped.
pub(crate) struct Permit<'a> {
    controller: &'a AdmissionController,
    ticket: Ticket,
    completion: Completion,
}

impl AdmissionController {
    pub(crate) fn open(now: Instant, concurrency: Concurrency) -> Self {
        let limiter: Box<dyn Limiter> = match concurrency {
            Concurrency::Adaptive => {
                let opts = concurrency::Options::default();
                Box::new(Gradient::open(now, UNKNOWN_SLOTS, opts))
            }
            Concurrency::Announced => {
                Box::new(Fixed::with_percent(UNKNOWN_SLOTS, ANNOUNCED_SLOTS_PERCENT))
            }
        };
        let queue = Queue::open(now, limiter, Options::default());
        Self {
            state: Mutex::new(State {
                queue,
                waiters: HashMap::new(),
            }),
            changed: Notify::new(),
        }
    }

    /// Sets the slots that the backend server announced; a new instance gets a slow start.
    pub(crate) fn set_announced_slots(&self, now: Instant, slots: u16, is_new: bool) {
        let mut state = self.lock();
        state.queue.set_slots(slots.into());
        if is_new {
            state.queue.cold_start(now);
        }
        state.dispatch_events(now);
    }

    /// Begins a slow start, for a backend server that got no requests for some time.
    pub(crate) fn begin_slow_start(&self, now: Instant) {
        self.lock().queue.cold_start(now);
    }

    /// Refuses all waiting requests because the backend server accepts no new ones.
    pub(crate) fn refuse_waiting(&self, now: Instant) {
        let mut state = self.lock();
        state.queue.refuse_waiting(now, &mut rand::rng());
        state.dispatch_events(now);
    }

    /// Refuses waiting requests when they can no longer start in time. Runs until the node stops.
    pub(crate) async fn run_timers(&self) {
        loop {
            let wakeup = self.lock().queue.next_wakeup();
            let wakeup = wakeup.unwrap_or_else(|| Instant::now() + IDLE_SLEEP);
            tokio::select! {
                () = tokio::time::sleep_until(wakeup.into()) => {}
                () = self.changed.notified() => {}
            }
            self.lock().dispatch_events(Instant::now());
        }
    }
}

impl AdmissionController {
    pub(crate) fn report(&self) -> LoadReport {
        self.lock().queue.report()
    }

    /// A lower bound of the time that the backend server takes for a request of an endpoint.
    pub(crate) fn service_time_lower_bound(&self, endpoint: &EndpointId) -> Duration {
        self.lock()
            .queue
            .service_time_lower_bound(Instant::now(), endpoint)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AdmissionController {
    /// Waits until the request may start.
    pub(crate) async fn admit(&self, req: Request) -> Result<Permit<'_>, Refusal> {
        let (permit, waiting) = self.offer(req)?;
        if let Some(waiting) = waiting {
            let started = waiting.await;
            started
                .unwrap_or(Ok(()))
                .map_err(|rejection| refusal(&rejection))?;
        }
        Ok(permit)
    }

    #[allow(clippy::type_complexity)]
    fn offer(
        &self,
        req: Request,
    ) -> Result<(Permit<'_>, Option<oneshot::Receiver<Result<(), Rejection>>>), Refusal> {
        let now = Instant::now();
        let mut state = self.lock();
        let (ticket, waiting) = match state.queue.offer(now, req, &mut rand::rng()) {
            Offer::Refused(rejection) => return Err(refusal(&rejection)),
            Offer::Started(ticket) => (ticket, None),
            Offer::Waiting(ticket) => {
                let (tx, rx) = oneshot::channel();
                state.waiters.insert(ticket, tx);
                (ticket, Some(rx))
            }
        };
        state.dispatch_events(now);
        drop(state);
        self.changed.notify_one();
        let permit = Permit {
            controller: self,
            ticket,
            completion: Completion::Uninformative,
        };
        Ok((permit, waiting))
    }
}

impl State {
    /// Notifies the waiting requests that were started or refused.
    fn dispatch_events(&mut self, now: Instant) {
        while let Some(event) = self.queue.poll(now, &mut rand::rng()) {
            let (ticket, result) = match event {
                Event::Started(ticket) => (ticket, Ok(())),
                Event::Refused(ticket, rejection) => (ticket, Err(rejection)),
            };
            if let Some(waiter) = self.waiters.remove(&ticket) {
                let _ = waiter.send(result);
            }
        }
    }
}

impl Permit<'_> {
    /// Records how the request ended. Without this call its end says nothing about the capacity of
    /// the backend server.
    pub(crate) fn complete(mut self, completion: Completion) {
        self.completion = completion;
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut state = self.controller.lock();
        state.waiters.remove(&self.ticket);
        if self.completion == Completion::Uninformative {
            state.queue.cancel(now, self.ticket);
        } else {
            state.queue.finish(now, self.ticket, self.completion);
        }
        state.dispatch_events(now);
    }
}

fn refusal(rejection: &Rejection) -> Refusal {
    let (reason, detail) = match rejection.reason {
        ShedReason::Expired => (
            Reason::Deadline,
            "the deadline passed while the request waited",
        ),
        ShedReason::CannotFinish => (Reason::Overloaded, "it cannot finish before its deadline"),
        ShedReason::BelowShedLevel => (Reason::Overloaded, "less important requests are shed"),
        ShedReason::QueueFull => (
            Reason::Overloaded,
            "the queue is full of more important requests",
        ),
        ShedReason::Displaced => (
            Reason::Overloaded,
            "a more important request took its place",
        ),
        ShedReason::NotServing => (
            Reason::NoBackendServer,
            "the backend server takes nothing new",
        ),
    };
    Refusal::not_run(reason, detail).with_retry_after(rejection.retry_after)
}
