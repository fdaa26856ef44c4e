//! Whether a call is sent again after a failed attempt, and what is recorded of it.

use std::{
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

use nutmegwheel_config::{Dialect, Settings};
use nutmegwheel_events::Event;
use nutmegwheel_policy::retry::{self, Attempt, Budgets, ChildKey, Decision, RatioOptions};

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

/// The parameters of the retry ratio, which applies by service in a platform's dialect and else by
/// workspace.
pub(crate) fn ratio_options(settings: &Settings) -> RatioOptions {
    let defaults = RatioOptions::default();
    match settings.dialect {
        Dialect::Native => defaults,
        Dialect::Platform => RatioOptions {
            percent: SERVICE_RETRIES_PERCENT,
            base_retries: BASE_SERVICE_RETRIES,
            // The sum over all ingress nodes is bounded by the deployment.
            min_base_retries_per_node: 0,
            ..defaults
        },
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
            shared.journal.emit(
                Event::RetriesExhausted,
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
