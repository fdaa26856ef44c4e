use std::{
    future::Future,
    pin::Pin,
    sync::{Mutex, MutexGuard, PoisonError},
};

use nutmegwheel_config::{Delta, View};
use thiserror::Error;

use crate::state::{ChangeNumber, Command, State, Verdict, Winner};

/// Why a command has no verdict; it may still be committed.
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

/// Hears of every view in the order in which they are committed.
pub(crate) trait Publisher: Send + Sync + 'static {
    /// A view is committed; `delta` led to it from the one before, where that is known.
    fn publish(&self, view: &View, delta: Option<&Delta>);
}

/// A log of one control VM that lives as long as its process.
pub(crate) struct SoleLog {
    state: Mutex<State>,
    publisher: Box<dyn Publisher>,
}

impl SoleLog {
    pub(crate) fn open(publisher: impl Publisher) -> Self {
        Self {
            state: Mutex::default(),
            publisher: Box::new(publisher),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply(&self, command: &Command) -> Verdict {
        let mut state = self.state();
        let before = state.view().version;
        let verdict = state.apply(command);
        if state.view().version > before {
            self.publisher
                .publish(state.view(), command.delta().as_ref());
        }
        verdict
    }
}

impl Log for SoleLog {
    fn commit(&self, command: Command) -> VerdictFuture<'_> {
        let verdict = self.apply(&command);
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
