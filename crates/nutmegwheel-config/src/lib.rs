//! The settings of a process and the replicated configuration.
//!
//! Both are JSON with comments. A document is refused as a whole at its first error, with the line
//! and the field, so that no document is ever partly applied; see docs/INTERFACES.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod change;
mod cold_start;
mod configuration;
mod delta;
mod error;
mod hosts;
mod reader;
mod request_limits;
mod retry_budget;
mod settings;
mod view;

pub use change::Change;
pub use cold_start::{ColdStart, ColdStartBound};
pub use configuration::{Class, Configuration, NoRoute, Route, WhenCutOff, Workspace};
pub use delta::Delta;
pub use error::CheckError;
pub use hosts::{HostRoute, HostRoutes, WeightedService};
pub use reader::{is_name, name_rule};
pub use request_limits::RequestLimits;
pub use retry_budget::RetryBudget;
pub use settings::{
    BackendServer, Concurrency, Contacts, Dialect, Listen, Role, Routing, Seed, Settings,
};
pub use view::{View, ViewError, hash_key};
