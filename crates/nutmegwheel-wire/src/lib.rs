//! The messages that the processes of a fleet exchange.
//!
//! `cargo run -p xtask` generates them from proto/fleet.proto. The generated code is committed, so
//! that a build needs no generator. The [`topic`] module maps the topics of a link to messages.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod convert;
/// The topics of requests and one-way messages on links.
pub mod topic;

#[allow(missing_docs, clippy::pedantic)]
#[rustfmt::skip]
mod generated {
    include!("generated/nutmegwheel.fleet.rs");
}

pub use convert::{Malformed, context_from_wire, context_to_wire};
pub use generated::*;
