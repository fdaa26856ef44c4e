use std::time::Instant;

use super::{Limiter, Sample};

/// A limit that stays at the announced slots or a part of them.
///
/// It suits backend servers whose announcement is what they can do; others need a limit that is
/// found from outcomes, see [`Gradient`](super::Gradient).
#[derive(Debug)]
pub struct Fixed {
    slots: u32,
    percent: u32,
}

impl Fixed {
    /// Opens a limit of `slots`.
    #[must_use]
    pub fn open(slots: u32) -> Self {
        Self::with_percent(slots, 100)
    }

    /// Opens a limit of a part of the slots, in percent and rounded up. A few slots that stay free
    /// keep a backend server fast that slows down when it is nearly full.
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
