use std::time::Duration;

use http::StatusCode;
use nutmegwheel_policy::retry::RetrySafety;
use nutmegwheel_types::{RootId, WorkspaceId, plain, plain_copy};
use nutmegwheel_web::Problem;
use nutmegwheel_wire as wire;

/// The retry delay of refusals that set none, jittered by half of it.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $word:literal, $status:ident;)*) => {
        plain_copy! {
            /// Why a request was refused. The words are listed in docs/INTERFACES.md.
            pub enum Reason {
                $($(#[$doc])* $name,)*
            }
        }

        impl Reason {
            /// The stable word that clients match on.
            #[must_use]
            pub fn word(self) -> &'static str {
                match self { $(Self::$name => $word,)* }
            }

            pub(crate) fn status(self) -> StatusCode {
                match self { $(Self::$name => StatusCode::$status,)* }
            }

            pub(crate) fn from_word(word: &str) -> Option<Self> {
                match word { $($word => Some(Self::$name),)* _ => None }
            }
        }
    };
}

reasons! {
    /// The request is malformed.
    BadRequest = "bad-request", BAD_REQUEST;
    /// The route requires a key and the request has none.
    NoKey = "no-key", UNAUTHORIZED;
    /// No workspace has the key.
    UnknownKey = "unknown-key", UNAUTHORIZED;
    /// The key was withdrawn permanently.
    KeyWithdrawn = "key-withdrawn", UNAUTHORIZED;
    /// The configuration has no such service.
    UnknownService = "unknown-service", NOT_FOUND;
    /// The service has no such endpoint.
    UnknownEndpoint = "unknown-endpoint", NOT_FOUND;
    /// No route matches the host and a prefix of the path.
    UnknownRoute = "unknown-route", NOT_FOUND;
    /// The workspace has used up its rate and burst.
    OverRate = "over-rate", TOO_MANY_REQUESTS;
    /// The node cannot decide on requests: it has no configuration, no links or no token server, or
    /// it is fenced.
    NotReady = "not-ready", SERVICE_UNAVAILABLE;
    /// No capacity is left for a request of this priority or deadline.
    Overloaded = "overloaded", SERVICE_UNAVAILABLE;
    /// The backend server itself refused the request without running it.
    BackendShed = "backend-shed", SERVICE_UNAVAILABLE;
    /// No backend server of the service accepts new requests.
    NoBackendServer = "no-backend-server", SERVICE_UNAVAILABLE;
    /// The node is shutting down.
    Leaving = "leaving", SERVICE_UNAVAILABLE;
    /// The retry budget of the request is exhausted, or the retry ratio of its workspace or
    /// service.
    RetriesSpent = "retries-spent", SERVICE_UNAVAILABLE;
    /// The seeds that decide on a claim cannot be reached.
    ClaimUnavailable = "claim-unavailable", SERVICE_UNAVAILABLE;
    /// Another attempt of the request has started and its result is not known.
    InProgress = "in-progress", SERVICE_UNAVAILABLE;
    /// An earlier send of the request ran, and its answer is not available.
    AlreadyRun = "already-run", SERVICE_UNAVAILABLE;
    /// Requests with the same fingerprint crashed backend servers.
    Quarantined = "quarantined", SERVICE_UNAVAILABLE;
    /// The backend server answered with a failure. Logs name it where the request is retried; the
    /// caller gets the answer itself.
    BackendFailed = "backend-failed", SERVICE_UNAVAILABLE;
    /// The connection to the backend server failed or ended before a complete answer.
    BackendLost = "backend-lost", SERVICE_UNAVAILABLE;
    /// The link to the backend server's node failed.
    LinkLost = "link-lost", SERVICE_UNAVAILABLE;
    /// The backend server sent bytes that cannot be attributed to the request, or that do not end
    /// within the maximum size of an answer.
    BadAnswer = "bad-answer", SERVICE_UNAVAILABLE;
    /// The length of the answer exceeds the maximum size.
    AnswerTooLarge = "answer-too-large", SERVICE_UNAVAILABLE;
    /// The deadline passed.
    Deadline = "deadline", GATEWAY_TIMEOUT;
}

plain_copy! {
    /// Whether a refused request ran.
    pub enum Outcome {
        /// The request certainly did not run at any backend server.
        NotRun,
        /// A backend server may have started the request.
        MayHaveRun,
        /// The request must not be sent again.
        DoNotResend,
    }
}

plain! {
    /// A refusal on its way back to the caller.
    pub(crate) struct Refusal {
        pub(crate) reason: Reason,
        pub(crate) outcome: Outcome,
        pub(crate) detail: String,
        pub(crate) retry_after: Option<Duration>,
    }
}

impl Refusal {
    pub(crate) fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self::new(reason, Outcome::NotRun, detail)
    }

    pub(crate) fn may_have_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self::new(reason, Outcome::MayHaveRun, detail)
    }

    pub(crate) fn over_rate(workspace: &WorkspaceId) -> Self {
        let detail = format!("{workspace} has used up its rate and burst");
        Self::not_run(Reason::OverRate, detail)
    }

    pub(crate) fn new(reason: Reason, outcome: Outcome, detail: impl Into<String>) -> Self {
        Self {
            reason,
            outcome,
            detail: detail.into(),
            retry_after: None,
        }
    }

    pub(crate) fn with_retry_after(mut self, time: Duration) -> Self {
        self.retry_after = Some(time);
        self
    }

    /// Adds up to half of `time` as jitter, so that callers refused together do not return
    /// together.
    pub(crate) fn with_jittered_retry_after(self, time: Duration) -> Self {
        self.with_retry_after(time.mul_f64(rand::random_range(1.0..1.5)))
    }
}

impl Refusal {
    /// Whether the request may have crashed the backend server.
    pub(crate) fn may_have_crashed_server(&self) -> bool {
        self.reason == Reason::BackendLost && self.outcome == Outcome::MayHaveRun
    }

    /// Whether the attempt reached a backend server, and not only its node.
    pub(crate) fn has_reached_server(&self) -> bool {
        self.outcome == Outcome::MayHaveRun || self.reason == Reason::BackendShed
    }

    /// Converts the refusal of the last attempt to that of the whole request, given whether any of
    /// its attempts may have run.
    pub(crate) fn of_all_attempts(mut self, may_have_run: bool) -> Self {
        if may_have_run && self.outcome == Outcome::NotRun {
            self.outcome = Outcome::MayHaveRun;
        }
        self
    }

    /// What is known about the attempt, for the decision whether to retry.
    pub(crate) fn retry_safety(&self) -> RetrySafety {
        let is_final = matches!(
            self.reason,
            Reason::KeyWithdrawn
                | Reason::BadRequest
                | Reason::AnswerTooLarge
                | Reason::ClaimUnavailable
                | Reason::Quarantined
                | Reason::Deadline
        );
        match self.outcome {
            Outcome::DoNotResend => RetrySafety::DoNotResend,
            _ if is_final => RetrySafety::DoNotResend,
            Outcome::NotRun => RetrySafety::NotRun,
            Outcome::MayHaveRun => RetrySafety::MayHaveRun,
        }
    }
}

impl Refusal {
    fn is_retryable(&self) -> bool {
        let status = self.reason.status();
        let is_transient = status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS;
        is_transient && self.outcome != Outcome::DoNotResend
    }

    /// The retry delay to send to the caller, if a retry is worthwhile.
    pub(crate) fn retry_after(&self) -> Option<Duration> {
        match self.retry_after {
            None if self.is_retryable() => {
                Some(DEFAULT_RETRY_AFTER.mul_f64(rand::random_range(0.5..1.5)))
            }
            after => after,
        }
    }

    pub(crate) fn into_problem(mut self, root: Option<RootId>) -> Problem {
        self.retry_after = self.retry_after();
        let mut problem = Problem::new(self.reason.status(), self.reason.word(), self.detail);
        problem.outcome = Some(self.outcome.word());
        problem.retry_after = self.retry_after;
        problem.request = root.map(|root| format!("{root:032x}").into());
        problem
    }
}

impl Refusal {
    pub(crate) fn to_wire(&self) -> wire::Refusal {
        let retry_after = self.retry_after.unwrap_or_default();
        wire::Refusal {
            reason: self.reason.word().to_owned(),
            outcome: self.outcome.to_wire().into(),
            detail: self.detail.clone(),
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Reads a refusal that another node sent. If its outcome is missing or unknown, the
    /// request may have run.
    pub(crate) fn from_wire(wire: wire::Refusal) -> Self {
        let retry_after = Duration::from_millis(wire.retry_after_ms);
        Self {
            reason: Reason::from_word(&wire.reason).unwrap_or(Reason::LinkLost),
            outcome: Outcome::from_wire(wire.outcome()),
            detail: wire.detail,
            retry_after: (!retry_after.is_zero()).then_some(retry_after),
        }
    }
}

impl Outcome {
    pub(crate) fn word(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::DoNotResend => "do-not-resend",
        }
    }

    fn to_wire(self) -> wire::Outcome {
        match self {
            Self::NotRun => wire::Outcome::NotRun,
            Self::MayHaveRun => wire::Outcome::MayHaveRun,
            Self::DoNotResend => wire::Outcome::DoNotResend,
        }
    }

    fn from_wire(wire: wire::Outcome) -> Self {
        match wire {
            wire::Outcome::NotRun => Self::NotRun,
            wire::Outcome::DoNotResend => Self::DoNotResend,
            wire::Outcome::MayHaveRun | wire::Outcome::Unspecified => Self::MayHaveRun,
        }
    }
}
