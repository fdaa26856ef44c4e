use std::time::Duration;

use nutmegwheel_types::{plain, plain_copy};

/// Identifies a call among those of one parent: a hash of its method, path and `Nutmegwheel-Call`.
pub type CallId = u128;

slotmap::new_key_type! {
    /// Identifies one call in flight in a [`ChainBudget`](super::ChainBudget); stale keys are
    /// ignored.
    pub struct ChildKey;
}

plain! {
    /// The backoff between attempts.
    pub struct Options {
        /// The upper bound of the first backoff, which doubles with each attempt. The backoff is
        /// drawn evenly from zero to the bound.
        pub first_backoff: Duration,
        /// The maximum upper bound of a backoff.
        pub max_backoff: Duration,
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            first_backoff: Duration::from_millis(5),
            max_backoff: Duration::from_millis(200),
        }
    }
}

plain_copy! {
    /// A call that has been begun and may be sent.
    pub struct StartedCall {
        /// The key of the call until it is finished.
        pub child: ChildKey,
        /// The tokens lent to it, which go into its context.
        pub tokens: u32,
        /// Whether it repeats a failed call of the same parent, which cost a token.
        pub is_repeat: bool,
    }

    /// How a call ended.
    pub enum CallEnd {
        /// The call was answered. If the parent makes the same call again, it counts as new.
        Answered,
        /// The call was refused or its response was lost. If the parent makes the same call again,
        /// it counts as a repeat.
        Failed,
    }

    /// Whether a failed attempt may be repeated safely.
    pub enum RetrySafety {
        /// The attempt has certainly not run.
        NotRun,
        /// The attempt may have run.
        MayHaveRun,
        /// The call must not be sent again.
        DoNotResend,
    }

    /// A failed attempt of a call.
    pub struct Attempt {
        /// Whether the attempt may be repeated safely.
        pub safety: RetrySafety,
        /// The number of attempts of this call so far, including this one.
        pub attempt_number: u32,
        /// Whether the call may run at most once.
        pub is_non_idempotent: bool,
        /// Whether the retry is exempt from the retry ratio: the attempt reached no backend server,
        /// so another one adds to the load of none.
        pub is_ratio_exempt: bool,
        /// The retry tokens that the response returned, or `None` if the response was lost.
        pub unspent: Option<u32>,
        /// The time left until the call's deadline.
        pub remaining: Duration,
        /// The expected duration of another attempt, including the round trip.
        pub expected_duration: Duration,
        /// The minimum time before another attempt, which would be refused earlier; zero if there
        /// are other backend servers to try.
        pub min_delay: Duration,
    }

    /// Whether a call is retried after a failed attempt.
    pub enum Decision {
        /// The call is retried.
        Retry {
            /// The time to wait before the retry.
            backoff: Duration,
            /// The tokens lent to the next attempt, which go into its context.
            tokens: u32,
        },
        /// The call is not retried, and its caller gets the failure at once.
        Fail(Reason),
    }

    /// The reason why a call is not retried.
    pub enum Reason {
        /// The response forbids a retry.
        DoNotResend,
        /// The call may have run and must not run twice.
        NotIdempotent,
        /// Another attempt could not finish before the deadline.
        OutOfTime,
        /// The retry budget of the chain is exhausted.
        ChainExhausted,
        /// The workspace, or the service by which retries are counted, has reached its retry ratio.
        RatioExhausted,
    }
}
