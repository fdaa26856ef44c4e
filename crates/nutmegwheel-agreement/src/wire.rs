//! Conversions between this crate's types and the generated ones of proto/agreement.proto.
//!
//! Decoding fails if a required message field is missing or a variant is unknown. A missing number
//! that is not optional reads as zero, as always in protobuf.

use std::sync::Arc;

use bytes::Bytes;
use prost::Message as _;

use crate::{
    message::{AppendResult, Body, Message},
    storage::{Stored, Write},
    types::{Entry, HardState, Membership, Payload, Position, ReplicaId, ReplicaName, Snapshot},
};

#[allow(clippy::pedantic, unreachable_pub)]
#[path = "generated/nutmegwheel.agreement.v1.rs"]
mod generated;

use generated as v1;

/// An error in decoding a message or record.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not a valid protobuf message.
    #[error("malformed protobuf message")]
    Malformed(#[from] prost::DecodeError),
    /// A required field is missing.
    #[error("required field {0} is missing")]
    Missing(&'static str),
}

type Result<T> = std::result::Result<T, DecodeError>;

fn required<T>(value: Option<T>, field: &'static str) -> Result<T> {
    value.ok_or(DecodeError::Missing(field))
}

impl Message {
    /// Encodes the message as protobuf.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        v1::Message::from(self).encode_to_vec()
    }

    /// Decodes the output of [`Message::encode`].
    ///
    /// # Errors
    ///
    /// Fails if the bytes are malformed or a required field is missing.
    pub fn decode(bytes: impl AsRef<[u8]>) -> std::result::Result<Self, DecodeError> {
        v1::Message::decode(bytes.as_ref())?.try_into()
    }
}

pub(crate) fn encode_batch(writes: &[Write]) -> Vec<u8> {
    let kind = |write: &Write| match write {
        Write::HardState(hard) => Some(v1::write::Kind::Hard(hard.into())),
        Write::Append(entries) => Some(v1::write::Kind::Append(v1::Entries {
            entries: encode_list(entries),
        })),
        Write::Snapshot(_) => None,
    };
    let write = |w| v1::Write { kind: kind(w) };
    let writes = writes.iter().map(write).collect();
    v1::Batch { writes }.encode_to_vec()
}

pub(crate) fn decode_batch(bytes: &[u8]) -> Result<Vec<Write>> {
    let batch = v1::Batch::decode(bytes)?;
    batch.writes.into_iter().map(Write::try_from).collect()
}

pub(crate) fn encode_base(stored: &Stored) -> Vec<u8> {
    let base = v1::Base {
        id: Some((&stored.id).into()),
        hard: Some((&stored.hard_state).into()),
        position: Some(stored.log.base().into()),
        entries: encode_list(stored.log.entries()),
    };
    base.encode_to_vec()
}

/// Decodes a base record. The snapshot is not part of it but stored in its own file.
pub(crate) fn decode_base(bytes: &[u8]) -> Result<Stored> {
    let base = v1::Base::decode(bytes)?;
    let mut stored = Stored::new(required(base.id, "id")?.into());
    stored.hard_state = required(base.hard, "hard")?.into();
    stored
        .log
        .compact(required(base.position, "position")?.into());
    stored.log.append(&decode_list(base.entries)?);
    Ok(stored)
}

pub(crate) fn encode_snapshot(snapshot: &Snapshot) -> Vec<u8> {
    let snapshot = v1::Snapshot {
        position: Some(snapshot.position.into()),
        membership: Some((&snapshot.membership).into()),
        data: Bytes::copy_from_slice(&snapshot.data),
    };
    snapshot.encode_to_vec()
}

pub(crate) fn decode_snapshot(bytes: &[u8]) -> Result<Snapshot> {
    let snapshot = v1::Snapshot::decode(bytes)?;
    Ok(Snapshot {
        position: required(snapshot.position, "position")?.into(),
        membership: required(snapshot.membership, "membership")?.into(),
        data: Arc::from(&snapshot.data[..]),
    })
}

fn encode_list<'a, T: 'a, U: From<&'a T>>(items: &'a [T]) -> Vec<U> {
    items.iter().map(U::from).collect()
}

fn decode_list<T: TryInto<U, Error = DecodeError>, U>(items: Vec<T>) -> Result<Vec<U>> {
    items.into_iter().map(T::try_into).collect()
}

fn encode_names(names: &[ReplicaName]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

fn decode_names(names: Vec<String>) -> Vec<ReplicaName> {
    names.into_iter().map(Into::into).collect()
}

impl From<&ReplicaId> for v1::ReplicaId {
    fn from(id: &ReplicaId) -> Self {
        Self {
            name: id.name.to_string(),
            incarnation: id.incarnation,
        }
    }
}

impl From<v1::ReplicaId> for ReplicaId {
    fn from(id: v1::ReplicaId) -> Self {
        Self {
            name: id.name.into(),
            incarnation: id.incarnation,
        }
    }
}

impl From<Position> for v1::Position {
    fn from(position: Position) -> Self {
        Self {
            term: position.term,
            index: position.index,
        }
    }
}

impl From<v1::Position> for Position {
    fn from(position: v1::Position) -> Self {
        Self {
            term: position.term,
            index: position.index,
        }
    }
}

impl From<&Membership> for v1::Membership {
    fn from(membership: &Membership) -> Self {
        Self {
            voters: membership.voters.iter().map(Into::into).collect(),
            learners: membership.learners.iter().map(Into::into).collect(),
        }
    }
}

impl From<v1::Membership> for Membership {
    fn from(membership: v1::Membership) -> Self {
        Self {
            voters: membership.voters.into_iter().map(Into::into).collect(),
            learners: membership.learners.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<&HardState> for v1::HardState {
    fn from(hard: &HardState) -> Self {
        Self {
            cluster: hard.cluster,
            term: hard.term,
            vote: hard.vote.as_ref().map(Into::into),
        }
    }
}

impl From<v1::HardState> for HardState {
    fn from(hard: v1::HardState) -> Self {
        Self {
            cluster: hard.cluster,
            term: hard.term,
            vote: hard.vote.map(Into::into),
        }
    }
}

impl From<&Entry> for v1::Entry {
    fn from(entry: &Entry) -> Self {
        use v1::entry::Payload as P;
        let payload = match &entry.payload {
            Payload::Noop => P::Noop(v1::Noop {}),
            Payload::Command(command) => P::Command(Bytes::copy_from_slice(command)),
            Payload::Membership(membership) => P::Membership(membership.into()),
        };
        Self {
            position: Some(entry.position.into()),
            payload: Some(payload),
        }
    }
}

impl TryFrom<v1::Entry> for Entry {
    type Error = DecodeError;

    fn try_from(entry: v1::Entry) -> Result<Self> {
        use v1::entry::Payload as P;
        let payload = match required(entry.payload, "payload")? {
            P::Noop(_) => Payload::Noop,
            P::Command(command) => Payload::Command(Arc::from(&command[..])),
            P::Membership(membership) => Payload::Membership(membership.into()),
        };
        let position = required(entry.position, "position")?.into();
        Ok(Self { position, payload })
    }
}

impl TryFrom<v1::Write> for Write {
    type Error = DecodeError;

    fn try_from(write: v1::Write) -> Result<Self> {
        Ok(match required(write.kind, "kind")? {
            v1::write::Kind::Hard(hard) => Self::HardState(hard.into()),
            v1::write::Kind::Append(list) => Self::Append(decode_list(list.entries)?),
        })
    }
}

impl From<&Message> for v1::Message {
    fn from(message: &Message) -> Self {
        Self {
            cluster: message.cluster,
            from: Some((&message.from).into()),
            to: message.to.to_string(),
            to_incarnation: message.to_incarnation,
            term: message.term,
            body: Some((&message.body).into()),
        }
    }
}

impl TryFrom<v1::Message> for Message {
    type Error = DecodeError;

    fn try_from(message: v1::Message) -> Result<Self> {
        Ok(Self {
            cluster: message.cluster,
            from: required(message.from, "from")?.into(),
            to: message.to.into(),
            to_incarnation: message.to_incarnation,
            term: message.term,
            body: required(message.body, "body")?.try_into()?,
        })
    }
}

impl From<&Body> for v1::message::Body {
    fn from(body: &Body) -> Self {
        let last = |p: &Position| Some((*p).into());
        match body {
            Body::Join { bootstrap_members } => Self::Join(v1::Join {
                founding: encode_names(bootstrap_members),
            }),
            Body::Fresh { bootstrap_members } => Self::Fresh(v1::Fresh {
                founding: encode_names(bootstrap_members),
            }),
            Body::PreVote { last: p } => Self::PreVote(v1::PreVote { last: last(p) }),
            Body::PreVoteReply { granted } => {
                Self::PreVoteReply(v1::PreVoteReply { granted: *granted })
            }
            Body::Vote { last: p } => Self::Vote(v1::Vote { last: last(p) }),
            Body::VoteReply { granted } => Self::VoteReply(v1::VoteReply { granted: *granted }),
            Body::Append {
                prev,
                entries,
                commit,
                round,
            } => Self::Append(v1::Append {
                prev: Some((*prev).into()),
                entries: encode_list(entries),
                commit: *commit,
                round: *round,
            }),
            Body::AppendReply { round, result } => Self::AppendReply(v1::AppendReply {
                round: *round,
                result: Some(result.into()),
            }),
            Body::Install {
                position,
                membership,
                total,
                offset,
                data,
                round,
            } => Self::Install(v1::Install {
                position: Some((*position).into()),
                membership: Some(membership.into()),
                total: *total,
                offset: *offset,
                data: Bytes::copy_from_slice(data),
                round: *round,
            }),
            Body::InstallReply {
                round,
                index,
                received,
            } => Self::InstallReply(v1::InstallReply {
                round: *round,
                index: *index,
                received: *received,
            }),
        }
    }
}

impl TryFrom<v1::message::Body> for Body {
    type Error = DecodeError;

    fn try_from(body: v1::message::Body) -> Result<Self> {
        use v1::message::Body as B;
        let last = |p: Option<v1::Position>| required(p, "last").map(Position::from);
        Ok(match body {
            B::Join(join) => Self::Join {
                bootstrap_members: decode_names(join.founding),
            },
            B::Fresh(fresh) => Self::Fresh {
                bootstrap_members: decode_names(fresh.founding),
            },
            B::PreVote(vote) => Self::PreVote {
                last: last(vote.last)?,
            },
            B::PreVoteReply(reply) => Self::PreVoteReply {
                granted: reply.granted,
            },
            B::Vote(vote) => Self::Vote {
                last: last(vote.last)?,
            },
            B::VoteReply(reply) => Self::VoteReply {
                granted: reply.granted,
            },
            B::Append(append) => Self::Append {
                prev: required(append.prev, "prev")?.into(),
                entries: decode_list(append.entries)?,
                commit: append.commit,
                round: append.round,
            },
            B::AppendReply(reply) => Self::AppendReply {
                round: reply.round,
                result: required(reply.result, "result")?.into(),
            },
            B::Install(install) => Self::Install {
                position: required(install.position, "position")?.into(),
                membership: required(install.membership, "membership")?.into(),
                total: install.total,
                offset: install.offset,
                data: Arc::from(&install.data[..]),
                round: install.round,
            },
            B::InstallReply(reply) => Self::InstallReply {
                round: reply.round,
                index: reply.index,
                received: reply.received,
            },
        })
    }
}

impl From<&AppendResult> for v1::append_reply::Result {
    fn from(result: &AppendResult) -> Self {
        match *result {
            AppendResult::Matched(index) => Self::Matched(index),
            AppendResult::Rejected { prev, hint } => Self::Rejected(v1::Rejected { prev, hint }),
        }
    }
}

impl From<v1::append_reply::Result> for AppendResult {
    fn from(result: v1::append_reply::Result) -> Self {
        match result {
            v1::append_reply::Result::Matched(index) => Self::Matched(index),
            v1::append_reply::Result::Rejected(r) => Self::Rejected {
                prev: r.prev,
                hint: r.hint,
            },
        }
    }
}
