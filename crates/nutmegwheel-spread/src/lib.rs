//! Runs the gossip protocol of a process over its links.
//!
//! The protocol is implemented without I/O in `nutmegwheel-membership`. This crate supplies it with
//! the time and the links, and returns the resulting events to its caller. See docs/spec/SPREAD.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod gossip_service;

pub use gossip_service::GossipService;
pub use nutmegwheel_membership::{
    Announcement, AnnouncementState, Change, ControlHeartbeat, Event, Health, MemberStatus, Record,
    Role, TICK, WithdrawalState,
    freshness::{Decision, FenceReason},
};
