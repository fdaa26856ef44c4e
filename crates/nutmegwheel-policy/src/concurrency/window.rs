use std::time::{Duration, Instant};

use super::{Options, Outcome, Sample};

/// The samples of the period whose mean latency is compared.
#[derive(Debug)]
pub(crate) struct Window {
    started_at: Instant,
    samples: u32,
    total: Duration,
    max_running: u32,
    has_refusal: bool,
}

/// The statistics of a window's samples.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Summary {
    /// The mean latency, or `None` without samples.
    pub(crate) latency: Option<Duration>,
    /// The maximum number of concurrent requests.
    pub(crate) max_running: u32,
    /// Whether the backend server refused a request.
    pub(crate) has_refusal: bool,
}

impl Window {
    pub(crate) fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            samples: 0,
            total: Duration::ZERO,
            max_running: 0,
            has_refusal: false,
        }
    }

    /// Adds a sample. Requests that began before the window ran under another limit and are
    /// ignored, except for refusals, which reflect the present state.
    pub(crate) fn add(&mut self, now: Instant, sample: Sample) {
        match sample.outcome {
            Outcome::Refused => self.has_refusal = true,
            Outcome::Uninformative => {}
            Outcome::Answered | Outcome::TimedOut => self.add_latency(now, sample),
        }
    }

    fn add_latency(&mut self, now: Instant, sample: Sample) {
        if self.started_at + sample.latency > now {
            return;
        }
        self.samples += 1;
        self.total += sample.latency;
        self.max_running = self.max_running.max(sample.running);
    }

    pub(crate) fn is_complete(&self, now: Instant, limit: u32, options: &Options) -> bool {
        let required = limit.clamp(options.min_samples, options.max_samples);
        self.is_long_enough(now, options) && (self.has_refusal || self.samples >= required)
    }

    /// Whether the window is long enough and has at least `samples` samples and no refusal.
    pub(crate) fn has_samples(&self, now: Instant, samples: u32, options: &Options) -> bool {
        self.is_long_enough(now, options) && !self.has_refusal && self.samples >= samples
    }

    fn is_long_enough(&self, now: Instant, options: &Options) -> bool {
        now.saturating_duration_since(self.started_at) >= options.window
    }

    pub(crate) fn summary(&self) -> Summary {
        Summary {
            latency: (self.samples > 0).then(|| self.total / self.samples),
            max_running: self.max_running,
            has_refusal: self.has_refusal,
        }
    }
}
