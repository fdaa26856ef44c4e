//! Distributed rate limiting of workspaces: token buckets, shares and leases of tokens, without
//! I/O.
//!
//! The replicated log assigns each data centre a [`share`] of a workspace's limit. The data
//! centre's [`token_server`], elected by a quorum [`lease`], grants tokens of that share to the
//! [`token_cache`] of each ingress node. docs/spec/SHARES.md explains why the tokens spent never
//! exceed the workspace's rate and burst. Where there are no token servers, [`allotment`] divides
//! the limits. Apart from workspaces, [`server_limit`] holds a backend server to the rate that it
//! asked for, and [`cold_start`] to the rate that it tolerates while it is cold.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod allotment;
pub mod bucket;
pub mod cold_start;
pub mod lease;
mod limit;
pub mod messages;
mod meter;
pub mod server_limit;
pub mod share;
pub mod token_cache;
pub mod token_server;

pub use limit::{CLOCK_DRIFT_PERCENT, Limit, MicroTokens, TOKEN, shorten_for_drift};
