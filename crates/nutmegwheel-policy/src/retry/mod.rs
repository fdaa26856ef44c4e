//! One retry budget for a whole call chain, and a share of retries per workspace; see
//! docs/POLICY.md.
//!
//! Each layer of a chain that retries by itself multiplies the load of the layers below; one
//! budget for the chain makes it a sum.

mod chain;
mod decide;
mod error;
mod ratio;
mod types;

pub use chain::ChainBudget;
pub use decide::{Budgets, decide};
pub use error::Error;
pub use ratio::{RatioOptions, RetryRatios};
pub use types::{
    Attempt, CallEnd, CallId, ChildKey, Decision, Options, Reason, RetrySafety, StartedCall,
};
