use std::time::{Duration, Instant};

use nutmegwheel_types::plain;

use crate::{MicroTokens, TOKEN};

/// The shortest time over which arrivals are counted before they enter the average.
const WINDOW: Duration = Duration::from_millis(100);
/// The age at which an arrival has lost about half its weight in the average.
const HALF_LIFE: Duration = Duration::from_millis(700);

plain! {
    /// An exponentially weighted moving average of arrivals per second.
    #[derive(Hash)]
    pub(crate) struct Meter {
        count: u64,
        since: Instant,
        rate: MicroTokens,
    }
}

impl Meter {
    pub(crate) fn new(now: Instant) -> Self {
        Meter {
            count: 0,
            since: now,
            rate: 0,
        }
    }

    pub(crate) fn record(&mut self, tokens: u64, now: Instant) {
        self.advance(now);
        self.count += tokens;
    }

    /// The average at `now`, in millionths of an arrival per second.
    pub(crate) fn rate(&mut self, now: Instant) -> MicroTokens {
        self.advance(now);
        self.rate
    }

    /// The average as of the last update, in millionths of an arrival per second.
    pub(crate) fn last_rate(&self) -> MicroTokens {
        self.rate
    }

    /// Updates the average to `now`, so that it decays while nothing arrives.
    pub(crate) fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.since);
        if elapsed < WINDOW {
            return;
        }
        let (elapsed, half) = (elapsed.as_nanos(), HALF_LIFE.as_nanos());
        let newest = u128::from(self.count) * u128::from(TOKEN) * 1_000_000_000 / elapsed;
        let mixed = (u128::from(self.rate) * half + newest * elapsed) / (half + elapsed);
        self.rate = u64::try_from(mixed).unwrap_or(u64::MAX);
        self.count = 0;
        self.since = now;
    }
}
