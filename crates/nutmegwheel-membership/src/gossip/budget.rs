use std::time::Instant;

use nutmegwheel_types::plain_copy;

/// The average send rate of gossip besides probes and renewals.
const BYTES_PER_SECOND: i64 = 6 * 1024;
/// The capacity of the token bucket.
const BURST_BYTES: i64 = 128 * 1024;

/// The share of the capacity reserved for anti-entropy, which sends no record twice. Deferrable
/// updates are pushed only while more than this is available.
const RESERVE_BYTES: i64 = 96 * 1024;

/// The maximum overdraft by urgent updates; it is refilled within two seconds.
const MAX_DEBT_BYTES: i64 = 8 * 1024;

plain_copy! {
    /// A token bucket of bytes for records; urgent updates may overdraw it and so delay the others.
    pub(crate) struct Budget {
        available: i64,
        refilled_at: Option<Instant>,
    }
}

impl Budget {
    pub(crate) const fn open() -> Self {
        Self {
            available: BURST_BYTES,
            refilled_at: None,
        }
    }

    /// Adds the bytes earned since the last call.
    pub(crate) fn refill(&mut self, now: Instant) {
        let Some(refilled_at) = self.refilled_at else {
            self.refilled_at = Some(now);
            return;
        };
        let elapsed_ms = now.saturating_duration_since(refilled_at).as_millis();
        let elapsed_ms = i64::try_from(elapsed_ms).unwrap_or(i64::MAX / BYTES_PER_SECOND);
        let earned = elapsed_ms.saturating_mul(BYTES_PER_SECOND) / 1000;
        if earned > 0 {
            self.available = self.available.saturating_add(earned).min(BURST_BYTES);
            self.refilled_at = Some(now);
        }
    }

    pub(crate) fn has_available(&self) -> bool {
        self.available > 0
    }

    /// Whether deferrable updates may be sent.
    pub(crate) fn is_above_reserve(&self) -> bool {
        self.available > RESERVE_BYTES
    }

    /// Whether urgent updates may still be sent.
    pub(crate) fn can_overdraw(&self) -> bool {
        self.available > -MAX_DEBT_BYTES
    }

    pub(crate) fn spend(&mut self, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.available = self.available.saturating_sub(bytes).max(-MAX_DEBT_BYTES);
    }
}
