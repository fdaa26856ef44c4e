//! At-most-once execution of non-idempotent requests, without I/O.
//!
//! Before an ingress node sends an attempt, a majority of the seeds of the request's [`home`] data
//! centre must grant it a claim, so no two attempts of a request can run. [`claim`] is the ingress
//! node's state machine, [`store`] keeps the claims of a seed, and [`attempt_log`] is the target
//! node's log of started attempts, which also fences attempts whose outcome the sender does not
//! know. docs/spec/CLAIMS.md has the safety argument.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod attempt_log;
pub mod claim;
pub mod home;
pub mod messages;
pub mod store;
mod types;

pub use types::{AttemptId, MAX_STORED_ANSWER_BYTES, Phase, SeedGeneration, Target};
