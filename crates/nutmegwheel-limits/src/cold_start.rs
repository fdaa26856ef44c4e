//! The rate to which a cold backend server is held by the node that is its only caller; see
//! docs/design/COLD-START.md.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use nutmegwheel_types::{plain, plain_copy};

use crate::{Limit, MicroTokens, TOKEN, bucket::Bucket, server_limit};

/// The period over which the bound holds.
const PERIOD: Duration = Duration::from_secs(1);
/// By how much the time between two requests may shrink between their start and their arrival.
const DELIVERY_JITTER: Duration = Duration::from_millis(250);
/// The time without a heartbeat after which the backend server may have restarted unnoticed, which
/// is two usual heartbeat intervals of backend servers.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);
/// The minimum time between two heartbeats of which the later one was sent after the earlier one
/// arrived.
const MIN_CONFIRMATION_INTERVAL: Duration = Duration::from_millis(500);
/// The duration of a request that is assumed until the backend server has answered one.
const UNKNOWN_DURATION: Duration = Duration::from_millis(250);
/// The maximum number of starts that are remembered, and thus of requests per second of a cold
/// backend server.
const MAX_PER_PERIOD: f64 = 10_000.0;
/// The fraction of the bound that is used where it leaves no room for a burst.
const TIGHT_FRACTION: f64 = 0.99;

/// What a cold backend server tolerates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// In requests per second.
    rate: f64,
    burst: f64,
    max_per_period: usize,
    /// How long a backend server stays cold.
    duration: Duration,
}

impl ColdLimit {
    /// Creates the limit of a backend server that is cold for `duration` and serves `rate` requests
    /// per second meanwhile. In any second it may get `rate * overage + slack` requests, and at
    /// least one.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the bound is in a range that both types hold"
    )]
    pub fn new(rate: f64, duration: Duration, overage: f64, slack: f64) -> Self {
        let bound = (rate * overage + slack).clamp(1.0, MAX_PER_PERIOD);
        let window = (PERIOD + DELIVERY_JITTER).as_secs_f64();
        let burst = (bound - rate * window) / 2.0;
        let (rate, burst) = if burst >= 1.0 {
            (rate, burst)
        } else {
            (rate.min(bound.floor() / window * TIGHT_FRACTION), 1.0)
        };
        Self {
            rate,
            burst,
            max_per_period: bound as usize,
            duration,
        }
    }

    /// The number of concurrent requests, of `slots` that the backend server announced, that keep
    /// it busy while it is cold. `duration` is the mean duration of a request, if known.
    #[must_use]
    pub fn slots(&self, slots: u16, duration: Option<Duration>) -> u16 {
        server_limit::busy_slots(self.rate, duration.unwrap_or(UNKNOWN_DURATION), slots)
    }

    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "rate and burst are in a range that both types hold"
    )]
    fn tokens(&self) -> Limit {
        let tokens = |number: f64| (number * TOKEN as f64) as MicroTokens;
        Limit {
            rate: tokens(self.rate),
            burst: tokens(self.burst),
        }
    }
}

plain_copy! {
    /// Why a backend server counts as cold.
    pub enum Reason {
        /// Its last heartbeat says so.
        Reported,
        /// Something happened after which it may be cold, and no heartbeat denies it yet.
        Expected,
        /// Its heartbeats have stopped.
        Silent,
    }
}

plain! {
    /// Whether the local backend server is cold, and the requests that started there.
    #[derive(Default)]
    pub struct ColdStart {
        /// When the last heartbeat arrived.
        heard_at: Option<Instant>,
        cold_until: Option<Instant>,
        expected: Option<Expected>,
        /// The last starts, at most as many as a cold backend server may get in [`PERIOD`].
        starts: VecDeque<Instant>,
        /// Present while the backend server is cold.
        bucket: Option<Bucket>,
    }

    struct Expected {
        since: Instant,
        /// When the first heartbeat arrived that says that the backend server is warm.
        denied_at: Option<Instant>,
    }
}

impl ColdStart {
    /// Forgets everything, because another instance of the backend server runs.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Records a heartbeat, which says how much longer the backend server stays cold. It was sent
    /// after all heartbeats that were recorded before.
    pub fn record_heartbeat(&mut self, now: Instant, remaining: Duration) {
        self.heard_at = Some(now);
        self.cold_until = (!remaining.is_zero()).then(|| now + remaining);
        let Some(expected) = &mut self.expected else {
            return;
        };
        let is_confirmed = expected
            .denied_at
            .is_some_and(|at| now.saturating_duration_since(at) >= MIN_CONFIRMATION_INTERVAL);
        if is_confirmed || !remaining.is_zero() {
            self.expected = None;
        } else if expected.denied_at.is_none() {
            expected.denied_at = Some(now);
        }
    }

    /// Records an event after which the backend server may be cold. One heartbeat that denies it
    /// may have been sent before the event; two heartbeats end the assumption.
    pub fn expect_cold(&mut self, now: Instant) {
        self.expected = Some(Expected {
            since: now,
            denied_at: None,
        });
    }

    /// Takes a request's token if the backend server is cold, and records the start.
    ///
    /// # Errors
    ///
    /// Returns the time until the request may start if no other one starts before.
    pub fn try_start(&mut self, now: Instant, limit: &ColdLimit) -> Result<(), Duration> {
        if self.reason(now, limit).is_none() {
            self.bucket = None;
        } else if let Some(wait) = self.wait_for_start(now, limit) {
            return Err(wait);
        }
        self.starts.push_back(now);
        while self.starts.len() > limit.max_per_period {
            self.starts.pop_front();
        }
        Ok(())
    }

    fn wait_for_start(&mut self, now: Instant, limit: &ColdLimit) -> Option<Duration> {
        let tokens = limit.tokens();
        let bucket = self
            .bucket
            .get_or_insert_with(|| Bucket::empty(tokens, now));
        if bucket.limit() != tokens {
            bucket.set_limit(tokens, now);
        }
        let first = self.starts.len().checked_sub(limit.max_per_period);
        let first = first.and_then(|index| self.starts.get(index));
        let free_at = first.map_or(now, |at| *at + PERIOD + DELIVERY_JITTER);
        if free_at > now {
            return Some(free_at - now);
        }
        if bucket.take(TOKEN, now) {
            return None;
        }
        Some(bucket.wait_for(TOKEN).unwrap_or(Duration::MAX))
    }
}

impl ColdStart {
    /// Why the backend server counts as cold, or `None` if it is warm.
    #[must_use]
    pub fn reason(&self, now: Instant, limit: &ColdLimit) -> Option<Reason> {
        let is_recent = |at: Instant, time: Duration| now.saturating_duration_since(at) < time;
        if self.cold_until.is_some_and(|until| now < until) {
            Some(Reason::Reported)
        } else if let Some(expected) = &self.expected
            && is_recent(expected.since, limit.duration)
        {
            Some(Reason::Expected)
        } else if self
            .heard_at
            .is_some_and(|at| !is_recent(at, HEARTBEAT_TIMEOUT))
        {
            Some(Reason::Silent)
        } else {
            None
        }
    }
}
