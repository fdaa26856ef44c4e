//! What the operator's tool does: changes, keys, status and the time line.
//!
//! Each operation is a module with its function; the binary only parses the command line and
//! prints. The routes are those of docs/INTERFACES.md, "Operators".
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod client;
mod error;

/// Committing a change under a number.
pub mod change;
/// Reading what is committed and what the processes hold.
pub mod show;
/// The merged time line of all processes.
pub mod timeline;
/// Withdrawing keys.
pub mod withdrawal;

pub use client::{Client, Options};
pub use error::Error;
