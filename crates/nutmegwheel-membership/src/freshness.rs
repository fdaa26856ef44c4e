//! Leases that bound how long a withdrawn key is accepted, while a partitioned data centre keeps
//! accepting work.
//!
//! A node starts keyed work only under a [`Lease`], which a majority of its data centre's seeds
//! renews. A seed keeps a [`SeedState`]: whether its confirmations count, and which seeds hold each
//! withdrawn key. docs/spec/SPREAD.md, "Freshness", states the rules and the bound on clock drift.

mod decision;
mod lease;
mod seed_state;
mod seed_status;

pub use decision::{Decision, FenceReason};
pub use lease::{ConfirmOutcome, Lease, LeaseOptions};
pub use seed_state::{SeedState, SyncProgress};
pub use seed_status::SeedStatus;

use std::time::Duration;

/// The time for which a confirmation is valid after its request was sent, on the clock of the node
/// that sent it.
pub const LEASE_DURATION: Duration = Duration::from_secs(2);

/// The time after a majority holds a withdrawn key at which every lease on an older view has
/// expired.
///
/// It covers [`LEASE_DURATION`] on a node whose clock runs 1 % slow, measured by a seed whose clock
/// runs 1 % fast: 2 s * 1.01 / 0.99 is below 2.05 s.
pub const LEASE_DRAIN: Duration = Duration::from_millis(2050);

/// The smallest majority of `seeds` processes.
#[must_use]
pub const fn majority(seeds: usize) -> usize {
    seeds / 2 + 1
}
