//! Admission control: the queue in front of one backend server; see docs/POLICY.md.
//!
//! A request starts at once, waits or is refused. Requests that cannot finish in time are not
//! started, and refusals are reported without delay.

mod level;
mod queue;
mod rank;
mod refusal;
mod service_time;
mod types;
mod waiting;

pub use queue::{Cancelled, Queue};
pub use types::{Completion, Event, Offer, Options, Reason, Refusal, Request, Ticket};

pub(crate) use rank::sheds;
