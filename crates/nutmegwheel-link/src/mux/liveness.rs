use std::time::{Duration, Instant};

use super::PeerTimeout;
use crate::Limits;

/// The time after the last message during which a link still counts as in use.
const RECENT_USE: Duration = Duration::from_secs(2);

/// The delay of a tick above which this process, rather than the peer, is taken to have stalled.
const MAX_TICK_DELAY: Duration = Duration::from_millis(100);

/// Decides when to ping the peer and when to time out the link.
#[derive(Debug)]
pub(crate) struct Liveness {
    interval: Duration,
    idle_interval: Duration,
    silence_timeout: Duration,
    last_receipt: Instant,
    last_ping: Instant,
    last_used: Instant,
    /// When the first ping since the last received frame was sent. Moved later by stalls of this
    /// process.
    unanswered_since: Option<Instant>,
    /// When the next tick is due; a late one reveals a stall of this process.
    tick_due: Option<Instant>,
}

impl Liveness {
    pub(crate) fn new(limits: &Limits, now: Instant) -> Self {
        Self {
            interval: limits.ping_interval,
            idle_interval: limits.idle_ping_interval,
            silence_timeout: limits.silence_timeout,
            last_receipt: now,
            last_ping: now,
            last_used: now,
            unanswered_since: None,
            tick_due: None,
        }
    }

    /// Records that a frame was received; a frame of any kind proves that the peer is alive.
    pub(crate) fn record_receipt(&mut self, now: Instant) {
        self.last_receipt = now;
        self.unanswered_since = None;
    }

    /// Records that the link carries a message.
    pub(crate) fn record_use(&mut self, now: Instant) {
        self.last_used = now;
    }

    /// When the newest ping was due to be sent.
    pub(crate) fn last_ping(&self) -> Instant {
        self.last_ping
    }

    /// When the link last carried a message.
    pub(crate) fn last_used(&self) -> Instant {
        self.last_used
    }

    /// Whether the peer has been silent for so long that a frame, such as a pong, must be received
    /// from it before new requests are sent. If the peer is gone, they would be lost, and it would
    /// be unknown whether they ran.
    pub(crate) fn needs_probe(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_receipt) >= self.silence_timeout
    }

    /// Whether a ping has gone unanswered for a whole ping interval.
    pub(crate) fn is_suspect(&self, now: Instant) -> bool {
        self.unanswered_since
            .is_some_and(|sent| now.saturating_duration_since(sent) >= self.interval)
    }

    /// Fails if the peer has timed out; otherwise returns whether a ping must be sent now.
    pub(crate) fn tick(&mut self, now: Instant, open: bool) -> Result<bool, PeerTimeout> {
        self.discount_stall(now);
        if self.timeout_at().is_some_and(|at| now >= at) {
            return Err(PeerTimeout);
        }
        let is_due = now >= self.ping_at(now, open);
        if is_due {
            self.last_ping = now;
            self.unanswered_since.get_or_insert(now);
        }
        self.tick_due = Some(self.next_tick(now, open));
        Ok(is_due)
    }

    /// Subtracts the time in which this process or the task of this link did not run, since the
    /// peer was not necessarily silent then.
    fn discount_stall(&mut self, now: Instant) {
        let delay = self.tick_due.map(|due| now.saturating_duration_since(due));
        if let (Some(delay), Some(unanswered_since)) = (delay, &mut self.unanswered_since)
            && delay > MAX_TICK_DELAY
        {
            *unanswered_since += delay;
        }
    }

    /// When [`Liveness::tick`] has to be called next.
    pub(crate) fn next_tick(&self, now: Instant, open: bool) -> Instant {
        let ping = self.ping_at(now, open);
        self.timeout_at().map_or(ping, |at| at.min(ping))
    }

    /// When the peer times out. The first ping is only sent after one interval of silence, and that
    /// interval counts towards the timeout.
    fn timeout_at(&self) -> Option<Instant> {
        let timeout = self.silence_timeout.saturating_sub(self.interval);
        self.unanswered_since.map(|sent| sent + timeout)
    }

    fn ping_at(&self, now: Instant, open: bool) -> Instant {
        let recent = now.saturating_duration_since(self.last_used) < RECENT_USE;
        let interval = if open || recent {
            self.interval
        } else {
            self.idle_interval
        };
        self.last_receipt.max(self.last_ping) + interval
    }
}
