//! The work that a backend server has left, learned from the times of its requests; see
//! docs/design/COST-ROUTING.md.
//!
//! Load that it answers: requests that look alike and cost unlike, and servers of unlike speed. A
//! count of requests tells neither.

mod kind;
mod ledger;

use std::time::Duration;

use nutmegwheel_types::plain_copy;

pub use ledger::{Change, Ledger, Ticket};

plain_copy! {
    /// What the node of a backend server reports of its work with an answer.
    pub struct WorkReport {
        /// The time for which the running and waiting requests are expected to hold their slots
        /// from now on, added up.
        pub left: Duration,
        /// The typical time that a request of the answered kind takes at this backend server
        /// itself, without the calls that it waits for, or `None` if too few were seen.
        pub service: Option<Duration>,
    }
}

impl WorkReport {
    /// The longest service time that a report may claim. Longer ones are absurd.
    const MAX_SERVICE: Duration = Duration::from_mins(1);
    /// The shortest service time that a report may claim, so that no server looks free of cost.
    const MIN_SERVICE: Duration = Duration::from_micros(100);
    /// The most work that a report may claim: the slots of the largest announcement, each held for
    /// the longest service time.
    const MAX_LEFT: Duration = Duration::from_mins(65_536);

    /// Reads a report from another process, in microseconds, in which zero means unknown.
    ///
    /// Returns `None` if it holds nothing, as reports of earlier versions do. Absurd figures are
    /// clamped.
    #[must_use]
    pub fn from_micros(left: u64, service: u64) -> Option<Self> {
        let service = (service > 0)
            .then(|| Duration::from_micros(service).clamp(Self::MIN_SERVICE, Self::MAX_SERVICE));
        (left > 0 || service.is_some()).then(|| Self {
            left: Duration::from_micros(left).min(Self::MAX_LEFT),
            service,
        })
    }

    /// The figures of [`from_micros`](Self::from_micros).
    #[must_use]
    pub fn to_micros(self) -> (u64, u64) {
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        (micros(self.left), self.service.map_or(0, micros))
    }
}
