//! HTTP listeners with bounded requests and cancellation.
//!
//! Every listener of docs/INTERFACES.md is a [`Server`]. A request is read completely before it is
//! passed to its [`Handler`]. The handler's future is dropped when the caller closes the
//! connection, which starts the cancellation of the request.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod body_limit;
mod connection;
mod connections;
mod in_progress;
mod listener;
mod operator;
mod output;
mod problem;
mod reading;
mod reception;
mod server;
mod timing;

pub use body_limit::BodyLimit;
pub use operator::{authorize, bearer, events, json, with_content_type};
pub use problem::Problem;
pub use server::{Handler, HandlerFuture, Options, Request, Response, Server, bind};
