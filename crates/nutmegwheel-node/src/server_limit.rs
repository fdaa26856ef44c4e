//! Holds the local backend server to the rate that it names in its answers.
//!
//! This node is its only caller, so no other node has to know the rate. The others see fewer slots
//! and send less.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use nutmegwheel_events::Event;
use nutmegwheel_types::ServiceId;

use crate::{
    call::Call,
    cold_start, members,
    refusal::{Reason, Refusal},
    shared::Shared,
};

/// Waits until the limit allows another request.
///
/// The request keeps its place in admission meanwhile, so that the requests behind it stay in the
/// order of their priorities.
pub(crate) async fn wait_for_start(shared: &Shared, call: &Call) -> Result<(), Refusal> {
    let try_start = |now| shared.server_limit().try_start(now);
    let detail = "the backend server's limit allows no start before the deadline";
    wait_until_started(call, try_start, detail).await
}

/// Waits until `try_start` succeeds, which returns the time to wait otherwise. Refuses the request
/// with `detail` if that is not before its deadline.
pub(crate) async fn wait_until_started(
    call: &Call,
    mut try_start: impl FnMut(Instant) -> Result<(), Duration>,
    detail: &str,
) -> Result<(), Refusal> {
    loop {
        let now = Instant::now();
        let Err(wait) = try_start(now) else {
            return Ok(());
        };
        if wait >= call.deadline.saturating_duration_since(now) {
            let refusal = Refusal::not_run(Reason::Overloaded, detail);
            return Err(refusal.with_retry_after(wait));
        }
        tokio::time::sleep(wait).await;
    }
}

/// Records the rate that the newest answer of the backend server names.
pub(crate) fn observe(shared: &Arc<Shared>, service: &ServiceId, rate: Option<f64>) {
    let before = shared.server_limit().rate();
    if !shared.server_limit().observe(Instant::now(), rate) {
        return;
    }
    if rate != before {
        shared.journal.emit_rate_limited(
            Event::BackendLimited,
            &[
                ("service", service),
                ("per_second", &rate_to_text(rate)),
                ("before", &rate_to_text(before)),
            ],
        );
    }
    apply_slots(shared);
}

/// Adapts the slots to the time that the backend server needs now, if it named a limit or is cold.
pub(crate) fn refresh(shared: &Arc<Shared>) {
    if shared.server_limit().rate().is_some() || cold_start::is_cold(shared) {
        apply_slots(shared);
    }
}

/// Applies and announces the slots that the limits of the backend server leave.
pub(crate) fn apply_slots(shared: &Arc<Shared>) {
    let Some(announced) = shared.local_backend.announced() else {
        return;
    };
    let now = Instant::now();
    let service = &announced.backend.service;
    let slots = shared.server_limit().concurrency(announced.backend.slots);
    let slots = cold_start::slots(shared, now, service, slots);
    shared.admission.set_announced_slots(now, slots, false);
    members::announce(shared);
}

fn rate_to_text(rate: Option<f64>) -> String {
    rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string())
}
