//! Ids, the derive macro and the request context that every crate of nutmegwheel shares.
//!
//! The words are those of docs/GLOSSARY.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod context;
mod derives;
/// Bytes as hex digits, the form in which hashes and root ids are shown.
pub mod hex;
mod ids;

pub use context::{Context, Priority};
pub use ids::{
    ClassId, ClassRank, ConfigVersion, DataCentreId, EndpointId, Incarnation, KeyHash, ProcessName,
    RequestId, RootId, RouteId, ServiceId, WorkspaceId,
};
