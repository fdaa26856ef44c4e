use std::time::{Duration, Instant};

use nutmegwheel_types::{Context, EndpointId, Priority, plain, plain_copy};

slotmap::new_key_type! {
    /// Identifies one request from its offer to its end; stale tickets are ignored.
    pub struct Ticket;
}

plain! {
    /// The settings of a [`Queue`](super::Queue).
    pub struct Options {
        /// The maximum number of waiting requests.
        pub max_waiting: usize,
        /// The service time that is assumed before the first response.
        pub initial_service_time: Duration,
        /// The minimum interval between adjustments of the shed level.
        pub level_window: Duration,
        /// The time without a standing queue after which the shed level is cleared.
        pub clear_level_after: Duration,
        /// The minimum of `retry_after` in a refusal, before jitter.
        pub min_retry_after: Duration,
        /// The maximum of `retry_after` in a refusal, before jitter.
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
    /// The properties of a request that admission depends on.
    pub struct Request {
        /// The priority, by which requests are ordered and shed.
        pub priority: Priority,
        /// Whether the request is a call made on behalf of another one, for which work was already
        /// done.
        pub is_nested: bool,
        /// The endpoint, by which service times are estimated.
        pub endpoint: EndpointId,
        /// When the response must be sent, with the time for its way back already deducted.
        pub deadline: Instant,
    }
}

impl Request {
    /// Builds a request from the context that it carries.
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
    /// The reason why a request was refused without being run.
    pub enum Reason {
        /// The deadline of the request has passed.
        Expired,
        /// The request cannot finish before its deadline, by the observed service times.
        CannotFinish,
        /// The priority of the request is below the shed level.
        BelowShedLevel,
        /// The queue is full of requests at least as important.
        QueueFull,
        /// A more important request displaced this one from the full queue.
        Displaced,
        /// The backend server is gone or leaving.
        NotServing,
    }

    /// The refusal of a request that was not run.
    pub struct Refusal {
        /// Why the request was refused.
        pub reason: Reason,
        /// The time after which a retry may be admitted, with jitter.
        pub retry_after: Duration,
    }

    /// The result of offering a request.
    pub enum Offer {
        /// The request may start now.
        Started(Ticket),
        /// The request waits. [`Queue::poll`](super::Queue::poll) reports its start or refusal.
        Waiting(Ticket),
        /// The request is refused. The refusal must be returned to its caller at once.
        Refused(Refusal),
    }

    /// A change of a waiting request.
    pub enum Event {
        /// The request may start now.
        Started(Ticket),
        /// The request is refused. The refusal must be returned to its caller at once.
        Refused(Ticket, Refusal),
    }

    /// The outcome of a started request.
    pub enum Completion {
        /// The backend server answered.
        Answered,
        /// The deadline passed before the backend server answered.
        TimedOut,
        /// The backend server refused the request for lack of capacity, without running it.
        Refused,
        /// The request failed early or its caller disconnected, which says nothing about the
        /// service time.
        Uninformative,
    }
}
