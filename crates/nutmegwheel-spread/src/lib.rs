//! Drives the gossip of a process over its links.
//!
//! The decisions are those of `nutmegwheel-membership`; this crate gives them the time and the
//! links, and hands what was learnt to the role that runs it. See docs/spec/SPREAD.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod spread;

pub use nutmegwheel_membership::{
    Announcement, AnnouncementState, Change, ControlHeartbeat, Event, Health, MemberStatus, Record,
    Role, TICK, WithdrawalState,
    freshness::{Decision, FenceReason},
};
pub use spread::Spread;
