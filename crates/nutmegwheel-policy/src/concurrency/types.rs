use std::time::{Duration, Instant};

use nutmegwheel_types::{plain, plain_copy};

plain! {
    /// How a [`Gradient`](super::Gradient) searches.
    pub struct Options {
        /// The shortest time that one comparison looks at.
        pub window: Duration,
        /// The fewest samples that one comparison looks at.
        pub min_samples: u32,
        /// The most samples that one comparison waits for.
        pub max_samples: u32,
        /// The latency, in percent of the baseline, that counts as queueing.
        pub queueing_percent: u32,
        /// What a step down leaves of the limit, in percent.
        pub step_down_percent: u32,
        /// The latency after a step down, in percent of that before, up to which the step helped.
        pub step_helped_percent: u32,
        /// The part of the slots that is always left, in percent, and never less than one.
        pub min_limit_percent: u32,
        /// The part of the slots that a cold start begins with, in percent.
        pub cold_start_percent: u32,
        /// How often a step down checks the baseline while the limit is used up.
        pub probe_interval: Duration,
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            window: Duration::from_millis(50),
            min_samples: 16,
            max_samples: 64,
            queueing_percent: 150,
            step_down_percent: 75,
            step_helped_percent: 90,
            min_limit_percent: 10,
            cold_start_percent: 10,
            probe_interval: Duration::from_secs(10),
        }
    }
}

plain_copy! {
    /// How a request at the backend server ended.
    pub enum Outcome {
        /// It was answered in its own time.
        Answered,
        /// It was cut off by its deadline, so that its latency is a lower bound.
        TimedOut,
        /// The backend server refused it without running it, for lack of capacity.
        Refused,
        /// It failed early or was cancelled, so that its latency tells nothing.
        Uninformative,
    }

    /// One observation of the backend server.
    pub struct Sample {
        /// The time from the start of the request to its end.
        pub latency: Duration,
        /// The requests that were running when it ended, this one included.
        pub running: u32,
        /// How it ended.
        pub outcome: Outcome,
    }
}

/// Finds how many requests a backend server can run at a time.
pub trait Limiter: Send + std::fmt::Debug {
    /// The number of requests that may run now; at least 1.
    fn limit(&self) -> u32;

    /// Learns from the end of one request.
    fn observe(&mut self, now: Instant, sample: Sample);

    /// Takes over an announced ceiling.
    fn set_slots(&mut self, slots: u32);

    /// Begins a slow start, because the backend server was started again.
    fn cold_start(&mut self, now: Instant);
}
