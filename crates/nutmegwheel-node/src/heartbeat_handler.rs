//! The listener for heartbeats of the local backend server in a platform's dialect.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use nutmegwheel_events::Event;
use nutmegwheel_policy::registration::HeartbeatStatus;
use nutmegwheel_web::{Handler, HandlerFuture, Problem, Request};

use crate::{
    backend::BackendState,
    backend_handler::{self, BackendReport},
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
            dialect.acknowledge(result)
        })
    }
}

fn apply(shared: &Arc<Shared>, heartbeat: Heartbeat) -> Result<(), String> {
    match heartbeat {
        Heartbeat::Alive(alive) => {
            check(shared, &alive)?;
            let status = shared
                .registration()
                .heartbeat(&alive.instance, alive.sequence);
            match status {
                HeartbeatStatus::Stale => {}
                HeartbeatStatus::NewInstance | HeartbeatStatus::Renewed => {
                    announce(shared, alive, status == HeartbeatStatus::NewInstance);
                }
            }
        }
        Heartbeat::Gone { id, started_at_ms } => {
            if shared.registration().deregister(&id, started_at_ms) {
                deregister(shared, &id);
            }
        }
    }
    Ok(())
}

/// Refuses heartbeats of any backend server other than the local one.
fn check(shared: &Shared, alive: &Alive) -> Result<(), String> {
    let Some(expected) = &shared.settings.backend_server else {
        return Ok(());
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
            valid_for: HEARTBEAT_LIFETIME,
        },
        is_new,
    );
}

fn deregister(shared: &Arc<Shared>, id: &str) {
    if let Some(removed) = shared.local_backend.remove() {
        shared.journal.emit(
            Event::BackendGone,
            &[("service", &removed.backend.service), ("instance", &id)],
        );
        shared.backend_changed();
    }
}
