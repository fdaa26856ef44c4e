use nutmegwheel_types::{ConfigVersion, plain_copy};

use crate::{AgedHeartbeat, Confirmation, Renew, WithdrawnSet};

plain_copy! {
    /// What the word of a seed or a control VM is worth.
    pub struct Word {
        /// Whether it counts: the process has caught up since it started.
        pub settled: bool,
        /// Whether the process is a control VM that holds all that was committed.
        pub authority: bool,
        /// The newest stamp that it knows of.
        pub heartbeat: Option<AgedHeartbeat>,
    }
}

impl Confirmation {
    /// Answers a renewal by what the process holds at this moment.
    #[must_use]
    pub fn of(renew: Renew, word: Word, version: ConfigVersion, withdrawn: &WithdrawnSet) -> Self {
        Self {
            sequence: renew.sequence,
            settled: word.settled,
            authority: word.authority,
            version,
            log: withdrawn.log(),
            count: withdrawn.count(),
            digest: withdrawn.digest(),
            heartbeat: word.heartbeat,
        }
    }
}
