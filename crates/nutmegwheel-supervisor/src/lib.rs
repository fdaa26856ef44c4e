//! A supervision tree that restarts tasks after a panic.
//!
//! A role spawns its tasks under a [`Supervisor`] and opens a child supervisor for each group of
//! tasks that can be stopped separately. Stopping a supervisor also stops its descendants.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod supervisor;

pub use supervisor::Supervisor;
