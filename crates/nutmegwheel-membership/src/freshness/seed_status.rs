use nutmegwheel_types::{ConfigVersion, plain_copy};

use crate::{AgedHeartbeat, Confirmation, Renew, WithdrawnSet};

plain_copy! {
    /// What the word of a seed or a control VM is worth.
    pub struct SeedStatus {
        /// Whether it counts: the process has caught up since it started.
        pub synced: bool,
        /// Whether the process is a control VM that holds all that was committed.
        pub authority: bool,
        /// The newest stamp that it knows of.
        pub heartbeat: Option<AgedHeartbeat>,
    }
}

impl Confirmation {
    /// Answers a renewal by what the process holds at this moment.
    #[must_use]
    pub fn of(
        renew: Renew,
        status: SeedStatus,
        version: ConfigVersion,
        withdrawn: &WithdrawnSet,
    ) -> Self {
        Self {
            sequence: renew.sequence,
            synced: status.synced,
            authority: status.authority,
            version,
            log_id: withdrawn.log_id(),
            count: withdrawn.count(),
            digest: withdrawn.digest(),
            heartbeat: status.heartbeat,
        }
    }
}
