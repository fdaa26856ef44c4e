//! Claims of non-idempotent requests, the record of started attempts and the fence, without I/O.
//!
//! A request runs at most once because each attempt to run it needs a claim that a majority of the
//! seeds of the request's [`home`] holds for it. [`claim`] is the door's side, [`seed`] the seeds',
//! and [`started`] the target node's. The argument is in docs/spec/CLAIMS.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod claim;
pub mod home;
pub mod messages;
pub mod seed;
pub mod started;
mod types;

pub use types::{AttemptId, MAX_ANSWER, Phase, SeedGeneration, Target};
