use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use nutmegwheel_types::EndpointId;

/// The maximum number of endpoints with an estimate of their own; further ones share one.
const MAX_ENDPOINTS: usize = 256;
/// Each sample has a weight of 1 in this many in the mean and the deviation.
const SMOOTHING: u32 = 8;
/// The distance of the bounds from the mean, in mean deviations.
const DEVIATION_FACTOR: u32 = 2;
/// The time without a sample after which an estimate begins to halve.
const STALE_AFTER: Duration = Duration::from_secs(1);
/// The time in which a stale estimate halves, so that a slow period ends even without samples.
const HALF_LIFE: Duration = Duration::from_millis(500);

/// A smoothed mean with its mean deviation.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: Duration,
    deviation: Duration,
    updated_at: Instant,
}

impl Estimate {
    fn from_first_sample(now: Instant, sample: Duration) -> Self {
        Self {
            mean: sample,
            deviation: sample / 4,
            updated_at: now,
        }
    }

    fn add(&mut self, now: Instant, sample: Duration) {
        let deviation = sample.abs_diff(self.mean);
        self.deviation = smooth(self.deviation, deviation);
        self.mean = smooth(self.mean, sample);
        self.updated_at = now;
    }

    /// The number of times that the estimate has halved because it is stale.
    fn halvings(&self, now: Instant) -> u32 {
        let idle = now
            .saturating_duration_since(self.updated_at)
            .saturating_sub(STALE_AFTER);
        u32::try_from(idle.as_millis() / HALF_LIFE.as_millis())
            .unwrap_or(u32::MAX)
            .min(20)
    }

    fn mean(&self, now: Instant) -> Duration {
        self.mean / (1 << self.halvings(now))
    }

    fn lower_bound(&self, now: Instant) -> Duration {
        let spread = (self.deviation * DEVIATION_FACTOR).max(self.mean / 2);
        self.mean.saturating_sub(spread) / (1 << self.halvings(now))
    }

    fn upper_bound(&self, now: Instant) -> Duration {
        (self.mean + self.deviation * DEVIATION_FACTOR) / (1 << self.halvings(now))
    }
}

fn smooth(old: Duration, new: Duration) -> Duration {
    (old * (SMOOTHING - 1) + new) / SMOOTHING
}

/// The service times of a backend server, overall and by endpoint.
#[derive(Debug)]
pub(crate) struct ServiceTimes {
    initial: Duration,
    overall: Option<Estimate>,
    by_endpoint: HashMap<EndpointId, Estimate>,
}

impl ServiceTimes {
    pub(crate) fn new(initial: Duration) -> Self {
        Self {
            initial,
            overall: None,
            by_endpoint: HashMap::new(),
        }
    }

    pub(crate) fn add(&mut self, now: Instant, endpoint: &EndpointId, sample: Duration) {
        add_sample(&mut self.overall, now, sample);
        if let Some(estimate) = self.by_endpoint.get_mut(endpoint) {
            estimate.add(now, sample);
        } else if self.by_endpoint.len() < MAX_ENDPOINTS {
            self.by_endpoint
                .insert(endpoint.clone(), Estimate::from_first_sample(now, sample));
        }
    }

    /// The time within which most requests of an endpoint finish: two deviations above the mean.
    pub(crate) fn upper_bound(&self, now: Instant, endpoint: &EndpointId) -> Duration {
        let estimate = self.by_endpoint.get(endpoint).or(self.overall.as_ref());
        estimate.map_or(self.initial, |estimate| estimate.upper_bound(now))
    }

    /// The time that few requests of an endpoint undercut: two deviations below the mean, and at
    /// most half of the mean.
    pub(crate) fn lower_bound(&self, now: Instant, endpoint: &EndpointId) -> Duration {
        let estimate = self.by_endpoint.get(endpoint);
        estimate.map_or(self.initial, |estimate| estimate.lower_bound(now))
    }

    /// The mean over all endpoints.
    pub(crate) fn mean(&self, now: Instant) -> Duration {
        self.overall
            .as_ref()
            .map_or(self.initial, |estimate| estimate.mean(now))
    }
}

fn add_sample(estimate: &mut Option<Estimate>, now: Instant, sample: Duration) {
    match estimate {
        Some(estimate) => estimate.add(now, sample),
        None => *estimate = Some(Estimate::from_first_sample(now, sample)),
    }
}
