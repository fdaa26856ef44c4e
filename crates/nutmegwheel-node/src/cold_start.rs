//! Holds the local backend server to the rate that it tolerates while it is cold; see
//! docs/design/COLD-START.md.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use nutmegwheel_events::Event;
use nutmegwheel_limits::cold_start::{ColdLimit, ColdStart, Reason};

use crate::{call::Call, refusal::Refusal, server_limit, shared::Shared};

/// The cold start of the local backend server.
#[derive(Default)]
pub(crate) struct State {
    cold_start: Mutex<ColdStart>,
    /// Why the backend server was cold when its slots were last applied.
    applied: Mutex<Option<Reason>>,
}

impl State {
    fn lock(&self) -> MutexGuard<'_, ColdStart> {
        let cold_start = self.cold_start.lock();
        cold_start.unwrap_or_else(PoisonError::into_inner)
    }

    fn applied(&self) -> MutexGuard<'_, Option<Reason>> {
        self.applied.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits until the cold backend server may get another request, as
/// [`server_limit::wait_for_start`] does for the limit that it names.
pub(crate) async fn wait_for_start(shared: &Shared, call: &Call) -> Result<(), Refusal> {
    let Some(limit) = limit(shared, &call.service) else {
        return Ok(());
    };
    let try_start = |now| shared.cold_start.lock().try_start(now, &limit);
    let detail = "the backend server is cold and allows no start before the deadline";
    let started = server_limit::wait_until_started(call, try_start, detail).await;
    started.inspect_err(|_| shared.metrics.count_cold_refusal())
}

/// Records a report of the backend server. `is_new` says that it comes from a new instance, and
/// `was_announced` that the backend server was not down before.
pub(crate) fn record_report(
    shared: &Shared,
    now: Instant,
    remaining: Option<Duration>,
    is_new: bool,
    was_announced: bool,
) {
    let mut cold_start = shared.cold_start.lock();
    if is_new {
        cold_start.reset();
    } else if !was_announced {
        cold_start.expect_cold(now);
    }
    if let Some(remaining) = remaining {
        cold_start.record_heartbeat(now, remaining);
    }
}

/// Holds the backend server to its rate until heartbeats that were sent after `now` say that it is
/// warm. [`refresh`] announces it.
pub(crate) fn expect_cold(shared: &Shared, now: Instant) {
    shared.cold_start.lock().expect_cold(now);
}

/// Applies and announces other slots when the backend server has become cold or warm.
pub(crate) fn refresh(shared: &Arc<Shared>, now: Instant) {
    let Some(announced) = shared.local_backend.announced() else {
        return;
    };
    let service = &announced.backend.service;
    let reason = reason(shared, now, service);
    let before = std::mem::replace(&mut *shared.cold_start.applied(), reason);
    if reason.is_some() == before.is_some() {
        return;
    }
    let event = match reason {
        Some(_) => Event::BackendCold,
        None => Event::BackendWarm,
    };
    let word = reason.map_or_else(String::new, |reason| format!("{reason:?}"));
    shared
        .journal
        .emit_rate_limited(event, &[("service", service), ("reason", &word)]);
    server_limit::apply_slots(shared);
}

/// Whether the announced backend server is cold.
pub(crate) fn is_cold(shared: &Shared) -> bool {
    shared.local_backend.announced().is_some_and(|announced| {
        let service = &announced.backend.service;
        reason(shared, Instant::now(), service).is_some()
    })
}

/// The number of concurrent requests, of `slots`, that the backend server gets now.
pub(crate) fn slots(shared: &Shared, now: Instant, service: &str, slots: u16) -> u16 {
    match limit(shared, service) {
        Some(limit) if shared.cold_start.lock().reason(now, &limit).is_some() => {
            limit.slots(slots, shared.server_limit().mean_duration())
        }
        _ => slots,
    }
}

fn reason(shared: &Shared, now: Instant, service: &str) -> Option<Reason> {
    let limit = limit(shared, service)?;
    shared.cold_start.lock().reason(now, &limit)
}

/// The limit of cold backend servers of a service, if the settings and the configuration in force
/// have one.
fn limit(shared: &Shared, service: &str) -> Option<ColdLimit> {
    let bound = shared.settings.cold_start?;
    let view = shared.views.current();
    let cold_start = view.configuration.cold_starts.get(service)?;
    Some(ColdLimit::new(
        cold_start.rate,
        cold_start.duration,
        bound.overage,
        bound.slack,
    ))
}
