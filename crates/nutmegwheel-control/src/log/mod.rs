//! Where the operators' commands are committed.

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

/// The future of a verdict.
pub(crate) type CommitFuture<'a> =
    Pin<Box<dyn Future<Output = Result<CommandOutcome, LogError>> + Send + 'a>>;

/// Where commands are committed.
pub(crate) trait Log: Send + Sync + 'static {
    /// Commits a command and tells what became of it.
    fn commit(&self, command: Command) -> CommitFuture<'_>;
    /// The newest view that this replica has applied.
    fn view(&self) -> View;
    /// The greatest number that this replica has applied.
    fn last_change(&self) -> ChangeNumber;
    /// What was committed under a number.
    fn committed_change(&self, number: ChangeNumber) -> Option<CommittedChange>;
    /// What operators see of the log.
    fn status(&self) -> Value;
}

/// Hears of every view in the order in which they are committed.
pub(crate) trait Publisher: Send + Sync + 'static {
    /// A view is committed; `delta` led to it from the one before, where that is known.
    fn publish(&self, view: &View, delta: Option<&Delta>);
}
