//! Framed streams between the processes of nutmegwheel.
//!
//! An [`Endpoint`] accepts links from the other processes of the fleet and calls them. It transfers
//! messages that consist of a head and a body, and does not interpret them. docs/DESIGN.md
//! describes how links are kept alive and replaced.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod accept;
mod connect;
mod core;
mod endpoint;
mod error;
pub mod handshake;
mod link;
pub mod mux;
mod options;
mod pool;
mod service;
pub mod wire;

pub use endpoint::{Endpoint, Stats};
pub use error::{BindError, CallError, Refusal, Step};
pub use options::{Limits, Metering, Options};
pub use service::{Peer, Reply, Request, ServeFuture, Service, Topic};
