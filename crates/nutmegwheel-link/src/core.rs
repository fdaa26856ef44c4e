//! What every task of an endpoint shares.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{Limits, Service, connect::Credentials};

/// The settings, the service and the signals of an endpoint.
pub(crate) struct Core {
    pub(crate) credentials: Credentials,
    pub(crate) limits: Limits,
    pub(crate) service: Arc<dyn Service>,
    /// Ends every task at once.
    pub(crate) stop: CancellationToken,
    /// Lets accepted links take nothing new.
    pub(crate) drain_accepted: CancellationToken,
    /// Lets dialled links take nothing new.
    pub(crate) drain_dialled: CancellationToken,
    pub(crate) accepted: TaskTracker,
    pub(crate) dialled: TaskTracker,
    pub(crate) counts: Counts,
}

/// How many of each there are now.
#[derive(Default)]
pub(crate) struct Counts {
    pub(crate) accepted: AtomicUsize,
    pub(crate) dialled: AtomicUsize,
    pub(crate) half_open: AtomicUsize,
}

/// One more of something for as long as this lives.
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
