//! The control role: durable configuration and the operators' interface.
//!
//! [`state`] is the replicated state machine, without I/O; [`spawn`] runs a control VM around it.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod allotments;
mod control;
mod dialect;
mod log;
mod members;
mod metrics;
mod operators;
mod service;
mod shares;
/// What the replicated log makes of the operators' changes.
pub mod state;

pub use control::{Control, spawn};
pub use dialect::{Dialect, Operation, Outcome, Publication};
pub use state::Published;
