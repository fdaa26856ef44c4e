use std::{collections::HashSet, time::Instant};

use bytes::Bytes;
use nutmegwheel_link::CallError;
use nutmegwheel_types::ProcessName;
use nutmegwheel_wire::{ReplyHead, topic};
use prost::Message as _;
use rand::seq::IndexedRandom as _;

use crate::{
    call::{self, Answer, Call},
    directory::Member,
    refusal::{Outcome, Reason, Refusal},
    serve,
    shared::Shared,
};

/// Sends a call to a backend server of its service, and again to another one where that is allowed.
pub(crate) async fn forward(shared: &Shared, call: &mut Call) -> Result<Answer, Refusal> {
    let mut tried = HashSet::new();
    loop {
        let target = choose(shared, call, &tried)?;
        let refusal = match attempt(shared, call, &target).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        if !may_retry(call, &refusal) {
            return Err(refusal);
        }
        if call.context.retry_tokens == 0 {
            return Err(Refusal {
                reason: Reason::RetriesSpent,
                ..refusal
            });
        }
        call.context.retry_tokens -= 1;
        tried.insert(target.name);
    }
}

fn may_retry(call: &Call, refusal: &Refusal) -> bool {
    let safe = match refusal.outcome {
        Outcome::NotRun => refusal.reason != Reason::Deadline,
        Outcome::MayHaveRun => {
            !call.context.non_idempotent
                && matches!(refusal.reason, Reason::BackendLost | Reason::LinkLost)
        }
        Outcome::DoNotResend => false,
    };
    safe && Instant::now() < call.deadline
}

fn choose(shared: &Shared, call: &Call, tried: &HashSet<ProcessName>) -> Result<Member, Refusal> {
    let ready = shared.directory.ready(&call.service, Instant::now());
    let fresh: Vec<&Member> = ready.iter().filter(|m| !tried.contains(&m.name)).collect();
    let near: Vec<&Member> = fresh
        .iter()
        .copied()
        .filter(|m| m.data_centre == shared.settings.data_centre)
        .collect();
    let chosen = near
        .choose(&mut rand::rng())
        .or_else(|| fresh.choose(&mut rand::rng()));
    chosen.copied().cloned().ok_or_else(|| {
        let detail = format!("no backend server of {} takes requests", call.service);
        Refusal::not_run(Reason::NoBackendServer, detail)
    })
}

async fn attempt(shared: &Shared, call: &mut Call, target: &Member) -> Result<Answer, Refusal> {
    if target.name == shared.settings.name {
        let served = serve::serve(shared, call.clone()).await;
        call.context.retry_tokens = served.retry_tokens;
        return served.result;
    }
    let Some(endpoint) = shared.endpoint() else {
        return Err(Refusal::not_run(Reason::NotReady, "the links are not up"));
    };
    let head = call.to_wire(Instant::now(), target.incarnation);
    let req = nutmegwheel_link::Request {
        topic: topic::CALL,
        head: head.encode_to_vec().into(),
        body: call.body.clone(),
    };
    let reply = endpoint
        .call(target.link, req, call.deadline)
        .await
        .map_err(|e| link_refusal(&e))?;
    let head = ReplyHead::decode(reply.head).map_err(|e| malformed(&e))?;
    call.context.retry_tokens = call.context.retry_tokens.min(head.retry_tokens);
    read_reply(head, reply.body)
}

fn read_reply(head: ReplyHead, body: Bytes) -> Result<Answer, Refusal> {
    if let Some(refusal) = head.refusal {
        return Err(Refusal::from_wire(refusal));
    }
    let status = u16::try_from(head.status).ok();
    let status = status.and_then(|status| http::StatusCode::from_u16(status).ok());
    Ok(Answer {
        status: status.ok_or_else(|| malformed(&"status"))?,
        fields: call::fields_from_wire(head.fields).map_err(|e| malformed(&e))?,
        body,
    })
}

fn link_refusal(e: &CallError) -> Refusal {
    let reason = match e {
        CallError::Expired { .. } => Reason::Deadline,
        _ => Reason::LinkLost,
    };
    if e.proves_not_run() {
        Refusal::not_run(reason, e.to_string())
    } else {
        Refusal::may_have_run(reason, e.to_string())
    }
}

fn malformed(e: &dyn std::fmt::Display) -> Refusal {
    Refusal::may_have_run(Reason::LinkLost, format!("the reply is malformed: {e}"))
}
