use std::time::Instant;

use nutmegwheel_types::plain_copy;

/// What gossip may send on average besides probes and renewals, in bytes a second.
const BYTES_PER_SECOND: i64 = 6 * 1024;
/// What it may send at once after a quiet time, in bytes.
const BURST_BYTES: i64 = 128 * 1024;

/// What news that can wait leaves to the comparing of tables, which sends nothing twice, in bytes.
const RESERVE_BYTES: i64 = 96 * 1024;

/// How far urgent news may overdraw the allowance, in bytes; a second or two of the allowance.
const DEBT_BYTES: i64 = 8 * 1024;

plain_copy! {
    /// The allowance of bytes for records; urgent ones may overdraw it and hold back the others.
    pub(crate) struct Budget {
        left: i64,
        filled: Option<Instant>,
    }
}

impl Budget {
    pub(crate) const fn open() -> Self {
        Self {
            left: BURST_BYTES,
            filled: None,
        }
    }

    /// Adds what the time since the last call allows.
    pub(crate) fn fill(&mut self, now: Instant) {
        let Some(filled) = self.filled else {
            self.filled = Some(now);
            return;
        };
        let passed = now.saturating_duration_since(filled).as_millis();
        let passed = i64::try_from(passed).unwrap_or(i64::MAX / BYTES_PER_SECOND);
        let gain = passed.saturating_mul(BYTES_PER_SECOND) / 1000;
        if gain > 0 {
            self.left = self.left.saturating_add(gain).min(BURST_BYTES);
            self.filled = Some(now);
        }
    }

    pub(crate) fn has_left(&self) -> bool {
        self.left > 0
    }

    /// Says whether there is enough for news that can wait.
    pub(crate) fn has_plenty(&self) -> bool {
        self.left > RESERVE_BYTES
    }

    /// Says whether news that cannot wait may still overdraw the allowance.
    pub(crate) fn may_overdraw(&self) -> bool {
        self.left > -DEBT_BYTES
    }

    pub(crate) fn spend(&mut self, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.left = self.left.saturating_sub(bytes).max(-DEBT_BYTES);
    }
}
