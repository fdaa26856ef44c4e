//! The rate to which a backend server asked to be held, enforced by the node that is its only
//! caller.

use std::time::{Duration, Instant};

use crate::{Limit, MicroTokens, TOKEN, bucket::Bucket};

/// The time whose requests may start at once after a pause.
const BURST_TIME: Duration = Duration::from_millis(500);
/// The minimum rate, in requests per second. A limit ends when an answer does not name it any more,
/// so there must be answers.
const MIN_RATE: f64 = 0.5;
/// The maximum rate, above which a limit has no effect.
const MAX_RATE: f64 = 1e9;
/// The number of concurrent requests until the first answer says whether there is a limit.
const FIRST_REQUESTS: u16 = 4;
/// The weight of a new duration in the mean.
const DURATION_WEIGHT: f64 = 0.1;

/// The limit of one backend server, and what is needed to keep to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerLimit {
    /// Whether no answer has said yet if there is a limit.
    is_unknown: bool,
    named: Option<Named>,
    /// The mean time in which the backend server answers, in seconds.
    mean_duration: Option<f64>,
}

#[derive(Clone, Debug, PartialEq)]
struct Named {
    rate: f64,
    bucket: Bucket,
}

impl ServerLimit {
    /// Records the limit that an answer names, in requests per second, or that it names none, and
    /// returns whether that is a change.
    pub fn observe(&mut self, now: Instant, rate: Option<f64>) -> bool {
        let was_unknown = std::mem::take(&mut self.is_unknown);
        if rate == self.rate() {
            return was_unknown;
        }
        self.named = rate.map(|rate| {
            let limit = limit(rate);
            let bucket = match self.named.take() {
                Some(mut named) => {
                    named.bucket.set_limit(limit, now);
                    named.bucket
                }
                None => Bucket::empty(limit, now),
            };
            Named { rate, bucket }
        });
        true
    }

    /// Records the time that the backend server took to answer a request.
    pub fn record_duration(&mut self, duration: Duration) {
        let seconds = duration.as_secs_f64();
        let mean = self
            .mean_duration
            .map_or(seconds, |mean| mean + (seconds - mean) * DURATION_WEIGHT);
        self.mean_duration = Some(mean);
    }

    /// Forgets everything, because another instance of the backend server runs, or this process
    /// does not know what the instance said before. `names_limits` says whether its answers tell.
    pub fn reset(&mut self, names_limits: bool) {
        *self = Self {
            is_unknown: names_limits,
            ..Self::default()
        };
    }

    /// Takes a request's token, or returns the time until there is one if nobody takes it before.
    ///
    /// # Errors
    ///
    /// Returns that time if the limit allows no request now.
    pub fn try_start(&mut self, now: Instant) -> Result<(), Duration> {
        let Some(named) = &mut self.named else {
            return Ok(());
        };
        if named.bucket.take(TOKEN, now) {
            return Ok(());
        }
        Err(named.bucket.wait_for(TOKEN).unwrap_or(Duration::MAX))
    }
}

impl ServerLimit {
    /// The limit that the last answer named, in requests per second.
    #[must_use]
    pub fn rate(&self) -> Option<f64> {
        self.named.as_ref().map(|named| named.rate)
    }

    /// The number of requests that may run at the same time. Until the first answer these are few,
    /// since the backend server may have named a limit to an earlier process of this node.
    #[must_use]
    pub fn concurrency(&self, slots: u16) -> u16 {
        if self.is_unknown {
            slots.min(FIRST_REQUESTS)
        } else {
            self.slots(slots)
        }
    }

    /// The number of concurrent requests, of `slots` that the backend server announced, that keep
    /// it busy at the limit. More would only wait.
    #[must_use]
    pub fn slots(&self, slots: u16) -> u16 {
        match (self.rate(), self.mean_duration()) {
            (Some(rate), Some(duration)) => busy_slots(rate, duration, slots),
            _ => slots,
        }
    }

    /// The mean time in which the backend server answers, if it has answered a request.
    #[must_use]
    pub fn mean_duration(&self) -> Option<Duration> {
        self.mean_duration.map(Duration::from_secs_f64)
    }
}

/// The number of concurrent requests, of at most `slots`, that keep a backend server busy at a rate
/// in requests per second.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast of a float saturates"
)]
pub(crate) fn busy_slots(rate: f64, duration: Duration, slots: u16) -> u16 {
    let busy = (rate * duration.as_secs_f64()).ceil() as u16;
    busy.saturating_add(1).min(slots)
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the rate is in a range that both types hold"
)]
fn limit(rate: f64) -> Limit {
    let rate = rate.clamp(MIN_RATE, MAX_RATE) * TOKEN as f64;
    let burst = (rate * BURST_TIME.as_secs_f64()) as MicroTokens;
    Limit {
        rate: rate as MicroTokens,
        burst: burst.max(TOKEN),
    }
}
