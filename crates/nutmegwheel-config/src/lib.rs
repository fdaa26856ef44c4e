//! Settings of a process and the replicated configuration, both checked whole.
#![forbid(unsafe_code)]
#![deny(missing_docs)]
