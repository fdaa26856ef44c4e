//! The share of each data centre in a workspace's rate and burst.
//!
//! The replicated log holds a [`Table`]. The control leader moves shares by [`rebalance`] and answers
//! renewals through [`Renewals`]; a data centre keeps what it was told in [`Held`]. What a data centre
//! may still be using (its bound) shrinks only once it has confirmed, or once its lease on everything
//! above the floor is over; see docs/spec/SHARES.md.

mod held;
mod leader;
mod placement;
mod rebalance;
mod table;
mod types;

pub use held::Held;
pub use leader::Renewals;
pub use placement::placement;
pub use rebalance::{Options, Outcome, rebalance};
pub use table::{Error, Table};
pub use types::{
    Change, ChangeSet, EXTRA_TERM, Entry, Renewal, RenewalRequest, Share, ShareVersion,
};
