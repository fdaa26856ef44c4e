//! Retry budgets: one for each call chain and a retry ratio for each workspace; see
//! docs/POLICY.md.
//!
//! If each layer of a call chain retries independently, the retries multiply from layer to layer.
//! With one budget for the whole chain they only add up.

mod chain;
mod decide;
mod error;
mod order;
mod ratio;
mod types;

pub use chain::ChainBudget;
pub use decide::{Budgets, decide};
pub use error::Error;
pub use ratio::{RatioOptions, RetryRatios};
pub use types::{
    Attempt, CallEnd, CallId, ChildKey, Decision, Options, Reason, RetrySafety, StartedCall,
};
