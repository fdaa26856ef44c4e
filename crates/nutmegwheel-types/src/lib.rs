//! Ids, derive macros and the request context that the crates of nutmegwheel share.
//!
//! docs/GLOSSARY.md defines the terms.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod context;
mod derives;
/// Encoding of bytes as hex digits, as used for hashes and root ids.
pub mod hex;
mod ids;

pub use context::{Context, Priority};
pub use ids::{
    ClassId, ClassRank, ConfigVersion, DataCentreId, EndpointId, Incarnation, KeyHash, ProcessName,
    RequestId, RootId, RouteId, ServiceId, WorkspaceId,
};
