//! A replicated log with synced storage, without I/O in its core.
#![forbid(unsafe_code)]
#![deny(missing_docs)]
