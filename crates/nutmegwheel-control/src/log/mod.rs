//! The replicated log, in which the commands of operators and seeds are committed.

mod error;
mod group;
mod replica_thread;
mod replicated;

use std::{future::Future, pin::Pin};

use nutmegwheel_config::{Delta, View};
use serde_json::Value;

use crate::state::{ChangeNumber, Command, CommandOutcome, CommittedChange};

pub(crate) use error::LogError;
pub(crate) use group::Group;
pub(crate) use replicated::{Options, ReplicatedLog};

/// The future returned by [`Log::commit`].
pub(crate) type CommitFuture<'a> =
    Pin<Box<dyn Future<Output = Result<CommandOutcome, LogError>> + Send + 'a>>;

/// A log that commits commands and applies them to the state.
pub(crate) trait Log: Send + Sync + 'static {
    /// Commits a command and returns its outcome.
    fn commit(&self, command: Command) -> CommitFuture<'_>;
    /// The newest view of the configuration that this replica has applied.
    fn view(&self) -> View;
    /// The greatest number of a change that this replica has applied.
    fn last_change(&self) -> ChangeNumber;
    /// The change committed under a number, while it is retained.
    fn committed_change(&self, number: ChangeNumber) -> Option<CommittedChange>;
    /// The status of the log in JSON, for operators.
    fn status(&self) -> Value;
}

/// Receives every new view, in the order in which they are committed.
pub(crate) trait Publisher: Send + Sync + 'static {
    /// Publishes a committed view. `delta` is the change from the previous view, or `None` if it is
    /// not known, such as after a snapshot was restored.
    fn publish(&self, view: &View, delta: Option<&Delta>);
}
