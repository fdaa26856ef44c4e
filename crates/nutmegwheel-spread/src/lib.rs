//! Drives the gossip of a process over its links.
//!
//! The decisions are those of `nutmegwheel-membership`; this crate gives them the time and the
//! links, and hands what was learnt to the role that runs it. See docs/spec/SPREAD.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod gossip_service;

pub use gossip_service::GossipService;
pub use nutmegwheel_membership::{
    Announcement, AnnouncementState, Change, ControlHeartbeat, Event, Health, MemberStatus, Record,
    Role, TICK, WithdrawalState,
    freshness::{Decision, FenceReason},
};
