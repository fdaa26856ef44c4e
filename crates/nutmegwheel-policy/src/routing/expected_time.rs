//! The choice of a backend server by the expected time to the answer of this request.

use std::time::{Duration, Instant};

use nutmegwheel_types::{EndpointId, plain_copy};
use rand::Rng;

use super::{
    BackendKey, Error, Request, Table,
    choose::{Tier, draw_two},
    server::PENALTY,
};
use crate::work::WorkReport;

/// The time that a crossing to another data centre and back adds.
const CROSSING: Duration = Duration::from_millis(4);
/// The gain from which work begins to cross, in parts of the typical service time of its kind. The
/// requests of a caller wait in several queues one after the other, so none of them should cost more
/// than the work itself.
const SPILL_START: f64 = 1.0;
/// The gain below which work stops crossing again, so that it does not swing to and fro.
const SPILL_STOP: f64 = 0.25;
/// The difference between the speeds of two servers that is no reason to cross, in parts of the
/// typical service time. Servers of one service ordinarily differ up to threefold in speed.
const ORDINARY_DIFFERENCE: f64 = 2.0;
/// What a server that refuses, sheds or fails adds to the expected time. It is more than any queue
/// is worth.
const PENALTY_TIME: Duration = Duration::from_secs(10);
/// The number of slots above which more of them no longer shorten the estimated queue at the same
/// load, because the numbers of other senders' requests are up to a report old.
const MAX_POOLED_SLOTS: f64 = 31.0;
/// The smallest share of free slots with which the time in the queue is estimated.
const MIN_FREE_SHARE: f64 = 0.125;
/// One in this many choices tries a server whose speed was not reported for long.
const PROBE_CHANCE: u32 = 8;

plain_copy! {
    /// A change of whether requests cross to other data centres.
    pub struct SpillChange {
        /// Whether requests cross now.
        pub is_spilling: bool,
        /// The expected time in the own data centre.
        pub local: Duration,
        /// The expected time in another data centre, without the crossing.
        pub remote: Duration,
    }
}

#[derive(Clone, Copy)]
struct Estimate {
    key: BackendKey,
    /// The seconds until a slot is free, with the penalty for failures and refusals.
    wait: f64,
    /// The seconds that the request then takes.
    run: f64,
}

impl Estimate {
    fn seconds(&self) -> f64 {
        self.wait + self.run
    }

    /// What a crossing from here to `remote` gains, apart from an ordinary difference of speeds.
    fn gain(&self, remote: &Self, service: f64) -> f64 {
        let run = self.run - remote.run;
        let ordinary = run.clamp(0.0, ORDINARY_DIFFERENCE * service);
        self.wait - remote.wait + run - ordinary
    }
}

impl Table {
    /// Chooses the one of two random backend servers that is expected to answer a request of the
    /// kind `endpoint` sooner, and counts the request as outstanding there.
    ///
    /// The expected time is the time until a slot is free and the time that this kind of request
    /// takes at the server's speed. Another data centre is used only if the time that it saves is
    /// worth a crossing. Where reports say nothing of the work, requests are counted as in
    /// [`choose`](Table::choose).
    ///
    /// # Errors
    ///
    /// Those of [`choose`](Table::choose).
    pub fn choose_by_time(
        &mut self,
        now: Instant,
        req: &Request<'_>,
        endpoint: &str,
        rng: &mut impl Rng,
    ) -> Result<BackendKey, Error> {
        let Some(service) = self.kinds.service(endpoint) else {
            return self.choose(now, req, rng);
        };
        for tier in [Tier::Healthy, Tier::Ejected, Tier::Unreachable] {
            if let Some(key) = self.choose_in_tier(now, req, service, tier, rng) {
                self.servers[key].outstanding += 1;
                return Ok(key);
            }
        }
        // No server is eligible: this returns why.
        self.choose(now, req, rng)
    }

    /// Records what came with the answer to a request of the kind `endpoint`, after
    /// [`finish`](Table::finish); a report of an earlier version has no work.
    pub fn observe_work(
        &mut self,
        now: Instant,
        key: BackendKey,
        endpoint: &EndpointId,
        report: Option<WorkReport>,
    ) {
        if let Some(server) = self.servers.get_mut(key) {
            let requests = server.reported_requests();
            server
                .pace
                .report(now, &mut self.kinds, endpoint, requests, report);
        }
    }

    /// Returns whether requests cross to other data centres, if that changed since the last call.
    pub fn take_spill_change(&mut self) -> Option<SpillChange> {
        self.spill_change.take()
    }

    fn choose_in_tier(
        &mut self,
        now: Instant,
        req: &Request<'_>,
        service: f64,
        tier: Tier,
        rng: &mut impl Rng,
    ) -> Option<BackendKey> {
        let local = self.sooner_of_two(now, &self.local, req, service, tier, rng);
        let factor = if self.is_spilling {
            SPILL_STOP
        } else {
            SPILL_START
        };
        let margin = spill_margin(service, factor);
        // What takes no longer than a crossing has to save is not compared with other data centres.
        if let Some(local) = local
            && local.seconds() <= margin
            && !self.is_spilling
        {
            return Some(local.key);
        }
        let remote = self.sooner_of_two(now, &self.remote, req, service, tier, rng);
        let (local, remote) = match (local, remote) {
            (Some(local), Some(remote)) => (local, remote),
            (local, remote) => return local.or(remote).map(|estimate| estimate.key),
        };
        let is_worth_crossing = local.gain(&remote, service) > margin;
        if is_worth_crossing != self.is_spilling {
            self.is_spilling = is_worth_crossing;
            self.spill_change = Some(SpillChange {
                is_spilling: is_worth_crossing,
                local: duration(local.seconds()),
                remote: duration(remote.seconds()),
            });
        }
        Some(if is_worth_crossing {
            remote.key
        } else {
            local.key
        })
    }

    fn sooner_of_two(
        &self,
        now: Instant,
        pool: &[BackendKey],
        req: &Request<'_>,
        service: f64,
        tier: Tier,
        rng: &mut impl Rng,
    ) -> Option<Estimate> {
        let mut pair = draw_two(pool, |key| self.is_eligible(now, key, req, tier), rng);
        if rng.random() {
            pair.swap(0, 1);
        }
        let is_plain = |key: &BackendKey| self.servers[*key].pace.is_plain;
        let by_counts = pair.iter().flatten().any(is_plain);
        // A crossing is never made for the sake of a probe.
        let is_local = std::ptr::eq(pool, self.local.as_slice());
        let may_probe = is_local && rng.random_ratio(1, PROBE_CHANCE);
        let estimates = pair.into_iter().flatten().map(|key| {
            if by_counts {
                let load = self.servers[key].projected_load(now, req.priority, &self.options);
                let wait = load * service;
                Estimate {
                    key,
                    wait,
                    run: service,
                }
            } else {
                self.estimate(now, key, req, service, may_probe)
            }
        });
        estimates.min_by(|a, b| a.seconds().total_cmp(&b.seconds()))
    }

    /// Estimates the time to the answer of a request that takes `service` seconds at a server of
    /// mean speed.
    fn estimate(
        &self,
        now: Instant,
        key: BackendKey,
        req: &Request<'_>,
        service: f64,
        may_probe: bool,
    ) -> Estimate {
        let server = &self.servers[key];
        let options = &self.options;
        let (requests, capacity) = server.requests_and_capacity(now, options);
        let penalty = server.penalty(now, req.priority, options) / PENALTY;
        let is_probe = server.outstanding == 0 && server.pace.may_be_probed(now);
        let run = match server.pace.slowness(now) {
            Some(_) if is_probe && may_probe => 0.0,
            slowness => slowness.unwrap_or(1.0) * service,
        };
        let remaining = server.pace.remaining(now, options.report_lifetime);
        let remaining = remaining.unwrap_or(0.0).max(run).max(service);
        let queue = remaining * queueing(requests + 1.0, capacity);
        let wait = queue + penalty * PENALTY_TIME.as_secs_f64();
        Estimate { key, wait, run }
    }
}

/// The expected time until a slot is free, in parts of the time for which a request holds one.
///
/// Below the limit this has the form of Sakasegawa's approximation for several servers with one
/// queue, but falls with the root of the slots only: the requests that others sent since the last
/// report vary by about the root of their number. Above the limit, the requests that wait are added.
fn queueing(requests: f64, slots: f64) -> f64 {
    let load = requests / slots;
    let pooled = slots.clamp(1.0, MAX_POOLED_SLOTS);
    let exponent = (2.0 * (pooled + 1.0)).sqrt() - 1.0;
    let free_share = (1.0 - load).max(MIN_FREE_SHARE);
    load.min(1.0).powf(exponent) / (pooled.sqrt() * free_share) + (load - 1.0).max(0.0)
}

/// The seconds that a crossing has to save.
fn spill_margin(service: f64, factor: f64) -> f64 {
    CROSSING.as_secs_f64() + service * factor
}

fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}
