use std::time::{Duration, Instant};

use super::Silent;
use crate::Limits;

/// The time for which a link counts as in use after its last stream ended.
const RECENT_USE: Duration = Duration::from_secs(2);

/// The lateness of a tick beyond which this process, not the far side, was held up.
const LATENESS: Duration = Duration::from_millis(100);

/// Decides when to ask the far side for a sign of life and when to give it up.
#[derive(Debug)]
pub(crate) struct Liveness {
    interval: Duration,
    idle_interval: Duration,
    silence: Duration,
    heard: Instant,
    pinged: Instant,
    used: Instant,
    /// When the oldest ping was sent that nothing has been heard since.
    probe: Option<Instant>,
    /// When the next tick is due, so that one that comes late is noticed.
    due: Option<Instant>,
}

impl Liveness {
    pub(crate) fn new(limits: &Limits, now: Instant) -> Self {
        Self {
            interval: limits.ping_interval,
            idle_interval: limits.idle_ping_interval,
            silence: limits.silence_timeout,
            heard: now,
            pinged: now,
            used: now,
            probe: None,
            due: None,
        }
    }

    /// Any frame of the far side is a sign of life.
    pub(crate) fn heard(&mut self, now: Instant) {
        self.heard = now;
        self.probe = None;
    }

    /// The link carries a message now.
    pub(crate) fn used(&mut self, now: Instant) {
        self.used = now;
    }

    /// When the link carried a message last.
    pub(crate) fn last_use(&self) -> Instant {
        self.used
    }

    /// Whether the far side has been quiet for so long that it must be heard before new work is
    /// entrusted to the link.
    pub(crate) fn is_unproved(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) >= self.silence
    }

    /// Whether a ping has been waiting for longer than is usual.
    pub(crate) fn is_suspect(&self, now: Instant) -> bool {
        self.probe
            .is_some_and(|sent| now.saturating_duration_since(sent) >= self.interval)
    }

    /// Tells whether a ping has to be sent now.
    pub(crate) fn tick(&mut self, now: Instant, open: bool) -> Result<bool, Silent> {
        self.excuse_lateness(now);
        if self.abandon_at().is_some_and(|at| now >= at) {
            return Err(Silent);
        }
        let is_due = now >= self.ping_at(now, open);
        if is_due {
            self.pinged = now;
            self.probe.get_or_insert(now);
        }
        self.due = Some(self.next_tick(now, open));
        Ok(is_due)
    }

    /// Time in which this process did not run, or not this link, says nothing about the far side.
    fn excuse_lateness(&mut self, now: Instant) {
        let late = self.due.map(|due| now.saturating_duration_since(due));
        if let (Some(late), Some(probe)) = (late, &mut self.probe)
            && late > LATENESS
        {
            *probe += late;
        }
    }

    /// When [`Liveness::tick`] has something to do next.
    pub(crate) fn next_tick(&self, now: Instant, open: bool) -> Instant {
        let ping = self.ping_at(now, open);
        self.abandon_at().map_or(ping, |at| at.min(ping))
    }

    /// The first ping goes out after one interval of silence, which counts towards the timeout.
    fn abandon_at(&self) -> Option<Instant> {
        let patience = self.silence.saturating_sub(self.interval);
        self.probe.map(|sent| sent + patience)
    }

    fn ping_at(&self, now: Instant, open: bool) -> Instant {
        let recent = now.saturating_duration_since(self.used) < RECENT_USE;
        let interval = if open || recent {
            self.interval
        } else {
            self.idle_interval
        };
        self.heard.max(self.pinged) + interval
    }
}
