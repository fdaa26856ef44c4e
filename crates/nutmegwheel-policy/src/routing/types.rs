use std::time::Duration;

use nutmegwheel_types::{DataCentreId, Incarnation, Priority, ProcessName, plain, plain_copy};

slotmap::new_key_type! {
    /// Identifies one backend server in a [`Table`](super::Table); stale keys are ignored.
    pub struct BackendKey;
}

plain! {
    /// The load-balancing and outlier-ejection settings of a [`Table`](super::Table).
    pub struct Options {
        /// How long a load report is used; its weight decays linearly to zero over this time.
        pub report_lifetime: Duration,
        /// How long a backend server that became ready takes to reach its full limit.
        pub slow_start: Duration,
        /// The load, in percent of the limit, from which work spills over to other data centres.
        pub spill_percent: u32,
        /// By how many percentage points a remote load must be lower to attract work.
        pub spill_margin_percent: u32,
        /// How long a backend server counts as full after it refused a request.
        pub refusal_penalty_time: Duration,
        /// The number of consecutive failures after which a backend server is ejected.
        pub failures_to_eject: u32,
        /// How long the first ejection lasts; each further one doubles it.
        pub base_ejection_time: Duration,
        /// The maximum duration of an ejection.
        pub max_ejection_time: Duration,
        /// The time without a failure after which ejections are back to the base duration.
        pub ejection_reset_after: Duration,
        /// How long a backend server gets no requests after its node was unreachable. Unlike an
        /// ejection this is not a mere suspicion, so it is not limited by `max_ejected_percent`.
        pub unreachable_cooldown: Duration,
        /// The largest share of the available backend servers that may be ejected, in percent.
        pub max_ejected_percent: u32,
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            report_lifetime: Duration::from_secs(1),
            slow_start: Duration::from_secs(5),
            spill_percent: 90,
            spill_margin_percent: 30,
            refusal_penalty_time: Duration::from_millis(200),
            failures_to_eject: 5,
            base_ejection_time: Duration::from_secs(1),
            max_ejection_time: Duration::from_mins(1),
            ejection_reset_after: Duration::from_secs(30),
            unreachable_cooldown: Duration::from_millis(500),
            max_ejected_percent: 34,
        }
    }
}

plain_copy! {
    /// The announced state of a backend server.
    pub enum ServerState {
        /// It cannot serve yet and gets no requests.
        Starting,
        /// It accepts new requests.
        Ready,
        /// It finishes its running requests and gets no new ones.
        Leaving,
    }
}

plain! {
    /// What a backend server announces through its node.
    pub struct Announcement {
        /// The node that serves the backend server.
        pub node: ProcessName,
        /// The data centre of the node.
        pub data_centre: DataCentreId,
        /// The incarnation of the backend server; a new one starts without history.
        pub incarnation: Incarnation,
        /// The announced maximum of concurrent requests.
        pub slots: u32,
        /// Whether it accepts new requests.
        pub state: ServerState,
    }
}

plain_copy! {
    /// The load of a backend server, which its node reports with every response.
    pub struct LoadReport {
        /// The requests of all senders that are running at the backend server.
        pub running: u32,
        /// The requests that are queued at its node.
        pub waiting: u32,
        /// The concurrency limit that its node has determined.
        pub limit: u32,
        /// The lowest priority that its node still admits, or `None` when it admits all.
        pub shed_level: Option<Priority>,
    }
}

plain_copy! {
    /// The outcome of a request to a backend server, as its sender sees it.
    pub enum Outcome {
        /// It was answered, whatever the status of the response.
        Answered,
        /// The node or backend server refused it for lack of capacity, without running it.
        Refused,
        /// The response was lost, truncated or late, or it reported a fault of the backend server.
        Failed,
        /// It was not sent, since the node of the backend server is unreachable.
        Unreachable,
        /// The sender cancelled it, which says nothing about the backend server.
        Cancelled,
    }
}

plain! {
    /// The properties of a request that its routing depends on.
    pub struct Request<'a> {
        /// The priority, by which requests are shed under overload.
        pub priority: Priority,
        /// The backend servers that this request was already sent to; they are not chosen again.
        pub tried: &'a [BackendKey],
    }
}
