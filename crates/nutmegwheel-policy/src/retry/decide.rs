use std::time::{Duration, Instant};

use nutmegwheel_types::{Priority, WorkspaceId};
use rand::Rng;

use super::{Attempt, ChainBudget, ChildKey, Decision, Options, Reason, RetryRatios, RetrySafety};

/// The budgets that a retry is charged to.
#[derive(Debug)]
pub struct Budgets<'a> {
    /// The budget of the call chain.
    pub chain: &'a mut ChainBudget,
    /// The retry ratios of the workspaces.
    pub ratios: &'a mut RetryRatios,
    /// The key by which the ratio counts retries: the workspace of the root request, or the service
    /// if the route limits the attempts.
    pub workspace: Option<&'a WorkspaceId>,
    /// The priority of the root request, by which retries are ordered when few are allowed.
    pub priority: Priority,
}

/// Decides whether a call is retried after a failed attempt, and charges both budgets if so.
///
/// [`Decision::Fail`] charges nothing. The caller must then
/// [finish](ChainBudget::finish) the call with the tokens that came back.
pub fn decide(
    now: Instant,
    options: &Options,
    budgets: Budgets<'_>,
    child: ChildKey,
    attempt: &Attempt,
    rng: &mut impl Rng,
) -> Decision {
    match try_decide(now, options, budgets, child, attempt, rng) {
        Ok(decision) => decision,
        Err(reason) => Decision::Fail(reason),
    }
}

fn try_decide(
    now: Instant,
    options: &Options,
    budgets: Budgets<'_>,
    child: ChildKey,
    attempt: &Attempt,
    rng: &mut impl Rng,
) -> Result<Decision, Reason> {
    check_safety(attempt)?;
    let backoff = backoff(options, attempt, rng)?;
    let Budgets {
        chain,
        ratios,
        workspace,
        priority,
    } = budgets;
    if !attempt.is_ratio_exempt {
        let has_turn = ratios.admits(now, workspace, priority);
        if !has_turn || !ratios.can_retry(now, workspace) {
            return Err(Reason::RatioExhausted);
        }
    }
    let tokens = chain
        .retry(child, attempt.unspent)
        .map_err(|_| Reason::ChainExhausted)?;
    if !attempt.is_ratio_exempt {
        ratios.try_acquire(now, workspace);
    }
    Ok(Decision::Retry { backoff, tokens })
}

fn check_safety(attempt: &Attempt) -> Result<(), Reason> {
    match attempt.safety {
        RetrySafety::DoNotResend => Err(Reason::DoNotResend),
        RetrySafety::MayHaveRun if attempt.is_non_idempotent => Err(Reason::NotIdempotent),
        RetrySafety::MayHaveRun | RetrySafety::NotRun => Ok(()),
    }
}

/// Draws a backoff with full jitter that leaves enough time for another attempt.
fn backoff(options: &Options, attempt: &Attempt, rng: &mut impl Rng) -> Result<Duration, Reason> {
    let slack = attempt
        .remaining
        .checked_sub(attempt.expected_duration)
        .ok_or(Reason::OutOfTime)?;
    let slack = slack
        .checked_sub(attempt.min_delay)
        .ok_or(Reason::OutOfTime)?;
    if slack.is_zero() {
        return Err(Reason::OutOfTime);
    }
    let doublings = attempt.attempt_number.saturating_sub(1).min(16);
    let max_backoff = options.first_backoff.saturating_mul(1 << doublings);
    let max_backoff = max_backoff.min(options.max_backoff).min(slack);
    Ok(attempt.min_delay + max_backoff.mul_f64(rng.random_range(0.0..1.0)))
}
