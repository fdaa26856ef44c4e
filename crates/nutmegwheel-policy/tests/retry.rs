//! The retry budget of a call chain, the retry ratio of a workspace and the decision to retry.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use nutmegwheel_policy::retry::{
    Attempt, Budgets, CallEnd, ChainBudget, Decision, Error, Options, RatioOptions, Reason,
    RetryRatios, RetrySafety, decide,
};
use nutmegwheel_types::{Priority, WorkspaceId};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{Rng, SeedableRng, rngs::StdRng};

const CALL: u128 = 7;
const PRIORITY: Priority = Priority {
    rank: 0,
    over_share: 0,
    root_hash: 0,
};

fn attempt() -> Attempt {
    Attempt {
        safety: RetrySafety::NotRun,
        attempt_number: 1,
        is_non_idempotent: false,
        is_ratio_exempt: false,
        unspent: Some(0),
        remaining: Duration::from_millis(500),
        expected_duration: Duration::from_millis(50),
        min_delay: Duration::ZERO,
    }
}

#[test]
fn retries_only_safe_attempts_within_time_and_budgets() {
    use Reason::{ChainExhausted, DoNotResend, NotIdempotent, OutOfTime, RatioExhausted};
    let may = RetrySafety::MayHaveRun;
    let short = Duration::from_millis(40);
    let late = Duration::from_millis(460);
    let cases = [
        ("not run", attempt(), 3, 1, None),
        (
            "not run, non-idempotent",
            Attempt {
                is_non_idempotent: true,
                ..attempt()
            },
            3,
            1,
            None,
        ),
        (
            "idempotent",
            Attempt {
                safety: may,
                ..attempt()
            },
            3,
            1,
            None,
        ),
        (
            "may have run",
            Attempt {
                safety: may,
                is_non_idempotent: true,
                ..attempt()
            },
            3,
            1,
            Some(NotIdempotent),
        ),
        (
            "do not resend",
            Attempt {
                safety: RetrySafety::DoNotResend,
                ..attempt()
            },
            3,
            1,
            Some(DoNotResend),
        ),
        (
            "not enough time",
            Attempt {
                remaining: short,
                ..attempt()
            },
            3,
            1,
            Some(OutOfTime),
        ),
        (
            "not enough time after the minimum delay",
            Attempt {
                min_delay: late,
                ..attempt()
            },
            3,
            1,
            Some(OutOfTime),
        ),
        ("chain exhausted", attempt(), 0, 1, Some(ChainExhausted)),
        (
            "lost response loses the lent tokens",
            Attempt {
                unspent: None,
                ..attempt()
            },
            1,
            1,
            Some(ChainExhausted),
        ),
        ("ratio exhausted", attempt(), 3, 0, Some(RatioExhausted)),
    ];
    for (name, attempt, tokens, base_retries, expected) in cases {
        check_decision(name, &attempt, tokens, base_retries, expected);
    }
}

#[test]
fn charges_exempt_attempt_to_chain_only() {
    let exempt = Attempt {
        is_ratio_exempt: true,
        ..attempt()
    };
    check_decision("ratio exhausted", &exempt, 3, 0, None);
    check_decision(
        "chain exhausted",
        &exempt,
        0,
        0,
        Some(Reason::ChainExhausted),
    );
}

fn check_decision(
    name: &str,
    attempt: &Attempt,
    tokens: u32,
    base_retries: u32,
    expected: Option<Reason>,
) {
    let now = Instant::now();
    let mut ratios = RetryRatios::open(
        now,
        RatioOptions {
            base_retries,
            min_base_retries_per_node: 0,
            ..RatioOptions::default()
        },
    );
    let mut chain = ChainBudget::open(tokens);
    let child = chain.begin(CALL).unwrap().child;
    let before = chain.available();
    let budgets = Budgets {
        chain: &mut chain,
        ratios: &mut ratios,
        workspace: None,
        priority: PRIORITY,
    };
    let mut rng = StdRng::seed_from_u64(1);
    match decide(now, &Options::default(), budgets, child, attempt, &mut rng) {
        Decision::Retry { backoff, .. } => {
            assert_eq!(expected, None, "{name}");
            assert!(
                backoff + attempt.expected_duration <= attempt.remaining,
                "{name}"
            );
        }
        Decision::Fail(reason) => {
            assert_eq!(expected, Some(reason), "{name}");
            assert_eq!(chain.available(), before, "{name}: no token is taken");
        }
    }
}

// The pattern of two backend servers that crash one after the other: a node with two requests, which
// both were at each of them, needs two retries, and the sixth part of the base is only one.
#[test]
fn each_node_may_retry_its_requests_after_two_crashes() {
    let now = Instant::now();
    let mut ratios = RetryRatios::open(now, RatioOptions::default());
    ratios.set_nodes(6);
    for _ in 0..2 {
        ratios.record_first_attempt(now, None);
    }
    assert!(ratios.try_acquire(now, None));
    assert!(ratios.try_acquire(now, None));
    assert!(!ratios.try_acquire(now, None), "the ratio still holds");
}

#[test]
fn calls_split_and_return_tokens() {
    let mut chain = ChainBudget::open(3);
    let (first, second) = (chain.begin(1).unwrap(), chain.begin(2).unwrap());
    assert_eq!((first.tokens, second.tokens, chain.available()), (2, 1, 0));
    chain.finish(first.child, CallEnd::Answered, Some(9));
    assert_eq!(
        chain.available(),
        2,
        "no more than the lent tokens come back"
    );
    chain.finish(first.child, CallEnd::Answered, Some(2));
    assert_eq!(chain.available(), 2, "finishing again has no effect");
    chain.finish(second.child, CallEnd::Failed, None);
    assert_eq!(chain.close(), 2, "the tokens of a lost response are lost");
}

#[test]
fn repeat_costs_token() {
    let mut chain = ChainBudget::open(1);
    let first = chain.begin(CALL).unwrap();
    chain.finish(first.child, CallEnd::Failed, Some(first.tokens));
    let repeat = chain.begin(CALL).unwrap();
    assert!(repeat.is_repeat);
    chain.finish(repeat.child, CallEnd::Failed, Some(repeat.tokens));
    assert_eq!(chain.begin(CALL), Err(Error::Exhausted));
    let other = chain.begin(CALL + 1).unwrap();
    assert!(!other.is_repeat);
    chain.finish(other.child, CallEnd::Answered, Some(0));
    assert!(
        !chain.begin(CALL + 1).unwrap().is_repeat,
        "an answered call may be made again"
    );
}

#[test]
fn bounds_calls_in_flight_and_failures() {
    let mut chain = ChainBudget::open(0);
    let begun: Vec<_> = (0..256).map(|call| chain.begin(call).unwrap()).collect();
    assert_eq!(
        chain.begin(256),
        Err(Error::TooManyCalls { under_way: 256 })
    );
    for call in begun {
        chain.finish(call.child, CallEnd::Failed, None);
    }
    assert_eq!(
        chain.begin(999),
        Err(Error::Exhausted),
        "at the bound each call counts as a repeat"
    );
}

#[test]
fn ratio_limits_retries_per_workspace() {
    let start = Instant::now();
    let mut ratios = RetryRatios::open(
        start,
        RatioOptions {
            base_retries: 2,
            min_base_retries_per_node: 0,
            ..RatioOptions::default()
        },
    );
    let (quiet_workspace, retrying_workspace): (WorkspaceId, WorkspaceId) =
        (Arc::from("quiet"), Arc::from("retrying"));
    for _ in 0..100 {
        ratios.record_first_attempt(start, Some(&retrying_workspace));
    }
    let taken = (0..100)
        .filter(|_| ratios.try_acquire(start, Some(&retrying_workspace)))
        .count();
    assert_eq!(taken, 12, "10 % of 100 and the base of 2");
    assert!(
        ratios.try_acquire(start, Some(&quiet_workspace)),
        "another workspace is not affected"
    );
    let later = start + Duration::from_secs(11);
    assert!(
        ratios.try_acquire(later, Some(&retrying_workspace)),
        "the window has moved on"
    );
}

/// Runs a random call tree in which responses are lost and backend servers repeat calls. Returns
/// the retries of the whole tree and the tokens that come back.
fn run_tree(tokens: u32, depth: u8, rng: &mut StdRng) -> (u32, u32) {
    let mut chain = ChainBudget::open(tokens);
    let mut retries = 0;
    for call in 0..rng.random_range(0..3_u128) {
        let mut repeats = 0;
        while repeats < 4 && rng.random_bool(0.5) {
            repeats += 1;
            retries += run_call(&mut chain, call, depth, rng);
        }
    }
    (retries, chain.close())
}

fn run_call(chain: &mut ChainBudget, call: u128, depth: u8, rng: &mut StdRng) -> u32 {
    let Ok(begun) = chain.begin(call) else {
        return 0;
    };
    let mut retries = u32::from(begun.is_repeat);
    let mut tokens = begun.tokens;
    loop {
        let (nested_retries, returned) = if depth == 0 {
            (0, tokens)
        } else {
            run_tree(tokens, depth - 1, rng)
        };
        retries += nested_retries;
        let unspent = rng.random_bool(0.7).then_some(returned);
        if rng.random_bool(0.4) {
            chain.finish(begun.child, CallEnd::Answered, unspent);
            return retries;
        }
        let Ok(loan) = chain.retry(begun.child, unspent) else {
            chain.finish(begun.child, CallEnd::Failed, unspent);
            return retries;
        };
        (tokens, retries) = (loan, retries + 1);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), failure_persistence: None, cases: 256, ..ProptestConfig::default() })]

    #[test]
    fn call_tree_stays_within_retry_budget(seed: u64, tokens in 0..=16_u32, depth in 0..=11_u8) {
        let (retries, returned) = run_tree(tokens, depth, &mut StdRng::seed_from_u64(seed));
        prop_assert!(retries + returned <= tokens);
    }
}

#[test]
fn depends_on_calls_in_flight_or_failed() {
    let mut chain = ChainBudget::open(3);
    assert!(!chain.depends_on_calls());
    let first = chain.begin(1).unwrap();
    assert!(chain.depends_on_calls(), "the call is in flight");
    chain.finish(first.child, CallEnd::Answered, Some(first.tokens));
    assert!(!chain.depends_on_calls());
    let second = chain.begin(2).unwrap();
    chain.finish(second.child, CallEnd::Failed, Some(second.tokens));
    assert!(chain.depends_on_calls(), "the call failed");
    let repeat = chain.begin(2).unwrap();
    chain.finish(repeat.child, CallEnd::Answered, Some(repeat.tokens));
    assert!(
        chain.depends_on_calls(),
        "a repeat does not undo the failure"
    );
}
