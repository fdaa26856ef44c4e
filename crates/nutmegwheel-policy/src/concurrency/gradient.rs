use std::time::{Duration, Instant};

use super::{
    Limiter, Options, Sample,
    window::{Summary, Window},
};

/// The phase of the search for the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Doubles the limit after a cold start.
    SlowStart,
    /// Raises the limit in small steps.
    Search,
    /// Waits to see whether a step down from the limit `from` lowers the latency. A probe keeps
    /// stepping down until that no longer helps, which finds the latency without queueing.
    SteppedDown {
        from: u32,
        latency: Duration,
        is_probe: bool,
    },
}

/// Compares the mean latency with a baseline and lowers the limit while that lowers the latency.
///
/// If a step down does not help, concurrency was not the cause of the latency, as when a downstream
/// service is slow. The latency then becomes the new baseline and the limit returns to its previous
/// value, so that the backend server is not starved. The health and load endpoints of the backend
/// server are not used.
#[derive(Debug)]
pub struct Gradient {
    options: Options,
    slots: u32,
    limit: u32,
    phase: Phase,
    baseline: Option<Duration>,
    window: Window,
    last_probe_at: Option<Instant>,
}

impl Gradient {
    /// Creates a limiter that starts at the announced slots.
    #[must_use]
    pub fn open(now: Instant, slots: u32, options: Options) -> Self {
        let slots = slots.max(1);
        Self {
            options,
            slots,
            limit: slots,
            phase: Phase::Search,
            baseline: None,
            window: Window::new(now),
            last_probe_at: None,
        }
    }
}

impl Gradient {
    /// The latency without queueing, or `None` until it is known.
    #[must_use]
    pub fn baseline(&self) -> Option<Duration> {
        self.baseline
    }

    fn min_limit(&self) -> u32 {
        percent(self.slots, self.options.min_limit_percent).max(1)
    }

    /// Whether the latency exceeds the baseline so far that requests must be queueing in the
    /// backend server.
    fn is_queueing(&self, latency: Duration) -> bool {
        self.baseline
            .is_some_and(|baseline| latency * 100 > baseline * self.options.queueing_percent)
    }
}

impl Gradient {
    fn decide(&mut self, now: Instant, stats: Summary) {
        if stats.has_refusal {
            self.step_down_after_refusal();
            return;
        }
        let Some(latency) = stats.latency else { return };
        if let Phase::SteppedDown {
            from,
            latency: previous_latency,
            is_probe,
        } = self.phase
        {
            let step_helped = self.evaluate_step(latency, from, previous_latency);
            if step_helped && is_probe {
                self.step_down(latency, true);
                return;
            }
        }
        let is_saturated = stats.max_running >= self.limit;
        if self.is_queueing(latency) {
            self.step_down(latency, false);
        } else if is_saturated && self.is_probe_due(now) {
            self.last_probe_at = Some(now);
            self.step_down(latency, true);
        } else {
            self.update_baseline(latency);
            self.grow(is_saturated);
        }
    }

    /// Whether a saturated limit may grow before the window is complete.
    ///
    /// With a low limit, samples arrive so slowly that waiting for complete windows would keep the
    /// limit low for seconds. Growing by mistake costs little, so one sample per slot is enough.
    fn may_grow_early(&self, now: Instant) -> bool {
        let stats = self.window.summary();
        let is_searching = !matches!(self.phase, Phase::SteppedDown { .. });
        is_searching
            && self.limit < self.slots
            && stats.max_running >= self.limit
            && self.window.has_samples(now, self.limit, &self.options)
            && stats
                .latency
                .is_some_and(|latency| !self.is_queueing(latency))
    }

    /// Returns whether the last step down lowered the latency, and reverts the step if not.
    fn evaluate_step(&mut self, latency: Duration, from: u32, previous_latency: Duration) -> bool {
        self.phase = Phase::Search;
        let step_helped = latency * 100 <= previous_latency * self.options.step_helped_percent;
        if step_helped {
            self.baseline = Some(
                self.baseline
                    .map_or(latency, |baseline| baseline.min(latency)),
            );
        } else {
            self.baseline = Some(latency);
            self.limit = from.min(self.slots);
        }
        step_helped
    }

    fn step_down(&mut self, latency: Duration, is_probe: bool) {
        // Rounded up, because a step from 2 to 1 would halve the capacity on a mere suspicion.
        let lowered = (self.limit * self.options.step_down_percent).div_ceil(100);
        let lowered = lowered.max(self.min_limit());
        if lowered < self.limit {
            self.phase = Phase::SteppedDown {
                from: self.limit,
                latency,
                is_probe,
            };
            self.limit = lowered;
        } else {
            // At the minimum no further step can show the cause, so the latency is accepted.
            self.baseline = Some(latency);
            self.phase = Phase::Search;
        }
    }

    fn step_down_after_refusal(&mut self) {
        self.phase = Phase::Search;
        self.limit = percent(self.limit, self.options.step_down_percent).max(self.min_limit());
    }

    fn grow(&mut self, is_saturated: bool) {
        let new_limit = match self.phase {
            Phase::SlowStart => self.limit * 2,
            _ if is_saturated => self.limit + self.limit.isqrt(),
            _ => self.limit,
        };
        self.limit = new_limit.min(self.slots);
        if self.limit == self.slots {
            self.phase = Phase::Search;
        }
    }

    /// Sets the first baseline or lowers it.
    ///
    /// The baseline is raised only after a step down that did not help. If it followed the latency
    /// upward, it would come to include queueing that the limit itself causes.
    fn update_baseline(&mut self, latency: Duration) {
        self.baseline = Some(match self.baseline {
            Some(baseline) => baseline.min((baseline + latency) / 2),
            None => latency,
        });
    }

    fn is_probe_due(&self, now: Instant) -> bool {
        self.last_probe_at
            .is_none_or(|at| now.saturating_duration_since(at) >= self.options.probe_interval)
    }
}

impl Limiter for Gradient {
    fn limit(&self) -> u32 {
        self.limit
    }

    fn observe(&mut self, now: Instant, sample: Sample) {
        self.window.add(now, sample);
        if self.window.is_complete(now, self.limit, &self.options) {
            let stats = self.window.summary();
            self.decide(now, stats);
            self.window = Window::new(now);
        } else if self.may_grow_early(now) {
            self.grow(true);
            self.window = Window::new(now);
        }
    }

    fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        let was_at_slots = self.limit == self.slots && self.phase == Phase::Search;
        self.slots = slots;
        self.limit = if was_at_slots {
            slots
        } else {
            self.limit.min(slots)
        };
    }

    fn cold_start(&mut self, now: Instant) {
        self.limit = percent(self.slots, self.options.cold_start_percent).max(1);
        self.phase = Phase::SlowStart;
        self.baseline = None;
        self.window = Window::new(now);
        self.last_probe_at = Some(now);
    }
}

fn percent(whole: u32, part: u32) -> u32 {
    whole.saturating_mul(part) / 100
}
