//! Conversions between the messages about claims and their wire messages.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use nutmegwheel_claims::{
    AttemptId, Phase, Target,
    messages::{ClaimCopy, ClaimReply, ClaimRequest, RecoverReply, RecoverRequest, Update, Vote},
};
use nutmegwheel_types::RequestId;
use nutmegwheel_wire::{self as wire, Malformed, phase, vote};

fn required<T>(value: Option<T>, field: &'static str) -> Result<T, Malformed> {
    value.ok_or(Malformed { field })
}

fn id_from_wire(bytes: &[u8]) -> Result<RequestId, Malformed> {
    bytes.try_into().map_err(|_| Malformed { field: "id" })
}

fn id_to_wire(id: &RequestId) -> Bytes {
    Bytes::copy_from_slice(id)
}

/// Converts an attempt's id to its wire message.
#[must_use]
pub fn attempt_to_wire(id: &AttemptId) -> wire::AttemptId {
    wire::AttemptId {
        door: id.ingress.to_string(),
        incarnation: id.incarnation,
        number: id.number,
    }
}

/// Converts an attempt's id from its wire message.
#[must_use]
pub fn attempt_from_wire(id: wire::AttemptId) -> AttemptId {
    AttemptId {
        ingress: id.door.into(),
        incarnation: id.incarnation,
        number: id.number,
    }
}

fn required_attempt(id: Option<wire::AttemptId>) -> Result<AttemptId, Malformed> {
    required(id, "attempt").map(attempt_from_wire)
}

fn target_to_wire(target: &Target) -> wire::Target {
    wire::Target {
        node: target.node.to_string(),
        incarnation: target.incarnation,
    }
}

fn target_from_wire(target: wire::Target) -> Target {
    Target {
        node: target.node.into(),
        incarnation: target.incarnation,
    }
}

fn phase_to_wire(phase: &Phase) -> wire::Phase {
    let kind = match phase {
        Phase::Claimed(target) => phase::Kind::Claimed(target_to_wire(target)),
        Phase::Running(target) => phase::Kind::Running(target_to_wire(target)),
        Phase::Released => phase::Kind::Released(true),
        Phase::Done(answer) => phase::Kind::Done(wire::Done {
            answer: answer.clone(),
        }),
    };
    wire::Phase { kind: Some(kind) }
}

fn phase_from_wire(phase: Option<wire::Phase>) -> Result<Phase, Malformed> {
    let kind = phase.and_then(|phase| phase.kind);
    Ok(match required(kind, "phase")? {
        phase::Kind::Claimed(target) => Phase::Claimed(target_from_wire(target)),
        phase::Kind::Running(target) => Phase::Running(target_from_wire(target)),
        phase::Kind::Released(_) => Phase::Released,
        phase::Kind::Done(done) => Phase::Done(done.answer),
    })
}

pub(crate) fn claim_request_to_wire(req: &ClaimRequest) -> wire::ClaimRequest {
    wire::ClaimRequest {
        generation: req.generation,
        id: id_to_wire(&req.id),
        attempt: Some(attempt_to_wire(&req.attempt)),
        target: Some(target_to_wire(&req.target)),
        replaces: req.replaces.as_ref().map(attempt_to_wire),
    }
}

pub(crate) fn claim_request_from_wire(req: wire::ClaimRequest) -> Result<ClaimRequest, Malformed> {
    Ok(ClaimRequest {
        generation: req.generation,
        id: id_from_wire(&req.id)?,
        attempt: required_attempt(req.attempt)?,
        target: target_from_wire(required(req.target, "target")?),
        replaces: req.replaces.map(attempt_from_wire),
    })
}

pub(crate) fn claim_reply_to_wire(reply: &ClaimReply) -> wire::ClaimReply {
    let peers = reply.peers.iter();
    wire::ClaimReply {
        attempt: Some(attempt_to_wire(&reply.attempt)),
        incarnation: reply.incarnation,
        peers: peers
            .map(|(name, incarnation)| (name.to_string(), *incarnation))
            .collect(),
        vote: Some(vote_to_wire(&reply.vote)),
    }
}

pub(crate) fn claim_reply_from_wire(reply: wire::ClaimReply) -> Result<ClaimReply, Malformed> {
    let peers = reply.peers.into_iter();
    Ok(ClaimReply {
        attempt: required_attempt(reply.attempt)?,
        incarnation: reply.incarnation,
        peers: peers
            .map(|(name, incarnation)| (name.into(), incarnation))
            .collect(),
        vote: vote_from_wire(reply.vote)?,
    })
}

fn vote_to_wire(vote: &Vote) -> wire::Vote {
    let kind = match vote {
        Vote::Granted => vote::Kind::Granted(true),
        Vote::Busy(attempt, target) => vote::Kind::Busy(wire::Busy {
            attempt: Some(attempt_to_wire(attempt)),
            target: Some(target_to_wire(target)),
        }),
        Vote::Done(answer) => vote::Kind::Done(wire::Done {
            answer: answer.clone(),
        }),
        Vote::AlreadyReleased => vote::Kind::Over(true),
        Vote::Full => vote::Kind::Full(true),
        Vote::Recovering => vote::Kind::Recovering(true),
        Vote::OtherGeneration(generation) => vote::Kind::OtherGeneration(*generation),
    };
    wire::Vote { kind: Some(kind) }
}

fn vote_from_wire(vote: Option<wire::Vote>) -> Result<Vote, Malformed> {
    let kind = vote.and_then(|vote| vote.kind);
    Ok(match required(kind, "vote")? {
        vote::Kind::Granted(_) => Vote::Granted,
        vote::Kind::Busy(busy) => Vote::Busy(
            required_attempt(busy.attempt)?,
            target_from_wire(required(busy.target, "target")?),
        ),
        vote::Kind::Done(done) => Vote::Done(done.answer),
        vote::Kind::Over(_) => Vote::AlreadyReleased,
        vote::Kind::Full(_) => Vote::Full,
        vote::Kind::Recovering(_) => Vote::Recovering,
        vote::Kind::OtherGeneration(generation) => Vote::OtherGeneration(generation),
    })
}

pub(crate) fn update_to_wire(update: &Update) -> wire::ClaimUpdate {
    wire::ClaimUpdate {
        id: id_to_wire(&update.id),
        attempt: Some(attempt_to_wire(&update.attempt)),
        phase: Some(phase_to_wire(&update.phase)),
    }
}

pub(crate) fn update_from_wire(update: wire::ClaimUpdate) -> Result<Update, Malformed> {
    Ok(Update {
        id: id_from_wire(&update.id)?,
        attempt: required_attempt(update.attempt)?,
        phase: phase_from_wire(update.phase)?,
    })
}

pub(crate) fn recover_request_to_wire(req: &RecoverRequest) -> wire::RecoverRequest {
    wire::RecoverRequest {
        seed: req.seed.to_string(),
        incarnation: req.incarnation,
        generation: req.generation,
        after: req.after.as_ref().map(id_to_wire),
    }
}

pub(crate) fn recover_request_from_wire(
    req: wire::RecoverRequest,
) -> Result<RecoverRequest, Malformed> {
    Ok(RecoverRequest {
        seed: req.seed.into(),
        incarnation: req.incarnation,
        generation: req.generation,
        after: after_from_wire(req.after)?,
    })
}

fn after_from_wire(after: Option<Bytes>) -> Result<Option<RequestId>, Malformed> {
    after.map(|after| id_from_wire(&after)).transpose()
}

pub(crate) fn recover_reply_to_wire(reply: &RecoverReply) -> wire::RecoverReply {
    wire::RecoverReply {
        incarnation: reply.incarnation,
        after: reply.after.as_ref().map(id_to_wire),
        claims: reply.claims.iter().map(copy_to_wire).collect(),
        is_last: reply.is_last,
    }
}

pub(crate) fn recover_reply_from_wire(
    reply: wire::RecoverReply,
) -> Result<RecoverReply, Malformed> {
    let claims = reply.claims.into_iter().map(copy_from_wire);
    Ok(RecoverReply {
        incarnation: reply.incarnation,
        after: after_from_wire(reply.after)?,
        claims: claims.collect::<Result<_, _>>()?,
        is_last: reply.is_last,
    })
}

fn copy_to_wire(copy: &ClaimCopy) -> wire::ClaimCopy {
    let attempts = copy.attempts.iter();
    let attempts = attempts.map(|(attempt, phase)| wire::AttemptPhase {
        attempt: Some(attempt_to_wire(attempt)),
        phase: Some(phase_to_wire(phase)),
    });
    wire::ClaimCopy {
        id: id_to_wire(&copy.id),
        attempts: attempts.collect(),
        age_ms: u64::try_from(copy.age.as_millis()).unwrap_or(u64::MAX),
    }
}

fn copy_from_wire(copy: wire::ClaimCopy) -> Result<ClaimCopy, Malformed> {
    let mut attempts = BTreeMap::new();
    for entry in copy.attempts {
        attempts.insert(
            required_attempt(entry.attempt)?,
            phase_from_wire(entry.phase)?,
        );
    }
    Ok(ClaimCopy {
        id: id_from_wire(&copy.id)?,
        attempts,
        age: Duration::from_millis(copy.age_ms),
    })
}
