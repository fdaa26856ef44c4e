//! The HTTP interface for operators and the platform; docs/INTERFACES.md, "Operators" and
//! "Platform".

use std::{sync::Arc, time::Duration};

use http::{Method, StatusCode, request::Parts};
use nutmegwheel_config::Change;
use nutmegwheel_events::{Event, Journal};
use nutmegwheel_seeds::SeedService;
use nutmegwheel_spread::WithdrawalState;
use nutmegwheel_types::{DataCentreId, KeyHash, hex};
use nutmegwheel_web::{
    Handler, HandlerFuture, Problem, Request, Response, authorize, json, with_content_type,
};
use serde_json::{Value, json as value};

use crate::{
    dialect::{Dialect, Operation, Outcome, Publication},
    evacuations::OrderError,
    log::{Log as _, LogError, ReplicatedLog},
    members::Members,
    metrics::Metrics,
    state::{ChangeNumber, Command, CommandOutcome, CommittedChange},
};

/// The maximum number of a change, which is the greatest integer that every JSON parser keeps
/// exact.
const MAX_CHANGE_NUMBER: ChangeNumber = 1 << 53;

const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The time limit for a read to reach a quorum.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// The delay before a read is retried, for example during a leader election.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Handles the HTTP requests of operators and the platform on a control VM.
#[derive(Clone)]
pub(crate) struct Operators {
    pub(crate) log: Arc<ReplicatedLog>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) members: Arc<Members>,
    pub(crate) journal: Arc<Journal>,
    pub(crate) seed_service: Option<Arc<SeedService>>,
    /// The data centres that the settings name, and that of this process.
    pub(crate) data_centres: Arc<[DataCentreId]>,
    /// The secret that operators present. Without it, all requests below `/v1` are refused.
    pub(crate) secret: Option<Arc<str>>,
    /// The operators' interface of the platform, in addition to the routes below `/v1`.
    pub(crate) dialect: Option<Arc<dyn Dialect>>,
}

impl Handler for Operators {
    fn handle(&self, req: Request) -> HandlerFuture {
        let this = self.clone();
        Box::pin(async move {
            if let Some(dialect) = &this.dialect
                && let Some(operation) = dialect.read_operation(&req)
            {
                return dialect.answer(this.run_operation(operation).await);
            }
            let result = this.answer(req).await;
            result.unwrap_or_else(Problem::into_response)
        })
    }
}

impl Operators {
    async fn answer(&self, req: Request) -> Result<Response, Problem> {
        let path = req.head.uri.path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (&req.head.method, segments.as_slice()) {
            (&Method::GET, ["livez"]) => Ok(json(StatusCode::OK, &value!({"ok": true}))),
            (&Method::GET, ["readyz"]) => self.readiness().await,
            (&Method::GET, ["metrics"]) => {
                let text = self.metrics.encode_text(&self.log, &self.members.gossip);
                Ok(with_content_type(StatusCode::OK, OPEN_METRICS, text))
            }
            (method, ["v1", rest @ ..]) => {
                authorize(&req.head, self.secret.as_deref())?;
                self.answer_operator(method, rest, &req).await
            }
            _ => Err(unknown_route()),
        }
    }

    /// Answers whether this control VM is ready: it has applied all committed entries, which needs
    /// a quorum, and its seed has recovered. A rolling restart may then stop the next control VM.
    async fn readiness(&self) -> Result<Response, Problem> {
        if self
            .seed_service
            .as_ref()
            .is_some_and(|service| !service.is_ready())
        {
            return Err(Problem::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "not-ready",
                "the seed still learns what it may have forgotten",
            ));
        }
        match self.log.catch_up().await {
            Ok(()) => Ok(json(StatusCode::OK, &value!({"ok": true}))),
            Err(e) => Err(Problem::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "not-ready",
                e.to_string(),
            )),
        }
    }

    async fn answer_operator(
        &self,
        method: &Method,
        route: &[&str],
        req: &Request,
    ) -> Result<Response, Problem> {
        match (method, route) {
            (&Method::PUT, ["changes", number]) => self.change(number, &req.body).await,
            (&Method::GET, ["changes", number]) => {
                self.catch_up().await?;
                self.committed_change(number)
            }
            (&Method::GET, ["configuration"]) => {
                self.catch_up().await?;
                self.configuration()
            }
            (&Method::PUT, ["withdrawals", hash]) => self.withdraw(parse_hash(hash)?).await,
            (&Method::GET, ["withdrawals", hash]) => self.withdrawal(parse_hash(hash)?),
            (method, ["evacuations"]) => self.answer_evacuation(method, None).await,
            (method, ["evacuations", name]) => self.answer_evacuation(method, Some(name)).await,
            (&Method::GET, ["status"]) => Ok(self.status()),
            (&Method::GET, ["events"]) => Ok(self.events(&req.head)),
            _ => Err(unknown_route()),
        }
    }
}

impl Operators {
    async fn change(&self, number: &str, body: &[u8]) -> Result<Response, Problem> {
        let number = parse_number(number)?;
        let text = std::str::from_utf8(body).map_err(|_| Problem::bad_request("not UTF-8"))?;
        let change = Change::parse(text).map_err(|e| {
            let detail = format!("line {}: {}", e.line, e.detail);
            bad_configuration(&e.field, detail)
        })?;
        let content = change.to_json();
        let outcome = self.commit(Command::Change { number, content }).await?;
        self.journal_outcome(number, &outcome);
        outcome_to_response(number, outcome)
    }

    async fn commit(&self, command: Command) -> Result<CommandOutcome, Problem> {
        self.log.commit(command).await.map_err(|e| not_certain(&e))
    }

    /// Waits until this replica has applied every entry that was committed before the request. A
    /// read fails otherwise, because a partitioned control VM must not show an old configuration as
    /// current.
    pub(crate) async fn catch_up(&self) -> Result<(), Problem> {
        let end = tokio::time::Instant::now() + READ_TIMEOUT;
        loop {
            match self.log.catch_up().await {
                Ok(()) => return Ok(()),
                Err(e) if tokio::time::Instant::now() >= end => return Err(not_certain(&e)),
                Err(_) => tokio::time::sleep(READ_RETRY_INTERVAL).await,
            }
        }
    }

    fn journal_outcome(&self, number: ChangeNumber, outcome: &CommandOutcome) {
        let event = match outcome {
            CommandOutcome::Committed { first: false, .. } => return,
            CommandOutcome::Committed { .. } => Event::ChangeCommitted,
            _ => Event::ChangeRefused,
        };
        let outcome = serde_json::to_string(outcome).unwrap_or_default();
        self.journal
            .emit(event, &[("number", &number), ("verdict", &outcome)]);
    }

    fn committed_change(&self, number: &str) -> Result<Response, Problem> {
        let number = parse_number(number)?;
        match self.log.committed_change(number) {
            Some(committed) => Ok(json(StatusCode::OK, &change_document(number, &committed))),
            None => Err(Problem::new(
                StatusCode::NOT_FOUND,
                "unknown-change",
                "this number was never committed, or too long ago to be remembered",
            )),
        }
    }

    fn configuration(&self) -> Result<Response, Problem> {
        let view = self.log.view();
        let configuration = serde_json::to_value(&view.configuration).map_err(|e| {
            Problem::new(StatusCode::SERVICE_UNAVAILABLE, "internal", e.to_string())
        })?;
        let document = value!({
            "version": view.version,
            "last_change": self.log.last_change(),
            "configuration": configuration,
        });
        Ok(json(StatusCode::OK, &document))
    }
}

impl Operators {
    async fn run_operation(&self, operation: Operation) -> Outcome {
        match operation {
            Operation::InvalidPublication { detail } => {
                self.journal
                    .emit(Event::ChangeRefused, &[("detail", &detail)]);
                Outcome::Invalid { detail }
            }
            Operation::Publish(publication) => self.publish(publication).await,
            Operation::Order(order) => match self.order(&order).await {
                Ok(()) => Outcome::Ordered(order),
                Err(OrderError::UnknownDataCentre { detail }) => Outcome::Invalid { detail },
                Err(OrderError::NotCertain { detail }) => Outcome::NotCertain { detail },
            },
            Operation::Show => match self.log.catch_up().await {
                Ok(()) => Outcome::Shown(self.log.published()),
                Err(e) => Outcome::NotCertain {
                    detail: e.to_string(),
                },
            },
        }
    }

    async fn publish(&self, publication: Publication) -> Outcome {
        let version = publication.version;
        let command = Command::Publish {
            version,
            base: publication.base,
            content: publication.configuration.to_json(),
            document: publication.document,
        };
        let outcome = match self.log.commit(command).await {
            Ok(outcome) => outcome,
            Err(e) => {
                let detail = e.to_string();
                self.journal.emit(
                    Event::ChangeOutcomeUnknown,
                    &[("number", &version), ("error", &detail)],
                );
                return Outcome::NotCertain { detail };
            }
        };
        self.journal_outcome(version, &outcome);
        match outcome {
            CommandOutcome::Committed { .. } => Outcome::Published { version },
            CommandOutcome::OtherBase { current } => Outcome::OtherBase { current },
            CommandOutcome::VersionTooLow { current } => Outcome::Invalid {
                detail: format!("version {version} is not above {current}"),
            },
            CommandOutcome::Refused { field, detail } => Outcome::Invalid {
                detail: format!("{field}: {detail}"),
            },
            other => Outcome::NotCertain {
                detail: format!("unexpected verdict {other:?}"),
            },
        }
    }
}

impl Operators {
    async fn withdraw(&self, hash: KeyHash) -> Result<Response, Problem> {
        self.members.withdraw(hash, false);
        let command = Command::Withdraw {
            hash: hex::encode(&hash),
        };
        // Without a quorum, the withdrawal still spreads by gossip, and the answer says `pending`.
        if self.log.commit(command).await.is_ok() {
            self.members.withdraw(hash, true);
        }
        self.withdrawal(hash)
    }

    fn withdrawal(&self, hash: KeyHash) -> Result<Response, Problem> {
        let is_committed = self.log.view().withdrawn.contains(&hash);
        if is_committed && self.members.gossip.withdrawal(&hash) == WithdrawalState::Unknown {
            // Another process or an earlier incarnation of this one accepted the withdrawal. This
            // process tracks the confirmations from now on.
            self.members.withdraw(hash, true);
        }
        withdrawal_to_response(&self.members.gossip.withdrawal(&hash))
    }
}

impl Operators {
    fn status(&self) -> Response {
        let view = self.log.view();
        let document = value!({
            "version": view.version,
            "last_change": self.log.last_change(),
            "evacuated": view.evacuated,
            "log": self.log.status(),
        });
        json(StatusCode::OK, &document)
    }

    fn events(&self, head: &Parts) -> Response {
        nutmegwheel_web::events(&self.journal, head)
    }
}

fn withdrawal_to_response(state: &WithdrawalState) -> Result<Response, Problem> {
    let document = match state {
        WithdrawalState::InForce => value!({"state": "in-force"}),
        WithdrawalState::Pending { waiting_for, .. } => {
            value!({"state": "pending", "waiting_for": waiting_for})
        }
        WithdrawalState::Unknown => {
            let detail = "this key was never withdrawn";
            let status = StatusCode::NOT_FOUND;
            return Err(Problem::new(status, "not-withdrawn", detail));
        }
    };
    Ok(json(StatusCode::OK, &document))
}

fn parse_number(text: &str) -> Result<ChangeNumber, Problem> {
    let number = text.parse().ok();
    number
        .filter(|n| (1..=MAX_CHANGE_NUMBER).contains(n))
        .ok_or_else(|| Problem::bad_request(format!("{text:?} is not a number from 1 to 2^53")))
}

fn parse_hash(text: &str) -> Result<KeyHash, Problem> {
    hex::decode(text).ok_or_else(|| Problem::bad_request(format!("{text:?} is not 64 hex digits")))
}

pub(crate) fn unknown_route() -> Problem {
    Problem::new(
        StatusCode::NOT_FOUND,
        "unknown-route",
        "see docs/INTERFACES.md",
    )
}

fn bad_configuration(field: &str, detail: String) -> Problem {
    let mut problem = Problem::new(StatusCode::BAD_REQUEST, "bad-configuration", detail);
    problem.field = Some(field.into());
    problem
}

fn not_certain(e: &LogError) -> Problem {
    Problem::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "not-certain",
        e.to_string(),
    )
}

fn change_document(number: ChangeNumber, committed: &CommittedChange) -> Value {
    value!({
        "number": number,
        "version": committed.version,
        "state": "committed",
        "kind": committed.kind,
        "content": committed.content,
    })
}

fn outcome_to_response(number: ChangeNumber, outcome: CommandOutcome) -> Result<Response, Problem> {
    let reject = |reason, document: Value| {
        let mut document = document;
        document["reason"] = reason;
        Ok(json(StatusCode::CONFLICT, &document))
    };
    match outcome {
        CommandOutcome::Committed { version, first } => {
            let document = value!({"number": number, "version": version, "state": "committed", "first": first});
            Ok(json(StatusCode::OK, &document))
        }
        CommandOutcome::NumberTaken { winner } => reject(
            "number-taken".into(),
            value!({"number": number, "winner": change_document(number, &winner)}),
        ),
        CommandOutcome::NumberTooLow { last_change } => reject(
            "number-too-low".into(),
            value!({"number": number, "last_change": last_change}),
        ),
        CommandOutcome::FirstStart { .. }
        | CommandOutcome::Shares { .. }
        | CommandOutcome::OtherBase { .. }
        | CommandOutcome::VersionTooLow { .. } => Err(unknown_route()),
        CommandOutcome::KeyTaken => reject("key-taken".into(), value!({"number": number})),
        CommandOutcome::KeyWithdrawn => reject("key-withdrawn".into(), value!({"number": number})),
        CommandOutcome::Refused { field, detail } => Err(bad_configuration(&field, detail)),
    }
}
