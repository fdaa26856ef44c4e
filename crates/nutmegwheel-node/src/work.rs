//! The account of the work that the local backend server has left, if requests are routed by it.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use nutmegwheel_config::Routing;
use nutmegwheel_events::Event;
use nutmegwheel_policy::work::{Change, Ledger, Ticket, WorkReport};
use nutmegwheel_types::EndpointId;

use crate::shared::Shared;

/// The work of the local backend server; without a ledger nothing is learned or reported.
pub(crate) struct WorkAccount {
    ledger: Option<Mutex<Ledger>>,
}

/// A request that waits for or has a slot, until it is dropped.
pub(crate) struct OpenRequest<'a> {
    account: &'a WorkAccount,
    ticket: Option<Ticket>,
}

impl WorkAccount {
    pub(crate) fn open(routing: Routing) -> Self {
        Self {
            ledger: (routing == Routing::ExpectedTime).then(Mutex::default),
        }
    }

    /// Adds a request that waits for a slot.
    pub(crate) fn enter(&self, endpoint: &EndpointId) -> OpenRequest<'_> {
        let ticket = self.lock().map(|mut ledger| ledger.enter(endpoint));
        OpenRequest {
            account: self,
            ticket,
        }
    }

    /// What to report with the answer to a request.
    pub(crate) fn report(&self, endpoint: &EndpointId) -> Option<WorkReport> {
        Some(self.lock()?.report(Instant::now(), endpoint))
    }

    /// The work left, in seconds that slots are held.
    pub(crate) fn left(&self) -> Duration {
        let ledger = self.lock();
        ledger.map_or(Duration::ZERO, |mut ledger| ledger.left(Instant::now()))
    }

    /// The typical service times of the kinds of requests that were learned.
    pub(crate) fn services(&self) -> Vec<(EndpointId, Duration)> {
        let Some(ledger) = self.lock() else {
            return Vec::new();
        };
        let services = ledger.services();
        services
            .map(|(endpoint, service)| (endpoint.clone(), service))
            .collect()
    }

    fn lock(&self) -> Option<MutexGuard<'_, Ledger>> {
        let ledger = self.ledger.as_ref()?;
        Some(ledger.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl OpenRequest<'_> {
    /// Records that the request has got its slot.
    pub(crate) fn start(&self, now: Instant) {
        if let (Some(ticket), Some(mut ledger)) = (self.ticket, self.account.lock()) {
            ledger.start(now, ticket);
        }
    }

    /// Records that the request was answered, `waited` of its time being spent on calls of its own.
    pub(crate) fn answered(mut self, shared: &Arc<Shared>, waited: Duration) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let ledger = self.account.lock();
        let change = ledger.and_then(|mut ledger| ledger.finish(Instant::now(), ticket, waited));
        if let Some(change) = change {
            journal_change(shared, &change);
        }
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        if let (Some(ticket), Some(mut ledger)) = (self.ticket, self.account.lock()) {
            ledger.cancel(ticket);
        }
    }
}

fn journal_change(shared: &Shared, change: &Change) {
    shared.journal.emit_rate_limited(
        Event::CostChanged,
        &[
            ("endpoint", &change.endpoint),
            ("before_ms", &change.before.as_millis()),
            ("now_ms", &change.now.as_millis()),
        ],
    );
}
