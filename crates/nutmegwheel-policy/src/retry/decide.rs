use std::time::{Duration, Instant};

use nutmegwheel_types::WorkspaceId;
use rand::Rng;

use super::{Attempt, Chain, ChildKey, Decision, Options, Proof, Ratios, Reason};

/// The budgets that a retry is debited from.
#[derive(Debug)]
pub struct Budgets<'a> {
    /// The budget of the chain that the call belongs to.
    pub chain: &'a mut Chain,
    /// The share of retries of the workspaces.
    pub ratios: &'a mut Ratios,
    /// The workspace of the root request.
    pub workspace: Option<&'a WorkspaceId>,
}

/// Decides whether a call is sent again after a try that failed, and debits both budgets if so.
///
/// After [`Decision::GiveUp`] nothing is debited, and the call is still to be
/// [settled](Chain::settle) with what came back.
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
        Err(reason) => Decision::GiveUp(reason),
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
    check_proof(attempt)?;
    let backoff = backoff(options, attempt, rng)?;
    let Budgets {
        chain,
        ratios,
        workspace,
    } = budgets;
    if !attempt.is_free && !ratios.may_retry(now, workspace) {
        return Err(Reason::RatioSpent);
    }
    let tokens = chain
        .retry(child, attempt.unspent)
        .map_err(|_| Reason::ChainSpent)?;
    if !attempt.is_free {
        ratios.take(now, workspace);
    }
    Ok(Decision::Retry { backoff, tokens })
}

fn check_proof(attempt: &Attempt) -> Result<(), Reason> {
    match attempt.proof {
        Proof::DoNotResend => Err(Reason::DoNotResend),
        Proof::MayHaveRun if attempt.is_non_idempotent => Err(Reason::NotIdempotent),
        Proof::MayHaveRun | Proof::NotRun => Ok(()),
    }
}

/// Draws a backoff with full jitter that leaves the time which another try needs.
fn backoff(options: &Options, attempt: &Attempt, rng: &mut impl Rng) -> Result<Duration, Reason> {
    let spare = attempt
        .remaining
        .checked_sub(attempt.needs)
        .ok_or(Reason::OutOfTime)?;
    let spare = spare
        .checked_sub(attempt.not_before)
        .ok_or(Reason::OutOfTime)?;
    if spare.is_zero() {
        return Err(Reason::OutOfTime);
    }
    let doublings = attempt.tries.saturating_sub(1).min(16);
    let longest = options.first_backoff.saturating_mul(1 << doublings);
    let longest = longest.min(options.longest_backoff).min(spare);
    Ok(attempt.not_before + longest.mul_f64(rng.random_range(0.0..1.0)))
}
