//! The share of each data centre in a workspace's rate and burst.
//!
//! The replicated log holds a [`Table`]. The control leader moves shares by [`rebalance`] and answers
//! renewals through [`RenewalTracker`]; a data centre keeps what it was told in [`LeasedShares`]. What a data centre
//! may still be using (its bound) shrinks only once it has confirmed, or once its lease on everything
//! above the floor is over; see docs/spec/SHARES.md.

mod leased;
mod placement;
mod rebalance;
mod renewals;
mod table;
mod types;

pub use leased::LeasedShares;
pub use placement::placement;
pub use rebalance::{RebalanceOptions, RebalanceOutcome, rebalance};
pub use renewals::RenewalTracker;
pub use table::{Error, Table};
pub use types::{
    Change, ChangeSet, Entry, Renewal, RenewalRequest, SHARE_LEASE_TERM, Share, ShareVersion,
};
