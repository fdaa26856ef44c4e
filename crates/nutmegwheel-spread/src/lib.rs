//! Runs the gossip protocol of a process over its links.
//!
//! `nutmegwheel-membership` implements the protocol without I/O. This crate calls it with the
//! current time, sends its messages over links, and returns its events to the caller. See
//! docs/spec/SPREAD.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod gossip_service;

pub use gossip_service::GossipService;
pub use nutmegwheel_membership::{
    Announcement, AnnouncementState, Change, ControlHeartbeat, Event, Health, MemberStatus, Record,
    Role, TICK, WithdrawalState,
    freshness::{Decision, FenceReason},
};
