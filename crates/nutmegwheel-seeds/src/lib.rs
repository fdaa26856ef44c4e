//! The duties of a data centre's seeds, and the side of those who ask them.
//!
//! Seeds are three to five VMs of a data centre, a control VM among them where there is one. They
//! hold the claims of non-idempotent requests in memory (docs/spec/CLAIMS.md), and one of them, the
//! steward, hands out the tokens of the data centre (docs/spec/SHARES.md).
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod asker;
mod claims;
mod duty;
mod lists;
mod rates_wire;
mod stewardship;
mod tokens;
mod wire;

pub use asker::Asker;
pub use claims::{Claims, Held, Options};
pub use duty::Duty;
pub use lists::{SeedList, SeedLists};
pub use nutmegwheel_claims::{
    AttemptId, Target,
    attempt_log::{self, AttemptLog, FenceOutcome, StartOutcome, StartRefusal},
    claim::ClaimRefusal,
};
pub use rates_wire::{renewal_request_from_wire, renewal_to_wire};
pub use tokens::Tokens;
pub use wire::{attempt_from_wire, attempt_to_wire};
