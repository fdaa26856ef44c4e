//! Ids, the derive macro and the request context that every crate of nutmegwheel shares.
//!
//! The words are those of docs/GLOSSARY.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod context;
mod derives;
mod ids;

pub use context::{Context, Priority};
pub use ids::{
    ClassId, ClassRank, ConfigVersion, DataCentreId, EndpointId, Incarnation, KeyHash, ProcessName,
    RequestId, RootId, ServiceId, WorkspaceId,
};
