use std::time::{Duration, Instant};

use nutmegwheel_types::Priority;
use rand::Rng;

use super::{Queue, Reason, Refusal};

impl Queue {
    /// Builds the refusal of a request, with the time after which a retry may be admitted.
    ///
    /// The jitter spreads the retries of requests that were refused together: the delay is between
    /// one and two times the estimate.
    pub(crate) fn refusal(
        &mut self,
        now: Instant,
        reason: Reason,
        priority: Priority,
        rng: &mut impl Rng,
    ) -> Refusal {
        if is_overload(reason) {
            self.level.count_refusal();
        }
        let delay = self.retry_delay(now, priority);
        let retry_after = delay.mul_f64(rng.random_range(1.0..2.0));
        Refusal {
            reason,
            retry_after,
        }
    }

    /// The estimated time until the queue has drained and the shed level admits the priority.
    fn retry_delay(&self, now: Instant, priority: Priority) -> Duration {
        let queueing_delay = self.time_to_start(now, self.waiting.len());
        let level_delay = self.level.time_to_relax(priority);
        let RetryAfterBounds { min, max } = self.retry_after_bounds();
        (queueing_delay + level_delay).clamp(min, max)
    }

    /// The estimated time until a request starts that has `ahead` others before it.
    pub(crate) fn time_to_start(&self, now: Instant, ahead: usize) -> Duration {
        let requests = u32::try_from(ahead).unwrap_or(u32::MAX).saturating_add(1);
        let mean = self.service_times.mean(now);
        mean.saturating_mul(requests) / self.limiter.limit().max(1)
    }

    fn retry_after_bounds(&self) -> RetryAfterBounds {
        let min = self.options.min_retry_after;
        RetryAfterBounds {
            min,
            max: self.options.max_retry_after.max(min),
        }
    }
}

struct RetryAfterBounds {
    min: Duration,
    max: Duration,
}

fn is_overload(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::CannotFinish | Reason::QueueFull | Reason::Displaced
    )
}
