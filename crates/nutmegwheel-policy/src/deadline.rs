//! Propagation of request deadlines from hop to hop; see docs/POLICY.md.
//!
//! Remaining times are sent rather than points in time, because the clocks of VMs differ. Each hop
//! reserves time for the way back of the response, so that the next hop times out first and its
//! response still arrives.

use std::time::{Duration, Instant};

use nutmegwheel_types::{plain, plain_copy};

plain! {
    /// The time that a hop reserves for the way back of the response.
    pub struct Options {
        /// The minimum time that a hop reserves.
        pub min_reserve: Duration,
        /// The maximum time that a hop reserves, in percent of the remaining time.
        pub max_reserve_percent: u32,
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            min_reserve: Duration::from_millis(1),
            max_reserve_percent: 20,
        }
    }
}

plain_copy! {
    /// The deadline of a request, on the clock of this process.
    pub struct Deadline {
        at: Instant,
    }

    /// The reason why a request is not forwarded.
    #[derive(thiserror::Error)]
    pub enum Error {
        /// The deadline of the request has passed.
        #[error("sending a request on: its deadline passed {late:?} ago")]
        Expired {
            /// The time since the deadline.
            late: Duration,
        },
    }
}

impl Deadline {
    /// Creates the deadline of a request that arrived at `now` with `remaining` time left.
    ///
    /// If the sum overflows the clock, the deadline is `now`.
    #[must_use]
    pub fn open(now: Instant, remaining: Duration) -> Self {
        Self {
            at: now.checked_add(remaining).unwrap_or(now),
        }
    }

    /// The instant of the deadline.
    #[must_use]
    pub fn at(self) -> Instant {
        self.at
    }

    /// Whether the deadline has passed.
    #[must_use]
    pub fn is_expired(self, now: Instant) -> bool {
        self.at <= now
    }

    /// The remaining time, zero once the deadline has passed.
    #[must_use]
    pub fn remaining(self, now: Instant) -> Duration {
        self.at.saturating_duration_since(now)
    }

    /// The remaining time to send to the next hop, given the round-trip time to it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Expired`] when the deadline has passed.
    pub fn for_next_hop(
        self,
        now: Instant,
        round_trip: Duration,
        options: &Options,
    ) -> Result<Duration, Error> {
        if self.is_expired(now) {
            return Err(Error::Expired {
                late: now.saturating_duration_since(self.at),
            });
        }
        let remaining = self.remaining(now);
        let max_reserve = remaining.saturating_mul(options.max_reserve_percent) / 100;
        // The next hop starts counting only when the request arrives, so the way there is deducted
        // as well as the way back.
        let reserve = round_trip.max(options.min_reserve).min(max_reserve);
        Ok(remaining.saturating_sub(reserve))
    }
}
