//! Detection of backend servers with a high failure rate (gray failures).
//!
//! Such a backend server passes its health checks and accepts its share of the load, but answers
//! part of its requests with errors, not at all, or with refusals although it has free capacity.
//! Counting consecutive failures does not find it, because successes come in between. Its own node
//! sees all of its requests, so it can decide after a few of them; it then announces fewer slots to
//! the other nodes. See docs/POLICY.md, "Routing".

use std::time::{Duration, Instant};

use nutmegwheel_types::plain;

plain! {
    /// The thresholds of the failure rate, and the slots of a failing backend server.
    pub struct Options {
        /// The failure rate, in percent, from which a backend server counts as failing.
        pub failing_percent: u32,
        /// The failure rate, in percent, below which a failing one counts as healthy again.
        pub recovered_percent: u32,
        /// The number of requests over which the rate is smoothed; the latest ones weigh most.
        pub smoothing_requests: u32,
        /// The minimum number of requests before a backend server can count as failing.
        pub min_requests: u32,
        /// The share of its slots that a failing backend server announces, in percent. It must get
        /// enough requests to show that it has recovered.
        pub announced_slots_percent: u32,
        /// The time without a request after which a failing backend server counts as healthy.
        pub idle_reset_after: Duration,
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            failing_percent: 25,
            recovered_percent: 8,
            smoothing_requests: 16,
            min_requests: 8,
            announced_slots_percent: 10,
            idle_reset_after: Duration::from_secs(5),
        }
    }
}

/// The smoothed failure rate of one backend server.
#[derive(Debug)]
pub struct FailureRate {
    options: Options,
    requests: u32,
    rate: f64,
    is_failing: bool,
    last_recorded: Option<Instant>,
}

impl FailureRate {
    /// Creates the rate of a healthy backend server without requests.
    #[must_use]
    pub fn open(options: Options) -> Self {
        Self {
            options,
            requests: 0,
            rate: 0.0,
            is_failing: false,
            last_recorded: None,
        }
    }

    /// Records the outcome of a request and returns whether [`is_failing`](Self::is_failing)
    /// changed.
    ///
    /// Record only outcomes that depend on the backend server alone.
    pub fn record(&mut self, now: Instant, is_failure: bool) -> bool {
        self.last_recorded = Some(now);
        self.requests = self.requests.saturating_add(1);
        let weight = f64::from(self.requests.min(self.options.smoothing_requests).max(1));
        let outcome = if is_failure { 1.0 } else { 0.0 };
        self.rate += (outcome - self.rate) / weight;
        let threshold = if self.is_failing {
            self.options.recovered_percent
        } else {
            self.options.failing_percent
        };
        let is_failing = self.percent() >= f64::from(threshold);
        let has_enough_requests = self.requests >= self.options.min_requests;
        self.set_failing(has_enough_requests && is_failing)
    }

    /// Resets the rate of a failing backend server that got no request for
    /// [`idle_reset_after`](Options::idle_reset_after), and returns whether it was reset.
    pub fn expire(&mut self, now: Instant) -> bool {
        let is_idle =
            |at: Instant| now.saturating_duration_since(at) >= self.options.idle_reset_after;
        if !self.is_failing || !self.last_recorded.is_none_or(is_idle) {
            return false;
        }
        self.reset();
        true
    }

    /// Discards all recorded outcomes, as for a new instance of the backend server.
    pub fn reset(&mut self) {
        self.requests = 0;
        self.rate = 0.0;
        self.is_failing = false;
    }

    fn set_failing(&mut self, is_failing: bool) -> bool {
        std::mem::replace(&mut self.is_failing, is_failing) != is_failing
    }
}

impl FailureRate {
    /// Whether the backend server counts as failing.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// The failure rate in percent.
    #[must_use]
    pub fn percent(&self) -> f64 {
        self.rate * 100.0
    }

    /// The slots to announce to other nodes when the backend server has `slots`.
    #[must_use]
    pub fn announced_slots(&self, slots: u16) -> u16 {
        if !self.is_failing {
            return slots;
        }
        let announced = u32::from(slots) * self.options.announced_slots_percent / 100;
        u16::try_from(announced).unwrap_or(slots).max(1)
    }
}
