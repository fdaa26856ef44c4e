//! Load shedding at the ingress node, by the shed levels of the backend servers; see
//! docs/POLICY.md.
//!
//! Responses carry the shed levels of the backend servers that took part in them. An ingress node
//! that knows these levels refuses a request at once that would otherwise be refused further down
//! the call chain, after other services have already worked on it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use nutmegwheel_types::{Priority, ProcessName, ServiceId, plain};
use rand::Rng;

use crate::admission::sheds;

plain! {
    /// The settings of [`ShedLevels`].
    pub struct Options {
        /// The time after which a reported level expires. In the second half of this time a growing
        /// share of requests passes, so that their responses report when the level has ended.
        pub level_lifetime: Duration,
        /// The minimum `retry_after` of a refusal.
        pub min_retry_after: Duration,
        /// The maximum number of backend servers whose levels are kept.
        pub max_levels: usize,
    }

    /// The properties of a request that the decision depends on.
    pub struct Request {
        /// The service that the request calls, directly or further down the call chain.
        pub service: ServiceId,
        /// The priority, by which requests are shed under overload.
        pub priority: Priority,
        /// Whether the request is a call made on behalf of another one.
        pub is_nested: bool,
        /// The number of backend servers of the service that accept new requests.
        pub available: usize,
    }

    /// The decision on a request.
    pub enum Decision {
        /// The request is forwarded.
        Pass,
        /// The request is refused without having been run.
        Refuse {
            /// The time after which a retry may be admitted, with jitter.
            retry_after: Duration,
        },
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            level_lifetime: Duration::from_secs(1),
            min_retry_after: Duration::from_millis(200),
            max_levels: 4096,
        }
    }
}

#[derive(Debug)]
struct LevelReport {
    level: Priority,
    received_at: Instant,
}

/// The shed levels that one ingress node knows, by service and node.
#[derive(Debug)]
pub struct ShedLevels {
    options: Options,
    services: HashMap<ServiceId, HashMap<ProcessName, LevelReport>>,
    report_count: usize,
}

impl ShedLevels {
    /// Creates an empty set of levels.
    #[must_use]
    pub fn open(options: Options) -> Self {
        Self {
            options,
            services: HashMap::new(),
            report_count: 0,
        }
    }

    /// Records the level that a response of `node` reported; `None` removes it.
    pub fn observe(
        &mut self,
        now: Instant,
        service: &ServiceId,
        node: &ProcessName,
        level: Option<Priority>,
    ) {
        match level {
            Some(level) => self.insert(now, service, node, level),
            None => self.clear(service, node),
        }
    }

    /// Removes expired levels. Call this about once a second.
    pub fn expire(&mut self, now: Instant) {
        let lifetime = self.options.level_lifetime;
        for nodes in self.services.values_mut() {
            nodes.retain(|_, report| now.saturating_duration_since(report.received_at) < lifetime);
        }
        self.services.retain(|_, nodes| !nodes.is_empty());
        self.report_count = self.services.values().map(HashMap::len).sum();
    }

    fn insert(&mut self, now: Instant, service: &ServiceId, node: &ProcessName, level: Priority) {
        if self.report_count >= self.options.max_levels {
            self.expire(now);
        }
        let nodes = self.services.entry(service.clone()).or_default();
        if let Some(report) = nodes.get_mut(node) {
            *report = LevelReport {
                level,
                received_at: now,
            };
        } else if self.report_count < self.options.max_levels {
            nodes.insert(
                node.clone(),
                LevelReport {
                    level,
                    received_at: now,
                },
            );
            self.report_count += 1;
        }
    }

    fn clear(&mut self, service: &ServiceId, node: &ProcessName) {
        let Some(nodes) = self.services.get_mut(service) else {
            return;
        };
        if nodes.remove(node).is_some() {
            self.report_count -= 1;
        }
    }
}

impl ShedLevels {
    /// Refuses a request if every available backend server of the service would shed it.
    pub fn decide(&self, now: Instant, req: &Request, rng: &mut impl Rng) -> Decision {
        let shedding = self.count_shedding(now, req, rng);
        if req.available == 0 || shedding < req.available {
            return Decision::Pass;
        }
        let min_delay = self
            .options
            .min_retry_after
            .max(self.options.level_lifetime / 2);
        Decision::Refuse {
            retry_after: min_delay.mul_f64(rng.random_range(1.0..2.0)),
        }
    }

    /// Counts the backend servers whose last reported level sheds the request. The maximum age of a
    /// report is random, so that a growing share of requests passes as reports age.
    fn count_shedding(&self, now: Instant, req: &Request, rng: &mut impl Rng) -> usize {
        let Some(nodes) = self.services.get(&req.service) else {
            return 0;
        };
        let max_age = rng.random_range(0.5..1.0);
        nodes
            .values()
            .filter(|report| self.age_in_lifetimes(now, report) < max_age)
            .filter(|report| sheds(report.level, req.priority, req.is_nested))
            .count()
    }

    /// The age of a report as a fraction of `level_lifetime`.
    fn age_in_lifetimes(&self, now: Instant, report: &LevelReport) -> f64 {
        let age = now
            .saturating_duration_since(report.received_at)
            .as_secs_f64();
        age / self
            .options
            .level_lifetime
            .as_secs_f64()
            .max(f64::MIN_POSITIVE)
    }
}
