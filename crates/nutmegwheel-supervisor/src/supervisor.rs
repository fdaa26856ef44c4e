use std::{future::Future, sync::Arc, time::Duration};

use nutmegwheel_events::{Event, Journal};
use tokio::task::JoinError;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// The delay before the first restart of a task; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// A task that ran this long before it panicked counts as recovered and restarts after the initial
/// backoff.
const BACKOFF_RESET_AFTER: Duration = Duration::from_mins(1);

/// A node of the supervision tree, with its tasks and child supervisors.
#[derive(Clone)]
pub struct Supervisor {
    journal: Arc<Journal>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Supervisor {
    /// Opens the root supervisor of a tree; restarts of its tasks are recorded in `journal`.
    #[must_use]
    pub fn open(journal: Arc<Journal>) -> Self {
        Self {
            journal,
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }
    }

    /// Opens a child supervisor, which stops with this one and can also be stopped on its own.
    #[must_use]
    pub fn child(&self) -> Self {
        Self {
            journal: self.journal.clone(),
            stop: self.stop.child_token(),
            tasks: self.tasks.clone(),
        }
    }

    /// Cancels the tasks of this supervisor and its descendants at their next await point.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Waits until every task of the whole tree has ended. The root must be stopped first;
    /// otherwise this waits until the running tasks end by themselves.
    pub async fn stopped(&self) {
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl Supervisor {
    /// Runs the task returned by `start`, and calls `start` again with exponential backoff whenever
    /// the task panics, until it returns or the supervisor is stopped.
    pub fn spawn<F>(&self, name: &'static str, mut start: impl FnMut() -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let (journal, stop) = (self.journal.clone(), self.stop.clone());
        self.tasks.spawn(async move {
            let mut backoff = INITIAL_BACKOFF;
            loop {
                let started_at = tokio::time::Instant::now();
                let Err(error) = run(start(), &stop).await else {
                    return;
                };
                if started_at.elapsed() > BACKOFF_RESET_AFTER {
                    backoff = INITIAL_BACKOFF;
                }
                journal.emit(Event::TaskRestarted, &[("task", &name), ("error", &error)]);
                tokio::select! {
                    () = tokio::time::sleep(backoff) => {}
                    () = stop.cancelled() => return,
                }
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        });
    }

    /// Calls `work` repeatedly, with `pause` between the end of one call and the start of the next,
    /// until the supervisor is stopped.
    pub fn spawn_interval<F>(
        &self,
        name: &'static str,
        pause: Duration,
        work: impl FnMut() -> F + Send + Clone + 'static,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        self.spawn(name, move || {
            let mut work = work.clone();
            async move {
                loop {
                    work().await;
                    tokio::time::sleep(pause).await;
                }
            }
        });
    }
}

async fn run(
    task: impl Future<Output = ()> + Send + 'static,
    stop: &CancellationToken,
) -> Result<(), JoinError> {
    let mut running = tokio::spawn(task);
    tokio::select! {
        ended = &mut running => ended,
        () = stop.cancelled() => {
            running.abort();
            let _ = running.await;
            Ok(())
        }
    }
}
