//! The generated messages between the processes of a fleet.
//!
//! `cargo run -p xtask` makes them from proto/fleet.proto; the code is committed, so that a build
//! needs no generator. The topics say which message goes with which request of a link.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod convert;
/// Topics of the requests and notices on links.
pub mod topic;

#[allow(missing_docs, clippy::pedantic)]
#[rustfmt::skip]
mod generated {
    include!("generated/nutmegwheel.fleet.rs");
}

pub use convert::{Malformed, context_from_wire, context_to_wire};
pub use generated::*;
