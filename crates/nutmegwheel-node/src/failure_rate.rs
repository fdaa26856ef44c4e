//! Tells the fleet when the backend server beside this node fails many of its requests.

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

/// The times of its quickest requests that a backend server must have had for an end by the
/// deadline to count as its own failure; with less, the request came too late.
const MIN_SERVICE_TIMES: u32 = 3;

/// Counts the end of a request at the backend server, as far as it alone is to blame or to praise
/// for it.
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

/// Whether the backend server itself failed the request; `None` where the end says nothing of it,
/// since a call that it made failed or it had hardly any time.
fn is_backend_failure(
    shared: &Shared,
    call: &Call,
    parent: &Parent,
    result: &Result<Answer, Refusal>,
    elapsed: Duration,
) -> Option<bool> {
    match result {
        Ok(answer) if !answer.status.is_server_error() => Some(false),
        _ if parent.chain(|chain| chain.depends_on_calls()) => None,
        Ok(_) => Some(true),
        Err(refusal) => match refusal.reason {
            Reason::BackendLost | Reason::BackendShed => Some(true),
            Reason::Deadline => {
                let enough =
                    shared.admission.service_time_lower_bound(&call.endpoint) * MIN_SERVICE_TIMES;
                (elapsed >= enough).then_some(true)
            }
            _ => None,
        },
    }
}

/// Lets a backend server that got no requests for long count as sound.
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
        Event::BackendSound
    };
    let failed = format!("{percent:.0}");
    shared.journal.emit(event, &[("failed_percent", &failed)]);
    members::announce(shared);
}
