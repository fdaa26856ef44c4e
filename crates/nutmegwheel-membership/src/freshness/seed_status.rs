use nutmegwheel_types::{ConfigVersion, plain_copy};

use crate::{AgedHeartbeat, Confirmation, Renew, WithdrawnSet};

plain_copy! {
    /// The status of a seed or a control VM, which decides whether its confirmations count.
    pub struct SeedStatus {
        /// Whether the process has caught up since its restart.
        pub synced: bool,
        /// Whether the process is an authoritative control VM, which holds all committed state.
        pub authority: bool,
        /// The newest control heartbeat that it has observed.
        pub heartbeat: Option<AgedHeartbeat>,
    }
}

impl Confirmation {
    /// Creates the answer to a renewal from the state that the process holds.
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
