//! The shed levels that a door holds per service, and its decision; see docs/POLICY.md.
//!
//! Levels come with answers. A door that knows them refuses at once what would be refused deep
//! inside, after others have worked for it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use nutmegwheel_types::{Priority, ProcessName, ServiceId, plain};
use rand::Rng;

use crate::admission::is_shed;

plain! {
    /// How long levels are believed.
    pub struct Options {
        /// The time after its report at which a level is forgotten. In the second half of it
        /// more and more requests are let through, so that news of its end comes back.
        pub level_lifetime: Duration,
        /// The shortest time after which a refused caller is told to come back.
        pub min_retry_after: Duration,
        /// The most backend servers whose levels are held.
        pub max_levels: usize,
    }

    /// A request of which the door decides.
    pub struct Request {
        /// The service that it needs, be it called at once or deep in the chain.
        pub service: ServiceId,
        /// Where it stands when capacity runs short.
        pub priority: Priority,
        /// Whether it is a call deep in a chain.
        pub is_nested: bool,
        /// The number of backend servers of the service that take new work.
        pub available: usize,
    }

    /// What the door decides.
    pub enum Decision {
        /// The request goes on.
        Pass,
        /// It gets its final answer now; it was not run.
        Refuse {
            /// The jittered time after which a resend may be admitted.
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

/// The levels that one door holds.
#[derive(Debug)]
pub struct ShedLevels {
    options: Options,
    services: HashMap<ServiceId, HashMap<ProcessName, LevelReport>>,
    report_count: usize,
}

/// Lifecycle
impl ShedLevels {
    /// Opens a door without levels.
    #[must_use]
    pub fn open(options: Options) -> Self {
        Self {
            options,
            services: HashMap::new(),
            report_count: 0,
        }
    }

    /// Takes over the level that came with an answer of `node`; `None` clears it.
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

    /// Forgets the levels that are too old; to be called about once a second.
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

/// Decisions
impl ShedLevels {
    /// Refuses a request that every available backend server of the service would shed.
    pub fn decide(&self, now: Instant, req: &Request, rng: &mut impl Rng) -> Decision {
        let shedding = self.shedding(now, req, rng);
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

    fn shedding(&self, now: Instant, req: &Request, rng: &mut impl Rng) -> usize {
        let Some(nodes) = self.services.get(&req.service) else {
            return 0;
        };
        let max_age = rng.random_range(0.5..1.0);
        nodes
            .values()
            .filter(|report| self.age_in_lifetimes(now, report) < max_age)
            .filter(|report| is_shed(report.level, req.priority, req.is_nested))
            .count()
    }

    /// The age of a level in lifetimes.
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
