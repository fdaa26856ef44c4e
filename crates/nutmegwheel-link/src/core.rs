//! The state that all tasks of an endpoint share.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{Limits, Metering, Service, connect::Credentials};

/// The settings, the service and the shutdown signals of an endpoint.
pub(crate) struct Core {
    pub(crate) credentials: Credentials,
    pub(crate) limits: Limits,
    pub(crate) metering: Option<Metering>,
    pub(crate) service: Arc<dyn Service>,
    /// Ends all tasks of the endpoint immediately.
    pub(crate) stop: CancellationToken,
    /// Makes accepted links refuse new requests.
    pub(crate) drain_accepted: CancellationToken,
    /// Makes dialled links refuse new calls.
    pub(crate) drain_dialled: CancellationToken,
    pub(crate) accepted: TaskTracker,
    pub(crate) dialled: TaskTracker,
    pub(crate) counts: Counts,
}

/// The current number of connections of each kind.
#[derive(Default)]
pub(crate) struct Counts {
    pub(crate) accepted: AtomicUsize,
    pub(crate) dialled: AtomicUsize,
    pub(crate) half_open: AtomicUsize,
}

/// Increments a counter, and decrements it again when dropped.
pub(crate) struct CountGuard<'a>(&'a AtomicUsize);

impl<'a> CountGuard<'a> {
    pub(crate) fn new(counter: &'a AtomicUsize) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
