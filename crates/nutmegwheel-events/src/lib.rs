//! Numbered log events, the hybrid logical clock and the merged timeline.
//!
//! docs/EVENTS.md lists all events; a test compares it with [`Event::ALL`].
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod catalogue;
mod clock;
mod journal;
mod output;
mod timeline;

pub use catalogue::Event;
pub use clock::{Clock, SystemTime, Timestamp, WallTime};
pub use journal::{Journal, Options, Record};
pub use output::Output;
pub use timeline::{filter_by_request, merge, read_log, render};
