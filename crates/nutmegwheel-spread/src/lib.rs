//! Runs the gossip protocol of a process over its links, and remembers departures for other nodes.
//!
//! `nutmegwheel-membership` implements the protocol without I/O. This crate calls it with the
//! current time, sends its messages over links, and returns its events to the caller. See
//! docs/spec/SPREAD.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod departure_service;
mod gossip_service;

pub use departure_service::{
    DepartureReply, DepartureService, departures_from_wire, departures_to_wire,
};
pub use gossip_service::GossipService;
pub use nutmegwheel_membership::{
    Announcement, AnnouncementState, Change, ControlHeartbeat, Event, Health, MemberStatus, Record,
    Role, TICK, WithdrawalState,
    freshness::{Decision, FenceReason},
};
