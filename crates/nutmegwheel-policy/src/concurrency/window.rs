use std::time::{Duration, Instant};

use super::{Options, Outcome, Sample};

/// The samples of one comparison.
#[derive(Debug)]
pub(crate) struct Window {
    began: Instant,
    samples: u32,
    total: Duration,
    most_running: u32,
    refused: bool,
}

/// What a complete window tells.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Summary {
    /// The mean latency, or `None` without a sample.
    pub(crate) latency: Option<Duration>,
    /// The most requests that ran at a time.
    pub(crate) most_running: u32,
    /// Whether the backend server refused any.
    pub(crate) refused: bool,
}

impl Window {
    pub(crate) fn new(began: Instant) -> Self {
        Self {
            began,
            samples: 0,
            total: Duration::ZERO,
            most_running: 0,
            refused: false,
        }
    }

    /// Adds a sample. Those that began before the window ran under another limit and are left
    /// out, but for refusals, which tell of the present.
    pub(crate) fn add(&mut self, now: Instant, sample: Sample) {
        match sample.outcome {
            Outcome::Refused => self.refused = true,
            Outcome::Uninformative => {}
            Outcome::Answered | Outcome::TimedOut => self.add_latency(now, sample),
        }
    }

    fn add_latency(&mut self, now: Instant, sample: Sample) {
        if self.began + sample.latency > now {
            return;
        }
        self.samples += 1;
        self.total += sample.latency;
        self.most_running = self.most_running.max(sample.running);
    }

    pub(crate) fn is_complete(&self, now: Instant, limit: u32, options: &Options) -> bool {
        let wanted = limit.clamp(options.min_samples, options.max_samples);
        self.is_old(now, options) && (self.refused || self.samples >= wanted)
    }

    /// Whether the window has so many samples, none of them a refusal.
    pub(crate) fn is_seen(&self, now: Instant, samples: u32, options: &Options) -> bool {
        self.is_old(now, options) && !self.refused && self.samples >= samples
    }

    fn is_old(&self, now: Instant, options: &Options) -> bool {
        now.saturating_duration_since(self.began) >= options.window
    }

    pub(crate) fn summary(&self) -> Summary {
        Summary {
            latency: (self.samples > 0).then(|| self.total / self.samples),
            most_running: self.most_running,
            refused: self.refused,
        }
    }
}
