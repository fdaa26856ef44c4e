use std::time::Duration;

use nutmegwheel_types::plain_copy;
use serde::{Deserialize, Serialize};

/// An amount of tokens in millionths, so that a rate of half a token a second stays a whole number.
pub type MicroTokens = u64;

/// One token, which lets one request pass.
pub const TOKEN: MicroTokens = 1_000_000;

/// How far the rate of a process's monotonic clock may differ from real time, in percent.
///
/// Leases rest on this bound and on no wall clock; see docs/spec/SHARES.md.
pub const CLOCK_DRIFT_PERCENT: u32 = 1;

/// Shortens a duration that the granter keeps in full, so that the holder's clock ends it first.
///
/// With clocks within [`CLOCK_DRIFT_PERCENT`] of real time, twice the bound is enough.
#[must_use]
pub fn shorten_for_drift(term: Duration) -> Duration {
    term * (100 - 2 * CLOCK_DRIFT_PERCENT) / 100
}

plain_copy! {
    /// What a token bucket allows: a steady rate and the most that may come at once.
    #[derive(Serialize, Deserialize)]
    pub struct Limit {
        /// The refill, in millionths of a token per second.
        pub rate: MicroTokens,
        /// The size of the bucket, in millionths of a token.
        pub burst: MicroTokens,
    }
}

/// Construction and arithmetic, part by part.
impl Limit {
    /// The limit that lets nothing pass.
    pub const ZERO: Limit = Limit { rate: 0, burst: 0 };

    /// Converts the numbers of the configuration: requests per second, and requests at once.
    ///
    /// The rate is rounded down to a millionth, so that rounding never adds to it. The burst is
    /// whole, and at least 1: with less nothing would ever pass.
    #[must_use]
    pub fn from_config(rate: f64, burst: f64) -> Self {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        #[expect(clippy::cast_precision_loss)]
        let rate = (rate.max(0.0) * TOKEN as f64) as MicroTokens;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let burst = burst.clamp(1.0, f64::from(u32::MAX)) as u64;
        Limit {
            rate,
            burst: burst * TOKEN,
        }
    }

    /// The whole tokens of the burst.
    #[must_use]
    pub fn burst_tokens(self) -> u64 {
        self.burst / TOKEN
    }

    /// The smaller of both in each part.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Limit {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }

    /// The larger of both in each part.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Limit {
            rate: self.rate.max(other.rate),
            burst: self.burst.max(other.burst),
        }
    }

    /// The sum in each part, held at the largest number.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Limit {
            rate: self.rate.saturating_add(other.rate),
            burst: self.burst.saturating_add(other.burst),
        }
    }

    /// What is left of each part after `other` is taken away, and zero where nothing is.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Limit {
            rate: self.rate.saturating_sub(other.rate),
            burst: self.burst.saturating_sub(other.burst),
        }
    }

    /// Whether neither part is larger than that of `other`.
    #[must_use]
    pub fn fits_in(self, other: Self) -> bool {
        self.rate <= other.rate && self.burst <= other.burst
    }
}
