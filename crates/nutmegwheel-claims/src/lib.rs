//! Claims of non-idempotent requests, the record of started attempts and the fence, without I/O.
//!
//! A request runs at most once because each attempt to run it needs a claim that a majority of the
//! seeds of the request's [`home`] holds for it. [`claim`] is the door's side, [`store`] the seeds',
//! and [`attempt_log`] the target node's. The argument is in docs/spec/CLAIMS.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod attempt_log;
pub mod claim;
pub mod home;
pub mod messages;
pub mod store;
mod types;

pub use types::{AttemptId, MAX_ANSWER, Phase, SeedGeneration, Target};
