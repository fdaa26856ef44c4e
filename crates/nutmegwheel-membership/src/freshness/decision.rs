use std::time::{Duration, Instant};

use nutmegwheel_types::{ConfigVersion, plain_copy};

use super::Lease;
use crate::PartitionPolicy;

plain_copy! {
    /// Whether a node may start keyed work.
    pub enum Decision {
        /// The node may start work for keys that are not among its withdrawn keys.
        Serve,
        /// The node must refuse keyed work with `not-ready`.
        Fenced(FenceReason),
    }

    /// Why a node refuses keyed work.
    pub enum FenceReason {
        /// The node has no configuration yet.
        NoConfiguration,
        /// The node has no valid lease from a majority of its data centre's seeds.
        NoMajority,
        /// The data centre is configured to refuse keyed work when partitioned from the control
        /// VMs, and the newest heartbeat is too old.
        CutOff,
    }
}

impl Decision {
    /// Decides for `now`, which the caller must read right before it starts keyed work.
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
