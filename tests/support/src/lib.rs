//! Test doubles: a backend server, a caller, a fault-injecting TCP relay and a local fleet of
//! processes.
//!
//! They rely only on the interfaces that docs/INTERFACES.md describes. Tests decide by what fake
//! backend servers record in their [`Ledger`], not by what the system reports about itself.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod backend;
mod body;
mod caller;
mod fleet;
mod ledger;
mod program;
pub mod relay;
pub mod script;

pub use backend::{Backend, BackendOptions, Behaviour, Fault, raw};
pub use caller::{Answer, Caller};
pub use fleet::{Fleet, FleetOptions, OPERATOR_SECRET, Process, Vm};
pub use ledger::{Ledger, Run};
pub use program::Program;
