//! A replicated log with synced storage, without I/O in its core.
//!
//! [`Replica`] is the running handle: it takes inputs with the time at which they came, syncs what
//! must survive and hands out messages and committed commands. [`raft`] is the pure decision code
//! under it, without time and storage. The rules are written down in docs/spec/AGREEMENT.md.
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
