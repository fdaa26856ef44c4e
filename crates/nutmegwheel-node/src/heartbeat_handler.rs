//! The listener for heartbeats of the local backend server in a platform's dialect.

use std::{
    sync::{Arc, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use http::StatusCode;
use nutmegwheel_events::Event;
use nutmegwheel_policy::registration::{Beat, HeartbeatStatus};
use nutmegwheel_web::{Handler, HandlerFuture, Problem, Request};

use crate::{
    backend::BackendState,
    backend_handler::{self, BackendReport},
    departures,
    dialect::{Alive, Dialect, Heartbeat},
    shared::Shared,
};

/// How long a heartbeat is valid, which is three usual heartbeat intervals of backend servers.
const HEARTBEAT_LIFETIME: Duration = Duration::from_secs(5);

/// Handles the heartbeats of the local backend server.
pub(crate) struct HeartbeatHandler {
    pub(crate) shared: Arc<Shared>,
    pub(crate) dialect: Arc<dyn Dialect>,
}

impl Handler for HeartbeatHandler {
    fn handle(&self, req: Request) -> HandlerFuture {
        let (shared, dialect) = (self.shared.clone(), self.dialect.clone());
        Box::pin(async move {
            let Some(heartbeat) = dialect.read_heartbeat(&req) else {
                let detail = "this listener takes heartbeats only";
                return Problem::new(StatusCode::NOT_FOUND, "unknown-route", detail)
                    .into_response();
            };
            let result = heartbeat.and_then(|heartbeat| apply(&shared, heartbeat));
            if let Err(detail) = &result {
                shared
                    .journal
                    .emit(Event::HeartbeatRefused, &[("detail", detail)]);
            }
            // An acknowledged departure must hold even if this process ends now.
            if departures::has_unreported(&shared) {
                departures::report(&shared).await;
            }
            dialect.acknowledge(result)
        })
    }
}

fn apply(shared: &Arc<Shared>, heartbeat: Heartbeat) -> Result<(), String> {
    let _changes = shared.registration_changes();
    match heartbeat {
        Heartbeat::Alive(alive) => {
            check(shared, &alive)?;
            apply_alive(shared, alive);
        }
        Heartbeat::Gone { id, started_at_ms } => {
            let now = (Instant::now(), wall_clock_ms());
            let is_current = shared
                .registration()
                .deregister(now.0, now.1, &id, started_at_ms);
            if is_current {
                remove(shared, &id);
            }
        }
    }
    Ok(())
}

fn apply_alive(shared: &Arc<Shared>, alive: Alive) {
    let beat = Beat {
        instance: &alive.instance,
        sequence: alive.sequence,
        is_ready: alive.is_ready,
    };
    let status = shared.registration().heartbeat(Instant::now(), &beat);
    match status {
        HeartbeatStatus::NewInstance => announce(shared, alive, true),
        HeartbeatStatus::Renewed => announce(shared, alive, false),
        HeartbeatStatus::Stale => journal_unused(shared, Event::HeartbeatIgnored, &alive),
        HeartbeatStatus::Unconfirmed => {
            journal_unused(shared, Event::HeartbeatHeld, &alive);
            *held_heartbeat(shared) = Some(alive);
        }
    }
}

/// Applies the heartbeat that was held until earlier departures are known.
pub(crate) fn apply_held(shared: &Arc<Shared>) {
    let _changes = shared.registration_changes();
    let held = held_heartbeat(shared).take();
    if let Some(alive) = held {
        apply_alive(shared, alive);
    }
}

fn held_heartbeat(shared: &Shared) -> std::sync::MutexGuard<'_, Option<Alive>> {
    let held = shared.held_heartbeat.lock();
    held.unwrap_or_else(PoisonError::into_inner)
}

fn journal_unused(shared: &Shared, event: Event, alive: &Alive) {
    shared.journal.emit_rate_limited(
        event,
        &[
            ("service", &alive.service),
            ("instance", &alive.instance.id),
            ("started_at_ms", &alive.instance.started_at_ms),
            ("sequence", &alive.sequence),
        ],
    );
}

/// The wall clock, which instances on this VM read at their start. A clock before 1970 counts as 0.
fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

/// Refuses heartbeats of any backend server other than the local one.
fn check(shared: &Shared, alive: &Alive) -> Result<(), String> {
    backend_handler::check_names(&alive.service, alive.address)?;
    let Some(expected) = &shared.settings.backend_server else {
        return check_vm(shared, alive);
    };
    if alive.service != expected.service {
        let service = &expected.service;
        return Err(format!("the backend server here is of {service}"));
    }
    if alive.address != expected.address {
        let address = expected.address;
        return Err(format!("the backend server here is at {address}"));
    }
    Ok(())
}

/// Refuses heartbeats from other VMs, if the settings do not name the backend server.
fn check_vm(shared: &Shared, alive: &Alive) -> Result<(), String> {
    let own = shared.settings.listen.backend.map(|address| address.ip());
    match own.filter(|own| !own.is_unspecified() && *own != alive.address.ip()) {
        Some(own) => Err(format!("the backend server here is on {own}")),
        None => Ok(()),
    }
}

fn announce(shared: &Arc<Shared>, alive: Alive, is_new: bool) {
    let state = if alive.is_ready && !shared.registration().is_leaving() {
        BackendState::Ready
    } else {
        BackendState::Leaving
    };
    backend_handler::apply_announcement(
        shared,
        BackendReport {
            service: alive.service,
            slots: alive.slots,
            state,
            instance: Some(alive.instance.id),
            address: alive.address,
            cold_remaining: Some(alive.cold_remaining),
            valid_for: HEARTBEAT_LIFETIME,
        },
        is_new,
    );
}

/// Reports new departures to other processes without waiting for them.
pub(crate) fn report_news(shared: &Arc<Shared>) {
    if departures::has_unreported(shared) {
        let shared = shared.clone();
        tokio::spawn(async move { departures::report(&shared).await });
    }
}

/// Removes an instance that has left, if it is announced. The caller holds
/// [`Shared::registration_changes`].
pub(crate) fn remove(shared: &Arc<Shared>, instance: &str) {
    if let Some(removed) = shared.local_backend.remove(instance) {
        shared.journal.emit(
            Event::BackendGone,
            &[
                ("service", &removed.backend.service),
                ("instance", &instance),
            ],
        );
        shared.backend_changed();
    }
}
