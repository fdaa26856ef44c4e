//! Whether a backend server fails so many of its requests that others should get them.
//!
//! The pattern: a backend server that passes every health check and takes its share of the work, and
//! answers part of it with errors, not at all, or with refusals while it has room. Failures in a row
//! do not show it, since what it does answer comes between. Its own node sees all of its requests,
//! so it judges within a few of them, and tells the others by announcing fewer slots; see
//! docs/POLICY.md, "Routing".

use std::time::{Duration, Instant};

use nutmegwheel_types::plain;

plain! {
    /// When a backend server counts as failing, and what it then gets.
    pub struct Options {
        /// The share of failed requests, in percent, from which it counts as failing.
        pub failing_percent: u32,
        /// The share, in percent, below which it counts as sound again.
        pub recovered_percent: u32,
        /// The requests over which the share is taken, the latest counting most.
        pub smoothing_requests: u32,
        /// The requests before anything is concluded.
        pub min_requests: u32,
        /// The part of its slots that a failing one announces, in percent: enough for others to
        /// find out when it is sound again.
        pub announced_slots_percent: u32,
        /// The time without a request after which a failing one counts as sound.
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

/// The share of its requests that a backend server failed lately.
#[derive(Debug)]
pub struct FailureRate {
    options: Options,
    requests: u32,
    rate: f64,
    is_failing: bool,
    last_recorded: Option<Instant>,
}

/// Lifecycle
impl FailureRate {
    /// Opens as sound.
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

    /// Counts the end of a request for which the backend server alone is to blame or to praise,
    /// and says whether it became failing or sound by it.
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

    /// Lets a failing one that got no request for long count as sound, and says whether it does by
    /// that.
    pub fn expire(&mut self, now: Instant) -> bool {
        let is_idle =
            |at: Instant| now.saturating_duration_since(at) >= self.options.idle_reset_after;
        if !self.is_failing || !self.last_recorded.is_none_or(is_idle) {
            return false;
        }
        self.reset();
        true
    }

    /// Forgets everything, as for a new life of the backend server.
    pub fn reset(&mut self) {
        self.requests = 0;
        self.rate = 0.0;
        self.is_failing = false;
    }

    fn set_failing(&mut self, is_failing: bool) -> bool {
        std::mem::replace(&mut self.is_failing, is_failing) != is_failing
    }
}

/// Access
impl FailureRate {
    /// Whether the backend server counts as failing.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// The share of failed requests, in percent.
    #[must_use]
    pub fn percent(&self) -> f64 {
        self.rate * 100.0
    }

    /// The slots to announce to others of those that the backend server has.
    #[must_use]
    pub fn announced_slots(&self, slots: u16) -> u16 {
        if !self.is_failing {
            return slots;
        }
        let announced = u32::from(slots) * self.options.announced_slots_percent / 100;
        u16::try_from(announced).unwrap_or(slots).max(1)
    }
}
