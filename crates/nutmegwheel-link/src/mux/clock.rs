use std::time::{Duration, Instant};

/// The clocks of both sides of a link, each of which starts with the link on its side.
///
/// A deadline is sent as a time on the receiver's clock, so that the time in which the request was
/// held up on the way counts.
#[derive(Debug)]
pub(crate) struct Clocks {
    opened_at: Instant,
    /// The peer's clock at `estimated_at`, or more, so that no deadline is too early.
    estimate: Duration,
    estimated_at: Instant,
}

impl Clocks {
    /// Starts the clocks at `now`; the link on the peer's side was opened after `peer_opened_after`.
    pub(crate) fn new(now: Instant, peer_opened_after: Instant) -> Self {
        Self {
            opened_at: now,
            estimate: Duration::ZERO,
            estimated_at: peer_opened_after,
        }
    }

    /// The time on this side's clock.
    pub(crate) fn own(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.opened_at)
    }

    /// The instant of a time on this side's clock, or `None` if it is out of range.
    pub(crate) fn instant(&self, time: Duration) -> Option<Instant> {
        self.opened_at.checked_add(time)
    }

    /// The time on the peer's clock at `at`, or more.
    pub(crate) fn peer(&self, at: Instant) -> Duration {
        self.estimate + at.saturating_duration_since(self.estimated_at)
    }

    /// Records the time that the peer reported in answer to a ping sent at `asked_at`.
    pub(crate) fn observe(&mut self, now: Instant, asked_at: Instant, reported: Duration) {
        let latest = reported + now.saturating_duration_since(asked_at);
        let estimate = self.peer(now);
        // The estimate is behind if this side's VM was suspended and its clock stood still.
        let is_behind = estimate < reported;
        self.estimate = if is_behind {
            latest
        } else {
            estimate.min(latest)
        };
        self.estimated_at = now;
    }
}
