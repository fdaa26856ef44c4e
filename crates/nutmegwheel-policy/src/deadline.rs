//! The time left of a request over its hops; see docs/POLICY.md.
//!
//! Only durations travel, for the clocks of VMs differ. Each hop keeps back what the way back of
//! the answer takes, so that the one below gives up first and its answer still arrives.

use std::time::{Duration, Instant};

use nutmegwheel_types::{plain, plain_copy};

plain! {
    /// What is kept back for the way back.
    pub struct Options {
        /// The least that a hop keeps back.
        pub min_reserve: Duration,
        /// The most that a hop keeps back, in percent of the time left.
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
    /// The end of a request's time, on the clock of one process.
    pub struct Deadline {
        at: Instant,
    }

    /// Why a request is not sent on.
    #[derive(thiserror::Error)]
    pub enum Error {
        /// The time of the request is over.
        #[error("sending a request on: its deadline passed {late:?} ago")]
        Expired {
            /// The time since then.
            late: Duration,
        },
    }
}

impl Deadline {
    /// Opens the deadline of a request that arrived at `now` with `remaining` time left.
    #[must_use]
    pub fn open(now: Instant, remaining: Duration) -> Self {
        Self {
            at: now.checked_add(remaining).unwrap_or(now),
        }
    }

    /// The instant at which it passes.
    #[must_use]
    pub fn at(self) -> Instant {
        self.at
    }

    /// Whether it has passed.
    #[must_use]
    pub fn is_expired(self, now: Instant) -> bool {
        self.at <= now
    }

    /// The time left, zero once it has passed.
    #[must_use]
    pub fn remaining(self, now: Instant) -> Duration {
        self.at.saturating_duration_since(now)
    }

    /// The time that the next hop gets, given the round trip time to it.
    ///
    /// # Errors
    ///
    /// [`Error::Expired`] when the deadline has passed.
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
        // The way there is spent before the next hop counts, so the whole round trip goes off.
        let reserve = round_trip.max(options.min_reserve).min(max_reserve);
        Ok(remaining.saturating_sub(reserve))
    }
}
