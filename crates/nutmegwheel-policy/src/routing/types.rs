use std::time::Duration;

use nutmegwheel_types::{DataCentreId, Incarnation, Priority, ProcessName, plain, plain_copy};

slotmap::new_key_type! {
    /// Names one backend server in a [`Table`](super::Table); stale keys are ignored.
    pub struct BackendKey;
}

plain! {
    /// How a [`Table`](super::Table) chooses.
    pub struct Options {
        /// How long a report of load counts; its weight falls evenly to nothing over this time.
        pub report_lifetime: Duration,
        /// How long a backend server that became ready takes to reach its full share.
        pub slow_start: Duration,
        /// The load, in percent of its limit, from which work spills over to other data centres.
        pub spill_percent: u32,
        /// How much lower, in percent points, a load elsewhere must be to draw work over.
        pub spill_margin_percent: u32,
        /// How long a backend server that refused counts as full.
        pub refusal_penalty_time: Duration,
        /// The failures in a row that eject a backend server.
        pub failures_to_eject: u32,
        /// How long the first ejection lasts; each further one lasts twice as long.
        pub base_ejection_time: Duration,
        /// The longest ejection.
        pub max_ejection_time: Duration,
        /// The time without a failure after which earlier ejections are forgotten.
        pub ejection_reset_after: Duration,
        /// How long a backend server whose node could not be reached gets nothing. Unlike an
        /// ejection that is no suspicion, so no bound holds for it.
        pub unreachable_cooldown: Duration,
        /// The largest part of the available backend servers that may be ejected, in percent.
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
    /// Whether a backend server takes new work, as it announced itself.
    pub enum ServerState {
        /// Not yet able to serve; it gets nothing.
        Starting,
        /// It gets new work.
        Ready,
        /// It finishes what it has and gets nothing new.
        Leaving,
    }
}

plain! {
    /// What is known of a backend server from its announcement.
    pub struct Announcement {
        /// The node beside the backend server.
        pub node: ProcessName,
        /// The data centre that it stands in.
        pub data_centre: DataCentreId,
        /// The life of the backend server; a new one starts without history.
        pub incarnation: Incarnation,
        /// The announced ceiling of requests at a time.
        pub slots: u32,
        /// Whether it takes new work.
        pub state: ServerState,
    }
}

plain_copy! {
    /// The load of a backend server as its node reports it on every answer.
    pub struct LoadReport {
        /// Requests running at the backend server, those of all senders together.
        pub running: u32,
        /// Requests waiting at its node.
        pub waiting: u32,
        /// The concurrency limit found by its node.
        pub limit: u32,
        /// The least important priority that its node still takes, or `None` when it takes all.
        pub shed_level: Option<Priority>,
    }
}

plain_copy! {
    /// How a request that was sent to a backend server ended.
    pub enum Outcome {
        /// It was answered, whatever the answer says.
        Answered,
        /// The node or backend server refused it without running it, for lack of capacity.
        Refused,
        /// The answer was lost, cut short, late, or told of a fault of the backend server.
        Failed,
        /// It never left the sender, since the backend server's node cannot be reached.
        Unreachable,
        /// The sender gave it up, which tells nothing about the backend server.
        Cancelled,
    }
}

plain! {
    /// What a choice depends on besides the table.
    pub struct Request<'a> {
        /// Where the request stands when capacity runs short.
        pub priority: Priority,
        /// Those already tried for this request; they are not chosen again.
        pub tried: &'a [BackendKey],
    }
}
