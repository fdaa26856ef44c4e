//! Admission, routing, retries, deadlines, quarantine and shedding, without I/O.
//!
//! Each decision takes plain data, the current time and a random number generator as arguments and
//! returns plain data, so that a single-threaded test can run it on a virtual clock; see
//! docs/POLICY.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod admission;
pub mod answer;
pub mod concurrency;
pub mod deadline;
pub mod dependencies;
pub mod failure_rate;
pub mod kept_connection;
pub mod quarantine;
pub mod readers;
pub mod registration;
pub mod retry;
pub mod routing;
pub mod senders;
pub mod shed;
pub mod split;
pub mod work;
