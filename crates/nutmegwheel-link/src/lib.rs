//! Framed streams between the processes of nutmegwheel.
//!
//! An [`Endpoint`] listens for the other processes of the fleet and calls them. It carries whole
//! messages, a head and a body, and does not know what they mean. How links are kept alive and
//! replaced is described in docs/DESIGN.md.
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
pub use options::{Limits, Options};
pub use service::{Peer, Reply, Request, ServeFuture, Service, Topic};
