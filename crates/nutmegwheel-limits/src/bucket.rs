//! A token bucket whose reserved tokens count against its size.
//!
//! A reserved token is one that was granted but not yet spent. It occupies capacity until it is
//! spent, returned or lost, so that tokens spent late cannot add up with a refilled bucket to more
//! than the burst; see docs/spec/SHARES.md.

use std::time::{Duration, Instant};

use nutmegwheel_types::plain_copy;

use crate::{Limit, MicroTokens};

/// Scales the level, which is kept in millionths of a token times nanoseconds per second: a refill
/// is then the product of rate and elapsed time, without rounding.
const SCALE: u128 = 1_000_000_000;

plain_copy! {
    /// A token bucket with reservations.
    pub struct Bucket {
        limit: Limit,
        level: u128,
        reserved: MicroTokens,
        refilled_at: Instant,
    }
}

impl Bucket {
    /// Creates an empty bucket, with which a new token server starts.
    #[must_use]
    pub fn empty(limit: Limit, now: Instant) -> Self {
        Bucket {
            limit,
            level: 0,
            reserved: 0,
            refilled_at: now,
        }
    }

    /// Creates a bucket that holds its whole burst.
    #[must_use]
    pub fn full(limit: Limit, now: Instant) -> Self {
        Bucket {
            limit,
            level: u128::from(limit.burst) * SCALE,
            reserved: 0,
            refilled_at: now,
        }
    }

    /// Changes rate and size as of `now`; tokens above the new size are dropped.
    pub fn set_limit(&mut self, limit: Limit, now: Instant) {
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(self.capacity());
    }

    /// Adds the tokens accrued since the last call. An earlier time than that of the last call is
    /// ignored.
    pub fn refill(&mut self, now: Instant) {
        let Some(elapsed) = now.checked_duration_since(self.refilled_at) else {
            return;
        };
        let gained = elapsed
            .as_nanos()
            .saturating_mul(u128::from(self.limit.rate));
        self.level = self.level.saturating_add(gained).min(self.capacity());
        self.refilled_at = now;
    }
}

impl Bucket {
    /// The current limit.
    #[must_use]
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// The tokens available as of the last refill.
    #[must_use]
    pub fn level(&self) -> MicroTokens {
        u64::try_from(self.level / SCALE).unwrap_or(u64::MAX)
    }

    /// The tokens granted and neither reported as spent nor returned or expired.
    #[must_use]
    pub fn reserved(&self) -> MicroTokens {
        self.reserved
    }

    /// The time until `amount` is available if nothing else is taken, or `None` if it never will
    /// be.
    #[must_use]
    pub fn wait_for(&self, amount: MicroTokens) -> Option<Duration> {
        let missing = (u128::from(amount) * SCALE).saturating_sub(self.level);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        if self.limit.rate == 0 || amount > self.limit.burst {
            return None;
        }
        let nanos = missing.div_ceil(u128::from(self.limit.rate));
        Some(Duration::from_nanos(
            u64::try_from(nanos).unwrap_or(u64::MAX),
        ))
    }

    fn capacity(&self) -> u128 {
        u128::from(self.limit.burst.saturating_sub(self.reserved)) * SCALE
    }
}

impl Bucket {
    /// Takes tokens that are spent at once. Returns false and takes nothing if there are too few.
    pub fn take(&mut self, amount: MicroTokens, now: Instant) -> bool {
        self.refill(now);
        let scaled = u128::from(amount) * SCALE;
        let Some(left) = self.level.checked_sub(scaled) else {
            return false;
        };
        self.level = left;
        true
    }

    /// Takes tokens that will be spent later and that occupy capacity until then. Returns false and
    /// takes nothing if there are too few.
    pub fn reserve(&mut self, amount: MicroTokens, now: Instant) -> bool {
        let taken = self.take(amount, now);
        if taken {
            self.reserved += amount;
        }
        taken
    }

    /// Frees the capacity of reserved tokens that were spent or lost.
    pub fn consume_reserved(&mut self, amount: MicroTokens, now: Instant) {
        self.refill(now);
        self.reserved = self.reserved.saturating_sub(amount);
    }

    /// Puts back reserved tokens that were not spent and never will be.
    pub fn return_reserved(&mut self, amount: MicroTokens, now: Instant) {
        self.refill(now);
        let amount = amount.min(self.reserved);
        self.reserved -= amount;
        self.level = (self.level + u128::from(amount) * SCALE).min(self.capacity());
    }
}
