//! Rate limits of workspaces with allotments from the coordinator, where data centres have no token
//! servers.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use nutmegwheel_config::{View, Workspace};
use nutmegwheel_events::Event;
use nutmegwheel_limits::{
    Limit,
    allotment::{Answer, BorrowOutcome, Ingress, REPORT_INTERVAL, Report, Spend},
};
use nutmegwheel_link::{CallError, Request, Topic};
use nutmegwheel_types::WorkspaceId;
use nutmegwheel_wire::{self as wire, topic};
use prost::Message;
use thiserror::Error;

use crate::{refusal::Refusal, shared::Shared};

/// The time within which the coordinator must answer. It also bounds the wait of a request that
/// borrows a token, so that its refusal arrives well within an eighth of the shortest latency
/// target.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// The maximum number of times that a request is redirected to the coordinator named in an answer.
const MAX_REDIRECTS: usize = 2;
/// The retry delay while the coordinator does not answer.
const NO_COORDINATOR_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Spends tokens from the fractions of limits that the coordinator allotted to this ingress node.
pub(crate) struct AllotmentLimiter {
    ingress: Mutex<Ingress>,
    /// The link of the coordinator that answered last.
    coordinator: Mutex<Option<SocketAddr>>,
}

impl AllotmentLimiter {
    pub(crate) fn open(now: Instant) -> Self {
        Self {
            ingress: Mutex::new(Ingress::open(now)),
            coordinator: Mutex::default(),
        }
    }

    /// Reports demand to the coordinator and applies its answers. Runs until the node stops.
    pub(crate) async fn run(shared: &Arc<Shared>) {
        loop {
            let sent = Instant::now();
            let message = report_to_wire(shared.allotment_limiter.report(shared, sent));
            let answer: Result<wire::AllotmentAnswer, _> =
                call_coordinator(shared, topic::ALLOTMENT, &message).await;
            match answer {
                Ok(answer) => shared.allotment_limiter.apply_answer(sent, answer),
                Err(e) => record_silence(shared, "report", sent, &e),
            }
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
    }
}

impl AllotmentLimiter {
    fn apply_answer(&self, sent: Instant, answer: wire::AllotmentAnswer) {
        let fractions = answer.parts.into_iter();
        let fractions = fractions.map(|(workspace, fraction)| (workspace.into(), fraction));
        let answer = Answer {
            fractions: fractions.collect(),
        };
        self.ingress().apply_answer(Instant::now(), sent, &answer);
    }

    fn report(&self, shared: &Shared, now: Instant) -> Report {
        let view = shared.views.current();
        let workspaces = view.configuration.workspaces.iter();
        let limited = workspaces.filter(|(_, configured)| !configured.is_unlimited());
        let limited = limited.map(|(workspace, configured)| (workspace, limit(configured)));
        let name = shared.settings.name.clone();
        self.ingress().report(now, name, limited)
    }

    /// Spends a token of the workspace, or refuses the request with a retry delay.
    pub(crate) async fn spend(
        shared: &Arc<Shared>,
        view: &View,
        workspace: &WorkspaceId,
    ) -> Result<(), Refusal> {
        let configured = view.configuration.workspaces.get(workspace);
        let Some(configured) = configured.filter(|w| !w.is_unlimited()) else {
            return Ok(());
        };
        let limit = limit(configured);
        let nodes = shared.gossip.ingress_nodes();
        let allotment_limiter = &shared.allotment_limiter;
        let now = Instant::now();
        let mut spend = allotment_limiter
            .ingress()
            .spend(now, workspace, limit, nodes);
        if spend == Spend::Borrow {
            spend = match allotment_limiter.borrow(shared, workspace).await {
                Some(BorrowOutcome::Granted) => Spend::Spent,
                Some(BorrowOutcome::Denied { retry_after }) => Spend::Refused { retry_after },
                None => allotment_limiter.spend_without_coordinator(workspace, limit, nodes),
            };
        }
        let retry_after = match spend {
            Spend::Spent => return Ok(()),
            Spend::Refused { retry_after } => retry_after,
            Spend::Borrow => NO_COORDINATOR_RETRY_AFTER,
        };
        Err(Refusal::over_rate(workspace).with_jittered_retry_after(retry_after))
    }

    /// Spends from the local allotment after the coordinator did not answer.
    fn spend_without_coordinator(
        &self,
        workspace: &WorkspaceId,
        limit: Limit,
        nodes: usize,
    ) -> Spend {
        let now = Instant::now();
        let mut ingress = self.ingress();
        ingress.record_borrow_timeout(now);
        ingress.spend(now, workspace, limit, nodes)
    }

    /// Borrows a token from the coordinator. Returns `None` if it does not answer.
    async fn borrow(&self, shared: &Shared, workspace: &WorkspaceId) -> Option<BorrowOutcome> {
        let message = wire::Borrow {
            workspace: workspace.to_string(),
        };
        let sent = Instant::now();
        let answer: Result<wire::BorrowAnswer, _> =
            call_coordinator(shared, topic::BORROW, &message).await;
        let outcome = match answer {
            Ok(answer) if answer.granted => BorrowOutcome::Granted,
            Ok(answer) => BorrowOutcome::Denied {
                retry_after: Duration::from_micros(answer.retry_after_us),
            },
            Err(e) => {
                record_silence(shared, &format!("loan for {workspace}"), sent, &e);
                return None;
            }
        };
        self.ingress()
            .apply_borrow(Instant::now(), workspace, outcome);
        Some(outcome)
    }

    fn ingress(&self) -> MutexGuard<'_, Ingress> {
        self.ingress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn coordinator(&self) -> MutexGuard<'_, Option<SocketAddr>> {
        self.coordinator
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// An answer that comes from the coordinator or names its link.
trait CoordinatorAnswer: Message + Default {
    fn is_coordinator(&self) -> bool;
    fn coordinator(&self) -> &str;
}

macro_rules! coordinator_answer {
    ($($name:ident)*) => {$(
        impl CoordinatorAnswer for wire::$name {
            fn is_coordinator(&self) -> bool {
                self.is_hub
            }

            fn coordinator(&self) -> &str {
                &self.hub
            }
        }
    )*};
}

coordinator_answer! { AllotmentAnswer BorrowAnswer }

/// Why the coordinator did not answer.
#[derive(Debug, Error)]
enum CoordinatorError {
    #[error("the links are not open yet")]
    NotOpen,
    #[error("no control VM is known")]
    NoControlVm,
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("{from}: malformed answer: {source}")]
    Malformed {
        from: SocketAddr,
        source: prost::DecodeError,
    },
    #[error("{from} does not know the coordinator")]
    NotKnown { from: SocketAddr },
    #[error("{from} was the last of too many redirects")]
    Redirects { from: SocketAddr },
}

fn record_silence(shared: &Shared, request: &str, sent: Instant, error: &CoordinatorError) {
    let fields: &[(&str, &dyn ToString)] = &[
        ("request", &request),
        ("waited_ms", &sent.elapsed().as_millis()),
        ("detail", error),
    ];
    shared
        .journal
        .emit_rate_limited(Event::CoordinatorSilent, fields);
}

/// Sends a request to the coordinator, or to any control VM while the coordinator is not known.
async fn call_coordinator<T: CoordinatorAnswer>(
    shared: &Shared,
    topic: Topic,
    message: &impl Message,
) -> Result<T, CoordinatorError> {
    let endpoint = shared.endpoint().ok_or(CoordinatorError::NotOpen)?;
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let head = Bytes::from(message.encode_to_vec());
    let known = *shared.allotment_limiter.coordinator();
    let mut from = known
        .or_else(|| random_link(&shared.gossip.control_links()))
        .ok_or(CoordinatorError::NoControlVm)?;
    let mut redirects = 0;
    loop {
        let req = Request {
            topic,
            head: head.clone(),
            body: Bytes::new(),
        };
        let reply = endpoint.call(from, req, deadline).await;
        *shared.allotment_limiter.coordinator() = None;
        let answer = T::decode(reply?.body)
            .map_err(|source| CoordinatorError::Malformed { from, source })?;
        if answer.is_coordinator() {
            *shared.allotment_limiter.coordinator() = Some(from);
            return Ok(answer);
        }
        if redirects == MAX_REDIRECTS {
            return Err(CoordinatorError::Redirects { from });
        }
        redirects += 1;
        let leader = answer.coordinator().parse();
        from = leader.map_err(|_| CoordinatorError::NotKnown { from })?;
    }
}

fn random_link(links: &[SocketAddr]) -> Option<SocketAddr> {
    let count = links.len();
    (count > 0).then(|| links[rand::random_range(0..count)])
}

fn limit(configured: &Workspace) -> Limit {
    Limit::from_config(configured.rate, configured.burst)
}

fn report_to_wire(report: Report) -> wire::AllotmentReport {
    let items = report.items.into_iter().map(|item| wire::AllotmentItem {
        workspace: item.workspace.to_string(),
        demand: item.demand,
        part: item.fraction,
    });
    wire::AllotmentReport {
        door: report.ingress.to_string(),
        items: items.collect(),
    }
}
