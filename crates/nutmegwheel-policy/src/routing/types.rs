use std::time::Duration;

use nutmegwheel_types::{DataCentreId, Incarnation, Priority, ProcessName, plain, plain_copy};

slotmap::new_key_type! {
    /// Identifies one backend server in a [`Table`](super::Table); stale keys are ignored.
    pub struct BackendKey;
}

plain! {
    /// The load-balancing and outlier-ejection settings of a [`Table`](super::Table).
    pub struct Options {
        /// The time after which a load report expires. Its weight decays linearly to zero until
        /// then.
        pub report_lifetime: Duration,
        /// How long a backend server that became ready takes to reach its full limit.
        pub slow_start: Duration,
        /// The load, in percent of the limit, from which work spills over to other data centres.
        pub spill_percent: u32,
        /// The margin, in percentage points, by which a remote load must be lower than the local
        /// one for work to spill over.
        pub spill_margin_percent: u32,
        /// How long a backend server counts as full after it refused a request.
        pub refusal_penalty_time: Duration,
        /// How long a backend server counts as full after it failed a request. The time doubles with
        /// each further consecutive failure.
        pub failure_penalty_time: Duration,
        /// The number of consecutive failures after which a backend server is ejected.
        pub failures_to_eject: u32,
        /// The duration of the first ejection, which doubles with each further one.
        pub base_ejection_time: Duration,
        /// The maximum duration of an ejection.
        pub max_ejection_time: Duration,
        /// The time without a failure after which the next ejection has the base duration again.
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
            failure_penalty_time: Duration::from_millis(200),
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
        /// The backend server is starting and gets no requests yet.
        Starting,
        /// The backend server accepts new requests.
        Ready,
        /// The backend server finishes its running requests and gets no new ones.
        Leaving,
    }
}

plain! {
    /// The announcement of a backend server, which its node spreads in the fleet.
    pub struct Announcement {
        /// The node on the same VM as the backend server.
        pub node: ProcessName,
        /// The data centre of the node.
        pub data_centre: DataCentreId,
        /// The incarnation of the backend server. Outcomes of earlier ones do not count against it.
        pub incarnation: Incarnation,
        /// The announced maximum of concurrent requests.
        pub slots: u32,
        /// Whether the backend server accepts new requests.
        pub state: ServerState,
    }
}

plain_copy! {
    /// The load of a backend server, which its node reports with every response.
    pub struct LoadReport {
        /// The number of requests of all senders that are running at the backend server.
        pub running: u32,
        /// The number of requests that wait in the queue of its node.
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
        /// The request was answered, whatever the status of the response.
        Answered,
        /// The node or backend server refused the request for lack of capacity, without running it.
        Refused,
        /// The response was lost, truncated or late, or it reported a fault of the backend server.
        Failed,
        /// The request was not sent, since the node of the backend server is unreachable.
        Unreachable,
        /// The sender cancelled the request, which says nothing about the backend server.
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
