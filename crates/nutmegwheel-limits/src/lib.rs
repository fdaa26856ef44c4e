//! Rates of workspaces: token buckets, shares and leases of tokens, without I/O.
#![forbid(unsafe_code)]
#![deny(missing_docs)]
