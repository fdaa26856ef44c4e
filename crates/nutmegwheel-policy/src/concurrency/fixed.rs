use std::time::Instant;

use super::{Limiter, Sample};

/// A limit that stays at the announced slots or a percentage of them.
///
/// Use it for backend servers that announce their true capacity. For others, use
/// [`Gradient`](super::Gradient), which finds the limit from the outcomes of requests.
#[derive(Debug)]
pub struct Fixed {
    slots: u32,
    percent: u32,
}

impl Fixed {
    /// Creates a limit of `slots`.
    #[must_use]
    pub fn open(slots: u32) -> Self {
        Self::with_percent(slots, 100)
    }

    /// Creates a limit of `percent` of the slots, rounded up.
    ///
    /// Leaving a few slots free avoids the slowdown of backend servers that are nearly full.
    #[must_use]
    pub fn with_percent(slots: u32, percent: u32) -> Self {
        Self {
            slots: slots.max(1),
            percent,
        }
    }
}

impl Limiter for Fixed {
    fn limit(&self) -> u32 {
        let part = u64::from(self.slots) * u64::from(self.percent);
        u32::try_from(part.div_ceil(100)).unwrap_or(u32::MAX).max(1)
    }

    fn observe(&mut self, _now: Instant, _sample: Sample) {}

    fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    fn cold_start(&mut self, _now: Instant) {}
}
