//! A randomized fault soak.
//!
//! A seed draws a [`Plan`]: which processes are frozen, killed, stopped and restarted, which links
//! are delayed, cut or silenced, which backend servers fail, and when. [`run`] starts a fleet of
//! real processes on loopback, plays the plan from outside them under traffic, and judges what
//! callers, backend servers and operators saw against docs/PROMISES.md. See docs/DEVELOPERS.md,
//! "The soak".
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod environment;
mod injector;
mod judge;
mod operators;
mod plan;
mod run;
mod traffic;

pub use judge::{Evidence, FaultWindow, Observation, Record, SendResult, Sent, judge};
pub use plan::{BackendFault, Fault, FleetShape, LinkFault, Plan, Step};
pub use run::{Options, Outcome, run};
