//! A Raft log with durable storage and a core that does no I/O.
//!
//! [`Replica`] is the entry point: it takes timestamped inputs, syncs hard state and log entries to
//! storage, and returns the messages to send and the commands to apply. [`raft`] is the
//! deterministic state machine below it, which has no access to clocks or storage. The protocol is
//! specified in docs/spec/AGREEMENT.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod log;
mod message;
pub mod raft;
mod replica;
mod storage;
mod types;
mod wire;

pub use log::Log;
pub use message::{AppendResult, Body, Message};
pub use replica::{Error, Input, Options, Output, Random, Refusal, Replica, Status};
pub use storage::{
    Fault, FaultHook, FileStore, MemoryStore, Storage, StorageError, StorageStep, Stored, Write,
};
pub use types::{
    ClusterId, Command, Entry, HardState, LogIndex, Membership, Payload, Position, ProposalId,
    ReadId, ReplicaId, ReplicaName, Round, Snapshot, Term,
};
pub use wire::DecodeError;
