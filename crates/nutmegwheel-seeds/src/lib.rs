//! The service that the seeds of a data centre provide, and its clients.
//!
//! Three to five VMs of a data centre are its seeds, including a control VM if the data centre has
//! one. Seeds keep the claims of non-idempotent requests in memory (docs/spec/CLAIMS.md). The seed
//! that holds the token server lease grants the rate limit tokens of the data centre
//! (docs/spec/SHARES.md).
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
