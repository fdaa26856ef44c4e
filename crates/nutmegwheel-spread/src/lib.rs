//! Drives the gossip of a process over its links.
//!
//! The decisions are those of `nutmegwheel-membership`; this crate gives them the time and the
//! links, and hands what was learnt to the role that runs it. See docs/spec/SPREAD.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod spread;

pub use nutmegwheel_membership::{
    Announcement, AnnouncementState, Change, Event, Health, Record, Role, Stamp, Standing, TICK,
    WithdrawalState,
    freshness::{Decision, Why},
};
pub use spread::Spread;
