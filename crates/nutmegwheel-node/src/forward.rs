//! Sends a call to a backend server, and again to others where that is allowed.

use std::{
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

use nutmegwheel_events::Event;
use nutmegwheel_policy::{
    retry::{self, Attempt, Budgets, CallEnd, CallId, ChildKey, Decision},
    routing::BackendKey,
    shed,
};

use crate::{
    attempt,
    call::{Answer, Call},
    digest::short_digest,
    refusal::{Outcome, Reason, Refusal},
    routes::Target,
    running::{Below, Parent},
    shared::Shared,
    suspects,
};

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
        .record_first_attempt(Instant::now(), retry_key(&call));
    let mut settled = Settled {
        parent,
        child: begun.child,
        end: CallEnd::Failed,
        unspent: None,
        may_have_run: false,
    };
    let result = tries(shared, parent, &mut call, &mut settled).await;
    if result
        .as_ref()
        .is_ok_and(|answer| !answer.asks_for_repeat())
    {
        settled.end = CallEnd::Answered;
    }
    let may_have_run = settled.may_have_run;
    result.map_err(|refusal| refusal.of_all_tries(may_have_run))
}

/// Settles a call with its chain, also when its caller leaves.
struct Settled<'a> {
    parent: &'a Parent,
    child: ChildKey,
    end: CallEnd,
    unspent: Option<u32>,
    /// Whether a try may have run, whatever the last one says of itself.
    may_have_run: bool,
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
        let served = attempt::attempt(shared, call, &target, &mut replaces).await;
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
        settled.may_have_run |= refusal.outcome == Outcome::MayHaveRun;
        tried.push(target.key);
        lost += u32::from(refusal.may_have_killed());
        reached += u32::from(refusal.has_reached_server());
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
            safety: refusal.proof(),
            attempt_number: u32::try_from(tried.len()).unwrap_or(u32::MAX),
            is_non_idempotent: call.context.non_idempotent,
            is_ratio_exempt: !refusal.has_reached_server(),
            unspent: served.unspent,
            remaining: call.deadline.saturating_duration_since(Instant::now()),
            expected_duration: began.elapsed().min(attempt::NEAR_ROUND_TRIP),
            min_delay: match refusal.retry_after {
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
        retry::Reason::ChainExhausted | retry::Reason::RatioExhausted => {
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

/// Whether a try may be made elsewhere without a retry being spent: it reached no backend server, and
/// the route bounds how many of them the request is sent to. Each node is asked once at most.
fn is_untouched(call: &Call, refusal: &Refusal) -> bool {
    let is_passing = matches!(
        refusal.reason,
        Reason::Overloaded | Reason::NoBackendServer | Reason::Leaving | Reason::LinkLost
    );
    call.max_servers.is_some() && is_passing && !refusal.has_reached_server()
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
            is_nested: call.context.depth > 0,
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
