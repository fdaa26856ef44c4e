//! A token bucket that counts tokens handed out but not yet spent against its size.
//!
//! A reserved token fills its place in the bucket until it is spent, restored or lost. Spending late
//! can therefore not add to a burst; see docs/spec/SHARES.md.

use std::time::{Duration, Instant};

use nutmegwheel_types::plain_copy;

use crate::{Limit, MicroTokens};

/// The level is kept in millionths of a token times nanoseconds per second, which makes the refill an
/// exact product of rate and time.
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

/// Lifecycle.
impl Bucket {
    /// A bucket without tokens, which is where a new steward starts.
    #[must_use]
    pub fn empty(limit: Limit, now: Instant) -> Self {
        Bucket {
            limit,
            level: 0,
            reserved: 0,
            refilled_at: now,
        }
    }

    /// A bucket that holds its whole burst.
    #[must_use]
    pub fn full(limit: Limit, now: Instant) -> Self {
        Bucket {
            limit,
            level: u128::from(limit.burst) * SCALE,
            reserved: 0,
            refilled_at: now,
        }
    }

    /// Changes rate and size from now on; tokens above the new size are dropped.
    pub fn set_limit(&mut self, limit: Limit, now: Instant) {
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(self.capacity());
    }

    /// Adds what the time since the last call brought; a time before it changes nothing.
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

/// Access.
impl Bucket {
    /// The limit in force.
    #[must_use]
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// The tokens that can be taken, as of the last refill.
    #[must_use]
    pub fn level(&self) -> MicroTokens {
        u64::try_from(self.level / SCALE).unwrap_or(u64::MAX)
    }

    /// The tokens handed out and not yet accounted for.
    #[must_use]
    pub fn reserved(&self) -> MicroTokens {
        self.reserved
    }

    /// The time until `amount` can be taken if nobody else takes any, or `None` when it never can.
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

/// Tokens out and back.
impl Bucket {
    /// Takes tokens that are spent at once, or leaves the bucket as it is when they are not there.
    pub fn take(&mut self, amount: MicroTokens, now: Instant) -> bool {
        self.refill(now);
        let scaled = u128::from(amount) * SCALE;
        let Some(left) = self.level.checked_sub(scaled) else {
            return false;
        };
        self.level = left;
        true
    }

    /// Takes tokens that will be spent later, and keeps their place in the bucket.
    pub fn reserve(&mut self, amount: MicroTokens, now: Instant) -> bool {
        let taken = self.take(amount, now);
        if taken {
            self.reserved += amount;
        }
        taken
    }

    /// Frees the place of reserved tokens that were spent or are lost.
    pub fn consume_reserved(&mut self, amount: MicroTokens, now: Instant) {
        self.refill(now);
        self.reserved = self.reserved.saturating_sub(amount);
    }

    /// Puts reserved tokens back that were not spent and never will be.
    pub fn return_reserved(&mut self, amount: MicroTokens, now: Instant) {
        self.refill(now);
        let amount = amount.min(self.reserved);
        self.reserved -= amount;
        self.level = (self.level + u128::from(amount) * SCALE).min(self.capacity());
    }
}
