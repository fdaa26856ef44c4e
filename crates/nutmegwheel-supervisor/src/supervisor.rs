use std::{future::Future, sync::Arc, time::Duration};

use nutmegwheel_events::{Event, Journal};
use tokio::task::JoinError;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// The pause before the first restart of a task.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// The longest pause before a restart.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// A task that ran this long is taken to have recovered, so that its next pause is short again.
const BACKOFF_RESET_AFTER: Duration = Duration::from_mins(1);

/// One place of the tree: its tasks, and the supervisors below it.
#[derive(Clone)]
pub struct Supervisor {
    journal: Arc<Journal>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

/// Lifecycle.
impl Supervisor {
    /// Opens the root of a tree.
    #[must_use]
    pub fn open(journal: Arc<Journal>) -> Self {
        Self {
            journal,
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }
    }

    /// Opens a supervisor below this one, which can be stopped on its own.
    #[must_use]
    pub fn child(&self) -> Self {
        Self {
            journal: self.journal.clone(),
            stop: self.stop.child_token(),
            tasks: self.tasks.clone(),
        }
    }

    /// Ends the tasks of this supervisor and of those below it at their next wait.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Waits until no task of the whole tree runs; the tree must have been stopped.
    pub async fn stopped(&self) {
        self.tasks.close();
        self.tasks.wait().await;
    }
}

/// Running tasks.
impl Supervisor {
    /// Runs the task that `start` makes, and a new one whenever it panics, until it ends by itself
    /// or the supervisor is stopped.
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

    /// Calls `work` again and again with a pause between, until the supervisor is stopped.
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
