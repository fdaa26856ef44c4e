//! The operations of the operators' command-line tool: changes, keys, evacuations, status and
//! the event timeline.
//!
//! Each operation is a module of its own; the binary only parses the command line and prints the
//! results. The HTTP routes are described in docs/INTERFACES.md, "Operators".
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod client;
mod error;

/// Commits a change under a number that the operator chooses.
pub mod change;
/// Evacuates data centres and readmits them.
pub mod evacuation;
/// Reads the committed configuration and the status of processes.
pub mod show;
/// Merges the events of all processes into one timeline.
pub mod timeline;
/// Withdraws keys and reports the state of a withdrawal.
pub mod withdrawal;

pub use client::{Client, Options};
pub use error::Error;
