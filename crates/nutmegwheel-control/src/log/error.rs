use nutmegwheel_agreement::{ReplicaName, raft::RefusalReason};
use thiserror::Error;

/// Why a command has no verdict; it may still be committed.
#[derive(Clone, Debug, Error)]
pub(crate) enum LogError {
    /// This replica does not lead.
    #[error("this control VM does not lead, the leader is {}", .0.as_deref().unwrap_or("not known"))]
    NotLeader(Option<ReplicaName>),
    /// The log takes nothing for now.
    #[error("the log takes no command: {0}")]
    Refused(String),
    /// It is not known whether the command was committed.
    #[error("it is not certain whether the command was committed")]
    OutcomeUnknown,
    /// The leader did not answer.
    #[error("{peer}: {step}: {detail}")]
    Unreachable {
        /// The leader.
        peer: ReplicaName,
        /// What was asked of it.
        step: &'static str,
        /// What went wrong.
        detail: String,
    },
    /// The replica's thread has ended.
    #[error("this control VM is stopping")]
    Stopped,
}

impl From<RefusalReason> for LogError {
    fn from(reason: RefusalReason) -> Self {
        match reason {
            RefusalReason::NotLeader(leader) => Self::NotLeader(leader.map(|id| id.name)),
            other => Self::Refused(format!("{other:?}")),
        }
    }
}
