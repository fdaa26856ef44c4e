use std::time::{Duration, Instant};

use nutmegwheel_types::{plain, plain_copy};

plain! {
    /// The settings of a [`Gradient`](super::Gradient).
    pub struct Options {
        /// The minimum duration of a window, the period whose mean latency is compared.
        pub window: Duration,
        /// The minimum number of samples of a window.
        pub min_samples: u32,
        /// The maximum number of samples that a window waits for.
        pub max_samples: u32,
        /// The latency, in percent of the baseline, above which requests count as queueing.
        pub queueing_percent: u32,
        /// The limit after a step down, in percent of the limit before.
        pub step_down_percent: u32,
        /// The latency after a step down, in percent of the latency before, up to which the step
        /// counts as helpful.
        pub step_helped_percent: u32,
        /// The minimum limit, in percent of the slots and at least 1.
        pub min_limit_percent: u32,
        /// The limit at a cold start, in percent of the slots and at least 1.
        pub cold_start_percent: u32,
        /// The interval of the probes that check the baseline by a step down while the limit is
        /// saturated.
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
    /// The outcome of a request at the backend server.
    pub enum Outcome {
        /// The request was answered before its deadline.
        Answered,
        /// The request timed out at its deadline, so that its latency is a lower bound.
        TimedOut,
        /// The backend server refused the request for lack of capacity, without running it.
        Refused,
        /// The request failed early or was cancelled, so that its latency is meaningless.
        Uninformative,
    }

    /// The latency and outcome of one request at the backend server.
    pub struct Sample {
        /// The time from the start of the request to its end.
        pub latency: Duration,
        /// The number of requests that were running when it ended, including this one.
        pub running: u32,
        /// The outcome of the request.
        pub outcome: Outcome,
    }
}

/// Determines how many requests a backend server can run concurrently.
pub trait Limiter: Send + std::fmt::Debug {
    /// The maximum number of requests that may run now; at least 1.
    fn limit(&self) -> u32;

    /// Records the end of one request.
    fn observe(&mut self, now: Instant, sample: Sample);

    /// Sets the announced slots, the ceiling of the limit; 0 counts as 1.
    fn set_slots(&mut self, slots: u32);

    /// Begins a slow start after the backend server has restarted.
    fn cold_start(&mut self, now: Instant);
}
