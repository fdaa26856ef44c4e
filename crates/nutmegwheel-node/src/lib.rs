//! The node role: doors, proxying and the wiring of decisions.
//!
//! The path of a request: [`door`](crate) takes it from a caller, `forward` chooses a backend
//! server, `attempt` tries it there, `serve` takes it at that server's node and `backend` runs it;
//! docs/DESIGN.md, "Request path".
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod attempt;
mod backend;
mod call;
mod dialect;
mod digest;
mod door;
mod forward;
mod gate;
mod headers;
mod heartbeats;
mod host_door;
mod local;
mod members;
mod metrics;
mod node;
mod once;
mod platform;
mod quotas;
mod rates;
mod refusal;
mod routes;
mod running;
mod serve;
mod shared;
mod soundness;
mod suspects;
mod views;
mod watch;

pub use dialect::{Alive, Asked, Dialect, Fields, Heartbeat, Hop, Marks, Refused, Verdict};
pub use node::{Node, spawn};
pub use refusal::{Outcome, Reason};
