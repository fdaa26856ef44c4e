use std::{
    future::Future,
    pin::Pin,
    sync::{Mutex, PoisonError},
};

use nutmegwheel_config::View;
use thiserror::Error;

use crate::state::{ChangeNumber, Command, State, Verdict, Winner};

/// Why a command has no verdict.
#[derive(Debug, Error)]
pub(crate) enum LogError {}

/// The future of a verdict.
pub(crate) type VerdictFuture<'a> =
    Pin<Box<dyn Future<Output = Result<Verdict, LogError>> + Send + 'a>>;

/// Where commands are committed.
pub(crate) trait Log: Send + Sync + 'static {
    /// Commits a command and tells what became of it.
    fn commit(&self, command: Command) -> VerdictFuture<'_>;
    /// The committed view.
    fn view(&self) -> View;
    /// The greatest committed number.
    fn last_change(&self) -> ChangeNumber;
    /// What was committed under a number.
    fn answer(&self, number: ChangeNumber) -> Option<Winner>;
}

/// A log of one control VM that lives as long as its process.
#[derive(Default)]
pub(crate) struct SoleLog {
    state: Mutex<State>,
}

impl SoleLog {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Log for SoleLog {
    fn commit(&self, command: Command) -> VerdictFuture<'_> {
        let verdict = self.state().apply(&command);
        Box::pin(async move { Ok(verdict) })
    }

    fn view(&self) -> View {
        self.state().view().clone()
    }

    fn last_change(&self) -> ChangeNumber {
        self.state().last_change()
    }

    fn answer(&self, number: ChangeNumber) -> Option<Winner> {
        self.state().answer(number).cloned()
    }
}
