//! The node role: ingress, routing, retries, admission, and forwarding to the local backend server.
//!
//! A request passes through these modules: `ingress` reads it from a caller, `forward` chooses a
//! backend server, `attempt` sends the request to that server's node, `serve` admits it there and
//! `exchange` sends it to the backend server. See docs/DESIGN.md, "Request path".
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod admission;
mod allotment_limiter;
mod answer_body;
mod at_most_once;
mod attempt;
mod backend;
mod backend_handler;
mod call;
mod cold_start;
mod connections;
mod departures;
mod dialect;
mod digest;
mod evacuation;
mod exchange;
mod failure_rate;
mod forward;
mod headers;
mod heartbeat_handler;
mod host_ingress;
mod ingress;
mod listeners;
mod members;
mod metrics;
mod node;
mod notice;
mod platform;
mod quarantine;
mod refusal;
mod retries;
mod routes;
mod running;
mod serve;
mod served;
mod server_limit;
mod shared;
mod state_watcher;
mod token_limiter;
mod views;
mod work;

pub use dialect::{
    Alive, Dialect, Fields, Heartbeat, IngressFields, Notice, Refused, RequestInfo, TargetFields,
};
pub use node::{Node, spawn};
pub use refusal::{Outcome, Reason};
