use std::{
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use nutmegwheel_events::Event;
use nutmegwheel_link::CallError;
use nutmegwheel_policy::{
    deadline::{self, Deadline},
    retry::{self, Attempt, Budgets, CallId, ChildKey, Decision, End, Proof},
    routing::{BackendKey, LoadReport, Outcome as Ended},
    shed,
};
use nutmegwheel_seeds::AttemptId;
use nutmegwheel_wire::{ReplyHead, topic};
use prost::Message as _;

use crate::{
    call::{Answer, Call},
    digest::short_digest,
    once::{self, Begun},
    refusal::{Outcome, Reason, Refusal},
    routes::Target,
    running::{Below, Parent},
    serve::{self, Served},
    shared::Shared,
    suspects,
};

/// The time for the way there and back inside a data centre.
const NEAR_ROUND_TRIP: Duration = Duration::from_millis(1);
/// The time for the way there and back between data centres.
const FAR_ROUND_TRIP: Duration = Duration::from_millis(4);

/// The most backend servers that may break off in one request before it is given up, whether or
/// not the news of their deaths has come.
const MAX_LOST: u32 = 2;

/// Names a call among those of its parent.
pub(crate) fn call_id(call: &Call, name: Option<&str>) -> CallId {
    let parts = [call.method.as_str(), &call.path, name.unwrap_or_default()];
    short_digest(parts.map(str::as_bytes))
}

/// Sends a call of `parent` to a backend server, and again to others where that is allowed.
pub(crate) async fn forward(
    shared: &Arc<Shared>,
    parent: &Parent,
    mut call: Call,
    id: CallId,
) -> Result<Answer, Refusal> {
    let begun = parent.chain(|chain| chain.begin(id)).map_err(|e| {
        let refusal = Refusal::not_run(Reason::RetriesSpent, e.to_string());
        refusal.after(shed::Options::default().level_lifetime)
    })?;
    call.context.retry_tokens = begun.tokens;
    shared
        .ratios
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .count_first_try(Instant::now(), retry_key(&call));
    let mut settled = Settled {
        parent,
        child: begun.child,
        end: End::Failed,
        unspent: None,
    };
    let result = tries(shared, parent, &mut call, &mut settled).await;
    if result
        .as_ref()
        .is_ok_and(|answer| !answer.asks_for_repeat())
    {
        settled.end = End::Answered;
    }
    result
}

/// Settles a call with its chain, also when its caller leaves.
struct Settled<'a> {
    parent: &'a Parent,
    child: ChildKey,
    end: End,
    unspent: Option<u32>,
}

impl Drop for Settled<'_> {
    fn drop(&mut self) {
        let settle = (self.child, self.end, self.unspent);
        self.parent
            .chain(|chain| chain.settle(settle.0, settle.1, settle.2));
    }
}

async fn tries(
    shared: &Arc<Shared>,
    parent: &Parent,
    call: &mut Call,
    settled: &mut Settled<'_>,
) -> Result<Answer, Refusal> {
    let mut tried = Vec::new();
    let mut replaces = None;
    let mut lost = 0;
    let mut reached = 0;
    let fingerprint = suspects::fingerprint(call);
    loop {
        shared.suspects.check(Instant::now(), fingerprint)?;
        let target = match choose(shared, call, &tried) {
            Ok(target) => target,
            Err(refusal) if tried.is_empty() => return Err(refusal),
            // Every backend server was tried, so the last of them says how it is.
            Err(_) => choose(shared, call, &[])?,
        };
        let began = Instant::now();
        settled.unspent = None;
        let served = attempt(shared, call, &target, &mut replaces).await;
        settled.unspent = served.unspent;
        if let Some(report) = &served.report {
            let level = report.shed_level;
            parent.note([Below {
                service: call.service.clone(),
                node: target.node.clone(),
                level,
            }]);
        }
        parent.note(served.below);
        let refusal = match served.result {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        tried.push(target.key);
        lost += u32::from(may_have_killed(&refusal));
        reached += u32::from(has_reached_server(&refusal));
        if call.max_servers.is_some_and(|most| reached >= most) {
            return Err(refusal);
        }
        if lost >= MAX_LOST {
            let checked = shared.suspects.check(Instant::now(), fingerprint);
            return checked.and(Err(refusal));
        }
        let others = shared.routes.available(&call.service) > tried.len();
        if others && is_untouched(call, &refusal) {
            // The loan of the try came back whole, so it goes on to the next one.
            record_retry(shared, call, &target, &refusal, Duration::ZERO);
            continue;
        }
        let attempt = Attempt {
            proof: proof(&refusal),
            tries: u32::try_from(tried.len()).unwrap_or(u32::MAX),
            is_non_idempotent: call.context.non_idempotent,
            is_free: !has_reached_server(&refusal),
            unspent: served.unspent,
            remaining: call.deadline.saturating_duration_since(Instant::now()),
            needs: began.elapsed().min(NEAR_ROUND_TRIP),
            not_before: match refusal.retry_after {
                Some(after) if !others => after,
                _ => Duration::ZERO,
            },
        };
        match decide(shared, parent, call, settled.child, &attempt) {
            Decision::Retry { backoff, tokens } => {
                record_retry(shared, call, &target, &refusal, backoff);
                call.context.retry_tokens = tokens;
                tokio::time::sleep(backoff).await;
            }
            Decision::GiveUp(why) => return Err(given_up(shared, call, refusal, why)),
        }
    }
}

/// By what the share of retries is counted: by the service where the route bounds the tries, since
/// it is the service that has to bear them, and else by the workspace that causes them.
fn retry_key(call: &Call) -> Option<&Arc<str>> {
    match call.max_servers {
        Some(_) => Some(&call.service),
        None => call.context.workspace.as_ref(),
    }
}

fn decide(
    shared: &Shared,
    parent: &Parent,
    call: &Call,
    child: ChildKey,
    attempt: &Attempt,
) -> Decision {
    let mut ratios = shared.ratios.lock().unwrap_or_else(PoisonError::into_inner);
    parent.chain(|chain| {
        let budgets = Budgets {
            chain,
            ratios: &mut ratios,
            workspace: retry_key(call),
        };
        let options = retry::Options::default();
        let now = Instant::now();
        retry::decide(now, &options, budgets, child, attempt, &mut rand::rng())
    })
}

fn given_up(shared: &Shared, call: &Call, refusal: Refusal, why: retry::Reason) -> Refusal {
    match why {
        retry::Reason::ChainSpent | retry::Reason::RatioSpent => {
            shared.journal.emit(
                Event::RetriesSpent,
                &[("service", &call.service), ("last", &refusal.reason.word())],
            );
            Refusal {
                reason: Reason::RetriesSpent,
                detail: format!("{}: {}", refusal.reason.word(), refusal.detail),
                ..refusal
            }
        }
        retry::Reason::DoNotResend | retry::Reason::NotIdempotent | retry::Reason::OutOfTime => {
            refusal
        }
    }
}

fn may_have_killed(refusal: &Refusal) -> bool {
    refusal.reason == Reason::BackendLost && refusal.outcome == Outcome::MayHaveRun
}

/// Whether a try may be made elsewhere without a retry being spent: it reached no backend server, and
/// the route bounds how many of them the request is sent to. Each node is asked once at most.
fn is_untouched(call: &Call, refusal: &Refusal) -> bool {
    let is_passing = matches!(
        refusal.reason,
        Reason::Overloaded | Reason::NoBackendServer | Reason::Leaving | Reason::LinkLost
    );
    call.max_servers.is_some() && is_passing && !has_reached_server(refusal)
}

fn record_retry(
    shared: &Shared,
    call: &Call,
    failed: &Target,
    refusal: &Refusal,
    backoff: Duration,
) {
    shared.metrics.count_retry();
    shared.journal.decide(
        Event::CallRetried,
        &[
            ("id", &shared.local.id(call).unwrap_or_default()),
            ("service", &call.service),
            ("failed_at", &failed.node),
            ("reason", &refusal.reason.word()),
            ("detail", &refusal.detail),
            ("backoff_ms", &backoff.as_millis()),
        ],
    );
}

/// Whether a try was sent to a backend server, and not only to its node.
fn has_reached_server(refusal: &Refusal) -> bool {
    refusal.outcome == Outcome::MayHaveRun || refusal.reason == Reason::BackendShed
}

fn proof(refusal: &Refusal) -> Proof {
    let is_final = matches!(
        refusal.reason,
        Reason::KeyWithdrawn
            | Reason::BadRequest
            | Reason::AnswerTooLarge
            | Reason::ClaimUnavailable
            | Reason::Quarantined
            | Reason::Deadline
    );
    match refusal.outcome {
        Outcome::DoNotResend => Proof::DoNotResend,
        _ if is_final => Proof::DoNotResend,
        Outcome::NotRun => Proof::NotRun,
        Outcome::MayHaveRun => Proof::MayHaveRun,
    }
}

fn choose(shared: &Shared, call: &Call, tried: &[BackendKey]) -> Result<Target, Refusal> {
    let now = Instant::now();
    if call.deadline <= now {
        let detail = "the deadline passed before the request was sent on";
        return Err(Refusal::not_run(Reason::Deadline, detail));
    }
    shed_at_once(shared, call, now)?;
    let priority = call.context.priority;
    shared.routes.choose(now, &call.service, priority, tried)
}

/// Refuses what every backend server would shed, here or further down the chain.
pub(crate) fn shed_at_once(shared: &Shared, call: &Call, now: Instant) -> Result<(), Refusal> {
    let mut needed = vec![call.service.clone()];
    needed.extend(shared.needs(&call.service, &call.endpoint));
    let levels = shared.levels.lock().unwrap_or_else(PoisonError::into_inner);
    for service in needed {
        let available = shared.routes.available(&service);
        let req = shed::Request {
            is_deep: call.context.depth > 0,
            priority: call.context.priority,
            available,
            service,
        };
        if let shed::Decision::Refuse { retry_after } = levels.decide(now, &req, &mut rand::rng()) {
            let detail = format!("all backend servers of {} shed such requests", req.service);
            return Err(Refusal::not_run(Reason::Overloaded, detail).after(retry_after));
        }
    }
    Ok(())
}

/// Counts a request as outstanding at a backend server until it ends, also by its caller leaving.
struct Outstanding<'a> {
    shared: &'a Shared,
    service: &'a str,
    key: BackendKey,
    ended: Ended,
    report: Option<LoadReport>,
}

impl Drop for Outstanding<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        let routes = &self.shared.routes;
        routes.finish(now, self.service, self.key, self.ended, self.report);
    }
}

/// One try at one backend server.
async fn attempt(
    shared: &Arc<Shared>,
    call: &mut Call,
    target: &Target,
    replaces: &mut Option<AttemptId>,
) -> Served {
    let service = call.service.clone();
    let mut outstanding = Outstanding {
        shared,
        service: &service,
        key: target.key,
        ended: Ended::Cancelled,
        report: None,
    };
    let guard = match once::begin(shared, call, target, replaces).await {
        Begun::Go(guard) => guard,
        Begun::Over(result) => return Served::unsent(result, call.context.retry_tokens),
    };
    let served = if target.node == shared.settings.name {
        serve::serve(shared, call.clone()).await
    } else {
        send(shared, call, target).await
    };
    let served = once::end(shared, guard, target, replaces, served).await;
    outstanding.report = served.report;
    outstanding.ended = ended(&served);
    if let Some(report) = served.report {
        shared.observe(&call.service, &target.node, report.shed_level);
    }
    for below in &served.below {
        shared.observe(&below.service, &below.node, below.level);
    }
    if served.result.is_ok() {
        let called = served.below.iter().map(|below| below.service.clone());
        shared.learn_needs(&call.service, &call.endpoint, called);
    }
    served
}

fn ended(served: &Served) -> Ended {
    match &served.result {
        Ok(_) => Ended::Answered,
        Err(refusal) => match refusal.reason {
            Reason::Overloaded
            | Reason::BackendShed
            | Reason::NoBackendServer
            | Reason::Leaving => Ended::Refused,
            Reason::LinkLost if refusal.outcome == Outcome::NotRun => Ended::Unreachable,
            Reason::BackendLost | Reason::LinkLost | Reason::AnswerTooLarge => Ended::Failed,
            Reason::Deadline if refusal.outcome == Outcome::MayHaveRun => Ended::Failed,
            _ => Ended::Cancelled,
        },
    }
}

async fn send(shared: &Shared, call: &Call, target: &Target) -> Served {
    match exchange(shared, call, target).await {
        Ok((head, body)) => read_reply(head, body),
        Err(refusal) => Served::lost(refusal),
    }
}

async fn exchange(
    shared: &Shared,
    call: &Call,
    target: &Target,
) -> Result<(ReplyHead, Bytes), Refusal> {
    let endpoint = shared.endpoint();
    let endpoint =
        endpoint.ok_or_else(|| Refusal::not_run(Reason::NotReady, "the links are not up"))?;
    let now = Instant::now();
    let round_trip = if target.data_centre == shared.settings.data_centre {
        NEAR_ROUND_TRIP
    } else {
        FAR_ROUND_TRIP
    };
    let deadline = Deadline::open(now, call.deadline.saturating_duration_since(now));
    let time = deadline
        .for_next_hop(now, round_trip, &deadline::Options::default())
        .map_err(|e| Refusal::not_run(Reason::Deadline, e.to_string()))?;
    let mut head = call.to_wire(time, target.incarnation);
    head.stamp = Some(shared.stamp());
    let req = nutmegwheel_link::Request {
        topic: topic::CALL,
        head: head.encode_to_vec().into(),
        body: call.body.clone(),
    };
    let reply = endpoint.call(target.link, req, call.deadline).await;
    let reply = reply.map_err(|e| link_refusal(&e))?;
    let head = ReplyHead::decode(reply.head).map_err(|e| malformed(&e))?;
    if let Some(stamp) = head.stamp {
        shared.hear(stamp);
    }
    Ok((head, reply.body))
}

fn read_reply(mut head: ReplyHead, body: Bytes) -> Served {
    let report = head.load.take().as_ref().map(serve::report_from_wire);
    let below = std::mem::take(&mut head.below);
    Served {
        unspent: Some(head.retry_tokens),
        report,
        below: below.into_iter().map(below_from_wire).collect(),
        result: read_result(head, body),
    }
}

fn read_result(head: ReplyHead, body: Bytes) -> Result<Answer, Refusal> {
    if let Some(refusal) = head.refusal {
        return Err(Refusal::from_wire(refusal));
    }
    Answer::from_wire(head.status, head.fields, body).map_err(|e| malformed(&e))
}

fn below_from_wire(wire: nutmegwheel_wire::Below) -> Below {
    Below {
        service: wire.service.into(),
        node: wire.node.into(),
        level: wire.shed.as_ref().and_then(|level| level.try_into().ok()),
    }
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
