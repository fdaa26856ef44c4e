//! A request that has not arrived completely.

use std::time::{Duration, Instant};

use nutmegwheel_http1::Stage;
use nutmegwheel_policy::senders::{Asker, Progress, Sender};

/// The window of the progress by which senders are compared when memory is short. Two of them pass
/// before a sender that stops is known to be slow; by then, nobody else has to be evicted.
const RECENT_WINDOW: Duration = Duration::from_millis(200);
/// The window of the progress that every body must make. Callers give up a request within seconds.
const STEADY_WINDOW: Duration = Duration::from_secs(5);

/// The reception of a request on one connection.
#[derive(Debug)]
pub(crate) struct Reception {
    began_at: Instant,
    stage: Stage,
    held: usize,
    recent: Progress,
    steady: Progress,
    paused_since: Option<Instant>,
}

impl Reception {
    pub(crate) fn open(now: Instant) -> Self {
        Self {
            began_at: now,
            stage: Stage::Head,
            held: 0,
            recent: Progress::open(now, RECENT_WINDOW),
            steady: Progress::open(now, STEADY_WINDOW),
            paused_since: None,
        }
    }

    pub(crate) fn record(&mut self, now: Instant, bytes: usize) {
        self.recent.record(now, bytes);
        self.steady.record(now, bytes);
    }

    /// Records the memory that the request holds, and whether it waits for more.
    pub(crate) fn update(&mut self, now: Instant, stage: Stage, held: usize, is_paused: bool) {
        self.held = held;
        let is_new = std::mem::replace(&mut self.stage, stage) != stage;
        if is_paused {
            self.paused_since.get_or_insert(now);
        } else if self.paused_since.take().is_some() || is_new {
            self.recent.restart(now);
            self.steady.restart(now);
        }
    }

    /// Whether the body arrives too slowly, whatever the memory that is left. Heads have a time
    /// limit of their own.
    pub(crate) fn is_too_slow(&self, now: Instant) -> bool {
        self.paused_since.is_none() && self.stage == Stage::Body && self.steady.is_slow(now)
    }

    pub(crate) fn deadline(&self, now: Instant) -> Option<Instant> {
        let is_checked = self.paused_since.is_none() && self.stage == Stage::Body;
        is_checked.then(|| self.steady.deadline(now))
    }

    pub(crate) fn sender<K>(&self, key: K, now: Instant) -> Sender<K> {
        Sender {
            key,
            held: self.held,
            age: now.saturating_duration_since(self.began_at),
            rate: self.recent.rate(now),
            is_paused: self.paused_since.is_some(),
        }
    }

    /// The request as one that needs memory.
    pub(crate) fn asker(&self, now: Instant) -> Asker {
        let paused = self.paused_since;
        Asker {
            held: self.held,
            paused: paused.map_or(Duration::ZERO, |since| now.saturating_duration_since(since)),
        }
    }
}
