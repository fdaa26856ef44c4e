//! A randomized fault-injection soak test.
//!
//! A [`Plan`] is drawn from a seed: which processes are paused, killed, stopped and restarted, which
//! links are delayed, reset or silenced, which backend servers fail, and when. [`run`] starts a
//! fleet of real processes on loopback, injects the faults from outside them under traffic, and
//! checks what callers, backend servers and operators observed against docs/PROMISES.md. See
//! docs/DEVELOPERS.md, "The soak".
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod checker;
mod environment;
mod injector;
mod operators;
mod plan;
mod run;
mod traffic;

pub use checker::{Evidence, FaultWindow, Observation, Record, SendResult, Sent, check};
pub use plan::{BackendFault, Fault, FleetShape, LinkFault, Plan, Step};
pub use run::{Options, Outcome, run};
