//! Runs non-idempotent calls at most once; see docs/spec/CLAIMS.md.

use std::{
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use nutmegwheel_seeds::{
    AttemptId, ClaimClient, ClaimOptions, ClaimRefusal, FenceOutcome, HeldClaim, StartOutcome,
    StartRefusal, Target, attempt_from_wire, attempt_to_wire,
};
use nutmegwheel_types::{DataCentreId, RequestId, plain};
use nutmegwheel_wire::{self as wire, topic};
use prost::Message as _;

use crate::{
    call::{self, Answer, Call},
    digest::digest,
    headers,
    refusal::{Outcome, Reason, Refusal},
    routes,
    served::Served,
    shared::Shared,
};

/// The time within which a target must answer a fence request.
const FENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of claims on a request before an attempt is sent. A claim is repeated after
/// the attempt that held the earlier one was fenced.
const CLAIM_ATTEMPTS: u32 = 2;

plain! {
    /// Identifies the claim on a request: the id that all resends of the request share, and the
    /// home data centre, whose seeds store the claim.
    pub(crate) struct RequestClaim {
        pub(crate) id: RequestId,
        pub(crate) home: DataCentreId,
    }
}

/// An attempt of a non-idempotent call, and the claim that it holds if the request has one.
pub(crate) struct AttemptGuard {
    attempt: AttemptId,
    held: Option<Box<(ClaimClient, HeldClaim)>>,
}

/// The result of [`begin`].
pub(crate) enum BeginOutcome {
    /// The attempt may be sent. Attempts of idempotent calls have no guard.
    Send(Option<AttemptGuard>),
    /// The attempt must not be sent, and the call ends with this result.
    Done(Result<Answer, Refusal>),
}

/// Derives the claim of a request from its caller's idempotency key.
pub(crate) fn claim_for_key(
    shared: &Shared,
    call: &Call,
    key: &str,
) -> Result<RequestClaim, Refusal> {
    let workspace = call.context.workspace.as_deref().unwrap_or_default();
    let id = digest([workspace, &call.service, &call.endpoint, key].map(str::as_bytes));
    match shared.seeds.home(&id, key) {
        Some(home) => Ok(RequestClaim { id, home }),
        None => Err(unavailable("the fleet has no seeds")),
    }
}

/// Assigns an id to an attempt of a non-idempotent call. If the request has an idempotency key, it
/// is also claimed, so that no other attempt of it runs.
pub(crate) async fn begin(
    shared: &Arc<Shared>,
    call: &mut Call,
    target: &routes::Target,
    replaces: &mut Option<AttemptId>,
) -> BeginOutcome {
    if !call.context.non_idempotent {
        return BeginOutcome::Send(None);
    }
    let attempt = shared.next_attempt();
    call.attempt = Some(attempt.clone());
    let Some(claim) = call.claim.clone() else {
        let held = None;
        return BeginOutcome::Send(Some(AttemptGuard { attempt, held }));
    };
    let Some(claims) = shared.claim_client() else {
        return BeginOutcome::Done(Err(unavailable("the links are not up")));
    };
    let opts = ClaimOptions {
        id: claim.id,
        home: claim.home,
        attempt: attempt.clone(),
        target: Target {
            node: target.node.clone(),
            incarnation: target.incarnation,
        },
        replaces: replaces.take(),
    };
    match acquire_claim(shared, &claims, opts).await {
        Ok((held, attempt)) => {
            claims.report_running(&held);
            call.attempt = Some(attempt.clone());
            let held = Some(Box::new((claims, held)));
            BeginOutcome::Send(Some(AttemptGuard { attempt, held }))
        }
        Err(refusal) => BeginOutcome::Done(refusal_result(refusal)),
    }
}

/// Claims the request. If another attempt holds the claim and its target confirms that it did not
/// run, the claim is repeated once for a new attempt. Returns the claim with the attempt to send.
async fn acquire_claim(
    shared: &Arc<Shared>,
    claims: &ClaimClient,
    mut opts: ClaimOptions,
) -> Result<(HeldClaim, AttemptId), ClaimRefusal> {
    let mut attempts_left = CLAIM_ATTEMPTS;
    loop {
        attempts_left -= 1;
        let refusal = match claims.claim(opts.clone()).await {
            Ok(held) => return Ok((held, opts.attempt)),
            Err(refusal) => refusal,
        };
        let ClaimRefusal::InProgress(attempt, target) = &refusal else {
            return Err(refusal);
        };
        if attempts_left == 0 || !try_fence(shared, attempt, target).await {
            return Err(refusal);
        }
        claims.release_attempt(&opts.home, opts.id, attempt.clone());
        opts.replaces = Some(attempt.clone());
        opts.attempt = shared.next_attempt();
    }
}

/// Ends an attempt. If its answer was lost, the attempt is fenced at its target. If the attempt
/// certainly did not run, its claim is released at the seeds.
pub(crate) async fn finish(
    shared: &Arc<Shared>,
    guard: Option<AttemptGuard>,
    target: &routes::Target,
    replaces: &mut Option<AttemptId>,
    mut served: Served,
) -> Served {
    let Some(guard) = guard else {
        return served;
    };
    let is_lost = served.unspent.is_none();
    if let Err(refusal) = &mut served.result
        && is_lost
        && refusal.outcome == Outcome::MayHaveRun
    {
        let target = Target {
            node: target.node.clone(),
            incarnation: target.incarnation,
        };
        if try_fence(shared, &guard.attempt, &target).await {
            refusal.outcome = Outcome::NotRun;
        }
    }
    let is_not_run = matches!(&served.result, Err(refusal) if refusal.outcome == Outcome::NotRun);
    if is_not_run && let Some(holder) = &guard.held {
        let (claims, held) = &**holder;
        claims.report_released(held);
        *replaces = Some(guard.attempt);
    }
    served
}

fn refusal_result(refusal: ClaimRefusal) -> Result<Answer, Refusal> {
    match refusal {
        ClaimRefusal::Replay(answer) => replay(answer),
        ClaimRefusal::AlreadyRun => {
            let detail = "the request ran before, and its answer is not kept";
            Err(Refusal::new(
                Reason::AlreadyRun,
                Outcome::DoNotResend,
                detail,
            ))
        }
        ClaimRefusal::InProgress(..) => {
            let detail = "another send of this request has begun and its end is not known";
            Err(Refusal::may_have_run(Reason::InProgress, detail))
        }
        ClaimRefusal::Unavailable => Err(unavailable(
            "a majority of the home's seeds is out of reach",
        )),
        ClaimRefusal::Full => Err(unavailable(
            "the home's seeds have no room for another claim",
        )),
    }
}

fn unavailable(detail: &str) -> Refusal {
    Refusal::not_run(Reason::ClaimUnavailable, detail)
}

/// Requests the target of an attempt to fence it. Returns whether the target confirmed that the
/// attempt has not run and never will.
async fn try_fence(shared: &Arc<Shared>, attempt: &AttemptId, target: &Target) -> bool {
    if target.node == shared.settings.name {
        return fence(shared, attempt, target.incarnation) == FenceOutcome::NotRun;
    }
    let member = shared.gossip.member(&target.node);
    let (Some(member), Some(endpoint)) = (member, shared.endpoint()) else {
        return false;
    };
    let head = wire::FenceRequest {
        attempt: Some(attempt_to_wire(attempt)),
        incarnation: target.incarnation,
    };
    let req = nutmegwheel_link::Request {
        topic: topic::FENCE,
        head: head.encode_to_vec().into(),
        body: Bytes::new(),
    };
    let reply = endpoint.call(member.link, req, Instant::now() + FENCE_TIMEOUT);
    let Ok(reply) = reply.await else {
        return false;
    };
    let reply = wire::FenceReply::decode(reply.body);
    reply.is_ok_and(|reply| reply.fenced() == wire::Fenced::NotRun)
}

/// At the target: answers a fence request.
pub(crate) fn answer_fence(shared: &Shared, head: Bytes) -> Bytes {
    let Ok(req) = wire::FenceRequest::decode(head) else {
        return Bytes::new();
    };
    let Some(attempt) = req.attempt.map(attempt_from_wire) else {
        return Bytes::new();
    };
    let fenced = match fence(shared, &attempt, req.incarnation) {
        FenceOutcome::NotRun => wire::Fenced::NotRun,
        FenceOutcome::Started => wire::Fenced::Started,
        FenceOutcome::Unknown => wire::Fenced::Unspecified,
    };
    let reply = wire::FenceReply {
        fenced: fenced.into(),
    };
    reply.encode_to_vec().into()
}

fn fence(shared: &Shared, attempt: &AttemptId, incarnation: u64) -> FenceOutcome {
    if !shared.is_current_incarnation(incarnation) {
        return FenceOutcome::Unknown;
    }
    let mut attempts = shared
        .attempt_log
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    attempts.fence(attempt, shared.incarnation, Instant::now())
}

/// At the target: records the start of an attempt, or returns why it must not start.
pub(crate) fn try_start(shared: &Shared, call: &Call) -> Result<(), Refusal> {
    let Some(attempt) = &call.attempt else {
        return Ok(());
    };
    let mut attempts = shared
        .attempt_log
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let refuse = |detail| Err(Refusal::not_run(Reason::LinkLost, detail));
    match attempts.try_start(attempt, shared.incarnation, Instant::now()) {
        StartOutcome::Run => Ok(()),
        StartOutcome::Refused(StartRefusal::Duplicate) => {
            let detail = "this try of the request was begun before";
            Err(Refusal::may_have_run(Reason::InProgress, detail))
        }
        StartOutcome::Refused(StartRefusal::Fenced) => refuse("this try of the request was fenced"),
        StartOutcome::Refused(StartRefusal::OtherIncarnation) => {
            refuse("this try was for an earlier life")
        }
        StartOutcome::Refused(StartRefusal::TooOld) => refuse("this try of the request is too old"),
        StartOutcome::Refused(StartRefusal::Full) => {
            let detail = "the node remembers as many requests as it can";
            Err(Refusal::not_run(Reason::Overloaded, detail))
        }
    }
}

/// At the target: reports to the seeds of the home data centre that a claimed request ran.
pub(crate) fn report_done(shared: &Shared, call: &Call, answer: &Answer) {
    if let (Some(claim), Some(attempt), Some(claims)) =
        (&call.claim, &call.attempt, shared.claim_client())
    {
        let stored = wire::StoredAnswer {
            status: answer.status.as_u16().into(),
            fields: call::fields_to_wire(&answer.fields),
            body: answer.body.clone(),
        };
        let stored = stored.encode_to_vec().into();
        claims.report_done(&claim.home, claim.id, attempt.clone(), stored);
    }
}

/// Returns the stored answer of the first run to a resend.
fn replay(stored: Bytes) -> Result<Answer, Refusal> {
    let lost = || {
        let detail = "the request ran before, and its answer cannot be read";
        Refusal::new(Reason::AlreadyRun, Outcome::DoNotResend, detail)
    };
    let stored = wire::StoredAnswer::decode(stored).map_err(|_| lost())?;
    let answer = Answer::from_wire(stored.status, stored.fields, stored.body);
    let mut answer = answer.map_err(|_| lost())?;
    let replayed = http::HeaderValue::from_static("true");
    answer.fields.push((headers::REPLAYED, replayed));
    Ok(answer)
}
