use std::time::Instant;

use super::{Limiter, Sample};

/// A limit that stays at the announced slots; the baseline that others are compared with.
#[derive(Debug)]
pub struct Fixed {
    slots: u32,
}

impl Fixed {
    /// Opens a limit of `slots`.
    #[must_use]
    pub fn open(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
        }
    }
}

impl Limiter for Fixed {
    fn limit(&self) -> u32 {
        self.slots
    }

    fn observe(&mut self, _now: Instant, _sample: Sample) {}

    fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    fn cold_start(&mut self, _now: Instant) {}
}
