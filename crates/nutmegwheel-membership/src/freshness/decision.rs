use std::time::{Duration, Instant};

use nutmegwheel_types::{ConfigVersion, plain_copy};

use super::Lease;
use crate::PartitionPolicy;

plain_copy! {
    /// Whether a node may start keyed work.
    pub enum Decision {
        /// It may, for keys that it does not hold as withdrawn.
        Serve,
        /// It must refuse with `not-ready`.
        Fenced(FenceReason),
    }

    /// Why a node refuses keyed work.
    pub enum FenceReason {
        /// It holds no configuration yet.
        NoConfiguration,
        /// It has no valid lease of a majority of its data centre's seeds.
        NoMajority,
        /// Its data centre refuses keyed work when partitioned from the control VMs, and the newest
        /// heartbeat is too old.
        CutOff,
    }
}

impl Decision {
    /// Decides for the time `now`, which must be read right before keyed work starts.
    #[must_use]
    pub fn at(
        now: Instant,
        version: ConfigVersion,
        lease: &Lease,
        heartbeat_age: Option<Duration>,
        partition_policy: PartitionPolicy,
    ) -> Self {
        if version == 0 {
            return Self::Fenced(FenceReason::NoConfiguration);
        }
        if !lease.is_valid(now) {
            return Self::Fenced(FenceReason::NoMajority);
        }
        match partition_policy {
            PartitionPolicy::RefuseAfter(limit) if heartbeat_age.is_none_or(|age| age > limit) => {
                Self::Fenced(FenceReason::CutOff)
            }
            PartitionPolicy::Serve | PartitionPolicy::RefuseAfter(_) => Self::Serve,
        }
    }
}
