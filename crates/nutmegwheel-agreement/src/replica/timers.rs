//! The timers of a replica, on the caller's monotonic clock.

use std::time::{Duration, Instant};

use super::{Options, Random};

pub(super) struct Timers {
    heartbeat: Duration,
    election_timeout: Duration,
    storage_retry: Duration,
    random: Random,
    /// When the last message from a leader arrived, initially the start of the process: a replica
    /// may have answered a leader just before its restart, and has no record of that.
    last_leader_contact: Instant,
    election_at: Instant,
    heartbeat_at: Instant,
    /// When the newest heartbeat round that a quorum has answered was started.
    last_quorum_contact: Instant,
    retry_at: Option<Instant>,
}

impl Timers {
    pub(super) fn start(options: &Options, random: Random, now: Instant) -> Self {
        let mut timers = Self {
            heartbeat: options.heartbeat,
            election_timeout: options.election_timeout,
            storage_retry: options.storage_retry,
            random,
            last_leader_contact: now,
            election_at: now,
            heartbeat_at: now,
            last_quorum_contact: now,
            retry_at: None,
        };
        timers.restart_election(now);
        timers
    }

    pub(super) fn record_leader_contact(&mut self, now: Instant) {
        self.last_leader_contact = now;
        self.restart_election(now);
    }

    /// Sets the election timer to a random time between one and two election timeouts, so that
    /// replicas seldom start elections at the same time.
    pub(super) fn restart_election(&mut self, now: Instant) {
        let jitter = u32::try_from((self.random)() >> 32).unwrap_or(0);
        let fraction = f64::from(jitter) / f64::from(u32::MAX);
        self.election_at = now + self.election_timeout + self.election_timeout.mul_f64(fraction);
    }

    pub(super) fn record_round_start(&mut self, now: Instant, first: bool) {
        self.heartbeat_at = now + self.heartbeat;
        if first {
            self.last_quorum_contact = now;
        }
    }

    pub(super) fn record_quorum_contact(&mut self, started_at: Instant) {
        self.last_quorum_contact = self.last_quorum_contact.max(started_at);
    }

    pub(super) fn schedule_retry(&mut self, now: Instant) {
        self.retry_at = Some(now + self.storage_retry);
    }

    /// Clears the pending retry of a write and returns whether there was one.
    pub(super) fn clear_retry(&mut self) -> bool {
        self.retry_at.take().is_some()
    }
}

impl Timers {
    pub(super) fn next_deadline(&self, is_leader: bool) -> Instant {
        if let Some(at) = self.retry_at {
            return at;
        }
        if is_leader {
            return self.heartbeat_at.min(self.quorum_deadline());
        }
        self.election_at
    }

    pub(super) fn is_leader_alive(&self, now: Instant) -> bool {
        now < self.last_leader_contact + self.election_timeout
    }

    pub(super) fn is_election_due(&self, now: Instant) -> bool {
        now >= self.election_at
    }

    pub(super) fn is_heartbeat_due(&self, now: Instant) -> bool {
        now >= self.heartbeat_at
    }

    pub(super) fn is_quorum_lost(&self, now: Instant) -> bool {
        now >= self.quorum_deadline()
    }

    pub(super) fn is_retrying(&self) -> bool {
        self.retry_at.is_some()
    }

    pub(super) fn is_retry_due(&self, now: Instant) -> bool {
        self.retry_at.is_some_and(|at| now >= at)
    }

    fn quorum_deadline(&self) -> Instant {
        self.last_quorum_contact + self.election_timeout * 2
    }
}
