use std::time::{Duration, Instant};

use nutmegwheel_types::{Context, EndpointId, Priority, plain, plain_copy};

slotmap::new_key_type! {
    /// Names one admitted request from its offer to its end; stale tickets are ignored.
    pub struct Ticket;
}

plain! {
    /// The bounds of a [`Queue`](super::Queue).
    pub struct Options {
        /// The most requests that wait at a time.
        pub max_waiting: usize,
        /// The service time that is assumed before the first answer.
        pub initial_service_time: Duration,
        /// How often the shed level is adjusted.
        pub level_window: Duration,
        /// The time without a standing queue after which the shed level is dropped.
        pub clear_level_after: Duration,
        /// The shortest time after which a refused caller is told to come back.
        pub min_retry_after: Duration,
        /// The longest time after which a refused caller is told to come back.
        pub max_retry_after: Duration,
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_waiting: 1024,
            initial_service_time: Duration::from_millis(10),
            level_window: Duration::from_millis(100),
            clear_level_after: Duration::from_secs(2),
            min_retry_after: Duration::from_millis(200),
            max_retry_after: Duration::from_secs(5),
        }
    }
}

plain! {
    /// What the queue needs to know of a request.
    pub struct Request {
        /// Where it stands when capacity runs short.
        pub priority: Priority,
        /// Whether it is a call deep in a chain, where work was already done for it.
        pub is_nested: bool,
        /// The endpoint, by which service times are told apart.
        pub endpoint: EndpointId,
        /// When its answer must leave; the way back is already taken off.
        pub deadline: Instant,
    }
}

impl Request {
    /// Takes a request from the context that came with it.
    #[must_use]
    pub fn from_context(cx: &Context, endpoint: EndpointId, deadline: Instant) -> Self {
        Self {
            priority: cx.priority,
            is_nested: cx.depth > 0,
            endpoint,
            deadline,
        }
    }
}

plain_copy! {
    /// Why a request was refused; it was not run.
    pub enum Reason {
        /// Its deadline has passed.
        Expired,
        /// It cannot finish before its deadline, by the observed service times.
        CannotFinish,
        /// Its priority is below the shed level.
        BelowShedLevel,
        /// The queue is full of requests at least as important.
        QueueFull,
        /// A more important request took its place while it waited.
        Displaced,
        /// The backend server is gone or leaving.
        NotServing,
    }

    /// The final answer to a request that was not run.
    pub struct Refusal {
        /// Why it was refused.
        pub reason: Reason,
        /// The jittered time after which a resend may be admitted.
        pub retry_after: Duration,
    }

    /// What became of an offered request.
    pub enum Offer {
        /// It may start now.
        Started(Ticket),
        /// It waits; [`Queue::poll`](super::Queue::poll) tells of its start or refusal.
        Waiting(Ticket),
        /// It is given up; the caller gets this answer at once.
        Refused(Refusal),
    }

    /// What became of a waiting request.
    pub enum Event {
        /// It may start now.
        Started(Ticket),
        /// It is given up; the caller gets this answer at once.
        Refused(Ticket, Refusal),
    }

    /// How a started request ended.
    pub enum Completion {
        /// The backend server answered.
        Answered,
        /// The deadline passed first.
        TimedOut,
        /// The backend server refused it for lack of capacity, without running it.
        Refused,
        /// It failed early or the caller left, which tells nothing about the service time.
        Uninformative,
    }
}
