//! Rates of workspaces: token buckets, shares and leases of tokens, without I/O.
//!
//! Tokens flow from the replicated [`share`] of a data centre through its [`steward`], which holds a
//! quorum [`lease`], into the [`purse`] of each door. The argument why they never add up to more than
//! the workspace's rate and burst is in docs/spec/SHARES.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod allotment;
mod amount;
pub mod bucket;
pub mod lease;
pub mod messages;
mod meter;
pub mod purse;
pub mod share;
pub mod steward;

pub use amount::{CLOCK_DRIFT_PERCENT, Limit, MicroTokens, TOKEN, shorten_for_drift};
