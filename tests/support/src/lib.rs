//! Small fakes for the tests: a backend server, a caller, a cuttable TCP relay and a local fleet.
//!
//! The fakes know the system only by docs/INTERFACES.md. What a fake backend server writes into
//! its [`Ledger`] is the judge of a test, not the system's own word.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod backend;
mod body;
mod caller;
mod fleet;
mod ledger;
mod program;
pub mod relay;

pub use backend::{Backend, BackendOptions, Behaviour, Fault, raw};
pub use caller::{Answer, Caller};
pub use fleet::{Fleet, FleetOptions, OPERATOR_SECRET, Process, Vm};
pub use ledger::{Ledger, Run};
pub use program::Program;
