use nutmegwheel_agreement::{ReplicaName, raft::RefusalReason};
use thiserror::Error;

/// The reason why a command or a read has no outcome. The command may still be committed.
#[derive(Clone, Debug, Error)]
pub(crate) enum LogError {
    /// This replica does not lead; the name is that of the leader, if known.
    #[error("this control VM does not lead, the leader is {}", .0.as_deref().unwrap_or("not known"))]
    NotLeader(Option<ReplicaName>),
    /// The log refused the request for the given reason.
    #[error("the log takes no command: {0}")]
    Refused(String),
    /// It is not known whether the command was committed.
    #[error("it is not certain whether the command was committed")]
    OutcomeUnknown,
    /// The leader could not be reached, or its answer could not be read.
    #[error("{peer}: {step}: {detail}")]
    Unreachable {
        /// The name of the leader's replica.
        peer: ReplicaName,
        /// The step that failed.
        step: &'static str,
        /// The underlying error.
        detail: String,
    },
    /// The thread of the replica has ended.
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
