//! Announces to the fleet when the local backend server fails many of its requests.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use nutmegwheel_events::Event;

use crate::{
    call::{Answer, Call},
    members,
    refusal::{Reason, Refusal},
    running::Parent,
    shared::Shared,
};

/// A timed-out request counts as a failure of the backend server only if it ran for at least this
/// many times the lower bound of its endpoint's service time. If it ran for less, it arrived too
/// late.
const MIN_SERVICE_TIMES: u32 = 3;

/// Records the result of a request if the backend server alone is responsible for it.
pub(crate) fn record(
    shared: &Arc<Shared>,
    call: &Call,
    parent: &Parent,
    result: &Result<Answer, Refusal>,
    elapsed: Duration,
) {
    let Some(is_failure) = is_backend_failure(shared, call, parent, result, elapsed) else {
        return;
    };
    if shared.failure_rate().record(Instant::now(), is_failure) {
        announce_change(shared);
    }
}

/// Whether the backend server itself failed the request. `None` if the result says nothing about
/// it, for example because a downstream call failed or did not end, or because too little time was
/// left.
fn is_backend_failure(
    shared: &Shared,
    call: &Call,
    parent: &Parent,
    result: &Result<Answer, Refusal>,
    elapsed: Duration,
) -> Option<bool> {
    match result {
        Ok(answer) if !answer.status.is_server_error() => Some(false),
        _ if parent.with_chain(|chain| chain.depends_on_calls()) => None,
        Ok(_) => Some(true),
        Err(refusal) => match refusal.reason {
            Reason::BackendLost | Reason::BadAnswer | Reason::BackendShed => Some(true),
            Reason::Deadline => {
                let enough =
                    shared.admission.service_time_lower_bound(&call.endpoint) * MIN_SERVICE_TIMES;
                (elapsed >= enough).then_some(true)
            }
            _ => None,
        },
    }
}

/// Resets the failure rate of a failing backend server that got no requests for a long time.
pub(crate) fn expire(shared: &Arc<Shared>) {
    if shared.failure_rate().expire(Instant::now()) {
        announce_change(shared);
    }
}

fn announce_change(shared: &Arc<Shared>) {
    let (is_failing, percent) = {
        let failure_rate = shared.failure_rate();
        (failure_rate.is_failing(), failure_rate.percent())
    };
    let event = if is_failing {
        Event::BackendFailing
    } else {
        Event::BackendHealthy
    };
    let failed = format!("{percent:.0}");
    shared.journal.emit(event, &[("failed_percent", &failed)]);
    members::announce(shared);
}
