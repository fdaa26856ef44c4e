use std::time::Duration;

use nutmegwheel_types::plain_copy;
use serde::{Deserialize, Serialize};

/// An amount of tokens in millionths, so that fractional rates such as 0.5 tokens/s are integers.
pub type MicroTokens = u64;

/// One token, which admits one request.
pub const TOKEN: MicroTokens = 1_000_000;

/// The largest assumed drift of a process's monotonic clock from real time, in percent.
///
/// Leases rely on this bound and never on wall clocks; see docs/spec/SHARES.md.
pub const CLOCK_DRIFT_PERCENT: u32 = 1;

/// Shortens the term of a lease for its holder, so that it expires there before it does at the
/// grantor.
///
/// With both clocks within [`CLOCK_DRIFT_PERCENT`] of real time, twice that bound suffices.
#[must_use]
pub fn shorten_for_drift(term: Duration) -> Duration {
    term * (100 - 2 * CLOCK_DRIFT_PERCENT) / 100
}

plain_copy! {
    /// The parameters of a token bucket: the sustained rate and the burst size.
    #[derive(Serialize, Deserialize)]
    pub struct Limit {
        /// The refill rate, in millionths of a token per second.
        pub rate: MicroTokens,
        /// The size of the bucket, in millionths of a token.
        pub burst: MicroTokens,
    }
}

impl Limit {
    /// The limit that admits nothing.
    pub const ZERO: Limit = Limit { rate: 0, burst: 0 };

    /// Converts a configured rate, in requests per second, and burst, in requests.
    ///
    /// The rate is rounded down to a millionth, so that rounding never raises it. The burst is
    /// rounded down to whole tokens but is at least 1, since nothing could pass with less.
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

    /// The number of whole tokens in the burst.
    #[must_use]
    pub fn burst_tokens(self) -> u64 {
        self.burst / TOKEN
    }

    /// The smaller rate and the smaller burst of both.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Limit {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }

    /// The larger rate and the larger burst of both.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Limit {
            rate: self.rate.max(other.rate),
            burst: self.burst.max(other.burst),
        }
    }

    /// The saturating sum of the rates and of the bursts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Limit {
            rate: self.rate.saturating_add(other.rate),
            burst: self.burst.saturating_add(other.burst),
        }
    }

    /// The saturating difference of the rates and of the bursts.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Limit {
            rate: self.rate.saturating_sub(other.rate),
            burst: self.burst.saturating_sub(other.burst),
        }
    }

    /// Whether neither the rate nor the burst exceeds that of `other`.
    #[must_use]
    pub fn fits_in(self, other: Self) -> bool {
        self.rate <= other.rate && self.burst <= other.burst
    }
}
