//! Whether a call is sent again after a failed attempt, and what is recorded of it.

use std::{
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

use nutmegwheel_config::{Dialect, Settings, View};
use nutmegwheel_events::Event;
use nutmegwheel_policy::retry::{self, Attempt, Budgets, ChildKey, Decision, RatioOptions};

use nutmegwheel_types::ClassRank;

use crate::{
    call::Call,
    refusal::{Reason, Refusal},
    routes::Target,
    running::Parent,
    shared::Shared,
};

/// The retries allowed in percent of a service's first attempts, if routes limit the attempts. A
/// retry repeats the downstream calls of its request as well, so the sum over a call chain is
/// higher; deployments allow 20 %.
const SERVICE_RETRIES_PERCENT: u32 = 12;
/// The retries allowed in 10 s in addition to the percentage, over all ingress nodes. Deployments
/// allow 48 or more.
const BASE_SERVICE_RETRIES: u32 = 36;
/// The percentage of the allowed ratio that is used, where settings state it. The rest is for
/// retries that two nodes count in different windows.
const RATIO_USED_PERCENT: u32 = 85;
/// The percentage of the allowed slack that is used, for the same reason.
const SLACK_USED_PERCENT: u32 = 75;
/// The retries of one chain, where settings state a budget. Half of them is lent with each call, so
/// that a call three levels down has an eighth.
const CHAIN_RETRIES: u32 = 64;

/// The parameters of the retry ratio, which applies by service in a platform's dialect and else by
/// workspace.
pub(crate) fn ratio_options(settings: &Settings) -> RatioOptions {
    let defaults = RatioOptions::default();
    match settings.dialect {
        Dialect::Native => defaults,
        Dialect::Platform if let Some(budget) = &settings.retry_budget => RatioOptions {
            percent: budget.ratio_permille * RATIO_USED_PERCENT / 1000,
            base_retries: budget.slack * SLACK_USED_PERCENT / 100,
            window: budget.window,
            min_base_retries_per_node: 0,
            counts_earlier_windows: true,
            is_ordered: true,
            ..defaults
        },
        Dialect::Platform => RatioOptions {
            percent: SERVICE_RETRIES_PERCENT,
            base_retries: BASE_SERVICE_RETRIES,
            // The sum over all ingress nodes is bounded by the deployment.
            min_base_retries_per_node: 0,
            ..defaults
        },
    }
}

/// The retries that a request may cause over its whole call chain.
pub(crate) fn chain_retries(settings: &Settings, view: &View) -> u32 {
    match settings.retry_budget {
        Some(_) => CHAIN_RETRIES,
        None => view.configuration.retries_per_request,
    }
}

/// Whether the call may be sent again to a backend server that it was sent to: it may run more than
/// once, and the last one refused it as not run.
pub(crate) fn may_repeat_at_same(settings: &Settings, call: &Call, refusal: &Refusal) -> bool {
    settings.retry_budget.is_some()
        && !call.context.non_idempotent
        && refusal.reason == Reason::BackendShed
}

/// Counts the first attempt of a call.
pub(crate) fn record_first_attempt(shared: &Shared, call: &Call) {
    let mut retry_ratios = shared
        .retry_ratios
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let (now, key) = (Instant::now(), retry_key(call));
    if call.context.is_repeat && shared.settings.retry_budget.is_some() {
        retry_ratios.record_repeated_call(now, key);
    } else {
        retry_ratios.record_first_attempt(now, key);
    }
}

/// Whether a request that its backend server failed may run on another one: it is idempotent, and
/// its route allows several backend servers.
pub(crate) fn may_run_elsewhere(call: &Call) -> bool {
    !call.context.non_idempotent && call.max_servers.is_some_and(|max| max > 1)
}

/// The key by which retries are counted: the service if the route limits the attempts, since the
/// service bears their load, and else the workspace that causes them.
pub(crate) fn retry_key(call: &Call) -> Option<&Arc<str>> {
    match call.max_servers {
        Some(_) => Some(&call.service),
        None => call.context.workspace.as_ref(),
    }
}

pub(crate) fn decide(
    shared: &Shared,
    parent: &Parent,
    call: &Call,
    child: ChildKey,
    attempt: &Attempt,
) -> Decision {
    let mut retry_ratios = shared
        .retry_ratios
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    parent.with_chain(|chain| {
        let budgets = Budgets {
            chain,
            ratios: &mut retry_ratios,
            workspace: retry_key(call),
            priority: call.context.priority,
        };
        let options = retry::Options::default();
        let now = Instant::now();
        retry::decide(now, &options, budgets, child, attempt, &mut rand::rng())
    })
}

pub(crate) fn final_refusal(
    shared: &Shared,
    call: &Call,
    refusal: Refusal,
    reason: retry::Reason,
) -> Refusal {
    match reason {
        retry::Reason::ChainExhausted | retry::Reason::RatioExhausted => {
            let threshold = threshold(shared, call);
            shared.journal.emit(
                Event::RetriesExhausted,
                &[
                    ("service", &call.service),
                    ("last", &refusal.reason.word()),
                    ("rank", &call.context.priority.rank),
                    ("threshold", &format_args!("{threshold:?}")),
                ],
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

/// The rank and the upper bits of the hash of the least important root whose retries are made now.
fn threshold(shared: &Shared, call: &Call) -> Option<(ClassRank, u16)> {
    let mut retry_ratios = shared
        .retry_ratios
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let threshold = retry_ratios.threshold(Instant::now(), retry_key(call))?;
    Some((threshold.rank, threshold.root_hash >> 12))
}

/// Whether the call may be sent to another node without spending a retry: the attempt reached no
/// backend server, and the route limits the number of servers. Each node is tried at most once.
pub(crate) fn can_redirect(call: &Call, refusal: &Refusal) -> bool {
    let is_transient = matches!(
        refusal.reason,
        Reason::Overloaded | Reason::NoBackendServer | Reason::Leaving | Reason::LinkLost
    );
    call.max_servers.is_some() && is_transient && !refusal.has_reached_server()
}

pub(crate) fn record_retry(
    shared: &Shared,
    call: &Call,
    failed: &Target,
    refusal: &Refusal,
    backoff: Duration,
) {
    shared.metrics.count_retry();
    shared.journal.emit_rate_limited(
        Event::CallRetried,
        &[
            (
                "id",
                &shared.local_backend.request_id(call).unwrap_or_default(),
            ),
            ("service", &call.service),
            ("failed_at", &failed.node),
            ("reason", &refusal.reason.word()),
            ("detail", &refusal.detail),
            ("backoff_ms", &backoff.as_millis()),
        ],
    );
}
