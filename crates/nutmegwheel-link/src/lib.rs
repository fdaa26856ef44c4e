//! Framed streams between the processes of nutmegwheel.
//!
//! An [`Endpoint`] listens for the other processes of the fleet and calls them. It carries whole
//! messages, a head and a body, and does not know what they mean. How links are kept alive and
//! replaced is described in docs/DESIGN.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod endpoint;
mod error;
mod options;
mod service;

pub use endpoint::Endpoint;
pub use error::{BindError, CallError, Refusal, Step};
pub use options::{Limits, Options};
pub use service::{Peer, Reply, Request, ServeFuture, Service, Topic};
