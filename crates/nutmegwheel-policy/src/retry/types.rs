use std::time::Duration;

use nutmegwheel_types::{plain, plain_copy};

/// Names a call among those of one parent: a hash of its method, path and `Nutmegwheel-Call`.
pub type CallId = u128;

slotmap::new_key_type! {
    /// Names one call under way in a [`ChainBudget`](super::ChainBudget); stale keys are ignored.
    pub struct ChildKey;
}

plain! {
    /// When a retry is worth its token.
    pub struct Options {
        /// The mean of the first backoff is half of this; each further one doubles.
        pub first_backoff: Duration,
        /// The longest backoff.
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
    /// A call that may be sent.
    pub struct StartedCall {
        /// Its name until it is settled.
        pub child: ChildKey,
        /// The tokens lent to it, to be put into its context.
        pub tokens: u32,
        /// Whether it repeats a failed call of the same parent, for which a token was debited.
        pub is_repeat: bool,
    }

    /// How a call ended.
    pub enum CallEnd {
        /// It was answered; the same call again is a new one.
        Answered,
        /// It was refused, or its answer was lost; the same call again is a repeat.
        Failed,
    }

    /// What is proved of a try that failed.
    pub enum RetrySafety {
        /// It did not run.
        NotRun,
        /// It may have run.
        MayHaveRun,
        /// It must not be sent again.
        DoNotResend,
    }

    /// A try that failed.
    pub struct Attempt {
        /// What is proved of it.
        pub safety: RetrySafety,
        /// The tries of this call so far, this one included.
        pub attempt_number: u32,
        /// Whether the call may run at most once.
        pub is_non_idempotent: bool,
        /// Whether it never reached a backend server, so that another try adds to nobody's load.
        pub is_ratio_exempt: bool,
        /// The tokens that came back with its answer, or `None` when the answer was lost.
        pub unspent: Option<u32>,
        /// The time left until the call's deadline.
        pub remaining: Duration,
        /// The time that another try likely needs, both ways included.
        pub expected_duration: Duration,
        /// The time before which another try would be refused; zero when there are other backend
        /// servers to try.
        pub min_delay: Duration,
    }

    /// What becomes of a call after a try that failed.
    pub enum Decision {
        /// It is sent again.
        Retry {
            /// The time to wait before.
            backoff: Duration,
            /// The tokens lent to the next try, to be put into its context.
            tokens: u32,
        },
        /// The caller gets the final answer at once.
        GiveUp(Reason),
    }

    /// Why a call is not sent again.
    pub enum Reason {
        /// The answer forbids it.
        DoNotResend,
        /// It may have run and may run at most once.
        NotIdempotent,
        /// Another try cannot finish in time.
        OutOfTime,
        /// The retry budget of the chain is spent.
        ChainExhausted,
        /// The workspace's retries have reached their share of its first tries.
        RatioExhausted,
    }
}
