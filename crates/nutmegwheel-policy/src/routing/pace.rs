//! What a sender has learned of the speeds of backend servers and of the cost of kinds of requests.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use nutmegwheel_types::EndpointId;

use crate::work::WorkReport;

/// The maximum number of kinds of requests of one service; further ones are routed by counts.
const MAX_KINDS: usize = 64;
/// A report has the weight of 1 in this many in the service time of its kind.
const KIND_SMOOTHING: f64 = 64.0;
/// A report has the weight of 1 in this many in the speed of its server, whose node has already
/// averaged over many requests.
const SPEED_SMOOTHING: f64 = 2.0;
/// The time after which a server may be tried again whatever its last reported speed.
const PROBE_AFTER: Duration = Duration::from_secs(5);
/// The time after which the reported speed of a server is forgotten.
const SPEED_LIFETIME: Duration = Duration::from_secs(30);

/// The typical service times of the requests of one service, over all its backend servers.
#[derive(Debug, Default)]
pub(crate) struct Kinds {
    by_endpoint: HashMap<EndpointId, Mean>,
}

#[derive(Debug)]
struct Mean {
    log: f64,
    reports: f64,
}

impl Kinds {
    /// The typical service time of a kind, in seconds.
    pub(crate) fn service(&self, endpoint: &str) -> Option<f64> {
        self.by_endpoint.get(endpoint).map(|mean| mean.log.exp())
    }

    /// Adds a reported service time and returns the logarithm of its ratio to the mean.
    fn add(&mut self, endpoint: &EndpointId, service: Duration) -> Option<f64> {
        let log = service.as_secs_f64().ln();
        if let Some(mean) = self.by_endpoint.get_mut(endpoint) {
            mean.reports = (mean.reports + 1.0).min(KIND_SMOOTHING);
            mean.log += (log - mean.log) / mean.reports;
            return Some(log - mean.log);
        }
        if self.by_endpoint.len() >= MAX_KINDS {
            return None;
        }
        self.by_endpoint
            .insert(endpoint.clone(), Mean { log, reports: 1.0 });
        Some(0.0)
    }
}

/// What the last reports said of one backend server.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    speed: Option<Speed>,
    /// The mean time, in seconds, for which the open requests still hold their slots.
    remaining: Option<(Instant, f64)>,
    /// Whether the last report held no work, as those of earlier versions.
    pub(crate) is_plain: bool,
}

#[derive(Debug)]
struct Speed {
    at: Instant,
    /// The logarithm of the server's service times in parts of the mean of all servers.
    log_slowness: f64,
}

impl Pace {
    /// Applies the report of a server at which `requests` run or wait.
    pub(crate) fn report(
        &mut self,
        now: Instant,
        kinds: &mut Kinds,
        endpoint: &EndpointId,
        requests: u32,
        report: Option<WorkReport>,
    ) {
        self.is_plain = report.is_none();
        let Some(report) = report else {
            return;
        };
        self.remaining = Some((now, report.left.as_secs_f64() / f64::from(requests.max(1))));
        let Some(slowness) = report
            .service
            .and_then(|service| kinds.add(endpoint, service))
        else {
            return;
        };
        let known = self.speed(now).map(|speed| speed.log_slowness);
        let log_slowness = known.map_or(slowness, |known| {
            known + (slowness - known) / SPEED_SMOOTHING
        });
        self.speed = Some(Speed {
            at: now,
            log_slowness,
        });
    }

    /// The server's service times in parts of the mean of all servers, or `None` if unknown.
    pub(crate) fn slowness(&self, now: Instant) -> Option<f64> {
        self.speed(now).map(|speed| speed.log_slowness.exp())
    }

    /// Whether the speed was reported too long ago to be relied on.
    pub(crate) fn may_be_probed(&self, now: Instant) -> bool {
        self.speed(now)
            .is_none_or(|speed| now.saturating_duration_since(speed.at) >= PROBE_AFTER)
    }

    /// The mean time, in seconds, for which the open requests still hold their slots, if it was
    /// reported within `lifetime`.
    pub(crate) fn remaining(&self, now: Instant, lifetime: Duration) -> Option<f64> {
        let (at, remaining) = self.remaining?;
        (now.saturating_duration_since(at) < lifetime).then_some(remaining)
    }

    fn speed(&self, now: Instant) -> Option<&Speed> {
        let speed = self.speed.as_ref()?;
        (now.saturating_duration_since(speed.at) < SPEED_LIFETIME).then_some(speed)
    }
}
