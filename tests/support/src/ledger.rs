use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// A request that a backend server has started to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The service that the backend server announces.
    pub service: String,
    /// The backend server that ran the request, as [`BackendOptions::name`](crate::BackendOptions).
    pub backend: String,
    /// The path and query of the request.
    pub path: String,
    /// The id of the root request, from the `nutmegwheel-request` field.
    pub root: String,
    /// The workspace, from the `nutmegwheel-workspace` field; `None` without that field.
    pub workspace: Option<String>,
    /// All header fields of the request, with names in lower case.
    pub fields: HashMap<String, String>,
    /// The complete body of the request.
    pub body: Vec<u8>,
    /// The time at which the backend server had received the request.
    pub began: Instant,
    /// The time at which the run finished and was answered, or `None` if it never was.
    pub ended: Option<Instant>,
    /// Whether the handler was dropped before the run finished, for example because the connection
    /// was closed.
    pub cancelled: bool,
    /// The service time, which excludes waiting for a slot and for downstream calls.
    pub processing_time: Duration,
}

/// The record of all runs on the backend servers of a test.
#[derive(Clone, Default)]
pub struct Ledger {
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Ledger {
    /// Records the start of a run and returns its index.
    pub(crate) fn begin(&self, run: Run) -> usize {
        let mut runs = self.lock();
        runs.push(run);
        runs.len() - 1
    }

    /// Records the time at which a run finished, just before its response is sent.
    pub(crate) fn end(&self, index: usize) {
        self.lock()[index].ended = Some(Instant::now());
    }

    /// Marks a run as cancelled unless it has finished.
    pub(crate) fn cancel(&self, index: usize) {
        let run = &mut self.lock()[index];
        run.cancelled = run.ended.is_none();
    }

    /// Returns the number of cancelled runs.
    #[must_use]
    pub fn cancelled(&self) -> usize {
        self.lock().iter().filter(|run| run.cancelled).count()
    }

    pub(crate) fn set_processing_time(&self, index: usize, time: Duration) {
        self.lock()[index].processing_time = time;
    }

    /// Returns all runs in the order in which they started.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.lock().clone()
    }

    /// Returns the number of runs of this path, query included.
    #[must_use]
    pub fn count(&self, path: &str) -> usize {
        self.lock().iter().filter(|run| run.path == path).count()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Run>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
