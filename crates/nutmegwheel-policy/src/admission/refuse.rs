use std::time::{Duration, Instant};

use nutmegwheel_types::Priority;
use rand::Rng;

use super::{Queue, Reason, Refusal};

impl Queue {
    /// The final answer to a request that is given up, with an honest time to come back.
    ///
    /// The jitter spreads those refused together over as long a time again.
    pub(crate) fn refusal(
        &mut self,
        now: Instant,
        reason: Reason,
        priority: Priority,
        rng: &mut impl Rng,
    ) -> Refusal {
        if is_lack_of_capacity(reason) {
            self.level.count_refusal();
        }
        let least = self.time_to_come_back(now, priority);
        let retry_after = least.mul_f64(rng.random_range(1.0..2.0));
        Refusal {
            reason,
            retry_after,
        }
    }

    /// The time until the queue has drained and the shed level lets the priority in.
    fn time_to_come_back(&self, now: Instant, priority: Priority) -> Duration {
        let drained = self.time_to_start(now, self.waiting.len());
        let relaxed = self.level.time_to_relax(priority);
        let Bounds { least, most } = self.bounds();
        (drained + relaxed).clamp(least, most)
    }

    /// The time until a request with `ahead` others before it starts.
    pub(crate) fn time_to_start(&self, now: Instant, ahead: usize) -> Duration {
        let before = u32::try_from(ahead).unwrap_or(u32::MAX).saturating_add(1);
        let mean = self.service_times.mean(now);
        mean.saturating_mul(before) / self.limiter.limit().max(1)
    }

    fn bounds(&self) -> Bounds {
        let least = self.options.min_retry_after;
        Bounds {
            least,
            most: self.options.max_retry_after.max(least),
        }
    }
}

struct Bounds {
    least: Duration,
    most: Duration,
}

fn is_lack_of_capacity(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::CannotFinish | Reason::QueueFull | Reason::Displaced
    )
}
