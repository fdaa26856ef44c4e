//! Gossip of members, announcements, versions and withdrawn keys, without I/O.
//!
//! A process opens one [`Gossip`], calls [`Gossip::tick`] on a timer and [`Gossip::receive`] for
//! every message of a peer, and sends what both return. The protocol and its bounds are written in
//! docs/spec/SPREAD.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod broadcast_queue;
mod configuration;
mod gossip;
mod heartbeat;
mod message;
mod probe;
mod random;
mod record;
mod table;
mod types;
mod withdrawal;
mod withdrawn;

pub mod freshness;
pub mod wire;

pub use configuration::{Change, Configuration};
pub use gossip::{BackendServer, Event, Freshness, Gossip, Options, Outgoing, TICK};
pub use heartbeat::{AgedHeartbeat, ControlHeartbeat, PartitionPolicy};
pub use message::{
    Body, ConfigurationPart, Confirmation, Digest, Message, Pull, Renew, Withdraw, WithdrawAck,
    WithdrawnPart,
};
pub use record::{Health, MemberStatus, Merge, Record};
pub use types::{Announcement, AnnouncementState, LinkAddress, Role, Seed};
pub use withdrawal::WithdrawalState;
pub use withdrawn::WithdrawnSet;
