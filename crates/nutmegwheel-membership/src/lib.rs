//! Sans-I/O gossip protocol: membership, backend announcements, configuration versions and
//! withdrawn keys.
//!
//! A process opens one [`Gossip`], calls [`Gossip::tick`] on a timer and [`Gossip::receive`] for
//! every message from a peer, and sends the messages that both return. docs/spec/SPREAD.md
//! specifies the protocol and its bounds.
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
