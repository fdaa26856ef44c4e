//! The duties of a data centre's seeds, and the side of those who ask them.
//!
//! Seeds are three to five VMs of a data centre, a control VM among them where there is one. They
//! hold the claims of non-idempotent requests in memory (docs/spec/CLAIMS.md), and one of them, the
//! steward, hands out the tokens of the data centre (docs/spec/SHARES.md).
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod claim_client;
mod claims_wire;
mod limits_wire;
mod seed_client;
mod seed_lists;
mod service;
mod token_client;
mod token_server_role;

pub use claim_client::{ClaimClient, ClaimOptions, HeldClaim};
pub use claims_wire::{attempt_from_wire, attempt_to_wire};
pub use limits_wire::{renewal_request_from_wire, renewal_to_wire};
pub use nutmegwheel_claims::{
    AttemptId, Target,
    attempt_log::{self, AttemptLog, FenceOutcome, StartOutcome, StartRefusal},
    claim::ClaimRefusal,
};
pub use seed_client::SeedClient;
pub use seed_lists::{SeedList, SeedLists};
pub use service::SeedService;
pub use token_client::TokenClient;
