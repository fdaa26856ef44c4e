//! One queue in front of one backend server: admit now, wait or refuse; see docs/POLICY.md.
//!
//! Work that cannot finish in time is never started, and whoever is given up learns it at once.

mod level;
mod queue;
mod rank;
mod refusal;
mod service_time;
mod types;
mod waiting;

pub use queue::{Cancelled, Queue};
pub use types::{Completion, Event, Offer, Options, Reason, Refusal, Request, Ticket};

pub(crate) use rank::is_shed;
