use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// A request that a backend server has started to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The service of the backend server.
    pub service: String,
    /// The name of the backend server.
    pub backend: String,
    /// The path and query.
    pub path: String,
    /// The id of the root request, from the `nutmegwheel-request` field.
    pub root: String,
    /// The workspace, from the `nutmegwheel-workspace` field.
    pub workspace: Option<String>,
    /// All header fields, with names in lower case.
    pub fields: HashMap<String, String>,
    /// The request body.
    pub body: Vec<u8>,
    /// The time at which the backend server had received the request.
    pub began: Instant,
    /// The time at which the run finished and was answered, or `None` if it never was.
    pub ended: Option<Instant>,
    /// Whether its handler ended before the run finished, for example on a closed connection.
    pub cancelled: bool,
    /// The time spent in a slot, without the time spent waiting for a slot or for downstream calls.
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

    /// Records that a run finished and is answered.
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
