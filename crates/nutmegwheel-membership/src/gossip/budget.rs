use std::time::Instant;

use nutmegwheel_types::plain_copy;

/// What gossip may send on average besides probes and renewals, in bytes a second.
const BYTES_PER_SECOND: i64 = 6 * 1024;
/// What it may send at once after a quiet time, in bytes.
const BURST_BYTES: i64 = 128 * 1024;

/// What news that can wait leaves to the comparing of tables, which sends nothing twice, in bytes.
const RESERVE_BYTES: i64 = 96 * 1024;

/// How far urgent news may overdraw the allowance, in bytes; a second or two of the allowance.
const MAX_DEBT_BYTES: i64 = 8 * 1024;

plain_copy! {
    /// The allowance of bytes for records; urgent ones may overdraw it and hold back the others.
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

    /// Adds what the time since the last call allows.
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

    /// Says whether there is enough for news that can wait.
    pub(crate) fn is_above_reserve(&self) -> bool {
        self.available > RESERVE_BYTES
    }

    /// Says whether news that cannot wait may still overdraw the allowance.
    pub(crate) fn can_overdraw(&self) -> bool {
        self.available > -MAX_DEBT_BYTES
    }

    pub(crate) fn spend(&mut self, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.available = self.available.saturating_sub(bytes).max(-MAX_DEBT_BYTES);
    }
}
