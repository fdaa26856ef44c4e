//! The duties of a data centre's seeds, and the side of those who ask them.
//!
//! Seeds are three to five VMs of a data centre, a control VM among them where there is one. They
//! hold the claims of non-idempotent requests in memory; the rules are in docs/spec/CLAIMS.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod claims;
mod duty;
mod lists;
mod wire;

pub use claims::{Claims, Held, Options};
pub use duty::Duty;
pub use lists::{SeedList, SeedLists};
pub use nutmegwheel_claims::{
    AttemptId, Target,
    claim::Refusal,
    started::{self, Arrival, Fence, Reason, Started},
};
pub use wire::{attempt_from_wire, attempt_to_wire};
