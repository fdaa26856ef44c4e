//! HTTP listeners with bounded requests that notice when a caller leaves.
//!
//! Every listener of docs/INTERFACES.md is one [`Server`] over `xitca-web`. A request is read whole
//! before its [`Handler`] sees it, and the handler's future is dropped when the caller goes away,
//! which is how cancellation starts.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod body;
mod connections;
mod operator;
mod problem;
mod server;

pub use operator::{authorize, bearer, events, json, with_content_type};
pub use problem::Problem;
pub use server::{Handler, HandlerFuture, Options, Request, Response, Server, bind};
