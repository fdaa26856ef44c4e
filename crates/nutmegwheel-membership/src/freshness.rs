//! Leases that bound how long a withdrawn key is accepted, while a partitioned data centre keeps
//! serving.
//!
//! A node serves keyed work under a [`Lease`], which a majority of its data centre's seeds renews.
//! With its [`SeedState`] a seed confirms views and counts the seeds that hold a withdrawn key.
//! docs/spec/SPREAD.md, "Freshness", states the rules and the bound on clock drift.

mod decision;
mod lease;
mod seed_state;
mod seed_status;

pub use decision::{Decision, FenceReason};
pub use lease::{ConfirmOutcome, Lease, LeaseOptions};
pub use seed_state::{SeedState, SyncProgress};
pub use seed_status::SeedStatus;

use std::time::Duration;

/// The validity of a confirmation, on the clock of the node that requested it, from the time of the
/// request.
pub const LEASE_DURATION: Duration = Duration::from_secs(2);

/// The time from when a majority holds a key until no node can have a lease on an older view.
///
/// It covers [`LEASE_DURATION`] on a node whose clock runs 1 % slow, measured by a seed whose clock
/// runs 1 % fast: 2 s * 1.01 / 0.99 is below 2.05 s.
pub const LEASE_DRAIN: Duration = Duration::from_millis(2050);

/// The smallest majority of `seeds` processes.
#[must_use]
pub const fn majority(seeds: usize) -> usize {
    seeds / 2 + 1
}
