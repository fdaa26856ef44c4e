//! Sends a call to a backend server, and retries it on others where that is allowed.

use std::{
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

use nutmegwheel_policy::{
    retry::{Attempt, CallEnd, CallId, ChildKey, Decision},
    routing::BackendKey,
    shed,
};

use crate::{
    attempt,
    call::{Answer, Call},
    digest::short_digest,
    quarantine,
    refusal::{Outcome, Reason, Refusal},
    retries,
    routes::Target,
    running::{DownstreamServer, Parent},
    shared::Shared,
};

/// The number of aborted attempts after which a request fails, even if no crash was reported for
/// them.
const MAX_ABORTED_ATTEMPTS: u32 = 2;

/// Identifies a call among the calls of its parent.
pub(crate) fn call_id(call: &Call, name: Option<&str>) -> CallId {
    let parts = [call.method.as_str(), &call.path, name.unwrap_or_default()];
    short_digest(parts.map(str::as_bytes))
}

/// Sends a call of `parent` to a backend server, and retries it on others where that is allowed.
pub(crate) async fn forward(
    shared: &Arc<Shared>,
    parent: &Parent,
    mut call: Call,
    id: CallId,
) -> Result<Answer, Refusal> {
    let started = parent.with_chain(|chain| chain.begin(id)).map_err(|e| {
        let refusal = Refusal::not_run(Reason::RetriesSpent, e.to_string());
        refusal.with_retry_after(shed::Options::default().level_lifetime)
    })?;
    call.context.retry_tokens = started.tokens;
    retries::record_first_attempt(shared, &call);
    let mut open_call = FinishOnDrop {
        parent,
        child: started.child,
        end: CallEnd::Failed,
        unspent: None,
        may_have_run: false,
    };
    let _waiting = parent.begin_call(Instant::now());
    let mut failure = None;
    let result = run_attempts(shared, parent, &mut call, &mut open_call, &mut failure).await;
    // The failure that a backend server answered with tells the caller more than the reason why no
    // other one served the request.
    let result = result.or_else(|refusal| failure.ok_or(refusal));
    if result.as_ref().is_ok_and(|answer| !answer.prompts_resend()) {
        open_call.end = CallEnd::Answered;
    }
    let may_have_run = open_call.may_have_run;
    result.map_err(|refusal| refusal.of_all_attempts(may_have_run))
}

/// Finishes a call in its chain's retry budget when dropped, also if the caller disconnects.
struct FinishOnDrop<'a> {
    parent: &'a Parent,
    child: ChildKey,
    end: CallEnd,
    unspent: Option<u32>,
    /// Whether any attempt may have run, not only the last one.
    may_have_run: bool,
}

impl Drop for FinishOnDrop<'_> {
    fn drop(&mut self) {
        let finish = (self.child, self.end, self.unspent);
        self.parent
            .with_chain(|chain| chain.finish(finish.0, finish.1, finish.2));
    }
}

/// Sends a call until an attempt succeeds or no further one is allowed. An answer after which
/// another attempt was made is left in `failure`.
async fn run_attempts(
    shared: &Arc<Shared>,
    parent: &Parent,
    call: &mut Call,
    open_call: &mut FinishOnDrop<'_>,
    failure: &mut Option<Answer>,
) -> Result<Answer, Refusal> {
    let mut tried = Vec::new();
    let mut replaces = None;
    let mut aborted = 0;
    let mut reached: Vec<BackendKey> = Vec::new();
    let mut reached_attempts = 0;
    let mut repeats_at_same = false;
    let fingerprint = quarantine::fingerprint(call);
    loop {
        shared.quarantine.check(Instant::now(), fingerprint)?;
        let chosen = if repeats_at_same {
            choose_again(shared, call, &reached)
        } else {
            choose(shared, call, &tried)
        };
        let target = match chosen {
            Ok(target) => target,
            // The route allows no backend server that the call was not sent to.
            Err(refusal) if tried.is_empty() || repeats_at_same => return Err(refusal),
            // All backend servers were tried: choose among them again, or return why none is left.
            Err(_) => choose(shared, call, &[])?,
        };
        let began = Instant::now();
        open_call.unspent = None;
        let served = attempt::attempt(shared, call, &target, &mut replaces).await;
        open_call.unspent = served.unspent;
        if let Some(report) = &served.report {
            let level = report.shed_level;
            parent.record_downstream([DownstreamServer {
                service: call.service.clone(),
                node: target.node.clone(),
                level,
            }]);
        }
        parent.record_downstream(served.downstream);
        let refusal = match served.result {
            Ok(answer) if served.has_failed_alone && retries::may_run_elsewhere(call) => {
                let detail = format!("the backend server answered with {}", answer.status);
                *failure = Some(answer);
                Refusal::may_have_run(Reason::BackendFailed, detail)
            }
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        open_call.may_have_run |= refusal.outcome == Outcome::MayHaveRun;
        tried.push(target.key);
        aborted += u32::from(refusal.may_have_crashed_server());
        if refusal.has_reached_server() {
            call.context.is_repeat = shared.settings.retry_budget.is_some();
            reached_attempts += 1;
            if !reached.contains(&target.key) {
                reached.push(target.key);
            }
        }
        let max = call.max_servers.and_then(|max| usize::try_from(max).ok());
        let max = max.unwrap_or(usize::MAX);
        repeats_at_same =
            reached.len() >= max && retries::may_repeat_at_same(&shared.settings, call, &refusal);
        if reached_attempts >= max && !retries::may_repeat_at_same(&shared.settings, call, &refusal)
        {
            return Err(refusal);
        }
        if aborted >= MAX_ABORTED_ATTEMPTS {
            let checked = shared.quarantine.check(Instant::now(), fingerprint);
            return checked.and(Err(refusal));
        }
        let has_untried = !repeats_at_same && shared.routes.has_untried(&call.service, &tried);
        if has_untried && retries::can_redirect(call, &refusal) {
            // The attempt returned all retry tokens lent to it, so the next one gets the same
            // number.
            retries::record_retry(shared, call, &target, &refusal, Duration::ZERO);
            continue;
        }
        if refusal.reason == Reason::BackendFailed && !has_untried {
            return Err(refusal);
        }
        let attempt = Attempt {
            safety: refusal.retry_safety(),
            attempt_number: u32::try_from(tried.len()).unwrap_or(u32::MAX),
            is_non_idempotent: call.context.non_idempotent,
            is_ratio_exempt: !refusal.has_reached_server(),
            unspent: served.unspent,
            remaining: call.deadline.saturating_duration_since(Instant::now()),
            expected_duration: match refusal.reason {
                Reason::BackendFailed => began.elapsed(),
                _ => began.elapsed().min(attempt::LOCAL_ROUND_TRIP),
            },
            min_delay: match refusal.retry_after {
                Some(after) if !has_untried => after,
                _ => Duration::ZERO,
            },
        };
        match retries::decide(shared, parent, call, open_call.child, &attempt) {
            Decision::Retry { backoff, tokens } => {
                retries::record_retry(shared, call, &target, &refusal, backoff);
                call.context.retry_tokens = tokens;
                tokio::time::sleep(backoff).await;
            }
            Decision::Fail(reason) => {
                return Err(retries::final_refusal(shared, call, refusal, reason));
            }
        }
    }
}

fn choose(shared: &Shared, call: &Call, tried: &[BackendKey]) -> Result<Target, Refusal> {
    let now = Instant::now();
    if call.deadline <= now {
        let detail = "the deadline passed before the request was sent on";
        return Err(Refusal::not_run(Reason::Deadline, detail));
    }
    check_shed_levels(shared, call, now)?;
    let priority = call.context.priority;
    let (service, endpoint) = (&call.service, &call.endpoint);
    shared
        .routes
        .choose(now, service, endpoint, priority, tried)
}

/// Chooses among the backend servers that the call was sent to, as [`choose`] does among all.
fn choose_again(shared: &Shared, call: &Call, reached: &[BackendKey]) -> Result<Target, Refusal> {
    let now = Instant::now();
    if call.deadline <= now {
        let detail = "the deadline passed before the request was sent on";
        return Err(Refusal::not_run(Reason::Deadline, detail));
    }
    check_shed_levels(shared, call, now)?;
    shared.routes.choose_among(now, call, reached)
}

/// Refuses a request that all backend servers of its service, or of a service further down its
/// chain, would shed.
pub(crate) fn check_shed_levels(shared: &Shared, call: &Call, now: Instant) -> Result<(), Refusal> {
    let mut services = vec![call.service.clone()];
    services.extend(shared.dependencies(&call.service, &call.endpoint));
    let shed_levels = shared
        .shed_levels
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    for service in services {
        let available = shared.routes.available(&service);
        let req = shed::Request {
            is_nested: call.context.depth > 0,
            priority: call.context.priority,
            available,
            service,
        };
        if let shed::Decision::Refuse { retry_after } =
            shed_levels.decide(now, &req, &mut rand::rng())
        {
            let detail = format!("all backend servers of {} shed such requests", req.service);
            return Err(Refusal::not_run(Reason::Overloaded, detail).with_retry_after(retry_after));
        }
    }
    Ok(())
}
