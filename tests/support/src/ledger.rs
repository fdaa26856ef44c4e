use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// One request that a backend server began.
#[derive(Clone, Debug)]
pub struct Run {
    /// The service of the backend server.
    pub service: String,
    /// Which backend server of the fleet it was.
    pub backend: String,
    /// The path with its query.
    pub path: String,
    /// The root id that came with it.
    pub root: String,
    /// The workspace that came with it.
    pub workspace: Option<String>,
    /// Every header field, names in lower case.
    pub fields: HashMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
    /// When it began.
    pub began: Instant,
    /// When it was answered, `None` when it never was.
    pub ended: Option<Instant>,
    /// Whether its connection was closed before it was answered.
    pub cancelled: bool,
    /// The time that it worked in a slot, without waiting for a slot or for calls of its own.
    pub worked: Duration,
}

/// What ran, over all backend servers of a test.
#[derive(Clone, Default)]
pub struct Ledger {
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Ledger {
    /// Notes that a request began and returns its place.
    pub(crate) fn begin(&self, run: Run) -> usize {
        let mut runs = self.lock();
        runs.push(run);
        runs.len() - 1
    }

    /// Notes that a request was answered.
    pub(crate) fn end(&self, place: usize) {
        self.lock()[place].ended = Some(Instant::now());
    }

    /// Notes that the connection of a request was closed before it was answered.
    pub(crate) fn cancel(&self, place: usize) {
        let run = &mut self.lock()[place];
        run.cancelled = run.ended.is_none();
    }

    /// How many requests were cancelled.
    #[must_use]
    pub fn cancelled(&self) -> usize {
        self.lock().iter().filter(|run| run.cancelled).count()
    }

    /// Notes the time that a request worked.
    pub(crate) fn worked(&self, place: usize, time: Duration) {
        self.lock()[place].worked = time;
    }

    /// Everything that ran so far.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.lock().clone()
    }

    /// How many requests began whose path is this one.
    #[must_use]
    pub fn count(&self, path: &str) -> usize {
        self.lock().iter().filter(|run| run.path == path).count()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Run>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
