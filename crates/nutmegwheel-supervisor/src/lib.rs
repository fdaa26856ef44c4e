//! A tree of tasks in which a failed one is started again.
//!
//! A role spawns its tasks under a [`Supervisor`] and asks for a child supervisor for each part
//! that stops as a whole. Stopping a supervisor stops everything below it.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod supervisor;

pub use supervisor::Supervisor;
