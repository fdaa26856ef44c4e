//! Rates of workspaces: token buckets, shares and leases of tokens, without I/O.
//!
//! Tokens flow from the replicated [`share`] of a data centre through its [`token_server`], which holds a
//! quorum [`lease`], into the [`token_cache`] of each door. The argument why they never add up to more than
//! the workspace's rate and burst is in docs/spec/SHARES.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod allotment;
pub mod bucket;
pub mod lease;
mod limit;
pub mod messages;
mod meter;
pub mod share;
pub mod token_cache;
pub mod token_server;

pub use limit::{CLOCK_DRIFT_PERCENT, Limit, MicroTokens, TOKEN, shorten_for_drift};
