//! Admission, routing, retries, deadlines, quarantine and shedding, without I/O.
//!
//! Every decision takes plain data, the time and the randomness that it needs, and gives plain
//! data back, so that one thread and a virtual clock can test it; see docs/POLICY.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod admission;
pub mod concurrency;
pub mod deadline;
pub mod dependencies;
pub mod failure_rate;
pub mod quarantine;
pub mod registration;
pub mod retry;
pub mod routing;
pub mod shed;
pub mod split;
