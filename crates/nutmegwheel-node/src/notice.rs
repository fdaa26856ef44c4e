//! Applies what the local backend server says about itself in its answers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use nutmegwheel_events::Event;

use crate::{
    backend::Announcement, dialect::Notice, heartbeat_handler, server_limit, shared::Shared,
};

/// Applies the notice of an answer that `server` gave after `duration`. Notices of earlier instances
/// are ignored.
pub(crate) fn apply(
    shared: &Arc<Shared>,
    server: &Announcement,
    notice: Notice,
    duration: Duration,
) {
    if !shared.local_backend.is_current(server) {
        return;
    }
    shared.server_limit().record_duration(duration);
    if let Some(rate) = readable(shared, notice.rate) {
        server_limit::observe(shared, &server.backend.service, rate);
    }
    if readable(shared, notice.is_leaving) == Some(true) {
        record_leaving(shared, server);
    }
}

/// Returns what a field says, or `None` after recording that it cannot be read.
fn readable<T>(shared: &Shared, field: Result<T, String>) -> Option<T> {
    let record = |text: &String| {
        shared
            .journal
            .emit_rate_limited(Event::AnswerFieldRefused, &[("value", text)]);
    };
    field.inspect_err(record).ok()
}

fn record_leaving(shared: &Arc<Shared>, server: &Announcement) {
    let Some(instance) = &server.backend.instance else {
        return;
    };
    let _changes = shared.registration_changes();
    if !shared
        .registration()
        .record_leaving(Instant::now(), instance)
    {
        return;
    }
    heartbeat_handler::report_news(shared);
    shared.local_backend.set_leaving(server.backend.incarnation);
    shared.journal.emit(
        Event::BackendLeaving,
        &[("service", &server.backend.service), ("instance", instance)],
    );
    shared.backend_changed();
}
