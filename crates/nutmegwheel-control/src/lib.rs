//! The control role: the replicated configuration and the operators' interface.
//!
//! [`state`] is the replicated state machine, which does no I/O. [`spawn`] starts a control VM,
//! which replicates the log, publishes each committed configuration by gossip, and answers the
//! requests of operators.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod allotments;
mod control;
mod departures;
mod dialect;
mod evacuations;
mod log;
mod members;
mod metrics;
mod operators;
mod service;
mod shares;
/// The replicated state machine: commands, their outcomes, and the state that they change.
pub mod state;

pub use control::{Control, spawn};
pub use dialect::{Dialect, Operation, Outcome, Publication};
pub use evacuations::Order;
pub use state::Published;
