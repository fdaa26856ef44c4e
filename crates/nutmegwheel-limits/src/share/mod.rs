//! The shares of the data centres in a workspace's rate and burst.
//!
//! The replicated log holds a [`Table`]. The control leader moves shares with [`rebalance`] and
//! answers renewals through a [`RenewalTracker`]; a data centre keeps its shares in
//! [`LeasedShares`]. The table also keeps an upper bound of what a data centre may be using. That
//! bound shrinks only when the data centre has confirmed a smaller share, or when its lease on
//! everything above the floor has expired; see docs/spec/SHARES.md.

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
